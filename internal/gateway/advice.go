package gateway

import (
	"time"

	"kitehub/scheduler"
)

// KeepWarm advises the dispatcher to keep copies of a function until a time of the gateway's clock; 0 copies: no
// longer. A name that nothing else has made known is known for as long as it is advised.
func (g *Gateway) KeepWarm(function string, copies int, until time.Duration) {
	id := FunctionID(function)
	if !g.adviseFunction(id, function, copies) {
		return
	}
	g.enqueue(scheduler.DesiredCopies{Function: id, Copies: copies, Until: until})
}

// adviseFunction makes a function known for as long as copies of it are advised. It returns false if another function
// has the same hash: that one was there first.
func (g *Gateway) adviseFunction(id scheduler.FunctionID, name string, copies int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := &g.directory
	old, known := d.functions[id]
	switch {
	case known && old != name:
		return false
	case !known && copies > 0:
		d.functions[id] = name
		d.adviceOnly[id] = true
	case copies == 0 && d.adviceOnly[id]:
		delete(d.functions, id)
		delete(d.adviceOnly, id)
	}
	return true
}

// RankWorker advises the dispatcher to prefer a worker (rank above 0), to avoid it (below), or neither (0), until a
// time of the gateway's clock.
func (g *Gateway) RankWorker(worker string, rank int, until time.Duration) {
	g.enqueue(scheduler.WorkerRank{Worker: WorkerID(worker), Rank: rank, Until: until})
}

// StageCopies reports how many copies of a function are wanted before it is called.
func (g *Gateway) StageCopies(f *Function, copies int) {
	g.enqueue(scheduler.StagedCopies{Function: f.ID, Copies: copies})
}

// BudgetHandover returns the state of the budgets with which a process that takes over begins. It returns an error if
// the loop has ended.
func (g *Gateway) BudgetHandover() (h scheduler.BudgetHandover, err error) {
	err = g.runOnLoop(func() { h = g.dispatcher.BudgetHandover() })
	return h, err
}

// InheritBudget begins with the budgets as another process has left them. It must be called before Run.
func (g *Gateway) InheritBudget(h scheduler.BudgetHandover) { g.enqueue(h) }

// SetBudgetHandedOver has the gateway finish what is open without its budgets, as another process has them now; with false,
// it has them back.
func (g *Gateway) SetBudgetHandedOver(on bool) { g.enqueue(scheduler.Superseded{On: on}) }
