package scheduler

import (
	"slices"
	"testing"
	"time"
)

func TestDesiredCopiesAreLoadedAndRenewedUntilTheirTime(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2, 3, 4)...)
	begin := d.Step(2*time.Second, []Event{DesiredCopies{Function: 7, Copies: 2, Until: 40 * time.Second}})
	holds := map[WorkerID]int{}
	var out []LoadOrder
	take := func(l []Action) {
		for _, h := range actionsOf[LoadOrder](l) {
			holds[h.Worker]++
			out = append(out, h)
		}
	}
	take(begin)
	most := time.Duration(0)
	for now := 2 * time.Second; now < 60*time.Second; now += 100 * ms {
		var in []Event
		for _, h := range out {
			in = append(in, LoadOrderEnded{Worker: h.Worker, Function: h.Function, Outcome: OK, Copies: 1})
			most = now
		}
		out = nil
		take(d.Step(now, in))
	}
	if len(holds) != 2 {
		t.Errorf("copies at %v: two workers are wanted", holds)
	}
	for w, n := range holds {
		if n < 5 || n > 10 { // 38 s, renewed every 4.8 s
			t.Errorf("%d orders at %d", n, w)
		}
	}
	if most > 41*time.Second {
		t.Errorf("an order at %v, after its time", most)
	}
}

func TestAdviceLeavesLoadBudgetToRequests(t *testing.T) {
	s := testSettings()
	setBudget(&s, 10*time.Second, 8, 0)
	d := start(t, s, ready(1, 2, 3, 4)...)
	var in []Event
	for f := range 100 {
		in = append(in, DesiredCopies{Function: FunctionID(f + 1), Copies: 4, Until: time.Hour})
	}
	n, first := 0, 0
	for now := 2 * time.Second; now < 12*time.Second; now += 100 * ms {
		l := actionsOf[LoadOrder](d.Step(now, in))
		if in = nil; n == 0 {
			first = len(l)
		}
		n += len(l)
		for _, h := range l {
			in = append(in, LoadOrderEnded{Worker: h.Worker, Function: h.Function, Outcome: OK, Copies: 1})
		}
	}
	if first != 4 || n != 4 {
		t.Errorf("%d orders at once, %d in a window of 8: four are for advice", first, n)
	}
	if !d.loadBudget.allows(d.now) {
		t.Error("calls have none left")
	}
}

func TestAdviceLoadsNothingAtADrainingWorker(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2)...)
	d.Step(2*time.Second, []Event{WorkerRank{Worker: 1, Rank: 1, Until: time.Hour},
		DesiredCopies{Function: 7, Copies: 2, Until: time.Hour}})
	drained := ready(1, 2)
	drained[0].State = Draining
	for now := 2 * time.Second; now < 30*time.Second; now += 100 * ms {
		for _, h := range actionsOf[LoadOrder](d.Step(now,
			[]Event{ListUpdate{Kind: FullList, Workers: drained},
				Arrival{Request: RequestID(now), Function: 7, TimeLeft: time.Second, Lanes: 2}})) {
			if h.Worker == 1 {
				t.Fatal("an order to a drained worker")
			}
		}
	}
}

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
		t.Error("advice that was withdrawn is found")
	}
	if l.expire(time.Minute - 1) {
		t.Error("advice expires before its time")
	}
	if !l.expire(time.Minute) || l.expire(time.Minute) {
		t.Error("want one entry to expire, once")
	}
	if rank, found := l.find(5); !found || rank.Rank != -1 || len(l.entries) != 1 {
		t.Errorf("%v is left, want the advice on worker 5", l.entries)
	}
}
