package scheduler

import (
	"testing"
	"time"
)

// From issue 10: with many controllers few may order the copy at a home that has just started; calls that its
// bound lets pass go there all the same, also where each controller has one in several windows, or workers that a
// release brings stand idle until they are warm.
func TestColdHomeIsUsedWithoutOrders(t *testing.T) {
	s := base()
	s.Controllers = 50
	s.Loading.BudgetWindow = 5 * time.Second // no order is ever within the budget
	sent, total := 0, 0
	for seed := uint64(1); seed <= 60; seed++ {
		d, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		d.Step(time.Hour, []Event{ListUpdate{Kind: CachedList, Workers: ready(1, 2, 3, 4)}})
		home := walk(d, d.queues.get(7))[0].ID
		begin := time.Hour + time.Second
		d.Step(begin, []Event{ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{{ID: home, State: Ready, StartedAt: begin}}}})
		next := RequestID(seed * 1000)
		for now := begin + 6*time.Second; now < begin+15*time.Second; now += 4 * time.Second {
			next++
			d.slowStart.answered += 0.1 // seconds of work that the others answered
			for _, a := range pickOut[Send](d.Step(now, []Event{arrival(next, 0, 7)})) {
				if total++; a.Worker == home {
					sent++
				}
				d.Step(now+50*ms, []Event{AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Took: 50 * ms,
					Complete: true}})
			}
		}
	}
	if sent < total/2 || sent == total { // with credit that fades in one window two fifths do
		t.Errorf("%d of %d calls went to the cold home, want more than half and not all", sent, total)
	}
}

// slowDays steps a dispatcher through n requests, one each 100 ms, each sent one answered after took.
func slowDays(t *testing.T, d *Dispatcher, from time.Duration, n int, took time.Duration, o Outcome) (now time.Duration) {
	t.Helper()
	type out struct {
		r AttemptEnded
		t time.Duration
	}
	var pending []out
	for i := 0; i < n || len(pending) > 0; i++ {
		now = from + time.Duration(i)*100*ms
		var events []Event
		for len(pending) > 0 && pending[0].t <= now {
			events = append(events, pending[0].r)
			pending = pending[1:]
		}
		if i < n {
			events = append(events, arrival(RequestID(from)+RequestID(i), 0, FunctionID(i%3)))
		}
		for _, a := range pickOut[Send](d.Step(now, events)) {
			pending = append(pending, out{AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: o, Took: took,
				Complete: o == OK, Attempt: len(d.requests[a.Request].attempts) - 1}, now + took})
		}
	}
	return now
}

// From issue 10: where what is sent comes back late, whatever the cause, less is sent and the rest is refused in
// the step of its arrival, with a time to come back; where it is in time again, all is sent again.
func TestLessIsSentWhereAnswersAreLate(t *testing.T) {
	s := base()
	s.Limits.RetryAfter, s.Limits.MaxRetryAfter = true, time.Second
	d := start(t, s, ready(1, 2, 3, 4, 5, 6)...)
	now := slowDays(t, d, 2*time.Second, 60, 2*time.Second, OK)
	if d.admission.fraction > 0.6 {
		t.Fatalf("share let pass %v after 60 late answers, want under 0.6", d.admission.fraction)
	}
	count := func(retry bool) (refused int, afters map[time.Duration]bool) {
		afters = map[time.Duration]bool{}
		for i := 0; i < 200; i++ {
			a := arrival(RequestID(1e9+i), 0, 5)
			if a.ClientRetry = retry; retry {
				a.Request += 1e9
			}
			now += s.Tick
			for _, f := range pickOut[Reject](d.Step(now, []Event{a})) {
				if f.Request != a.Request || f.RetryAfter <= 0 || f.RetryAfter > s.Limits.MaxRetryAfter {
					t.Fatalf("%+v, want request %d refused, to come back within a second", f, a.Request)
				}
				refused++
				afters[f.RetryAfter] = true
			}
		}
		return refused, afters
	}
	first, afters := count(false)
	again, _ := count(true)
	if first < 40 || first > 190 || again < first || len(afters) < first/2 {
		t.Errorf("refused %d of 200, repeats %d, %d different times to come back", first, again, len(afters))
	}
	slowDays(t, d, now+10*time.Second, 400, 50*ms, OK)
	if d.admission.fraction != 1 {
		t.Errorf("share let pass %v after answers in time, want 1", d.admission.fraction)
	}
}

// Silence counts as soon as an answer is late, not at the time-out.
func TestSilenceLowersTheShare(t *testing.T) {
	d := start(t, base(), ready(1, 2, 3, 4, 5, 6)...)
	for i := 0; i < 60; i++ {
		d.Step(2*time.Second+time.Duration(i)*10*ms, []Event{arrival(RequestID(i+1), 0, FunctionID(i))})
	}
	d.Step(3900*ms, nil)
	if d.admission.fraction > 0.8 {
		t.Errorf("share %v with sent requests past aim and load unanswered, want under 0.8", d.admission.fraction)
	}
}

// What sending less does not mend does not lower the share: loads within their time, errors.
func TestLoadsAndErrorsDoNotLowerTheShare(t *testing.T) {
	d := start(t, base(), ready(1, 2, 3, 4, 5, 6)...)
	slowDays(t, d, 2*time.Second, 1, 900*ms, OK) // its first call waits for the load: aim 500 ms, load 750
	if d.admission.fraction != 1 {
		t.Errorf("share %v after a load, want 1", d.admission.fraction)
	}
	slowDays(t, d, 10*time.Second, 60, 20*ms, Error)
	if d.admission.fraction != 1 {
		t.Errorf("share %v after errors, want 1", d.admission.fraction)
	}
}

// A request that the module gives up on has its answer in that step, long before its time is over.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	// keyed starts a keyed request that may have run and is queued for its only mate, which is off the ring.
	keyed := func(t *testing.T, duplicate bool) (d *Dispatcher, home WorkerID, sent time.Duration) {
		s := base()
		s.Limits.HedgedRequests = duplicate
		d = start(t, s, ready(1, 2, 3, 4)...)
		home = pickOut[Send](d.Step(time.Second, []Event{arrival(1, 1, 7)}))[0].Worker
		for _, w := range d.order {
			if w.ID != home {
				d.setEjected(w, true)
				w.Group, w.ejectedUntil = int(home), time.Hour
				break
			}
		}
		d.Step(1010*ms, []Event{ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{{ID: home, State: Draining, Group: int(home)}}}})
		return d, home, time.Second
	}
	tests := []struct {
		name string
		run  func(t *testing.T) (d *Dispatcher, before, at time.Duration, events []Event)
		fail bool // else a refusal
	}{
		{"window closes in the queue", func(t *testing.T) (*Dispatcher, time.Duration, time.Duration, []Event) {
			d, home, sent := keyed(t, false)
			d.Step(1020*ms, []Event{AttemptEnded{Request: 1, Worker: home, Outcome: Error}})
			return d, sent + 1990*ms, sent + 2*time.Second, nil
		}, true},
		{"group leaves the list", func(t *testing.T) (*Dispatcher, time.Duration, time.Duration, []Event) {
			d, home, _ := keyed(t, false)
			d.Step(1020*ms, []Event{AttemptEnded{Request: 1, Worker: home, Outcome: Error}})
			var gone []WorkerInfo
			for _, w := range d.order {
				if w.Group == int(home) {
					gone = append(gone, WorkerInfo{ID: w.ID, State: Gone})
				}
			}
			return d, 1030 * ms, 1040 * ms, []Event{ListUpdate{Kind: ListDelta, Workers: gone}}
		}, true},
		{"queued beside an attempt that fails after the window", func(t *testing.T) (*Dispatcher, time.Duration,
			time.Duration, []Event) {
			d, home, sent := keyed(t, true)
			d.reassign(d.workers[home])
			if !d.requests[1].queued {
				t.Fatal("not queued for a second copy")
			}
			return d, sent + 2100*ms, sent + 2200*ms, []Event{AttemptEnded{Request: 1, Worker: home, Outcome: Reset}}
		}, true},
		{"too late for any answer", func(t *testing.T) (*Dispatcher, time.Duration, time.Duration, []Event) {
			d := start(t, base(), ready(1, 2)...)
			for _, w := range d.order {
				w.limit.tokens, w.limit.inUse, w.awaitingLoad = 1, 1, 9
			}
			d.queues.get(7).meanRunTime = 0.4
			d.Step(time.Second, []Event{arrival(1, 0, 7)})
			return d, 3580 * ms, 3600 * ms, nil
		}, false},
		{"past its aim, home barred for loads beyond its time", func(t *testing.T) (*Dispatcher, time.Duration,
			time.Duration, []Event) {
			d := start(t, base(), ready(1, 2)...)
			for _, w := range d.order {
				w.loadBackoff.until = 8 * time.Second
			}
			d.Step(time.Second, []Event{arrival(1, 0, 7)})
			return d, 1300 * ms, 1500 * ms, []Event{Timer{}}
		}, false},
		{"does not pass", func(t *testing.T) (*Dispatcher, time.Duration, time.Duration, []Event) {
			d := start(t, base(), ready(1, 2)...)
			d.admission.fraction = 0
			return d, time.Second, time.Second, []Event{arrival(1, 0, 7)}
		}, false},
	}
	for _, tt := range tests {
		d, before, at, events := tt.run(t)
		got := d.Step(before, nil)
		if n := len(pickOut[Fail](got)) + len(pickOut[Reject](got)); n > 0 {
			t.Errorf("%s: answered before: %v", tt.name, got)
		}
		got = d.Step(at, events)
		fails, refusals := len(pickOut[Fail](got)), len(pickOut[Reject](got))
		if tt.fail && (fails != 1 || refusals != 0) || !tt.fail && (fails != 0 || refusals != 1) {
			t.Errorf("%s: %d failures, %d refusals in that step", tt.name, fails, refusals)
		}
	}
}

// A mean run time longer than any patience must not shut a function out for good.
func TestLongRunTimeIsTriedAgain(t *testing.T) {
	d := start(t, base(), ready(1, 2)...)
	d.queues.get(7).meanRunTime = 60
	for i := 1; i <= 100; i++ {
		got := d.Step(time.Second+time.Duration(i)*10*ms, []Event{arrival(RequestID(i), 0, 7)})
		if n := len(pickOut[Send](got)); i == 1 && n > 0 {
			t.Error("the first is sent, want it refused: it cannot be answered in its time")
		} else if n > 0 {
			return
		}
	}
	t.Error("no send in 100 requests")
}

// A controller with hardly a call lets all pass again after a while, with no answer to tell it.
func TestShareIsForgotten(t *testing.T) {
	d := start(t, base(), ready(1, 2)...)
	d.admission.fraction = minAdmittedFraction
	d.Step(241*time.Second, nil)
	if d.admission.fraction != 1 {
		t.Errorf("share %v after 60 deadlines of quiet, want 1", d.admission.fraction)
	}
}

// A request that waits for a second copy is not given up while its first attempt is out.
func TestAwaitedIsNotGivenUp(t *testing.T) {
	s := base()
	s.Limits.HedgedRequests = true
	d := start(t, s, ready(1, 2)...)
	home := pickOut[Send](d.Step(time.Second, []Event{arrival(1, 0, 7)}))[0].Worker
	d.reassign(d.workers[home])
	for _, w := range d.order {
		w.loadBackoff.until = time.Hour
	}
	d.admission.fraction = 0
	for now := 1010 * ms; now < 3900*ms; now += 10 * ms {
		if got := d.Step(now, nil); len(pickOut[Reject](got))+len(pickOut[Fail](got)) > 0 {
			t.Fatalf("%v: %v, want the outcome awaited", now, got)
		}
	}
	if got := d.Step(4*time.Second, nil); len(pickOut[Reject](got)) != 1 {
		t.Errorf("at its end: %v, want a refusal", got)
	}
}
