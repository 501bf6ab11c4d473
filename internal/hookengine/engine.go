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

// Sink takes the advice that is in force; gateway.Gateway is one. The engine's goroutine calls it, so it must not
// block for long.
type Sink interface {
	// KeepWarm asks for copies of a function to stay loaded until a time on the engine's clock; with copies 0 no
	// longer.
	KeepWarm(function string, copies int, until time.Duration)
	// RankWorker has a worker preferred (1), avoided (-1) or treated as any other (0) until a time on the engine's
	// clock.
	RankWorker(worker string, rank int, until time.Duration)
}

// Config is what an Engine needs. Facts, Sink and Clock must be given.
type Config struct {
	Lifecycle        LifecycleSettings
	Advice           hookadvice.Settings
	Catalog          hookadvice.Catalog
	Sink             Sink
	Notify           func(hookadvice.Notification) // must not block; nil: notices are logged only
	CallsInFlight    func() int                    // returns the number of calls in flight, for timers; nil: 0
	Clock            clock.Clock
	Log              zerolog.Logger
	FS               store.FS        // stores scripts and their state; nil: they end with the process
	Seed             uint64          // of the jitter of backoff
	QueueSize        int             // events that wait; further ones are dropped and counted; 0: 4096
	BackgroundLimits hooklang.Limits // of a run on the engine's goroutine; zero: hooklang.BackgroundLimits
	InlineLimits     hooklang.Limits // of a run on the goroutine of a call; zero: hooklang.InlineLimits
	RunTimeout       time.Duration   // of a run on the engine's goroutine, should Aside not end it before; 0: 250 ms
	SaveInterval     time.Duration   // state is stored at most this often; 0: 1 s
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

// Counts is what an engine has done. Any goroutine may read it.
type Counts struct {
	Posted             atomic.Int64 // events and inline runs that were queued
	Dropped            atomic.Int64 // those that were not, as the queue was full
	InlineRuns         atomic.Int64 // runs on goroutines of calls
	InlineNanos        atomic.Int64 // the time they took, in ns
	BackgroundRuns     atomic.Int64 // runs on the engine's goroutine
	BackgroundNanos    atomic.Int64 // the time they took, in ns
	Faults             atomic.Int64 // runs of live versions that ended with a fault
	Rejections         atomic.Int64 // calls that were to be rejected
	OverRejectionLimit atomic.Int64 // calls that hooks wanted rejected beyond the bound on rejections
}

// Engine runs scripts. All its methods are safe for concurrent use. Arrive, CallEnded, Post and Workers never wait
// for a handler on the engine's goroutine; the operators' commands do, as that goroutine carries them out between
// two runs, so that no script is replaced during one.
type Engine struct {
	config Config
	Counts Counts

	// Input of the engine's goroutine.
	queue    chan job
	requests chan func() // see do
	workers  atomic.Pointer[[]hookadvice.Worker]
	wake     chan struct{} // workers was set
	stop     chan struct{} // closed by Close
	stopOnce sync.Once
	killed   atomic.Bool   // nothing is to be stored any more
	done     chan struct{} // closed when the engine's goroutine has ended

	// Shared with the goroutines of calls; the engine's goroutine replaces what the pointers refer to, see publish.
	inline    atomic.Pointer[[]inlineHandler]
	points    atomic.Pointer[map[string]bool] // those of which some script has a handler
	vmPool    sync.Pool                       // of *hooklang.VM
	gateMutex sync.Mutex
	gate      *hookadvice.AdmissionGate // guarded by gateMutex

	// Owned by the engine's goroutine.
	lifecycle *Lifecycle
	table     *hookadvice.Table
	vm        *hooklang.VM
	active    map[string]*loadedVersion // the live versions, by script
	shadows   map[string]*loadedVersion // the shadow versions, by script
	storage
}

// inlineHandler is a live version that has a handler of the arrival of calls. It is not changed once published.
type inlineHandler struct {
	script  string
	version uint64
	program *hooklang.Program
	state   *hooklang.State
	shadow  bool // a shadow version is to see the call too
}

// job is what waits for the engine's goroutine: an event, or a run that was made inline.
type job struct {
	at    time.Duration
	point string
	event hooklang.Event // of an inline run only if a shadow is to see it
	run   *inlineRun     // nil: an event
}

// inlineRun is the outcome of a handler on the goroutine of a call. The engine's goroutine counts it.
type inlineRun struct {
	script  string
	version uint64
	fault   string
	fuel    int64
	advice  []hooklang.Advice
}

// Start restores the stored scripts and runs them. A script that does not compile any more is quarantined.
func Start(config Config) (*Engine, error) {
	config = config.withDefaults()
	table, err := hookadvice.NewTable(config.Advice, config.Catalog)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		config:    config,
		queue:     make(chan job, config.QueueSize),
		requests:  make(chan func()),
		wake:      make(chan struct{}, 1),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		vmPool:    sync.Pool{New: func() any { return hooklang.NewVM() }},
		gate:      hookadvice.NewAdmissionGate(config.Advice),
		lifecycle: NewLifecycle(config.Lifecycle, config.Seed),
		table:     table,
		vm:        hooklang.NewVM(),
		active:    map[string]*loadedVersion{},
		shadows:   map[string]*loadedVersion{},
		storage:   storage{states: map[string]json.RawMessage{}},
	}
	if config.FS != nil {
		if err := e.restore(); err != nil {
			return nil, fmt.Errorf("hooks: %w", err)
		}
	}
	e.publish()
	go e.run()
	return e, nil
}

// Close stops the engine and stores the states of its scripts. It returns the error that ended storing, if any did.
func (e *Engine) Close() error {
	e.stopOnce.Do(func() { close(e.stop) })
	<-e.done
	return e.storeErr
}

// Kill stops the engine as the end of its process would, for tests: what is not stored yet is lost.
func (e *Engine) Kill() {
	e.killed.Store(true)
	e.Close()
}

// Post hands an event to the scripts, if any has a handler of it. It never blocks: if the queue is full the event
// is dropped, and counted.
func (e *Engine) Post(point string, event hooklang.Event) {
	if points := e.points.Load(); points != nil && !(*points)[point] {
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

// Workers notifies the engine of the current list of workers, which must not be changed afterwards. It never
// blocks: a newer list replaces one that waits.
func (e *Engine) SetWorkers(workers []hookadvice.Worker) {
	e.workers.Store(&workers)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// do has f run by the engine's goroutine, and waits for it. It returns an error if the engine has stopped.
func (e *Engine) do(f func()) error {
	ready := make(chan struct{})
	select {
	case e.requests <- func() { f(); close(ready) }:
		<-ready
		return nil
	case <-e.done:
		return errors.New("hooks: stopped")
	}
}
