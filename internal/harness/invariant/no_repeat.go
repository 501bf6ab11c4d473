package invariant

import (
	"time"

	"kitehub/internal/harness/trace"
)

// checkNoRepeat checks rule 2: no effect happens twice. A keyed call runs once for its key, an
// unsafe request runs once, neither is refused after it ran, and no request has two attempts at the
// same time unless requests may be hedged.
func (c *checker) checkNoRepeat(records []trace.Record) {
	firstRuns := map[string]*trace.Record{} // by key
	deduplicated := map[string]bool{}       // by worker and attempt
	for i := range records {
		if records[i].Kind == trace.RunEnded && records[i].Note == "repeat" {
			deduplicated[records[i].Worker+" "+records[i].Attempt] = true
		}
	}
	for i := range records {
		r := &records[i]
		if r.Kind != trace.RunStarted || r.Key == "" || c.classes[r.Class].Effect != "keyed" || deduplicated[r.Worker+" "+r.Attempt] {
			continue
		}
		if first := firstRuns[r.Key]; first != nil {
			c.report(NoRepeat, r.At, "keyed call %s ran at %s and again at %s", r.Key, first.Worker, r.Worker)
		}
		firstRuns[r.Key] = r
	}
	for _, id := range c.requestIDs {
		t := c.requests[id]
		if len(t.reads) == 0 {
			continue
		}
		class := c.classes[t.reads[0].Class]
		c.verdict.Checked[NoRepeat]++
		if class.Effect == "unsafe" && len(t.runs) > 1 {
			c.report(NoRepeat, t.runs[1].At, "unsafe request %s ran %d times", id, len(t.runs))
		}
		if (class.Effect == "unsafe" || class.Effect == "keyed" && !class.AllWorkers) && len(t.answers) > 0 &&
			t.answers[0].Outcome == "refused" && len(t.runs) > 0 {
			c.report(NoRepeat, t.answers[0].At, "%s request %s was refused although it ran at %s", class.Effect, id, t.runs[0].Worker)
		}
		for i, s := range t.attempts {
			for _, o := range t.attempts[i+1:] {
				from, to := max(s.from, o.from), min(s.to, o.to)
				if to > from && c.exceeds(from, from+c.rules.Slack, to) && (!c.rules.HedgedRequests || class.Effect == "unsafe") {
					c.report(NoRepeat, from, "request %s was in flight at %s and %s at once for %v", id, s.worker, o.worker, (to - from).Round(time.Millisecond))
				}
			}
		}
	}
}
