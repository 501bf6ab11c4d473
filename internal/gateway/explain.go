package gateway

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"kitehub/scheduler"
)

// explanationRing keeps the last calls that were answered, for Explain. It is the loop's.
type explanationRing struct {
	capacity int
	entries  []Explanation
	next     int
}

// Explanation is why a call went where it went, from what the module saw as it sent, and what came of it.
type Explanation struct {
	ID       string   `json:"id"`
	Request  uint64   `json:"request"`
	Function string   `json:"function"`
	Tenant   string   `json:"tenant,omitempty"`
	Class    string   `json:"class"`
	Answer   string   `json:"answer"` // "" while it runs
	TookMS   float64  `json:"took_ms"`
	Why      string   `json:"why,omitempty"`
	Lines    []string `json:"lines"`
}

func (t *explanationRing) add(id scheduler.RequestID, r *request, a Answer, now time.Duration) {
	if t.capacity == 0 {
		return
	}
	x := explain(id, r, a.Kind.String(), now)
	x.Function = r.call.Function.Name
	if len(t.entries) < t.capacity {
		t.entries = append(t.entries, x)
		return
	}
	t.entries[t.next] = x
	t.next = (t.next + 1) % t.capacity
}

func explain(id scheduler.RequestID, r *request, answer string, now time.Duration) Explanation {
	x := Explanation{ID: r.call.ID, Request: uint64(id), Function: r.call.Function.Name, Answer: answer, TookMS: float64(now-r.submittedAt) / 1e6, Why: r.call.verdict.Why, Lines: []string{}}
	if r.call.Retry {
		x.Lines = append(x.Lines, "its client marks it as a repeat: it is served last where few pass")
	}
	if b := r.call.Binding; b != nil {
		x.Lines = append(x.Lines, fmt.Sprintf("%s names version %s, revision %d; begun anew %d times", b.Name.Alias, b.Target.Version, b.Target.Revision, b.Restarts))
	}
	if w := r.call.verdict.Weight; w > 0 && w != 1 {
		x.Lines = append(x.Lines, fmt.Sprintf("a hook weighs its tenant by %g", w))
	}
	for i := range r.attempts {
		t := &r.attempts[i]
		x.Lines = append(x.Lines, fmt.Sprintf("attempt %d, after %v: %s, %s", i+1, (t.sentAt-r.submittedAt).Round(100*time.Microsecond), t.worker, describeSnapshot(t.snapshot)))
		if t.outcome == 0 {
			x.Lines = append(x.Lines, "  no outcome yet")
			continue
		}
		x.Lines = append(x.Lines, fmt.Sprintf("  %s after %v%s", outcomeNames[t.outcome], t.took.Round(100*time.Microsecond), loadNoteTexts[t.loadNote]))
	}
	if len(r.attempts) == 0 {
		switch {
		case x.Why != "":
			x.Lines = append(x.Lines, "never sent: "+x.Why)
		default:
			x.Lines = append(x.Lines, "never sent: no worker could take it in its time, or too many calls were late to let it pass")
		}
	}
	return x
}

var loadNoteTexts = map[scheduler.LoadNote]string{scheduler.FoundWarm: ", a copy stood", scheduler.StartedLoad: ", it began a load", scheduler.AwaitedLoad: ", it waited for a load that had begun", scheduler.LoadFailed: ", a load failed"}

func describeSnapshot(l scheduler.Snapshot) string {
	var s []string
	switch {
	case l.RingPosition == 0:
		s = append(s, "the function's home")
	case l.RingPosition > 0:
		s = append(s, fmt.Sprintf("place %d of %d from its home", l.RingPosition, l.RingSize))
	}
	if l.HasCopy {
		s = append(s, "a copy believed to stand")
	} else {
		s = append(s, "no copy known to stand")
	}
	if l.WarmingUp {
		s = append(s, "cold")
	}
	if l.Rank != 0 {
		s = append(s, map[bool]string{true: "preferred by advice", false: "to be avoided by advice"}[l.Rank > 0])
	}
	s = append(s, fmt.Sprintf("%d of %.1f tokens in use", l.Busy, l.Tokens))
	if l.AdmittedFraction < 1 {
		s = append(s, fmt.Sprintf("%.0f%% of calls let pass", 100*l.AdmittedFraction))
	}
	return strings.Join(s, ", ")
}

var errStopped = errors.New("gateway: stopped")

// runOnLoop has f run by the loop, between two steps, and waits for it.
func (g *Gateway) runOnLoop(f func()) error {
	ready := make(chan struct{})
	select {
	case g.loopTasks <- func() { f(); close(ready) }:
	case <-g.done:
		return errStopped
	}
	select {
	case <-ready:
		return nil
	case <-g.done:
		return errStopped
	}
}

// Explain returns why a call went where it went: one that runs, or one of the last that were answered; the newest of its id.
func (g *Gateway) Explain(id string) (x Explanation, ok bool, err error) {
	err = g.runOnLoop(func() {
		for _, k := range sortedKeys(g.inFlight) {
			if r := g.inFlight[k]; r.call != nil && r.call.ID == id {
				x, ok = explain(k, r, AnswerKind(r.claimed.Load()).String(), g.cfg.Clock.Now()), true // answered, perhaps, and not taken in
			}
		}
		for i := range g.answered.entries {
			if e := &g.answered.entries[(g.answered.next+i)%len(g.answered.entries)]; e.ID == id && (!ok || e.Request > x.Request) {
				x, ok = *e, true
			}
		}
	})
	return x, ok, err
}

// WorkerView is a worker as this controller sees it. Its JSON has the keys of the look beside the name, as it is embedded.
type WorkerView struct {
	Name string `json:"name"`
	scheduler.WorkerSnapshot
}

// FunctionView is a function as this controller sees it; its JSON is as WorkerView's.
type FunctionView struct {
	Name string `json:"name"`
	Home string `json:"home"`
	scheduler.FunctionSnapshot
}

// View returns workers and functions as the module sees them, by name, and the share of requests that it lets pass.
func (g *Gateway) View() (workers []WorkerView, functions []FunctionView, err error) {
	err = g.runOnLoop(func() {
		for _, w := range g.dispatcher.Workers() {
			workers = append(workers, WorkerView{g.workerName(w.ID), w})
		}
		for _, f := range g.dispatcher.Functions() {
			name, _, _ := g.functionName(f.ID)
			functions = append(functions, FunctionView{name, g.workerName(f.Home), f})
		}
	})
	return workers, functions, err
}

// Alive returns once the loop has taken a turn, or an error if it has ended.
func (g *Gateway) Alive() error { return g.runOnLoop(func() {}) }
