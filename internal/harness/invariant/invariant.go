// Package invariant checks the five rules of the gateway against a trace that was recorded at both
// ends: what clients sent and received, what workers read, ran and sent back, and when an endpoint
// list was delivered to a controller. It uses no state of the gateway.
//
// Bytes take time to arrive, so each check allows Slack between a decision and the moment its bytes
// are seen, always in the gateway's favour. A shorter violation is not found here; the tests of
// package scheduler find those without sockets. Where the harness recorded that the machine stalled
// (trace.Stall), the length of the stall is allowed as well, and the verdict counts what it
// excused.
package invariant

import (
	"fmt"
	"io"
	"slices"
	"time"

	"kitehub/internal/harness/trace"
)

// A Rule is one of the five rules.
type Rule int

// The five rules, in the order of their numbers.
const (
	OneAnswer      Rule = iota // each accepted request has one answer in time, and nothing is sent for it afterwards
	NoRepeat                   // no effect happens twice
	DrainGrace                 // nothing new is sent to a draining or removed worker after the drain grace
	SlowStartBound             // no worker that is warming up is overloaded
	LoadBudget                 // load orders stay within their budget
)

var ruleNames = [...]string{"one answer", "no effect twice", "drains kept", "cold not pushed over", "loads rationed"}

// String names the rule as reports print it.
func (r Rule) String() string { return ruleNames[r] }

// A Violation is one event that broke a rule.
type Violation struct {
	Rule    Rule          `json:"Rule"`
	At      time.Duration `json:"At"`
	Message string        `json:"What"`
}

// A Verdict is the result of checking a trace.
type Verdict struct {
	Checked    [len(ruleNames)]int // checks made, by rule
	Violations []Violation
	// SlowStartPeak is the most work that was sent to a worker that was warming up, as a fraction
	// of the work that makes it collapse.
	SlowStartPeak float64
	// Answers counts the requests by outcome.
	Answers map[string]int
	// Overdue counts the requests that were served, refused or failed after their deadline.
	Overdue int
	// Excused counts what would be a violation without the stalls of the machine.
	Excused int
	// Stalled is the length of the longest stall.
	Stalled time.Duration
}

// Passed reports whether no rule was broken.
func (v *Verdict) Passed() bool { return len(v.Violations) == 0 }

// Write prints a line for each rule and at most limit violations.
func (v *Verdict) Write(w io.Writer, limit int) {
	for r, n := range v.Checked {
		broken := 0
		for _, b := range v.Violations {
			if b.Rule == Rule(r) {
				broken++
			}
		}
		result := "kept"
		if broken > 0 {
			result = fmt.Sprintf("BROKEN %d times", broken)
		}
		fmt.Fprintf(w, "rule %d, %s: %s, %d judged\n", r+1, Rule(r), result, n)
	}
	if v.Stalled > 0 {
		fmt.Fprintf(w, "the machine stood still for up to %v: %d things excused by that\n", v.Stalled.Round(time.Millisecond), v.Excused)
	}
	for i, b := range v.Violations {
		if i == limit {
			fmt.Fprintf(w, "and %d more\n", len(v.Violations)-limit)
			break
		}
		fmt.Fprintf(w, "broken: rule %d at %.3f s: %s\n", b.Rule+1, b.At.Seconds(), b.Message)
	}
}

// A checker checks one trace; each rule has a method.
type checker struct {
	verdict *Verdict
	rules   trace.Rules
	classes map[string]trace.Class
	history
}

// Check checks the rules against a trace, which has a Facts record with their parameters.
func Check(records []trace.Record) (*Verdict, error) {
	i := slices.IndexFunc(records, func(r trace.Record) bool { return r.Kind == trace.Facts && r.Rules != nil })
	if i < 0 {
		return nil, fmt.Errorf("invariant: the trace has no facts record with the rules' parameters")
	}
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b trace.Record) int { return int(max(-1, min(1, a.At-b.At))) })
	c := &checker{verdict: &Verdict{Answers: map[string]int{}}, rules: *records[i].Rules, classes: map[string]trace.Class{},
		history: newHistory(sorted)}
	for _, stall := range c.stalls {
		c.verdict.Stalled = max(c.verdict.Stalled, stall.to-stall.from)
	}
	for _, class := range c.rules.Classes {
		c.classes[class.Name] = class
	}
	c.checkOneAnswer()
	c.checkNoRepeat(sorted)
	c.checkDrainGrace(sorted)
	c.checkSlowStart(sorted)
	c.checkLoadBudget(sorted)
	slices.SortStableFunc(c.verdict.Violations, func(a, b Violation) int { return int(max(-1, min(1, a.At-b.At))) })
	return c.verdict, nil
}

// report adds a violation, whose time it gives from the start of the trace.
func (c *checker) report(r Rule, at time.Duration, format string, args ...any) {
	c.verdict.Violations = append(c.verdict.Violations, Violation{r, at - c.start, fmt.Sprintf(format, args...)})
}

// stallTime returns the total length of the stalls that overlap a period.
func (c *checker) stallTime(from, to time.Duration) (sum time.Duration) {
	for _, s := range c.stalls {
		if s.from <= to && s.to >= from {
			sum += s.to - s.from
		}
	}
	return sum
}

// exceeds reports whether something happened after a limit and also after the limit extended by the
// stalls since from. It counts what only the stalls excuse.
func (c *checker) exceeds(from, limit, at time.Duration) bool {
	if at <= limit {
		return false
	}
	if at <= limit+c.stallTime(from, at) {
		c.verdict.Excused++
		return false
	}
	return true
}

// Outcomes that a client records by itself, besides those that the gateway reports.
const (
	ClientClosed   = "left"      // the client closed the connection before an answer
	ConnectionLost = "unreached" // the connection was refused, or was lost before any response byte
)

func isFinal(outcome string) bool {
	return outcome == "served" || outcome == "refused" || outcome == "failed"
}
