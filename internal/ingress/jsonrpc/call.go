package jsonrpc

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/ingress"
	"kitehub/internal/registry"
	"kitehub/scheduler"
)

// callParams are those of the method "call".
type callParams struct {
	Function string          `json:"function"` // or "model@alias"
	Body     json.RawMessage `json:"body"`
	WaitMS   int64           `json:"wait_ms"`  // 0: the class's deadline
	Key      string          `json:"key"`      // of a keyed class
	Retry    bool            `json:"retry"`    // the client has tried before
	Progress bool            `json:"progress"` // tell of each attempt
	Trace    string          `json:"trace"`    // 32 hex digits
}

// call begins a call; the error is told at once, anything else when the gateway has answered.
func (c *conn) call(r request, t *batch) *Error {
	s := c.s
	s.wait()
	var p callParams
	if e := params(r.Params, &p); e != nil {
		return e
	}
	switch {
	case r.ID == nil:
		return problem(CodeRequest, "a call has an id: its answer would go nowhere")
	case !c.user.Call:
		return problem(CodeDenied, "%s may not call", c.user.Name)
	case s.closing.Load():
		return &Error{CodeRefused, "stopping: another controller takes calls", map[string]any{"outcome": "refused", "retry_after_ms": 1000}}
	case p.WaitMS < 0 || p.WaitMS > maxSafe:
		return problem(CodeParams, "wait_ms: %d is not from 0 to 2^53", p.WaitMS)
	case len(p.Body) == 0:
		return problem(CodeParams, "body: missing")
	case len(p.Key) > 128:
		return problem(CodeParams, "key: more than 128 bytes")
	}
	fn, alias := s.cfg.Functions(p.Function), ""
	if fn == nil || fn.Versions {
		model, a, ok := strings.Cut(p.Function, "@")
		if alias = a; !ok {
			alias = "current"
		}
		if fn = s.cfg.Functions(model); fn != nil && (!fn.Versions || alias == "" || s.cfg.Models == nil) {
			fn = nil
		}
	}
	if fn == nil {
		return problem(CodeUnknown, "no such function")
	}
	effect := s.cfg.Effect(fn.Class)
	if (effect == scheduler.IdempotentWithKey) != (p.Key != "") {
		return problem(CodeParams, "key: a call of this class has %s", map[bool]string{true: "one", false: "none"}[effect == scheduler.IdempotentWithKey])
	}
	if after := s.cfg.After; after > 0 && effect == scheduler.IdempotentWithKey {
		// The other process took calls until then, each for its deadline at most, and may have run one with this key.
		if left := after + s.cfg.Deadline(fn.Class) + s.cfg.Window(fn.Class) - s.cfg.Clock.Now(); left > 0 {
			return &Error{CodeRefused, "the process before may have run this key", map[string]any{"outcome": "refused", "retry_after_ms": left.Milliseconds() + 1}}
		}
	}
	h := &inHand{}
	id := string(r.ID)
	c.mu.Lock()
	switch {
	case c.hand[id] != nil:
		c.mu.Unlock()
		return problem(CodeRequest, "a call with this id is in hand")
	case c.calls >= s.cfg.MaxCalls:
		c.mu.Unlock()
		return &Error{CodeBusy, "too many calls of this connection are in hand", map[string]any{"outcome": "refused", "retry_after_ms": 100}}
	}
	c.hand[id] = h
	c.calls++
	c.mu.Unlock()
	s.Counts.Calls.Add(1)

	wait := s.cfg.Deadline(fn.Class)
	if p.WaitMS > 0 && p.WaitMS < wait.Milliseconds() {
		wait = time.Duration(p.WaitMS) * time.Millisecond
	}
	call := gateway.Call{ID: c.user.Name + ":" + strings.Trim(id, `"`), Function: fn, Tenant: c.user.Tenant, Client: c.user.Name, Body: p.Body, Retry: p.Retry, TimeLeft: wait}
	if n, err := hex.Decode(call.Trace[:], []byte(p.Trace)); len(p.Trace) != 32 || err != nil || n != 16 {
		rand.Read(call.Trace[:])
	}
	if p.Progress {
		call.Progress = func(attempt int, worker string, load bool) {
			b := notification("progress", map[string]any{"id": r.ID, "attempt": attempt + 1, "worker": worker, "may_load": load})
			c.mu.Lock()
			c.event(b)
			c.mu.Unlock()
		}
	}
	to := try{id: r.ID, batch: t, hand: h, class: fn.Class}
	if effect == scheduler.IdempotentWithKey {
		to.key = c.user.Name + ":" + p.Key
	}
	deliver := func(a gateway.Answer, b *gateway.VersionBinding, release func()) { c.deliver(to, a, b, release) }
	h.gone = func() { deliver(gateway.Answer{Kind: gateway.ClientClosed, MayHaveRun: true}, nil, nil) }
	if effect != scheduler.IdempotentWithKey {
		s.run(c, h, call, fn, alias, deliver)
		return nil
	}
	call.Key = to.key
	if e := s.keyed(c, h, call, fn, alias, p, deliver); e != nil {
		c.mu.Lock()
		delete(c.hand, id)
		c.calls--
		c.mu.Unlock()
		return e
	}
	return nil
}

// run submits a call, bound to a version where its function is a model.
func (s *Server) run(c *conn, h *inHand, call gateway.Call, fn *gateway.Function, alias string, deliver func(gateway.Answer, *gateway.VersionBinding, func())) {
	submit := func(k *gateway.Call) {
		id, taken := s.cfg.Gateway.Submit(k)
		if !taken {
			k.Deliver(gateway.Answer{Kind: gateway.Rejected, RetryAfter: time.Second})
			return
		}
		c.mu.Lock()
		h.request, h.started = id, true
		left := h.left
		c.mu.Unlock()
		if left {
			s.cfg.Gateway.Cancel(id)
		}
	}
	if !fn.Versions {
		call.Deliver = func(a gateway.Answer) { deliver(a, nil, nil) }
		submit(&call)
		return
	}
	s.binder.Run(&ingress.BoundCall{Call: call, Model: fn, Alias: alias, Final: s.cfg.Clock.Now() + call.TimeLeft, Submit: submit,
		ClientClosed: func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return h.left
		}, Deliver: deliver})
}

// keyed runs a call with a key, or joins the one that runs, or gives the answer that is kept.
func (s *Server) keyed(c *conn, h *inHand, call gateway.Call, fn *gateway.Function, alias string, p callParams, deliver func(gateway.Answer, *gateway.VersionBinding, func())) *Error {
	body := append([]byte(p.Function+"\x00"), p.Body...)
	s.mu.Lock()
	what, e := s.keys.take(s.cfg.Clock.Now(), call.Key, body, s.cfg.Window(fn.Class)+call.TimeLeft, deliver)
	s.mu.Unlock()
	switch what {
	case takeReused:
		return problem(CodeReused, "the key was used for another call")
	case takeLost:
		return &Error{CodeFailed, "the call has ended; its answer was too large to keep", map[string]any{"outcome": "failed"}}
	case takeFull:
		return &Error{CodeBusy, "too many keys are remembered, or too many wait for this one", map[string]any{"outcome": "refused", "retry_after_ms": 1000}}
	case takeKept:
		s.Counts.Kept.Add(1)
		deliver(e.answer, e.bound, nil)
		return nil
	}
	h.hangUp = func() {
		s.mu.Lock()
		last, f := e.leave(), e.hangUp
		s.mu.Unlock()
		if last && f != nil {
			f()
		} else {
			h.gone() // the others wait on
		}
	}
	if what == takeJoin {
		s.Counts.Joined.Add(1)
		return nil
	}
	own := &inHand{} // of the call itself, which may outlive this try
	s.mu.Lock()
	e.hangUp = func() { s.hangUp(c, own) }
	s.mu.Unlock()
	s.run(c, own, call, fn, alias, func(a gateway.Answer, b *gateway.VersionBinding, release func()) {
		s.mu.Lock()
		l := s.keys.end(e, ingress.RetryVerdict(a, scheduler.IdempotentWithKey), b)
		s.mu.Unlock()
		var written func()
		if release != nil { // when all who wait have been written it
			left := atomic.Int64{}
			left.Store(int64(len(l)))
			written = func() {
				if left.Add(-1) == 0 {
					release()
				}
			}
		}
		for _, f := range l {
			f(a, b, written)
		}
	})
	return nil
}

// leave is called for each call of a connection that has gone, or that is cancelled.
func (s *Server) leave(c *conn, h *inHand) {
	if h.hangUp != nil {
		h.hangUp()
		return
	}
	s.hangUp(c, h)
}

func (s *Server) hangUp(c *conn, h *inHand) {
	c.mu.Lock()
	h.left = true
	id, started := h.request, h.started
	c.mu.Unlock()
	if started {
		s.cfg.Gateway.Cancel(id)
	}
}

func (c *conn) cancel(raw json.RawMessage) (any, *Error) {
	var p struct {
		ID json.RawMessage `json:"id"`
	}
	if e := params(raw, &p); e != nil {
		return nil, e
	}
	if p.ID == nil {
		return nil, problem(CodeParams, "id: missing")
	}
	c.mu.Lock()
	h := c.hand[string(p.ID)]
	c.mu.Unlock()
	if h != nil {
		c.s.Counts.Cancelled.Add(1)
		c.s.leave(c, h)
	}
	return map[string]bool{"in_hand": h != nil}, nil
}

// A try is one request for a call.
type try struct {
	id    json.RawMessage
	batch *batch
	hand  *inHand
	class int
	key   string
}

// deliver has the one answer of a try written. It does not block; a second answer is dropped.
func (c *conn) deliver(t try, a gateway.Answer, b *gateway.VersionBinding, release func()) {
	i := item{calls: 1, render: func() ([]byte, time.Duration, func()) { return c.s.render(t, a, b, release) }}
	c.mu.Lock()
	second := t.hand.answered
	t.hand.answered = true
	if c.hand[string(t.id)] == t.hand {
		delete(c.hand, string(t.id))
	}
	if second || c.ended { // nobody reads it
		c.mu.Unlock()
		if release != nil {
			release()
		}
		return
	}
	if t.batch == nil {
		c.put(i)
	}
	c.mu.Unlock()
	if t.batch != nil {
		t.batch.add(&i)
	}
}

// render writes an answer as it goes out. That of a version is asked for at the door: its alias may have left it.
func (s *Server) render(t try, a gateway.Answer, b *gateway.VersionBinding, release func()) ([]byte, time.Duration, func()) {
	id := t.id
	if a.Kind != gateway.Served || b == nil {
		return reply(id, result(a, nil), failure(a)), 0, release
	}
	done, within, verdict := s.cfg.Models.Begin(*b)
	if verdict == registry.Allowed {
		return reply(id, result(a, b), nil), within, func() {
			done()
			if release != nil {
				release()
			}
		}
	}
	s.Counts.Withheld.Add(1)
	k := gateway.Answer{Kind: gateway.Rejected, Verdict: verdict}
	if registry.WithoutLease(s.cfg.Effect(t.class), false, true) == registry.Fail {
		k.Kind = gateway.Failed
	} else if t.key != "" {
		s.mu.Lock()
		s.keys.withdraw(t.key)
		s.mu.Unlock()
	}
	return reply(id, nil, failure(k)), 0, release
}

func result(a gateway.Answer, b *gateway.VersionBinding) any {
	if a.Kind != gateway.Served {
		return nil
	}
	m := map[string]any{"outcome": "served"}
	if json.Valid(a.Body) {
		m["body"] = json.RawMessage(a.Body)
	} else {
		m["base64"] = a.Body
	}
	if b != nil {
		m["version"], m["revision"] = b.Target.Version, b.Target.Revision
	}
	return m
}

func failure(a gateway.Answer) *Error {
	switch {
	case a.Kind == gateway.Served:
		return nil
	case a.Kind == gateway.Rejected:
		why := "no worker takes it now"
		switch a.Verdict {
		case registry.Superseded:
			why = "its version was replaced"
		case registry.NoLease:
			why = "the registry is not heard: which version is to answer is not known"
		case registry.Unknown:
			why = "the alias names no version"
		}
		return &Error{CodeRefused, why, map[string]any{"outcome": "refused", "retry_after_ms": a.RetryAfter.Milliseconds()}}
	case a.Kind == gateway.ClientClosed:
		return &Error{CodeGone, "cancelled", map[string]any{"outcome": "gone", "may_have_run": a.MayHaveRun}}
	case a.DeadlineExceeded:
		return &Error{CodeLate, "no answer came in the client's time", map[string]any{"outcome": "failed"}}
	case a.Verdict != 0:
		return &Error{CodeFailed, "its version may have been replaced while it ran", map[string]any{"outcome": "failed"}}
	}
	return &Error{CodeFailed, "the attempts that the call allows are over", map[string]any{"outcome": "failed"}}
}
