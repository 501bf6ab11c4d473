package scheduler

import (
	"testing"
	"time"
)

// A dispatch charges the queue with the function's mean run time; a newly active queue starts at Global_VT.
func TestVirtualTime(t *testing.T) {
	d := start(t, base(), ready(1, 2)...)
	q := d.queues.get(7)
	q.meanRunTime = 0.2
	d.Step(time.Second, []Event{arrival(1, 0, 7)})
	if q.virtualTime != 0.2 {
		t.Errorf("VT %v after one dispatch of 0.2 s", q.virtualTime)
	}
	d.Step(1001*ms, nil)
	if d.queues.globalVirtualTime != 0.2 {
		t.Errorf("Global_VT %v, want the lowest active VT 0.2", d.queues.globalVirtualTime)
	}
	fresh := d.queues.get(8)
	d.queues.activate(fresh)
	if fresh.virtualTime != d.queues.globalVirtualTime {
		t.Errorf("new queue at %v, want Global_VT %v", fresh.virtualTime, d.queues.globalVirtualTime)
	}
}

// An empty queue stays active for alpha x its gap, and for the keep-alive before a second call.
func TestTTL(t *testing.T) {
	d := start(t, base(), ready(1)...)
	q := d.queues.get(7)
	if got := d.queues.timeToLive(q); got != 8*time.Second {
		t.Errorf("before a second call: %v, want the keep-alive", got)
	}
	q.meanInterarrival = 3
	if got := d.queues.timeToLive(q); got != 6*time.Second {
		t.Errorf("at a gap of 3 s: %v, want 6 s", got)
	}
}

// Every controller finds the same home, and the loss of another worker does not move it.
func TestHome(t *testing.T) {
	a, b := start(t, base(), ready(1, 2, 3, 4)...), start(t, base(), ready(4, 3, 2, 1)...)
	for fn := FunctionID(1); fn < 50; fn++ {
		home := walk(a, a.queues.get(fn))[0]
		if got := walk(b, b.queues.get(fn))[0]; got.ID != home.ID {
			t.Errorf("function %d: homes %d and %d", fn, home.ID, got.ID)
		}
		if home.ID != 4 {
			c := start(t, base(), ready(1, 2, 3)...)
			if got := walk(c, c.queues.get(fn))[0]; got.ID != home.ID {
				t.Errorf("function %d moved from %d to %d as worker 4 left", fn, home.ID, got.ID)
			}
		}
	}
}

// An idle active queue renews its home copy by a hold of one.
func TestRenewal(t *testing.T) {
	d := start(t, base(), ready(1, 2)...)
	home := pickOut[Send](d.Step(time.Second, []Event{arrival(1, 0, 7)}))[0].Worker
	d.Step(1100*ms, []Event{AttemptEnded{Request: 1, Worker: home, Outcome: OK, Complete: true, Note: FoundWarm}})
	holds := 0
	for now := 1200 * ms; now < 8*time.Second; now += 20 * ms {
		for _, h := range pickOut[LoadOrder](d.Step(now, nil)) {
			if h != (LoadOrder{Worker: home, Function: 7, Copies: 1}) || now < 1100*ms+4800*ms {
				t.Errorf("%v: %+v", now, h)
			}
			holds++
		}
	}
	if holds != 1 {
		t.Errorf("%d holds, want 1", holds)
	}
}

// D halves after a full refusal.
func TestTokensHalve(t *testing.T) {
	d := start(t, base(), ready(1)...)
	w := d.workers[1]
	w.limit.tokens = 8
	d.Step(time.Second, []Event{arrival(1, 0, 7)})
	d.Step(1010*ms, []Event{AttemptEnded{Request: 1, Worker: 1, Outcome: AtCapacity}})
	if w.limit.tokens != 4 {
		t.Errorf("D %v after a refusal at 8, want 4", w.limit.tokens)
	}
}

// Where few controllers share a copy, a worker four tenths slower than its peers loses tokens: what each holds back is felt there.
// Where many do, the same answers take none away.
func TestTokensOfSlowerWorker(t *testing.T) {
	for _, tt := range []struct {
		controllers int
		falls       bool
	}{{3, true}, {8, true}, {9, false}, {200, false}} { // two lanes, four controllers to a lane
		s := base()
		s.Controllers = tt.controllers
		d := start(t, s, ready(1, 2, 3)...)
		for _, w := range d.order {
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
		d.Step(1150*ms, []Event{AttemptEnded{Request: 1, Worker: w.ID, Outcome: OK, Complete: true, Note: FoundWarm, Took: 175 * ms}})
		if (w.limit.tokens < 8) != tt.falls {
			t.Errorf("%d controllers: D %v after an answer at 1.4 of the usual pace, was 8", tt.controllers, w.limit.tokens)
		}
	}
}

// A function that is always called keeps nothing of workers that have gone, also of those that went with its calls out.
func TestGoneWorkersForgotten(t *testing.T) {
	d := start(t, base(), ready(1)...)
	for i := RequestID(1); i <= 50; i++ {
		id := WorkerID(i)
		d.Step(time.Second, []Event{ListUpdate{Kind: FullList, Workers: ready(id)}})
		sends := pickOut[Send](d.Step(time.Second, []Event{arrival(i, 0, 7)}))
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

// Copies that are asked for ahead of calls come by orders within the limit, to ready workers only, and once.
func TestStaged(t *testing.T) {
	s := base()
	s.Loading.BudgetWindow, s.Loading.BudgetFree, s.Loading.BudgetRatio = 5*time.Second, 3, 0
	d := start(t, s, ready(1, 2, 3, 4)...)
	l := ready(1)
	l[0].State = Draining
	d.Step(time.Second, []Event{ListUpdate{Kind: ListDelta, Workers: l}})
	first := pickOut[LoadOrder](d.Step(time.Second, []Event{StagedCopies{Function: 7, Copies: 2}}))
	if len(first) != 2 || first[0].Worker == 1 || first[1].Worker == 1 || first[0].Worker == first[1].Worker || first[0].Function != 7 {
		t.Fatalf("%+v, want two orders at two ready workers", first)
	}
	if l := pickOut[LoadOrder](d.Step(time.Second, []Event{StagedCopies{Function: 7, Copies: 2}})); len(l) != 0 {
		t.Errorf("told again while they load: %+v", l)
	}
	var held []Event
	for _, h := range first {
		held = append(held, LoadOrderEnded{Worker: h.Worker, Function: 7, Outcome: OK, Copies: 1})
	}
	if l := pickOut[LoadOrder](d.Step(2*time.Second, append(held, StagedCopies{Function: 7, Copies: 2}))); len(l) != 0 {
		t.Errorf("told again while they stand: %+v", l)
	}
	if l := pickOut[LoadOrder](d.Step(2*time.Second, []Event{StagedCopies{Function: 8, Copies: 3}})); len(l) != 1 {
		t.Errorf("%d orders, want the one that the limit leaves", len(l))
	}
}

// A call that the instance has taken before earns no load anew.
func TestAgainEarnsNoLoad(t *testing.T) {
	s := base()
	s.Loading.BudgetWindow, s.Loading.BudgetFree, s.Loading.BudgetRatio = 5*time.Second, 0, 1
	for _, again := range []bool{false, true} {
		d := start(t, s, ready(1, 2)...)
		a := arrival(1, 0, 5)
		a.Resubmitted = again
		d.Step(time.Second, []Event{a})
		l := pickOut[LoadOrder](d.Step(time.Second, []Event{StagedCopies{Function: 9, Copies: 1}}))
		if (len(l) == 1) == again {
			t.Errorf("again %v: %d orders", again, len(l))
		}
	}
}

// From r6f1dac: a worker that answers most calls with errors at once gets none that may not be repeated freely, for a growing
// time; safe ones go on, and show when it is over. Where its peers fail as much it is the calls, and nothing changes.
func TestFailingWorker(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fails func(WorkerID, RequestID) bool
		stays bool // unsafe calls go on to worker 1
	}{
		{"one worker, most calls", func(w WorkerID, i RequestID) bool { return w == 1 && i%5 > 0 }, false},
		{"all workers", func(_ WorkerID, i RequestID) bool { return i%5 > 0 }, true},
		{"none", func(WorkerID, RequestID) bool { return false }, true},
	} {
		d := start(t, base(), ready(1, 2, 3)...)
		now, sent, tries := time.Second, map[bool]int{}, map[RequestID]int{} // at worker 1 in the second half, by whether the call was safe
		for i := RequestID(1); i <= 400; i++ {
			now += 10 * ms
			class := int(i%2) * 2
			todo := d.Step(now, []Event{arrival(i, class, FunctionID(class*100)+FunctionID(i%24))})
			for ; len(todo) > 0; todo = todo[1:] {
				if h, ok := todo[0].(LoadOrder); ok {
					todo = append(todo, d.Step(now, []Event{LoadOrderEnded{Worker: h.Worker, Function: h.Function, Outcome: OK, Copies: 1}})...)
				}
				a, ok := todo[0].(Send)
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
				todo = append(todo, d.Step(now, []Event{AttemptEnded{Request: a.Request, Attempt: tries[a.Request], Worker: a.Worker, Outcome: o,
					Complete: o == OK, Took: 5 * ms, Note: FoundWarm}})...)
				tries[a.Request]++
			}
		}
		if sent[true] == 0 {
			t.Errorf("%s: no safe call goes to worker 1", tt.name)
		}
		if (sent[false] > 0) != tt.stays {
			t.Errorf("%s: %d unsafe calls went to worker 1", tt.name, sent[false])
		}
	}
}

// The time grows while every answer is an error, and is over with it.
func TestFailingWorkerReturns(t *testing.T) {
	d := start(t, base(), ready(1, 2, 3)...)
	w := d.workers[1]
	var spans []time.Duration
	for len(spans) < 3 {
		d.now = max(d.now, w.avoidUntil)
		before := w.avoidUntil
		for w.avoidUntil == before {
			d.outliers.onError(&w.workerHealth, true, d.now)
		}
		spans = append(spans, w.avoidUntil-d.now)
	}
	if spans[1] <= spans[0] || spans[2] <= spans[1] {
		t.Errorf("%v, want each longer than the one before", spans)
	}
	r := arrival(1, 2, 7)
	d.Step(w.avoidUntil+time.Second, []Event{r})
	for range 10 {
		w.errorRate *= 1 - meanWeight // as ten answers do
	}
	d.outliers.onError(&w.workerHealth, true, d.now)
	if d.now < w.avoidUntil {
		t.Error("one error after ten answers is enough")
	}
}

// TestGivenUpUnserved: a call of a function that was never served is given up a run of its class before its time is over, not at
// the last moment that an answer can still arrive in; and one with little time is not given up as it comes.
func TestGivenUpUnserved(t *testing.T) {
	d := start(t, base()) // no worker is known
	now := 2 * time.Second
	if l := d.Step(now, []Event{arrival(1, 0, 7), Arrival{Request: 2, Function: 8, TimeLeft: 100 * ms, Lanes: 2}}); len(pickOut[Reject](l)) > 0 {
		t.Fatal("given up as they came")
	}
	run := seconds(guessRun * 0.5) // of the aim
	at := map[RequestID]time.Duration{}
	for end := now + 4*time.Second; now < end; now += 2 * ms {
		for _, r := range pickOut[Reject](d.Step(now, nil)) {
			at[r.Request] = now - 2*time.Second
		}
	}
	if got, latest := at[1], 3*time.Second-run; got == 0 || got > latest || got < latest-10*ms {
		t.Errorf("given up after %v of 3s, want a run of %v before its end", got, run)
	}
	if got := at[2]; got < 60*ms || got > 75*ms {
		t.Errorf("given up after %v of 100ms, want a quarter of it before its end", got)
	}
}
