package webhook

import (
	"crypto/sha256"
	"encoding/json"
	"strings"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/internal/ingress"
	"kitehub/internal/replayguard"
)

// A message is a verified request whose function is known.
type message struct {
	sender
	conn     *http1.Conn
	request  *http1.Request
	key      replayguard.Key
	function *gateway.Function
	alias    string // of the function's versions; "" if it has none
}

// serveVerified answers a request that its client has signed.
func (f *Handler) serveVerified(c *http1.Conn, r *http1.Request, from sender) *http1.Response {
	name, ok := f.functionName(r.Path(), r.Body)
	var function *gateway.Function
	var alias string
	if ok {
		function, alias = ingress.Resolve(f.cfg.Functions, f.cfg.Models, name)
	}
	if function == nil {
		f.Counts.UnknownFunction.Add(1)
		return problem(404, "unknown", "no such function", nil)
	}
	m := message{
		sender:   from,
		conn:     c,
		request:  r,
		key:      replayguard.Key{Client: from.client, ID: from.id},
		function: function,
		alias:    alias,
	}
	t, ok := f.take(m)
	if !ok {
		return &http1.Response{HandOver: true}
	}
	switch t.verdict {
	case replayguard.New, replayguard.Retry:
		return f.call(m, t.call, t.verdict == replayguard.Retry)
	case replayguard.Join:
		f.Counts.Joined.Add(1)
		return f.wait(m, t.call)
	case replayguard.Cached:
		f.Counts.Cached.Add(1)
		binding, _ := t.cached.Tag.(*gateway.VersionBinding)
		return f.gated(m, binding, cachedResponse(t.cached), nil)
	}
	return f.rejected(t)
}

// rejected returns the response to a message that is neither executed nor has a cached answer.
func (f *Handler) rejected(t taken) *http1.Response {
	switch t.verdict {
	case replayguard.AnswerEvicted:
		return problem(502, "failed", "the call has ended; its answer was too large to keep", nil)
	case replayguard.Replay:
		f.Counts.Replayed.Add(1)
		return problem(409, "replayed", "this message was taken before", nil)
	case replayguard.IDReused:
		f.Counts.Reused.Add(1)
		return problem(422, "reused", "the webhook-id was used for another call", nil)
	case replayguard.Stale, replayguard.Early:
		f.Counts.Stale.Add(1)
		return problem(401, "forged", "webhook-timestamp is too old or too far ahead", nil)
	case replayguard.PossibleReplay:
		f.Counts.Unsettled.Add(1)
		return refused("this message may have been taken before a restart: sign it again with the present time",
			t.retryAfter)
	}
	f.Counts.AtCapacity.Add(1)
	return refused("too many messages are remembered", t.retryAfter)
}

// functionName returns the name that a request gives; false if there is none.
func (f *Handler) functionName(path string, body []byte) (string, bool) {
	if f.cfg.FunctionSource == FromPath {
		name := strings.TrimPrefix(path, f.cfg.Prefix)
		return name, name != "" && !strings.Contains(name, "/")
	}
	var members map[string]json.RawMessage
	var name string
	if json.Unmarshal(body, &members) != nil || json.Unmarshal(members[f.cfg.FunctionField], &name) != nil {
		return "", false
	}
	return name, name != ""
}

// digest covers what a message calls and with which body.
func (m message) digest() (digest [32]byte) {
	h := sha256.New()
	h.Write([]byte(m.function.Name + "\x00" + m.alias + "\x00"))
	h.Write(m.request.Body)
	h.Sum(digest[:0])
	return digest
}

// taken is what the replay guard says of a message.
type taken struct {
	verdict    replayguard.Verdict
	cached     replayguard.Answer // for Cached
	retryAfter time.Duration      // for verdicts that reject it for now
	call       *inFlightCall      // for New and Retry, a new one; for Join, the one to wait for
}

// take has the replay guard judge a message, after the end of a pause; false if a successor is to serve it.
func (f *Handler) take(m message) (t taken, ok bool) {
	signed := replayguard.Message{Key: m.key, Timestamp: m.stamp, Digest: m.digest()}
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.resumed != nil {
		resumed := f.resumed
		f.mu.Unlock()
		<-resumed
		f.mu.Lock()
	}
	if f.passed {
		return t, false
	}
	t.verdict, t.cached, t.retryAfter = f.guard.Admit(f.cfg.Clock.Wall(), signed)
	switch t.verdict {
	case replayguard.New, replayguard.Retry:
		t.call = newInFlightCall(m.conn)
		f.inFlight[m.key] = t.call
	case replayguard.Join:
		t.call = f.inFlight[m.key] // nil if the call is in flight in the previous process
		if t.call == nil || !t.call.join(m.conn, f.cfg.MaxJoin) {
			t.verdict = replayguard.AtCapacity
			t.retryAfter = time.Second
		}
	}
	return t, true
}
