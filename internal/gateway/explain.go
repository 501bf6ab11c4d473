package gateway

import (
	"fmt"
	"strings"
	"time"

	"kitehub/scheduler"
)

// An Explanation tells why a call went to the workers that it went to: what the dispatcher knew
// when it sent each attempt, and how the attempt ended.
type Explanation struct {
	ID       string   `json:"id"`
	Request  uint64   `json:"request"` // the RequestID
	Function string   `json:"function"`
	Tenant   string   `json:"tenant,omitempty"`
	Class    string   `json:"class"`
	Answer   string   `json:"answer"` // "" while the call is in flight
	TookMS   float64  `json:"took_ms"`
	Reason   string   `json:"why,omitempty"` // why the call is shed, if a hook or cap advises it
	Lines    []string `json:"lines"`         // the explanation, one sentence per line
}

// Explain explains a call that is open or one of the last answered. If several have the id, it
// explains the newest. It returns false if there is none, and an error if the loop has ended.
func (g *Gateway) Explain(id string) (x Explanation, ok bool, err error) {
	err = g.runOnLoop(func() { x, ok = g.findExplanation(id) })
	return x, ok, err
}

func (g *Gateway) findExplanation(id string) (x Explanation, ok bool) {
	for _, requestID := range sortedKeys(g.inFlight) {
		if r := g.inFlight[requestID]; r.call != nil && r.call.ID == id {
			answer := r.claimedAs().String() // claimed before its attempt's event arrives
			x = explain(requestID, r, answer, g.cfg.Clock.Now())
			ok = true
		}
	}
	for _, answered := range g.answered.oldestFirst() {
		if answered.ID == id && (!ok || answered.Request > x.Request) {
			x = answered
			ok = true
		}
	}
	return x, ok
}

// An explanationRing keeps the explanations of the calls answered last. It belongs to the loop.
type explanationRing struct {
	capacity int
	entries  []Explanation
	next     int // index of the oldest entry once the ring is full
}

func (ring *explanationRing) add(id scheduler.RequestID, r *request, a Answer, now time.Duration) {
	if ring.capacity == 0 {
		return
	}
	x := explain(id, r, a.Kind.String(), now)
	if len(ring.entries) < ring.capacity {
		ring.entries = append(ring.entries, x)
		return
	}
	ring.entries[ring.next] = x
	ring.next = (ring.next + 1) % ring.capacity
}

func (ring *explanationRing) oldestFirst() []Explanation {
	ordered := make([]Explanation, 0, len(ring.entries))
	ordered = append(ordered, ring.entries[ring.next:]...)
	return append(ordered, ring.entries[:ring.next]...)
}

func explain(id scheduler.RequestID, r *request, answer string, now time.Duration) Explanation {
	c := r.call
	x := Explanation{
		ID:       c.ID,
		Request:  uint64(id),
		Function: c.Function.Name,
		Answer:   answer,
		TookMS:   float64(now-r.submittedAt) / 1e6,
		Reason:   c.verdict.Reason,
		Lines:    append([]string{}, describeCall(c)...),
	}
	for i := range r.attempts {
		x.Lines = append(x.Lines, describeAttempt(i, r)...)
	}
	if len(r.attempts) > 0 {
		return x
	}
	if x.Reason != "" {
		x.Lines = append(x.Lines, "never sent: "+x.Reason)
	} else {
		x.Lines = append(x.Lines,
			"never sent: no worker could take it in its time, or too many calls were late to let it pass")
	}
	return x
}

func describeCall(c *Call) (lines []string) {
	if c.Retry {
		lines = append(lines, "its client marks it as a repeat: it is served last where few pass")
	}
	if b := c.Binding; b != nil {
		lines = append(lines, fmt.Sprintf("%s names version %s, revision %d; begun anew %d times",
			b.Name.Alias, b.Target.Version, b.Target.Revision, b.Restarts))
	}
	if w := c.verdict.Weight; w > 0 && w != 1 {
		lines = append(lines, fmt.Sprintf("a hook weighs its tenant by %g", w))
	}
	return lines
}

func describeAttempt(number int, r *request) []string {
	a := &r.attempts[number]
	sent := fmt.Sprintf("attempt %d, after %v: %s, %s", number+1, (a.sentAt - r.submittedAt).Round(displayPrecision),
		a.worker, describeSnapshot(a.snapshot))
	if a.outcome == 0 {
		return []string{sent, "  no outcome yet"}
	}
	took := a.took.Round(displayPrecision)
	ended := fmt.Sprintf("  %s after %v%s", outcomeNames[a.outcome], took, loadNoteTexts[a.loadNote])
	return []string{sent, ended}
}

var loadNoteTexts = map[scheduler.LoadNote]string{
	scheduler.FoundWarm:   ", a copy stood",
	scheduler.StartedLoad: ", it began a load",
	scheduler.AwaitedLoad: ", it waited for a load that had begun",
	scheduler.LoadFailed:  ", a load failed",
}

func describeSnapshot(s scheduler.Snapshot) string {
	var texts []string
	switch {
	case s.RingPosition == 0:
		texts = append(texts, "the function's home")
	case s.RingPosition > 0:
		texts = append(texts, fmt.Sprintf("place %d of %d from its home", s.RingPosition, s.RingSize))
	}
	if s.HasCopy {
		texts = append(texts, "a copy believed to stand")
	} else {
		texts = append(texts, "no copy known to stand")
	}
	if s.WarmingUp {
		texts = append(texts, "cold")
	}
	switch {
	case s.Rank > 0:
		texts = append(texts, "preferred by advice")
	case s.Rank < 0:
		texts = append(texts, "to be avoided by advice")
	}
	texts = append(texts, fmt.Sprintf("%d of %.1f tokens in use", s.TokensInUse, s.Tokens))
	if s.AdmittedFraction < 1 {
		texts = append(texts, fmt.Sprintf("%.0f%% of calls let pass", 100*s.AdmittedFraction))
	}
	return strings.Join(texts, ", ")
}
