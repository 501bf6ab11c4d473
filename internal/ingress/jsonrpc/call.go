package jsonrpc

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/ingress"
	"kitehub/scheduler"
)

// callParams are those of the method "call".
type callParams struct {
	Function string          `json:"function"` // or "model@alias"
	Body     json.RawMessage `json:"body"`
	WaitMS   int64           `json:"wait_ms"`  // how long the client waits; 0: the class's deadline
	Key      string          `json:"key"`      // idempotency key, for classes that have one
	Retry    bool            `json:"retry"`    // the client has sent it before
	Progress bool            `json:"progress"` // notify the client of each attempt
	Trace    string          `json:"trace"`    // trace id, 32 hex digits
}

const maxKey = 128 // bytes of an idempotency key

// A callRequest is one request for a call, with what its answer needs.
type callRequest struct {
	conn    *conn
	id      json.RawMessage
	batch   *batch // nil: it came alone
	pending *pendingCall
	class   int
	key     string // idempotency key, unique over clients; "": none
}

// A submission is a call for the gateway, whose function may still have to be bound to a version.
type submission struct {
	call     gateway.Call
	function *gateway.Function
	alias    string // of the function's versions; "" if it has none
}

// A deliverFunc takes the answer to a call; b is its version, nil if there is none, and written is called when the
// answer has been written, or never will be; nil: nobody waits for that.
type deliverFunc func(a gateway.Answer, b *gateway.VersionBinding, written func())

// call starts a call. It returns an error if the call is not accepted; otherwise the call is answered when it has
// ended.
func (c *conn) call(r request, b *batch) *Error {
	s := c.server
	s.waitWhilePaused()
	var p callParams
	if e := params(r.Params, &p); e != nil {
		return e
	}
	if e := c.checkCall(r, p); e != nil {
		return e
	}
	function, alias := ingress.Resolve(s.cfg.Functions, s.cfg.Models, p.Function)
	if function == nil {
		return problem(CodeNotFound, "no such function")
	}
	if e := s.checkKey(function.Class, p.Key); e != nil {
		return e
	}
	pending := &pendingCall{}
	if e := c.addCall(string(r.ID), pending); e != nil {
		return e
	}
	s.Counts.Calls.Add(1)
	sub := submission{call: c.gatewayCall(r.ID, function, p), function: function, alias: alias}
	request := callRequest{conn: c, id: r.ID, batch: b, pending: pending, class: function.Class}
	pending.answer = func() {
		request.deliver(gateway.Answer{Kind: gateway.ClientClosed, MayHaveRun: true}, nil, nil)
	}
	if s.cfg.Idempotency(function.Class) != scheduler.IdempotentWithKey {
		s.submit(c, pending, sub, request.deliver)
		return nil
	}
	request.key = c.user.Name + ":" + p.Key
	sub.call.IdempotencyKey = request.key
	if e := s.submitKeyed(&request, sub, p); e != nil {
		c.removeCall(string(r.ID))
		return e
	}
	return nil
}

// checkCall checks what of a call does not depend on its function.
func (c *conn) checkCall(r request, p callParams) *Error {
	switch {
	case r.ID == nil:
		return problem(CodeInvalidRequest, "a call has an id: its answer would go nowhere")
	case !c.user.MayCall:
		return problem(CodeDenied, "%s may not call", c.user.Name)
	case c.server.closing.Load():
		return refusal(CodeRejected, "stopping: another controller takes calls", time.Second)
	case p.WaitMS < 0 || p.WaitMS > maxSafe:
		return problem(CodeInvalidParams, "wait_ms: %d is not from 0 to 2^53", p.WaitMS)
	case len(p.Body) == 0:
		return problem(CodeInvalidParams, "body: missing")
	case len(p.Key) > maxKey:
		return problem(CodeInvalidParams, "key: more than %d bytes", maxKey)
	}
	return nil
}

// checkKey checks whether a call of the class may have this idempotency key, or none, at this time.
func (s *Server) checkKey(class int, key string) *Error {
	keyed := s.cfg.Idempotency(class) == scheduler.IdempotentWithKey
	switch {
	case keyed && key == "":
		return problem(CodeInvalidParams, "key: a call of this class has one")
	case !keyed && key != "":
		return problem(CodeInvalidParams, "key: a call of this class has none")
	case !keyed || s.cfg.TakeoverTime <= 0:
		return nil
	}
	// The previous process accepted calls until After, each for its deadline at most, and may have run one with this
	// key.
	left := s.cfg.TakeoverTime + s.cfg.Deadline(class) + s.cfg.KeyWindow(class) - s.cfg.Clock.Now()
	if left > 0 {
		return refusal(CodeRejected, "the process before may have run this key", left+time.Millisecond)
	}
	return nil
}

// addCall adds a call in flight.
func (c *conn) addCall(id string, pending *pendingCall) *Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[id] != nil {
		return problem(CodeInvalidRequest, "a call with this id is in hand")
	}
	if c.unwritten >= c.server.cfg.MaxCalls {
		return refusal(CodeBusy, "too many calls of this connection are in hand", 100*time.Millisecond)
	}
	c.calls[id] = pending
	c.unwritten++
	return nil
}

// removeCall removes a call that was not accepted.
func (c *conn) removeCall(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
	c.unwritten--
}

func (c *conn) gatewayCall(id json.RawMessage, function *gateway.Function, p callParams) gateway.Call {
	timeout := c.server.cfg.Deadline(function.Class)
	if p.WaitMS > 0 && p.WaitMS < timeout.Milliseconds() {
		timeout = time.Duration(p.WaitMS) * time.Millisecond
	}
	call := gateway.Call{
		ID:       c.user.Name + ":" + strings.Trim(string(id), `"`),
		Function: function,
		Tenant:   c.user.Tenant,
		Client:   c.user.Name,
		Body:     p.Body,
		Retry:    p.Retry,
		TimeLeft: timeout,
		TraceID:  traceID(p.Trace),
	}
	if p.Progress {
		call.Progress = func(attempt int, worker string, load bool) {
			text := notification("progress", map[string]any{
				"id":       id,
				"attempt":  attempt + 1,
				"worker":   worker,
				"may_load": load,
			})
			c.mu.Lock()
			c.queueEvent(text)
			c.mu.Unlock()
		}
	}
	return call
}

// traceID returns the trace id that a client gave, or a random one.
func traceID(text string) (id [16]byte) {
	if n, err := hex.Decode(id[:], []byte(text)); len(text) != 2*len(id) || err != nil || n != len(id) {
		rand.Read(id[:])
	}
	return id
}

// submit hands a call to the gateway, bound to a version if its function has versions. pending belongs to c.
func (s *Server) submit(c *conn, pending *pendingCall, sub submission, deliver deliverFunc) {
	submit := func(call *gateway.Call) { s.submitBound(c, pending, call) }
	if !sub.function.IsModel {
		sub.call.Deliver = func(a gateway.Answer) { deliver(a, nil, nil) }
		submit(&sub.call)
		return
	}
	s.binder.Run(&ingress.BoundCall{
		Call:     sub.call,
		Model:    sub.function,
		Alias:    sub.alias,
		Deadline: s.cfg.Clock.Now() + sub.call.TimeLeft,
		Submit:   submit,
		ClientClosed: func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return pending.abandoned
		},
		Deliver: deliver,
	})
}

// submitBound hands a call to the gateway, and cancels it if it has been abandoned meanwhile.
func (s *Server) submitBound(c *conn, pending *pendingCall, call *gateway.Call) {
	id, accepted := s.cfg.Gateway.Submit(call)
	if !accepted {
		call.Deliver(gateway.Answer{Kind: gateway.Rejected, RetryAfter: time.Second})
		return
	}
	c.mu.Lock()
	pending.id = id
	pending.started = true
	abandoned := pending.abandoned
	c.mu.Unlock()
	if abandoned {
		s.cfg.Gateway.Cancel(id)
	}
}

// leave ends the wait for a call, because its connection has ended or the client cancels it.
func (s *Server) leave(c *conn, pending *pendingCall) {
	if pending.leave != nil {
		pending.leave()
		return
	}
	s.abandon(c, pending)
}

// abandon cancels a call at the gateway, which then answers it.
func (s *Server) abandon(c *conn, pending *pendingCall) {
	c.mu.Lock()
	pending.abandoned = true
	id := pending.id
	started := pending.started
	c.mu.Unlock()
	if started {
		s.cfg.Gateway.Cancel(id)
	}
}

// cancel carries out the method "cancel".
func (c *conn) cancel(raw json.RawMessage) (any, *Error) {
	var p struct {
		ID json.RawMessage `json:"id"`
	}
	if e := params(raw, &p); e != nil {
		return nil, e
	}
	if p.ID == nil {
		return nil, problem(CodeInvalidParams, "id: missing")
	}
	c.mu.Lock()
	pending := c.calls[string(p.ID)]
	c.mu.Unlock()
	if pending != nil {
		c.server.Counts.Cancelled.Add(1)
		c.server.leave(c, pending)
	}
	return map[string]bool{"in_hand": pending != nil}, nil
}
