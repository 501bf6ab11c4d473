package scheduler

import (
	"cmp"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns the settings of a small deployment with one class of each idempotency.
func testSettings() Settings {
	return Settings{Controllers: 1, Tick: 2 * ms,
		Classes: []Class{
			{Name: "safe", Idempotency: Idempotent, LatencyObjective: 500 * ms, Deadline: 4 * time.Second,
				PriorityWeight: 1},
			{Name: "keyed", Idempotency: IdempotentWithKey, DedupScope: SameGroup, DedupWindow: 2 * time.Second,
				LatencyObjective: 500 * ms,
				Deadline:         4 * time.Second, PriorityWeight: 1},
			{Name: "unsafe", Idempotency: NonIdempotent, LatencyObjective: 500 * ms, Deadline: 4 * time.Second,
				PriorityWeight: 1}},
		Limits: Limits{MaxAttempts: 3, MaxOpenRequests: 100, DialTimeout: 250 * ms, Cancel: true},
		Loading: Loading{Orders: true, LoadsOnMiss: true, OnMissKnown: true, IdleCopyTTL: 8 * time.Second,
			OrderTimeout: 10 * time.Second, ReportsLoadNotes: true},
		Guarantees: Guarantees{DrainGrace: 500 * ms, WarmupFraction: 0.2, WarmupTime: 16 * time.Second,
			CollapseFactor: 3,
			CollapseWindow: 2 * time.Second}}
}

// setBudget sets the load budget: its window, the load orders that are always allowed, and those
// that each request adds.
func setBudget(s *Settings, window time.Duration, free, ratio float64) {
	s.Loading.BudgetWindow = window
	s.Loading.BudgetFree = free
	s.Loading.BudgetRatio = ratio
}

// start returns a dispatcher that received a cached endpoint list with these workers at 1 s.
func start(t *testing.T, s Settings, workers ...WorkerInfo) *Dispatcher {
	t.Helper()
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	d.Step(time.Second, []Event{ListUpdate{Kind: CachedList, Workers: workers}})
	return d
}

// ready returns endpoint list entries of ready workers, each in its own group.
func ready(ids ...WorkerID) (l []WorkerInfo) {
	for _, id := range ids {
		l = append(l, WorkerInfo{ID: id, State: Ready, Group: int(id)})
	}
	return l
}

// arrival returns a request with 3 s left, of a function whose copies have two lanes.
func arrival(id RequestID, class int, fn FunctionID) Arrival {
	return Arrival{Request: id, Class: class, Function: fn, TimeLeft: 3 * time.Second, Lanes: 2}
}

// walk returns the listed workers in the order of the queue's walk.
func walk(d *Dispatcher, q *queue) (l []*worker) {
	for i := range d.listed {
		l = append(l, q.worker(i))
	}
	return l
}

// actionsOf returns the actions of one type.
func actionsOf[T Action](actions []Action) (l []T) {
	for _, a := range actions {
		if a, ok := a.(T); ok {
			l = append(l, a)
		}
	}
	return l
}

// playRequests steps a dispatcher through n requests, one every 100 ms, and ends each attempt with
// an outcome after a time. It returns the time of the last step.
func playRequests(t *testing.T, d *Dispatcher, from time.Duration, n int, took time.Duration,
	outcome Outcome) (now time.Duration) {
	t.Helper()
	type timedOutcome struct {
		ended AttemptEnded
		at    time.Duration
	}
	var pending []timedOutcome
	for i := 0; i < n || len(pending) > 0; i++ {
		now = from + time.Duration(i)*100*ms
		var events []Event
		for len(pending) > 0 && pending[0].at <= now {
			events = append(events, pending[0].ended)
			pending = pending[1:]
		}
		if i < n {
			events = append(events, arrival(RequestID(from)+RequestID(i), 0, FunctionID(i%3)))
		}
		for _, a := range actionsOf[Send](d.Step(now, events)) {
			pending = append(pending, timedOutcome{AttemptEnded{Request: a.Request, Worker: a.Worker,
				Outcome: outcome, Took: took,
				Complete: outcome == OK, Attempt: len(d.requests[a.Request].attempts) - 1}, now + took})
		}
	}
	return now
}

// byID compares two workers by ID.
func byID(a, b *worker) int { return cmp.Compare(a.ID, b.ID) }
