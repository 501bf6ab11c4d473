package scheduler

import "time"

// A WorkerID names a worker. It has no meaning beyond identity and order.
type WorkerID uint64

// A RequestID names one request of a client. No two requests of a dispatcher share one while either is open.
type RequestID uint64

// A FunctionID names a function (a model, a handler): that of which workers load copies.
type FunctionID uint64

// An Event reports something to a dispatcher in a step: it is one of the types of this file. Events about
// requests, attempts, workers and functions that it does not know are ignored.
type Event interface{ event() }

// ListUpdate brings the list of workers, or changes of it.
type ListUpdate struct {
	Kind    ListKind
	Version uint32
	Workers []WorkerInfo
}

// ListKind says how complete a ListUpdate is, and how far it can be trusted.
type ListKind int

// Kinds of ListUpdate.
const (
	ListDelta  ListKind = iota + 1 // only the workers that changed
	FullList                       // all workers: those missing are gone
	CachedList                     // all workers as last known: it may be out of date
	ListFailed                     // the list could not be had: nothing changes
)

// WorkerInfo is one line of the list of workers.
type WorkerInfo struct {
	ID        WorkerID
	Size      float64       // see Settings.SizeSource
	StartedAt time.Duration // on the clock of Step; 0: long ago
	Group     int           // workers that share an idempotency store: see SameGroup
	Zone      int           // an index into Settings.Zones
	Kind      int           // an index into Settings.Kinds
	State     WorkerState
}

// WorkerState is what the list says of a worker.
type WorkerState int

// States of a worker. One that is missing from a full list is Gone as well.
const (
	Ready    WorkerState = iota + 1 // takes requests
	Draining                        // finishes what it has and takes nothing new
	Removed                         // it is no longer there
)

// Arrival is a request that the controller has accepted from a client.
type Arrival struct {
	Request        RequestID
	Class          int // an index into Settings.Classes
	Tenant         int // an index into Settings.Tenants
	Function       FunctionID
	TimeLeft       time.Duration // how long the client still waits for this request
	RunTimeHint    time.Duration // an estimate of its run time
	HasRunTimeHint bool
	MemoryMB       float64       // of one copy of the function
	Lanes          float64       // requests that one copy runs at a time
	LoadTime       time.Duration // of one copy; 0: not known
	ClientRetry    bool          // the client has sent it before
	Resubmitted    bool          // accepted before, under another function: it earns no load budget
	Write          bool
	ShedAdvised    bool    // advice is to reject it
	Weight         float64 // of its tenant while load is shed: above 1 is admitted more often; 0 counts as 1
}

// AttemptEnded ends one attempt of a request. Attempts are numbered from 0 in the order of their Sends.
type AttemptEnded struct {
	Request      RequestID
	Attempt      int
	Worker       WorkerID
	Outcome      Outcome
	Took         time.Duration // from the Send to this outcome
	Complete     bool          // the client has its answer: nothing more is to be done
	Note         LoadNote
	SameFunction int       // requests of the function that the worker already had
	LoadReport   []float64 // by Settings.LoadReportFields
}

// Outcome is how an attempt, a probe or an order ended.
type Outcome int

// Outcomes. Those that say never ran leave any request free to be sent again.
const (
	OK            Outcome = iota + 1 // answered
	Error                            // answered, with an error
	AtCapacity                       // rejected by the worker: never ran
	TimedOut                         // no answer in time: it may have run
	ConnectFailed                    // never ran
	Reset                            // the connection broke: it may have run
	Cancelled                        // by us: it may have run
	NotStarted                       // never sent
	NotLoaded                        // the worker has no copy and loads none: never ran
)

// LoadNote says whether an answered attempt met a loaded copy.
type LoadNote int

// Notes on loads. They are given only with Loading.ReportsLoadNotes.
const (
	NoLoadNote  LoadNote = iota // nothing is known
	FoundWarm                   // a copy was loaded
	StartedLoad                 // this request began a load
	AwaitedLoad                 // it waited for a load that was under way
	LoadFailed                  // with NotLoaded or Error: a load failed
)

// ResponseStarted says that the answer of an attempt has begun to stream.
type ResponseStarted struct {
	Request RequestID
	Attempt int
	Worker  WorkerID
	Took    time.Duration // from the Send
}

// ClientClosed says that the client of a request has left: nobody waits for its answer.
type ClientClosed struct{ Request RequestID }

// Timer is a Wake that is due.
type Timer struct{ Token uint64 }

// ProbeEnded answers a Probe.
type ProbeEnded struct {
	Worker     WorkerID
	Outcome    Outcome
	Took       time.Duration
	LoadReport []float64 // by Settings.LoadReportFields
}

// PeerMessageReceived comes from another controller.
type PeerMessageReceived struct {
	From    int // its ControllerIndex
	Payload []byte
}

// LoadOrderEnded answers a LoadOrder.
type LoadOrderEnded struct {
	Worker   WorkerID
	Function FunctionID
	Outcome  Outcome
	Took     time.Duration
	Copies   int // loaded now
}

// StagedCopies asks for copies of a function before it is called for the first time. The caller repeats it
// until they are loaded.
type StagedCopies struct {
	Function FunctionID
	Copies   int
}

// DesiredCopies advises that copies of a function are kept loaded until a time, called or not. It replaces
// earlier advice on the function.
type DesiredCopies struct {
	Function FunctionID
	Copies   int           // 0 withdraws the advice
	Until    time.Duration // on the clock of Step
}

// WorkerRank advises how a worker compares with the others until a time. It replaces earlier advice on the
// worker.
type WorkerRank struct {
	Worker WorkerID
	Rank   int           // above 0: preferred; below 0: after all others; 0 withdraws the advice
	Until  time.Duration // on the clock of Step
}

// BudgetHandover is what a process that takes over a controller begins with: the part of the load budget that
// its predecessor has earned and used.
type BudgetHandover struct {
	Orders   []time.Duration `json:"Orders"`   // times of load orders, the earliest first
	Arrivals []time.Duration `json:"Arrivals"` // times of requests, the earliest first
}

// Superseded says that another process takes over this controller. What is in flight is finished, but without
// load orders and without sends to warming workers, as the successor now has the budgets for both.
type Superseded struct {
	On bool // false: the takeover was called off
}

func (ListUpdate) event()          {}
func (Arrival) event()             {}
func (AttemptEnded) event()        {}
func (ResponseStarted) event()     {}
func (ClientClosed) event()        {}
func (Timer) event()               {}
func (ProbeEnded) event()          {}
func (PeerMessageReceived) event() {}
func (LoadOrderEnded) event()      {}
func (StagedCopies) event()        {}
func (DesiredCopies) event()       {}
func (WorkerRank) event()          {}
func (BudgetHandover) event()      {}
func (Superseded) event()          {}
