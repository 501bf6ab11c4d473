package scheduler

import (
	"testing"
	"time"
)

// Holds stay within the load budget at each order.
func TestLoadBudget(t *testing.T) {
	s := base()
	s.Loading.BudgetWindow, s.Loading.BudgetFree, s.Loading.BudgetRatio = 5*time.Second, 2, 0.1
	d := start(t, s, ready(1, 2, 3)...)
	var taken, orders []time.Duration
	for i := 0; i < 6000; i++ {
		now := time.Second + time.Duration(i)*10*ms
		var events []Event
		if i%37 == 0 {
			events = append(events, arrival(RequestID(i+1), 0, FunctionID(i%11)))
			taken = append(taken, now)
		}
		for _, a := range d.Step(now, events) {
			switch a := a.(type) {
			case LoadOrder:
				if a.Copies > 0 {
					orders = append(orders, now)
					n, m := 0, 0
					for _, o := range orders {
						if o >= now-5*time.Second {
							n++
						}
					}
					for _, o := range taken {
						if o > now-5*time.Second {
							m++
						}
					}
					if float64(n) > 2+0.1*float64(m) {
						t.Fatalf("%v: order %d with %d requests taken", now, n, m)
					}
				}
			}
		}
	}
	if len(orders) == 0 {
		t.Error("no order at all: nothing was tested")
	}
}

// From incident i45c260: a hold that is turned away at once must not be repeated at once.
func TestDeniedHoldWaits(t *testing.T) {
	d := start(t, base(), ready(1, 2)...)
	var events []Event
	for i := 0; i < 8; i++ {
		events = append(events, arrival(RequestID(i+1), 0, 7))
	}
	holds := 0
	for now := time.Second; now < 2*time.Second; now += 10 * ms {
		actions := d.Step(now, events)
		events = nil
		for _, h := range pickOut[LoadOrder](actions) {
			if h.Copies > 0 {
				holds++
			}
			events = append(events, LoadOrderEnded{Worker: h.Worker, Function: h.Function, Outcome: AtCapacity})
		}
	}
	if holds > 4 {
		t.Errorf("%d holds in a second to workers without room, want 4 at most", holds)
	}
}

// From i45c260: where copies turn out pushed out, a further copy waits longer.
func TestSpillWaitsWhereMemoryIsShort(t *testing.T) {
	for _, note := range []LoadNote{FoundWarm, StartedLoad} {
		d := start(t, base(), ready(1, 2)...)
		now, id := time.Second, RequestID(0)
		for range 40 {
			id, now = id+1, now+100*ms
			for _, a := range pickOut[Send](d.Step(now, []Event{arrival(id, 0, 7)})) {
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
		orders := len(pickOut[LoadOrder](d.Step(now+150*ms, []Event{Timer{}}))) // a quarter of the aim is over
		if want := note == FoundWarm; (orders > 0) != want {
			t.Errorf("note %d: %d orders for a further copy, want some: %v", note, orders, want)
		}
	}
}

func TestEvictionsFollowAnswersOfLoadedCopies(t *testing.T) {
	var e evictions
	for range 500 {
		e.observe(true)
	}
	if e.fraction < 0.99 || e.fraction > 1 {
		t.Errorf("%v where every copy was evicted, want nearly 1", e.fraction)
	}
	for range 500 {
		e.observe(false)
	}
	if e.fraction > 0.01 {
		t.Errorf("%v where no copy was evicted, want nearly 0", e.fraction)
	}
}

func TestLoadIsUnderWayForTwoLoadTimesAtMost(t *testing.T) {
	for _, tt := range []struct {
		placed *placement
		want   bool
	}{
		{nil, false},
		{&placement{loadStartedAt: 9 * time.Second}, false},
		{&placement{leaders: 1, loadStartedAt: 9 * time.Second}, true},
		{&placement{pendingOrders: 1, loadStartedAt: 9 * time.Second}, true},
		{&placement{leaders: 1, loadStartedAt: 8 * time.Second}, false},
	} {
		if got := tt.placed.loading(10*time.Second, time.Second); got != tt.want {
			t.Errorf("%+v: under way %v, want %v", tt.placed, got, tt.want)
		}
	}
}
