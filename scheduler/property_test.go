package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sender is what an independent checker remembers of one request.
type sender struct {
	arrival   Arrival
	arrivedAt time.Duration
	sentAt    []time.Duration
	groups    []int
	workers   []WorkerID
	outcome   []Outcome // 0: out
	answers   int
	finished  bool // by an answer of ours, an outcome or a hang-up
}

func (s *sender) out() (n int) {
	for _, o := range s.outcome {
		if o == 0 {
			n++
		}
	}
	return n
}

// mayHaveRun returns the index of the first attempt that may have run or is out, or -1.
func (s *sender) mayHaveRun() int {
	for i, o := range s.outcome {
		if o != AtCapacity && o != ConnectFailed && o != NotStarted && o != NotLoaded {
			return i
		}
	}
	return -1
}

// Whatever happens, in any legal order, the rules hold: one answer in time, nothing run twice that must not be,
// nothing sent to draining workers, loads within the budget. The events follow no model of timing or load.
func TestRulesUnderAnyEvents(t *testing.T) {
	seen := map[string]int{}
	for seed := uint64(1); seed <= 40; seed++ {
		rules(t, seed, seen)
	}
	for _, what := range []string{"sends", "second attempts", "holds", "refusals", "failures", "drained"} {
		if seen[what] == 0 {
			t.Errorf("no %s at all: the test tests too little", what)
		}
	}
}

func rules(t *testing.T, seed uint64, seen map[string]int) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	s := testSettings()
	s.Limits.HedgedRequests = seed%2 == 0
	s.Limits.Cancel = seed%3 != 0
	setBudget(&s, 5*time.Second, 3, 0.2)
	s.Classes[1].DedupScope = DedupScope(seed%3 + 1)
	d, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	list := map[WorkerID]WorkerInfo{}
	barred := map[WorkerID]time.Duration{} // since when a worker drains or is gone
	requests := map[RequestID]*sender{}
	var open []RequestID
	var taken, orders []time.Duration
	var holds []LoadOrder
	now, next := time.Hour, RequestID(1)
	for step := 0; step < 1500; step++ {
		now += time.Duration(rnd.IntN(12)) * s.Tick / 2
		var events []Event
		if step == 0 || rnd.IntN(60) == 0 {
			l := ListUpdate{Kind: ListDelta}
			if step == 0 {
				l.Kind = CachedList
			}
			for id := WorkerID(1); id <= 8; id++ {
				if step > 0 && rnd.IntN(4) > 0 {
					continue
				}
				w := WorkerInfo{ID: id, Group: int(id % 3), Zone: int(id % 2), State: Ready}
				if step > 0 {
					w.State = WorkerState(1 + rnd.IntN(3))
				}
				if w.State == Ready {
					delete(barred, id)
					if rnd.IntN(2) == 0 {
						w.StartedAt = now - time.Second
					}
				} else if _, was := barred[id]; !was {
					barred[id] = now
					seen["drained"]++
				}
				list[id] = w
				l.Workers = append(l.Workers, w)
			}
			events = append(events, l)
		}
		for n := rnd.IntN(3); n > 0; n-- {
			a := Arrival{Request: next, Class: rnd.IntN(3), Function: FunctionID(rnd.IntN(12)), Lanes: 2,
				TimeLeft: time.Duration(rnd.IntN(3000)) * ms}
			requests[next] = &sender{arrival: a, arrivedAt: now}
			open = append(open, next)
			taken = append(taken, now)
			events = append(events, a)
			next++
		}
		for _, id := range open {
			q := requests[id]
			for i, o := range q.outcome {
				if o == 0 && rnd.IntN(40) == 0 {
					r := AttemptEnded{Request: id, Attempt: i, Worker: q.workers[i], Outcome: Outcome(1 + rnd.IntN(9)),
						Took: now - q.sentAt[i], Note: LoadNote(rnd.IntN(4))}
					q.outcome[i] = r.Outcome
					q.finished = q.finished || r.Outcome == OK
					r.Complete = q.finished
					events = append(events, r)
				}
			}
			if !q.finished && rnd.IntN(900) == 0 {
				q.finished = true
				events = append(events, ClientClosed{id})
			}
		}
		for len(holds) > 0 && rnd.IntN(2) == 0 {
			h := holds[0]
			holds = holds[1:]
			events = append(events, LoadOrderEnded{Worker: h.Worker, Function: h.Function,
				Outcome: Outcome(1 + rnd.IntN(6)),
				Copies:  rnd.IntN(2)})
		}
		for _, a := range d.Step(now, events) {
			switch a := a.(type) {
			case Send:
				q, c := requests[a.Request], s.Classes[requests[a.Request].arrival.Class]
				seen["sends"]++
				if len(q.sentAt) > 0 {
					seen["second attempts"]++
				}
				first := q.mayHaveRun()
				switch {
				case q.finished:
					t.Fatalf("seed %d: request %d sent after its end", seed, a.Request)
				case len(q.sentAt) >= s.Limits.MaxAttempts:
					t.Fatalf("seed %d: attempt %d", seed, len(q.sentAt)+1)
				case q.out() > 0 && !s.Limits.HedgedRequests:
					t.Fatalf("seed %d: two attempts out", seed)
				case first >= 0 && c.Idempotency == NonIdempotent:
					t.Fatalf("seed %d: unsafe request sent again", seed)
				case first >= 0 && c.Idempotency == IdempotentWithKey && now >= q.sentAt[first]+c.DedupWindow:
					t.Fatalf("seed %d: keyed request sent after its window", seed)
				case first >= 0 && c.Idempotency == IdempotentWithKey &&
					group(c.DedupScope, list[a.Worker]) != q.groups[first]:
					t.Fatalf("seed %d: keyed request left its group", seed)
				}
				if since, is := barred[a.Worker]; is && now > since+s.Guarantees.DrainGrace {
					t.Fatalf("seed %d: send to a worker that drains", seed)
				}
				q.sentAt, q.outcome = append(q.sentAt, now), append(q.outcome, 0)
				q.workers = append(q.workers, a.Worker)
				q.groups = append(q.groups, group(c.DedupScope, list[a.Worker]))
			case Reject:
				q, c := requests[a.Request], s.Classes[requests[a.Request].arrival.Class]
				seen["refusals"]++
				if c.Idempotency != Idempotent && q.mayHaveRun() >= 0 &&
					!(c.Idempotency == IdempotentWithKey && c.DedupScope == AllWorkers) {
					t.Fatalf("seed %d: refused a request that may have run", seed)
				}
				answer(t, seed, q)
			case Fail:
				seen["failures"]++
				answer(t, seed, requests[a.Request])
			case LoadOrder:
				holds = append(holds, a)
				if a.Copies == 0 {
					continue
				}
				seen["holds"]++
				if since, is := barred[a.Worker]; is && now > since+s.Guarantees.DrainGrace {
					t.Fatalf("seed %d: order to a worker that drains", seed)
				}
				orders = append(orders, now)
				if n, m := within(orders, now), within(taken, now); float64(n) > 3+0.2*float64(m) {
					t.Fatalf("seed %d: %d orders with %d requests in the window", seed, n, m)
				}
			}
		}
		kept := open[:0]
		for _, id := range open {
			q := requests[id]
			if !q.finished && now > q.arrivedAt+q.arrival.TimeLeft+6*s.Tick {
				t.Fatalf("seed %d: request %d has no answer %v after its time", seed, id, now-q.arrivedAt-q.arrival.TimeLeft)
			}
			if !q.finished || q.out() > 0 {
				kept = append(kept, id)
			}
		}
		open = kept
	}
}

// answer notes our own answer to a request, which must be the only one.
func answer(t *testing.T, seed uint64, q *sender) {
	if q.finished {
		t.Fatalf("seed %d: request %d answered after its end", seed, q.arrival.Request)
	}
	q.finished = true
	q.answers++
}

func group(s DedupScope, w WorkerInfo) int {
	switch s {
	case SameZone:
		return w.Zone
	case SameGroup:
		return w.Group
	}
	return 0
}

func within(l []time.Duration, now time.Duration) (n int) {
	for _, t := range l {
		if t > now-5*time.Second {
			n++
		}
	}
	return n
}
