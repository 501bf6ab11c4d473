package invariant

import (
	"time"
)

// checkOneAnswer checks rule 1: each accepted request gets one answer by its deadline and the
// answer grace, and nothing is sent to a worker for it afterwards. The first part is not checked
// for a request whose controller was down at some time until then.
func (c *checker) checkOneAnswer() {
	for _, id := range c.requestIDs {
		t := c.requests[id]
		if t.sent == nil {
			c.report(OneAnswer, t.reads[0].At, "worker %s received request %s, which no client sent", t.reads[0].Worker, id)
			continue
		}
		sent := t.sent
		for _, r := range t.answers {
			if isFinal(r.Outcome) && r.At > sent.Until {
				c.verdict.Overdue++
			}
			c.verdict.Answers[r.Outcome]++
		}
		limit := sent.Until + c.rules.AnswerGrace + c.rules.Slack
		down := c.wasDown(sent.Controller, sent.At, limit)
		clientClosed := len(t.answers) == 1 && t.answers[0].Outcome == ClientClosed
		if !down {
			c.verdict.Checked[OneAnswer]++
			switch {
			case len(t.answers) == 0 && limit > c.end:
				c.verdict.Checked[OneAnswer]-- // the trace ends before the answer is due
			case len(t.answers) == 0:
				c.report(OneAnswer, limit, "request %s to %s has no answer", id, sent.Controller)
			case len(t.answers) > 1:
				c.report(OneAnswer, t.answers[1].At, "request %s to %s has %d answers", id, sent.Controller, len(t.answers))
			case t.answers[0].Outcome == ConnectionLost:
				c.report(OneAnswer, t.answers[0].At, "request %s to %s lost its connection while the controller was running", id, sent.Controller)
			case !clientClosed && c.exceeds(sent.At, limit, t.answers[0].At):
				c.report(OneAnswer, t.answers[0].At, "request %s to %s was answered %v after its deadline", id, sent.Controller,
					(t.answers[0].At - sent.Until).Round(time.Millisecond))
			}
		}
		if len(t.answers) > 0 {
			for _, read := range t.reads {
				if c.exceeds(t.answers[0].At, t.answers[0].At+c.rules.Slack, read.At) {
					c.report(OneAnswer, read.At, "request %s was sent to %s %v after its answer (%s)", id, read.Worker,
						(read.At - t.answers[0].At).Round(time.Millisecond), t.answers[0].Outcome)
				}
			}
		}
	}
}
