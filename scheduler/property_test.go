package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// trackedRequest is the state of one request, which the test tracks independently of the
// dispatcher.
type trackedRequest struct {
	arrival   Arrival
	arrivedAt time.Duration
	sentAt    []time.Duration
	groups    []int
	workers   []WorkerID
	outcome   []Outcome // by attempt; 0: outstanding
	answers   int
	finished  bool // by a Reject or Fail, an outcome, or because the client has left
}

// outstanding returns the number of attempts without an outcome.
func (r *trackedRequest) outstanding() (n int) {
	for _, o := range r.outcome {
		if o == 0 {
			n++
		}
	}
	return n
}

// mayHaveRun returns the index of the first attempt that may have run or is outstanding, or -1.
func (r *trackedRequest) mayHaveRun() int {
	for i, o := range r.outcome {
		if o != AtCapacity && o != ConnectFailed && o != NotStarted && o != NotLoaded {
			return i
		}
	}
	return -1
}

// The guarantees hold under random events in any valid order: each request gets one answer in time,
// no request runs twice that must not, draining workers get nothing new, and load orders keep to
// the load budget. The events follow no model of timing or load.
func TestRulesUnderAnyEvents(t *testing.T) {
	seen := map[string]int{}
	for seed := uint64(1); seed <= 40; seed++ {
		checkRules(t, seed, seen)
	}
	for _, what := range []string{"sends", "retries", "load orders", "rejects", "fails", "drains"} {
		if seen[what] == 0 {
			t.Errorf("no %s in any run: the events do not cover them", what)
		}
	}
}

// checkRules runs a dispatcher on random events from one seed, and counts in seen what happened.
func checkRules(t *testing.T, seed uint64, seen map[string]int) {
	random := rand.New(rand.NewPCG(seed, 7))
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
	unavailableSince := map[WorkerID]time.Duration{} // when a worker began to drain or was removed
	requests := map[RequestID]*trackedRequest{}
	var open []RequestID
	var arrivals, orders []time.Duration
	var outstandingOrders []LoadOrder
	now, next := time.Hour, RequestID(1)
	for step := 0; step < 1500; step++ {
		now += time.Duration(random.IntN(12)) * s.Tick / 2
		var events []Event
		if step == 0 || random.IntN(60) == 0 {
			l := ListUpdate{Kind: ListDelta}
			if step == 0 {
				l.Kind = CachedList
			}
			for id := WorkerID(1); id <= 8; id++ {
				if step > 0 && random.IntN(4) > 0 {
					continue
				}
				w := WorkerInfo{ID: id, Group: int(id % 3), Zone: int(id % 2), State: Ready}
				if step > 0 {
					w.State = WorkerState(1 + random.IntN(3))
				}
				if w.State == Ready {
					delete(unavailableSince, id)
					if random.IntN(2) == 0 {
						w.StartedAt = now - time.Second
					}
				} else if _, was := unavailableSince[id]; !was {
					unavailableSince[id] = now
					seen["drains"]++
				}
				list[id] = w
				l.Workers = append(l.Workers, w)
			}
			events = append(events, l)
		}
		for n := random.IntN(3); n > 0; n-- {
			a := Arrival{Request: next, Class: random.IntN(3), Function: FunctionID(random.IntN(12)), Lanes: 2,
				TimeLeft: time.Duration(random.IntN(3000)) * ms}
			requests[next] = &trackedRequest{arrival: a, arrivedAt: now}
			open = append(open, next)
			arrivals = append(arrivals, now)
			events = append(events, a)
			next++
		}
		for _, id := range open {
			q := requests[id]
			for i, o := range q.outcome {
				if o == 0 && random.IntN(40) == 0 {
					r := AttemptEnded{Request: id, Attempt: i, Worker: q.workers[i],
						Outcome: Outcome(1 + random.IntN(9)),
						Took:    now - q.sentAt[i], Note: LoadNote(random.IntN(4))}
					q.outcome[i] = r.Outcome
					q.finished = q.finished || r.Outcome == OK
					r.Complete = q.finished
					events = append(events, r)
				}
			}
			if !q.finished && random.IntN(900) == 0 {
				q.finished = true
				events = append(events, ClientClosed{id})
			}
		}
		for len(outstandingOrders) > 0 && random.IntN(2) == 0 {
			order := outstandingOrders[0]
			outstandingOrders = outstandingOrders[1:]
			events = append(events, LoadOrderEnded{Worker: order.Worker, Function: order.Function,
				Outcome: Outcome(1 + random.IntN(6)),
				Copies:  random.IntN(2)})
		}
		for _, a := range d.Step(now, events) {
			switch a := a.(type) {
			case Send:
				q, c := requests[a.Request], s.Classes[requests[a.Request].arrival.Class]
				seen["sends"]++
				if len(q.sentAt) > 0 {
					seen["retries"]++
				}
				first := q.mayHaveRun()
				switch {
				case q.finished:
					t.Fatalf("seed %d: request %d sent after its answer or its client's departure", seed, a.Request)
				case len(q.sentAt) >= s.Limits.MaxAttempts:
					t.Fatalf("seed %d: attempt %d exceeds the maximum", seed, len(q.sentAt)+1)
				case q.outstanding() > 0 && !s.Limits.HedgedRequests:
					t.Fatalf("seed %d: two outstanding attempts of a request", seed)
				case first >= 0 && c.Idempotency == NonIdempotent:
					t.Fatalf("seed %d: non-idempotent request sent again", seed)
				case first >= 0 && c.Idempotency == IdempotentWithKey && now >= q.sentAt[first]+c.DedupWindow:
					t.Fatalf("seed %d: request with a key sent after its dedup window", seed)
				case first >= 0 && c.Idempotency == IdempotentWithKey &&
					dedupGroup(c.DedupScope, list[a.Worker]) != q.groups[first]:
					t.Fatalf("seed %d: request with a key sent outside its dedup scope", seed)
				}
				if since, is := unavailableSince[a.Worker]; is && now > since+s.Guarantees.DrainGrace {
					t.Fatalf("seed %d: send to a draining worker", seed)
				}
				q.sentAt, q.outcome = append(q.sentAt, now), append(q.outcome, 0)
				q.workers = append(q.workers, a.Worker)
				q.groups = append(q.groups, dedupGroup(c.DedupScope, list[a.Worker]))
			case Reject:
				q, c := requests[a.Request], s.Classes[requests[a.Request].arrival.Class]
				seen["rejects"]++
				if c.Idempotency != Idempotent && q.mayHaveRun() >= 0 &&
					!(c.Idempotency == IdempotentWithKey && c.DedupScope == AllWorkers) {
					t.Fatalf("seed %d: rejected a request that may have run", seed)
				}
				recordAnswer(t, seed, q)
			case Fail:
				seen["fails"]++
				recordAnswer(t, seed, requests[a.Request])
			case LoadOrder:
				outstandingOrders = append(outstandingOrders, a)
				if a.Copies == 0 {
					continue
				}
				seen["load orders"]++
				if since, is := unavailableSince[a.Worker]; is && now > since+s.Guarantees.DrainGrace {
					t.Fatalf("seed %d: load order to a draining worker", seed)
				}
				orders = append(orders, now)
				if n, m := within(orders, now), within(arrivals, now); float64(n) > 3+0.2*float64(m) {
					t.Fatalf("seed %d: %d load orders with %d requests in the window", seed, n, m)
				}
			}
		}
		kept := open[:0]
		for _, id := range open {
			q := requests[id]
			if !q.finished && now > q.arrivedAt+q.arrival.TimeLeft+6*s.Tick {
				t.Fatalf("seed %d: request %d has no answer %v after its deadline", seed, id,
					now-q.arrivedAt-q.arrival.TimeLeft)
			}
			if !q.finished || q.outstanding() > 0 {
				kept = append(kept, id)
			}
		}
		open = kept
	}
}

// recordAnswer records the Reject or Fail of a request, which must be its only answer.
func recordAnswer(t *testing.T, seed uint64, q *trackedRequest) {
	if q.finished {
		t.Fatalf("seed %d: request %d answered after its answer or its client's departure", seed, q.arrival.Request)
	}
	q.finished = true
	q.answers++
}

// dedupGroup returns the zone or group of a worker, by the dedup scope. Repeats are dropped within
// it.
func dedupGroup(s DedupScope, w WorkerInfo) int {
	switch s {
	case SameZone:
		return w.Zone
	case SameGroup:
		return w.Group
	}
	return 0
}

// within returns how many of the times are in the window of the load budget.
func within(l []time.Duration, now time.Duration) (n int) {
	for _, t := range l {
		if t > now-5*time.Second {
			n++
		}
	}
	return n
}
