package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// loadTime is how long a load for the request is likely to take.
func (d *Dispatcher) loadTime(r *request) time.Duration {
	return cmp.Or(r.LoadTime, seconds(guessLoad*d.settings.Classes[r.Class].LatencyObjective.Seconds()))
}

// warm tells whether a copy is believed to stand: one was seen, not longer ago than an idle copy stays, and
// the worker has not started since.
func (d *Dispatcher) warm(placed *placement, w *worker) bool {
	return placed != nil && placed.lastSeenAt > 0 && placed.lastSeenAt >= w.warmingSince &&
		(placed.outstanding > 0 || d.now-placed.lastSeenAt < d.settings.Loading.IdleCopyTTL)
}

// prepare orders a copy where one is wanted soon, and tells whether one is coming.
func (d *Dispatcher) prepare(q *queue, w *worker) bool {
	placed := d.placement(q, w)
	return placed.pendingOrders > 0 || d.warm(placed, w) || d.now >= w.loadBackoffUntil &&
		d.hold(w, q.function, 1)
}

// stage orders the copies of a function that is about to be called, at the first workers of its ring, within
// the limit on orders. It is told again until they stand.
func (d *Dispatcher) stage(e StagedCopies) {
	q := d.queue(e.Function)
	for i := 0; e.Copies > 0 && i < len(d.order); i++ {
		if w := q.worker(i); d.ready(w) && d.prepare(q, w) {
			e.Copies--
		}
	}
}

// mayOrder keeps the load budget: an exact count of orders and requests within the window.
func (d *Dispatcher) mayOrder() bool {
	l := d.settings.Loading
	if !l.Orders || l.BudgetWindow == 0 || d.superseded {
		return l.Orders && !d.superseded
	}
	from := d.now - l.BudgetWindow
	d.arrivals.ForgetBefore(from + 1)
	d.orders.ForgetBefore(from)
	return float64(d.orders.Len()+1) <= l.BudgetFree+l.BudgetRatio*float64(d.arrivals.Len())
}

// hold orders copies; the caller has seen that the worker is ready.
func (d *Dispatcher) hold(w *worker, fn FunctionID, copies int) bool {
	if !d.mayOrder() {
		return false
	}
	if d.settings.Loading.BudgetWindow > 0 {
		d.orders.Add(d.now)
	}
	placed := d.placement(d.queue(fn), w)
	placed.pendingOrders++
	placed.loadStartedAt = d.now
	d.do(LoadOrder{Worker: w.ID, Function: fn, Copies: copies})
	return true
}

// loadOrderEnded notes what stands where. An order that failed says nothing of the worker's health but
// its silence.
func (d *Dispatcher) loadOrderEnded(e LoadOrderEnded) {
	w, q := d.workers[e.Worker], d.queues[e.Function]
	d.answered(w, e.Outcome)
	if w == nil || q == nil {
		return
	}
	placed := d.placement(q, w)
	placed.pendingOrders = max(0, placed.pendingOrders-1)
	switch {
	case e.Copies > 0:
		placed.lastSeenAt, placed.copies, w.loadRejections = d.now, e.Copies, 0
	case e.Outcome == AtCapacity || e.Outcome == Error:
		d.deny(w)
	case e.Outcome == OK && placed.outstanding == 0:
		placed.lastSeenAt = 0
	}
}

// deny keeps further loads from a worker that had no room for one, or failed at it, for a growing time: an
// order or a send that is turned away at once would otherwise be repeated at once.
func (d *Dispatcher) deny(w *worker) {
	span := guessLoad * d.settings.Classes[0].LatencyObjective.Seconds() * math.Pow(2,
		float64(w.loadRejections)-1)
	w.loadBackoffUntil = d.now + min(seconds(span), d.settings.Loading.IdleCopyTTL)
	w.loadRejections = min(w.loadRejections+1, 10)
}

// renew keeps the home instance of a function that is likely to be called again: in order of their numbers,
// as far as the budget goes.
func (d *Dispatcher) renew() {
	for e := d.dueRenewal(); e != nil; e = d.dueRenewal() {
		q := e.Value
		i := 0
		for i < len(d.order) && !d.ready(q.worker(i)) {
			i++
		}
		if i == len(d.order) || !d.hold(q.worker(i), q.function, 1) {
			return // there is none for any function, or no budget
		}
		q.lastRenewalAt = d.now
		d.touch(q)
	}
}

// renewAt is when an active, idle queue wants its copy renewed.
func (d *Dispatcher) renewAt(q *queue) time.Duration {
	after := time.Duration(renewAfter * float64(d.settings.Loading.IdleCopyTTL))
	return max(max(q.lastActiveAt, q.lastRenewalAt)+after, q.desiredUntil)
}

// loadDesiredCopies orders the copies that are advised: one order at a worker at a time, within its
// part of the budget,
// and none where copies are pushed out already. A copy that stands is renewed as one that calls keep.
func (d *Dispatcher) loadDesiredCopies() {
	d.desiredCopies = slices.DeleteFunc(d.desiredCopies,
		func(e DesiredCopies) bool { return e.Until <= d.now })
	after := time.Duration(renewAfter * float64(d.settings.Loading.IdleCopyTTL))
	for _, order := range []bool{false, true} {
		for _, e := range d.desiredCopies {
			q := d.queue(e.Function)
			q.desiredUntil = e.Until
			d.touch(q)
			for i := 0; e.Copies > 0 && i < len(d.order); i++ {
				w := q.worker(i)
				if !d.ready(w) {
					continue
				}
				placed := d.placement(q, w)
				switch {
				case placed.pendingOrders > 0:
					w.advisedLoadAt = max(d.now, 1)
				case d.warm(placed, w) && (placed.outstanding > 0 || d.now-max(placed.lastSeenAt,
					placed.loadStartedAt) < after):
				case d.now < w.loadBackoffUntil:
					continue // the next of the ring may have room
				case order && w.advisedLoadAt != max(d.now, 1) && d.mayWarm() && d.hold(w, q.function, 1):
					w.advisedLoadAt = max(d.now, 1)
				}
				e.Copies--
			}
		}
	}
}

// mayWarm tells whether advice may use more of the load budget.
func (d *Dispatcher) mayWarm() bool {
	l := d.settings.Loading
	most := wantPart * (l.BudgetFree + l.BudgetRatio*float64(d.arrivals.Len()))
	if d.evictedFraction >= wantCrowded || !d.mayOrder() { // which forgets the orders before the window
		return false
	}
	return l.BudgetWindow == 0 || float64(d.orders.Len()+1) <= most
}
