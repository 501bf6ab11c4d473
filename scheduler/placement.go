package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
)

const (
	// maxLoadsAtWorker is the number of attempts at one worker that may wait for a load at a time.
	// It is small because all workers load from one store.
	maxLoadsAtWorker = 2
	// spillDelay is how long a request waits for its busy home before a further copy is worth its
	// load, as a fraction of the latency objective.
	spillDelay = 0.25
	// spillDelayPerEviction is added to spillDelay in proportion to the evicted fraction of copies,
	// because memory is short where copies are evicted.
	spillDelayPerEviction = 10.0
)

// dispatch sends all requests that can be sent now. Requests that can no longer meet their latency
// objective go after all others; otherwise a stall would make every later answer late as well.
func (d *Dispatcher) dispatch() {
	d.queues.expire(d.now)
	d.dispatchRound(true)
	d.dispatchRound(false)
}

// dispatchRound sends either the requests that can meet their objective or those that cannot, in
// the order of their queues. It ends as soon as no worker can take anything more.
func (d *Dispatcher) dispatchRound(meetObjective bool) {
	if d.saturated() {
		return
	}
	d.uniformWorkers = d.workersAreUniform()
	onlyCopies := d.onlyCopiesServe(meetObjective)
	order := sendOrder{fair: &d.queues, queues: d.eligibleQueues(meetObjective, onlyCopies)}
	heap.Init(&order)
	for order.Len() > 0 {
		first := order.queues[0]
		found := d.dispatchOne(first, meetObjective)
		if found && d.saturated() {
			return
		}
		first.eligible--
		if found && !onlyCopies && d.onlyCopiesServe(meetObjective) {
			onlyCopies = true
			order.keep(d.copyHasRoom)
			heap.Init(&order)
			continue
		}
		if found && first.eligible > 0 {
			heap.Fix(&order, 0)
		} else {
			heap.Pop(&order)
		}
	}
}

// eligibleQueues returns the queues that have requests for a round of dispatch, and counts these. If only
// copies serve, it leaves out queues of which no request can be sent.
func (d *Dispatcher) eligibleQueues(meetObjective, onlyCopies bool) (eligible []*queue) {
	waiting := d.queues.waiting.queues
	if onlyCopies {
		waiting = d.queues.withCopies.queues
	}
	d.queues.examined += uint64(len(waiting))
	for _, queue := range waiting {
		if onlyCopies && !d.copyHasRoom(queue) {
			continue
		}
		queue.eligible = 0
		for _, request := range queue.pending {
			if d.meetsObjective(request) == meetObjective {
				queue.eligible++
			}
		}
		if queue.eligible > 0 {
			eligible = append(eligible, queue)
		}
	}
	return eligible
}

// onlyCopiesServe reports whether a request can only be sent where a copy of its function is, and none is
// rejected because it cannot: no worker is warming up, none may be sent a request that has to wait for a
// load, and none of the requests is late or no load was rejected lately. Then selectWorker has no result
// for a request of a function without copies.
func (d *Dispatcher) onlyCopiesServe(meetObjective bool) bool {
	for _, worker := range d.listed {
		if !meetObjective && !worker.loadBackoff.allows(d.now) {
			return false
		}
		if d.ready(worker) && (!d.isWarm(worker) || d.mayWaitForLoad(worker)) {
			return false
		}
	}
	return true
}

// copyHasRoom reports whether a worker that may have a copy of the queue's function has a free lane and a
// token. If not, selectWorker has no result for any request of the queue while only copies serve.
func (d *Dispatcher) copyHasRoom(queue *queue) bool {
	if !queue.mayHaveCopies {
		return false
	}
	for worker, placed := range queue.placements { // the map's order does not matter
		if placed.lastSeenAt > 0 && d.ready(worker) && worker.limit.available() &&
			float64(placed.outstanding) < placed.lanes(queue.maxLanes) {
			return true
		}
	}
	return false
}

// saturated reports whether no listed worker can take any request, and none would be rejected because
// of that: each is warm, has no free token, awaits as many loads as it may and none of its loads was
// rejected lately. Then selectWorker has no result for any request.
func (d *Dispatcher) saturated() bool {
	for _, worker := range d.listed {
		if !worker.loadBackoff.allows(d.now) {
			return false
		}
		if d.ready(worker) && (!d.isWarm(worker) || worker.limit.available() || d.mayWaitForLoad(worker)) {
			return false
		}
	}
	return true
}

// dispatchOne sends the first eligible request of a queue that some worker can take, or rejects or
// fails one that no worker can take before its deadline. It reports whether there was such a
// request.
func (d *Dispatcher) dispatchOne(queue *queue, meetObjective bool) bool {
	var failed *request // the last one for which there was no worker
	for _, request := range queue.pending {
		if d.meetsObjective(request) != meetObjective {
			continue
		}
		if d.uniformWorkers && queue.sameSearch(failed, request) {
			continue
		}
		failed = request
		if w := d.selectWorker(queue, request); w != nil {
			d.send(request, w)
			return true
		}
		if request.unplaceable {
			d.rejectOrFail(request)
			return true
		}
	}
	return false
}

// sameSearch reports whether the search of a worker for a request has the same result as that for an
// earlier one of its queue, which found none. It holds if neither was sent before, both are of one
// class and size, and the later one has no less time left, while workers are uniform: its hash then
// makes no difference, and it is worth a further copy no sooner than the earlier one.
func (q *queue) sameSearch(earlier, later *request) bool {
	return earlier != nil && !earlier.wasSent() && !later.wasSent() && q.spread.workers == 1 &&
		later.Class == earlier.Class && later.Lanes == earlier.Lanes && later.LoadTime == earlier.LoadTime &&
		later.answerDeadline >= earlier.answerDeadline
}

// workersAreUniform reports whether no ready worker is warming up or accepts only a fraction of the
// requests: both depend on random numbers or hashes.
func (d *Dispatcher) workersAreUniform() bool {
	for _, worker := range d.listed {
		if d.ready(worker) && (!d.isWarm(worker) || worker.limit.tokens < 1) {
			return false
		}
	}
	return true
}

// placementSearch is the state of the walk along the ring for one request.
type placementSearch struct {
	queue     *queue
	request   *request
	home      *worker // the first worker that may take the request
	loader    *worker // the first worker that may load a copy for the request
	loading   bool    // a copy is being loaded
	placeable bool    // some worker may still take the request before its deadline
	narrow    bool    // home and loader are known: only workers with a placement are still considered
}

// selectWorker returns the worker to which a request is sent now, or nil if the request has to
// wait.
//
// It walks along the ring from the function's home, or from the start that the spread gives, to the
// first worker that is believed to have a copy and has a token. If there is none, the request is
// sent to home, where it waits for a load. If home is busy, the request waits for some time; then a
// further worker is ordered to load a copy, and the request is sent there once the copy is loaded,
// or at once if the order is not possible.
func (d *Dispatcher) selectWorker(queue *queue, request *request) *worker {
	found := placementSearch{queue: queue, request: request, placeable: len(d.listed) == 0}
	from := queue.spread.startIndex(request.Request, len(d.listed))
	for worker := range d.candidates(queue, from, &found.narrow) {
		if d.evaluateCandidate(&found, worker) {
			return worker
		}
		found.narrow = found.home != nil && found.loader != nil
	}
	placeable := found.placeable || d.outliers.ejected > 0
	request.unplaceable = !placeable && !found.loading && !d.meetsObjective(request) &&
		!request.hasOutstanding()
	if found.loading {
		return nil
	}
	if found.loader == found.home {
		return found.loader
	}
	if found.loader != nil && d.maySpill(request) && !d.ensureCopy(queue, found.loader) {
		return found.loader
	}
	return nil
}

// maySpill reports whether a request has waited long enough for its home to be worth a further
// copy.
func (d *Dispatcher) maySpill(request *request) bool {
	wait := min(1, spillDelay+float64(spillDelayPerEviction*d.evictions.fraction))
	due := request.arrivedAt + seconds(wait*d.class(request).LatencyObjective.Seconds())
	return d.now >= due && d.meetsObjective(request)
}

// evaluateCandidate reports whether the request is sent to this worker of the walk. Otherwise it
// records in found whether the worker is home, may load a copy, or is loading one.
func (d *Dispatcher) evaluateCandidate(found *placementSearch, worker *worker) bool {
	request := found.request
	placed := found.queue.placements[worker]
	hasCopy := d.hasCopy(placed, worker)
	mayLoadInTime := found.home == nil && worker.loadBackoff.until < request.answerDeadline
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
		return d.evaluateWarmingCandidate(found, worker)
	case placed.loading(d.now, d.loadTime(request)):
		found.loading = true
	case !d.accepts(request, worker):
		return false
	case found.loader == nil && d.mayWaitForLoad(worker):
		found.loader = worker
	}
	found.home = cmp.Or(found.home, worker)
	return false
}

// evaluateWarmingCandidate is evaluateCandidate for a worker that is warming up and is not believed
// to have a copy. If the worker is home, it is sent as much as its slow start admits, because
// another controller may have had the copy loaded. Otherwise the request waits for a copy that is
// ordered there, or the walk goes on: requests that wait for the loads of all functions would fill
// the worker's small capacity.
func (d *Dispatcher) evaluateWarmingCandidate(found *placementSearch, worker *worker) bool {
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

// avoids reports whether a request avoids a worker because of its errors. Idempotent requests do
// not.
func (d *Dispatcher) avoids(r *request, w *worker) bool {
	return d.now < w.avoidedUntil && d.class(r).Idempotency != Idempotent
}

// mayWaitForLoad reports whether a worker may be sent a request that has to wait for a load there.
func (d *Dispatcher) mayWaitForLoad(w *worker) bool {
	return w.awaitingLoad < maxLoadsAtWorker && w.loadBackoff.allows(d.now)
}

// hasCapacity reports whether a worker that has copies of a function has a free lane and a token
// for a request of it. With more requests than lanes the worker would load a further copy by
// itself, which evicts other copies.
func (d *Dispatcher) hasCapacity(r *request, w *worker, placed *placement) bool {
	return float64(placed.outstanding) < placed.lanes(r.Lanes) && w.limit.available() && d.accepts(r, w)
}

// lanes returns how many requests the copies at a worker run at a time, if each copy has a number of lanes.
func (p *placement) lanes(perCopy float64) float64 { return max(1, perCopy*float64(max(1, p.copies))) }

// accepts reports whether a worker's concurrency limit accepts a request. A limit below one token
// accepts a fraction of the requests, those with the lowest positions. The position of a request is
// a hash, scaled down the longer the request waits, so that it is accepted in the end. A request
// that the worker had before has the highest position.
func (d *Dispatcher) accepts(request *request, worker *worker) bool {
	position := unitInterval(mix(uint64(request.Request) ^ uint64(worker.ID)))
	if slices.ContainsFunc(request.attempts, func(a attempt) bool { return a.worker == worker }) {
		position = 1
	}
	waited := (d.now - request.arrivedAt).Seconds() / d.class(request).LatencyObjective.Seconds()
	return worker.limit.accepts(position * (1 - waited))
}
