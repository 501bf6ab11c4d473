package scheduler

import (
	"cmp"
	"time"
)

const (
	// renewalTTLFraction is the fraction of an idle copy's time to live after which an order of one
	// copy renews it: 5 s of 8.4 s, which leaves time for an order that is late.
	renewalTTLFraction = 0.6
	// defaultLoadObjectives is the assumed load time of a function that states none, in latency
	// objectives.
	defaultLoadObjectives = 1.5
	// maxLoadTimes is how long other requests wait for the request or order that began a load, in
	// load times.
	maxLoadTimes = 2
	// evictionWeight is the weight of one response in the evicted fraction.
	evictionWeight = 0.02
	// maxAdviceEvictions is the evicted fraction from which no copy is loaded on advice alone.
	maxAdviceEvictions = 0.1
)

// A placement is what is known of a function at one worker. Workers do not report their copies. A
// copy is inferred from responses, which prove that it is loaded, and from the time that an idle
// copy stays loaded.
type placement struct {
	lastSeenAt    time.Duration // when a copy was last known to be loaded; 0: never
	outstanding   int           // attempts without an outcome
	awaitingLoad  int           // of them, those that may wait for a load
	copies        int           // loaded copies, as the last order reported; 0: not known
	pendingOrders int           // load orders without an outcome
	loadStartedAt time.Duration // when the last such attempt or order was sent
}

// loading reports whether a load is under way: an attempt or an order waits for one, and
// maxLoadTimes load times have not passed since it was sent.
func (p *placement) loading(now, loadTime time.Duration) bool {
	waiting := p != nil && (p.awaitingLoad > 0 || p.pendingOrders > 0)
	return waiting && now < p.loadStartedAt+loadTime*maxLoadTimes
}

// evictions estimates how short of memory the workers are.
type evictions struct {
	fraction float64 // of the copies believed to be loaded, those that turned out to be evicted
}

// observe takes in a response from a worker at which a copy was believed to be loaded.
func (e *evictions) observe(evicted bool) {
	e.fraction = float64(e.fraction * (1 - evictionWeight))
	if evicted {
		e.fraction += evictionWeight
	}
}

// loadTime returns how long a load for the request is expected to take.
func (d *Dispatcher) loadTime(r *request) time.Duration {
	return cmp.Or(r.LoadTime, seconds(defaultLoadObjectives*d.class(r).LatencyObjective.Seconds()))
}

// hasCopy reports whether a copy is believed to be loaded: one was seen since the worker started,
// and is either in use or has been idle for less than its time to live.
func (d *Dispatcher) hasCopy(placed *placement, w *worker) bool {
	return placed != nil && placed.lastSeenAt > 0 && placed.lastSeenAt >= w.warmingSince &&
		(placed.outstanding > 0 || d.now-placed.lastSeenAt < d.settings.Loading.IdleCopyTTL)
}

// ensureCopy orders a copy where one will be needed soon, and reports whether one is loaded or
// ordered.
func (d *Dispatcher) ensureCopy(queue *queue, worker *worker) bool {
	placed := queue.placement(worker)
	return placed.pendingOrders > 0 || d.hasCopy(placed, worker) ||
		worker.loadBackoff.allows(d.now) && d.orderLoad(worker, queue.function)
}

// orderLoad orders one copy if the budget allows it, and reports whether it did. The caller has
// checked that the worker is ready.
func (d *Dispatcher) orderLoad(worker *worker, function FunctionID) bool {
	if !d.loadBudget.takeOrder(d.now) {
		return false
	}
	placed := d.queues.getOrCreate(function).placement(worker)
	placed.pendingOrders++
	placed.loadStartedAt = d.now
	d.emit(LoadOrder{Worker: worker.ID, Function: function, Copies: 1})
	return true
}

// loadOrderEnded records which copies are loaded. An order that failed does not count against the
// worker's health, unless the worker did not respond.
func (d *Dispatcher) loadOrderEnded(ended LoadOrderEnded) {
	worker, queue := d.workers[ended.Worker], d.queues.byFunction[ended.Function]
	d.workerResponded(worker, ended.Outcome)
	if worker == nil || queue == nil {
		return
	}
	placed := queue.placement(worker)
	placed.pendingOrders = max(0, placed.pendingOrders-1)
	switch {
	case ended.Copies > 0:
		d.queues.copySeen(queue, placed, d.now)
		placed.copies = ended.Copies
		worker.loadBackoff.onLoaded()
	case ended.Outcome == AtCapacity || ended.Outcome == Error:
		d.loadRejected(worker)
	case ended.Outcome == OK && placed.outstanding == 0:
		placed.lastSeenAt = 0
	}
}

// loadRejected begins a backoff at a worker that had no capacity for a copy, or failed to load it.
func (d *Dispatcher) loadRejected(w *worker) {
	base := defaultLoadObjectives * d.settings.Classes[0].LatencyObjective.Seconds()
	w.loadBackoff.onRejected(d.now, base, d.settings.Loading.IdleCopyTTL)
}

// stageCopies orders copies of a function that is about to be called, at the first ready workers of
// its walk.
func (d *Dispatcher) stageCopies(staged StagedCopies) {
	queue := d.queues.getOrCreate(staged.Function)
	missing := staged.Copies
	for i := 0; missing > 0 && i < len(d.listed); i++ {
		if w := queue.worker(i); d.ready(w) && d.ensureCopy(queue, w) {
			missing--
		}
	}
}

// renewCopies renews the home copies of functions that are likely to be called again, in the order
// of the function IDs, as far as the budget allows.
func (d *Dispatcher) renewCopies() {
	for queue := d.queues.nextRenewal(d.now); queue != nil; queue = d.queues.nextRenewal(d.now) {
		i := 0
		for i < len(d.listed) && !d.ready(queue.worker(i)) {
			i++
		}
		if i == len(d.listed) || !d.orderLoad(queue.worker(i), queue.function) {
			return // no worker is ready, or the budget is used up: neither depends on the function
		}
		queue.lastRenewalAt = d.now
		d.queues.markDirty(queue)
	}
}

// renewalInterval returns how long a copy may be idle before it is renewed.
func renewalInterval(idleCopyTTL time.Duration) time.Duration {
	return time.Duration(renewalTTLFraction * float64(idleCopyTTL))
}

// loadDesiredCopies orders the copies that are advised: one order per worker at a time, within the
// fraction of the budget that advice may use, and none while too many copies are being evicted. A
// loaded copy is renewed like one that requests use. Of the two passes, the first only records
// which workers have a pending order, for whatever function.
func (d *Dispatcher) loadDesiredCopies() {
	d.desiredCopies.expire(d.now)
	for _, mayOrder := range []bool{false, true} {
		for _, desired := range d.desiredCopies.entries {
			d.loadDesired(desired, mayOrder)
		}
	}
}

// loadDesired follows the walk of one function until it has found as many workers as copies are
// desired.
func (d *Dispatcher) loadDesired(desired DesiredCopies, mayOrder bool) {
	queue := d.queues.getOrCreate(desired.Function)
	queue.desiredUntil = desired.Until
	d.queues.markDirty(queue)
	thisStep := max(d.now, 1)
	interval := renewalInterval(d.settings.Loading.IdleCopyTTL)
	missing := desired.Copies
	for i := 0; missing > 0 && i < len(d.listed); i++ {
		worker := queue.worker(i)
		if !d.ready(worker) {
			continue
		}
		placed := queue.placement(worker)
		lastUse := max(placed.lastSeenAt, placed.loadStartedAt)
		switch {
		case placed.pendingOrders > 0:
			worker.advisedLoadAt = thisStep
		case d.hasCopy(placed, worker) && (placed.outstanding > 0 || d.now-lastUse < interval):
		case !worker.loadBackoff.allows(d.now):
			continue // a worker further along the walk may have capacity
		case mayOrder && worker.advisedLoadAt != thisStep && d.adviceMayLoad() &&
			d.orderLoad(worker, queue.function):
			worker.advisedLoadAt = thisStep
		}
		missing--
	}
}

// adviceMayLoad reports whether a copy may be loaded on advice alone.
func (d *Dispatcher) adviceMayLoad() bool {
	return d.evictions.fraction < maxAdviceEvictions && d.loadBudget.allowsAdvice(d.now)
}
