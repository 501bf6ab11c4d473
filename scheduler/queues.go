package scheduler

import (
	"cmp"
	"slices"
	"time"

	"kitehub/scheduler/index"
	"kitehub/scheduler/ring"
)

const (
	// activeInterarrivals is how long an empty queue stays active, in its mean interarrival times
	// (the alpha of MQFQ-Sticky). The function keeps its copy while calls are likely.
	activeInterarrivals = 2.0
	// maxLead is how far a queue's virtual time may lead the global one before other queues go
	// first, in seconds of run time (the T of MQFQ-Sticky). It allows batches of one function, but
	// no monopoly.
	maxLead = 10.0
)

// fairQueues shares the workers among functions with the start-time fair queueing of MQFQ-Sticky.
//
// Each function has a queue with a virtual time. Each dispatch adds the expected run time of the
// request to it. The global virtual time is the lowest virtual time of all active queues, and never
// falls. A queue is active while it has requests and for some time after. A queue that becomes
// active starts at the global virtual time or later, so that a function cannot accumulate credit
// while idle.
//
// Queues that lead the global virtual time by less than maxLead go first: the longest of them, then
// the one with the fewest requests in flight, because both keep a function's requests together at
// its home, where its copy is. Queues beyond maxLead follow, the lowest virtual time first, so that
// no free worker stays unused.
type fairQueues struct {
	tick              time.Duration
	idleCopyTTL       time.Duration
	warmupTime        time.Duration
	maxFunctions      int // see Limits.MaxFunctions
	ring              *ring.Ring[*worker]
	byFunction        map[FunctionID]*queue
	globalVirtualTime float64 // seconds of run time

	queueIndex
}

// queue holds the pending requests of one function, and the dispatcher's state of the function.
type queue struct {
	function         FunctionID
	hash             uint64 // position on the ring: the first worker after it is the home
	virtualTime      float64
	active           bool
	pending          []*request // oldest first
	eligible         int        // pending requests that may be sent in this round of dispatch
	maxLanes         float64    // most lanes of a copy that a request has stated
	inFlight         int        // attempts without an outcome
	meanRunTime      float64    // seconds; 0: unknown
	meanInterarrival float64    // seconds; 0: unknown
	lastArrivalAt    time.Duration
	lastActiveAt     time.Duration // when an attempt last started or ended
	lastRenewalAt    time.Duration // of the copy at its home
	desiredUntil     time.Duration // end of the advice to keep copies loaded
	spread           spread
	placements       map[*worker]*placement
	untimely         index.Heap[time.Duration, *request] // waiting requests by deadline: see requestIndex
	untimelySoon     index.Entry[time.Duration, *queue]

	queueEntries
}

func newFairQueues(settings *Settings, ring *ring.Ring[*worker]) fairQueues {
	return fairQueues{
		tick:         settings.Tick,
		idleCopyTTL:  settings.Loading.IdleCopyTTL,
		warmupTime:   settings.Guarantees.WarmupTime,
		maxFunctions: settings.Limits.MaxFunctions,
		ring:         ring,
		byFunction:   map[FunctionID]*queue{},
	}
}

// getOrCreate returns the queue of a function, and creates it if there is none.
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
	added.initEntries()
	f.byFunction[function] = added
	f.markDirty(added)
	return added
}

// forget deletes an idle queue.
func (f *fairQueues) forget(queue *queue) {
	f.remove(queue)
	for w := range queue.placements {
		delete(w.placements, queue)
	}
	delete(f.byFunction, queue.function)
}

// arrive records the arrival of a request of a function.
func (f *fairQueues) arrive(queue *queue, now time.Duration) {
	if queue.lastArrivalAt > 0 {
		since := max((now - queue.lastArrivalAt).Seconds(), f.tick.Seconds())
		queue.meanInterarrival = ewma(queue.meanInterarrival, since)
	}
	queue.lastArrivalAt = max(now, 1)
	f.markDirty(queue)
	f.activate(queue)
}

// activate makes a queue active. Its virtual time is raised to the global one if it is lower.
func (f *fairQueues) activate(queue *queue) {
	if !queue.active {
		f.markDirty(queue)
		queue.active = true
		queue.virtualTime = max(queue.virtualTime, f.globalVirtualTime)
	}
}

// enqueue inserts a request into its queue in order of arrival, unless it is queued or has ended.
func (f *fairQueues) enqueue(request *request) {
	if request.queued || request.ended {
		return
	}
	request.queued = true
	request.queue.maxLanes = max(request.queue.maxLanes, request.Lanes)
	f.activate(request.queue)
	f.markDirty(request.queue)
	pending := request.queue.pending
	i, _ := slices.BinarySearchFunc(pending, request.arrivedAt+1, compareArrival)
	request.queue.pending = slices.Insert(pending, i, request)
}

// compareArrival compares the arrival time of a request with a time.
func compareArrival(r *request, at time.Duration) int { return cmp.Compare(r.arrivedAt, at) }

// dequeue removes a request from its queue, if it is queued.
func (f *fairQueues) dequeue(request *request) {
	if request.queued {
		request.queued = false
		f.markDirty(request.queue)
		pending := request.queue.pending
		i, _ := slices.BinarySearchFunc(pending, request.arrivedAt, compareArrival)
		i += slices.Index(pending[i:], request)
		request.queue.pending = slices.Delete(pending, i, i+1)
	}
}

// charge records that a request is sent, and adds its expected run time, in seconds, to the virtual
// time of its queue.
func (f *fairQueues) charge(queue *queue, runTime float64, now time.Duration) {
	queue.virtualTime += runTime
	f.markDirty(queue)
	queue.inFlight++
	queue.lastActiveAt = now
}

// recordOutcome records that an attempt has ended.
func (f *fairQueues) recordOutcome(queue *queue, now time.Duration) {
	f.markDirty(queue)
	queue.inFlight--
	queue.lastActiveAt = now
}

// expire deactivates queues that have been idle for their time to live, forgets queues whose state
// is no longer of use, and raises the global virtual time to the lowest one of an active queue.
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
	f.forgetExcess(now)
	if lowest := f.virtualTimes.Min(); lowest != nil {
		f.globalVirtualTime = max(f.globalVirtualTime, lowest.Key())
	}
}

// forgetExcess forgets idle queues beyond the maximum: first those of functions that were called only
// once, so that a client that names ever new functions does not make others' be forgotten, then those
// that would be forgotten next. The state of an idle queue protects no guarantee.
func (f *fairQueues) forgetExcess(now time.Duration) {
	for f.maxFunctions > 0 && len(f.byFunction) > f.maxFunctions {
		excess := f.calledOnce.Min()
		if excess == nil {
			excess = f.expiries.Min()
		}
		if excess == nil || excess.Value.desiredUntil > now {
			return
		}
		f.forget(excess.Value)
	}
}

// timeToLive returns how long an empty queue stays active. Before the second call it is as long as
// an idle copy stays loaded.
func (f *fairQueues) timeToLive(q *queue) time.Duration {
	return cmp.Or(seconds(activeInterarrivals*q.meanInterarrival), f.idleCopyTTL)
}

// forgetAt returns the time from which the state of an idle queue is no longer of use.
func (f *fairQueues) forgetAt(q *queue) time.Duration {
	kept := f.timeToLive(q) + f.idleCopyTTL + f.warmupTime
	return max(q.idleSince()+kept+1, q.desiredUntil)
}

// renewAt returns the time at which the copy at the home of an active, idle queue has to be
// renewed.
func (f *fairQueues) renewAt(q *queue) time.Duration {
	return max(max(q.lastActiveAt, q.lastRenewalAt)+renewalInterval(f.idleCopyTTL), q.desiredUntil)
}

// idleSince returns the time of the last arrival, or start or end of an attempt, of a queue.
func (q *queue) idleSince() time.Duration { return max(q.lastArrivalAt, q.lastActiveAt) }

// precedes reports whether queue a sends before queue b.
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

// A sendOrder is a heap of queues with eligible requests: the one that sends first is at index 0. It
// implements heap.Interface.
type sendOrder struct {
	fair   *fairQueues
	queues []*queue
}

func (o *sendOrder) Len() int           { return len(o.queues) }
func (o *sendOrder) Less(i, j int) bool { return o.fair.precedes(o.queues[i], o.queues[j]) }
func (o *sendOrder) Swap(i, j int)      { o.queues[i], o.queues[j] = o.queues[j], o.queues[i] }
func (o *sendOrder) Push(x any)         { o.queues = append(o.queues, x.(*queue)) }

// keep removes the queues for which a function returns false. The heap has to be initialized again.
func (o *sendOrder) keep(wanted func(*queue) bool) {
	o.queues = slices.DeleteFunc(o.queues, func(q *queue) bool { return !wanted(q) || q.eligible == 0 })
}

func (o *sendOrder) Pop() any {
	last := len(o.queues) - 1
	popped := o.queues[last]
	o.queues = o.queues[:last]
	return popped
}

// worker returns the i-th worker of the queue's walk along the ring, which visits every listed
// worker once. The first one is the function's home.
func (q *queue) worker(i int) *worker { return q.walk.At(i).Value }

// placement returns the state of the function at a worker, and creates it if there is none.
func (q *queue) placement(worker *worker) *placement {
	placed := q.placements[worker]
	if placed == nil {
		placed = &placement{}
		q.placements[worker] = placed
		worker.placements[q] = placed
	}
	return placed
}
