package invariant

import (
	"time"

	"kitehub/internal/harness/trace"
)

// checkLoadBudget checks rule 5: a controller's load orders within a window stay within the budget
// that its calls allow. The window over which orders are counted is shortened by twice the slack,
// and the one over which calls are counted is extended by the slack.
func (c *checker) checkLoadBudget(records []trace.Record) {
	if c.rules.LoadWindow == 0 {
		return
	}
	type controllerRun struct{ calls, orders []time.Duration } // times, since the controller started
	runs := map[string]*controllerRun{}
	rejected := map[string]bool{} // calls that the controller did not accept
	for id, t := range c.requests {
		if len(t.answers) > 0 && !isFinal(t.answers[0].Outcome) && t.answers[0].Outcome != ClientClosed &&
			t.answers[0].Outcome != ConnectionLost && len(t.reads) == 0 {
			rejected[id] = true
		}
	}
	for i := range records {
		r := &records[i]
		if r.Kind != trace.RequestSent && r.Kind != trace.LoadOrdered && r.Kind != trace.ControllerUp {
			continue
		}
		run := runs[r.Controller]
		if run == nil || r.Kind == trace.ControllerUp {
			run = &controllerRun{}
			runs[r.Controller] = run
		}
		switch {
		case r.Kind == trace.RequestSent && !rejected[r.Request]:
			run.calls = append(run.calls, r.At)
		case r.Kind == trace.LoadOrdered && r.Copies > 0:
			run.orders = append(run.orders, r.At)
			c.verdict.Checked[LoadBudget]++
			orders, calls := 0, 0
			for _, at := range run.orders {
				if at > r.At-c.rules.LoadWindow+2*c.rules.Slack+c.stallTime(r.At-c.rules.LoadWindow, r.At) {
					orders++
				}
			}
			for _, at := range run.calls {
				if at > r.At-c.rules.LoadWindow-c.rules.Slack {
					calls++
				}
			}
			if budget := c.rules.LoadFree + c.rules.LoadRatio*float64(calls); float64(orders) > budget {
				c.report(LoadBudget, r.At, "%s ordered %d loads in the window, %.1f are allowed by %d calls", r.Controller, orders, budget, calls)
			}
		}
	}
}
