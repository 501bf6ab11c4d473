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

// A message is a verified request to a known function.
type message struct {
	sender
	conn     *http1.Conn
	request  *http1.Request
	key      replayguard.Key
	function *gateway.Function
	alias    string // "" if the function is not a model
}

// serveVerified answers a request whose signature has been verified.
func (h *Handler) serveVerified(c *http1.Conn, r *http1.Request, from sender) *http1.Response {
	name, ok := h.functionName(r.Path(), r.Body)
	var function *gateway.Function
	var alias string
	if ok {
		function, alias = ingress.Resolve(h.cfg.Functions, h.cfg.Models, name)
	}
	if function == nil {
		h.Counts.UnknownFunction.Add(1)
		return problemResponse(404, "unknown", "no such function", nil)
	}
	m := message{
		sender:   from,
		conn:     c,
		request:  r,
		key:      replayguard.Key{Client: from.client.Name, ID: from.id},
		function: function,
		alias:    alias,
	}
	if c.Disconnected() {
		h.Counts.Disconnected.Add(1)
		return nil
	}
	admitted, resp := h.admit(m)
	if resp != nil {
		return resp
	}
	switch admitted.verdict {
	case replayguard.New, replayguard.Retry:
		return h.submitAndAwait(m, admitted.call, admitted.verdict == replayguard.Retry)
	case replayguard.Join:
		h.Counts.Joined.Add(1)
		return h.awaitAnswer(m, admitted.call)
	case replayguard.Cached:
		h.Counts.Cached.Add(1)
		binding, _ := admitted.cached.Tag.(*gateway.VersionBinding)
		return h.boundResponse(m, binding, cachedResponse(admitted.cached), nil)
	}
	return h.rejectionResponse(admitted)
}

// rejectionResponse returns the response to a message that is neither executed nor answered from
// the cache.
func (h *Handler) rejectionResponse(a admission) *http1.Response {
	switch a.verdict {
	case replayguard.AnswerEvicted:
		return problemResponse(502, "failed", "the call has ended; its answer was too large to keep", nil)
	case replayguard.MayHaveRun:
		return problemResponse(502, "failed", "an earlier try may have run, and the call must not run twice", nil)
	case replayguard.Replay:
		h.Counts.Replayed.Add(1)
		return problemResponse(409, "replayed", "this message was taken before", nil)
	case replayguard.IDReused:
		h.Counts.IDReused.Add(1)
		return problemResponse(422, "reused", "the webhook-id was used for another call", nil)
	case replayguard.Stale, replayguard.Early:
		h.Counts.Stale.Add(1)
		return problemResponse(401, "forged", "webhook-timestamp is too old or too far ahead", nil)
	case replayguard.PossibleReplay:
		h.Counts.PossibleReplay.Add(1)
		return rejectedResponse("this message may have been taken before a restart: sign it again with the present time",
			a.retryAfter)
	}
	h.Counts.AtCapacity.Add(1)
	return rejectedResponse("too many messages are remembered", a.retryAfter)
}

// functionName returns the function name that a request contains; false if there is none.
func (h *Handler) functionName(path string, body []byte) (string, bool) {
	if h.cfg.FunctionSource == FromPath {
		name := strings.TrimPrefix(path, h.cfg.Prefix)
		return name, name != "" && !strings.Contains(name, "/")
	}
	var members map[string]json.RawMessage
	var name string
	if json.Unmarshal(body, &members) != nil || json.Unmarshal(members[h.cfg.FunctionField], &name) != nil {
		return "", false
	}
	return name, name != ""
}

// digest returns a hash of the function, the alias and the body.
func (m message) digest() (digest [32]byte) {
	hash := sha256.New()
	hash.Write([]byte(m.function.Name + "\x00" + m.alias + "\x00"))
	hash.Write(m.request.Body)
	hash.Sum(digest[:0])
	return digest
}

// An admission is the replay guard's decision about a message.
type admission struct {
	verdict    replayguard.Verdict
	cached     replayguard.Answer // for Cached
	retryAfter time.Duration      // for verdicts that reject the message temporarily
	call       *inFlightCall      // New and Retry: a new call; Join: the call to wait for
}

// admit asks the replay guard about a message, once no pause is in effect. It returns a response
// instead if a successor process is to serve the message, or if the Handler has been stopped.
func (h *Handler) admit(m message) (a admission, resp *http1.Response) {
	signed := replayguard.Message{
		Key:           m.key,
		Timestamp:     m.timestamp,
		Digest:        m.digest(),
		HarmlessRetry: h.cfg.HarmlessRetry(m.function.Class),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.pauseEnded != nil {
		pauseEnded := h.pauseEnded
		h.mu.Unlock()
		<-pauseEnded
		h.mu.Lock()
	}
	switch {
	case h.handedOver:
		return a, &http1.Response{HandOver: true}
	case h.stopping.Load():
		return a, stoppingResponse()
	}
	a.verdict, a.cached, a.retryAfter = h.guard.Admit(h.cfg.Clock.Wall(), signed)
	switch a.verdict {
	case replayguard.New, replayguard.Retry:
		a.call = newInFlightCall(m.conn)
		h.inFlight[m.key] = a.call
	case replayguard.Join:
		a.call = h.inFlight[m.key] // nil if the call is in flight in the previous process
		if a.call == nil || !a.call.join(m.conn, h.cfg.MaxJoin) {
			a.verdict = replayguard.AtCapacity
			a.retryAfter = time.Second
		}
	}
	return a, nil
}
