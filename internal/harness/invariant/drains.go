package invariant

import (
	"time"

	"kitehub/internal/harness/trace"
)

// checkDrainGrace checks rule 3: a controller sends nothing new to a worker once the drain grace
// has passed since it learned that the worker is draining or removed.
func (c *checker) checkDrainGrace(records []trace.Record) {
	notReadySince := map[string]time.Duration{} // by controller and worker
	for i := range records {
		r := &records[i]
		key := r.Controller + " " + r.Worker
		switch r.Kind {
		case trace.ListDelivered:
			if r.Outcome == "ready" {
				delete(notReadySince, key)
			} else if _, ok := notReadySince[key]; !ok {
				notReadySince[key] = r.At
				c.verdict.Checked[DrainGrace]++
			}
		case trace.ControllerUp: // a restarted controller knows only the lists that it receives from now on
			for _, k := range keysOfController(notReadySince, r.Controller) {
				delete(notReadySince, k)
			}
		case trace.RequestRead, trace.LoadOrdered:
			if at, ok := notReadySince[key]; ok && c.exceeds(at, at+c.rules.DrainGrace+c.rules.Slack, r.At) {
				what := "a call"
				if r.Kind == trace.LoadOrdered {
					what = "a load order"
				}
				c.report(DrainGrace, r.At, "%s sent %s to %s %v after it learned that the worker is draining or removed", r.Controller, what, r.Worker,
					(r.At - at).Round(time.Millisecond))
			}
		}
	}
}

func keysOfController(m map[string]time.Duration, controller string) (keys []string) {
	for k := range m {
		if len(k) > len(controller) && k[:len(controller)+1] == controller+" " {
			keys = append(keys, k)
		}
	}
	return keys
}
