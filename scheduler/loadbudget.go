package scheduler

import (
	"math"
	"time"

	"kitehub/scheduler/index"
)

const (
	// adviceBudgetFraction is the fraction of the load budget that advice may use. The rest is
	// reserved for loads that requests need.
	adviceBudgetFraction = 0.5
	// maxBackoffDoublings bounds the exponent of the backoff after loads that a worker rejected.
	maxBackoffDoublings = 10
)

// A loadBudget limits how many loads this controller orders. Workers load from a store that all of
// them share, so each controller keeps to a number of orders within a sliding window: some that are
// always allowed, and more for each request that arrived within the same window. Both are counted
// exactly, by their times.
//
// A process that takes over a controller continues the budget of its predecessor, which orders
// nothing more.
type loadBudget struct {
	enabled    bool          // the deployment permits load orders
	window     time.Duration // 0: no limit
	free       float64       // orders that are always allowed within a window
	ratio      float64       // further orders for each request within a window
	arrivals   index.SortedTimes
	orders     index.SortedTimes
	superseded bool // another process has taken over the budget
}

func newLoadBudget(loading Loading) loadBudget {
	return loadBudget{enabled: loading.Orders, window: loading.BudgetWindow, free: loading.BudgetFree,
		ratio: loading.BudgetRatio}
}

// recordArrival counts a request, which earns a fraction of an order.
func (b *loadBudget) recordArrival(now time.Duration) {
	if b.window > 0 {
		b.arrivals.Add(now)
	}
}

// takeOrder uses up one order if one is allowed, and reports whether it did.
func (b *loadBudget) takeOrder(now time.Duration) bool {
	if !b.allows(now) {
		return false
	}
	if b.window > 0 {
		b.orders.Add(now)
	}
	return true
}

// allows reports whether an order is allowed now. It drops what has left the window. An order
// counts up to the end of its window and a request until just before it, so that the count errs on
// the strict side.
func (b *loadBudget) allows(now time.Duration) bool {
	if !b.enabled || b.superseded {
		return false
	}
	if b.window == 0 {
		return true
	}
	b.arrivals.ForgetBefore(now - b.window + 1)
	b.orders.ForgetBefore(now - b.window)
	return float64(b.orders.Len()+1) <= b.limit()
}

// allowsAdvice reports whether an order on advice alone is allowed now. Its fraction applies to the
// limit as the last use of the budget left it, before expired requests are dropped.
func (b *loadBudget) allowsAdvice(now time.Duration) bool {
	adviceLimit := adviceBudgetFraction * b.limit()
	if !b.allows(now) {
		return false
	}
	return b.window == 0 || float64(b.orders.Len()+1) <= adviceLimit
}

// limit returns how many orders are allowed within a window, given the requests counted in it.
func (b *loadBudget) limit() float64 { return b.free + float64(b.ratio*float64(b.arrivals.Len())) }

// handover returns what a process that takes over begins with.
func (b *loadBudget) handover() BudgetHandover {
	return BudgetHandover{Orders: b.orders.All(), Arrivals: b.arrivals.All()}
}

// inherit adds what a predecessor has earned and used.
func (b *loadBudget) inherit(handover BudgetHandover) {
	b.orders.Add(handover.Orders...)
	b.arrivals.Add(handover.Arrivals...)
}

// A loadBackoff keeps further loads from a worker that rejected or failed one, for a time that
// doubles. Without it, an order or a request that is rejected at once would be repeated at once.
type loadBackoff struct {
	until      time.Duration
	rejections int // in a row
}

// allows reports whether the worker may be asked for a load at the given time.
func (b *loadBackoff) allows(at time.Duration) bool { return at >= b.until }

// onRejected begins a backoff. The first lasts half of base, in seconds, and each further one twice
// as long as the one before, up to a maximum.
func (b *loadBackoff) onRejected(now time.Duration, base float64, maximum time.Duration) {
	span := base * math.Pow(2, float64(b.rejections)-1)
	b.until = now + min(seconds(span), maximum)
	b.rejections = min(b.rejections+1, maxBackoffDoublings)
}

// onLoaded resets the doubling. A backoff that has begun still runs to its end.
func (b *loadBackoff) onLoaded() { b.rejections = 0 }
