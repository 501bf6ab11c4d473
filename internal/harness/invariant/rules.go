// Package invariant judges the five rules from a trace of both ends alone: what clients sent and read, what workers read,
// ran and wrote, and when a list was written to a controller. It knows nothing of the gateway's insides.
//
// Bytes take time, so each judgement allows Slack between a decision and its bytes being seen, always in the
// gateway's favour: a break shorter than that is not found here. Package choice tests those without sockets. Where
// the rig noted that the machine stood still for a time (Stall), that time is allowed too; what was excused by it is
// counted in the verdict.
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

const (
	OneAnswer Rule = iota // each request taken has one final answer in time, and nothing is sent for it afterwards
	NoRepeat              // no effect twice
	Drains                // nothing new to a draining or gone worker after the grace
	Cold                  // no cold worker pushed over
	Loads                 // orders to load within their budget
)

var names = [...]string{"one answer", "no effect twice", "drains kept", "cold not pushed over", "loads rationed"}

func (r Rule) String() string { return names[r] }

// A Break is one thing that broke a rule.
type Break struct {
	Rule Rule          `json:"Rule"`
	At   time.Duration `json:"At"`
	What string        `json:"What"`
}

// A Verdict is what a trace shows.
type Verdict struct {
	Judged [len(names)]int // things that each rule was judged on
	Breaks []Break
	// ColdPeak is the most that was sent to a cold worker, as a part of what pushes it over.
	ColdPeak float64
	// Answers counts the tries by outcome, in time; Late those served, refused or failed after their time.
	Answers map[string]int
	Late    int
	// Excused counts what would be a break but for a stall of the machine; Stalled is the longest one.
	Excused int
	Stalled time.Duration
}

// Kept tells whether no rule was broken.
func (v *Verdict) Kept() bool { return len(v.Breaks) == 0 }

// Write prints a line for each rule, and up to most breaks.
func (v *Verdict) Write(w io.Writer, most int) {
	for r, n := range v.Judged {
		broken := 0
		for _, b := range v.Breaks {
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
	for i, b := range v.Breaks {
		if i == most {
			fmt.Fprintf(w, "and %d more\n", len(v.Breaks)-most)
			break
		}
		fmt.Fprintf(w, "broken: rule %d at %.3f s: %s\n", b.Rule+1, b.At.Seconds(), b.What)
	}
}

// A try is what the trace says of one request of a client.
type try struct {
	asked    *trace.Record
	answers  []*trace.Record
	got      []*trace.Record
	began    []*trace.Record
	attempts []span
}

// A span is an attempt as its worker saw it.
type span struct {
	worker   string
	id       string
	from, to time.Duration
}

type span2 struct{ from, to time.Duration }

type judge struct {
	v       *Verdict
	r       trace.Rules
	classes map[string]trace.Class
	tries   map[string]*try
	order   []string
	start   time.Duration
	downs   map[string][]span2 // by controller: from killed to up again
	stalls  []span2
	end     time.Duration
}

// Judge reads a trace, in which a Facts record comes first.
func Judge(records []trace.Record) (*Verdict, error) {
	i := slices.IndexFunc(records, func(r trace.Record) bool { return r.Kind == trace.Facts && r.Rules != nil })
	if i < 0 {
		return nil, fmt.Errorf("rules: the trace has no facts to judge by")
	}
	rs := slices.Clone(records)
	slices.SortStableFunc(rs, func(a, b trace.Record) int { return int(max(-1, min(1, a.At-b.At))) })
	j := &judge{v: &Verdict{Answers: map[string]int{}}, r: *records[i].Rules, classes: map[string]trace.Class{}, tries: map[string]*try{},
		downs: map[string][]span2{}, start: rs[0].At, end: rs[len(rs)-1].At}
	for _, c := range j.r.Classes {
		j.classes[c.Name] = c
	}
	j.gather(rs)
	j.answers()
	j.effects(rs)
	j.drains(rs)
	j.cold(rs)
	j.loads(rs)
	slices.SortStableFunc(j.v.Breaks, func(a, b Break) int { return int(max(-1, min(1, a.At-b.At))) })
	return j.v, nil
}

func (j *judge) broken(r Rule, at time.Duration, format string, args ...any) {
	j.v.Breaks = append(j.v.Breaks, Break{r, at - j.start, fmt.Sprintf(format, args...)})
}

// stalled is how long the machine stood still within a span.
func (j *judge) stalled(from, to time.Duration) (sum time.Duration) {
	for _, s := range j.stalls {
		if s.from <= to && s.to >= from {
			sum += s.to - s.from
		}
	}
	return sum
}

// over tells whether something came later than a limit, and than the limit and the stalls on the way to it.
func (j *judge) over(from, limit, at time.Duration) bool {
	if at <= limit {
		return false
	}
	if at <= limit+j.stalled(from, at) {
		j.v.Excused++
		return false
	}
	return true
}

func (j *judge) try(id string) *try {
	t := j.tries[id]
	if t == nil {
		t = &try{}
		j.tries[id] = t
		j.order = append(j.order, id)
	}
	return t
}

// gather sorts the records by request.
func (j *judge) gather(rs []trace.Record) {
	open := map[string]*span{} // attempts by worker and id
	down := map[string]time.Duration{}
	closeAll := func(worker string, at time.Duration) {
		for key, s := range open {
			if s.worker == worker {
				s.to = at
				delete(open, key)
			}
		}
	}
	spans := map[string][]*span{}
	for i := range rs {
		r := &rs[i]
		switch r.Kind {
		case trace.Asked:
			j.try(r.Request).asked = r
		case trace.Answered:
			t := j.try(r.Request)
			t.answers = append(t.answers, r)
		case trace.Got:
			t := j.try(r.Request)
			t.got = append(t.got, r)
			s := &span{r.Worker, r.Attempt, r.At, j.end}
			open[r.Worker+" "+r.Attempt] = s
			spans[r.Request] = append(spans[r.Request], s)
		case trace.Began:
			t := j.try(r.Request)
			t.began = append(t.began, r)
		case trace.Replied, trace.Left:
			if s := open[r.Worker+" "+r.Attempt]; s != nil {
				s.to = r.At
				delete(open, r.Worker+" "+r.Attempt)
			}
		case trace.WorkerDown, trace.Fell:
			closeAll(r.Worker, r.At)
		case trace.Stall:
			j.stalls = append(j.stalls, span2{r.At, r.Until})
			j.v.Stalled = max(j.v.Stalled, r.Until-r.At)
		case trace.ControllerDown:
			down[r.Controller] = r.At
		case trace.ControllerUp:
			if at, ok := down[r.Controller]; ok {
				j.downs[r.Controller] = append(j.downs[r.Controller], span2{at, r.At})
				delete(down, r.Controller)
			}
		}
	}
	for c, at := range down {
		j.downs[c] = append(j.downs[c], span2{at, j.end + time.Hour})
	}
	for id, l := range spans {
		for _, s := range l {
			j.tries[id].attempts = append(j.tries[id].attempts, *s)
		}
	}
}

// wasDown tells whether a controller was down at some time of a span.
func (j *judge) wasDown(controller string, from, to time.Duration) bool {
	return slices.ContainsFunc(j.downs[controller], func(d span2) bool { return d.from <= to && d.to >= from })
}

// Outcomes that a client notes of a try, besides the words of the gateway.
const (
	Left      = "left"      // it hung up itself
	Unreached = "unreached" // the connection was refused or cut with nothing read
)

func final(outcome string) bool {
	return outcome == "served" || outcome == "refused" || outcome == "failed"
}

// answers judges rule 1.
func (j *judge) answers() {
	for _, id := range j.order {
		t := j.tries[id]
		if t.asked == nil {
			j.broken(OneAnswer, t.got[0].At, "worker %s got request %s, which no client sent", t.got[0].Worker, id)
			continue
		}
		a := t.asked
		for _, r := range t.answers {
			if final(r.Outcome) && r.At > a.Until {
				j.v.Late++
			}
			j.v.Answers[r.Outcome]++
		}
		limit := a.Until + j.r.AnswerGrace + j.r.Slack
		down := j.wasDown(a.Controller, a.At, limit)
		left := len(t.answers) == 1 && t.answers[0].Outcome == Left
		if !down {
			j.v.Judged[OneAnswer]++
			switch {
			case len(t.answers) == 0 && limit > j.end:
				j.v.Judged[OneAnswer]-- // the trace ends before its time
			case len(t.answers) == 0:
				j.broken(OneAnswer, limit, "request %s to %s has no answer", id, a.Controller)
			case len(t.answers) > 1:
				j.broken(OneAnswer, t.answers[1].At, "request %s to %s has %d answers", id, a.Controller, len(t.answers))
			case t.answers[0].Outcome == Unreached:
				j.broken(OneAnswer, t.answers[0].At, "request %s to %s, which ran, was cut off", id, a.Controller)
			case !left && j.over(a.At, limit, t.answers[0].At):
				j.broken(OneAnswer, t.answers[0].At, "request %s to %s was answered %v after its time", id, a.Controller,
					(t.answers[0].At - a.Until).Round(time.Millisecond))
			}
		}
		if len(t.answers) > 0 {
			for _, g := range t.got {
				if j.over(t.answers[0].At, t.answers[0].At+j.r.Slack, g.At) {
					j.broken(OneAnswer, g.At, "request %s was sent to %s %v after its answer (%s)", id, g.Worker,
						(g.At - t.answers[0].At).Round(time.Millisecond), t.answers[0].Outcome)
				}
			}
		}
	}
}

// effects judges rule 2.
func (j *judge) effects(rs []trace.Record) {
	ran := map[string]*trace.Record{} // by key
	repeats := map[string]bool{}
	for i := range rs {
		if rs[i].Kind == trace.Ended && rs[i].Note == "repeat" {
			repeats[rs[i].Worker+" "+rs[i].Attempt] = true
		}
	}
	for i := range rs {
		r := &rs[i]
		if r.Kind != trace.Began || r.Key == "" || j.classes[r.Class].Effect != "keyed" || repeats[r.Worker+" "+r.Attempt] {
			continue
		}
		if first := ran[r.Key]; first != nil {
			j.broken(NoRepeat, r.At, "keyed call %s ran at %s and again at %s", r.Key, first.Worker, r.Worker)
		}
		ran[r.Key] = r
	}
	for _, id := range j.order {
		t := j.tries[id]
		if len(t.got) == 0 {
			continue
		}
		c := j.classes[t.got[0].Class]
		j.v.Judged[NoRepeat]++
		if c.Effect == "unsafe" && len(t.began) > 1 {
			j.broken(NoRepeat, t.began[1].At, "unsafe request %s ran %d times", id, len(t.began))
		}
		if (c.Effect == "unsafe" || c.Effect == "keyed" && !c.AllWorkers) && len(t.answers) > 0 &&
			t.answers[0].Outcome == "refused" && len(t.began) > 0 {
			j.broken(NoRepeat, t.answers[0].At, "%s request %s was refused and ran at %s", c.Effect, id, t.began[0].Worker)
		}
		for i, s := range t.attempts {
			for _, o := range t.attempts[i+1:] {
				from, to := max(s.from, o.from), min(s.to, o.to)
				if to > from && j.over(from, from+j.r.Slack, to) && (!j.r.Duplicate || c.Effect == "unsafe") {
					j.broken(NoRepeat, from, "request %s was out at %s and %s at once for %v", id, s.worker, o.worker, (to - from).Round(time.Millisecond))
				}
			}
		}
	}
}

// drains judges rule 3.
func (j *judge) drains(rs []trace.Record) {
	told := map[string]time.Duration{}
	for i := range rs {
		r := &rs[i]
		key := r.Controller + " " + r.Worker
		switch r.Kind {
		case trace.Told:
			if r.Outcome == "ready" {
				delete(told, key)
			} else if _, ok := told[key]; !ok {
				told[key] = r.At
				j.v.Judged[Drains]++
			}
		case trace.ControllerUp: // it knows what it is told from now on
			for _, k := range keysOf(told, r.Controller) {
				delete(told, k)
			}
		case trace.Got, trace.Order:
			if at, ok := told[key]; ok && j.over(at, at+j.r.DrainGrace+j.r.Slack, r.At) {
				what := "a call"
				if r.Kind == trace.Order {
					what = "an order to load"
				}
				j.broken(Drains, r.At, "%s sent %s to %s %v after it was told that it drains or is gone", r.Controller, what, r.Worker,
					(r.At - at).Round(time.Millisecond))
			}
		}
	}
}

func keysOf(m map[string]time.Duration, controller string) (l []string) {
	for k := range m {
		if len(k) > len(controller) && k[:len(controller)+1] == controller+" " {
			l = append(l, k)
		}
	}
	return l
}

// cold judges rule 4.
func (j *judge) cold(rs []trace.Record) {
	type sent struct {
		at   time.Duration
		work float64
	}
	type state struct {
		since    time.Duration
		capacity float64
		sent     []sent
	}
	workers := map[string]*state{}
	for i := range rs {
		r := &rs[i]
		switch r.Kind {
		case trace.WorkerUp:
			delete(workers, r.Worker)
			if r.Cold {
				workers[r.Worker] = &state{since: r.At, capacity: r.Capacity}
			}
		case trace.Fell:
			j.broken(Cold, r.At, "%s fell over", r.Worker)
		case trace.Got:
			w := workers[r.Worker]
			if w == nil || r.At >= w.since+j.r.ColdFor || j.r.FallFactor == 0 {
				continue
			}
			j.v.Judged[Cold]++
			w.sent = slices.DeleteFunc(w.sent, func(s sent) bool { return s.at <= r.At-j.r.FallWithin })
			w.sent = append(w.sent, sent{r.At, j.classes[r.Class].WorkSeconds})
			var sum float64
			for _, s := range w.sent {
				sum += s.work
			}
			share := j.r.ColdShare + (1-j.r.ColdShare)*float64(r.At-w.since)/float64(j.r.ColdFor)
			part := sum / (j.r.FallFactor * w.capacity * share * j.r.FallWithin.Seconds())
			j.v.ColdPeak = max(j.v.ColdPeak, part)
			if part > 1 {
				j.broken(Cold, r.At, "%s was sent %.2f times what pushes it over", r.Worker, part)
			}
		}
	}
}

// loads judges rule 5. A window's orders are counted over it less twice the slack, its calls over it and the slack.
func (j *judge) loads(rs []trace.Record) {
	if j.r.LoadWindow == 0 {
		return
	}
	type life struct{ asked, orders []time.Duration }
	lives := map[string]*life{}
	turned := map[string]bool{} // tries that never were taken
	for id, t := range j.tries {
		if len(t.answers) > 0 && !final(t.answers[0].Outcome) && t.answers[0].Outcome != Left &&
			t.answers[0].Outcome != Unreached && len(t.got) == 0 {
			turned[id] = true
		}
	}
	for i := range rs {
		r := &rs[i]
		if r.Kind != trace.Asked && r.Kind != trace.Order && r.Kind != trace.ControllerUp {
			continue
		}
		l := lives[r.Controller]
		if l == nil || r.Kind == trace.ControllerUp {
			l = &life{}
			lives[r.Controller] = l
		}
		switch {
		case r.Kind == trace.Asked && !turned[r.Request]:
			l.asked = append(l.asked, r.At)
		case r.Kind == trace.Order && r.Copies > 0:
			l.orders = append(l.orders, r.At)
			j.v.Judged[Loads]++
			n, calls := 0, 0
			for _, at := range l.orders {
				if at > r.At-j.r.LoadWindow+2*j.r.Slack+j.stalled(r.At-j.r.LoadWindow, r.At) {
					n++
				}
			}
			for _, at := range l.asked {
				if at > r.At-j.r.LoadWindow-j.r.Slack {
					calls++
				}
			}
			if may := j.r.LoadFree + j.r.LoadRatio*float64(calls); float64(n) > may {
				j.broken(Loads, r.At, "%s ordered %d loads in the window, %.1f are allowed by %d calls", r.Controller, n, may, calls)
			}
		}
	}
}
