package invariant

import (
	"time"
)

// answers judges rule 1.
func (c *checker) answers() {
	for _, id := range c.order {
		t := c.requests[id]
		if t.sent == nil {
			c.broken(OneAnswer, t.reads[0].At, "worker %s got request %s, which no client sent", t.reads[0].Worker, id)
			continue
		}
		a := t.sent
		for _, r := range t.answers {
			if final(r.Outcome) && r.At > a.Until {
				c.verdict.Overdue++
			}
			c.verdict.Answers[r.Outcome]++
		}
		limit := a.Until + c.rules.AnswerGrace + c.rules.Slack
		down := c.wasDown(a.Controller, a.At, limit)
		left := len(t.answers) == 1 && t.answers[0].Outcome == ClientClosed
		if !down {
			c.verdict.Checked[OneAnswer]++
			switch {
			case len(t.answers) == 0 && limit > c.end:
				c.verdict.Checked[OneAnswer]-- // the trace ends before its time
			case len(t.answers) == 0:
				c.broken(OneAnswer, limit, "request %s to %s has no answer", id, a.Controller)
			case len(t.answers) > 1:
				c.broken(OneAnswer, t.answers[1].At, "request %s to %s has %d answers", id, a.Controller, len(t.answers))
			case t.answers[0].Outcome == ConnectionLost:
				c.broken(OneAnswer, t.answers[0].At, "request %s to %s, which ran, was cut off", id, a.Controller)
			case !left && c.over(a.At, limit, t.answers[0].At):
				c.broken(OneAnswer, t.answers[0].At, "request %s to %s was answered %v after its time", id, a.Controller,
					(t.answers[0].At - a.Until).Round(time.Millisecond))
			}
		}
		if len(t.answers) > 0 {
			for _, g := range t.reads {
				if c.over(t.answers[0].At, t.answers[0].At+c.rules.Slack, g.At) {
					c.broken(OneAnswer, g.At, "request %s was sent to %s %v after its answer (%s)", id, g.Worker,
						(g.At - t.answers[0].At).Round(time.Millisecond), t.answers[0].Outcome)
				}
			}
		}
	}
}
