// Package ingress holds what the ingress protocols have in common: the binding of calls to versions
// of models. The protocols are implemented by its subpackages.
package ingress

import (
	"sync/atomic"
	"time"

	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/internal/registry"
	"kitehub/scheduler"
)

// Models is the registry's state as this controller knows it: the versions of models and the
// aliases that name them.
type Models interface {
	// Bind resolves a model's alias to a version, which it returns as a function.
	Bind(model *gateway.Function, alias string) (*gateway.Function, gateway.VersionBinding, registry.Verdict)
	// Unbind ends a call's binding to its version. ran reports whether a worker answered the call,
	// and failed whether it answered with an error.
	Unbind(b gateway.VersionBinding, ran, failed bool)
	// BeginAnswer asks, just before the first byte of an answer is written, whether it may be
	// written; see agent.Agent.BeginAnswer. If so, it must be written within the timeout (0: no
	// bound), and done must be called afterwards.
	BeginAnswer(gateway.VersionBinding) (done func(), timeout time.Duration, v registry.Verdict)
}

// A Binder runs calls of models under the version that their alias names. It is safe for concurrent
// use.
type Binder struct {
	Models      Models
	Idempotency func(class int) scheduler.Idempotency
	Clock       clock.Clock
	Restarts    *atomic.Int64 // counts restarts of calls
}

// A BoundCall is a call of a model that a Binder runs.
type BoundCall struct {
	Call     gateway.Call
	Model    *gateway.Function
	Alias    string
	Deadline time.Duration // deadline of the client, by the Binder's clock
	// Submit submits a call to the gateway. ClientClosed reports whether no client waits for the
	// answer any more.
	Submit       func(*gateway.Call)
	ClientClosed func() bool
	// Deliver is called once with the final answer. If release is not nil, the answer is that of
	// version b, and release must be called once the answer has been written or will never be: a
	// migration of the alias waits for it.
	Deliver func(a gateway.Answer, b *gateway.VersionBinding, release func())

	mayHaveRun bool // under a version that its alias has left
}

// Run resolves a call's alias and submits the call. If the alias leaves the version before the call
// is answered, the call is restarted under the new version or ended, as registry.AfterSuperseded
// and registry.WithoutLease decide. Run does not block, so it may be called from where an answer is
// delivered.
func (b *Binder) Run(c *BoundCall) { b.run(c, 0) }

// run runs a call that has been restarted the given number of times.
func (b *Binder) run(c *BoundCall, restarts int) {
	function, binding, verdict := b.Models.Bind(c.Model, c.Alias)
	if verdict != registry.Allowed {
		a := unresolvedAnswer(verdict)
		a.MayHaveRun = c.mayHaveRun
		c.Deliver(a, nil, nil)
		return
	}
	binding.Restarts = restarts
	call := c.Call
	call.Function = function
	call.Binding = &binding
	call.TimeLeft = c.Deadline - b.Clock.Now()
	call.Retry = call.Retry && restarts == 0
	call.Deliver = func(a gateway.Answer) { b.deliver(c, function.Class, &binding, a) }
	c.Submit(&call)
}

// unresolvedAnswer returns the answer to a call whose alias names no version, or of which that is
// not known because there is no lease.
func unresolvedAnswer(verdict registry.Verdict) gateway.Answer {
	if verdict == registry.Unknown {
		return gateway.Answer{Kind: gateway.Rejected, Verdict: verdict}
	}
	return gateway.Answer{Kind: gateway.Rejected, Verdict: registry.NoLease, RetryAfter: time.Second}
}

// deliver delivers the answer of a call, unless the call is restarted. The binding of a served call
// ends when its answer has been written, that of any other at once.
func (b *Binder) deliver(c *BoundCall, class int, binding *gateway.VersionBinding, a gateway.Answer) {
	c.mayHaveRun = c.mayHaveRun || a.MayHaveRun
	a.MayHaveRun = c.mayHaveRun
	unbind := func() {
		b.Models.Unbind(*binding, a.Kind == gateway.Served || a.Kind == gateway.Failed, a.Kind == gateway.Failed)
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
	switch next := b.afterMigration(class, binding.Restarts, a); {
	case next == registry.Fail:
		c.Deliver(gateway.Answer{Kind: gateway.Failed, Verdict: a.Verdict}, nil, nil)
	case next == registry.Restart && !c.ClientClosed() && c.Deadline > b.Clock.Now():
		b.Restarts.Add(1)
		b.run(c, binding.Restarts+1)
	default:
		c.Deliver(gateway.Answer{Kind: gateway.Rejected, Verdict: a.Verdict, MayHaveRun: a.MayHaveRun}, nil, nil)
	}
}

// afterMigration decides how to go on with a call whose alias has left its version, or may have.
func (b *Binder) afterMigration(class, restarts int, a gateway.Answer) registry.NextStep {
	idempotency := b.Idempotency(class)
	if a.Verdict == registry.NoLease {
		return registry.WithoutLease(idempotency, false, a.MayHaveRun)
	}
	return registry.AfterSuperseded(idempotency, false, a.MayHaveRun, restarts)
}

// AnswerForRetry returns the answer to a retry of a call that ended with a. If the client abandoned
// the call, that is a rejection, provided that executing the call again does no harm.
func AnswerForRetry(a gateway.Answer, idempotency scheduler.Idempotency) gateway.Answer {
	if a.Kind == gateway.ClientClosed && (!a.MayHaveRun || idempotency == scheduler.Idempotent) {
		a.Kind = gateway.Rejected
	}
	return a
}
