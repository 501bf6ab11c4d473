package invariant

import (
	"time"

	"kitehub/internal/harness/trace"
)

// effects judges rule 2.
func (c *checker) effects(rs []trace.Record) {
	ran := map[string]*trace.Record{} // by key
	repeats := map[string]bool{}
	for i := range rs {
		if rs[i].Kind == trace.RunEnded && rs[i].Note == "repeat" {
			repeats[rs[i].Worker+" "+rs[i].Attempt] = true
		}
	}
	for i := range rs {
		r := &rs[i]
		if r.Kind != trace.RunStarted || r.Key == "" || c.classes[r.Class].Effect != "keyed" || repeats[r.Worker+" "+r.Attempt] {
			continue
		}
		if first := ran[r.Key]; first != nil {
			c.broken(NoRepeat, r.At, "keyed call %s ran at %s and again at %s", r.Key, first.Worker, r.Worker)
		}
		ran[r.Key] = r
	}
	for _, id := range c.order {
		t := c.requests[id]
		if len(t.reads) == 0 {
			continue
		}
		class := c.classes[t.reads[0].Class]
		c.verdict.Checked[NoRepeat]++
		if class.Effect == "unsafe" && len(t.runs) > 1 {
			c.broken(NoRepeat, t.runs[1].At, "unsafe request %s ran %d times", id, len(t.runs))
		}
		if (class.Effect == "unsafe" || class.Effect == "keyed" && !class.AllWorkers) && len(t.answers) > 0 &&
			t.answers[0].Outcome == "refused" && len(t.runs) > 0 {
			c.broken(NoRepeat, t.answers[0].At, "%s request %s was refused and ran at %s", class.Effect, id, t.runs[0].Worker)
		}
		for i, s := range t.attempts {
			for _, o := range t.attempts[i+1:] {
				from, to := max(s.from, o.from), min(s.to, o.to)
				if to > from && c.over(from, from+c.rules.Slack, to) && (!c.rules.HedgedRequests || class.Effect == "unsafe") {
					c.broken(NoRepeat, from, "request %s was out at %s and %s at once for %v", id, s.worker, o.worker, (to - from).Round(time.Millisecond))
				}
			}
		}
	}
}
