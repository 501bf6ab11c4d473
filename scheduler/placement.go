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
	for _, q := range d.queues.withPending() {
		q.eligible = 0
		for _, r := range q.pending {
			if d.meetsObjective(r) == meetObjective {
				q.eligible++
			}
		}
		if q.eligible > 0 {
			waiting = append(waiting, q)
		}
	}
	for q := d.queues.next(waiting); q != nil; q = d.queues.next(waiting) {
		if d.dispatchOne(q, meetObjective) {
			q.eligible--
		} else {
			q.eligible = 0
		}
	}
}

// dispatchOne sends the first eligible request of a queue that some worker can take, or answers one that
// none can take in its time, and tells whether there was one.
func (d *Dispatcher) dispatchOne(q *queue, meetObjective bool) bool {
	for _, r := range q.pending {
		if d.meetsObjective(r) != meetObjective {
			continue
		}
		if w := d.pick(q, r); w != nil {
			d.send(r, w)
			return true
		}
		if r.unplaceable {
			d.answer(r)
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
func (d *Dispatcher) pick(q *queue, r *request) *worker {
	s := search{queue: q, request: r, placeable: len(d.order) == 0}
	from := q.spread.start(r.Request, len(d.order))
	for w := range d.candidates(q, from, &s.narrow) {
		if d.consider(&s, w) {
			return w
		}
		s.narrow = s.home != nil && s.spare != nil
	}
	placeable := s.placeable || d.outliers.ejected > 0
	r.unplaceable = !placeable && !s.loading && !d.meetsObjective(r) && !r.hasOutstanding()
	if s.loading {
		return nil
	}
	if s.spare == s.home {
		return s.spare
	}
	if s.spare != nil && d.maySpill(r) && !d.ensureCopy(q, s.spare) {
		return s.spare
	}
	return nil
}

// maySpill tells whether a request has waited long enough for its home to be worth a further copy.
func (d *Dispatcher) maySpill(r *request) bool {
	wait := min(1, spillAfter+spillEvictions*d.evictions.fraction)
	due := r.arrivedAt + seconds(wait*d.class(r).LatencyObjective.Seconds())
	return d.now >= due && d.meetsObjective(r)
}

// consider tells whether the request goes to this worker of the walk, and notes what else the worker is
// good for.
func (d *Dispatcher) consider(s *search, w *worker) bool {
	r := s.request
	placed := s.queue.placements[w]
	hasCopy := d.hasCopy(placed, w)
	s.placeable = s.placeable || hasCopy || w.ejected || s.home == nil && w.loadBackoff.until < r.answerBy
	if !d.ready(w) || !d.retryRules.maySend(r, w, d.now) || d.avoids(r, w) {
		return false
	}
	switch {
	case hasCopy:
		if d.hasCapacity(r, w, placed) && d.admitWarming(w, d.classRunTime[r.Class]) {
			if s.home != nil {
				d.ensureCopy(s.queue, s.home)
			}
			return true
		}
	case !d.isWarm(w):
		return d.considerWarming(s, w)
	case placed.loading(d.now, d.loadTime(r)):
		s.loading = true
	case !d.accepts(r, w):
		return false
	case s.spare == nil && d.mayWaitForLoad(w):
		s.spare = w
	}
	s.home = cmp.Or(s.home, w)
	return false
}

// considerWarming is consider for a warming worker that is not believed to have a copy. A warming home is
// sent what its slow start admits: other controllers may have had the copy loaded. The rest waits for a
// copy that is ordered there, or goes on: waiting for loads of all functions would fill its small capacity.
func (d *Dispatcher) considerWarming(s *search, w *worker) bool {
	switch {
	case s.home != nil:
	case d.mayWaitForLoad(w) && d.accepts(s.request, w) && d.admitWarming(w, d.classRunTime[s.request.Class]):
		return true
	case d.ensureCopy(s.queue, w):
		s.home = w
		s.loading = true
	}
	return false
}

// avoids tells whether a request passes a worker by for its errors: one that may run twice does not.
func (d *Dispatcher) avoids(r *request, w *worker) bool {
	return d.now < w.avoidUntil && d.class(r).Idempotency != Idempotent
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
func (d *Dispatcher) accepts(r *request, w *worker) bool {
	position := unit(mix(uint64(r.Request) ^ uint64(w.ID)))
	if slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.worker == w }) {
		position = 1
	}
	waited := (d.now - r.arrivedAt).Seconds() / d.class(r).LatencyObjective.Seconds()
	return w.limit.accepts(position * (1 - waited))
}
