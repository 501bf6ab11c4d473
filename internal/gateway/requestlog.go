package gateway

import (
	"encoding/hex"
	"fmt"
	"time"

	"kitehub/scheduler"
)

// outcomeNames are the names of outcomes in logs, explanations and hooks. Operators' tools read
// them.
var outcomeNames = map[scheduler.Outcome]string{
	0:                       "out",
	scheduler.OK:            "ok",
	scheduler.Error:         "error",
	scheduler.AtCapacity:    "full",
	scheduler.TimedOut:      "timed out",
	scheduler.ConnectFailed: "connect failed",
	scheduler.Reset:         "reset",
	scheduler.Cancelled:     "cancelled",
	scheduler.NotStarted:    "moot",
	scheduler.NotLoaded:     "miss",
}

// displayPrecision is the precision to which displayed durations are rounded.
const displayPrecision = 100 * time.Microsecond

// describeAttempts returns a text for each attempt: the worker and its group, when it was sent, on
// which connection, how long after that its first byte followed, whether its last byte did, how it
// ended, and how long it took.
func (r *request) describeAttempts() []string {
	texts := make([]string, 0, len(r.attempts))
	for i := range r.attempts {
		texts = append(texts, r.attempts[i].describe(r.submittedAt))
	}
	return texts
}

func (a *attempt) describe(submittedAt time.Duration) string {
	wire := "nothing sent"
	if a.sent.Conn > 0 {
		part := "incomplete"
		if a.sent.Complete {
			part = "complete"
		}
		wire = fmt.Sprintf("#%d +%v %s", a.sent.Conn, a.sent.Delay.Round(displayPrecision), part)
	}
	if a.running != nil {
		wire = "in flight"
	}
	return fmt.Sprintf("%s/%s at %v: %s, %s after %v", a.worker, a.group, (a.sentAt - submittedAt).Round(displayPrecision),
		wire, outcomeNames[a.outcome], a.took.Round(displayPrecision))
}

// logUnserved logs a request that was sent, was not served and would do harm if it ran twice. Where
// requests are not logged one by one, it shows why such a request was answered as it was.
func (g *Gateway) logUnserved(r *request, a Answer, now time.Duration) {
	unserved := a.Kind == Rejected || a.Kind == Failed
	if !unserved || len(r.attempts) == 0 || g.class(r.call).Idempotency == scheduler.Idempotent {
		return
	}
	g.cfg.Log.Info().Str("id", r.call.ID).Str("class", g.class(r.call).Name).Str("answer", a.Kind.String()).
		Dur("took", now-r.submittedAt).Strs("attempts", r.describeAttempts()).Msg("not served")
}

// logRequest writes the one log line of a request. It contains names and numbers, never bodies,
// headers or keys.
func (g *Gateway) logRequest(id scheduler.RequestID, r *request, a Answer, now time.Duration) {
	if g.cfg.OmitRequestLog {
		g.logUnserved(r, a, now)
		return
	}
	e := g.cfg.Log.Info()
	if !e.Enabled() {
		return
	}
	c := r.call
	e.Str("id", c.ID).Uint64("request", uint64(id)).Str("client", c.Client).Str("function", c.Function.Name).
		Str("class", g.class(c).Name).Str("trace", hex.EncodeToString(c.TraceID[:])).Str("answer", a.Kind.String()).
		Dur("took", now-r.submittedAt).Dur("allowed", c.TimeLeft).Bool("late", now > r.submittedAt+c.TimeLeft).
		Bool("retry", c.Retry)
	if t := g.tenantName(c.Tenant); t != "" {
		e.Str("tenant", t)
	}
	if c.verdict.Reason != "" {
		e.Str("why", c.verdict.Reason)
	}
	for _, n := range c.verdict.Annotations {
		e.Str("note."+n.Key, n.Text)
	}
	if a.RetryAfter > 0 {
		e.Dur("after", a.RetryAfter)
	}
	attempts := make([]string, 0, 4)
	for i := range r.attempts {
		attempt := &r.attempts[i]
		attempts = append(attempts, attempt.worker+" "+outcomeNames[attempt.outcome]+" "+attempt.took.Round(displayPrecision).String())
	}
	e.Strs("attempts", attempts).Msg("request")
}
