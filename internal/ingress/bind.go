// Package ingress holds what the protocols by which calls come in have in common: the binding of calls to versions of
// models. The protocols are in the packages below it.
package ingress

import (
	"sync/atomic"
	"time"

	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/internal/registry"
	"kitehub/scheduler"
)

// Models is the registry, as far as this controller knows it. agent.Agent with gateway.Functions is one.
type Models interface {
	// Bind resolves a model's alias to a version, as a function of its own.
	Bind(model *gateway.Function, alias string) (*gateway.Function, gateway.VersionBinding, registry.Verdict)
	// Unbind ends a call's binding to its version; ran and failed say whether a worker answered it, and with an error.
	Unbind(b gateway.VersionBinding, ran, failed bool)
	// BeginAnswer asks, just before the first byte is written, whether an answer may be written; see agent.BeginAnswer.
	BeginAnswer(gateway.VersionBinding) (done func(), within time.Duration, v registry.Verdict)
}

// A Binder runs calls of models under the version that their alias names. It is safe for concurrent use.
type Binder struct {
	Models      Models
	Idempotency func(class int) scheduler.Idempotency
	Clock       clock.Clock
	Restarts    *atomic.Int64 // counts calls that began anew
}

// A BoundCall is a call of a model, for a Binder to run.
type BoundCall struct {
	Call     gateway.Call
	Model    *gateway.Function
	Alias    string
	Deadline time.Duration // when the client's time is up, by the Binder's clock
	// Submit hands a call to the gateway. ClientClosed reports whether no client waits for the answer any more.
	Submit       func(*gateway.Call)
	ClientClosed func() bool
	// Deliver is called once with the final answer. If release is not nil, the answer is of version b, and release
	// must be called when it has been written, or never will be: a move of the alias waits for that.
	Deliver func(a gateway.Answer, b *gateway.VersionBinding, release func())
}

// Run resolves a call's alias and submits the call. If the alias leaves its version before the answer, the call
// begins anew or ends: registry.After says which. Run does not block, so it may be called where an answer is
// delivered.
func (n *Binder) Run(c *BoundCall) { n.run(c, 0) }

// run runs a call that has begun anew so many times.
func (n *Binder) run(c *BoundCall, restarts int) {
	function, binding, verdict := n.Models.Bind(c.Model, c.Alias)
	if verdict != registry.Allowed {
		c.Deliver(notBound(verdict), nil, nil)
		return
	}
	binding.Restarts = restarts
	call := c.Call
	call.Function = function
	call.Binding = &binding
	call.TimeLeft = c.Deadline - n.Clock.Now()
	call.Retry = call.Retry && restarts == 0
	call.Deliver = func(a gateway.Answer) { n.deliver(c, function.Class, &binding, a) }
	c.Submit(&call)
}

// notBound returns the answer to a call whose alias names no version, or of which it is not known whether it does.
func notBound(verdict registry.Verdict) gateway.Answer {
	if verdict == registry.Unknown {
		return gateway.Answer{Kind: gateway.Rejected, Verdict: verdict}
	}
	return gateway.Answer{Kind: gateway.Rejected, Verdict: registry.NoLease, RetryAfter: time.Second}
}

// deliver delivers the answer of a call, unless the call begins anew. The binding ends when a served answer has been
// written, and otherwise at once.
func (n *Binder) deliver(c *BoundCall, class int, binding *gateway.VersionBinding, a gateway.Answer) {
	unbind := func() {
		n.Models.Unbind(*binding, a.Kind == gateway.Served || a.Kind == gateway.Failed, a.Kind == gateway.Failed)
	}
	if a.Kind == gateway.Served {
		c.Deliver(a, binding, unbind)
		return
	}
	defer unbind()
	if a.Kind != gateway.Superseded {
		c.Deliver(a, binding, nil)
		return
	}
	switch next := n.afterMove(class, binding.Restarts, a); {
	case next == registry.Fail:
		c.Deliver(gateway.Answer{Kind: gateway.Failed, Verdict: a.Verdict}, nil, nil)
	case next == registry.Restart && !c.ClientClosed() && c.Deadline > n.Clock.Now():
		n.Restarts.Add(1)
		n.run(c, binding.Restarts+1)
	default:
		c.Deliver(gateway.Answer{Kind: gateway.Rejected, Verdict: a.Verdict}, nil, nil)
	}
}

// afterMove decides what becomes of a call whose alias has left its version, or may have.
func (n *Binder) afterMove(class, restarts int, a gateway.Answer) registry.NextStep {
	idempotency := n.Idempotency(class)
	if a.Verdict == registry.NoLease {
		return registry.WithoutLease(idempotency, false, a.MayHaveRun)
	}
	return registry.AfterSuperseded(idempotency, false, a.MayHaveRun, restarts)
}

// AnswerForRetry returns the answer that a retry gets of a call that its client left: a rejection, if to execute the
// call again does no harm.
func AnswerForRetry(a gateway.Answer, idempotency scheduler.Idempotency) gateway.Answer {
	if a.Kind == gateway.ClientClosed && (!a.MayHaveRun || idempotency == scheduler.Idempotent) {
		a.Kind = gateway.Rejected
	}
	return a
}
