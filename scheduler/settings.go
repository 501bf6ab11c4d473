package scheduler

import "time"

// Settings are what a dispatcher is given once, at its start. New rejects settings that contradict
// themselves. Fields that today's decisions do not read are part of the interface all the same: callers
// fill them in, so that a decision may come to depend on them.
type Settings struct {
	ControllerIndex    int               // of this controller, from 0
	Controllers        int               // all that share the workers, this one included; at least 1
	Zone               int               // of this controller: an index into Zones
	Zones              []string          // names, for people only
	Tier               int               // an index into Tiers
	Tiers              []string          // names, for people only
	Kinds              []string          // of workers: names, for people only
	Classes            []Class           // at least one; Arrival.Class is an index into them
	Tenants            []Tenant          // Arrival.Tenant is an index into them
	OverQuotaWeight    float64           // priority weight of a request beyond its tenant's quota
	WeightByRunTime    bool              // an answer's value grows with its run time
	ClientsMarkRetries bool              // Arrival.ClientRetry is given
	PollEndpoints      bool              // the list of workers comes only when it is asked for
	Tick               time.Duration     // longest time between two steps while a request is open
	Workload           string            // name, for people only
	SizeSource         SizeSource        // of WorkerInfo.Size
	LoadReportFields   []LoadReportField // meaning of the values of a load report, in order
	LoadReportSource   LoadReportSource
	Limits             Limits
	Loading            Loading
	Guarantees         Guarantees
	Goal               Goal
	Prices             Prices
}

// A Class is a kind of request: what it is worth, how long it may take and whether it may be sent twice. A
// DedupWindow begins with the first send that may have run.
type Class struct {
	Name             string // for people only: nothing is decided by it
	Idempotency      Idempotency
	DedupScope       DedupScope    // with IdempotentWithKey
	DedupWindow      time.Duration // with IdempotentWithKey: repeats are dropped so long
	LatencyObjective time.Duration // an answer within this has its full value; above 0
	ObjectiveStretch float64       // added to the objective, as a multiple of the request's run time
	Deadline         time.Duration // longest that a client waits, over all its retries; above 0
	PriorityWeight   float64       // value of an answer within the objective
	LateValue        float64       // part of the value that an answer after the objective still has
	Stream           bool          // answers are streamed
}

// Idempotency says what running a request twice would do. The zero value is not valid.
type Idempotency int

// Values of Class.Idempotency.
const (
	Idempotent        Idempotency = iota + 1 // may run any number of times
	IdempotentWithKey                        // a group of workers drops repeats for a while
	NonIdempotent                            // must never run twice
)

// DedupScope says which workers drop the repeats of a request with an idempotency key. The zero value is not
// valid where it applies.
type DedupScope int

// Values of Class.DedupScope.
const (
	AllWorkers DedupScope = iota + 1 // any worker
	SameZone                         // the workers of one zone
	SameGroup                        // the workers of one group
)

// A Tenant is a customer with a share of the fleet.
type Tenant struct {
	Name  string  // for people only
	Quota float64 // requests a second, over all controllers
	Share float64 // of the fleet, 0 to 1
}

// Limits are what the deployment permits, and what its connections cost.
type Limits struct {
	MaxAttempts           int           // for one request; at least 1
	MaxOpenRequests       int           // requests that one controller can hold
	HedgedRequests        bool          // a second attempt may be outstanding beside the first
	Cancel                bool          // the Cancel action is allowed
	Probe                 bool          // the Probe action is allowed
	Peers                 bool          // the PeerMessage action is allowed
	RetryAfter            bool          // Reject.RetryAfter reaches the client
	MaxRetryAfter         time.Duration // longest that clients follow
	DialTimeout           time.Duration // a connection that is not up by then has failed
	IdleConnectionTimeout time.Duration // an idle connection is closed after this
	StreamsPerConnection  int           // attempts that one connection carries at a time
	CPUPerRequestUS       float64       // of the controller, in microseconds for each request
	CPUPerSecondUS        float64       // of the controller, in microseconds for each second
}

// Loading says how workers load and keep copies of functions, and how many loads may be ordered.
type Loading struct {
	Orders              bool          // the LoadOrder and Unload actions are allowed
	LoadsOnMiss         bool          // a worker without the function loads it; else NotLoaded
	OnMissKnown         bool          // LoadsOnMiss is stated; New requires it
	IdleCopyTTL         time.Duration // an idle copy stays loaded at least this long
	OrderTimeout        time.Duration // longest that a LoadOrderEnded takes
	BudgetWindow        time.Duration // of the load budget; 0: there is none
	BudgetFree          float64       // orders that are always allowed within the window
	BudgetRatio         float64       // further orders for each request that came within the window
	IdlePrice           float64       // for the mean part of memory that idle and loading copies hold
	ReportsLoadNotes    bool          // AttemptEnded.Note is given
	ReportsSameFunction bool          // AttemptEnded.SameFunction is given
	MemoryMB            []float64     // of a worker, by kind
	X0                  string        // what FieldX0 means, for people only
	X1                  string        // what FieldX1 means, for people only
}

// Guarantees are the figures of the rules between controllers, workers and clients.
type Guarantees struct {
	AnswerGrace     time.Duration // a final answer this long after the deadline still counts
	DrainGrace      time.Duration // sends to a draining or gone worker end within this
	MaxPollInterval time.Duration // with PollEndpoints: the list is asked for at least this often
	WarmupFraction  float64       // part of its capacity that a worker has at its start
	WarmupTime      time.Duration // its capacity has grown to the whole by then
	CollapseFactor  float64       // a warming worker collapses if sent more than this multiple of its capacity
	CollapseWindow  time.Duration // for this long
}

// Goal weighs the parts of the result that a deployment is judged by.
type Goal struct {
	Overall     float64 // value of all answers
	WorstWindow float64 // the worst stretch of time
	WorstClass  float64 // the worst served class
	WorstTenant float64 // the worst served tenant
}

// Prices are taken off the result, each for one unit of what it names in the terms of the deployment.
type Prices struct {
	Connection, CrossZone, LateFail, Discovery, Handshake, Moves, Origin, Peer, Probe, Waste float64
}

// SizeSource says what WorkerInfo.Size is.
type SizeSource int

// Values of Settings.SizeSource.
const (
	SizeNone      SizeSource = iota // not given
	SizeNominal                     // as configured
	SizeEstimated                   // an estimate
	SizeMeasured                    // as measured now
)

// LoadReportSource says where load reports come from.
type LoadReportSource int

// Values of Settings.LoadReportSource.
const (
	NoLoadReports          LoadReportSource = iota // there are none
	LoadReportsInResponses                         // with AttemptEnded
	LoadReportsInProbes                            // with ProbeEnded
)

// A LoadReportField is the meaning of one value of a load report.
type LoadReportField int

// Values of Settings.LoadReportFields.
const (
	FieldUnknown     LoadReportField = iota // it is to be ignored
	FieldInFlight                           // requests at the worker
	FieldQueue                              // of them, those that wait
	FieldUtilization                        // utilization, 0 to 1
	FieldLatencyMS                          // recent latency, milliseconds
	FieldRate                               // answers a second
	FieldErrorRate                          // errors a second
	FieldX0                                 // see Loading.X0
	FieldX1                                 // see Loading.X1
)
