package gateway

import (
	"encoding/hex"
	"time"

	"kitehub/scheduler"
)

var outcomes = map[scheduler.Outcome]string{0: "out", scheduler.OK: "ok", scheduler.Error: "error", scheduler.AtCapacity: "full",
	scheduler.TimedOut: "timed out", scheduler.ConnectFailed: "connect failed", scheduler.Reset: "reset",
	scheduler.Cancelled: "cancelled", scheduler.NotStarted: "moot", scheduler.NotLoaded: "miss"}

// closing writes a request's one line. It holds names and numbers, never bodies, headers or keys.
func (g *Gateway) closing(id scheduler.RequestID, r *entry, a Answer, now time.Duration) {
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
		Str("answer", a.Kind.String()).Dur("took", now-r.at).Dur("allowed", c.TimeLeft).Bool("late", now > r.at+c.TimeLeft).
		Bool("retry", c.Retry)
	if t := g.tenant(c.Tenant); t != "" {
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
	for i := range r.tries {
		t := &r.tries[i]
		tries = append(tries, t.worker+" "+outcomes[t.outcome]+" "+t.took.Round(100*time.Microsecond).String())
	}
	e.Strs("attempts", tries).Msg("request")
}

// tenant returns the name of a tenant, "" for none.
func (g *Gateway) tenant(i int) string {
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
	old, known := g.names.functions[id]
	switch {
	case known && old != function: // the same hash: the other was there first
		g.mu.Unlock()
		return
	case !known && copies > 0:
		g.names.functions[id], g.names.advised[id] = function, true
	case copies == 0 && g.names.advised[id]:
		delete(g.names.functions, id)
		delete(g.names.advised, id)
	}
	g.mu.Unlock()
	g.put(scheduler.DesiredCopies{Function: id, Copies: copies, Until: until})
}

// RankWorker advises the module to prefer a worker (rank above 0), to avoid it (below), or neither, until a time.
func (g *Gateway) RankWorker(worker string, rank int, until time.Duration) {
	g.put(scheduler.WorkerRank{Worker: WorkerID(worker), Rank: rank, Until: until})
}

// Spent returns what a process that takes over begins with.
func (g *Gateway) Spent() (e scheduler.BudgetHandover, err error) {
	err = g.ask(func() { e = g.d.BudgetHandover() })
	return e, err
}

// Inherit begins with what another process has used up. It is called before Run.
func (g *Gateway) Inherit(e scheduler.BudgetHandover) { g.put(e) }

// Retire has the gateway finish what is in hand, without the budgets that another process now has; with false, no longer.
func (g *Gateway) Retire(on bool) { g.put(scheduler.Superseded{On: on}) }
