package invariant

import (
	"time"

	"kitehub/internal/harness/trace"
)

// loads judges rule 5. A window's orders are counted over it less twice the slack, its calls over it and the slack.
func (c *checker) loads(rs []trace.Record) {
	if c.rules.LoadWindow == 0 {
		return
	}
	type life struct{ asked, orders []time.Duration }
	lives := map[string]*life{}
	turned := map[string]bool{} // tries that never were taken
	for id, t := range c.requests {
		if len(t.answers) > 0 && !final(t.answers[0].Outcome) && t.answers[0].Outcome != ClientClosed &&
			t.answers[0].Outcome != ConnectionLost && len(t.reads) == 0 {
			turned[id] = true
		}
	}
	for i := range rs {
		r := &rs[i]
		if r.Kind != trace.RequestSent && r.Kind != trace.LoadOrdered && r.Kind != trace.ControllerUp {
			continue
		}
		l := lives[r.Controller]
		if l == nil || r.Kind == trace.ControllerUp {
			l = &life{}
			lives[r.Controller] = l
		}
		switch {
		case r.Kind == trace.RequestSent && !turned[r.Request]:
			l.asked = append(l.asked, r.At)
		case r.Kind == trace.LoadOrdered && r.Copies > 0:
			l.orders = append(l.orders, r.At)
			c.verdict.Checked[LoadBudget]++
			n, calls := 0, 0
			for _, at := range l.orders {
				if at > r.At-c.rules.LoadWindow+2*c.rules.Slack+c.stalled(r.At-c.rules.LoadWindow, r.At) {
					n++
				}
			}
			for _, at := range l.asked {
				if at > r.At-c.rules.LoadWindow-c.rules.Slack {
					calls++
				}
			}
			if may := c.rules.LoadFree + c.rules.LoadRatio*float64(calls); float64(n) > may {
				c.broken(LoadBudget, r.At, "%s ordered %d loads in the window, %.1f are allowed by %d calls", r.Controller, n, may, calls)
			}
		}
	}
}
