package jsonrpc

import (
	"sync/atomic"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/ingress"
	"kitehub/scheduler"
)

// submitKeyed handles a call with an idempotency key: it starts the call, waits for the one in
// flight with the same key, or delivers the cached answer. If it returns an error, the call was not
// accepted.
func (s *Server) submitKeyed(r *callRequest, sub submission, p callParams) *Error {
	content := append([]byte(p.Function+"\x00"), p.Body...)
	retention := s.cfg.KeyWindow(sub.function.Class) + sub.call.TimeLeft
	s.mu.Lock()
	verdict, call := s.keys.lookupOrStart(s.cfg.Clock.Now(), r.key, content, retention, r.deliver)
	s.mu.Unlock()
	switch verdict {
	case keyReused:
		return errorf(CodeKeyReused, "the key was used for another call")
	case keyUncached:
		return outcomeError(CodeFailed, "the call has ended; its answer was too large to keep", "failed")
	case keyAtCapacity:
		return rejection(CodeBusy, "too many keys are remembered, or too many wait for this one", time.Second)
	case keyCached:
		s.Counts.Cached.Add(1)
		r.deliver(call.answer, call.binding, nil)
		return nil
	}
	r.pending.stopWaiting = func() { s.stopWaitingForKey(r, call) }
	if verdict == keyInFlight {
		s.Counts.Joined.Add(1)
		return nil
	}
	s.startKeyed(r.conn, call, sub)
	return nil
}

// startKeyed starts a new call with an idempotency key. The call has a pendingCall of its own, as
// it may outlive the request that started it.
func (s *Server) startKeyed(c *conn, call *keyedCall, sub submission) {
	pending := &pendingCall{}
	s.mu.Lock()
	call.cancel = func() { s.abandon(c, pending) }
	s.mu.Unlock()
	s.submit(c, pending, sub, func(a gateway.Answer, b *gateway.VersionBinding, release func()) {
		s.mu.Lock()
		waiters := s.keys.complete(call, ingress.AnswerForRetry(a, scheduler.IdempotentWithKey), b)
		s.mu.Unlock()
		written := afterCalls(len(waiters), release)
		for _, deliver := range waiters {
			deliver(a, b, written)
		}
	})
}

// afterCalls returns a function that calls f the n-th time that it is called. It returns nil if f
// is nil.
func afterCalls(n int, f func()) func() {
	if f == nil {
		return nil
	}
	remaining := atomic.Int64{}
	remaining.Store(int64(n))
	return func() {
		if remaining.Add(-1) == 0 {
			f()
		}
	}
}

// stopWaitingForKey ends a request's wait for a call with an idempotency key. If no other request
// waits for it, the call is cancelled, and its answer is delivered to this request as well.
// Otherwise this request is answered at once, and the call continues.
func (s *Server) stopWaitingForKey(r *callRequest, call *keyedCall) {
	s.mu.Lock()
	last := call.removeWaiter()
	cancel := call.cancel
	s.mu.Unlock()
	if last && cancel != nil {
		cancel()
		return
	}
	r.pending.answerCancelled()
}
