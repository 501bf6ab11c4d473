package invariant

import (
	"time"

	"kitehub/internal/harness/trace"
)

// drains judges rule 3.
func (c *checker) drains(rs []trace.Record) {
	told := map[string]time.Duration{}
	for i := range rs {
		r := &rs[i]
		key := r.Controller + " " + r.Worker
		switch r.Kind {
		case trace.ListDelivered:
			if r.Outcome == "ready" {
				delete(told, key)
			} else if _, ok := told[key]; !ok {
				told[key] = r.At
				c.verdict.Checked[DrainGrace]++
			}
		case trace.ControllerUp: // it knows what it is told from now on
			for _, k := range keysOf(told, r.Controller) {
				delete(told, k)
			}
		case trace.RequestRead, trace.LoadOrdered:
			if at, ok := told[key]; ok && c.over(at, at+c.rules.DrainGrace+c.rules.Slack, r.At) {
				what := "a call"
				if r.Kind == trace.LoadOrdered {
					what = "an order to load"
				}
				c.broken(DrainGrace, r.At, "%s sent %s to %s %v after it was told that it drains or is gone", r.Controller, what, r.Worker,
					(r.At - at).Round(time.Millisecond))
			}
		}
	}
}

func keysOf(m map[string]time.Duration, controller string) (l []string) {
	for k := range m {
		if len(k) > len(controller) && k[:len(controller)+1] == controller+" " {
			l = append(l, k)
		}
	}
	return l
}
