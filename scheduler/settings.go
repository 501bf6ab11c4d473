package scheduler

import "time"

// Settings configure a dispatcher when it is created. New rejects settings that contradict each
// other. Some fields are not read by any decision yet. Callers set them all the same, so that a
// later decision can depend on them.
type Settings struct {
	ControllerIndex int // index of this controller, from 0
	// Controllers is how many controllers share the workers, including this one; at least 1.
	Controllers        int
	Zone               int               // zone of this controller: an index into Zones
	Zones              []string          // names, for display only
	Tier               int               // an index into Tiers
	Tiers              []string          // names, for display only
	Kinds              []string          // names of the kinds of workers, for display only
	Classes            []Class           // at least one; Arrival.Class is an index into them
	Tenants            []Tenant          // Arrival.Tenant is an index into them
	OverQuotaWeight    float64           // priority weight of a request beyond its tenant's quota
	WeightByRunTime    bool              // an answer's value grows with its run time
	ClientsMarkRetries bool              // Arrival.ClientRetry is set
	PollEndpoints      bool              // the endpoint list comes only in response to FetchEndpoints
	Tick               time.Duration     // shortest time between two steps
	Workload           string            // name, for display only
	SizeSource         SizeSource        // origin of WorkerInfo.Size
	LoadReportFields   []LoadReportField // meaning of the values of a load report, in order
	LoadReportSource   LoadReportSource
	Limits             Limits
	Loading            Loading
	Guarantees         Guarantees
	Goal               Goal
	Prices             Prices
}

// Class is a group of requests with the same value, latency objective, deadline and idempotency.
type Class struct {
	Name             string // for display only: no decision depends on it
	Idempotency      Idempotency
	DedupScope       DedupScope    // with IdempotentWithKey
	DedupWindow      time.Duration // with IdempotentWithKey: from the first send that may have run
	LatencyObjective time.Duration // an answer within this time has its full value; above 0
	ObjectiveStretch float64       // added to the objective, as a multiple of the request's run time
	Deadline         time.Duration // longest that a client waits, over all its retries; above 0
	PriorityWeight   float64       // value of an answer within the objective
	LateValue        float64       // fraction of the value that an answer after the objective has
	Stream           bool          // responses are streamed
}

// Idempotency says whether a request may run more than once. The zero value is not valid.
type Idempotency int

// Values of Class.Idempotency.
const (
	Idempotent        Idempotency = iota + 1 // may run any number of times
	IdempotentWithKey                        // workers of DedupScope drop repeats within DedupWindow
	NonIdempotent                            // must never run twice
)

// DedupScope says which workers drop repeats of a request with an idempotency key. The zero value
// is not valid in a class of IdempotentWithKey.
type DedupScope int

// Values of Class.DedupScope.
const (
	AllWorkers DedupScope = iota + 1 // any worker
	SameZone                         // the workers of one zone
	SameGroup                        // the workers of one group
)

// Tenant is a customer with a share of the fleet.
type Tenant struct {
	Name  string  // for display only
	Quota float64 // requests per second, over all controllers
	Share float64 // fraction of the fleet, 0 to 1
}

// Limits are what the deployment allows, and what its connections cost.
type Limits struct {
	MaxAttempts           int           // for one request; at least 1
	MaxOpenRequests       int           // requests that one controller can hold
	MaxFunctions          int           // functions that are remembered beside those in use; 0: any number
	HedgedRequests        bool          // a second attempt may be outstanding beside the first
	Cancel                bool          // the Cancel action is allowed
	Probe                 bool          // the Probe action is allowed
	Peers                 bool          // the PeerMessage action is allowed
	RetryAfter            bool          // Reject.RetryAfter reaches the client
	MaxRetryAfter         time.Duration // longest retry delay that clients follow
	DialTimeout           time.Duration // an attempt to connect fails after this time
	IdleConnectionTimeout time.Duration // an idle connection is closed after this time
	StreamsPerConnection  int           // attempts that one connection carries at a time
	CPUPerRequestUS       float64       // CPU time of the controller for each request, microseconds
	CPUPerSecondUS        float64       // CPU time of the controller for each second, microseconds
}

// Loading says how workers load and keep copies of functions, and how many loads may be ordered.
type Loading struct {
	Orders              bool          // the LoadOrder and Unload actions are allowed
	LoadsOnMiss         bool          // a worker without a copy loads one; otherwise NotLoaded
	OnMissKnown         bool          // LoadsOnMiss has been set; New requires it
	IdleCopyTTL         time.Duration // an idle copy stays loaded at least this long
	OrderTimeout        time.Duration // longest time until a LoadOrderEnded
	BudgetWindow        time.Duration // window of the load budget; 0: no limit
	BudgetFree          float64       // load orders that are always allowed within the window
	BudgetRatio         float64       // further load orders for each request within the window
	IdlePrice           float64       // cost of the mean fraction of memory in idle and loading copies
	ReportsLoadNotes    bool          // AttemptEnded.Note is set
	ReportsSameFunction bool          // AttemptEnded.SameFunction is set
	MemoryMB            []float64     // memory of a worker, by kind
	X0                  string        // meaning of FieldX0, for display only
	X1                  string        // meaning of FieldX1, for display only
}

// Guarantees are the time limits and factors that controllers, workers and clients rely on.
type Guarantees struct {
	AnswerGrace     time.Duration // an answer this long after the deadline still counts
	DrainGrace      time.Duration // sends to a draining or removed worker end within this time
	MaxPollInterval time.Duration // with PollEndpoints: longest time between two FetchEndpoints
	WarmupFraction  float64       // fraction of its capacity that a worker has at its start
	WarmupTime      time.Duration // a worker has its whole capacity after this time
	// CollapseFactor is the multiple of its capacity above which a worker that is warming up
	// collapses.
	CollapseFactor float64
	CollapseWindow time.Duration // time for which it has to be sent that much to collapse
}

// Goal has the weights of the values by which a deployment is judged.
type Goal struct {
	Overall     float64 // value of all answers
	WorstWindow float64 // value in the worst stretch of time
	WorstClass  float64 // value of the worst served class
	WorstTenant float64 // value of the worst served tenant
}

// Prices are deducted from the value of the answers. Each is the price of one unit, as the
// deployment counts them.
type Prices struct {
	Connection, CrossZone, LateFail, Discovery, Handshake, Moves, Origin, Peer, Probe, Waste float64
}

// SizeSource says where WorkerInfo.Size comes from.
type SizeSource int

// Values of Settings.SizeSource.
const (
	SizeNone      SizeSource = iota // not set
	SizeNominal                     // from the configuration
	SizeEstimated                   // a rough estimate
	SizeMeasured                    // the latest measurement
)

// LoadReportSource says how load reports arrive.
type LoadReportSource int

// Values of Settings.LoadReportSource.
const (
	NoLoadReports          LoadReportSource = iota // they do not
	LoadReportsInResponses                         // with AttemptEnded
	LoadReportsInProbes                            // with ProbeEnded
)

// LoadReportField is the meaning of one value of a load report.
type LoadReportField int

// Values of Settings.LoadReportFields.
const (
	FieldUnknown     LoadReportField = iota // ignored
	FieldInFlight                           // requests at the worker
	FieldQueue                              // requests that wait at the worker
	FieldUtilization                        // utilization, 0 to 1
	FieldLatencyMS                          // recent latency, milliseconds
	FieldRate                               // responses per second
	FieldErrorRate                          // errors per second
	FieldX0                                 // see Loading.X0
	FieldX1                                 // see Loading.X1
)
