package scheduler

import (
	"testing"
	"time"
)

// The idle copy at a function's home is renewed by an order of one copy, once, while its queue is
// active.
func TestIdleCopyAtHomeIsRenewedOnce(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2)...)
	home := actionsOf[Send](d.Step(time.Second, []Event{arrival(1, 0, 7)}))[0].Worker
	d.Step(1100*ms, []Event{AttemptEnded{Request: 1, Worker: home, Outcome: OK, Complete: true, Note: FoundWarm}})
	orders := 0
	for now := 1200 * ms; now < 8*time.Second; now += 20 * ms {
		for _, h := range actionsOf[LoadOrder](d.Step(now, nil)) {
			if h != (LoadOrder{Worker: home, Function: 7, Copies: 1}) || now < 1100*ms+4800*ms {
				t.Errorf("%v: order %+v, want one copy at the home, and none before 5.9s", now, h)
			}
			orders++
		}
	}
	if orders != 1 {
		t.Errorf("%d load orders, want 1", orders)
	}
}

// Staged copies are ordered within the budget, at ready workers only, and not again while they are
// being loaded or are loaded.
func TestStagedCopiesAreOrderedOnceWithinTheBudget(t *testing.T) {
	s := testSettings()
	setBudget(&s, 5*time.Second, 3, 0)
	d := start(t, s, ready(1, 2, 3, 4)...)
	l := ready(1)
	l[0].State = Draining
	d.Step(time.Second, []Event{ListUpdate{Kind: ListDelta, Workers: l}})
	first := actionsOf[LoadOrder](d.Step(time.Second, []Event{StagedCopies{Function: 7, Copies: 2}}))
	if len(first) != 2 || first[0].Worker == 1 || first[1].Worker == 1 || first[0].Worker == first[1].Worker ||
		first[0].Function != 7 {
		t.Fatalf("%+v, want two orders at two ready workers", first)
	}
	if l := actionsOf[LoadOrder](d.Step(time.Second, []Event{StagedCopies{Function: 7, Copies: 2}})); len(l) != 0 {
		t.Errorf("ordered again while they are being loaded: %+v", l)
	}
	var ended []Event
	for _, h := range first {
		ended = append(ended, LoadOrderEnded{Worker: h.Worker, Function: 7, Outcome: OK, Copies: 1})
	}
	if l := actionsOf[LoadOrder](d.Step(2*time.Second,
		append(ended, StagedCopies{Function: 7, Copies: 2}))); len(l) != 0 {
		t.Errorf("ordered again while they are loaded: %+v", l)
	}
	if l := actionsOf[LoadOrder](d.Step(2*time.Second, []Event{StagedCopies{Function: 8, Copies: 3}})); len(l) != 1 {
		t.Errorf("%d orders, want the one that the budget leaves", len(l))
	}
}

// Incident i45c260: an order that is rejected at once must not be repeated at once.
func TestRejectedLoadOrderBacksOff(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2)...)
	var events []Event
	for i := 0; i < 8; i++ {
		events = append(events, arrival(RequestID(i+1), 0, 7))
	}
	orders := 0
	for now := time.Second; now < 2*time.Second; now += 10 * ms {
		actions := d.Step(now, events)
		events = nil
		for _, h := range actionsOf[LoadOrder](actions) {
			if h.Copies > 0 {
				orders++
			}
			events = append(events, LoadOrderEnded{Worker: h.Worker, Function: h.Function, Outcome: AtCapacity})
		}
	}
	if orders > 4 {
		t.Errorf("%d orders in a second to workers without capacity, want at most 4", orders)
	}
}

func TestEvictedFractionFollowsResponses(t *testing.T) {
	var e evictions
	for range 500 {
		e.observe(true)
	}
	if e.fraction < 0.99 || e.fraction > 1 {
		t.Errorf("evicted fraction %v where every copy was evicted, want nearly 1", e.fraction)
	}
	for range 500 {
		e.observe(false)
	}
	if e.fraction > 0.01 {
		t.Errorf("evicted fraction %v where no copy was evicted, want nearly 0", e.fraction)
	}
}

func TestLoadIsUnderWayForAtMostTwoLoadTimes(t *testing.T) {
	for _, tt := range []struct {
		placed *placement
		want   bool
	}{
		{nil, false},
		{&placement{loadStartedAt: 9 * time.Second}, false},
		{&placement{awaitingLoad: 1, loadStartedAt: 9 * time.Second}, true},
		{&placement{pendingOrders: 1, loadStartedAt: 9 * time.Second}, true},
		{&placement{awaitingLoad: 1, loadStartedAt: 8 * time.Second}, false},
	} {
		if got := tt.placed.loading(10*time.Second, time.Second); got != tt.want {
			t.Errorf("%+v: loading %v, want %v", tt.placed, got, tt.want)
		}
	}
}
