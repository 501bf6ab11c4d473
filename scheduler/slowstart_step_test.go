package scheduler

import (
	"testing"
	"time"
)

// From the first full-size days: 100 controllers, each with little traffic, push a warming worker over by one request
// each. All together they keep to the bound in every window, and still use the worker.
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
	var cold []time.Duration // sends to the warming worker
	answered, next := 0, RequestID(1)
	for now := begin - 10*time.Second; now < begin+10*time.Second; now += run {
		for i, d := range ds {
			events := pending[i]
			pending[i] = nil
			if now == begin {
				list[0].StartedAt = begin
				events = append(events, ListUpdate{Kind: ListDelta, Workers: list[:1]})
			}
			if (int(now/run)+i)%2 == 0 { // five calls a second at each controller
				events = append(events, Arrival{Request: next, Function: FunctionID(next%40 + 1),
					TimeLeft: 3 * time.Second, Lanes: 8})
				next++
			}
			for _, a := range d.Step(now, events) {
				switch a := a.(type) {
				case Send:
					if answered++; a.Worker == 1 && now >= begin {
						cold = append(cold, now)
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
	even := float64(answered) / 20 / workers // calls a second of one worker
	g, window := s.Guarantees, s.Guarantees.CollapseWindow
	for at := begin; at < begin+8*time.Second; at += run {
		sent := 0
		for _, c := range cold {
			if c >= at && c < at+window {
				sent++
			}
		}
		mid := float64(at+window/2-begin) / float64(g.WarmupTime)
		limit := g.CollapseFactor * (g.WarmupFraction + (1-g.WarmupFraction)*mid) * even * window.Seconds()
		if float64(sent) > limit {
			t.Errorf("%v after the start: %d sends in a window, the budget is %.0f", at-begin, sent, limit)
		}
	}
	if len(cold) < 40 {
		t.Errorf("%d sends to the warming worker in 10 s, want it used", len(cold))
	}
}

// From issue 10: with many controllers few may order the copy at a home that has just started. Requests that its slow
// start admits go there all the same, also where each controller has one in several windows; or workers that a
// release brings would be idle until they are warm.
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
			d.slowStart.answeredWork += 0.1 // seconds of work that the others answered
			for _, a := range actionsOf[Send](d.Step(now, []Event{arrival(next, 0, 7)})) {
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
