package scheduler

import (
	"testing"
	"time"
)

// With few controllers per lane, their concurrency limits bound the requests in flight at a home. A
// spread in addition would scatter the copies of the function.
func TestFewControllersDoNotSpreadAFunction(t *testing.T) {
	for _, n := range []int{3, 100} {
		s := testSettings()
		s.Controllers = n
		d := start(t, s, ready(1, 2, 3, 4)...)
		now := time.Second
		for id := RequestID(1); id <= 5; id++ {
			now += time.Second
			for _, a := range actionsOf[Send](d.Step(now, []Event{arrival(id, 0, 7)})) {
				d.Step(now, []Event{AttemptEnded{Request: id, Worker: a.Worker, Outcome: OK, Took: 800 * ms,
					Complete: true,
					Note:     FoundWarm, SameFunction: 9}})
			}
		}
		if spread := d.queues.byFunction[7].spread.workers; (spread > 1) != (n == 100) {
			t.Errorf("%d controllers: spread of %v workers", n, spread)
		}
	}
}

// Many controllers overload the home of a frequently called function, although each has too few
// requests outstanding for its concurrency limit to apply. Slow responses from workers without a
// free lane make a part of the requests start at further workers, and other responses bring them
// back.
func TestBusyHomeSharesItsRequests(t *testing.T) {
	s := testSettings()
	s.Controllers, s.Loading.ReportsSameFunction = 100, true
	d := start(t, s, ready(1, 2, 3, 4, 5, 6)...)
	now, id, home := time.Second, RequestID(1), WorkerID(0)
	run := func(calls, othersInFlight int) (away int) {
		for range calls {
			now += 200 * ms
			actions := d.Step(now, []Event{arrival(id, 0, 7)})
			for i := 0; i < 5 && len(actionsOf[Send](actions)) == 0; i++ {
				var loaded []Event
				for _, a := range actionsOf[LoadOrder](actions) {
					loaded = append(loaded, LoadOrderEnded{Worker: a.Worker, Function: a.Function, Outcome: OK,
						Copies: 1})
				}
				now += 100 * ms
				actions = d.Step(now, loaded)
			}
			sent := actionsOf[Send](actions)
			if len(sent) != 1 {
				t.Fatalf("request %d: %d sends, want 1", id, len(sent))
			}
			home = max(home, sent[0].Worker*WorkerID(1-min(1, int(home))))
			ended := AttemptEnded{Request: id, Worker: sent[0].Worker, Outcome: OK, Took: 20 * ms, Complete: true,
				Note: FoundWarm}
			if id++; sent[0].Worker != home {
				away++
			} else if othersInFlight > 0 {
				ended.SameFunction, ended.Took = othersInFlight, 600*ms
			}
			now += 20 * ms
			d.Step(now, []Event{ended})
		}
		return away
	}
	if away := run(20, 0); away != 0 {
		t.Errorf("%d of 20 requests were sent away from an idle home, want none", away)
	}
	if away := run(40, 5); away < 15 {
		t.Errorf("%d of 40 requests were sent away from a busy home, want at least 15", away)
	}
	run(60, 0)
	if away := run(20, 0); away > 2 {
		t.Errorf("%d of 20 requests were sent away from a home that is idle again, want at most 2", away)
	}
}
