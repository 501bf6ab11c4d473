// Package ingress holds what all fronts share: the binding of calls to versions of models.
package ingress

import (
	"sync/atomic"
	"time"

	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/internal/registry"
	"kitehub/scheduler"
)

// Models is the registry as this controller knows it. agent.Agent with gateway.Functions is one.
type Models interface {
	// Bind resolves a model's alias to a version, as a function of its own.
	Bind(model *gateway.Function, alias string) (*gateway.Function, gateway.VersionBinding, registry.Verdict)
	// Unbind ends a call's hold on its version; ran and failed say whether a worker answered it, and in an error.
	Unbind(b gateway.VersionBinding, ran, failed bool)
	// Begin asks, just before the first byte, for an answer to be let out; see agent.Begin.
	Begin(gateway.VersionBinding) (done func(), within time.Duration, v registry.Verdict)
}

// A Binder has calls of models run under the version that their alias names.
type Binder struct {
	Models      Models
	Idempotency func(class int) scheduler.Idempotency
	Clock       clock.Clock
	Restarts    *atomic.Int64 // counts calls that began anew
}

// A BoundCall call is what a Binder runs.
type BoundCall struct {
	Call  gateway.Call
	Model *gateway.Function
	Alias string
	Final time.Duration // when its client's time is up
	// Submit hands it to the gateway; Left tells whether nobody waits for it any more.
	Submit       func(*gateway.Call)
	ClientClosed func() bool
	// Deliver is called once with the final answer. Where release is not nil, the answer is of version b, and release is to be
	// called when it has been written, or never will be: a move of the alias waits for that.
	Deliver func(a gateway.Answer, b *gateway.VersionBinding, release func())
}

// Run resolves a call's alias and submits it; the alias may leave its version before the answer, and the call begin anew then,
// or end: registry.After says which. It does not block, so it may be called where an answer is delivered.
func (n *Binder) Run(c *BoundCall) { n.run(c, 0) }

func (n *Binder) run(c *BoundCall, times int) {
	fn, b, verdict := n.Models.Bind(c.Model, c.Alias)
	switch verdict {
	case registry.Allowed:
	case registry.Unknown:
		c.Deliver(gateway.Answer{Kind: gateway.Rejected, Verdict: verdict}, nil, nil)
		return
	default:
		c.Deliver(gateway.Answer{Kind: gateway.Rejected, Verdict: registry.NoLease, RetryAfter: time.Second}, nil, nil)
		return
	}
	b.Restarts = times
	call := c.Call
	call.Function, call.Binding, call.TimeLeft = fn, &b, c.Final-n.Clock.Now()
	call.Retry = call.Retry && times == 0
	call.Deliver = func(a gateway.Answer) {
		unbind := func() {
			n.Models.Unbind(b, a.Kind == gateway.Served || a.Kind == gateway.Failed, a.Kind == gateway.Failed)
		}
		if a.Kind == gateway.Served {
			c.Deliver(a, &b, unbind)
			return
		}
		defer unbind()
		if a.Kind != gateway.Superseded {
			c.Deliver(a, &b, nil)
			return
		}
		next := registry.AfterSuperseded(n.Idempotency(fn.Class), false, a.MayHaveRun, times)
		if a.Verdict == registry.NoLease {
			next = registry.WithoutLease(n.Idempotency(fn.Class), false, a.MayHaveRun)
		}
		switch {
		case next == registry.Fail:
			c.Deliver(gateway.Answer{Kind: gateway.Failed, Verdict: a.Verdict}, nil, nil)
		case next == registry.Restart && !c.ClientClosed() && c.Final > n.Clock.Now():
			n.Restarts.Add(1)
			n.run(c, times+1)
		default:
			c.Deliver(gateway.Answer{Kind: gateway.Rejected, Verdict: a.Verdict}, nil, nil)
		}
	}
	c.Submit(&call)
}

// RetryVerdict says how an answer that its client left stands for the next try: as refused, where trying again does no harm.
func RetryVerdict(a gateway.Answer, e scheduler.Idempotency) gateway.Answer {
	if a.Kind == gateway.ClientClosed && (!a.MayHaveRun || e == scheduler.Idempotent) {
		a.Kind = gateway.Rejected
	}
	return a
}
