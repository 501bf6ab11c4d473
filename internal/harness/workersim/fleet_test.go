package workersim

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes every run check the same cases, so that CI results are reproducible. Use
// -rapid.seed to check others.
func init() { flag.Set("rapid.seed", "1") }

const ms = time.Millisecond

func spec(name, group string) Spec {
	return Spec{Name: name, Group: group, Cores: 2, Speed: 1, MemoryMB: 1000, Queue: 4, LoadSlots: 2, IdleCopyTTL: 5 * time.Second}
}

func newFunction(name string) *Function {
	return &Function{Name: name, MemoryMB: 400, Lanes: 2, Fetch: 100 * ms, Start: 50 * ms}
}

func twoWorkers() Config {
	return Config{Workers: []Spec{spec("a", "g"), spec("b", "g")}, Store: Store{FullRateFetches: 1, MaxFetches: 3},
		SlowStart: SlowStart{WarmupFraction: 0.25, WarmupTime: 10 * time.Second, CollapseFactor: 2, CollapseWindow: time.Second}, DedupWindow: 2 * time.Second}
}

// run advances the fleet to a time and returns the events as text.
func run(f *Fleet, to time.Duration) (l []string) {
	for _, e := range f.Advance(to) {
		switch e.Kind {
		case RunStarted:
			l = append(l, fmt.Sprintf("%v %d began", e.At.Round(ms), e.ID))
		case CallAnswered:
			l = append(l, fmt.Sprintf("%v %d %s note %d same-function %d repeat %v", e.At.Round(ms), e.ID, e.Outcome, e.CopyState, e.SameFunction, e.Repeat))
		case OrderEnded:
			l = append(l, fmt.Sprintf("%v order %d %s %d", e.At.Round(ms), e.ID, e.Outcome, e.Copies))
		case Collapsed:
			l = append(l, fmt.Sprintf("%v collapsed", e.At.Round(ms)))
		}
	}
	return l
}

func TestFleet(t *testing.T) {
	call := func(id uint64, fn string) Call {
		return Call{ID: id, Function: newFunction(fn), Work: 0.1, MeanWork: 0.1}
	}
	tests := []struct {
		name string
		do   func(f *Fleet) []string
		want string
	}{
		{"a call starts a load, the next one awaits it, a later one finds the copy loaded", func(f *Fleet) []string {
			f.Call(0, call(1, "x"))
			f.Call(0, call(2, "x"))
			l := run(f, time.Second)
			f.Call(0, call(3, "x"))
			return append(l, run(f, 2*time.Second)...)
		}, "[150ms 1 began 150ms 2 began 250ms 1 ok note 2 same-function 0 repeat false 250ms 2 ok note 3 same-function 1 repeat false" +
			" 1s 3 began 1.1s 3 ok note 1 same-function 0 repeat false]"},
		{"three calls share two cores", func(f *Fleet) []string {
			f.EnsureCopies(0, 9, newFunction("x"), 2)
			run(f, time.Second)
			for id := uint64(1); id <= 3; id++ {
				f.Call(0, call(id, "x"))
			}
			return run(f, 1150*ms)[3:]
		}, "[1.15s 1 ok note 1 same-function 0 repeat false 1.15s 2 ok note 1 same-function 1 repeat false 1.15s 3 ok note 1 same-function 2 repeat false]"},
		{"no room for a third function while two are busy", func(f *Fleet) []string {
			f.Call(0, call(1, "x"))
			f.Call(0, call(2, "y"))
			f.Call(0, call(3, "z"))
			return run(f, 1*ms)
		}, "[0s 3 full note 0 same-function 0 repeat false]"},
		{"the copy that was idle longest is evicted", func(f *Fleet) []string {
			f.EnsureCopies(0, 1, newFunction("x"), 1)
			run(f, 300*ms)
			f.EnsureCopies(0, 2, newFunction("y"), 1)
			run(f, 600*ms)
			f.EnsureCopies(0, 3, newFunction("z"), 1)
			run(f, 900*ms)
			return []string{fmt.Sprint(f.Copies(0, "x"), f.Copies(0, "y"), f.Copies(0, "z"))}
		}, "[0 1 1]"},
		{"an idle copy expires", func(f *Fleet) []string {
			f.EnsureCopies(0, 1, newFunction("x"), 1)
			run(f, 6*time.Second)
			return []string{fmt.Sprint(f.Copies(0, "x"))}
		}, "[0]"},
		{"a full queue", func(f *Fleet) []string {
			for id := uint64(1); id <= 5; id++ {
				f.Call(0, call(id, "x"))
			}
			return run(f, 1*ms)
		}, "[0s 5 full note 0 same-function 4 repeat false]"},
		{"the store rejects fetches beyond its limit", func(f *Fleet) []string {
			f.EnsureCopies(0, 1, newFunction("x"), 1)
			f.EnsureCopies(0, 2, newFunction("y"), 1)
			f.EnsureCopies(1, 3, newFunction("x"), 1)
			f.EnsureCopies(1, 4, newFunction("y"), 1)
			return run(f, time.Second)
		}, "[0s order 4 error 0 350ms order 1 ok 1 350ms order 2 ok 1 350ms order 3 ok 1]"},
		{"a group deduplicates calls within its window", func(f *Fleet) []string {
			f.EnsureCopies(0, 8, newFunction("x"), 1)
			f.EnsureCopies(1, 9, newFunction("x"), 1)
			run(f, time.Second)
			c := call(1, "x")
			c.Key = "k"
			f.Call(0, c)
			l := run(f, 1500*ms)
			c.ID = 2
			f.Call(1, c)
			l = append(l, run(f, 2000*ms)...)
			run(f, 3500*ms)
			c.ID = 3
			f.Call(1, c)
			return append(l, run(f, 4000*ms)...)
		}, "[1s 1 began 1.1s 1 ok note 1 same-function 0 repeat false 1.5s 2 ok note 1 same-function 0 repeat true 3.5s 3 began 3.6s 3 ok note 1 same-function 0 repeat false]"},
		{"a killed worker resets its calls and restarts warming up and empty", func(f *Fleet) []string {
			f.EnsureCopies(0, 9, newFunction("x"), 1)
			run(f, time.Second)
			f.Call(0, call(1, "x"))
			f.Kill(0)
			l := run(f, 2*time.Second)
			f.Start(0)
			f.Call(0, call(2, "x"))
			return append(l, run(f, 3*time.Second)...)
		}, "[1s 1 began 1s 1 reset note 0 same-function 0 repeat false 2.15s 2 began 2.515s 2 ok note 2 same-function 0 repeat false]"},
		{"a worker that is warming up collapses and stays down", func(f *Fleet) []string {
			f.Kill(0)
			run(f, time.Second)
			f.Start(0)
			for id := uint64(1); id <= 11; id++ { // 2 cores x 0.25 x 1 s x 2 = 1 s of work
				f.Call(0, call(id, "x"))
			}
			l := run(f, time.Second)
			return append(l[len(l)-6:], fmt.Sprint(f.Start(0)))
		}, "[1s collapsed 1s 11 reset note 0 same-function 0 repeat false 1s 1 reset note 0 same-function 0 repeat false" +
			" 1s 2 reset note 0 same-function 0 repeat false 1s 3 reset note 0 same-function 0 repeat false 1s 4 reset note 0 same-function 0 repeat false false]"},
		{"a released copy is removed when its call ends", func(f *Fleet) []string {
			f.EnsureCopies(0, 9, newFunction("x"), 1)
			run(f, time.Second)
			f.Call(0, call(1, "x"))
			f.Flush()
			f.Call(0, call(2, "x"))
			return run(f, 2*time.Second)
		}, "[1s 1 began 1.1s 1 ok note 1 same-function 0 repeat false 1.15s 2 began 1.25s 2 ok note 2 same-function 1 repeat false]"},
		{"a waiting call is cancelled, a running one continues", func(f *Fleet) []string {
			f.EnsureCopies(0, 9, newFunction("x"), 1)
			run(f, time.Second)
			for id := uint64(1); id <= 3; id++ {
				f.Call(0, call(id, "x"))
			}
			f.Cancel(0, 1)
			f.Cancel(0, 3)
			return run(f, 2*time.Second)
		}, "[1s 1 began 1s 2 began 1.1s 1 ok note 1 same-function 0 repeat false 1.1s 2 ok note 1 same-function 1 repeat false]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := fmt.Sprint(tt.do(New(twoWorkers(), 0))); got != tt.want {
				t.Errorf("got  %s\nwant %s", got, tt.want)
			}
		})
	}
}

// After any sequence of operations, memory use is within bounds, and each call ends exactly once.
func TestFleetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, now, id := New(twoWorkers(), 0), time.Duration(0), uint64(0)
		ended := map[uint64]int{}
		countEnded := func(events []Event) {
			for _, e := range events {
				if e.Kind == CallAnswered {
					ended[e.ID]++
				}
			}
		}
		fns := []*Function{newFunction("x"), newFunction("y"), newFunction("z")}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "dt")) * ms
			countEnded(f.Advance(now))
			w, fn := rapid.IntRange(0, 1).Draw(t, "worker"), fns[rapid.IntRange(0, 2).Draw(t, "fn")]
			id++
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0:
				f.Kill(w)
			case 1:
				f.Start(w)
			case 2:
				f.EnsureCopies(w, id, fn, rapid.IntRange(0, 3).Draw(t, "copies"))
			case 3:
				f.Flush()
			case 4:
				f.Unload(w, fn.Name)
			case 5:
				f.RejectFetches(rapid.Bool().Draw(t, "reject"))
			default:
				ended[id] = 0
				f.Call(w, Call{ID: id, Function: fn, Work: 0.05, MeanWork: 0.05})
			}
			for _, w := range f.workers {
				if w.usedMemoryMB > w.MemoryMB+1e-6 || w.usedMemoryMB < -1e-6 || w.waiting < 0 {
					t.Fatalf("%s uses %v MB, %d calls wait", w.Name, w.usedMemoryMB, w.waiting)
				}
			}
			if f.fetches < 0 {
				t.Fatalf("%d fetches in flight", f.fetches)
			}
		}
		f.RejectFetches(false)
		countEnded(f.Advance(now + time.Minute))
		for id, n := range ended {
			if n != 1 {
				t.Fatalf("call %d ended %d times", id, n)
			}
		}
	})
}
