package scheduler

import "time"

// A WorkerID names a worker. It carries no meaning beyond identity and order.
type WorkerID uint64

// A RequestID names one try of a client.
type RequestID uint64

// A FunctionID names a function (a model, a handler): what a copy is loaded of.
type FunctionID uint64

// Idempotency says what running a request twice would do. The zero value is not valid.
type Idempotency int

const (
	Idempotent        Idempotency = iota + 1 // may run any number of times
	IdempotentWithKey                        // a group of workers drops repeats for a while
	NonIdempotent                            // must never run twice
)

// DedupScope says which workers drop the repeats of a keyed request. The zero value is not valid.
type DedupScope int

const (
	AllWorkers DedupScope = iota + 1 // any worker
	SameZone                         // the workers of one zone
	SameGroup                        // the workers of one group
)

// A Class is a kind of request.
type Class struct {
	Name             string
	Idempotency      Idempotency
	DedupScope       DedupScope    // for Keyed
	DedupWindow      time.Duration // for Keyed: how long repeats are dropped, from the first send that may have run
	LatencyObjective time.Duration // an answer within this earns the full worth
	ObjectiveStretch float64       // extra time on the aim, as a multiple of the request's work
	Deadline         time.Duration // the client's patience over all its tries
	PriorityWeight   float64
	LateValue        float64 // part of the worth that an answer after the aim earns
	Stream           bool
}

// A Tenant is a customer with a share of the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests a second within its share, over all controllers
	Share float64
}

// Limits are what the deployment permits.
type Limits struct {
	MaxAttempts           int // for one request
	MaxOpenRequests       int // requests an instance can hold
	HedgedRequests        bool
	Cancel                bool
	Probe                 bool
	Peers                 bool
	RetryAfter            bool
	MaxRetryAfter         time.Duration
	DialTimeout           time.Duration // a connection not up by then has failed
	IdleConnectionTimeout time.Duration // of idle connections
	StreamsPerConnection  int           // attempts one connection carries
	CPUPerRequestUS       float64
	CPUPerSecondUS        float64
}

// Loading states what holds for copies of functions.
type Loading struct {
	Orders              bool          // Hold and Unload are allowed
	LoadsOnMiss         bool          // a worker without the function loads it; otherwise it answers Miss
	OnMissKnown         bool          // the deployment said which of the two
	IdleCopyTTL         time.Duration // an idle copy stays at least this long
	OrderTimeout        time.Duration // longest wait for a Held
	BudgetWindow        time.Duration // of the load budget; 0: none
	BudgetFree          float64       // orders within Window that are always allowed
	BudgetRatio         float64       // further orders for each request taken within Window
	IdlePrice           float64       // for the mean share of memory held by idle or loading copies
	LoadNotesGiven      bool          // Returned.Note is given
	SameFunctionCounted bool          // Returned.Alike is given
	MemoryMB            []float64     // by kind of worker
	X0, X1              string        // what the report values of these names mean
}

// Guarantees are the figures of the rules.
type Guarantees struct {
	AnswerGrace    time.Duration // a final answer this long after the deadline still counts
	DrainGrace     time.Duration // sends to a draining or gone worker stop within this
	PollWithin     time.Duration // where the list must be asked for
	WarmupFraction float64       // a starting worker's part of its capacity
	WarmupTime     time.Duration // and when it is warm at the latest
	CollapseFactor float64       // sent more than this multiple of its present capacity
	CollapseWindow time.Duration // for this long, a cold worker falls over
}

// Goal weighs the parts of the result.
type Goal struct{ Overall, WorstWindow, WorstClass, WorstTenant float64 }

// Prices are taken off the result, each for one unit of what it names.
type Prices struct {
	Connection, CrossZone, LateFail, Discovery, Handshake, Moves, Origin, Peer, Probe, Waste float64
}

// ReportSource says where load reports come from.
type ReportSource int

const (
	NoReports ReportSource = iota
	ReportsInAnswers
	ReportsInProbes
)

// A ReportField names one value of a load report.
type ReportField int

const (
	FieldUnknown ReportField = iota
	FieldInFlight
	FieldQueue
	FieldUtil
	FieldLatencyMS
	FieldRate
	FieldErrorRate
	FieldX0
	FieldX1
)

// SizeMeaning says what WorkerInfo.Size means.
type SizeMeaning int

const (
	SizeNone SizeMeaning = iota
	SizeNominal
	SizeRough
	SizeLive
)

// Settings are given once, at the start of an instance.
type Settings struct {
	ControllerIndex, Controllers int
	Zone                         int
	Zones                        []string
	Tier                         int
	Tiers                        []string
	Kinds                        []string
	Classes                      []Class
	Tenants                      []Tenant
	OverQuotaWeight              float64 // worth of a request over its tenant's share
	WeightByWork                 bool
	ClientsMarkRetries           bool // clients mark their repeats
	PollForList                  bool // the list of workers comes only when asked for
	Tick                         time.Duration
	Workload                     string
	Sizes                        SizeMeaning
	Report                       []ReportField
	ReportVia                    ReportSource
	Limits                       Limits
	Loading                      Loading
	Guarantees                   Guarantees
	Goal                         Goal
	Prices                       Prices
}

// WorkerState is what the list says of a worker.
type WorkerState int

const (
	Ready WorkerState = iota + 1
	Draining
	Gone
)

// WorkerInfo is one line of the list of workers.
type WorkerInfo struct {
	ID        WorkerID
	Size      float64
	StartedAt time.Duration // on the clock of Step; 0: long ago
	Group     int
	Zone      int
	Kind      int
	State     WorkerState
}

// Outcome is how an attempt, a probe or an order ended.
type Outcome int

const (
	OK Outcome = iota + 1
	Error
	AtCapacity // never ran
	TimedOut
	ConnectFailed // never ran
	Reset
	Cancelled
	NotStarted // never ran
	NotLoaded  // never ran
)

// LoadNote says what an answered attempt met at the worker.
type LoadNote int

const (
	NoLoadNote  LoadNote = iota
	FoundWarm            // a copy stood loaded
	StartedLoad          // this request began a load
	AwaitedLoad          // it waited for a load begun before
	LoadFailed           // with Miss or Error: a load failed
)

// An Event is one of List, Arrival, Started, Returned, ClientGone, Timer, Probed, Message, Held, Staged,
// Wanted and Regarded.
type Event interface{ event() }

// ListKind says what a List is.
type ListKind int

const (
	ListDelta ListKind = iota + 1
	FullList
	CachedList
	ListFailed
)

// ListUpdate is news of the workers.
type ListUpdate struct {
	Kind    ListKind
	Version uint32
	Workers []WorkerInfo
}

// Arrival is a request that the instance has taken.
type Arrival struct {
	Request        RequestID
	Class          int
	Tenant         int
	Function       FunctionID
	TimeLeft       time.Duration // how long this try's client still waits
	RunTimeHint    time.Duration // a guess of its core time
	HasRunTimeHint bool
	MemoryMB       float64
	Lanes          float64 // requests one copy runs at a time
	LoadTime       time.Duration
	ClientRetry    bool
	Resubmitted    bool // the instance has taken it before, under another function: it earns no load anew
	Write          bool
	ShedAdvised    bool    // advised to be refused
	Weight         float64 // of its tenant, where fewer than all pass; 0: 1
}

// ResponseStarted says that a streamed answer has begun.
type ResponseStarted struct {
	Request RequestID
	Attempt int
	Worker  WorkerID
	Took    time.Duration
}

// AttemptEnded ends one attempt.
type AttemptEnded struct {
	Request      RequestID
	Attempt      int
	Worker       WorkerID
	Outcome      Outcome
	Took         time.Duration
	Complete     bool // the request is finished
	Note         LoadNote
	SameFunction int // requests of the function that the worker already held
	Report       []float64
}

// ClientGone says that the client has left.
type ClientGone struct{ Request RequestID }

// Timer is a Wake come due.
type Timer struct{ Token uint64 }

// ProbeEnded answers a Probe.
type ProbeEnded struct {
	Worker  WorkerID
	Outcome Outcome
	Took    time.Duration
	Report  []float64
}

// GossipMessage comes from another instance.
type GossipMessage struct {
	From    int
	Payload []byte
}

// LoadOrderEnded answers a Hold.
type LoadOrderEnded struct {
	Worker   WorkerID
	Function FunctionID
	Outcome  Outcome
	Took     time.Duration
	Copies   int
}

// StagedCopies says that copies of a function are wanted before it is called.
type StagedCopies struct {
	Function FunctionID
	Copies   int
}

// DesiredCopies advises that copies of a function stand until a time, called or not. It replaces what was
// said before.
type DesiredCopies struct {
	Function FunctionID
	Copies   int // 0: no longer
	Until    time.Duration
}

// WorkerRank advises how a worker is to be looked at until a time. It replaces what was said before.
type WorkerRank struct {
	Worker WorkerID
	Rank   int // above 0: rather than others; below: after all others; 0: as any
	Until  time.Duration
}

// BudgetHandover begins with what another process has used up for this controller: when it ordered loads,
// and when requests came.
type BudgetHandover struct {
	Orders   []time.Duration `json:"Orders"`
	Arrivals []time.Duration `json:"Arrivals"`
}

// Superseded says that another process takes over: what is in hand is finished, with no order to load and
// nothing more to a cold worker, as the other one now has both budgets. On false it is so no longer.
type Superseded struct{ On bool }

func (BudgetHandover) event()  {}
func (Superseded) event()      {}
func (DesiredCopies) event()   {}
func (WorkerRank) event()      {}
func (ListUpdate) event()      {}
func (StagedCopies) event()    {}
func (Arrival) event()         {}
func (ResponseStarted) event() {}
func (AttemptEnded) event()    {}
func (ClientGone) event()      {}
func (Timer) event()           {}
func (ProbeEnded) event()      {}
func (GossipMessage) event()   {}
func (LoadOrderEnded) event()  {}

// An Action is one of the types below.
type Action interface{ action() }

// Send gives a request to a worker.
type Send struct {
	Request RequestID
	Worker  WorkerID
	Timeout time.Duration // 0: until the client leaves
}

// Reject is a final answer: no, and another try does no harm.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // advice for the client's next try
}

// Fail is a final answer that promises nothing.
type Fail struct{ Request RequestID }

// Cancel gives up one attempt.
type Cancel struct {
	Request RequestID
	Attempt int
}

// Wake asks for a Timer at a time of the clock.
type Wake struct {
	At    time.Duration
	Token uint64
}

// Probe asks a worker for its health.
type Probe struct{ Worker WorkerID }

// Close frees the idle connections to a worker.
type Close struct{ Worker WorkerID }

// Everyone addresses a Tell to all other instances.
const Everyone = -1

// Gossip sends up to 256 bytes to another instance.
type Gossip struct {
	To      int
	Payload []byte
}

// Log is a line for the operators.
type Log struct{ Text string }

// Watch subscribes to the list of workers, or ends that.
type Watch struct{ On bool }

// Fetch asks once for the whole list of workers.
type Fetch struct{}

// LoadOrder asks a worker to hold at least Copies of a function; 0 only asks how many stand.
type LoadOrder struct {
	Worker   WorkerID
	Function FunctionID
	Copies   int
}

// Unload drops the idle copies of a function.
type Unload struct {
	Worker   WorkerID
	Function FunctionID
}

func (Send) action()      {}
func (Reject) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Wake) action()      {}
func (Probe) action()     {}
func (Close) action()     {}
func (Gossip) action()    {}
func (Log) action()       {}
func (Watch) action()     {}
func (Fetch) action()     {}
func (LoadOrder) action() {}
func (Unload) action()    {}
