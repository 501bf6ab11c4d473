package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"kitehub/scheduler/index"
	"kitehub/scheduler/ring"
)

// A Dispatcher decides for one controller. It is not safe for concurrent use.
type Dispatcher struct {
	s        Settings
	now      time.Duration
	out      []Action
	workers  map[WorkerID]*worker
	order    []*worker // by id
	ring     ring.Ring[*worker]
	queues   map[FunctionID]*queue
	requests map[RequestID]*request
	open     []*request // in order of arrival
	globalVT float64
	classRun []float64 // mean run time of a class, seconds
	served   float64   // run time of all that was answered, seconds
	rng      *rand.Rand
	pass     float64 // share of requests let pass: under 1 where many are late
	wakeAt   time.Duration
	crowded  float64     // share of copies believed to stand that had been pushed out
	arrivals index.Times // within the load window
	orders   index.Times
	retired  bool            // another process has the budgets
	wanted   []DesiredCopies // by function
	regarded []WorkerRank    // by worker
	lists    int             // taken in

	indexes // of workers and queues: index.go
}

type worker struct {
	WorkerInfo
	tokens     float64
	out        int // attempts out
	busy       int // of them, those that hold a token
	loads      int // of them, those that may wait for a load
	heard      time.Duration
	since      time.Duration // since when something is out without an answer
	strikes    int
	ejections  int           // in a row, and times that failTo was set
	backAt     time.Duration // off the ring until then, if ejected
	ejected    bool
	failing    float64       // mean share of errors among its answers
	failTo     time.Duration // nothing that is not safe goes there until then, as it failed what others served
	asked      time.Duration // when a question went out that has no answer; 0: none
	pace       float64       // mean of run time over the class's mean; 0: not known
	loadTo     time.Duration // no load there before
	denied     int           // loads in a row that it had no room for
	coldFrom   time.Duration // start as told or as seen
	work       float64       // outstanding, seconds of run time
	credit     float64       // seconds of run time that may go to it while it is cold
	creditAt   time.Duration // when credit was last added
	served     float64       // Dispatcher.served then
	rank       int           // as advised
	warming    time.Duration // the step in which an advised order was seen to be out there
	even       float64       // run time a second that this controller has answered for a worker, while it is cold
	fn         FunctionID
	listed     int // the last list that named it
	place      ring.Member[*worker]
	placements map[*queue]*placement // the same as the queues'
}

type queue struct {
	fn         FunctionID
	hash       uint64
	vt         float64
	pending    []*request // oldest first
	inFlight   int
	run        float64 // mean run time, seconds; 0: not known
	gap        float64 // mean time between arrivals, seconds; 0: not known
	last       time.Duration
	lastExec   time.Duration
	renewed    time.Duration
	wanted     time.Duration // copies are advised until then
	active     bool
	length     int     // requests that compete in this round
	spread     float64 // workers of the ring that its calls spread over; 1: home alone
	placements map[*worker]*placement

	queueEntries
}

// A placement is what is known of a function at one worker.
type placement struct {
	seen    time.Duration // when a copy was last seen there; 0: never
	out     int           // attempts out
	lead    int           // of them, those that may wait for a load
	copies  int           // that stood when last told; 0: not told
	ordered int           // holds without an answer
	since   time.Duration // of the last such attempt or order
}

type request struct {
	Arrival
	q       *queue
	at      time.Duration
	final   time.Duration // our own answer goes out at this time
	tries   []attempt
	waiting bool
	ended   bool
	due     bool          // what follows an outcome is decided after the events of the step
	barred  bool          // past its aim, where it goes to home or a copy only: neither is to be had in its time
	judged  bool          // in the share let pass
	loading time.Duration // allowed for a load that it may wait for
	cover   bool          // an attempt is given up on: another may go out beside it
}

// out tells whether an attempt has no outcome yet.
func (r *request) out() bool {
	return slices.ContainsFunc(r.tries, func(t attempt) bool { return !t.done })
}

type attempt struct {
	w           *worker
	group, zone int
	sent        time.Duration
	work        float64
	done        bool
	mayRun      bool
	load        bool // may wait for a load: holds no token
	left        bool // cancelled or overtaken by us
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

func (d *Dispatcher) do(a Action) { d.out = append(d.out, a) }

// BudgetHandover returns what a process that takes over begins with.
func (d *Dispatcher) BudgetHandover() BudgetHandover {
	return BudgetHandover{d.orders.All(), d.arrivals.All()}
}

// mayHaveRun returns the first attempt that may have run, or may yet.
func (r *request) mayHaveRun() *attempt {
	for i := range r.tries {
		if t := &r.tries[i]; !t.done || t.mayRun {
			return t
		}
	}
	return nil
}

func (d *Dispatcher) enqueue(r *request) {
	if r.waiting || r.ended {
		return
	}
	r.waiting = true
	d.activate(r.q)
	d.touch(r.q)
	i, _ := slices.BinarySearchFunc(r.q.pending, r.at+1, func(o *request, after time.Duration) int {
		return cmp.Compare(o.at, after)
	})
	r.q.pending = slices.Insert(r.q.pending, i, r)
}

func (d *Dispatcher) unqueue(r *request) {
	if r.waiting {
		r.waiting = false
		d.touch(r.q)
		r.q.pending = slices.DeleteFunc(r.q.pending, func(o *request) bool { return o == r })
	}
}

// memory returns a worker's by its kind, or 1 where it is not told.
func (d *Dispatcher) memory(w *worker) float64 {
	if m := d.s.Loading.MemoryMB; w.Kind >= 0 && w.Kind < len(m) && m[w.Kind] > 0 {
		return m[w.Kind]
	}
	return 1
}

// runOf returns how long a request is likely to run, in seconds.
func (d *Dispatcher) runOf(q *queue, r *request) float64 {
	return cmp.Or(q.run, max(0, r.RunTimeHint.Seconds()), d.classRun[r.Class])
}
