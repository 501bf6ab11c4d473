package scheduler

import (
	"testing"
	"time"
)

// The concurrency limit halves after a rejection.
func TestRejectionHalvesTokens(t *testing.T) {
	d := start(t, testSettings(), ready(1)...)
	w := d.workers[1]
	w.limit.tokens = 8
	d.Step(time.Second, []Event{arrival(1, 0, 7)})
	d.Step(1010*ms, []Event{AttemptEnded{Request: 1, Worker: 1, Outcome: AtCapacity}})
	if w.limit.tokens != 4 {
		t.Errorf("D %v after a refusal at 8, want 4", w.limit.tokens)
	}
}

// Where few controllers share a copy, a worker that is four tenths slower than its peers loses tokens, as what each
// controller holds back has an effect there. Where many do, the same answers take none away.
func TestSlowerWorkerLosesTokensWhereControllersAreFew(t *testing.T) {
	for _, tt := range []struct {
		controllers int
		falls       bool
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
			t.Fatal("not sent")
		}
		r.attempts[0].worker = w // wherever its home is
		w.outstanding, w.limit.inUse, w.awaitingLoad = 1, 1, 0
		r.attempts[0].awaitsLoad = false
		d.Step(1150*ms, []Event{AttemptEnded{Request: 1, Worker: w.ID, Outcome: OK, Complete: true,
			Note: FoundWarm, Took: 175 * ms}})
		if (w.limit.tokens < 8) != tt.falls {
			t.Errorf("%d controllers: D %v after an answer at 1.4 of the usual pace, was 8", tt.controllers,
				w.limit.tokens)
		}
	}
}

// From i9cf6b9 and days with slow workers: a worker far slower than its peers gets less than one token where many
// controllers send to it.
func TestSlowWorkerHasLessThanOneToken(t *testing.T) {
	s := testSettings()
	s.Controllers = 20
	d := start(t, s, ready(1, 2, 3)...)
	now, share := time.Second, map[WorkerID]int{}
	for i := RequestID(1); i <= 300; i++ {
		now += 30 * ms
		for _, a := range actionsOf[Send](d.Step(now, []Event{arrival(i, 0, FunctionID(i%6))})) {
			took := 20 * ms
			if a.Worker == 1 {
				took = 300 * ms
			}
			share[a.Worker]++
			d.Step(now, []Event{AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Complete: true,
				Took: took,
				Note: FoundWarm}})
		}
	}
	slow := d.workers[1]
	if share[1] == 0 {
		t.Fatal("worker 1 is no function's home: nothing was tested")
	}
	if slow.limit.tokens >= 0.5 {
		t.Errorf("slow worker: %v tokens, want it to take a small part of its calls", slow.limit.tokens)
	}
}
