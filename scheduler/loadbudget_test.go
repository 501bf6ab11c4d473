package scheduler

import (
	"testing"
	"time"
)

func TestLoadBudgetCountsWithinItsWindow(t *testing.T) {
	b := newLoadBudget(Loading{Orders: true, BudgetWindow: 10 * time.Second, BudgetFree: 1, BudgetRatio: 0.5})
	now := time.Minute
	if !b.takeOrder(now) || b.takeOrder(now) {
		t.Fatal("want one order that is always allowed, and no more")
	}
	b.recordArrival(now)
	if b.takeOrder(now) {
		t.Error("an order is allowed for one request, which earns half of one")
	}
	b.recordArrival(now + time.Second)
	if !b.takeOrder(now + time.Second) {
		t.Error("no order is allowed for two requests, which earn one")
	}
	if b.takeOrder(now + 10*time.Second) {
		t.Error("an order is allowed at the end of a window, where the order in it counts and the request does not")
	}
	if b.takeOrder(now+10*time.Second+1) || !b.takeOrder(now+11*time.Second+1) {
		t.Error("want the second order to count until the end of its own window, and no longer")
	}
}

func TestLoadBudgetWithoutAWindowHasNoLimit(t *testing.T) {
	b := newLoadBudget(Loading{Orders: true})
	for range 100 {
		b.recordArrival(time.Second)
		if !b.takeOrder(time.Second) || !b.allowsAdvice(time.Second) {
			t.Fatal("an order is not allowed")
		}
	}
	if h := b.handover(); len(h.Orders)+len(h.Arrivals) > 0 {
		t.Errorf("%d orders and %d arrivals are kept without a window", len(h.Orders), len(h.Arrivals))
	}
}

func TestLoadBudgetAllowsNothingIfDisabledOrSuperseded(t *testing.T) {
	disabled := newLoadBudget(Loading{BudgetWindow: time.Second, BudgetFree: 9})
	superseded := newLoadBudget(Loading{Orders: true, BudgetWindow: time.Second, BudgetFree: 9})
	superseded.superseded = true
	for _, b := range []loadBudget{disabled, superseded} {
		if b.allows(time.Minute) || b.allowsAdvice(time.Minute) || b.takeOrder(time.Minute) {
			t.Errorf("an order is allowed: %+v", b)
		}
	}
}

func TestAdviceUsesAtMostHalfOfTheLoadBudget(t *testing.T) {
	b := newLoadBudget(Loading{Orders: true, BudgetWindow: 10 * time.Second, BudgetFree: 4})
	advised := 0
	for b.allowsAdvice(time.Minute) && b.takeOrder(time.Minute) {
		advised++
	}
	rest := 0
	for b.takeOrder(time.Minute) {
		rest++
	}
	if advised != 2 || rest != 2 {
		t.Errorf("%d orders on advice and %d others, want two and two", advised, rest)
	}
}

func TestLoadBudgetIsHandedOver(t *testing.T) {
	loading := Loading{Orders: true, BudgetWindow: 10 * time.Second, BudgetFree: 2, BudgetRatio: 1}
	predecessor, successor := newLoadBudget(loading), newLoadBudget(loading)
	predecessor.recordArrival(time.Minute)
	predecessor.takeOrder(time.Minute)
	predecessor.takeOrder(time.Minute)
	successor.inherit(predecessor.handover())
	if !successor.takeOrder(time.Minute+time.Second) || successor.takeOrder(time.Minute+time.Second) {
		t.Error("want one more order after two: two are always allowed and one was earned")
	}
}

func TestLoadBackoffDoublesUpToItsMaximum(t *testing.T) {
	var b loadBackoff
	now := time.Minute
	for _, want := range []time.Duration{500 * ms, time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second} {
		b.onRejected(now, 1, 3*time.Second)
		if b.until != now+want || b.allows(now+want-1) || !b.allows(now+want) {
			t.Errorf("backoff of %v, want %v", b.until-now, want)
		}
	}
	b.onLoaded()
	if b.allows(now) {
		t.Error("a successful load ends the backoff that has begun")
	}
	b.onRejected(now, 1, 3*time.Second)
	if b.until != now+500*ms {
		t.Errorf("backoff of %v after a successful load, want 500ms", b.until-now)
	}
}
