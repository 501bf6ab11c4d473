package scheduler

import (
	"testing"
	"time"
)

// Found in the first full-size simulations: 100 controllers, each with little traffic, overloaded a
// warming worker by one request each. Together they must keep to the bound in every window, and
// still use the worker.
func TestControllersTogetherKeepTheBoundOfAWarmingWorker(t *testing.T) {
	const n, workers, run = 100, 10, 100 * ms
	s := testSettings()
	s.Controllers, s.Guarantees.CollapseFactor = n, 2
	s.Loading.IdleCopyTTL = time.Hour
	begin := time.Hour
	list := ready(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	ds, pending := make([]*Dispatcher, n), make([][]Event, n)
	for i := range ds {
		d, err := New(s, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		d.Step(begin-20*time.Second, []Event{ListUpdate{Kind: CachedList, Workers: list}})
		ds[i] = d
	}
	var sends []time.Duration // sends to the warming worker
	total, next := 0, RequestID(1)
	for now := begin - 10*time.Second; now < begin+10*time.Second; now += run {
		for i, d := range ds {
			events := pending[i]
			pending[i] = nil
			if now == begin {
				list[0].StartedAt = begin
				events = append(events, ListUpdate{Kind: ListDelta, Workers: list[:1]})
			}
			if (int(now/run)+i)%2 == 0 { // five calls per second at each controller
				events = append(events, Arrival{Request: next, Function: FunctionID(next%40 + 1),
					TimeLeft: 3 * time.Second, Lanes: 8})
				next++
			}
			for _, a := range d.Step(now, events) {
				switch a := a.(type) {
				case Send:
					if total++; a.Worker == 1 && now >= begin {
						sends = append(sends, now)
					}
					pending[i] = append(pending[i], AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK,
						Took: run, Complete: true, Note: FoundWarm})
				case LoadOrder:
					pending[i] = append(pending[i],
						LoadOrderEnded{Worker: a.Worker, Function: a.Function, Outcome: OK, Copies: 1})
				}
			}
		}
	}
	evenRate := float64(total) / 20 / workers // calls per second of each worker if spread evenly
	g, window := s.Guarantees, s.Guarantees.CollapseWindow
	for at := begin; at < begin+8*time.Second; at += run {
		sent := 0
		for _, sentAt := range sends {
			if sentAt >= at && sentAt < at+window {
				sent++
			}
		}
		mid := float64(at+window/2-begin) / float64(g.WarmupTime)
		limit := g.CollapseFactor * (g.WarmupFraction + (1-g.WarmupFraction)*mid) * evenRate * window.Seconds()
		if float64(sent) > limit {
			t.Errorf("%v after the start: %d requests sent in a window, want at most %.0f", at-begin, sent, limit)
		}
	}
	if len(sends) < 40 {
		t.Errorf("%d requests sent to the warming worker in 10 s, want at least 40", len(sends))
	}
}

// Issue 10: with many controllers, few of them have the budget to order a copy at a home that has
// just started. Requests that its slow start admits must be sent there all the same, even if each
// controller has only one request in several windows. Otherwise the workers that a release adds
// would be idle until they have warmed up.
func TestWarmingHomeIsUsedWithoutOrders(t *testing.T) {
	s := testSettings()
	s.Controllers = 50
	s.Loading.BudgetWindow = 5 * time.Second // no order is ever within the budget
	sent, total := 0, 0
	for seed := uint64(1); seed <= 60; seed++ {
		d, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		d.Step(time.Hour, []Event{ListUpdate{Kind: CachedList, Workers: ready(1, 2, 3, 4)}})
		home := walk(d, d.queues.getOrCreate(7))[0].ID
		begin := time.Hour + time.Second
		d.Step(begin, []Event{ListUpdate{Kind: ListDelta,
			Workers: []WorkerInfo{{ID: home, State: Ready, StartedAt: begin}}}})
		next := RequestID(seed * 1000)
		for now := begin + 6*time.Second; now < begin+15*time.Second; now += 4 * time.Second {
			next++
			d.slowStart.completedWork += 0.1 // seconds of work that the other workers completed
			for _, a := range actionsOf[Send](d.Step(now, []Event{arrival(next, 0, 7)})) {
				if total++; a.Worker == home {
					sent++
				}
				d.Step(now+50*ms, []Event{AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Took: 50 * ms,
					Complete: true}})
			}
		}
	}
	if sent < total/2 || sent == total { // two fifths if credit decayed in one window
		t.Errorf("%d of %d calls were sent to the warming home, want more than half and not all", sent, total)
	}
}
