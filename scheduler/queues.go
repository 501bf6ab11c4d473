package scheduler

import (
	"cmp"
	"slices"
	"time"

	"kitehub/scheduler/ring"
)

const (
	// activeInterarrivals is how long an empty queue stays active, in its mean times between arrivals (the
	// alpha of MQFQ-Sticky): it keeps a function's copy while calls are likely.
	activeInterarrivals = 2.0
	// maxLead is how far a queue's virtual time may lead the global one before others go first, in seconds of
	// run time (the T of MQFQ-Sticky): enough for batches, yet no monopoly.
	maxLead = 10.0
)

// fairQueues share the workers among functions, by MQFQ-Sticky's start-time fair queueing.
//
// Each function has a queue with a virtual time, which grows with each dispatch by the run time that is
// expected of the request. The global virtual time is the lowest of an active queue, and never falls. A
// queue is active while it has requests, and for some time after; one that becomes active begins at the
// global virtual time at least, so that nobody saves up a claim by being idle.
//
// A queue that leads the global virtual time by less than maxLead may send. Among those the longest goes
// first, then the one with the fewest requests in flight, as both keep a function's requests together at
// its home, where its copy is. Queues beyond maxLead follow, the lowest virtual time first, so that no free
// worker stays unused.
type fairQueues struct {
	tick              time.Duration
	idleCopyTTL       time.Duration
	warmupTime        time.Duration
	ring              *ring.Ring[*worker]
	byFunction        map[FunctionID]*queue
	globalVirtualTime float64 // seconds of run time

	queueIndex
}

// A queue has the requests of one function, and what is known of the function.
type queue struct {
	function         FunctionID
	hash             uint64 // its home is the first worker after this place of the ring
	virtualTime      float64
	active           bool
	pending          []*request // the oldest first
	eligible         int        // of them, those that compete in this round of dispatch
	inFlight         int        // attempts without an outcome
	meanRunTime      float64    // seconds; 0: not known
	meanInterarrival float64    // seconds; 0: not known
	lastArrivalAt    time.Duration
	lastActiveAt     time.Duration // when an attempt last began or ended
	lastRenewalAt    time.Duration // of the copy at its home
	desiredUntil     time.Duration // copies are advised until then
	spread           spread
	placements       map[*worker]*placement

	queueEntries
}

func newFairQueues(settings *Settings, ring *ring.Ring[*worker]) fairQueues {
	return fairQueues{
		tick:        settings.Tick,
		idleCopyTTL: settings.Loading.IdleCopyTTL,
		warmupTime:  settings.Guarantees.WarmupTime,
		ring:        ring,
		byFunction:  map[FunctionID]*queue{},
	}
}

// get returns the queue of a function, a new one where none is kept.
func (f *fairQueues) get(function FunctionID) *queue {
	q := f.byFunction[function]
	if q == nil {
		q = &queue{
			function:   function,
			hash:       mix(uint64(function)),
			spread:     spread{workers: 1},
			placements: map[*worker]*placement{},
		}
		q.walk = ring.Walk[*worker]{Ring: f.ring, From: q.hash}
		q.setEntries()
		f.byFunction[function] = q
		f.touch(q)
	}
	return q
}

// forget drops a queue that is idle.
func (f *fairQueues) forget(q *queue) {
	f.remove(q)
	for w := range q.placements {
		delete(w.placements, q)
	}
	delete(f.byFunction, q.function)
}

// arrive notes a request of a function.
func (f *fairQueues) arrive(q *queue, now time.Duration) {
	if q.lastArrivalAt > 0 {
		since := max((now - q.lastArrivalAt).Seconds(), f.tick.Seconds())
		q.meanInterarrival = mean(q.meanInterarrival, since)
	}
	q.lastArrivalAt = max(now, 1)
	f.touch(q)
	f.activate(q)
}

// activate has a queue compete, from the global virtual time on.
func (f *fairQueues) activate(q *queue) {
	if !q.active {
		f.touch(q)
		q.active = true
		q.virtualTime = max(q.virtualTime, f.globalVirtualTime)
	}
}

// enqueue puts a request in its queue, in order of arrival.
func (f *fairQueues) enqueue(r *request) {
	if r.queued || r.ended {
		return
	}
	r.queued = true
	f.activate(r.queue)
	f.touch(r.queue)
	byArrival := func(o *request, after time.Duration) int { return cmp.Compare(o.arrivedAt, after) }
	i, _ := slices.BinarySearchFunc(r.queue.pending, r.arrivedAt+1, byArrival)
	r.queue.pending = slices.Insert(r.queue.pending, i, r)
}

// dequeue takes a request out of its queue, if it is in.
func (f *fairQueues) dequeue(r *request) {
	if r.queued {
		r.queued = false
		f.touch(r.queue)
		r.queue.pending = slices.DeleteFunc(r.queue.pending, func(o *request) bool { return o == r })
	}
}

// sent charges a queue for a request that is sent, by its expected run time in seconds.
func (f *fairQueues) sent(q *queue, runTime float64, now time.Duration) {
	q.virtualTime += runTime
	f.touch(q)
	q.inFlight++
	q.lastActiveAt = now
}

// ended notes the outcome of an attempt.
func (f *fairQueues) ended(q *queue, now time.Duration) {
	f.touch(q)
	q.inFlight--
	q.lastActiveAt = now
}

// expire ends the activity of queues that nobody calls, forgets those of which nothing is of use any more,
// and moves the global virtual time to the lowest of an active queue.
func (f *fairQueues) expire(now time.Duration) {
	f.reindex()
	for e := f.expiries.Min(); e != nil && e.Key() <= now; e = f.expiries.Min() {
		q := e.Value
		q.active = false
		if now < f.forgetAt(q) {
			f.touch(q)
			f.reindex()
		} else {
			f.forget(q)
		}
	}
	if lowest := f.virtualTimes.Min(); lowest != nil {
		f.globalVirtualTime = max(f.globalVirtualTime, lowest.Key())
	}
}

// timeToLive is how long an empty queue stays active: until a second call, as long as an idle copy stays
// loaded.
func (f *fairQueues) timeToLive(q *queue) time.Duration {
	return cmp.Or(seconds(activeInterarrivals*q.meanInterarrival), f.idleCopyTTL)
}

// forgetAt is when nothing that is known of an idle queue is of use any more.
func (f *fairQueues) forgetAt(q *queue) time.Duration {
	kept := f.timeToLive(q) + f.idleCopyTTL + f.warmupTime
	return max(q.idleSince()+kept+1, q.desiredUntil)
}

// renewAt is when an active, idle queue needs the copy at its home renewed.
func (f *fairQueues) renewAt(q *queue) time.Duration {
	return max(max(q.lastActiveAt, q.lastRenewalAt)+renewalInterval(f.idleCopyTTL), q.desiredUntil)
}

// idleSince is when a queue was last called or served.
func (q *queue) idleSince() time.Duration { return max(q.lastArrivalAt, q.lastActiveAt) }

// precedes tells whether one queue sends before another.
func (f *fairQueues) precedes(a, b *queue) bool {
	limit := f.globalVirtualTime + maxLead
	withinA, withinB := a.virtualTime < limit, b.virtualTime < limit
	if withinA != withinB {
		return withinA
	}
	byVirtualTime := 0
	if !withinA {
		byVirtualTime = cmp.Compare(a.virtualTime, b.virtualTime)
	}
	return cmp.Or(byVirtualTime, cmp.Compare(b.eligible, a.eligible), cmp.Compare(a.inFlight, b.inFlight),
		cmp.Compare(a.function, b.function)) < 0
}

// next returns the queue that sends first of those with eligible requests, or nil.
func (f *fairQueues) next(waiting []*queue) *queue {
	var best *queue
	for _, q := range waiting {
		if q.eligible > 0 && (best == nil || f.precedes(q, best)) {
			best = q
		}
	}
	return best
}

// worker returns the i-th worker of the queue's walk along the ring, of as many as are listed. The first is
// the function's home.
func (q *queue) worker(i int) *worker { return q.walk.At(i).Value }

// placement returns what is known of the function at a worker, which is nothing at first.
func (q *queue) placement(w *worker) *placement {
	placed := q.placements[w]
	if placed == nil {
		placed = &placement{}
		q.placements[w] = placed
		w.placements[q] = placed
	}
	return placed
}
