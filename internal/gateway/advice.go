package gateway

import (
	"time"

	"kitehub/scheduler"
)

// KeepWarm advises the dispatcher to keep copies of a function loaded until a time on the gateway's
// clock; 0 copies withdraw the advice. A function that is not known otherwise becomes known for as
// long as the advice lasts.
func (g *Gateway) KeepWarm(function string, copies int, until time.Duration) {
	id := FunctionID(function)
	if !g.adviseFunction(id, function, copies) {
		return
	}
	g.enqueue(scheduler.DesiredCopies{Function: id, Copies: copies, Until: until})
}

// adviseFunction makes a function known for as long as there is advice to keep copies of it. It
// returns false if another known function has the same hash.
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

// RankWorker advises the dispatcher, until a time on the gateway's clock, to prefer a worker (rank
// above 0) or to avoid it (rank below 0). Rank 0 withdraws the advice.
func (g *Gateway) RankWorker(worker string, rank int, until time.Duration) {
	g.enqueue(scheduler.WorkerRank{Worker: WorkerID(worker), Rank: rank, Until: until})
}

// StageCopies reports how many copies of a function should be loaded before its first call.
func (g *Gateway) StageCopies(f *Function, copies int) {
	g.enqueue(scheduler.StagedCopies{Function: f.ID, Copies: copies})
}

// BudgetHandover returns the state of the load budget for a process that takes over this
// controller. It returns an error if the loop has ended.
func (g *Gateway) BudgetHandover() (h scheduler.BudgetHandover, err error) {
	err = g.runOnLoop(func() { h = g.dispatcher.BudgetHandover() })
	return h, err
}

// InheritBudget has the gateway start with the load budget that a predecessor process has left. It
// must be called before Run.
func (g *Gateway) InheritBudget(h scheduler.BudgetHandover) { g.enqueue(h) }

// SetBudgetHandedOver has the gateway finish its open requests without load orders and without
// sends to warming workers, as a successor process now has the budgets for both. With false the
// gateway has the budgets back.
func (g *Gateway) SetBudgetHandedOver(on bool) { g.enqueue(scheduler.Superseded{On: on}) }
