package webhook

import (
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/internal/ingress"
	"kitehub/internal/replayguard"
	"kitehub/scheduler"
)

// An inFlightCall is a call from its start to its answer, with the requests of its client that wait for it: the first
// and its retries. Its fields are guarded by the front's mutex; answer and binding do not change after done is
// closed.
type inFlightCall struct {
	done    chan struct{} // closed when the answer is set
	answer  gateway.Answer
	binding *gateway.VersionBinding // of the answer to a bound call, if it was served
	ended   bool

	started bool
	id      scheduler.RequestID // once started

	conns   []*http1.Conn // of all requests, to be woken
	waiting int           // requests whose clients have not left

	unwritten int    // requests that the answer is still to be written to, if release is set
	release   func() // called when the answer has been written to all of them
}

func newInFlightCall(c *http1.Conn) *inFlightCall {
	return &inFlightCall{done: make(chan struct{}), waiting: 1, conns: []*http1.Conn{c}}
}

// join adds a retry that waits for the call; false if as many as allowed do.
func (call *inFlightCall) join(c *http1.Conn, maxJoin int) bool {
	if len(call.conns) >= maxJoin {
		return false
	}
	call.waiting++
	call.conns = append(call.conns, c)
	return true
}

// call submits a new call and waits for its answer.
func (f *Handler) call(m message, call *inFlightCall, retry bool) *http1.Response {
	client := (*f.clients.Load())[m.client]
	class := m.function.Class
	submitted := gateway.Call{
		ID:       m.id,
		Function: m.function,
		Tenant:   client.Tenant,
		Client:   client.Name,
		Body:     m.request.Body,
		Retry:    retry,
		TraceID:  traceID(m.request.Header.Get("traceparent")),
		TimeLeft: clientTimeout(m.request.Header, f.cfg.Deadline(class)),
	}
	if f.cfg.Idempotency(class) == scheduler.IdempotentWithKey {
		submitted.IdempotencyKey = client.Name + ":" + m.id
	}
	if m.function.IsModel {
		f.runBound(m, call, submitted)
	} else {
		submitted.Deliver = func(a gateway.Answer) {
			f.deliver(m.key, call, ingress.AnswerForRetry(a, f.cfg.Idempotency(class)), nil)
		}
		f.submit(&submitted, call)
	}
	return f.wait(m, call)
}

// runBound runs a call under the version that its alias names.
func (f *Handler) runBound(m message, call *inFlightCall, submitted gateway.Call) {
	f.binder.Run(&ingress.BoundCall{
		Call:     submitted,
		Model:    m.function,
		Alias:    m.alias,
		Deadline: f.cfg.Clock.Now() + submitted.TimeLeft,
		Submit:   func(c *gateway.Call) { f.submit(c, call) },
		ClientClosed: func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return call.waiting == 0
		},
		Deliver: func(a gateway.Answer, b *gateway.VersionBinding, release func()) {
			if release != nil {
				f.releaseWhenWritten(call, release)
			}
			f.deliver(m.key, call, ingress.AnswerForRetry(a, f.cfg.Idempotency(m.function.Class)), b)
		},
	})
}

// submit hands a call to the gateway, and cancels it if all its clients have left meanwhile.
func (f *Handler) submit(submitted *gateway.Call, call *inFlightCall) {
	id, accepted := f.cfg.Gateway.Submit(submitted)
	if !accepted {
		submitted.Deliver(gateway.Answer{Kind: gateway.Rejected, RetryAfter: time.Second})
		return
	}
	f.mu.Lock()
	call.id = id
	call.started = true
	abandoned := call.waiting == 0 && !call.ended
	f.mu.Unlock()
	if abandoned {
		f.cfg.Gateway.Cancel(id)
	}
}

// releaseWhenWritten calls a function when the answer that is about to be delivered has been written to all requests
// that wait for it: a move of the alias waits for that.
func (f *Handler) releaseWhenWritten(call *inFlightCall, release func()) {
	f.mu.Lock()
	call.unwritten = call.waiting
	call.release = release
	none := call.unwritten == 0
	f.mu.Unlock()
	if none {
		release()
	}
}

// written notes that one request has been written its answer, or that its client has left.
func (f *Handler) written(call *inFlightCall) {
	f.mu.Lock()
	call.unwritten--
	last := call.unwritten == 0
	f.mu.Unlock()
	if last {
		call.release()
	}
}

// deliver ends a call: its answer is cached, and all requests that wait for it are woken.
func (f *Handler) deliver(key replayguard.Key, call *inFlightCall, a gateway.Answer, b *gateway.VersionBinding) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if call.ended {
		return
	}
	call.ended = true
	call.answer = a
	cached := cachedAnswer(a)
	if b != nil && a.Kind == gateway.Served {
		call.binding = b
		cached.Tag = b
	}
	if f.inFlight[key] == call {
		delete(f.inFlight, key)
	}
	f.guard.Complete(key, cached)
	if f.onEnd != nil {
		f.onEnd(key, cached)
	}
	for _, c := range call.conns {
		c.Wake()
	}
	close(call.done)
}

// wait blocks until the call has its answer, or the client of this request has left; then it returns nil, and cancels
// the call if that was the last client.
func (f *Handler) wait(m message, call *inFlightCall) *http1.Response {
	if !m.conn.Await(call.done) {
		return f.gated(m, call.binding, answerResponse(call.answer), call)
	}
	f.mu.Lock()
	answered := call.release != nil // the client left just as the answer came
	call.waiting--
	// The gateway reports what becomes of a cancelled call: until then a retry joins it.
	cancel := call.waiting == 0 && !call.ended && call.started
	id := call.id
	f.mu.Unlock()
	if answered {
		f.written(call)
	}
	if cancel {
		f.cfg.Gateway.Cancel(id)
	}
	return nil
}
