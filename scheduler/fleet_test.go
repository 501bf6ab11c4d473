package scheduler

import (
	"slices"
	"testing"
	"time"
)

// A draining worker is sent neither requests nor load orders.
func TestDrainingWorkerGetsNothingNew(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2)...)
	home := actionsOf[Send](d.Step(time.Second, []Event{arrival(1, 0, 7)}))[0].Worker
	d.Step(1100*ms, []Event{AttemptEnded{Request: 1, Worker: home, Outcome: OK, Complete: true, Took: 100 * ms,
		Note: FoundWarm}})
	d.Step(1200*ms, []Event{ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{{ID: home, State: Draining}}}})
	for i := 1; i < 3000; i++ {
		now := 1200*ms + time.Duration(i)*10*ms
		var events []Event
		if i%600 == 0 { // rarely enough for renewals in between
			events = append(events, arrival(RequestID(100+i), 0, 7))
		}
		actions := d.Step(now, events)
		for _, a := range actionsOf[Send](actions) {
			if a.Worker == home {
				t.Fatalf("%v: a request is sent to a draining worker", now)
			}
		}
		for _, a := range actionsOf[LoadOrder](actions) {
			if a.Worker == home && a.Copies > 0 {
				t.Fatalf("%v: a load order is sent to a draining worker", now)
			}
		}
	}
}

// A function that is called all the time keeps nothing about workers that were removed, even if its
// requests were outstanding there.
func TestRemovedWorkersAreForgotten(t *testing.T) {
	d := start(t, testSettings(), ready(1)...)
	for i := RequestID(1); i <= 50; i++ {
		id := WorkerID(i)
		d.Step(time.Second, []Event{ListUpdate{Kind: FullList, Workers: ready(id)}})
		sends := actionsOf[Send](d.Step(time.Second, []Event{arrival(i, 0, 7)}))
		if len(sends) != 1 || sends[0].Worker != id {
			t.Fatalf("sends %+v, want one to worker %d", sends, id)
		}
		d.Step(time.Second, []Event{ListUpdate{Kind: FullList, Workers: ready(id + 1)}})
		d.Step(time.Second, []Event{AttemptEnded{Request: i, Worker: id, Outcome: OK, Complete: true, Note: FoundWarm}})
	}
	if n := len(d.queues.byFunction[7].placements); n > 1 {
		t.Errorf("%d placements, want at most one for the one listed worker", n)
	}
}

// A worker that leaves and returns with the same ID within one step is a new worker: nothing is
// known about it, and attempts outstanding at the old one do not count for it.
func TestWorkerThatReturnsWithItsIDIsNew(t *testing.T) {
	for _, oneUpdate := range []bool{true, false} {
		d := startAndServe(t, testSettings(), 7)
		sent := actionsOf[Send](d.Step(2*time.Second, []Event{arrival(90, 0, 7)}))
		old := d.workers[sent[0].Worker]
		removed, returned := old.WorkerInfo, old.WorkerInfo
		removed.State = Removed
		events := []Event{ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{removed, returned}}}
		if !oneUpdate {
			events = []Event{ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{removed}},
				ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{returned}}}
		}
		d.Step(2010*ms, events)
		current := d.workers[old.ID]
		if current == old || current == nil || len(current.placements) != 0 || len(d.listed) != 3 {
			t.Fatalf("in one update %v: same worker %v, with %d placements", oneUpdate, current == old,
				len(current.placements))
		}
		checkIndexes(t, d)
		d.Step(2100*ms, []Event{AttemptEnded{Request: 90, Worker: old.ID, Outcome: OK, Complete: true,
			Note: FoundWarm, Took: 100 * ms}})
		if current.outstanding != 0 && !slices.Contains(d.watchList.workers, current) || old.outstanding != 0 {
			t.Errorf("in one update %v: %d attempts outstanding at the new worker, %d at the old",
				oneUpdate, current.outstanding, old.outstanding)
		}
		checkIndexes(t, d)
	}
}

// After a list of 2,000 workers is replaced completely, nothing of the old one is left.
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
		t.Fatalf("%d of 300 requests sent, want at least 290 for the test to mean anything", len(sent))
	}
	d.Step(3*time.Second, []Event{ListUpdate{Kind: FullList, Workers: many(5000)}})
	if len(d.listed) != 2000 || d.listed[0].ID != 5000 || d.ring.Len() != 2000 {
		t.Errorf("%d workers listed from ID %d on, %d on the ring, want 2000 from 5000 on",
			len(d.listed), d.listed[0].ID, d.ring.Len())
	}
	checkIndexes(t, d)
	var responses []Event
	for _, a := range sent {
		responses = append(responses, AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Complete: true,
			Note: StartedLoad, Took: time.Second})
	}
	d.Step(4*time.Second, responses)
	for fn, q := range d.queues.byFunction {
		for w := range q.placements {
			if w.State == Removed {
				t.Fatalf("function %d has a placement at removed worker %d", fn, w.ID)
			}
		}
	}
	checkIndexes(t, d)
}

// Workers are in the order of their IDs, whatever order they were listed in.
func TestWorkersAreOrderedByID(t *testing.T) {
	d := start(t, testSettings(), ready(5, 2, 9)...)
	d.Step(2*time.Second, []Event{ListUpdate{Kind: ListDelta, Workers: ready(1, 7, 3)}})
	if !slices.IsSortedFunc(d.listed, byID) || len(d.listed) != 6 {
		t.Errorf("%d workers, sorted by ID %v, want 6 that are", len(d.listed), slices.IsSortedFunc(d.listed, byID))
	}
	checkIndexes(t, d)
}

// The capacity of ready workers counts each worker as its health check found it, although it is
// added up later. A health check may end an ejection, after which no more than half of the workers
// are ejected and the ejections of the others are no longer ignored.
func TestCapacityCountsWorkersAsTheirHealthCheckFoundThem(t *testing.T) {
	s := testSettings()
	s.Loading.Orders, s.Limits.Probe = false, false // ejections end without a probe
	d := startAndServe(t, s, 7)
	first, second := d.listed[0], d.listed[1]
	d.setEjected(first, true)
	d.setEjected(second, true)
	first.ejectedUntil, second.ejectedUntil = time.Hour, 0
	d.now = time.Minute
	d.checkHealth()
	if !first.ejected || second.ejected || d.Effort().SummedWorkers > 2 {
		t.Fatalf("ejected %v and %v, want only the first; %d workers added up meanwhile, want at most 2",
			first.ejected, second.ejected, d.Effort().SummedWorkers)
	}
	if got := d.readyCapacity(); got != 3 {
		t.Errorf("capacity %v, want 3: ejections were ignored at the health checks of the first two workers", got)
	}
	d.checkHealth()
	if got := d.readyCapacity(); got != 2 {
		t.Errorf("capacity %v in the next step, want 2", got)
	}
	checkWorkers(t, d)
}
