package gateway

import (
	"time"

	"kitehub/internal/registry"
	"kitehub/scheduler"
)

// verdict reports whether a call may still be sent and answered with the version that its alias was
// resolved to. It may be called on any goroutine.
func (g *Gateway) verdict(c *Call) registry.Verdict {
	if c.Binding == nil || g.cfg.Versions == nil {
		return registry.Allowed
	}
	return g.cfg.Versions.MayAnswer(c.Binding.Name, c.Binding.Target)
}

// RecheckVersions has the loop check all open requests after aliases have migrated. Requests whose
// version was superseded while they wait are handed back to their ingresses.
func (g *Gateway) RecheckVersions() {
	g.mu.Lock()
	g.recheckPending = true
	g.mu.Unlock()
	g.wakeLoop()
}

// takeRecheckPending reports whether RecheckVersions was called since the last takeRecheckPending.
func (g *Gateway) takeRecheckPending() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	pending := g.recheckPending
	g.recheckPending = false
	return pending
}

// supersedeStale hands back the requests whose version was superseded. It returns the events that
// remove them from the dispatcher.
func (g *Gateway) supersedeStale(now time.Duration) (events []scheduler.Event) {
	for _, id := range sortedKeys(g.inFlight) {
		r := g.inFlight[id]
		if r.recorded || r.claimed.Load() != 0 {
			continue
		}
		v := g.verdict(r.call)
		// Until the migration is acknowledged, a request that may have run continues, and one that
		// has not run is resolved again.
		handBack := v == registry.Superseded || v == registry.BeingSuperseded && !r.mayHaveRun() && r.outstanding == 0 && r.call.Binding.Restarts < registry.MaxRestarts
		if handBack && g.supersede(id, r, v, now) {
			events = append(events, scheduler.ClientClosed{Request: id})
		}
	}
	return events
}

// supersede hands a request whose version was superseded, or may have been, back to its ingress and
// cancels its attempts. It does nothing if the attempts in flight must be waited for, or if another
// goroutine has claimed the request. It returns whether the request was handed back; the caller
// then removes it from the dispatcher.
func (g *Gateway) supersede(id scheduler.RequestID, r *request, v registry.Verdict, now time.Duration) bool {
	idempotency := g.class(r.call).Idempotency
	mayHaveRun := r.mayHaveRun()
	inFlight := r.hasRunning()
	next := registry.AfterSuperseded(idempotency, inFlight, mayHaveRun, r.call.Binding.Restarts)
	if v == registry.NoLease {
		next = registry.WithoutLease(idempotency, inFlight, mayHaveRun)
	}
	if next == registry.Wait || !r.claim(Superseded) {
		return false
	}
	r.cancelAttempts()
	g.answer(id, r, Answer{Kind: Superseded, Verdict: v}, now)
	return true
}
