package scheduler

import (
	"testing"
	"time"
)

// A request gets exactly one answer before its deadline, even when there is no worker.
func TestEveryRequestGetsOneAnswerInTime(t *testing.T) {
	for _, class := range []int{0, 1, 2} {
		d := start(t, testSettings())
		answers := 0
		for now := time.Second; now < 6*time.Second; now += 2 * ms {
			var events []Event
			if now == time.Second {
				events = []Event{arrival(1, class, 7)}
			}
			actions := d.Step(now, events)
			n := len(actionsOf[Reject](actions)) + len(actionsOf[Fail](actions))
			if n > 0 && now >= 4*time.Second {
				t.Errorf("class %d: answered at %v, after the client's deadline at 4s", class, now)
			}
			answers += n
		}
		if answers != 1 {
			t.Errorf("class %d: %d answers, want 1", class, answers)
		}
		if len(d.requests) != 0 || len(d.openRequests) != 0 {
			t.Errorf("class %d: the request is still open after its answer", class)
		}
	}
}

// A request that arrives at its deadline is rejected in that step.
func TestRequestWithoutTimeIsRejectedAtOnce(t *testing.T) {
	d := start(t, testSettings(), ready(1)...)
	a := arrival(1, 2, 7)
	a.TimeLeft = 0
	got := d.Step(time.Second, []Event{a})
	if len(actionsOf[Reject](got)) != 1 || len(actionsOf[Send](got)) != 0 {
		t.Errorf("got %v, want one Reject and no Send", got)
	}
}

// A request of a function that was never served is rejected one run time of its class before its
// deadline, not at the last moment. One with little time left is not rejected on arrival.
func TestUnservedRequestIsRejectedARunTimeBeforeItsDeadline(t *testing.T) {
	d := start(t, testSettings()) // no worker is known
	now := 2 * time.Second
	if actions := d.Step(now, []Event{arrival(1, 0, 7), Arrival{Request: 2, Function: 8, TimeLeft: 100 * ms,
		Lanes: 2}}); len(actionsOf[Reject](actions)) > 0 {
		t.Fatal("rejected on arrival")
	}
	run := seconds(initialRunTime * 0.5) // the objective is 0.5 s
	rejectedAfter := map[RequestID]time.Duration{}
	for end := now + 4*time.Second; now < end; now += 2 * ms {
		for _, r := range actionsOf[Reject](d.Step(now, nil)) {
			rejectedAfter[r.Request] = now - 2*time.Second
		}
	}
	if got, latest := rejectedAfter[1], 3*time.Second-run; got == 0 || got > latest || got < latest-10*ms {
		t.Errorf("rejected after %v of 3s, want a run time of %v before the deadline", got, run)
	}
	if got := rejectedAfter[2]; got < 60*ms || got > 75*ms {
		t.Errorf("rejected after %v of 100ms, want a quarter of it before the deadline", got)
	}
}

// A request that can no longer be served is answered in that step, well before its deadline.
func TestRequestThatCannotBeServedIsAnsweredAtOnce(t *testing.T) {
	// keyed starts a request with an idempotency key at a worker that then drains. The only other
	// worker of the group is ejected.
	keyed := func(t *testing.T, hedged bool) (d *Dispatcher, home WorkerID, sent time.Duration) {
		s := testSettings()
		s.Limits.HedgedRequests = hedged
		d = start(t, s, ready(1, 2, 3, 4)...)
		home = actionsOf[Send](d.Step(time.Second, []Event{arrival(1, 1, 7)}))[0].Worker
		for _, w := range d.listed {
			if w.ID != home {
				d.setEjected(w, true)
				w.Group, w.ejectedUntil = int(home), time.Hour
				break
			}
		}
		d.Step(1010*ms, []Event{ListUpdate{Kind: ListDelta,
			Workers: []WorkerInfo{{ID: home, State: Draining, Group: int(home)}}}})
		return d, home, time.Second
	}
	tests := []struct {
		name string
		run  func(t *testing.T) (d *Dispatcher, before, at time.Duration, events []Event)
		fail bool // want a Fail, else a Reject
	}{
		{"dedup window ends while the request is queued", func(t *testing.T) (*Dispatcher, time.Duration,
			time.Duration, []Event) {
			d, home, sent := keyed(t, false)
			d.Step(1020*ms, []Event{AttemptEnded{Request: 1, Worker: home, Outcome: Error}})
			return d, sent + 1990*ms, sent + 2*time.Second, nil
		}, true},
		{"group is removed from the endpoint list", func(t *testing.T) (*Dispatcher, time.Duration,
			time.Duration, []Event) {
			d, home, _ := keyed(t, false)
			d.Step(1020*ms, []Event{AttemptEnded{Request: 1, Worker: home, Outcome: Error}})
			var removed []WorkerInfo
			for _, w := range d.listed {
				if w.Group == int(home) {
					removed = append(removed, WorkerInfo{ID: w.ID, State: Removed})
				}
			}
			return d, 1030 * ms, 1040 * ms, []Event{ListUpdate{Kind: ListDelta, Workers: removed}}
		}, true},
		{"queued beside an attempt that fails after the dedup window", func(t *testing.T) (*Dispatcher, time.Duration,
			time.Duration, []Event) {
			d, home, sent := keyed(t, true)
			d.reassign(d.workers[home])
			if !d.requests[1].queued {
				t.Fatal("the request is not queued for a second attempt")
			}
			return d, sent + 2100*ms, sent + 2200*ms, []Event{AttemptEnded{Request: 1, Worker: home, Outcome: Reset}}
		}, true},
		{"too late for a run before the deadline", func(t *testing.T) (*Dispatcher, time.Duration,
			time.Duration, []Event) {
			d := start(t, testSettings(), ready(1, 2)...)
			for _, w := range d.listed {
				w.limit.tokens, w.limit.inUse, w.awaitingLoad = 1, 1, 9
			}
			d.queues.getOrCreate(7).meanRunTime = 0.4
			d.Step(time.Second, []Event{arrival(1, 0, 7)})
			return d, 3580 * ms, 3600 * ms, nil
		}, false},
		{"past its objective, with loads backed off until after its deadline", func(t *testing.T) (*Dispatcher,
			time.Duration, time.Duration, []Event) {
			d := start(t, testSettings(), ready(1, 2)...)
			for _, w := range d.listed {
				w.loadBackoff.until = 8 * time.Second
			}
			d.Step(time.Second, []Event{arrival(1, 0, 7)})
			return d, 1300 * ms, 1500 * ms, []Event{Timer{}}
		}, false},
		{"not admitted", func(t *testing.T) (*Dispatcher, time.Duration, time.Duration, []Event) {
			d := start(t, testSettings(), ready(1, 2)...)
			d.admission.fraction = 0
			return d, time.Second, time.Second, []Event{arrival(1, 0, 7)}
		}, false},
	}
	for _, tt := range tests {
		d, before, at, events := tt.run(t)
		got := d.Step(before, nil)
		if n := len(actionsOf[Fail](got)) + len(actionsOf[Reject](got)); n > 0 {
			t.Errorf("%s: answered too early: %v", tt.name, got)
		}
		got = d.Step(at, events)
		fails, rejects := len(actionsOf[Fail](got)), len(actionsOf[Reject](got))
		if tt.fail && (fails != 1 || rejects != 0) || !tt.fail && (fails != 0 || rejects != 1) {
			t.Errorf("%s: %d fails and %d rejects in that step", tt.name, fails, rejects)
		}
	}
}

// A mean run time that is longer than any deadline does not exclude a function for good: rejections
// on arrival lower it until a request is sent.
func TestTooLongMeanRunTimeIsCorrected(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2)...)
	d.queues.getOrCreate(7).meanRunTime = 60
	for i := 1; i <= 100; i++ {
		got := d.Step(time.Second+time.Duration(i)*10*ms, []Event{arrival(RequestID(i), 0, 7)})
		if n := len(actionsOf[Send](got)); i == 1 && n > 0 {
			t.Error("the first request is sent, want it rejected: it cannot meet its deadline")
		} else if n > 0 {
			return
		}
	}
	t.Error("none of 100 requests is sent")
}

// A request that is queued for a second attempt is not answered while its first one is outstanding.
func TestRequestThatMayYetBeServedWaits(t *testing.T) {
	s := testSettings()
	s.Limits.HedgedRequests = true
	d := start(t, s, ready(1, 2)...)
	home := actionsOf[Send](d.Step(time.Second, []Event{arrival(1, 0, 7)}))[0].Worker
	d.reassign(d.workers[home])
	for _, w := range d.listed {
		w.loadBackoff.until = time.Hour
	}
	d.admission.fraction = 0
	for now := 1010 * ms; now < 3900*ms; now += 10 * ms {
		if got := d.Step(now, nil); len(actionsOf[Reject](got))+len(actionsOf[Fail](got)) > 0 {
			t.Fatalf("at %v: %v, want the request to wait for the outcome", now, got)
		}
	}
	if got := d.Step(4*time.Second, nil); len(actionsOf[Reject](got)) != 1 {
		t.Errorf("at the deadline: %v, want a Reject", got)
	}
}
