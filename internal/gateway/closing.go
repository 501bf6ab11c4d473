package gateway

import (
	"encoding/hex"
	"time"

	"kitehub/scheduler"
)

var outcomeNames = map[scheduler.Outcome]string{0: "out", scheduler.OK: "ok", scheduler.Error: "error", scheduler.AtCapacity: "full",
	scheduler.TimedOut: "timed out", scheduler.ConnectFailed: "connect failed", scheduler.Reset: "reset",
	scheduler.Cancelled: "cancelled", scheduler.NotStarted: "moot", scheduler.NotLoaded: "miss"}

// logRequest writes a request's one line. It holds names and numbers, never bodies, headers or keys.
func (g *Gateway) logRequest(id scheduler.RequestID, r *request, a Answer, now time.Duration) {
	if g.cfg.OmitRequestLog {
		return
	}
	e := g.cfg.Log.Info()
	if !e.Enabled() {
		return
	}
	c := r.call
	e.Str("id", c.ID).Uint64("request", uint64(id)).Str("client", c.Client).Str("function", c.Function.Name).
		Str("class", g.cfg.Settings.Classes[c.Function.Class].Name).Str("trace", hex.EncodeToString(c.Trace[:])).
		Str("answer", a.Kind.String()).Dur("took", now-r.submittedAt).Dur("allowed", c.TimeLeft).Bool("late", now > r.submittedAt+c.TimeLeft).
		Bool("retry", c.Retry)
	if t := g.tenantName(c.Tenant); t != "" {
		e.Str("tenant", t)
	}
	if c.verdict.Why != "" {
		e.Str("why", c.verdict.Why)
	}
	for _, n := range c.verdict.Notes {
		e.Str("note."+n.Key, n.Text)
	}
	if a.RetryAfter > 0 {
		e.Dur("after", a.RetryAfter)
	}
	tries := make([]string, 0, 4)
	for i := range r.attempts {
		t := &r.attempts[i]
		tries = append(tries, t.worker+" "+outcomeNames[t.outcome]+" "+t.took.Round(100*time.Microsecond).String())
	}
	e.Strs("attempts", tries).Msg("request")
}

// tenantName returns the name of a tenant, "" for none.
func (g *Gateway) tenantName(i int) string {
	if i < 0 || i >= len(g.cfg.Settings.Tenants) {
		return ""
	}
	return g.cfg.Settings.Tenants[i].Name
}

// KeepWarm advises the module to keep copies of a function until a time; 0: no longer. A name that nothing else has made known is
// known for as long as it is advised.
func (g *Gateway) KeepWarm(function string, copies int, until time.Duration) {
	id := FunctionID(function)
	g.mu.Lock()
	old, known := g.directory.functions[id]
	switch {
	case known && old != function: // the same hash: the other was there first
		g.mu.Unlock()
		return
	case !known && copies > 0:
		g.directory.functions[id], g.directory.adviceOnly[id] = function, true
	case copies == 0 && g.directory.adviceOnly[id]:
		delete(g.directory.functions, id)
		delete(g.directory.adviceOnly, id)
	}
	g.mu.Unlock()
	g.enqueue(scheduler.DesiredCopies{Function: id, Copies: copies, Until: until})
}

// RankWorker advises the module to prefer a worker (rank above 0), to avoid it (below), or neither, until a time.
func (g *Gateway) RankWorker(worker string, rank int, until time.Duration) {
	g.enqueue(scheduler.WorkerRank{Worker: WorkerID(worker), Rank: rank, Until: until})
}

// BudgetHandover returns what a process that takes over begins with.
func (g *Gateway) BudgetHandover() (e scheduler.BudgetHandover, err error) {
	err = g.runOnLoop(func() { e = g.dispatcher.BudgetHandover() })
	return e, err
}

// InheritBudget begins with what another process has used up. It is called before Run.
func (g *Gateway) InheritBudget(e scheduler.BudgetHandover) { g.enqueue(e) }

// SetSuperseded has the gateway finish what is in hand, without the budgets that another process now has; with false, no longer.
func (g *Gateway) SetSuperseded(on bool) { g.enqueue(scheduler.Superseded{On: on}) }
