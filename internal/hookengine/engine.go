package hookengine

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
	"kitehub/internal/store"
)

// Sink receives the advice in force; gateway.Gateway implements it. The engine's goroutine calls
// the methods, so they must not block for long.
type Sink interface {
	// KeepWarm asks for copies of a function to stay loaded until a time on the engine's clock. The
	// number of copies is 0 if none need to any more.
	KeepWarm(function string, copies int, until time.Duration)
	// RankWorker marks a worker as preferred (1), avoided (-1) or neither (0) until a time on the
	// engine's clock.
	RankWorker(worker string, rank int, until time.Duration)
}

// Config configures an Engine. Catalog, Sink and Clock are required.
type Config struct {
	Lifecycle     LifecycleSettings
	Advice        hookadvice.Settings
	Catalog       hookadvice.Catalog
	Sink          Sink
	Notify        func(hookadvice.Notification) // must not block; nil: only logs
	CallsInFlight func() int                    // for timer handlers; nil: always 0
	Clock         clock.Clock
	Log           zerolog.Logger
	FS            store.FS // stores scripts and their state; nil: nothing is stored
	Seed          uint64   // seed of the backoff jitter
	// QueueSize is how many events may wait; others are dropped and counted; default 4096.
	QueueSize int
	// BackgroundLimits limits a run on the engine's goroutine; default hooklang.BackgroundLimits.
	BackgroundLimits hooklang.Limits
	// InlineLimits limits a run that a call waits for; default hooklang.InlineLimits.
	InlineLimits hooklang.Limits
	// RunTimeout limits a run on the engine's goroutine that BackgroundLimits has not ended before,
	// and how long a call waits for its arrival handlers; default 250 ms.
	RunTimeout   time.Duration
	SaveInterval time.Duration // shortest time between two saves of state; default 1 s
}

func (c Config) withDefaults() Config {
	c.QueueSize = cmp.Or(c.QueueSize, 4096)
	c.RunTimeout = cmp.Or(c.RunTimeout, 250*time.Millisecond)
	c.SaveInterval = cmp.Or(c.SaveInterval, time.Second)
	if c.BackgroundLimits.Fuel == 0 {
		c.BackgroundLimits = hooklang.BackgroundLimits
	}
	if c.InlineLimits.Fuel == 0 {
		c.InlineLimits = hooklang.InlineLimits
	}
	return c
}

// Counts holds the counters of an engine. Any goroutine may read them.
type Counts struct {
	Posted             atomic.Int64 // events and inline runs queued
	Dropped            atomic.Int64 // events and inline runs dropped because the queue was full
	InlineRuns         atomic.Int64 // runs that a call waited for
	InlineNanos        atomic.Int64 // total duration of the inline runs, in ns
	BackgroundRuns     atomic.Int64 // runs on the engine's goroutine
	BackgroundNanos    atomic.Int64 // total duration of the background runs, in ns
	Faults             atomic.Int64 // runs of live versions that faulted
	Rejections         atomic.Int64 // calls that hooks or a tenant's cap rejected
	OverRejectionLimit atomic.Int64 // rejections by hooks that the limit overruled
}

// Engine runs scripts. All its methods are safe for concurrent use. Admit, CallEnded, Post and
// SetWorkers never wait for a handler on the engine's goroutine. Operators' commands do: that
// goroutine executes them between two runs, so that no script is replaced while it runs.
type Engine struct {
	config Config
	Counts Counts

	// Input of the engine's goroutine.
	queue          chan job
	commands       chan func() // see runOnEngine
	workers        atomic.Pointer[[]hookadvice.Worker]
	workersChanged chan struct{} // signals that workers was set
	stop           chan struct{} // closed by Close
	stopOnce       sync.Once
	killed         atomic.Bool   // set by Kill: nothing more is stored
	done           chan struct{} // closed when the engine's goroutine has ended

	// Shared with the goroutines of calls. The engine's goroutine replaces the pointers, see
	// publishHandlers.
	arrivalHandlers atomic.Pointer[[]inlineHandler]
	handledPoints   atomic.Pointer[map[string]bool] // points that have a handler in some script
	vmPool          sync.Pool                       // of *hooklang.VM
	gateMutex       sync.Mutex
	gate            *hookadvice.AdmissionGate // guarded by gateMutex
	monitor         *runMonitor

	// Owned by the engine's goroutine.
	lifecycle *Lifecycle
	table     *hookadvice.Table
	vm        *hooklang.VM
	live      map[string]*loadedVersion // the live versions, by script
	shadows   map[string]*loadedVersion // the shadow versions, by script
	storage
}

// inlineHandler is a live version with an arrival handler. It is immutable once published.
type inlineHandler struct {
	script  string
	version uint64
	program *hooklang.Program
	state   *hooklang.State
	shadow  bool // a shadow version must see the call too
}

// job is an item in the queue of the engine's goroutine: an event, or the outcome of an inline run.
type job struct {
	at    time.Duration
	point string
	event hooklang.Event // nil for an inline run that no shadow must see
	run   *inlineRun     // nil for an event
}

// inlineRun is the outcome of a handler that ran on the goroutine of a call. The engine's goroutine
// records it.
type inlineRun struct {
	script  string
	version uint64
	fault   string
	fuel    int64
	advice  []hooklang.Advice
}

// Start restores the stored scripts and starts to run them. A script that no longer compiles is
// quarantined.
func Start(config Config) (*Engine, error) {
	config = config.withDefaults()
	table, err := hookadvice.NewTable(config.Advice, config.Catalog)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		config:         config,
		queue:          make(chan job, config.QueueSize),
		commands:       make(chan func()),
		workersChanged: make(chan struct{}, 1),
		stop:           make(chan struct{}),
		done:           make(chan struct{}),
		vmPool:         sync.Pool{New: func() any { return hooklang.NewVM() }},
		gate:           hookadvice.NewAdmissionGate(config.Advice),
		monitor:        newRunMonitor(),
		lifecycle:      NewLifecycle(config.Lifecycle, config.Seed),
		table:          table,
		vm:             hooklang.NewVM(),
		live:           map[string]*loadedVersion{},
		shadows:        map[string]*loadedVersion{},
		storage:        storage{savedStates: map[string]json.RawMessage{}},
	}
	if config.FS != nil {
		if err := e.restore(); err != nil {
			return nil, fmt.Errorf("hooks: %w", err)
		}
	}
	e.publishHandlers()
	go e.monitor.watch(config.Log)
	go e.run()
	return e, nil
}

const (
	// closeTimeout bounds how long Close waits for the run in progress, which Config.RunTimeout
	// should end far earlier.
	closeTimeout = time.Second
	// commandTimeout bounds how long an operator's command waits for the runs before it.
	commandTimeout = 5 * time.Second
)

// ErrBusy is returned if the engine's goroutine is busy with a run that does not return.
var ErrBusy = errors.New("hooks: engine is busy with a run that does not return")

// Close stops the engine and stores the states of its scripts. It returns the error that stopped
// the engine from storing, if any, or ErrBusy; in that case nothing is stored any more.
func (e *Engine) Close() error {
	e.stopOnce.Do(func() { close(e.stop) })
	defer e.monitor.stop()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-e.done:
		return e.storeErr
	case <-timer.C:
		// A successor may use the store from now on.
		e.killed.Store(true)
		return ErrBusy
	}
}

// Kill stops the engine like a crash of the process would: what is not stored yet is lost. It is
// meant for tests.
func (e *Engine) Kill() {
	e.killed.Store(true)
	e.Close()
}

// RunsInProgress returns the number of runs that have not returned yet, and of the runs that were
// logged because they did not return for over a second.
func (e *Engine) RunsInProgress() (running, overdue int64) { return e.monitor.counts() }

// Post queues an event if any script has a handler for it. It never blocks: if the queue is full
// the event is dropped and counted.
func (e *Engine) Post(point string, event hooklang.Event) {
	if points := e.handledPoints.Load(); points != nil && !(*points)[point] {
		return
	}
	e.enqueue(job{point: point, event: event, at: e.config.Clock.Now()})
}

func (e *Engine) enqueue(j job) {
	select {
	case e.queue <- j:
		e.Counts.Posted.Add(1)
	default:
		e.Counts.Dropped.Add(1)
	}
}

// SetWorkers passes the current list of workers to the engine. The list must not be changed
// afterwards. SetWorkers never blocks: a newer list replaces one that the engine has not processed
// yet.
func (e *Engine) SetWorkers(workers []hookadvice.Worker) {
	e.workers.Store(&workers)
	select {
	case e.workersChanged <- struct{}{}:
	default:
	}
}

// runOnEngine runs f on the engine's goroutine and waits for it. It returns an error if the engine
// has stopped, or ErrBusy if its goroutine does not get to f.
func (e *Engine) runOnEngine(f func()) error {
	finished := make(chan struct{})
	timer := time.NewTimer(commandTimeout)
	defer timer.Stop()
	select {
	case e.commands <- func() { f(); close(finished) }:
		<-finished
		return nil
	case <-e.done:
		return errors.New("hooks: engine is stopped")
	case <-timer.C:
		return ErrBusy
	}
}
