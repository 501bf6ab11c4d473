package scheduler

import (
	"slices"
	"testing"
	"time"
)

// Nothing new, request or order, goes to a draining worker.
func TestDrainingWorkerGetsNothingNew(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2)...)
	home := actionsOf[Send](d.Step(time.Second, []Event{arrival(1, 0, 7)}))[0].Worker
	d.Step(1100*ms, []Event{AttemptEnded{Request: 1, Worker: home, Outcome: OK, Complete: true, Took: 100 * ms,
		Note: FoundWarm}})
	d.Step(1200*ms, []Event{ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{{ID: home, State: Draining}}}})
	for i := 1; i < 3000; i++ {
		now := 1200*ms + time.Duration(i)*10*ms
		var events []Event
		if i%600 == 0 { // far enough apart for renewals between

			events = append(events, arrival(RequestID(100+i), 0, 7))
		}
		actions := d.Step(now, events)
		for _, a := range actionsOf[Send](actions) {
			if a.Worker == home {
				t.Fatalf("%v: send to a draining worker", now)
			}
		}
		for _, a := range actionsOf[LoadOrder](actions) {
			if a.Worker == home && a.Copies > 0 {
				t.Fatalf("%v: order to a draining worker", now)
			}
		}
	}
}

// A function that is always called keeps nothing of workers that are gone, also of those that went with its requests
// outstanding.
func TestRemovedWorkersAreForgotten(t *testing.T) {
	d := start(t, testSettings(), ready(1)...)
	for i := RequestID(1); i <= 50; i++ {
		id := WorkerID(i)
		d.Step(time.Second, []Event{ListUpdate{Kind: FullList, Workers: ready(id)}})
		sends := actionsOf[Send](d.Step(time.Second, []Event{arrival(i, 0, 7)}))
		if len(sends) != 1 || sends[0].Worker != id {
			t.Fatalf("%+v", sends)
		}
		d.Step(time.Second, []Event{ListUpdate{Kind: FullList, Workers: ready(id + 1)}})
		d.Step(time.Second, []Event{AttemptEnded{Request: i, Worker: id, Outcome: OK, Complete: true, Note: FoundWarm}})
	}
	if n := len(d.queues.byFunction[7].placements); n > 1 {
		t.Errorf("%d workers remembered, one is there", n)
	}
}

// A worker that goes and returns under one ID within one step is another one: nothing is known of it, and what was
// outstanding at the first does not count for the second.
func TestWorkerThatReturnsUnderItsIDIsAnother(t *testing.T) {
	for _, one := range []bool{true, false} {
		d := startAndServe(t, testSettings(), 7)
		sent := actionsOf[Send](d.Step(2*time.Second, []Event{arrival(90, 0, 7)}))
		old := d.workers[sent[0].Worker]
		gone, back := old.WorkerInfo, old.WorkerInfo
		gone.State = Removed
		events := []Event{ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{gone, back}}}
		if !one {
			events = []Event{ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{gone}},
				ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{back}}}
		}
		d.Step(2010*ms, events)
		now := d.workers[old.ID]
		if now == old || now == nil || len(now.placements) != 0 || len(d.listed) != 3 {
			t.Fatalf("in one list %v: the same worker %v, of which %d functions are known", one, now == old,
				len(now.placements))
		}
		checkIndexes(t, d)
		d.Step(2100*ms, []Event{AttemptEnded{Request: 90, Worker: old.ID, Outcome: OK, Complete: true,
			Note: FoundWarm, Took: 100 * ms}})
		if now.outstanding != 0 && !slices.Contains(d.watchList.workers, now) || old.outstanding != 0 {
			t.Errorf("in one list %v: %d out at the new one, %d at the old", one, now.outstanding, old.outstanding)
		}
		checkIndexes(t, d)
	}
}

// A list of 2,000 workers that is replaced completely leaves nothing of the old one.
func TestReplacedListLeavesNothingOfTheOldOne(t *testing.T) {
	many := func(from WorkerID) (l []WorkerInfo) {
		for id := from; id < from+2000; id++ {
			l = append(l, WorkerInfo{ID: id, State: Ready, Group: int(id) / 8})
		}
		return l
	}
	d := start(t, testSettings(), many(1)...)
	var sent []Send
	for i := range RequestID(300) {
		sent = append(sent, actionsOf[Send](d.Step(2*time.Second, []Event{arrival(i+1, 0, FunctionID(i+1))}))...)
	}
	if len(sent) < 290 {
		t.Fatalf("%d of 300 sent: the test tests too little", len(sent))
	}
	d.Step(3*time.Second, []Event{ListUpdate{Kind: FullList, Workers: many(5000)}})
	if len(d.listed) != 2000 || d.listed[0].ID != 5000 || d.ring.Len() != 2000 {
		t.Errorf("%d listed from %d on, %d on the ring", len(d.listed), d.listed[0].ID, d.ring.Len())
	}
	checkIndexes(t, d)
	var answers []Event
	for _, a := range sent {
		answers = append(answers, AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Complete: true,
			Note: StartedLoad, Took: time.Second})
	}
	d.Step(4*time.Second, answers)
	for fn, q := range d.queues.byFunction {
		for w := range q.placements {
			if w.State == Removed {
				t.Fatalf("function %d: worker %d is still known", fn, w.ID)
			}
		}
	}
	checkIndexes(t, d)
}

// Workers are in the order of their IDs, whatever order they came in.
func TestWorkersAreOrderedByID(t *testing.T) {
	d := start(t, testSettings(), ready(5, 2, 9)...)
	d.Step(2*time.Second, []Event{ListUpdate{Kind: ListDelta, Workers: ready(1, 7, 3)}})
	if !slices.IsSortedFunc(d.listed, byID) || len(d.listed) != 6 {
		t.Errorf("%d workers, sorted %v", len(d.listed), slices.IsSortedFunc(d.listed, byID))
	}
	checkIndexes(t, d)
}

// The capacity of ready workers is that which the health checks found as they came to each, though it is added up
// later: a check may end an ejection on the way, and with it the others are no longer more than the half from which
// ejections are ignored.
func TestCapacityCountsWorkersAsHealthChecksFoundThem(t *testing.T) {
	s := testSettings()
	s.Loading.Orders, s.Limits.Probe = false, false // a worker that cannot be asked is taken back when its time is over
	d := startAndServe(t, s, 7)
	first, second := d.listed[0], d.listed[1]
	d.setEjected(first, true)
	d.setEjected(second, true)
	first.ejectedUntil, second.ejectedUntil = time.Hour, 0
	d.now = time.Minute
	d.checkHealth()
	if !first.ejected || second.ejected || d.Effort().SummedWorkers > 2 {
		t.Fatalf("ejected %v and %v, want the first only; %d shares added up on the way, want 2 at the most",
			first.ejected, second.ejected, d.Effort().SummedWorkers)
	}
	if got := d.readyCapacity(); got != 3 {
		t.Errorf("%v ready, want all 3: two of three were under suspicion when health came to the first two", got)
	}
	d.checkHealth()
	if got := d.readyCapacity(); got != 2 {
		t.Errorf("%v ready in the next step, want 2", got)
	}
	checkWorkers(t, d)
}
