package webhook

import (
	"slices"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/internal/inbox"
	"kitehub/internal/ingress"
	"kitehub/internal/replayguard"
	"kitehub/scheduler"
)

// An inFlightCall is a call from its start to its answer, together with the requests that wait for
// it: the first one and its client's retries. Its fields are guarded by Handler.mu; answer and
// binding do not change after done is closed.
type inFlightCall struct {
	done    chan struct{} // closed when answer is set
	answer  gateway.Answer
	binding *gateway.VersionBinding // of a served answer of a model; else nil
	ended   bool

	submitted bool
	id        scheduler.RequestID // valid if submitted

	conns           []*http1.Conn // of all its requests, to be woken
	waitingRequests int           // requests whose client has not disconnected

	pendingWrites int    // requests yet to be answered, if release is set
	release       func() // called when pendingWrites reaches 0; set with an answer of a model
}

func newInFlightCall(c *http1.Conn) *inFlightCall {
	return &inFlightCall{done: make(chan struct{}), waitingRequests: 1, conns: []*http1.Conn{c}}
}

// join adds a retry that waits for the call. It returns false if maxJoin requests already do.
func (call *inFlightCall) join(c *http1.Conn, maxJoin int) bool {
	if len(call.conns) >= maxJoin {
		return false
	}
	call.waitingRequests++
	call.conns = append(call.conns, c)
	return true
}

// clientClosed reports whether the clients of all requests that wait for the call have closed.
func (h *Handler) clientClosed(call *inFlightCall) bool {
	h.mu.Lock()
	conns := slices.Clone(call.conns)
	h.mu.Unlock()
	return !slices.ContainsFunc(conns, func(c *http1.Conn) bool { return !inbox.PeerClosed(c.Conn) })
}

// submitAndAwait submits a new call and waits for its answer.
func (h *Handler) submitAndAwait(m message, call *inFlightCall, retry bool) *http1.Response {
	client := m.client
	class := m.function.Class
	receivedAt := h.cfg.Clock.Now() - m.conn.RequestAge()
	gatewayCall := gateway.Call{
		ID:       m.id,
		Function: m.function,
		Tenant:   client.Tenant,
		Client:   client.Name,
		Body:     m.request.Body,
		Retry:    retry,
		TraceID:  traceID(m.request.Header.Get("traceparent")),
		TimeLeft: clientTimeout(m.request.Header, h.cfg.Deadline(class)),

		ClientClosed: func() bool { return h.clientClosed(call) },
	}
	if h.cfg.Idempotency(class) == scheduler.IdempotentWithKey {
		gatewayCall.IdempotencyKey = client.Name + ":" + m.id
	}
	if m.function.IsModel {
		h.submitBound(m, call, gatewayCall, receivedAt+gatewayCall.TimeLeft)
	} else {
		gatewayCall.ReceivedAt = receivedAt
		gatewayCall.Deliver = func(a gateway.Answer) {
			h.deliver(m.key, call, ingress.AnswerForRetry(a, h.cfg.Idempotency(class)), nil)
		}
		h.submit(&gatewayCall, call)
	}
	return h.awaitAnswer(m, call)
}

// submitBound submits a call of a model under the version that its alias names. The deadline is the
// client's, on Config.Clock.
func (h *Handler) submitBound(m message, call *inFlightCall, gatewayCall gateway.Call, deadline time.Duration) {
	h.binder.Run(&ingress.BoundCall{
		Call:     gatewayCall,
		Model:    m.function,
		Alias:    m.alias,
		Deadline: deadline,
		Submit:   func(c *gateway.Call) { h.submit(c, call) },
		ClientClosed: func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return call.waitingRequests == 0
		},
		Deliver: func(a gateway.Answer, b *gateway.VersionBinding, release func()) {
			if release != nil {
				h.releaseWhenWritten(call, release)
			}
			h.deliver(m.key, call, ingress.AnswerForRetry(a, h.cfg.Idempotency(m.function.Class)), b)
		},
	})
}

// submit submits a call to the gateway, and cancels it if meanwhile no request waits for it any
// more.
func (h *Handler) submit(gatewayCall *gateway.Call, call *inFlightCall) {
	id, accepted := h.cfg.Gateway.Submit(gatewayCall)
	if !accepted {
		gatewayCall.Deliver(gateway.Answer{Kind: gateway.Rejected, RetryAfter: time.Second})
		return
	}
	h.mu.Lock()
	call.id = id
	call.submitted = true
	abandoned := call.waitingRequests == 0 && !call.ended
	h.mu.Unlock()
	if abandoned {
		h.cfg.Gateway.Cancel(id)
	}
}

// releaseWhenWritten arranges for release to be called when the answer that is about to be
// delivered has been written to all waiting requests: a migration of the alias waits for that.
func (h *Handler) releaseWhenWritten(call *inFlightCall, release func()) {
	h.mu.Lock()
	call.pendingWrites = call.waitingRequests
	call.release = release
	noRequests := call.pendingWrites == 0
	h.mu.Unlock()
	if noRequests {
		release()
	}
}

// onAnswerWritten records that one request has been answered, or that its client has disconnected.
func (h *Handler) onAnswerWritten(call *inFlightCall) {
	h.mu.Lock()
	call.pendingWrites--
	last := call.pendingWrites == 0
	h.mu.Unlock()
	if last {
		call.release()
	}
}

// deliver ends a call: it caches the answer and wakes all requests that wait for it.
func (h *Handler) deliver(key replayguard.Key, call *inFlightCall, a gateway.Answer, b *gateway.VersionBinding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if call.ended {
		return
	}
	call.ended = true
	call.answer = a
	cached := cacheableAnswer(a)
	if b != nil && a.Kind == gateway.Served {
		call.binding = b
		cached.Tag = b
	}
	if h.inFlight[key] == call {
		delete(h.inFlight, key)
	}
	h.guard.Complete(key, cached)
	if h.onCallEnd != nil {
		h.onCallEnd(key, cached)
	}
	for _, c := range call.conns {
		c.Wake()
	}
	close(call.done)
}

// awaitAnswer blocks until the call is answered or the client of this request disconnects. In the
// latter case it returns nil, and cancels the call if no other request waits for it.
func (h *Handler) awaitAnswer(m message, call *inFlightCall) *http1.Response {
	if !m.conn.Await(call.done) {
		return h.boundResponse(m, call.binding, answerResponse(call.answer), call)
	}
	h.mu.Lock()
	delivered := call.release != nil // the client disconnected just as the answer was delivered
	call.waitingRequests--
	// The call ends only when the gateway reports the outcome of the cancellation; until then a
	// retry joins it.
	cancel := call.waitingRequests == 0 && !call.ended && call.submitted
	id := call.id
	h.mu.Unlock()
	if delivered {
		h.onAnswerWritten(call)
	}
	if cancel {
		h.cfg.Gateway.Cancel(id)
	}
	return nil
}
