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

// getOrCreate returns the queue of a function, a new one where none is kept.
func (f *fairQueues) getOrCreate(function FunctionID) *queue {
	if known := f.byFunction[function]; known != nil {
		return known
	}
	added := &queue{
		function:   function,
		hash:       mix(uint64(function)),
		spread:     spread{workers: 1},
		placements: map[*worker]*placement{},
	}
	added.walk = ring.Walk[*worker]{Ring: f.ring, From: added.hash}
	added.setEntries()
	f.byFunction[function] = added
	f.markDirty(added)
	return added
}

// forget drops a queue that is idle.
func (f *fairQueues) forget(queue *queue) {
	f.remove(queue)
	for w := range queue.placements {
		delete(w.placements, queue)
	}
	delete(f.byFunction, queue.function)
}

// arrive notes a request of a function.
func (f *fairQueues) arrive(queue *queue, now time.Duration) {
	if queue.lastArrivalAt > 0 {
		since := max((now - queue.lastArrivalAt).Seconds(), f.tick.Seconds())
		queue.meanInterarrival = ewma(queue.meanInterarrival, since)
	}
	queue.lastArrivalAt = max(now, 1)
	f.markDirty(queue)
	f.activate(queue)
}

// activate has a queue compete, from the global virtual time on.
func (f *fairQueues) activate(queue *queue) {
	if !queue.active {
		f.markDirty(queue)
		queue.active = true
		queue.virtualTime = max(queue.virtualTime, f.globalVirtualTime)
	}
}

// enqueue puts a request in its queue, in order of arrival.
func (f *fairQueues) enqueue(request *request) {
	if request.queued || request.ended {
		return
	}
	request.queued = true
	f.activate(request.queue)
	f.markDirty(request.queue)
	pending := request.queue.pending
	i, _ := slices.BinarySearchFunc(pending, request.arrivedAt+1, compareArrival)
	request.queue.pending = slices.Insert(pending, i, request)
}

// compareArrival compares the arrival of a request with a time.
func compareArrival(r *request, at time.Duration) int { return cmp.Compare(r.arrivedAt, at) }

// dequeue takes a request out of its queue, if it is in.
func (f *fairQueues) dequeue(request *request) {
	if request.queued {
		request.queued = false
		f.markDirty(request.queue)
		i := slices.Index(request.queue.pending, request)
		request.queue.pending = slices.Delete(request.queue.pending, i, i+1)
	}
}

// charge charges a queue for a request that is charge, by its expected run time in seconds.
func (f *fairQueues) charge(queue *queue, runTime float64, now time.Duration) {
	queue.virtualTime += runTime
	f.markDirty(queue)
	queue.inFlight++
	queue.lastActiveAt = now
}

// recordOutcome notes the outcome of an attempt.
func (f *fairQueues) recordOutcome(queue *queue, now time.Duration) {
	f.markDirty(queue)
	queue.inFlight--
	queue.lastActiveAt = now
}

// expire ends the activity of queues that nobody calls, forgets those of which nothing is of use any more,
// and moves the global virtual time to the lowest of an active queue.
func (f *fairQueues) expire(now time.Duration) {
	f.reindex()
	for e := f.expiries.Min(); e != nil && e.Key() <= now; e = f.expiries.Min() {
		queue := e.Value
		queue.active = false
		if now < f.forgetAt(queue) {
			f.markDirty(queue)
			f.reindex()
		} else {
			f.forget(queue)
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
	for _, queue := range waiting {
		if queue.eligible > 0 && (best == nil || f.precedes(queue, best)) {
			best = queue
		}
	}
	return best
}

// worker returns the i-th worker of the queue's walk along the ring, of as many as are listed. The first is
// the function's home.
func (q *queue) worker(i int) *worker { return q.walk.At(i).Value }

// placement returns what is known of the function at a worker, which is nothing at first.
func (q *queue) placement(worker *worker) *placement {
	placed := q.placements[worker]
	if placed == nil {
		placed = &placement{}
		q.placements[worker] = placed
		worker.placements[q] = placed
	}
	return placed
}
