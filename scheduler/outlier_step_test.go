package scheduler

import (
	"testing"
	"time"
)

// From r6f1dac: a worker that responds to most requests with errors at once is sent no requests
// that cannot be repeated freely, for a time that grows. Idempotent requests are still sent there,
// and show when the fault is over. If its peers fail as often, the requests are the cause and
// nothing is avoided.
func TestNonIdempotentRequestsAvoidAWorkerWithErrors(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fails func(WorkerID, RequestID) bool
		stays bool // requests that are not idempotent are still sent to worker 1
	}{
		{"one worker, most requests", func(w WorkerID, i RequestID) bool { return w == 1 && i%5 > 0 }, false},
		{"all workers", func(_ WorkerID, i RequestID) bool { return i%5 > 0 }, true},
		{"none", func(WorkerID, RequestID) bool { return false }, true},
	} {
		d := start(t, testSettings(), ready(1, 2, 3)...)
		now, attempts := time.Second, map[RequestID]int{}
		sent := map[bool]int{} // to worker 1 from request 101 on, by idempotency
		for i := RequestID(1); i <= 400; i++ {
			now += 10 * ms
			class := int(i%2) * 2
			pending := d.Step(now, []Event{arrival(i, class, FunctionID(class*100)+FunctionID(i%24))})
			for ; len(pending) > 0; pending = pending[1:] {
				if h, ok := pending[0].(LoadOrder); ok {
					pending = append(pending, d.Step(now,
						[]Event{LoadOrderEnded{Worker: h.Worker, Function: h.Function, Outcome: OK, Copies: 1}})...)
				}
				a, ok := pending[0].(Send)
				if !ok {
					continue
				}
				if a.Worker == 1 && i > 100 {
					sent[a.Request%2 == 0]++
				}
				o := OK
				if tt.fails(a.Worker, a.Request) {
					o = Error
				}
				pending = append(pending, d.Step(now, []Event{AttemptEnded{Request: a.Request,
					Attempt: attempts[a.Request], Worker: a.Worker, Outcome: o,
					Complete: o == OK, Took: 5 * ms, Note: FoundWarm}})...)
				attempts[a.Request]++
			}
		}
		if sent[true] == 0 {
			t.Errorf("%s: no idempotent request is sent to worker 1", tt.name)
		}
		if (sent[false] > 0) != tt.stays {
			t.Errorf("%s: %d requests that are not idempotent are sent to worker 1", tt.name, sent[false])
		}
	}
}

// The duration of avoidance grows while every response is an error. Once errors are rare, a single
// one no longer starts it.
func TestAvoidanceGrowsAndEnds(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2, 3)...)
	w := d.workers[1]
	var spans []time.Duration
	for len(spans) < 3 {
		d.now = max(d.now, w.avoidedUntil)
		before := w.avoidedUntil
		for w.avoidedUntil == before {
			d.outliers.onError(&w.workerHealth, true, d.now)
		}
		spans = append(spans, w.avoidedUntil-d.now)
	}
	if spans[1] <= spans[0] || spans[2] <= spans[1] {
		t.Errorf("avoided for %v, want each longer than the one before", spans)
	}
	r := arrival(1, 2, 7)
	d.Step(w.avoidedUntil+time.Second, []Event{r})
	for range 10 {
		w.errorRate *= 1 - ewmaWeight // as one response without an error does
	}
	d.outliers.onError(&w.workerHealth, true, d.now)
	if d.now < w.avoidedUntil {
		t.Error("one error after ten responses without one starts an avoidance")
	}
}

// An ejected worker that fails the probe at the end of its ejection is not probed again in every
// step.
func TestEjectedWorkerIsNotProbedInEveryStep(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2, 3)...)
	for i := RequestID(1); i <= 8; i++ {
		d.Step(time.Second, []Event{arrival(i, 0, FunctionID(i))})
	}
	orders := 0
	var events []Event
	for now := time.Second; now < 10*time.Second; now += 10 * ms {
		actions := d.Step(now, events)
		events = nil
		for _, a := range actionsOf[Send](actions) {
			events = append(events, AttemptEnded{Request: a.Request, Attempt: len(d.requests[a.Request].attempts) - 1,
				Worker: a.Worker, Outcome: ConnectFailed})
		}
		for _, a := range actionsOf[LoadOrder](actions) {
			orders++
			events = append(events, LoadOrderEnded{Worker: a.Worker, Function: a.Function, Outcome: ConnectFailed})
		}
	}
	if orders > 40 {
		t.Errorf("%d orders in 9 s to three dead workers, want at most 40", orders)
	}
}

// If connections to all workers fail, ejections do not leave all of them unavailable.
func TestEjectionsLeaveWorkersReady(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2, 3)...)
	for i := RequestID(1); i < 30; i++ {
		now := time.Second + time.Duration(i)*50*ms
		for _, a := range actionsOf[Send](d.Step(now, []Event{arrival(i, 0, FunctionID(i))})) {
			d.Step(now, []Event{AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: ConnectFailed}})
		}
	}
	ready := 0
	for _, w := range d.listed {
		if d.ready(w) {
			ready++
		}
	}
	if ready == 0 {
		t.Error("no worker is ready")
	}
}
