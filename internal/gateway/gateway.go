// Package gateway runs the scheduler's Dispatcher, a pure state machine, in real time and on real
// sockets. It owns everything that involves goroutines, locks and clocks. The scheduler owns every
// decision: this package never chooses a worker, a retry or a rejection.
//
// # Goroutines and locks
//
// One goroutine, the loop (Run), owns the Dispatcher and the requests in flight. Ingresses,
// backends and discovery enqueue events under Gateway.mu from their own goroutines. At most once
// per tick the loop takes all pending events, steps the Dispatcher and executes the actions that it
// returns. Operators' queries run on the loop between two steps.
//
// Only a served answer does not wait for the loop: the backend goroutine that received it delivers
// it. An atomic claim on the request decides which goroutine gives the one final answer.
//
// # Bounds
//
//   - Requests in flight: Settings.Limits.MaxOpenRequests, beyond which Submit rejects at once.
//   - Outcomes: one for each attempt, load order or probe in flight, so the Dispatcher's own limits
//     bound them. They are never dropped.
//   - Endpoint lists: at most one is pending. A newer complete list replaces it; deltas are merged
//     into it.
//
// So no sender ever waits for the loop, and the loop waits for no sender.
package gateway

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/hooklang"
	"kitehub/scheduler"
)

// Counts holds the gateway's counters since its start.
type Counts struct {
	// Served, Rejected, Failed, ClientClosed and Superseded count final answers by AnswerKind.
	Served, Rejected, Failed, ClientClosed, Superseded atomic.Int64
	// OverCapacity counts calls that Submit did not admit.
	OverCapacity atomic.Int64
	// RetriesNeverRan counts attempts after the first of a request that is known not to have run,
	// RetriesMayHaveRun those of a request that may have run.
	RetriesNeverRan, RetriesMayHaveRun atomic.Int64
	// StartedTooLate counts attempts that were not sent because their Send.StartBefore had passed.
	StartedTooLate atomic.Int64
	// ClosedBeforeSend counts attempts that were not sent because the client had closed.
	ClosedBeforeSend atomic.Int64
	// Steps counts steps of the Dispatcher, Panics those that panicked.
	Steps, Panics atomic.Int64
	// DigestMismatches counts results of workers that ran another digest than the attempt named.
	// None of them is delivered.
	DigestMismatches atomic.Int64
	// StepNanos is the total time spent in the Dispatcher. MaxStepDelayNanos is the longest delay
	// of a step after the time that the Dispatcher asked for, MaxStepNanos the longest step.
	StepNanos, MaxStepDelayNanos, MaxStepNanos atomic.Int64
	// MaxStepEvents is the largest number of events that one step has taken in.
	MaxStepEvents atomic.Int64
}

// A Gateway is the core of one controller: it admits calls and has workers run them. It is safe for
// concurrent use.
type Gateway struct {
	cfg    Config
	Counts Counts

	openCount atomic.Int64  // requests without a final answer
	nextID    atomic.Uint64 // the last RequestID given out
	killed    atomic.Bool

	// delivering is held for reading from the claim of a served answer until it has been delivered.
	// The loop holds it when it ends, so that no answer is on its way once Stop returns.
	delivering sync.RWMutex

	mu             sync.Mutex // guards the fields up to the empty line
	pendingEvents  []scheduler.Event
	pendingCalls   map[scheduler.RequestID]*Call // the call of each Arrival in pendingEvents
	pendingResults map[attemptKey]backend.Result // the result of each AttemptEnded in pendingEvents
	pendingList    *scheduler.ListUpdate
	endpoints      []backend.Endpoint // buffer, reused for each update of the transport
	directory      directory
	stopped        bool
	recheckPending bool // an alias has migrated: see RecheckVersions

	wake      chan struct{} // buffered: holds one token while something is pending
	stop      chan struct{} // closed to end the loop
	done      chan struct{} // closed when the loop has ended
	loopTasks chan func()   // functions that the loop runs between two steps

	// The fields below belong to the loop: no other goroutine reads or writes them while Run runs.
	dispatcher *scheduler.Dispatcher
	inFlight   map[scheduler.RequestID]*request
	nextWake   time.Duration // the earliest of wakeups; 0: none
	wakeups    []scheduler.Wake
	rng        *rand.Rand // for span ids
	restarts   uint64     // of the dispatcher, after panics
	answered   explanationRing
}

// New returns a gateway that is not running yet. It returns an error if the settings are invalid.
func New(cfg Config) (*Gateway, error) {
	if cfg.Settings.Limits.MaxOpenRequests < 1 {
		return nil, fmt.Errorf("gateway: Limits.MaxOpenRequests: %d is less than 1", cfg.Settings.Limits.MaxOpenRequests)
	}
	if cfg.Settings.Tick <= 0 {
		return nil, fmt.Errorf("gateway: Tick: %v is not positive", cfg.Settings.Tick)
	}
	dispatcher, err := scheduler.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		cfg:            cfg,
		pendingCalls:   map[scheduler.RequestID]*Call{},
		pendingResults: map[attemptKey]backend.Result{},
		directory:      newDirectory(cfg.Settings),
		wake:           make(chan struct{}, 1),
		stop:           make(chan struct{}),
		done:           make(chan struct{}),
		loopTasks:      make(chan func()),
		dispatcher:     dispatcher,
		inFlight:       map[scheduler.RequestID]*request{},
		rng:            rand.New(rand.NewPCG(cfg.Seed, 1)),
		answered:       explanationRing{capacity: cfg.MaxExplanations},
	}
	g.directory.startTimes.observe(cfg.Clock.Now(), cfg.Clock.Wall())
	// The dispatcher derives its random draws from a hash of the request id, so two controllers
	// must not use the same ids.
	g.nextID.Store(g.rng.Uint64() >> 24 << 8)
	return g, nil
}

// Submit submits a call. It returns false if the gateway is at capacity or stopping. In that case
// nothing has run and Deliver is not called.
func (g *Gateway) Submit(c *Call) (scheduler.RequestID, bool) {
	if g.openCount.Add(1) > int64(g.cfg.Settings.Limits.MaxOpenRequests) {
		g.releaseSlot()
		return 0, false
	}
	id := scheduler.RequestID(g.nextID.Add(1))
	c.submittedAt = cmp.Or(c.ReceivedAt, g.cfg.Clock.Now()) // before the hooks, whose time is the client's
	if h := g.cfg.Hooks; h != nil {
		c.verdict = h.CallArrived(g.hookCall(c))
	}
	if !g.enqueueArrival(id, c) {
		if h := g.cfg.Hooks; h != nil {
			h.CallEnded(g.tenantName(c.Tenant))
		}
		g.releaseSlot()
		return 0, false
	}
	g.wakeLoop()
	return id, true
}

// releaseSlot frees the slot of a call that was not admitted, and counts the call.
func (g *Gateway) releaseSlot() {
	g.openCount.Add(-1)
	g.Counts.OverCapacity.Add(1)
}

func (g *Gateway) hookCall(c *Call) hooklang.Call {
	return hooklang.Call{
		Function: c.Function.Name,
		Tenant:   g.tenantName(c.Tenant),
		Client:   c.Client,
		Class:    g.class(c).Name,
		Retry:    c.Retry,
		Wait:     c.TimeLeft,
		Size:     len(c.Body),
		Open:     g.OpenRequests(),
	}
}

// enqueueArrival enqueues a call for the loop. It returns false if the gateway is stopping.
func (g *Gateway) enqueueArrival(id scheduler.RequestID, c *Call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return false
	}
	g.pendingCalls[id] = c
	g.pendingEvents = append(g.pendingEvents, arrival(id, c))
	return true
}

func arrival(id scheduler.RequestID, c *Call) scheduler.Arrival {
	f := c.Function
	return scheduler.Arrival{
		Request:        id,
		Class:          f.Class,
		Tenant:         c.Tenant,
		Function:       f.ID,
		TimeLeft:       c.TimeLeft,
		RunTimeHint:    c.RunTimeHint,
		HasRunTimeHint: c.RunTimeHint > 0,
		MemoryMB:       f.MemoryMB,
		Lanes:          f.Lanes,
		LoadTime:       f.LoadTime,
		ClientRetry:    c.Retry,
		Resubmitted:    c.Binding != nil && c.Binding.Restarts > 0,
		ShedAdvised:    c.verdict.ShedAdvised,
		Weight:         c.verdict.Weight,
		Earlier:        c.Earlier,
	}
}

// Cancel reports that the client of a call has closed. Deliver is still called unless it already
// was.
func (g *Gateway) Cancel(id scheduler.RequestID) { g.enqueue(scheduler.ClientClosed{Request: id}) }

// ReceivePeerMessage receives a peer message from the controller with index from. It is dropped if
// Limits.Peers is not set.
func (g *Gateway) ReceivePeerMessage(from int, payload []byte) {
	if g.cfg.Settings.Limits.Peers {
		g.enqueue(scheduler.PeerMessageReceived{From: from, Payload: payload})
	}
}

// enqueue adds an event for the loop's next step.
func (g *Gateway) enqueue(e scheduler.Event) {
	g.mu.Lock()
	g.pendingEvents = append(g.pendingEvents, e)
	g.mu.Unlock()
	g.wakeLoop()
}

func (g *Gateway) wakeLoop() {
	select {
	case g.wake <- struct{}{}:
	default: // a wakeup is already pending
	}
}

// OpenRequests returns how many requests have no final answer yet.
func (g *Gateway) OpenRequests() int { return int(g.openCount.Load()) }

// class returns the class of a call's function.
func (g *Gateway) class(c *Call) *scheduler.Class { return &g.cfg.Settings.Classes[c.Function.Class] }

// tenantName returns the name of the tenant with index i, or "" if there is none.
func (g *Gateway) tenantName(i int) string {
	if i < 0 || i >= len(g.cfg.Settings.Tenants) {
		return ""
	}
	return g.cfg.Settings.Tenants[i].Name
}
