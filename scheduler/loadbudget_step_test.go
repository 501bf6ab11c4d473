package scheduler

import (
	"testing"
	"time"
)

// A request that the controller has accepted before earns no load budget again.
func TestResubmittedRequestEarnsNoLoad(t *testing.T) {
	s := testSettings()
	setBudget(&s, 5*time.Second, 0, 1)
	for _, again := range []bool{false, true} {
		d := start(t, s, ready(1, 2)...)
		a := arrival(1, 0, 5)
		a.Resubmitted = again
		d.Step(time.Second, []Event{a})
		l := actionsOf[LoadOrder](d.Step(time.Second, []Event{StagedCopies{Function: 9, Copies: 1}}))
		if (len(l) == 1) == again {
			t.Errorf("again %v: %d orders", again, len(l))
		}
	}
}

// Two processes of one controller, one after the other, keep one load budget, and the one that is superseded sends
// nothing to warming workers.
func TestTwoProcessesShareOneLoadBudget(t *testing.T) {
	s := testSettings()
	setBudget(&s, 10*time.Second, 8, 0)
	old, next := start(t, s, ready(1, 2, 3, 4)...), start(t, s, ready(1, 2, 3, 4)...)
	want := func(n int) (in []Event) {
		for f := range n {
			in = append(in, DesiredCopies{Function: FunctionID(f + 1), Copies: 4, Until: time.Hour})
		}
		return in
	}
	first := len(actionsOf[LoadOrder](old.Step(2*time.Second, want(1))))
	old.Step(3*time.Second, []Event{Superseded{On: true}})
	for f := range 10 { // prepared for calls beyond home, which advice does not limit
		if old.ensureCopy(old.queues.getOrCreate(FunctionID(100+f)), old.listed[0]) {
			t.Fatal("a retired one orders a load")
		}
	}
	next.Step(3*time.Second, []Event{old.BudgetHandover()})
	n := 0
	for f := range 20 {
		for _, w := range next.listed {
			if next.ensureCopy(next.queues.getOrCreate(FunctionID(200+f)), w) {
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
	w := old.listed[0]
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

// Each order is within the load budget.
func TestOrdersKeepTheLoadBudget(t *testing.T) {
	s := testSettings()
	setBudget(&s, 5*time.Second, 2, 0.1)
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
