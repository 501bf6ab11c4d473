package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"kitehub/scheduler/ring"
)

// A Dispatcher decides for one controller. It is not safe for concurrent use.
type Dispatcher struct {
	settings          Settings
	now               time.Duration
	actions           []Action
	workers           map[WorkerID]*worker
	order             []*worker // by id
	ring              ring.Ring[*worker]
	queues            map[FunctionID]*queue
	requests          map[RequestID]*request
	openRequests      []*request // in order of arrival
	globalVirtualTime float64
	classRunTime      []float64 // mean run time of a class, seconds
	slowStart         slowStart
	outliers          outlierDetector
	peerLatency       peerLatency
	random            *rand.Rand
	admission         admission
	wakeAt            time.Duration
	evictions         evictions
	loadBudget        loadBudget
	desiredCopies     adviceList[DesiredCopies]
	advisedRanks      adviceList[WorkerRank]
	listGeneration    int // taken in

	indexes // of workers and queues: index.go
}

type worker struct {
	WorkerInfo
	limit        concurrencyLimit
	outstanding  int // attempts out
	awaitingLoad int // of them, those that may wait for a load
	workerHealth
	loadBackoff loadBackoff
	warmup
	rank           int           // as advised
	advisedLoadAt  time.Duration // the step in which an advised order was seen to be out there
	lastFunction   FunctionID
	listGeneration int // the last list that named it
	member         ring.Member[*worker]
	placements     map[*queue]*placement // the same as the queues'
}

type queue struct {
	function         FunctionID
	hash             uint64
	virtualTime      float64
	pending          []*request // oldest first
	inFlight         int
	meanRunTime      float64 // mean run time, seconds; 0: not known
	meanInterarrival float64 // mean time between arrivals, seconds; 0: not known
	lastArrivalAt    time.Duration
	lastActiveAt     time.Duration
	lastRenewalAt    time.Duration
	desiredUntil     time.Duration // copies are advised until then
	active           bool
	eligible         int // requests that compete in this round
	spread           spread
	placements       map[*worker]*placement

	queueEntries
}

type request struct {
	Arrival
	queue         *queue
	arrivedAt     time.Duration
	answerBy      time.Duration // our own answer goes out at this time
	attempts      []attempt
	queued        bool
	ended         bool
	undecided     bool          // what follows an outcome is decided after the events of the step
	unplaceable   bool          // past its aim, where it goes to home or a copy only: neither is to be had in its time
	observed      bool          // in the share let pass
	loadAllowance time.Duration // allowed for a load that it may wait for
	mayHedge      bool          // an attempt is given up on: another may go out beside it
}

// hasOutstanding tells whether an attempt has no outcome yet.
func (r *request) hasOutstanding() bool {
	return slices.ContainsFunc(r.attempts, func(t attempt) bool { return !t.done })
}

type attempt struct {
	worker      *worker
	group, zone int
	sentAt      time.Duration
	work        float64
	done        bool
	mayRun      bool
	awaitsLoad  bool // may wait for a load: holds no token
	abandoned   bool // cancelled or overtaken by us
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// mix spreads the bits of a number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps a number to [0, 1).
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }

func (d *Dispatcher) do(a Action) { d.actions = append(d.actions, a) }

// BudgetHandover returns what a process that takes over begins with.
func (d *Dispatcher) BudgetHandover() BudgetHandover {
	return d.loadBudget.handover()
}

// mayHaveRun returns the first attempt that may have run, or may yet.
func (r *request) mayHaveRun() *attempt {
	for i := range r.attempts {
		if t := &r.attempts[i]; !t.done || t.mayRun {
			return t
		}
	}
	return nil
}

func (d *Dispatcher) enqueue(r *request) {
	if r.queued || r.ended {
		return
	}
	r.queued = true
	d.activate(r.queue)
	d.touch(r.queue)
	i, _ := slices.BinarySearchFunc(r.queue.pending, r.arrivedAt+1, func(o *request, after time.Duration) int {
		return cmp.Compare(o.arrivedAt, after)
	})
	r.queue.pending = slices.Insert(r.queue.pending, i, r)
}

func (d *Dispatcher) unqueue(r *request) {
	if r.queued {
		r.queued = false
		d.touch(r.queue)
		r.queue.pending = slices.DeleteFunc(r.queue.pending, func(o *request) bool { return o == r })
	}
}

// memory returns a worker's by its kind, or 1 where it is not told.
func (d *Dispatcher) memory(w *worker) float64 {
	if m := d.settings.Loading.MemoryMB; w.Kind >= 0 && w.Kind < len(m) && m[w.Kind] > 0 {
		return m[w.Kind]
	}
	return 1
}

// runOf returns how long a request is likely to run, in seconds.
func (d *Dispatcher) runOf(q *queue, r *request) float64 {
	return cmp.Or(q.meanRunTime, max(0, r.RunTimeHint.Seconds()), d.classRunTime[r.Class])
}
