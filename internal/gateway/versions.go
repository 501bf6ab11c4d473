package gateway

import (
	"time"

	"kitehub/internal/registry"
	"kitehub/scheduler"
)

// verdict tells whether a call may still be sent and answered under the version that its alias was resolved to. It is
// safe on any goroutine.
func (g *Gateway) verdict(c *Call) registry.Verdict {
	if c.Binding == nil || g.cfg.Versions == nil {
		return registry.Allowed
	}
	return g.cfg.Versions.MayAnswer(c.Binding.Name, c.Binding.Target)
}

// RecheckVersions has the loop examine all open calls, as aliases have migrated: those whose version was superseded
// while they wait are handed back to their ingresses.
func (g *Gateway) RecheckVersions() {
	g.mu.Lock()
	g.recheckPending = true
	g.mu.Unlock()
	g.wakeLoop()
}

// takeRecheckPending tells whether aliases have migrated since the last call.
func (g *Gateway) takeRecheckPending() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	pending := g.recheckPending
	g.recheckPending = false
	return pending
}

// supersedeStale hands back the calls whose version was superseded, and returns the events that remove them from the
// dispatcher.
func (g *Gateway) supersedeStale(now time.Duration) (events []scheduler.Event) {
	for _, id := range sortedKeys(g.inFlight) {
		r := g.inFlight[id]
		if r.recorded || r.claimed.Load() != 0 {
			continue
		}
		v := g.verdict(r.call)
		// While the move is not acknowledged, what runs goes on, and what does not run begins anew.
		leave := v == registry.Superseded || v == registry.BeingSuperseded && !r.mayHaveRun() && r.outstanding == 0 && r.call.Binding.Restarts < registry.MaxRestarts
		if leave && g.supersede(id, r, v, now) {
			events = append(events, scheduler.ClientClosed{Request: id})
		}
	}
	return events
}

// supersede hands a request whose version was superseded, or may have been, back to its ingress, unless the attempts
// that are out must be waited for; they are cancelled otherwise. It returns whether the request was handed back: the
// caller then removes it from the dispatcher.
func (g *Gateway) supersede(id scheduler.RequestID, r *request, v registry.Verdict, now time.Duration) bool {
	idempotency := g.class(r.call).Idempotency
	mayHaveRun := r.mayHaveRun()
	out := r.hasRunning()
	next := registry.AfterSuperseded(idempotency, out, mayHaveRun, r.call.Binding.Restarts)
	if v == registry.NoLease {
		next = registry.WithoutLease(idempotency, out, mayHaveRun)
	}
	if next == registry.Wait || !r.claim(Superseded) {
		return false
	}
	r.cancelAttempts()
	g.answer(id, r, Answer{Kind: Superseded, Verdict: v}, now)
	return true
}
