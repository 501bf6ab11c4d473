package invariant

import (
	"slices"
	"time"

	"kitehub/internal/harness/trace"
)

// slowStart judges rule 4.
func (c *checker) slowStart(rs []trace.Record) {
	type sent struct {
		at   time.Duration
		work float64
	}
	type state struct {
		since    time.Duration
		capacity float64
		sent     []sent
	}
	workers := map[string]*state{}
	for i := range rs {
		r := &rs[i]
		switch r.Kind {
		case trace.WorkerUp:
			delete(workers, r.Worker)
			if r.WarmingUp {
				workers[r.Worker] = &state{since: r.At, capacity: r.Capacity}
			}
		case trace.Collapsed:
			c.broken(SlowStartBound, r.At, "%s fell over", r.Worker)
		case trace.RequestRead:
			w := workers[r.Worker]
			if w == nil || r.At >= w.since+c.rules.WarmupTime || c.rules.CollapseFactor == 0 {
				continue
			}
			c.verdict.Checked[SlowStartBound]++
			w.sent = slices.DeleteFunc(w.sent, func(s sent) bool { return s.at <= r.At-c.rules.CollapseWindow })
			w.sent = append(w.sent, sent{r.At, c.classes[r.Class].WorkSeconds})
			var sum float64
			for _, s := range w.sent {
				sum += s.work
			}
			share := c.rules.WarmupFraction + (1-c.rules.WarmupFraction)*float64(r.At-w.since)/float64(c.rules.WarmupTime)
			part := sum / (c.rules.CollapseFactor * w.capacity * share * c.rules.CollapseWindow.Seconds())
			c.verdict.SlowStartPeak = max(c.verdict.SlowStartPeak, part)
			if part > 1 {
				c.broken(SlowStartBound, r.At, "%s was sent %.2f times what pushes it over", r.Worker, part)
			}
		}
	}
}
