package invariant

import (
	"slices"
	"time"

	"kitehub/internal/harness/trace"
)

// checkSlowStart checks rule 4: a worker that is warming up receives less work within the collapse
// window than makes it collapse.
func (c *checker) checkSlowStart(records []trace.Record) {
	type sentWork struct {
		at      time.Duration
		seconds float64
	}
	type warmingWorker struct {
		since    time.Duration
		capacity float64
		sent     []sentWork
	}
	workers := map[string]*warmingWorker{}
	for i := range records {
		r := &records[i]
		switch r.Kind {
		case trace.WorkerUp:
			delete(workers, r.Worker)
			if r.WarmingUp {
				workers[r.Worker] = &warmingWorker{since: r.At, capacity: r.Capacity}
			}
		case trace.Collapsed:
			c.report(SlowStartBound, r.At, "%s collapsed", r.Worker)
		case trace.RequestRead:
			w := workers[r.Worker]
			if w == nil || r.At >= w.since+c.rules.WarmupTime || c.rules.CollapseFactor == 0 {
				continue
			}
			c.verdict.Checked[SlowStartBound]++
			w.sent = slices.DeleteFunc(w.sent, func(s sentWork) bool { return s.at <= r.At-c.rules.CollapseWindow })
			w.sent = append(w.sent, sentWork{r.At, c.classes[r.Class].WorkSeconds})
			var sum float64
			for _, s := range w.sent {
				sum += s.seconds
			}
			fraction := c.rules.WarmupFraction + (1-c.rules.WarmupFraction)*float64(r.At-w.since)/float64(c.rules.WarmupTime)
			load := sum / (c.rules.CollapseFactor * w.capacity * fraction * c.rules.CollapseWindow.Seconds())
			c.verdict.SlowStartPeak = max(c.verdict.SlowStartPeak, load)
			if load > 1 {
				c.report(SlowStartBound, r.At, "%s received %.2f times the work that makes it collapse", r.Worker, load)
			}
		}
	}
}
