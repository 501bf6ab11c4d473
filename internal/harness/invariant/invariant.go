// Package invariant checks the five rules from a trace of both ends alone: what clients sent and read, what workers read, ran and
// wrote, and when an endpoint list was delivered to a controller. It knows nothing of the gateway's state.
//
// Bytes take time, so each check allows Slack between a decision and its bytes being seen, always in the gateway's favour: a
// violation shorter than that is not found here. The tests of package scheduler find those without sockets. Where the harness
// noted that the machine stood still for a time (Stall), that time is allowed too; what it excused is counted in the verdict.
package invariant

import (
	"fmt"
	"io"
	"slices"
	"time"

	"kitehub/internal/harness/trace"
)

// A Rule is one of the five.
type Rule int

// The five rules, in the order of their numbers.
const (
	OneAnswer      Rule = iota // each request taken has one final answer in time, and nothing is sent for it afterwards
	NoRepeat                   // no effect twice
	DrainGrace                 // nothing new to a draining or removed worker after the grace
	SlowStartBound             // no warming worker is overloaded
	LoadBudget                 // orders to load within their budget
)

var names = [...]string{"one answer", "no effect twice", "drains kept", "cold not pushed over", "loads rationed"}

// String names the rule as reports print it.
func (r Rule) String() string { return names[r] }

// A Violation is one thing that broke a rule.
type Violation struct {
	Rule    Rule          `json:"Rule"`
	At      time.Duration `json:"At"`
	Message string        `json:"What"`
}

// A Verdict is what a trace shows.
type Verdict struct {
	Checked    [len(names)]int // things that each rule was judged on
	Violations []Violation
	// SlowStartPeak is the most that was sent to a cold worker, as a part of what pushes it over.
	SlowStartPeak float64
	// Answers counts the tries by outcome, in time; Late those served, refused or failed after their time.
	Answers map[string]int
	Overdue int
	// Excused counts what would be a break but for a stall of the machine; Stalled is the longest one.
	Excused int
	Stalled time.Duration
}

// Passed tells whether no rule was broken.
func (v *Verdict) Passed() bool { return len(v.Violations) == 0 }

// Write prints a line for each rule, and up to most breaks.
func (v *Verdict) Write(w io.Writer, most int) {
	for r, n := range v.Checked {
		broken := 0
		for _, b := range v.Violations {
			if b.Rule == Rule(r) {
				broken++
			}
		}
		word := "kept"
		if broken > 0 {
			word = fmt.Sprintf("BROKEN %d times", broken)
		}
		fmt.Fprintf(w, "rule %d, %s: %s, %d judged\n", r+1, Rule(r), word, n)
	}
	if v.Stalled > 0 {
		fmt.Fprintf(w, "the machine stood still for up to %v: %d things excused by that\n", v.Stalled.Round(time.Millisecond), v.Excused)
	}
	for i, b := range v.Violations {
		if i == most {
			fmt.Fprintf(w, "and %d more\n", len(v.Violations)-most)
			break
		}
		fmt.Fprintf(w, "broken: rule %d at %.3f s: %s\n", b.Rule+1, b.At.Seconds(), b.Message)
	}
}

// A checker goes through one trace. Its fields are read by the checks of the single rules.
type checker struct {
	verdict *Verdict
	rules   trace.Rules
	classes map[string]trace.Class
	history
}

// Check reads a trace, in which a Facts record comes first.
func Check(records []trace.Record) (*Verdict, error) {
	i := slices.IndexFunc(records, func(r trace.Record) bool { return r.Kind == trace.Facts && r.Rules != nil })
	if i < 0 {
		return nil, fmt.Errorf("rules: the trace has no facts to judge by")
	}
	rs := slices.Clone(records)
	slices.SortStableFunc(rs, func(a, b trace.Record) int { return int(max(-1, min(1, a.At-b.At))) })
	c := &checker{verdict: &Verdict{Answers: map[string]int{}}, rules: *records[i].Rules, classes: map[string]trace.Class{},
		history: newHistory(rs)}
	for _, stall := range c.stalls {
		c.verdict.Stalled = max(c.verdict.Stalled, stall.to-stall.from)
	}
	for _, class := range c.rules.Classes {
		c.classes[class.Name] = class
	}
	c.answers()
	c.effects(rs)
	c.drains(rs)
	c.slowStart(rs)
	c.loads(rs)
	slices.SortStableFunc(c.verdict.Violations, func(a, b Violation) int { return int(max(-1, min(1, a.At-b.At))) })
	return c.verdict, nil
}

func (c *checker) broken(r Rule, at time.Duration, format string, args ...any) {
	c.verdict.Violations = append(c.verdict.Violations, Violation{r, at - c.start, fmt.Sprintf(format, args...)})
}

// stalled is how long the machine stood still within a span.
func (c *checker) stalled(from, to time.Duration) (sum time.Duration) {
	for _, s := range c.stalls {
		if s.from <= to && s.to >= from {
			sum += s.to - s.from
		}
	}
	return sum
}

// over tells whether something came later than a limit, and than the limit and the stalls on the way to it.
func (c *checker) over(from, limit, at time.Duration) bool {
	if at <= limit {
		return false
	}
	if at <= limit+c.stalled(from, at) {
		c.verdict.Excused++
		return false
	}
	return true
}

// Outcomes that a client notes of a try, besides the words of the gateway.
const (
	ClientClosed   = "left"      // it hung up itself
	ConnectionLost = "unreached" // the connection was refused or cut with nothing read
)

func final(outcome string) bool {
	return outcome == "served" || outcome == "refused" || outcome == "failed"
}
