package scheduler

import "time"

// WorkerID identifies a worker. An ID has no meaning beyond identity and order.
type WorkerID uint64

// RequestID identifies a request. No two open requests of a dispatcher have the same ID.
type RequestID uint64

// FunctionID identifies a function, for example a model or a handler, of which workers load copies.
type FunctionID uint64

// Event is an input of Step: one of the types of this file. Events about unknown requests,
// attempts, workers or functions are ignored.
type Event interface{ event() }

// ListUpdate has the endpoint list, or changes to it.
type ListUpdate struct {
	Kind    ListKind
	Version uint32
	Workers []WorkerInfo
}

// ListKind says whether a ListUpdate is complete and current.
type ListKind int

// Kinds of ListUpdate.
const (
	ListDelta  ListKind = iota + 1 // only the workers that changed
	FullList                       // all workers: missing ones are removed
	CachedList                     // all workers from a cache that may be out of date
	ListFailed                     // the list could not be obtained: nothing changes
)

// WorkerInfo is one entry of the endpoint list.
type WorkerInfo struct {
	ID        WorkerID
	Size      float64       // see Settings.SizeSource
	StartedAt time.Duration // on the clock of Step; 0: long ago
	Group     int           // workers that share a store of idempotency keys: see SameGroup
	Zone      int           // an index into Settings.Zones
	Kind      int           // an index into Settings.Kinds
	State     WorkerState
}

// WorkerState is the state of a worker in the endpoint list.
type WorkerState int

// States of a worker. A worker that is missing from a full list is Removed as well.
const (
	Ready    WorkerState = iota + 1 // accepts requests
	Draining                        // finishes its requests and accepts no new ones
	Removed                         // no longer exists
)

// Arrival is a new request that the controller has taken from a client.
type Arrival struct {
	Request        RequestID
	Class          int // an index into Settings.Classes
	Tenant         int // an index into Settings.Tenants
	Function       FunctionID
	TimeLeft       time.Duration // until the client's deadline
	RunTimeHint    time.Duration // an estimate of the run time
	HasRunTimeHint bool          // RunTimeHint is set
	MemoryMB       float64       // of one copy of the function
	Lanes          float64       // requests that one copy runs at a time
	LoadTime       time.Duration // of one copy; 0: unknown
	ClientRetry    bool          // the client has sent the request before
	Resubmitted    bool          // arrived before under another function, and so earns no load budget
	Write          bool          // the request writes; no decision depends on it
	ShedAdvised    bool          // advice says to reject it
	Weight         float64       // admission weight of its tenant: see admission.admits; 0 counts as 1
	Earlier        *EarlierRun   // the client has sent it before, and it may have run; nil: it has not
}

// EarlierRun describes the first attempt that may have run of a request that has ended, for its
// client may send the same request once more.
type EarlierRun struct {
	At    time.Duration // the earliest time at which it may have been sent, on the clock of Step
	Zone  int           // of its worker, as in WorkerInfo
	Group int           // of its worker, as in WorkerInfo
}

// AttemptEnded reports the outcome of an attempt. The attempts of a request are numbered from 0 in
// the order of their Sends.
type AttemptEnded struct {
	Request      RequestID
	Attempt      int
	Worker       WorkerID
	Outcome      Outcome
	Took         time.Duration // from the Send to this outcome
	Complete     bool          // the client has its answer, and the request needs nothing more
	Note         LoadNote
	SameFunction int       // other requests of the function in flight at the worker
	LoadReport   []float64 // by Settings.LoadReportFields
}

// Outcome is how an attempt, a probe or a load order ended.
type Outcome int

// Outcomes. After one that is marked "never ran", any request may be sent again.
const (
	OK            Outcome = iota + 1 // the response was a success
	Error                            // the response was an error
	AtCapacity                       // rejected by the worker: never ran
	TimedOut                         // no response in time: may have run
	ConnectFailed                    // never ran
	Reset                            // the connection broke: may have run
	Cancelled                        // cancelled by the controller: may have run
	NotStarted                       // never sent: never ran
	NotLoaded                        // the worker has no copy and loads none: never ran
)

// LoadNote says whether an attempt found a loaded copy.
type LoadNote int

// Values of AttemptEnded.Note, which is set only with Loading.ReportsLoadNotes.
const (
	NoLoadNote  LoadNote = iota // unknown
	FoundWarm                   // a copy was loaded
	StartedLoad                 // the attempt started a load
	AwaitedLoad                 // the attempt waited for a load that had started before
	LoadFailed                  // with NotLoaded or Error: a load failed
)

// ResponseStarted says that the response to an attempt has begun to stream.
type ResponseStarted struct {
	Request RequestID
	Attempt int
	Worker  WorkerID
	Took    time.Duration // from the Send
}

// ClientClosed says that the client of a request has left and no longer waits for an answer.
type ClientClosed struct{ Request RequestID }

// Timer is the event that a Wake requested.
type Timer struct{ Token uint64 }

// ProbeEnded reports the outcome of a Probe.
type ProbeEnded struct {
	Worker     WorkerID
	Outcome    Outcome
	Took       time.Duration
	LoadReport []float64 // by Settings.LoadReportFields
}

// PeerMessageReceived is a PeerMessage from another controller.
type PeerMessageReceived struct {
	From    int // its ControllerIndex
	Payload []byte
}

// LoadOrderEnded reports the outcome of a LoadOrder.
type LoadOrderEnded struct {
	Worker   WorkerID
	Function FunctionID
	Outcome  Outcome
	Took     time.Duration
	Copies   int // copies that are loaded now
}

// StagedCopies asks for copies of a function before its first call. The caller of Step repeats the
// event until the copies are loaded.
type StagedCopies struct {
	Function FunctionID
	Copies   int
}

// DesiredCopies advises to keep copies of a function loaded until a time, whether it is called or
// not. It replaces earlier advice on the function.
type DesiredCopies struct {
	Function FunctionID
	Copies   int           // 0: withdraws the advice
	Until    time.Duration // on the clock of Step
}

// WorkerRank advises to prefer or avoid a worker until a time. It replaces earlier advice on the
// worker.
type WorkerRank struct {
	Worker WorkerID
	Rank   int           // above 0: preferred; below 0: after all others; 0: withdraws the advice
	Until  time.Duration // on the clock of Step
}

// BudgetHandover is the state of the load budget that a process takes over from its predecessor.
type BudgetHandover struct {
	Orders   []time.Duration `json:"Orders"`   // times of load orders, earliest first
	Arrivals []time.Duration `json:"Arrivals"` // times of requests, earliest first
}

// Superseded says that another process takes over this controller. Requests in flight are finished,
// but without load orders and without sends to workers that are warming up, because the budgets for
// both have passed to the successor.
type Superseded struct {
	On bool // false: the takeover was cancelled
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
