package scheduler

import (
	"testing"
	"time"
)

// A request past its latency objective goes after those that can still meet theirs. Otherwise a
// stall makes every later answer late as well.
func TestRequestsPastTheirObjectiveGoLast(t *testing.T) {
	d := start(t, testSettings())
	d.Step(time.Second, []Event{arrival(1, 0, 7)})
	d.Step(2*time.Second, []Event{arrival(2, 0, 7)})
	sent := actionsOf[Send](d.Step(2002*ms, []Event{ListUpdate{Kind: FullList, Workers: ready(1)}}))
	if len(sent) != 1 || sent[0].Request != 2 {
		t.Errorf("sent %v, want only request 2: request 1 is past its objective", sent)
	}
}

// A further copy is ordered later where copies are evicted, as it would evict others.
func TestFurtherCopyWaitsLongerWhereCopiesAreEvicted(t *testing.T) {
	for _, note := range []LoadNote{FoundWarm, StartedLoad} {
		d := start(t, testSettings(), ready(1, 2)...)
		now, id := time.Second, RequestID(0)
		for range 40 {
			id, now = id+1, now+100*ms
			for _, a := range actionsOf[Send](d.Step(now, []Event{arrival(id, 0, 7)})) {
				d.Step(now, []Event{AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Complete: true,
					Took: 50 * ms, Note: note}})
			}
		}
		var events []Event
		for range 30 { // more than home has tokens for
			id++
			events = append(events, arrival(id, 0, 7))
		}
		d.Step(now, events)
		// The timer fires after a quarter of the objective.
		orders := len(actionsOf[LoadOrder](d.Step(now+150*ms, []Event{Timer{}})))
		if want := note == FoundWarm; (orders > 0) != want {
			t.Errorf("note %d: %d load orders for a further copy, want any: %v", note, orders, want)
		}
	}
}
