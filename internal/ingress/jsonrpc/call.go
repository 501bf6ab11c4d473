package jsonrpc

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/inbox"
	"kitehub/internal/ingress"
	"kitehub/scheduler"
)

// callParams are the params of the method "call".
type callParams struct {
	Function string          `json:"function"` // a function's name or "model@alias"
	Body     json.RawMessage `json:"body"`
	WaitMS   int64           `json:"wait_ms"`  // the client's timeout; 0: the class's deadline
	Key      string          `json:"key"`      // idempotency key, if calls of the class have one
	Retry    bool            `json:"retry"`    // the client has sent this call before
	Progress bool            `json:"progress"` // notify the client of each attempt
	Trace    string          `json:"trace"`    // trace ID, 32 hex digits
}

const (
	maxKeyBytes = 128     // of an idempotency key
	callBytes   = 4 << 10 // what a call takes beside its body
)

// A callRequest is a client's request for a call, with what is needed to respond to it.
type callRequest struct {
	conn    *conn
	id      json.RawMessage
	batch   *batch // nil: the request was not part of a batch
	pending *pendingCall
	class   int
	key     string // idempotency key, prefixed with the user's name; "": none
	release func() // returns the memory that the request holds; called with its answer
}

// A submission is a call for the gateway. If its function has versions, the call still has to be
// bound to one of them.
type submission struct {
	call     gateway.Call
	function *gateway.Function
	alias    string // selects a version of the function; "" if it has no versions
}

// A deliverFunc receives the answer to a call. b is the version that the call was bound to, or nil.
// written, if not nil, must be called when the answer has been written or is known never to be.
type deliverFunc func(a gateway.Answer, b *gateway.VersionBinding, written func())

// startCall validates and starts a call. If it returns an error, the call was not accepted;
// otherwise the response follows when the call has ended.
func (c *conn) startCall(r request, b *batch) *Error {
	s := c.server
	s.waitWhilePaused()
	var p callParams
	if e := decodeParams(r.Params, &p); e != nil {
		return e
	}
	if e := c.checkCall(r, p); e != nil {
		return e
	}
	function, alias := ingress.Resolve(s.cfg.Functions, s.cfg.Models, p.Function)
	if function == nil {
		return errorf(CodeNotFound, "no such function")
	}
	if e := s.checkKey(function.Class, p.Key); e != nil {
		return e
	}
	if inbox.PeerClosed(c.socket) {
		s.Counts.Disconnected.Add(1)
		return rejection(CodeRejected, "the client has closed", 0)
	}
	pending := &pendingCall{}
	if e := c.addCall(string(r.ID), pending); e != nil {
		return e
	}
	held := len(p.Body) + callBytes
	if !c.reserve(held) {
		c.removeCall(string(r.ID))
		return rejection(CodeBusy, "no memory left for the call", 100*time.Millisecond)
	}
	s.Counts.Calls.Add(1)
	sub := submission{call: c.gatewayCall(r.ID, function, p), function: function, alias: alias}
	request := callRequest{conn: c, id: r.ID, batch: b, pending: pending, class: function.Class}
	request.release = sync.OnceFunc(func() { c.release(held) })
	pending.answerCancelled = func() {
		request.deliver(gateway.Answer{Kind: gateway.ClientClosed, MayHaveRun: true}, nil, nil)
	}
	if s.cfg.Idempotency(function.Class) != scheduler.IdempotentWithKey { // other requests wait for one with a key
		sub.call.ClientClosed = func() bool { return inbox.PeerClosed(c.socket) }
		s.submit(c, pending, sub, request.deliver)
		return nil
	}
	request.key = c.user.Name + ":" + p.Key
	sub.call.IdempotencyKey = request.key
	if e := s.submitKeyed(&request, sub, p); e != nil {
		request.release()
		c.removeCall(string(r.ID))
		return e
	}
	return nil
}

// checkCall checks what can be checked before the function is resolved.
func (c *conn) checkCall(r request, p callParams) *Error {
	switch {
	case r.ID == nil:
		return errorf(CodeInvalidRequest, "a call has an id: its answer would go nowhere")
	case !c.user.MayCall:
		return errorf(CodeDenied, "%s may not call", c.user.Name)
	case c.server.closing.Load():
		return rejection(CodeRejected, "stopping: another controller takes calls", time.Second)
	case p.WaitMS < 0 || p.WaitMS > maxSafeInteger:
		return errorf(CodeInvalidParams, "wait_ms: %d is not from 0 to 2^53", p.WaitMS)
	case len(p.Body) == 0:
		return errorf(CodeInvalidParams, "body: missing")
	case len(p.Key) > maxKeyBytes:
		return errorf(CodeInvalidParams, "key: more than %d bytes", maxKeyBytes)
	}
	return nil
}

// checkKey checks that a call has an idempotency key if and only if its class requires one, and
// that this process may already accept keys.
func (s *Server) checkKey(class int, key string) *Error {
	keyed := s.cfg.Idempotency(class) == scheduler.IdempotentWithKey
	switch {
	case keyed && key == "":
		return errorf(CodeInvalidParams, "key: a call of this class has one")
	case !keyed && key != "":
		return errorf(CodeInvalidParams, "key: a call of this class has none")
	case !keyed || s.cfg.TakeoverTime <= 0:
		return nil
	}
	// The previous process accepted calls until TakeoverTime. One of them may have run with this
	// key as late as its deadline, and the key window begins then.
	until := max(s.cfg.TakeoverTime+s.cfg.Deadline(class)+s.cfg.KeyWindow(class), s.cfg.KeysUnknownUntil)
	if remaining := until - s.cfg.Clock.Now(); remaining > 0 {
		return rejection(CodeRejected, "the process before may have run this key", remaining+time.Millisecond)
	}
	return nil
}

// addCall registers a call in flight, unless its ID is in use or the connection has too many calls.
func (c *conn) addCall(id string, pending *pendingCall) *Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[id] != nil {
		return errorf(CodeInvalidRequest, "a call with this id is in hand")
	}
	if c.unwrittenCalls >= c.server.cfg.MaxCalls {
		return rejection(CodeBusy, "too many calls of this connection are in hand", 100*time.Millisecond)
	}
	c.calls[id] = pending
	c.unwrittenCalls++
	return nil
}

// removeCall unregisters a call that was not accepted.
func (c *conn) removeCall(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
	c.unwrittenCalls--
}

// gatewayCall returns the call to submit to the gateway for a client's request.
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
			text := encodeNotification("progress", map[string]any{
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

// traceID returns the trace ID that the client sent, or a random one if that is missing or
// malformed.
func traceID(text string) (id [16]byte) {
	if n, err := hex.Decode(id[:], []byte(text)); len(text) != 2*len(id) || err != nil || n != len(id) {
		rand.Read(id[:])
	}
	return id
}

// submit submits a call to the gateway, bound to a version if its function has versions. pending
// belongs to connection c.
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

// submitBound submits a call to the gateway, and cancels it if it has been abandoned in the
// meantime.
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

// stopWaiting ends a request's wait for a call, because its connection has ended or the client has
// cancelled the call.
func (s *Server) stopWaiting(c *conn, pending *pendingCall) {
	if pending.stopWaiting != nil {
		pending.stopWaiting()
		return
	}
	s.abandon(c, pending)
}

// abandon cancels a call at the gateway, which then delivers a final answer.
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

// handleCancel implements the method "cancel".
func (c *conn) handleCancel(raw json.RawMessage) (any, *Error) {
	var p struct {
		ID json.RawMessage `json:"id"`
	}
	if e := decodeParams(raw, &p); e != nil {
		return nil, e
	}
	if p.ID == nil {
		return nil, errorf(CodeInvalidParams, "id: missing")
	}
	c.mu.Lock()
	pending := c.calls[string(p.ID)]
	c.mu.Unlock()
	if pending != nil {
		c.server.Counts.Cancelled.Add(1)
		c.server.stopWaiting(c, pending)
	}
	return map[string]bool{"in_hand": pending != nil}, nil
}
