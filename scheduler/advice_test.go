package scheduler

import (
	"testing"
	"time"
)

func TestAdvisedCopiesStand(t *testing.T) {
	d := start(t, base(), ready(1, 2, 3, 4)...)
	begin := d.Step(2*time.Second, []Event{DesiredCopies{Function: 7, Copies: 2, Until: 40 * time.Second}})
	holds := map[WorkerID]int{}
	var out []LoadOrder
	take := func(l []Action) {
		for _, h := range pickOut[LoadOrder](l) {
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

func TestAdviceKeepsBudget(t *testing.T) {
	s := base()
	s.Loading.BudgetWindow, s.Loading.BudgetFree, s.Loading.BudgetRatio = 10*time.Second, 8, 0
	d := start(t, s, ready(1, 2, 3, 4)...)
	var in []Event
	for f := range 100 {
		in = append(in, DesiredCopies{Function: FunctionID(f + 1), Copies: 4, Until: time.Hour})
	}
	n, first := 0, 0
	for now := 2 * time.Second; now < 12*time.Second; now += 100 * ms {
		l := pickOut[LoadOrder](d.Step(now, in))
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

func TestAdviceNeverReachesDrained(t *testing.T) {
	d := start(t, base(), ready(1, 2)...)
	d.Step(2*time.Second, []Event{WorkerRank{Worker: 1, Rank: 1, Until: time.Hour}, DesiredCopies{Function: 7, Copies: 2, Until: time.Hour}})
	drained := ready(1, 2)
	drained[0].State = Draining
	for now := 2 * time.Second; now < 30*time.Second; now += 100 * ms {
		for _, h := range pickOut[LoadOrder](d.Step(now, []Event{ListUpdate{Kind: FullList, Workers: drained}, Arrival{Request: RequestID(now), Function: 7, TimeLeft: time.Second, Lanes: 2}})) {
			if h.Worker == 1 {
				t.Fatal("an order to a drained worker")
			}
		}
	}
}

func TestRegardedWorkers(t *testing.T) {
	d := start(t, base(), ready(1, 2, 3, 4)...)
	q := d.queues.get(7)
	home := walk(d, q)[0].ID
	d.Step(2*time.Second, []Event{WorkerRank{Worker: home, Rank: -1, Until: 5 * time.Second}})
	if l := walk(d, q); l[3].ID != home {
		t.Errorf("an avoided worker is not the last of the walk")
	}
	points := func(id WorkerID) int { return d.workers[id].member.Points() }
	before := points(home)
	d.Step(5*time.Second, []Event{WorkerRank{Worker: home, Rank: 1, Until: 8 * time.Second}})
	if walk(d, q)[0].ID != home || points(home) <= before {
		t.Error("a preferred worker has no longer arc")
	}
	d.Step(8*time.Second, nil)
	if points(home) != before || walk(d, q)[0].ID != home {
		t.Error("advice outlives its time")
	}
	for _, w := range []WorkerID{1, 2, 3, 4} { // of all alike: no worker is better than another
		d.Step(9*time.Second, []Event{WorkerRank{Worker: w, Rank: -1, Until: time.Hour}})
	}
	if walk(d, q)[0].ID != home || len(pickOut[Send](d.Step(10*time.Second, []Event{arrival(1, 0, 7)}))) != 1 {
		t.Error("a call is not sent where all workers are to be avoided")
	}
}

func TestUnwantedAndWeight(t *testing.T) {
	d := start(t, base(), ready(1, 2)...)
	a := arrival(1, 0, 7)
	a.ShedAdvised = true
	l := d.Step(2*time.Second, []Event{a, arrival(2, 0, 7)})
	if r, s := pickOut[Reject](l), pickOut[Send](l); len(r) != 1 || r[0].Request != 1 || len(s) != 1 || s[0].Request != 2 {
		t.Errorf("%v", l)
	}
	d.admission.fraction = 0.25
	pass := [3]int{}
	for i := range 4000 {
		for k, w := range []float64{0.5, 0, 2} {
			if d.admits(&request{Arrival: Arrival{Request: RequestID(i), Weight: w}}) {
				pass[k]++
			}
		}
	}
	if pass[0] > 350 || pass[1] < 900 || pass[1] > 1100 || pass[2] < 1850 || pass[2] > 2150 {
		t.Errorf("%v of 4000 pass: 1/16, 1/4 and 1/2 are wanted", pass)
	}
}

// Two processes of one controller, one after the other, keep one load budget; the one that retires sends nothing to the cold.
func TestInheritedBudget(t *testing.T) {
	s := base()
	s.Loading.BudgetWindow, s.Loading.BudgetFree, s.Loading.BudgetRatio = 10*time.Second, 8, 0
	old, next := start(t, s, ready(1, 2, 3, 4)...), start(t, s, ready(1, 2, 3, 4)...)
	want := func(n int) (in []Event) {
		for f := range n {
			in = append(in, DesiredCopies{Function: FunctionID(f + 1), Copies: 4, Until: time.Hour})
		}
		return in
	}
	first := len(pickOut[LoadOrder](old.Step(2*time.Second, want(1))))
	old.Step(3*time.Second, []Event{Superseded{On: true}})
	for f := range 10 { // prepared for calls beyond home, which advice does not limit
		if old.ensureCopy(old.queues.get(FunctionID(100+f)), old.order[0]) {
			t.Fatal("a retired one orders a load")
		}
	}
	next.Step(3*time.Second, []Event{old.BudgetHandover()})
	n := 0
	for f := range 20 {
		for _, w := range next.order {
			if next.ensureCopy(next.queues.get(FunctionID(200+f)), w) {
				n++
			}
		}
	}
	if first != 4 || n != 4 {
		t.Errorf("%d orders of the old one, %d of the new one: 8 in a window are allowed", first, n)
	}
	if next.Step(12*time.Second+1, nil); !next.loadBudget.allows(next.now) {
		t.Error("what was inherited does not expire")
	}
	old.Step(4*time.Second, []Event{Superseded{}})
	if !old.loadBudget.allows(old.now) {
		t.Error("one that goes on has no budget")
	}
	w := old.order[0]
	w.warmingSince, w.StartedAt = 4*time.Second, 4*time.Second
	old.Step(5*time.Second, []Event{Superseded{On: true}})
	w.credit = 100
	if old.warmupFraction(w) < 1 && old.admitWarming(w, 0.001) {
		t.Error("a retired one sends to a cold worker")
	}
	if old.warmupFraction(w) >= 1 {
		t.Error("the worker is not cold: nothing is shown")
	}
}
