package gateway

import (
	"encoding/hex"
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

// logRequest writes the one log line of a request. It contains names and numbers, never bodies,
// headers or keys.
func (g *Gateway) logRequest(id scheduler.RequestID, r *request, a Answer, now time.Duration) {
	if g.cfg.OmitRequestLog {
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
