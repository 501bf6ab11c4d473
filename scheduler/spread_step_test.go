package scheduler

import (
	"testing"
	"time"
)

// From buchung-main: with few controllers to a lane their own limits bound what meets at a home, and spreading a
// function on top scatters its copies.
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
			t.Errorf("%d controllers: the function spreads over %v workers", n, spread)
		}
	}
}

// From the full-size quiet days: a hot function's home is filled by many controllers, each with little outstanding,
// so that whole tokens limit none of them. Answers that met all lanes taken move a part of the requests to the next
// copy, and answers that did not bring them back.
func TestCrowdedHomeSharesItsRequests(t *testing.T) {
	s := testSettings()
	s.Controllers, s.Loading.ReportsSameFunction = 100, true
	d := start(t, s, ready(1, 2, 3, 4, 5, 6)...)
	now, id, home := time.Second, RequestID(1), WorkerID(0)
	run := func(calls, alike int) (away int) {
		for range calls {
			now += 200 * ms
			actions := d.Step(now, []Event{arrival(id, 0, 7)})
			for i := 0; i < 5 && len(actionsOf[Send](actions)) == 0; i++ {
				var held []Event
				for _, a := range actionsOf[LoadOrder](actions) {
					held = append(held, LoadOrderEnded{Worker: a.Worker, Function: a.Function, Outcome: OK, Copies: 1})
				}
				now += 100 * ms
				actions = d.Step(now, held)
			}
			sent := actionsOf[Send](actions)
			if len(sent) != 1 {
				t.Fatalf("request %d: %d sends, want 1", id, len(sent))
			}
			home = max(home, sent[0].Worker*WorkerID(1-min(1, int(home))))
			e := AttemptEnded{Request: id, Worker: sent[0].Worker, Outcome: OK, Took: 20 * ms, Complete: true,
				Note: FoundWarm}
			if id++; sent[0].Worker != home {
				away++
			} else if alike > 0 {
				e.SameFunction, e.Took = alike, 600*ms
			}
			now += 20 * ms
			d.Step(now, []Event{e})
		}
		return away
	}
	if away := run(20, 0); away != 0 {
		t.Errorf("%d of 20 calls left an empty home", away)
	}
	if away := run(40, 5); away < 15 {
		t.Errorf("%d of 40 calls left a crowded home, want most", away)
	}
	run(60, 0)
	if away := run(20, 0); away > 2 {
		t.Errorf("%d of 20 calls still away from a home with room", away)
	}
}
