// Package gateway runs the decision module on real time and real sockets. One goroutine owns the Dispatcher; fronts,
// back ends and discovery hand it events by bounded queues; it steps at most once a tick with all that came, and
// carries each action out. It decides nothing itself: which worker, which retry, which refusal is the module's.
// Only a served answer does not wait for the loop: it goes out as it comes in, and is claimed first.
//
// Bounds. Requests in hand: Settings.Limits.Open, beyond which Submit says no at once. Outcomes: one for each
// attempt, order or question out, so the module's own limits bound them; they are never dropped. Lists: one
// waiting; a newer whole list replaces it, deltas are merged into it. So no sender ever waits for the loop, and the
// loop waits for nobody: answers are handed over without blocking, and the back end has goroutines of its own.
package gateway

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/backend"
	"kitehub/internal/clock"
	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
	"kitehub/internal/registry"
	"kitehub/scheduler"
)

// A Transport sends attempts, orders and questions to workers. backend.Backend and frame.Backend are. Send and Hold must
// not wait for the network, and call back once, on another goroutine; Cancel of what they
// began may call back itself.
type Transport interface {
	Send(backend.Attempt, func(backend.Result)) backend.Running
	LoadCopies(backend.LoadOrder, func(scheduler.Outcome, int, time.Duration))
	Unload(scheduler.WorkerID, string)
	Probe(scheduler.WorkerID, func(scheduler.Outcome, time.Duration, []float64))
	CloseIdle(scheduler.WorkerID)
	Update([]backend.Endpoint)
}

// A Lister gets the list of workers where it must be asked for.
type Lister interface {
	Watch(on bool)
	Fetch()
}

// Peers carries the module's words to other controllers.
type Peers interface{ Send(to int, payload []byte) }

// Config sets up a Gateway. Lister and Peers may be nil.
type Config struct {
	Name      string
	Settings  scheduler.Settings
	Seed      uint64
	Clock     clock.Clock
	Transport Transport
	Lister    Lister
	Peers     Peers
	Versions  Versions // nil: no call is Bound
	Hooks     Hooks    // nil: none
	// NameOf, where set, gives the name of a function by its number, which then needs not be made known: no table grows
	// with the names that clients come up with.
	NameOf          func(scheduler.FunctionID) string
	MaxExplanations int // calls that are kept for Explain once they are answered; 0: none
	Log             zerolog.Logger
	OmitRequestLog  bool // no closing line for each request
}

// Versions is what the registry says of the versions of models.
type Versions interface {
	MayAnswer(registry.Name, registry.Target) registry.Verdict
	CopiesReady(function, worker string, copies int)
}

// Hooks are what operators' scripts see of the gateway, and say of calls. hookengine.Engine is one. None may block.
type Hooks interface {
	// Arrive judges a call that is being taken; Left is told when it is answered.
	Arrive(hooklang.Call) hookadvice.Verdict
	CallEnded(tenant string)
	Post(point string, e hooklang.Event)
	Workers([]hookadvice.Worker)
}

// VersionBinding is what a call of a model's alias was resolved to.
type VersionBinding struct {
	Name     registry.Name
	Target   registry.Target
	Restarts int // that the call began anew before
}

// AnswerKind is how a request ended.
type AnswerKind int

const (
	Served       AnswerKind = iota + 1
	Rejected                // trying again does no harm
	Failed                  // promises nothing
	ClientClosed            // the client left first
	Superseded              // no answer: the alias has left the call's version, or may have; see Answer.Verdict
)

func (k AnswerKind) String() string {
	return [...]string{"", "served", "refused", "failed", "gone", "left"}[k]
}

// An Answer is the final one of a request.
type Answer struct {
	Kind             AnswerKind
	Body             []byte        // where served
	RetryAfter       time.Duration // where refused: advice for the next try, 0 for none
	DeadlineExceeded bool          // where failed: the time was up, not the attempts
	// MayHaveRun tells, where the client is gone or the version left, that an attempt may have run.
	MayHaveRun bool
	Verdict    registry.Verdict // where left: Left or NoLease
}

// A Call is what a front submits.
type Call struct {
	ID          string // for the log
	Function    *Function
	Binding     *VersionBinding // nil: the function has no versions
	Tenant      int
	Client      string
	Body        []byte
	TimeLeft    time.Duration // how long the client still waits
	Key         string        // "" where the class has none
	Trace       [16]byte      // trace id
	Retry       bool
	RunTimeHint time.Duration
	// Deliver is called once, on any goroutine; with Gone after a Cancel. It must not block.
	Deliver func(Answer)
	// Progress, where set, is told of each attempt that goes out, and whether it may wait for a load. It must not block.
	Progress    func(attempt int, worker string, load bool)
	verdict     hookadvice.Verdict
	submittedAt time.Duration // when it was submitted
}

// Counts of what was answered, and of the loop.
type Counts struct {
	Served, Rejected, Failed, ClientClosed, Superseded, OverCapacity, Steps, Crashes atomic.Int64
	// Mismatched counts answers of workers that ran other bytes than they were asked to: none is handed out.
	Mismatched atomic.Int64
	// StepNanos is the time spent in the module, MaxStepDelayNanos the longest that a step came after its time.
	StepNanos, MaxStepDelayNanos atomic.Int64
}

// A Gateway is one controller. It is safe for concurrent use.
type Gateway struct {
	cfg       Config
	Counts    Counts
	openCount atomic.Int64
	nextID    atomic.Uint64
	killed    atomic.Bool

	mu             sync.Mutex // guards what is below
	pendingEvents  []scheduler.Event
	pendingCalls   map[scheduler.RequestID]*Call // arrivals in in
	pendingResults map[attemptKey]backend.Result // of the Returned in in
	pendingList    *scheduler.ListUpdate
	endpoints      []backend.Endpoint
	directory      directory
	stopped        bool
	recheckPending bool // aliases have moved: see Sweep

	wake      chan struct{}
	stop      chan struct{}
	done      chan struct{}
	loopTasks chan func()

	// Owned by the loop.
	dispatcher *scheduler.Dispatcher
	inFlight   map[scheduler.RequestID]*request
	nextWake   time.Duration // next Wake; 0: none
	wakeups    []scheduler.Wake
	rng        *rand.Rand
	restarts   uint64
	answered   explanationRing
}

type attemptKey struct {
	request scheduler.RequestID
	attempt int
}

// An request is a request until it is answered and all its attempts have ended. It is the loop's, but for claimed.
type request struct {
	call           *Call
	submittedAt    time.Duration
	claimed        atomic.Int32 // the Kind of its one final answer: whoever sets it from 0 gives it
	recorded       bool         // the answer is counted and logged
	digestMismatch atomic.Bool  // other bytes ran under its key: the group that drops its repeats would give their answer
	attempts       []attempt
	outstanding    int
}

// claim takes the right to give the one final answer.
func (r *request) claim(k AnswerKind) bool { return r.claimed.CompareAndSwap(0, int32(k)) }

type attempt struct {
	worker   string
	running  backend.Running
	sentAt   time.Duration
	outcome  scheduler.Outcome
	took     time.Duration
	status   int
	loadNote scheduler.LoadNote
	snapshot scheduler.Snapshot // the worker and function as the module saw them, where calls are explained
}

// New returns a gateway that does not run yet.
func New(cfg Config) (*Gateway, error) {
	if cfg.Settings.Limits.MaxOpenRequests < 1 {
		return nil, fmt.Errorf("gateway: Limits.Open: %d is under 1", cfg.Settings.Limits.MaxOpenRequests)
	}
	if cfg.Settings.Tick <= 0 {
		return nil, fmt.Errorf("gateway: Tick: %v is not above 0", cfg.Settings.Tick)
	}
	d, err := scheduler.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, dispatcher: d, inFlight: map[scheduler.RequestID]*request{}, rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		pendingCalls: map[scheduler.RequestID]*Call{}, pendingResults: map[attemptKey]backend.Result{}, wake: make(chan struct{}, 1), loopTasks: make(chan func()),
		stop: make(chan struct{}), done: make(chan struct{}), directory: newDirectory(cfg.Settings)}
	g.answered.capacity = cfg.MaxExplanations
	// The module draws by hash of the request's number: two controllers must not count alike.
	g.nextID.Store(g.rng.Uint64() >> 24 << 8)
	return g, nil
}

// Submit hands a call over; false if the gateway holds all that it may, or stops: a refusal then harms nobody.
func (g *Gateway) Submit(c *Call) (scheduler.RequestID, bool) {
	if g.openCount.Add(1) > int64(g.cfg.Settings.Limits.MaxOpenRequests) {
		g.openCount.Add(-1)
		g.Counts.OverCapacity.Add(1)
		return 0, false
	}
	id := scheduler.RequestID(g.nextID.Add(1))
	f := c.Function
	if h := g.cfg.Hooks; h != nil {
		c.verdict = h.Arrive(hooklang.Call{Function: f.Name, Tenant: g.tenantName(c.Tenant), Client: c.Client, Class: g.cfg.Settings.Classes[f.Class].Name,
			Retry: c.Retry, Wait: c.TimeLeft, Size: len(c.Body), Open: g.Open()})
	}
	g.mu.Lock()
	if g.stopped {
		g.mu.Unlock()
		if h := g.cfg.Hooks; h != nil {
			h.CallEnded(g.tenantName(c.Tenant))
		}
		g.openCount.Add(-1)
		g.Counts.OverCapacity.Add(1)
		return 0, false
	}
	c.submittedAt = g.cfg.Clock.Now()
	g.pendingCalls[id] = c
	g.pendingEvents = append(g.pendingEvents, scheduler.Arrival{Request: id, Class: f.Class, Tenant: c.Tenant, Function: f.ID, TimeLeft: c.TimeLeft,
		RunTimeHint: c.RunTimeHint, HasRunTimeHint: c.RunTimeHint > 0, MemoryMB: f.MemoryMB, Lanes: f.Lanes, LoadTime: f.LoadTime, ClientRetry: c.Retry,
		Resubmitted: c.Binding != nil && c.Binding.Restarts > 0, ShedAdvised: c.verdict.ShedAdvised, Weight: c.verdict.Weight})
	g.mu.Unlock()
	g.wakeLoop()
	return id, true
}

// Cancel says that the client of a call has left.
func (g *Gateway) Cancel(id scheduler.RequestID) { g.enqueue(scheduler.ClientGone{Request: id}) }

// ReceiveGossip hands over the word of another controller.
func (g *Gateway) ReceiveGossip(from int, payload []byte) {
	if g.cfg.Settings.Limits.Peers {
		g.enqueue(scheduler.GossipMessage{From: from, Payload: payload})
	}
}

func (g *Gateway) enqueue(e scheduler.Event) {
	g.mu.Lock()
	g.pendingEvents = append(g.pendingEvents, e)
	g.mu.Unlock()
	g.wakeLoop()
}

func (g *Gateway) wakeLoop() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Open returns how many requests are in hand.
func (g *Gateway) Open() int { return int(g.openCount.Load()) }
