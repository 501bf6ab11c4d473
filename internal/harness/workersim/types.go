package workersim

import "time"

// A Function describes a function and the cost of loading a copy of it.
type Function struct {
	Name     string
	MemoryMB float64
	Lanes    int           // calls that one copy runs at a time
	Fetch    time.Duration // time at the full rate of the store
	Start    time.Duration // time from the end of the fetch until the copy is loaded
}

// A Spec describes a worker.
type Spec struct {
	Name, Zone, Group string
	Cores, Speed      float64
	MemoryMB          float64
	Queue             int // most calls that wait
	LoadSlots         int // loads that proceed at a time; twice as many may wait
	IdleCopyTTL       time.Duration
	Eager             bool // loads a further copy without an order when all lanes are busy
}

// Store describes the shared store.
type Store struct {
	FullRateFetches float64 // fetches served at the full rate; more share it
	MaxFetches      int     // most fetches in flight; further ones are rejected; 0 for no limit
}

// SlowStart has the parameters of warming up after a start.
type SlowStart struct {
	WarmupFraction float64
	WarmupTime     time.Duration
	CollapseFactor float64
	CollapseWindow time.Duration
}

// A Config describes a fleet. DedupWindow is how long a group deduplicates the calls of a key.
type Config struct {
	Workers     []Spec
	Store       Store
	SlowStart   SlowStart
	DedupWindow time.Duration
}

// A Call is one attempt that is sent to a worker.
type Call struct {
	ID       uint64
	Function *Function
	Work     float64 // seconds on one core of speed 1
	MeanWork float64 // mean of its class, for the slow-start bound
	Key      string  // calls with the same key are deduplicated; "" for none
	Fails    bool    // the call ends in an error
}

// Outcome is the outcome of a call or of a load order.
type Outcome string

// The outcomes of calls and load orders.
const (
	OK         Outcome = "ok"
	AtCapacity Outcome = "full"
	Error      Outcome = "error"
	LoadFailed Outcome = "load-failed" // the load for which it waited failed
	Reset      Outcome = "reset"       // the worker was killed or collapsed
)

// States of a call's copy, as a response reports them.
const (
	CopyWasLoaded = 1
	StartedLoad   = 2
	AwaitedLoad   = 3
)

// An Event is the start or the end of a call, the end of a load order, or the collapse of a worker.
type Event struct {
	Kind         EventKind
	At           time.Duration
	Worker       int
	ID           uint64
	Outcome      Outcome
	CopyState    int
	SameFunction int // calls of the same function at the worker when this one arrived
	Copies       int
	Repeat       bool // the call was deduplicated and did not run
}

// An EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	RunStarted   EventKind = iota + 1 // the call started to run
	CallAnswered                      // the call has ended
	OrderEnded                        // the load order has ended
	Collapsed                         // the worker collapsed
)

// A loadedCopy is one loaded copy.
type loadedCopy struct {
	busyLanes int
	idleSince time.Duration
	released  bool // removed as soon as it is idle
}

// A call is the state of a Call at a worker.
type call struct {
	Call
	copyState     int
	sameFunction  int
	running       bool
	remainingWork float64 // in seconds on one core of speed 1
	copy          *loadedCopy
}

// A load is a copy that is being loaded: fetched from the store, then started.
type load struct {
	function       *Function
	fetching       bool
	remainingFetch float64       // in seconds at the full rate
	readyAt        time.Duration // when the copy has started
	hasSlot        bool
	byOrder        bool // requested by a load order, not only by calls
}

// An order is a load order that has not ended.
type order struct {
	id       uint64
	function *Function
	copies   int
}

// A function is the state of a function at a worker.
type function struct {
	spec   *Function
	copies []*loadedCopy
	queue  []*call
}

// A worker is the state of one worker.
type worker struct {
	Spec
	index          int
	up             bool
	collapsed      bool
	draining       bool
	started        time.Duration // 0 if it has run since the beginning
	speedFactor    float64       // factor on Speed
	stolenFraction float64       // of the cores, used by another workload
	updatedAt      time.Duration // time up to which its state is current
	usedMemoryMB   float64
	functions      map[string]*function
	functionNames  []string // keys of functions, sorted so that results do not depend on the order of a map
	calls          map[uint64]*call
	running        []*call
	waiting        int
	loads          []*load
	orders         []*order
	recentWork     []sentWork
}

// A sentWork is work that was sent to a worker while it warms up.
type sentWork struct {
	at   time.Duration
	work float64
}

// A completedKey has the time at which a group last ran a key.
type completedKey struct{ at time.Duration }
