package jsonrpc

import (
	"encoding/json"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/registry"
)

// deliver queues the answer to a call request for writing. It does not block. Only the first answer
// to a request is queued, and none after the connection has ended.
func (r *callRequest) deliver(a gateway.Answer, b *gateway.VersionBinding, written func()) {
	c := r.conn
	r.release()
	queued := response{calls: 1, render: func() ([]byte, time.Duration, func()) { return r.render(a, b, written) }}
	c.mu.Lock()
	repeated := r.pending.answered
	r.pending.answered = true
	if c.calls[string(r.id)] == r.pending {
		delete(c.calls, string(r.id))
	}
	if repeated || c.ended { // the client does not read this answer
		c.mu.Unlock()
		if written != nil {
			written()
		}
		return
	}
	if r.batch == nil {
		c.queue(queued)
	}
	c.mu.Unlock()
	if r.batch != nil {
		r.batch.add(&queued)
	}
}

// render encodes an answer when its turn to be written comes. An answer of a version is checked
// again at that moment, as the alias may have been migrated since the call ended. If the answer may
// not be written any more, a rejection or a failure is written instead.
func (r *callRequest) render(a gateway.Answer, b *gateway.VersionBinding, written func()) (
	text []byte, timeout time.Duration, done func(),
) {
	if a.Kind != gateway.Served || b == nil {
		return encodeResponse(r.id, callResult(a, nil), callError(a)), 0, written
	}
	s := r.conn.server
	ended, timeout, verdict := s.cfg.Models.BeginAnswer(*b)
	if verdict != registry.Allowed {
		return encodeResponse(r.id, nil, callError(s.withholdAnswer(r, verdict))), 0, written
	}
	return encodeResponse(r.id, callResult(a, b), nil), timeout, func() {
		ended()
		if written != nil {
			written()
		}
	}
}

// withholdAnswer returns the answer to send in place of one whose version may no longer answer. If
// a retry may be executed, it also forgets the cached answer of the request's idempotency key.
func (s *Server) withholdAnswer(r *callRequest, verdict registry.Verdict) gateway.Answer {
	s.Counts.Withheld.Add(1)
	if registry.WithoutLease(s.cfg.Idempotency(r.class), false, true) == registry.Fail {
		return gateway.Answer{Kind: gateway.Failed, Verdict: verdict}
	}
	if r.key != "" {
		s.mu.Lock()
		s.keys.withdraw(r.key)
		s.mu.Unlock()
	}
	return gateway.Answer{Kind: gateway.Rejected, Verdict: verdict}
}

// callResult returns the JSON-RPC result of a call that was served, or nil.
func callResult(a gateway.Answer, b *gateway.VersionBinding) any {
	if a.Kind != gateway.Served {
		return nil
	}
	members := map[string]any{"outcome": "served"}
	if json.Valid(a.Body) {
		members["body"] = json.RawMessage(a.Body)
	} else {
		members["base64"] = a.Body
	}
	if b != nil {
		members["version"] = b.Target.Version
		members["revision"] = b.Target.Revision
	}
	return members
}

// callError returns the JSON-RPC error of a call that was not served, or nil.
func callError(a gateway.Answer) *Error {
	switch {
	case a.Kind == gateway.Served:
		return nil
	case a.Kind == gateway.Rejected:
		return rejection(CodeRejected, rejectionReason(a.Verdict), a.RetryAfter)
	case a.Kind == gateway.ClientClosed:
		data := map[string]any{"outcome": "gone", "may_have_run": a.MayHaveRun}
		return &Error{Code: CodeCancelled, Message: "cancelled", Data: data}
	case a.DeadlineExceeded:
		return outcomeError(CodeDeadlineExceeded, "no answer came in the client's time", "failed")
	case a.Verdict != 0:
		return outcomeError(CodeFailed, "its version may have been replaced while it ran", "failed")
	}
	return outcomeError(CodeFailed, "the attempts that the call allows are over", "failed")
}

// rejectionReason describes why the registry or the scheduler rejected a call.
func rejectionReason(v registry.Verdict) string {
	switch v {
	case registry.Superseded:
		return "its version was replaced"
	case registry.NoLease:
		return "the registry is not heard: which version is to answer is not known"
	case registry.Unknown:
		return "the alias names no version"
	}
	return "no worker takes it now"
}

// rejection returns the error of a call that had no effect, so that the client may retry it safely.
func rejection(code int, message string, retryAfter time.Duration) *Error {
	data := map[string]any{"outcome": "refused", "retry_after_ms": retryAfter.Milliseconds()}
	return &Error{Code: code, Message: message, Data: data}
}

// outcomeError returns an error whose data names the outcome of the call.
func outcomeError(code int, message, outcome string) *Error {
	return &Error{Code: code, Message: message, Data: map[string]any{"outcome": outcome}}
}
