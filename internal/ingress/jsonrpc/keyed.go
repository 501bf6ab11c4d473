package jsonrpc

import (
	"sync/atomic"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/ingress"
	"kitehub/scheduler"
)

// submitKeyed starts a call with an idempotency key, waits for the one in flight with its key, or delivers the cached
// answer. It returns an error if the call is not accepted.
func (s *Server) submitKeyed(r *callRequest, sub submission, p callParams) *Error {
	content := append([]byte(p.Function+"\x00"), p.Body...)
	remember := s.cfg.KeyWindow(sub.function.Class) + sub.call.TimeLeft
	s.mu.Lock()
	verdict, call := s.keys.take(s.cfg.Clock.Now(), r.key, content, remember, r.deliver)
	s.mu.Unlock()
	switch verdict {
	case keyReused:
		return problem(CodeKeyReused, "the key was used for another call")
	case keyEvicted:
		return outcomeError(CodeFailed, "the call has ended; its answer was too large to keep", "failed")
	case keyAtCapacity:
		return refusal(CodeBusy, "too many keys are remembered, or too many wait for this one", time.Second)
	case keyCached:
		s.Counts.Cached.Add(1)
		r.deliver(call.answer, call.binding, nil)
		return nil
	}
	r.pending.leave = func() { s.leaveKeyed(r, call) }
	if verdict == keyJoin {
		s.Counts.Joined.Add(1)
		return nil
	}
	s.startKeyed(r.conn, call, sub)
	return nil
}

// startKeyed starts a new call with a key. It has a pendingCall of its own, as it may outlive the request that began
// it.
func (s *Server) startKeyed(c *conn, call *keyedCall, sub submission) {
	pending := &pendingCall{}
	s.mu.Lock()
	call.cancel = func() { s.abandon(c, pending) }
	s.mu.Unlock()
	s.submit(c, pending, sub, func(a gateway.Answer, b *gateway.VersionBinding, release func()) {
		s.mu.Lock()
		waiting := s.keys.end(call, ingress.AnswerForRetry(a, scheduler.IdempotentWithKey), b)
		s.mu.Unlock()
		written := afterCalls(len(waiting), release)
		for _, deliver := range waiting {
			deliver(a, b, written)
		}
	})
}

// afterCalls returns a function that calls another at its n-th call; nil if that is nil.
func afterCalls(n int, f func()) func() {
	if f == nil {
		return nil
	}
	left := atomic.Int64{}
	left.Store(int64(n))
	return func() {
		if left.Add(-1) == 0 {
			f()
		}
	}
}

// leaveKeyed ends a request's wait for a call with a key. The last one to leave cancels the call, which then answers
// it; any other is answered at once, while the rest wait on.
func (s *Server) leaveKeyed(r *callRequest, call *keyedCall) {
	s.mu.Lock()
	last := call.leave()
	cancel := call.cancel
	s.mu.Unlock()
	if last && cancel != nil {
		cancel()
		return
	}
	r.pending.answer()
}
