package scheduler

import (
	"cmp"
	"slices"
)

const (
	// maxLoadsAtWorker is how many sends to one worker may wait for a load at a time: the store is shared
	// by all.
	maxLoadsAtWorker = 2
	// spillAfter is how long a request waits for its busy home, in latency objectives, before a further
	// copy is worth its load.
	spillAfter = 0.25
	// spillEvictions is what each evicted fraction of copies adds to it: memory is short then.
	spillEvictions = 10.0
)

// dispatch sends what can be sent. Requests past their latency objective wait behind all others, or a stall
// would make every later answer late as well.
func (d *Dispatcher) dispatch() {
	d.queues.expire(d.now)
	d.dispatchRound(true)
	d.dispatchRound(false)
}

// dispatchRound sends requests that can meet their objective, or those that cannot, in the order of their
// queues.
func (d *Dispatcher) dispatchRound(meetObjective bool) {
	var waiting []*queue
	for _, queue := range d.queues.withPending() {
		queue.eligible = 0
		for _, request := range queue.pending {
			if d.meetsObjective(request) == meetObjective {
				queue.eligible++
			}
		}
		if queue.eligible > 0 {
			waiting = append(waiting, queue)
		}
	}
	for queue := d.queues.next(waiting); queue != nil; queue = d.queues.next(waiting) {
		if d.dispatchOne(queue, meetObjective) {
			queue.eligible--
		} else {
			queue.eligible = 0
		}
	}
}

// dispatchOne sends the first eligible request of a queue that some worker can take, or answers one that
// none can take in its time, and tells whether there was one.
func (d *Dispatcher) dispatchOne(queue *queue, meetObjective bool) bool {
	for _, request := range queue.pending {
		if d.meetsObjective(request) != meetObjective {
			continue
		}
		if w := d.pick(queue, request); w != nil {
			d.send(request, w)
			return true
		}
		if request.unplaceable {
			d.answer(request)
			return true
		}
	}
	return false
}

// A search is what the walk for one request has found so far.
type search struct {
	queue     *queue
	request   *request
	home      *worker // the first that may have the request
	spare     *worker // the first that may load a copy for it
	loading   bool    // a copy is on its way
	placeable bool    // some worker may yet take it in its time
	narrow    bool    // home and spare are known: of the others only those that may have a copy matter
}

// pick returns the worker that a request is sent to now, or nil if it has to wait.
//
// It goes along the ring from the function's home, or from the start that the spread gives, and takes the
// first worker that is believed to have a copy, and has a token. A worker beyond home without a copy is
// ordered to load one and sent to once it is loaded. A home without a token is waited for, before a further
// copy is loaded.
func (d *Dispatcher) pick(queue *queue, request *request) *worker {
	found := search{queue: queue, request: request, placeable: len(d.listed) == 0}
	from := queue.spread.start(request.Request, len(d.listed))
	for worker := range d.candidates(queue, from, &found.narrow) {
		if d.consider(&found, worker) {
			return worker
		}
		found.narrow = found.home != nil && found.spare != nil
	}
	placeable := found.placeable || d.outliers.ejected > 0
	request.unplaceable = !placeable && !found.loading && !d.meetsObjective(request) &&
		!request.hasOutstanding()
	if found.loading {
		return nil
	}
	if found.spare == found.home {
		return found.spare
	}
	if found.spare != nil && d.maySpill(request) && !d.ensureCopy(queue, found.spare) {
		return found.spare
	}
	return nil
}

// maySpill tells whether a request has waited long enough for its home to be worth a further copy.
func (d *Dispatcher) maySpill(request *request) bool {
	wait := min(1, spillAfter+spillEvictions*d.evictions.fraction)
	due := request.arrivedAt + seconds(wait*d.class(request).LatencyObjective.Seconds())
	return d.now >= due && d.meetsObjective(request)
}

// consider tells whether the request goes to this worker of the walk, and notes what else the worker is
// good for.
func (d *Dispatcher) consider(found *search, worker *worker) bool {
	request := found.request
	placed := found.queue.placements[worker]
	hasCopy := d.hasCopy(placed, worker)
	mayLoadInTime := found.home == nil && worker.loadBackoff.until < request.answerBy
	found.placeable = found.placeable || hasCopy || worker.ejected || mayLoadInTime
	if !d.ready(worker) || !d.retryRules.maySend(request, worker, d.now) || d.avoids(request, worker) {
		return false
	}
	switch {
	case hasCopy:
		if d.hasCapacity(request, worker, placed) && d.admitWarming(worker, d.classRunTime[request.Class]) {
			if found.home != nil {
				d.ensureCopy(found.queue, found.home)
			}
			return true
		}
	case !d.isWarm(worker):
		return d.considerWarming(found, worker)
	case placed.loading(d.now, d.loadTime(request)):
		found.loading = true
	case !d.accepts(request, worker):
		return false
	case found.spare == nil && d.mayWaitForLoad(worker):
		found.spare = worker
	}
	found.home = cmp.Or(found.home, worker)
	return false
}

// considerWarming is consider for a warming worker that is not believed to have a copy. A warming home is
// sent what its slow start admits: other controllers may have had the copy loaded. The rest waits for a
// copy that is ordered there, or goes on: waiting for loads of all functions would fill its small capacity.
func (d *Dispatcher) considerWarming(found *search, worker *worker) bool {
	switch {
	case found.home != nil:
	case d.mayWaitForLoad(worker) && d.accepts(found.request, worker) &&
		d.admitWarming(worker, d.classRunTime[found.request.Class]):
		return true
	case d.ensureCopy(found.queue, worker):
		found.home = worker
		found.loading = true
	}
	return false
}

// avoids tells whether a request passes a worker by for its errors: one that may run twice does not.
func (d *Dispatcher) avoids(r *request, w *worker) bool {
	return d.now < w.avoidedUntil && d.class(r).Idempotency != Idempotent
}

// mayWaitForLoad tells whether a worker may be sent a request that has to wait for a load there.
func (d *Dispatcher) mayWaitForLoad(w *worker) bool {
	return w.awaitingLoad < maxLoadsAtWorker && w.loadBackoff.allows(d.now)
}

// hasCapacity tells whether a worker has a token for a request of a function that it has loaded, and a lane.
// Past the lanes of its copies it starts another by itself, which evicts others.
func (d *Dispatcher) hasCapacity(r *request, w *worker, placed *placement) bool {
	lanes := max(1, r.Lanes*float64(max(1, placed.copies)))
	return float64(placed.outstanding) < lanes && w.limit.available() && d.accepts(r, w)
}

// accepts tells whether a worker's concurrency limit accepts a request: below one token it accepts a part
// of them. The position of a request is a hash, which falls as it waits, so that it comes to be accepted.
// One that the worker had before is the last to be accepted.
func (d *Dispatcher) accepts(request *request, worker *worker) bool {
	position := unitInterval(mix(uint64(request.Request) ^ uint64(worker.ID)))
	if slices.ContainsFunc(request.attempts, func(a attempt) bool { return a.worker == worker }) {
		position = 1
	}
	waited := (d.now - request.arrivedAt).Seconds() / d.class(request).LatencyObjective.Seconds()
	return worker.limit.accepts(position * (1 - waited))
}
