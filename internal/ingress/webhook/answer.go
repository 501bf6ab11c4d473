package webhook

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/internal/registry"
	"kitehub/internal/signing"
)

func answered(a gateway.Answer) *http1.Response {
	switch {
	case a.Kind == gateway.Failed && a.Verdict == registry.Superseded:
		return problem(502, "failed", "its version was replaced while it ran", nil)
	case a.Kind == gateway.Failed && a.Verdict == registry.NoLease:
		return problem(502, "failed", "it ran, and the registry was not heard: its version may have been replaced", nil)
	case a.Kind == gateway.Rejected && a.Verdict == registry.Superseded:
		return refused("its version was replaced", a.RetryAfter)
	case a.Kind == gateway.Rejected && a.Verdict == registry.NoLease:
		return refused("the registry is not heard: which version is to answer is not known", a.RetryAfter)
	case a.Kind == gateway.Rejected && a.Verdict == registry.Unknown:
		return refused("the alias names no version", a.RetryAfter)
	}
	switch a.Kind {
	case gateway.Served:
		return &http1.Response{Status: 200, Header: http1.Header{{Name: "Content-Type", Value: "application/json"}}, Body: a.Body}
	case gateway.Rejected:
		return refused("no worker takes it now", a.RetryAfter)
	}
	if a.Kind == gateway.ClientClosed {
		return problem(502, "failed", "an earlier try was given up by its client and may have run", nil)
	}
	if a.DeadlineExceeded {
		return problem(504, "failed", "no answer came in the client's time", nil)
	}
	return problem(502, "failed", "the attempts that the call allows are over", nil)
}

func refused(why string, after time.Duration) *http1.Response {
	resp := problem(503, "refused", why, map[string]any{"retry_after_ms": after.Milliseconds()})
	resp.Header.Add("Retry-After", strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10))
	return resp
}

const problemType = "application/problem+json"

func problem(status int, outcome, detail string, more map[string]any) *http1.Response {
	return &http1.Response{Status: status, Header: http1.Header{{Name: "Content-Type", Value: problemType}},
		Body: problemBody(status, outcome, detail, more)}
}

func problemBody(status int, outcome, detail string, more map[string]any) []byte {
	m := map[string]any{"type": "urn:kitehub:problem:" + outcome, "status": status, "outcome": outcome, "detail": detail}
	for k, v := range more {
		m[k] = v
	}
	b, _ := json.Marshal(m) // strings and numbers cannot fail
	return append(b, '\n')
}

func outcomeOf(resp *http1.Response) string {
	if resp.Status == 200 {
		return "served"
	}
	var p struct{ Outcome string }
	json.Unmarshal(resp.Body, &p)
	return p.Outcome
}

// signed adds the signature of an answer. It does not change a kept answer's body, only its time.
func (f *Front) signed(v verified, resp *http1.Response) *http1.Response {
	if resp == nil || v.sign == nil || resp.Pass {
		return resp
	}
	m := signing.Message{ID: signing.AnswerID(outcomeOf(resp), v.id), Stamp: strconv.FormatInt(f.cfg.Clock.Wall().Unix(), 10), Body: resp.Body}
	s, err := v.sign.Sign(m)
	if err != nil {
		return resp
	}
	resp.Header.Add("webhook-id", m.ID)
	resp.Header.Add("webhook-timestamp", m.Stamp)
	resp.Header.Add("webhook-signature", s)
	return resp
}

// traceID takes the trace id of a traceparent header, or draws one.
func traceID(h string) (id [16]byte) {
	if len(h) == 55 && h[:3] == "00-" && h[35] == '-' {
		if n, err := hex.Decode(id[:], []byte(h[3:35])); err == nil && n == 16 && id != [16]byte{} {
			return id
		}
	}
	rand.Read(id[:])
	return id
}

// patience is how long the client waits: what it says (x-envoy-upstream-rq-timeout-ms, or Prefer: wait=seconds as
// of RFC 7240), at most the class's deadline.
func patience(h http1.Header, deadline time.Duration) time.Duration {
	if ms, err := strconv.ParseUint(h.Get("x-envoy-upstream-rq-timeout-ms"), 10, 31); err == nil && ms > 0 {
		return min(deadline, time.Duration(ms)*time.Millisecond)
	}
	for part := range strings.SplitSeq(h.Get("Prefer"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "wait="); ok {
			if s, err := strconv.ParseUint(text, 10, 20); err == nil && s > 0 {
				return min(deadline, time.Duration(s)*time.Second)
			}
		}
	}
	return deadline
}
