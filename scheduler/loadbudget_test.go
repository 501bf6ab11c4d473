package scheduler

import (
	"testing"
	"time"
)

func TestLoadBudgetCountsWithinItsWindow(t *testing.T) {
	b := newLoadBudget(Loading{Orders: true, BudgetWindow: 10 * time.Second, BudgetFree: 1, BudgetRatio: 0.5})
	now := time.Minute
	if !b.take(now) || b.take(now) {
		t.Fatal("one order is free, and no more")
	}
	b.recordArrival(now)
	if b.take(now) {
		t.Error("half of an order is taken for a whole")
	}
	b.recordArrival(now + time.Second)
	if !b.take(now + time.Second) {
		t.Error("two requests earn an order")
	}
	if b.take(now + 10*time.Second) {
		t.Error("an order does not count up to the end of its window, or a request longer")
	}
	if b.take(now+10*time.Second+1) || !b.take(now+11*time.Second+1) {
		t.Error("want the second order to count to the end of its own window, and no longer")
	}
}

func TestLoadBudgetWithoutAWindowHasNoLimit(t *testing.T) {
	b := newLoadBudget(Loading{Orders: true})
	for range 100 {
		b.recordArrival(time.Second)
		if !b.take(time.Second) || !b.allowsAdvice(time.Second) {
			t.Fatal("an order is not allowed")
		}
	}
	if h := b.handover(); len(h.Orders)+len(h.Arrivals) > 0 {
		t.Errorf("%d orders and %d arrivals are kept for no window", len(h.Orders), len(h.Arrivals))
	}
}

func TestLoadBudgetAllowsNothingWithoutOrdersOrToTheSuperseded(t *testing.T) {
	none := newLoadBudget(Loading{BudgetWindow: time.Second, BudgetFree: 9})
	superseded := newLoadBudget(Loading{Orders: true, BudgetWindow: time.Second, BudgetFree: 9})
	superseded.superseded = true
	for _, b := range []loadBudget{none, superseded} {
		if b.allows(time.Minute) || b.allowsAdvice(time.Minute) || b.take(time.Minute) {
			t.Errorf("an order is allowed: %+v", b)
		}
	}
}

func TestAdviceUsesHalfOfTheLoadBudget(t *testing.T) {
	b := newLoadBudget(Loading{Orders: true, BudgetWindow: 10 * time.Second, BudgetFree: 4})
	advised := 0
	for b.allowsAdvice(time.Minute) && b.take(time.Minute) {
		advised++
	}
	rest := 0
	for b.take(time.Minute) {
		rest++
	}
	if advised != 2 || rest != 2 {
		t.Errorf("%d orders on advice and %d more, want two and two", advised, rest)
	}
}

func TestLoadBudgetIsHandedOver(t *testing.T) {
	loading := Loading{Orders: true, BudgetWindow: 10 * time.Second, BudgetFree: 2, BudgetRatio: 1}
	old, next := newLoadBudget(loading), newLoadBudget(loading)
	old.recordArrival(time.Minute)
	old.take(time.Minute)
	old.take(time.Minute)
	next.inherit(old.handover())
	if !next.take(time.Minute+time.Second) || next.take(time.Minute+time.Second) {
		t.Error("want one order left of two free ones and one that was earned")
	}
}

func TestLoadBackoffDoublesUpToTheLongest(t *testing.T) {
	var b loadBackoff
	now := time.Minute
	for _, want := range []time.Duration{500 * ms, time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second} {
		b.onRejected(now, 1, 3*time.Second)
		if b.until != now+want || b.allows(now+want-1) || !b.allows(now+want) {
			t.Errorf("backoff to %v, want %v", b.until-now, want)
		}
	}
	b.onLoaded()
	if b.allows(now) {
		t.Error("a load ends the backoff that has begun")
	}
	b.onRejected(now, 1, 3*time.Second)
	if b.until != now+500*ms {
		t.Errorf("backoff to %v after a load, want to begin anew", b.until-now)
	}
}
