package workersim

import "time"

// A Function is what a copy is loaded of.
type Function struct {
	Name     string
	MemoryMB float64
	Lanes    int           // calls that one copy runs at a time
	Fetch    time.Duration // from an uncrowded store
	Start    time.Duration
}

// A Spec describes a worker.
type Spec struct {
	Name, Zone, Group string
	Cores, Speed      float64
	MemoryMB          float64
	Queue             int // calls that may wait
	LoadSlots         int // loads at a time; twice as many may wait
	IdleCopyTTL       time.Duration
	Eager             bool // starts a further copy by itself when all lanes are taken
}

// Store describes the shared store.
type Store struct {
	FullRateFetches float64 // fetches that it serves at full pace; more share it
	MaxFetches      int     // fetches in hand beyond which it turns away
}

// SlowStart are the figures of a cold start.
type SlowStart struct {
	WarmupFraction float64
	WarmupTime     time.Duration
	CollapseFactor float64
	CollapseWindow time.Duration
}

// A Config describes a fleet. Window is how long a group drops repeats of a key.
type Config struct {
	Workers     []Spec
	Store       Store
	SlowStart   SlowStart
	DedupWindow time.Duration
}

// A Call is one attempt that a worker is given.
type Call struct {
	ID       uint64
	Function *Function
	Work     float64 // seconds on one core of speed 1
	MeanWork float64 // of its class, for the cold bound
	Key      string  // repeats of it are dropped; "" for none
	Fails    bool    // it ends in an error
}

// Outcome is how a call or an order ended.
type Outcome string

// How a call or an order ends.
const (
	OK         Outcome = "ok"
	AtCapacity Outcome = "full"
	Error      Outcome = "error"
	LoadFailed Outcome = "load-failed" // the load it waited for
	Reset      Outcome = "reset"       // the worker died
)

// Copy states that an answer tells of.
const (
	CopyWasLoaded = 1
	StartedLoad   = 2
	AwaitedLoad   = 3
)

// An Event is something that happened at a worker.
type Event struct {
	Kind         EventKind
	At           time.Duration
	Worker       int
	ID           uint64
	Outcome      Outcome
	CopyState    int
	SameFunction int // calls of the same function that the worker held when this one came
	Copies       int
	Repeat       bool // its key had run: nothing ran
}

// An EventKind says what an Effect tells.
type EventKind int

// What may happen at a worker.
const (
	RunStarted   EventKind = iota + 1 // the call runs
	CallAnswered                      // the call has ended
	OrderEnded                        // the order has ended
	Collapsed                         // the worker fell over
)

// A copyState is one loaded copy.
type copyState struct {
	busy     int
	idle     time.Duration // since
	released bool          // released anew: goes when idle
}

// A call is a Call that a worker has.
type call struct {
	Call
	note          int
	sameFunction  int
	running       bool
	remainingWork float64 // work still to do
	copy          *copyState
}

// A load is a copy being made: fetched from the store, then started.
type load struct {
	function       *Function
	fetching       bool
	remainingFetch float64       // seconds of fetch
	ready          time.Duration // end of the start
	slot           bool
	order          bool // wanted by an order, not just by calls
}

// An order is a load order that has not ended.
type order struct {
	id       uint64
	function *Function
	copies   int
}

// A function is what a worker has of a function.
type function struct {
	spec   *Function
	copies []*copyState
	queue  []*call
}

// A worker is the state of one worker.
type worker struct {
	Spec
	index          int
	up             bool
	fallen         bool
	draining       bool
	started        time.Duration // 0: warm
	speedFactor    float64       // factor on speed
	stolenFraction float64       // share taken by a neighbour
	at             time.Duration // settled up to here
	usedMemoryMB   float64       // MB
	functions      map[string]*function
	names          []string // of funcs, sorted: no order of a map
	calls          map[uint64]*call
	running        []*call
	waiting        int
	loads          []*load
	orders         []*order
	sent           []sent
}

// A sent is work that a warming worker was given, for the bound on it.
type sent struct {
	at   time.Duration
	work float64
}

// A ran is when a key last ran in a group.
type ran struct{ at time.Duration }
