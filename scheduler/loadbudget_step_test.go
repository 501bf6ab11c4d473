package scheduler

import (
	"testing"
	"time"
)

// A request that the controller had accepted before does not add to the load budget again.
func TestResubmittedRequestEarnsNoLoad(t *testing.T) {
	s := testSettings()
	setBudget(&s, 5*time.Second, 0, 1)
	for _, resubmitted := range []bool{false, true} {
		d := start(t, s, ready(1, 2)...)
		a := arrival(1, 0, 5)
		a.Resubmitted = resubmitted
		d.Step(time.Second, []Event{a})
		l := actionsOf[LoadOrder](d.Step(time.Second, []Event{StagedCopies{Function: 9, Copies: 1}}))
		if (len(l) == 1) == resubmitted {
			t.Errorf("resubmitted %v: %d orders", resubmitted, len(l))
		}
	}
}

// Two successive processes of one controller share one load budget, and the superseded one sends
// nothing to warming workers.
func TestTwoProcessesShareOneLoadBudget(t *testing.T) {
	s := testSettings()
	setBudget(&s, 10*time.Second, 8, 0)
	predecessor, successor := start(t, s, ready(1, 2, 3, 4)...), start(t, s, ready(1, 2, 3, 4)...)
	desired := func(n int) (in []Event) {
		for f := range n {
			in = append(in, DesiredCopies{Function: FunctionID(f + 1), Copies: 4, Until: time.Hour})
		}
		return in
	}
	first := len(actionsOf[LoadOrder](predecessor.Step(2*time.Second, desired(1))))
	predecessor.Step(3*time.Second, []Event{Superseded{On: true}})
	for f := range 10 { // copies that requests need, which the part for advice does not limit
		if predecessor.ensureCopy(predecessor.queues.getOrCreate(FunctionID(100+f)), predecessor.listed[0]) {
			t.Fatal("the superseded process orders a load")
		}
	}
	successor.Step(3*time.Second, []Event{predecessor.BudgetHandover()})
	n := 0
	for f := range 20 {
		for _, w := range successor.listed {
			if successor.ensureCopy(successor.queues.getOrCreate(FunctionID(200+f)), w) {
				n++
			}
		}
	}
	if first != 4 || n != 4 {
		t.Errorf("%d orders of the predecessor and %d of the successor, want 4 and 4 of the 8 allowed in a window",
			first, n)
	}
	if successor.Step(12*time.Second+1, nil); !successor.loadBudget.allows(successor.now) {
		t.Error("inherited orders do not expire")
	}
	predecessor.Step(4*time.Second, []Event{Superseded{}})
	if !predecessor.loadBudget.allows(predecessor.now) {
		t.Error("the predecessor has no budget after the takeover was called off")
	}
	w := predecessor.listed[0]
	w.warmingSince, w.StartedAt = 4*time.Second, 4*time.Second
	predecessor.Step(5*time.Second, []Event{Superseded{On: true}})
	w.credit = 100
	if predecessor.warmupFraction(w) < 1 && predecessor.admitWarming(w, 0.001) {
		t.Error("the superseded process sends to a warming worker")
	}
	if predecessor.warmupFraction(w) >= 1 {
		t.Error("the worker is not warming, so nothing was tested")
	}
}

// Every load order is within the load budget, counted independently from the times of orders and
// arrivals.
func TestOrdersKeepTheLoadBudget(t *testing.T) {
	s := testSettings()
	setBudget(&s, 5*time.Second, 2, 0.1)
	d := start(t, s, ready(1, 2, 3)...)
	var arrivals, orders []time.Duration
	for i := 0; i < 6000; i++ {
		now := time.Second + time.Duration(i)*10*ms
		var events []Event
		if i%37 == 0 {
			events = append(events, arrival(RequestID(i+1), 0, FunctionID(i%11)))
			arrivals = append(arrivals, now)
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
					for _, o := range arrivals {
						if o > now-5*time.Second {
							m++
						}
					}
					if float64(n) > 2+0.1*float64(m) {
						t.Fatalf("%v: %d orders in the window with %d arrivals, want at most 2 + 0.1 per arrival",
							now, n, m)
					}
				}
			}
		}
	}
	if len(orders) == 0 {
		t.Error("no load order was sent, so nothing was tested")
	}
}
