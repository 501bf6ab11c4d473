package scheduler

import (
	"slices"
	"testing"
	"time"
)

// Desired copies are loaded at as many workers, and renewed until the advice expires.
func TestDesiredCopiesAreLoadedAndRenewedUntilTheirTime(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2, 3, 4)...)
	first := d.Step(2*time.Second, []Event{DesiredCopies{Function: 7, Copies: 2, Until: 40 * time.Second}})
	orders := map[WorkerID]int{}
	var outstanding []LoadOrder
	record := func(actions []Action) {
		for _, order := range actionsOf[LoadOrder](actions) {
			orders[order.Worker]++
			outstanding = append(outstanding, order)
		}
	}
	record(first)
	lastOrder := time.Duration(0)
	for now := 2 * time.Second; now < 60*time.Second; now += 100 * ms {
		var events []Event
		for _, order := range outstanding {
			events = append(events, LoadOrderEnded{Worker: order.Worker, Function: order.Function, Outcome: OK,
				Copies: 1})
			lastOrder = now
		}
		outstanding = nil
		record(d.Step(now, events))
	}
	if len(orders) != 2 {
		t.Errorf("load orders by worker %v, want two workers", orders)
	}
	for worker, n := range orders {
		if n < 5 || n > 10 { // 38 s, renewed every 4.8 s
			t.Errorf("%d load orders at worker %d, want 5 to 10", n, worker)
		}
	}
	if lastOrder > 41*time.Second {
		t.Errorf("a load order at %v, after the advice expired", lastOrder)
	}
}

// Advice may use at most half of the load budget. The rest is left to requests.
func TestAdviceLeavesLoadBudgetToRequests(t *testing.T) {
	s := testSettings()
	setBudget(&s, 10*time.Second, 8, 0)
	d := start(t, s, ready(1, 2, 3, 4)...)
	var events []Event
	for f := range 100 {
		events = append(events, DesiredCopies{Function: FunctionID(f + 1), Copies: 4, Until: time.Hour})
	}
	total, first := 0, 0
	for now := 2 * time.Second; now < 12*time.Second; now += 100 * ms {
		orders := actionsOf[LoadOrder](d.Step(now, events))
		if events = nil; total == 0 {
			first = len(orders)
		}
		total += len(orders)
		for _, order := range orders {
			events = append(events, LoadOrderEnded{Worker: order.Worker, Function: order.Function, Outcome: OK,
				Copies: 1})
		}
	}
	if first != 4 || total != 4 {
		t.Errorf("%d load orders at once and %d in the window, want 4 of the budget of 8", first, total)
	}
	if !d.loadBudget.allows(d.now) {
		t.Error("advice has used up the load budget of requests")
	}
}

// A draining worker gets no load orders, although advice prefers it and desires copies.
func TestAdviceLoadsNothingAtADrainingWorker(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2)...)
	d.Step(2*time.Second, []Event{WorkerRank{Worker: 1, Rank: 1, Until: time.Hour},
		DesiredCopies{Function: 7, Copies: 2, Until: time.Hour}})
	list := ready(1, 2)
	list[0].State = Draining
	for now := 2 * time.Second; now < 30*time.Second; now += 100 * ms {
		for _, order := range actionsOf[LoadOrder](d.Step(now,
			[]Event{ListUpdate{Kind: FullList, Workers: list},
				Arrival{Request: RequestID(now), Function: 7, TimeLeft: time.Second, Lanes: 2}})) {
			if order.Worker == 1 {
				t.Fatal("a load order to a draining worker")
			}
		}
	}
}

// Advice on a worker replaces earlier advice, and is removed when it is withdrawn or expires.
func TestAdviceIsReplacedWithdrawnAndExpires(t *testing.T) {
	l := newWorkerRanks()
	for _, rank := range []WorkerRank{{5, 1, time.Minute}, {2, 1, time.Minute}, {9, 1, time.Hour}, {5, -1, time.Hour}} {
		l.set(rank, true)
	}
	if want := []WorkerRank{{2, 1, time.Minute}, {5, -1, time.Hour}, {9, 1, time.Hour}}; !slices.Equal(l.entries,
		want) {
		t.Fatalf("%v, want %v", l.entries, want)
	}
	l.set(WorkerRank{Worker: 9}, false)
	l.set(WorkerRank{Worker: 7}, false)
	if _, found := l.find(9); found {
		t.Error("withdrawn advice is found")
	}
	if l.expire(time.Minute - 1) {
		t.Error("advice expired too early")
	}
	if !l.expire(time.Minute) || l.expire(time.Minute) {
		t.Error("want advice to expire exactly once")
	}
	if rank, found := l.find(5); !found || rank.Rank != -1 || len(l.entries) != 1 {
		t.Errorf("entries %v, want only the advice on worker 5", l.entries)
	}
}
