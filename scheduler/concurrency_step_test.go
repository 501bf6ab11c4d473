package scheduler

import (
	"testing"
	"time"
)

func TestRejectionHalvesTokens(t *testing.T) {
	d := start(t, testSettings(), ready(1)...)
	w := d.workers[1]
	w.limit.tokens = 8
	d.Step(time.Second, []Event{arrival(1, 0, 7)})
	d.Step(1010*ms, []Event{AttemptEnded{Request: 1, Worker: 1, Outcome: AtCapacity}})
	if w.limit.tokens != 4 {
		t.Errorf("%v tokens after a rejection at 8, want 4", w.limit.tokens)
	}
}

// Where few controllers share a copy, a worker that is 40 % slower than its peers loses tokens, as
// each controller that holds requests back has an effect there. Where many controllers share it,
// the same responses take none away.
func TestSlowerWorkerLosesTokensWhereControllersAreFew(t *testing.T) {
	for _, tt := range []struct {
		controllers int
		loses       bool
	}{{3, true}, {8, true}, {9, false}, {200, false}} { // two lanes, four controllers to a lane
		s := testSettings()
		s.Controllers = tt.controllers
		d := start(t, s, ready(1, 2, 3)...)
		for _, w := range d.listed {
			d.peerLatency.set(&w.limit, 1, true)
		}
		w := d.workers[2]
		d.peerLatency.set(&w.limit, 1.4, true)
		w.limit.tokens = 8
		d.Step(time.Second, []Event{arrival(1, 0, 7)})
		r := d.requests[1]
		if len(r.attempts) == 0 {
			t.Fatal("the request is not sent")
		}
		r.attempts[0].worker = w // whichever worker it was sent to
		w.outstanding, w.limit.inUse, w.awaitingLoad = 1, 1, 0
		r.attempts[0].awaitsLoad = false
		d.Step(1150*ms, []Event{AttemptEnded{Request: 1, Worker: w.ID, Outcome: OK, Complete: true,
			Note: FoundWarm, Took: 175 * ms}})
		if (w.limit.tokens < 8) != tt.loses {
			t.Errorf("%d controllers: %v tokens after a response at 1.4 times the usual run time, was 8",
				tt.controllers, w.limit.tokens)
		}
	}
}

// Incident i9cf6b9, and simulations with slow workers: a worker far slower than its peers gets less
// than one token where many controllers send to it.
func TestSlowWorkerHasLessThanOneToken(t *testing.T) {
	s := testSettings()
	s.Controllers = 20
	d := start(t, s, ready(1, 2, 3)...)
	now, sent := time.Second, map[WorkerID]int{}
	for i := RequestID(1); i <= 300; i++ {
		now += 30 * ms
		for _, a := range actionsOf[Send](d.Step(now, []Event{arrival(i, 0, FunctionID(i%6))})) {
			took := 20 * ms
			if a.Worker == 1 {
				took = 300 * ms
			}
			sent[a.Worker]++
			d.Step(now, []Event{AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Complete: true,
				Took: took,
				Note: FoundWarm}})
		}
	}
	slow := d.workers[1]
	if sent[1] == 0 {
		t.Fatal("worker 1 is no function's home, so nothing was tested")
	}
	if slow.limit.tokens >= 0.5 {
		t.Errorf("slow worker: %v tokens, want less than half a token", slow.limit.tokens)
	}
}
