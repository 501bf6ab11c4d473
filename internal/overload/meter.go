package overload

import "time"

// A Meter is a token bucket that tells whether a client keeps to a normal rate. It is not safe for
// concurrent use.
type Meter struct {
	rate   float64 // tokens a second
	burst  float64 // most tokens
	tokens float64
	at     time.Duration // when tokens was computed
}

// NewMeter returns a full bucket for a rate, in events a second, and a burst.
func NewMeter(rate, burst float64) Meter { return Meter{rate: rate, burst: burst, tokens: burst} }

// Take reports whether an event keeps to the rate.
func (m *Meter) Take(now time.Duration) bool {
	m.tokens = min(m.burst, m.tokens+m.rate*max(0, now-m.at).Seconds())
	m.at = max(m.at, now)
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

// Charge takes tokens for an event that has cost more than one. The bucket may owe them.
func (m *Meter) Charge(tokens float64) { m.tokens -= tokens }
