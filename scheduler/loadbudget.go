package scheduler

import (
	"math"
	"time"

	"kitehub/scheduler/index"
)

const (
	// adviceBudgetFraction is the part of the load budget that advice may use. The rest is kept for
	// loads that requests need.
	adviceBudgetFraction = 0.5
	// maxBackoffDoublings bounds the exponent of the backoff after loads that a worker rejected.
	maxBackoffDoublings = 10
)

// A loadBudget limits how many loads this controller orders. Workers load from a store that all
// share, so each controller keeps to a number of orders within a moving window: some that are
// always allowed, and more for each request that came within the same window. Both are counted
// exactly, by their times.
//
// A process that takes over a controller continues the budget of its predecessor, which orders
// nothing more.
type loadBudget struct {
	ordered    bool          // orders are allowed by the deployment at all
	window     time.Duration // 0: no limit
	free       float64       // orders within a window
	ratio      float64       // further orders for each request within a window
	arrivals   index.SortedTimes
	orders     index.SortedTimes
	superseded bool // another process has the budget
}

func newLoadBudget(loading Loading) loadBudget {
	return loadBudget{ordered: loading.Orders, window: loading.BudgetWindow, free: loading.BudgetFree,
		ratio: loading.BudgetRatio}
}

// recordArrival notes a request that earns a part of an order.
func (b *loadBudget) recordArrival(now time.Duration) {
	if b.window > 0 {
		b.arrivals.Add(now)
	}
}

// take uses up one order, if one is allowed, and tells whether it was.
func (b *loadBudget) take(now time.Duration) bool {
	if !b.allows(now) {
		return false
	}
	if b.window > 0 {
		b.orders.Add(now)
	}
	return true
}

// allows tells whether an order is allowed now. It forgets what has left the window. An order
// counts up to the end of its window and a request just short of it, so that the count errs on the
// strict side.
func (b *loadBudget) allows(now time.Duration) bool {
	if !b.ordered || b.superseded {
		return false
	}
	if b.window == 0 {
		return true
	}
	b.arrivals.ForgetBefore(now - b.window + 1)
	b.orders.ForgetBefore(now - b.window)
	return float64(b.orders.Len()+1) <= b.limit()
}

// allowsAdvice tells whether an order on advice alone is allowed now. Its part is taken of the
// limit as the last use of the budget left it.
func (b *loadBudget) allowsAdvice(now time.Duration) bool {
	most := adviceBudgetFraction * b.limit()
	if !b.allows(now) {
		return false
	}
	return b.window == 0 || float64(b.orders.Len()+1) <= most
}

// limit is how many orders the requests that are remembered allow within a window.
func (b *loadBudget) limit() float64 { return b.free + b.ratio*float64(b.arrivals.Len()) }

// handover returns what a process that takes over begins with.
func (b *loadBudget) handover() BudgetHandover {
	return BudgetHandover{Orders: b.orders.All(), Arrivals: b.arrivals.All()}
}

// inherit adds what a predecessor has earned and used.
func (b *loadBudget) inherit(handover BudgetHandover) {
	b.orders.Add(handover.Orders...)
	b.arrivals.Add(handover.Arrivals...)
}

// A loadBackoff keeps further loads from a worker that rejected one, or failed at it, for a time
// that doubles. Without it an order or a send that is rejected at once would be repeated at once.
type loadBackoff struct {
	until      time.Duration
	rejections int // in a row
}

// allows tells whether the worker may be asked for a load at a time.
func (b *loadBackoff) allows(at time.Duration) bool { return at >= b.until }

// onRejected begins a backoff: half of first, then first, then twice as long and so on, up to the
// longest.
func (b *loadBackoff) onRejected(now time.Duration, first float64, longest time.Duration) {
	span := first * math.Pow(2, float64(b.rejections)-1)
	b.until = now + min(seconds(span), longest)
	b.rejections = min(b.rejections+1, maxBackoffDoublings)
}

// onLoaded ends the row of rejections. A backoff that has begun still runs to its end.
func (b *loadBackoff) onLoaded() { b.rejections = 0 }
