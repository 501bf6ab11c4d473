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

// A Sink carries out what hooks bring about. gateway.Gateway is one. Its methods are called on the engine's
// goroutine, and must not block.
type Sink interface {
	KeepWarm(function string, copies int, until time.Duration)
	RankWorker(worker string, rank int, until time.Duration)
}

// Config sets up an Engine.
type Config struct {
	Lifecycle    LifecycleSettings
	Advice       hookadvice.Settings
	Facts        hookadvice.Facts
	Sink         Sink
	Notify       func(hookadvice.Notice) // must not block; nil: notices are only logged
	Open         func() int              // calls in flight, for timers; nil: 0
	Clock        clock.Clock
	Log          zerolog.Logger
	FS           store.FS // for scripts and their states; nil: they end with the process
	Seed         uint64
	Queue        int             // events that wait to be handled; further ones are dropped and counted. 0: 4096
	Aside        hooklang.Limits // of a run aside; zero: hooklang.Aside
	Inline       hooklang.Limits // of a run inline; zero: hooklang.Inline
	RunTimeout   time.Duration   // for one run aside, should its limits not end it; 0: 250 ms
	SaveInterval time.Duration   // states are stored at most so often; 0: 1 s
}

func (cfg *Config) setDefaults() {
	cfg.Queue = cmp.Or(cfg.Queue, 4096)
	cfg.RunTimeout = cmp.Or(cfg.RunTimeout, 250*time.Millisecond)
	cfg.SaveInterval = cmp.Or(cfg.SaveInterval, time.Second)
	if cfg.Aside.Fuel == 0 {
		cfg.Aside = hooklang.Aside
	}
	if cfg.Inline.Fuel == 0 {
		cfg.Inline = hooklang.Inline
	}
}

// Counts are for the log and for operators.
type Counts struct {
	Posted      atomic.Int64 // events and inline runs that the engine was notified of
	Dropped     atomic.Int64 // those dropped because too many waited
	Inline      atomic.Int64 // runs
	InlineNanos atomic.Int64
	Aside       atomic.Int64 // runs
	AsideNanos  atomic.Int64
	Faults      atomic.Int64 // runs of live versions that failed
	Refusals    atomic.Int64 // calls rejected
	Over        atomic.Int64 // calls that a hook wanted rejected, over the bound
}

// An Engine runs scripts. Arrive, CallEnded, Post and Workers are safe for concurrent use and never wait for a run
// aside. All else is carried out by one goroutine, loop, between two runs, so that no script is replaced within one.
type Engine struct {
	Counts Counts

	cfg       Config
	queue     chan posted
	commands  chan func()   // for the loop to call
	wake      chan struct{} // receives when newWorkers is set
	stop      chan struct{} // closed by Close
	done      chan struct{} // closed when the loop has ended
	closeOnce sync.Once
	killed    atomic.Bool

	// Set by the loop for all goroutines.
	inline atomic.Pointer[[]inlineScript]  // live versions with a handler of arriving calls
	points atomic.Pointer[map[string]bool] // that some version has a handler of

	newWorkers atomic.Pointer[[]hookadvice.Worker] // the latest list that the loop has not seen yet
	inlineVMs  sync.Pool                           // of *hooklang.VM

	gateMu sync.Mutex
	gate   *hookadvice.AdmissionGate

	// Of the loop.
	lifecycle *Lifecycle
	table     *hookadvice.Table
	asideVM   *hooklang.VM
	active    map[string]*activeVersion // live versions that run, by script
	shadows   map[string]*activeVersion // versions in the shadow, by script

	// Of the loop: what is stored. See persist.go.
	log                  *store.Log // nil: nothing is
	lastRecord           uint64
	recordsSinceSnapshot int
	savedAt              time.Duration
	storeErr             error                      // nothing is stored any more
	savedStates          map[string]json.RawMessage // by script, as stored last
}

// An inlineScript is a live version that is run when a call arrives.
type inlineScript struct {
	name    string
	version uint64
	program *hooklang.Program
	state   *hooklang.State // as published: inline runs change no state
	shadow  bool            // there is a version in the shadow to compare it with
}

// posted is an event for the handlers that run aside, or an inline run for the books.
type posted struct {
	point    string
	event    hooklang.Event // of an inline run only if there is a shadow to compare with
	postedAt time.Duration

	ranInline bool // the fields below are set
	script    string
	version   uint64
	fault     string // "": none
	fuel      int64
	advice    []hooklang.Advice
}

// Start restores the scripts that were stored and runs them. A script that does not compile any more is quarantined.
func Start(cfg Config) (*Engine, error) {
	cfg.setDefaults()
	e := &Engine{
		cfg:         cfg,
		queue:       make(chan posted, cfg.Queue),
		commands:    make(chan func()),
		wake:        make(chan struct{}, 1),
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
		lifecycle:   NewLifecycle(cfg.Lifecycle, cfg.Seed),
		asideVM:     hooklang.NewVM(),
		active:      map[string]*activeVersion{},
		shadows:     map[string]*activeVersion{},
		gate:        hookadvice.NewAdmissionGate(cfg.Advice),
		savedStates: map[string]json.RawMessage{},
	}
	e.inlineVMs.New = func() any { return hooklang.NewVM() }
	var err error
	if e.table, err = hookadvice.New(cfg.Advice, cfg.Facts); err != nil {
		return nil, err
	}
	if cfg.FS != nil {
		if err := e.recover(); err != nil {
			return nil, fmt.Errorf("hooks: %w", err)
		}
	}
	e.publish()
	go e.loop()
	return e, nil
}

// Close ends the engine and stores the states of its scripts. The error is that of the store.
func (e *Engine) Close() error {
	e.closeOnce.Do(func() { close(e.stop) })
	<-e.done
	return e.storeErr
}

// Kill ends the engine as the end of its process would: what is not stored yet is lost.
func (e *Engine) Kill() {
	e.killed.Store(true)
	e.Close()
}

// Arrive runs the handlers of a call that arrives, on the caller's goroutine, and judges it. The call counts as in
// flight until CallEnded. It is judged by the versions that were live when it arrived.
func (e *Engine) Arrive(c hooklang.Call) hookadvice.Verdict {
	now := e.cfg.Clock.Now()
	advice := e.runInline(now, c)
	e.gateMu.Lock()
	v := e.gate.Arrive(now, c.Tenant, advice)
	e.gateMu.Unlock()
	if v.ShedAdvised {
		e.Counts.Refusals.Add(1)
	}
	if v.OverRejectionLimit {
		e.Counts.Over.Add(1)
	}
	return v
}

// runInline runs the handlers of a call that arrives, and returns what they advise.
func (e *Engine) runInline(now time.Duration, c hooklang.Call) (advice []hooklang.Advice) {
	scripts := *e.inline.Load()
	if len(scripts) == 0 {
		return nil
	}
	env := hooklang.Env{Now: int64(now), Wall: e.cfg.Clock.Wall().Unix()}
	vm := e.inlineVMs.Get().(*hooklang.VM)
	for _, s := range scripts {
		result, err := vm.Run(s.program, pointArrive, c, s.state, env, e.cfg.Inline)
		p := posted{
			point:     pointArrive,
			postedAt:  now,
			ranInline: true,
			script:    s.name,
			version:   s.version,
			fuel:      result.Fuel,
			advice:    result.Advice,
		}
		if err != nil {
			p.fault = err.Error()
		}
		if s.shadow {
			p.event = c
		}
		advice = append(advice, result.Advice...)
		e.post(p)
	}
	e.inlineVMs.Put(vm)
	e.Counts.Inline.Add(int64(len(scripts)))
	e.Counts.InlineNanos.Add(int64(e.cfg.Clock.Now() - now))
	return advice
}

// CallEnded notes that a call that arrived has its answer.
func (e *Engine) CallEnded(tenant string) {
	e.gateMu.Lock()
	e.gate.CallEnded(tenant)
	e.gateMu.Unlock()
}

// Post hands an event to the handlers of a point, if there are any. It never blocks: if too many events wait, the
// event is dropped and counted.
func (e *Engine) Post(point string, event hooklang.Event) {
	if points := e.points.Load(); points != nil && !(*points)[point] {
		return
	}
	e.post(posted{point: point, event: event, postedAt: e.cfg.Clock.Now()})
}

func (e *Engine) post(p posted) {
	select {
	case e.queue <- p:
		e.Counts.Posted.Add(1)
	default:
		e.Counts.Dropped.Add(1)
	}
}

// Workers sets the list of workers. It does not block; a newer list replaces one that waits.
func (e *Engine) Workers(list []hookadvice.Worker) {
	e.newWorkers.Store(&list)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// onLoop has the loop call a function, and waits for it.
func (e *Engine) onLoop(f func()) error {
	called := make(chan struct{})
	command := func() {
		f()
		close(called)
	}
	select {
	case e.commands <- command:
		<-called
		return nil
	case <-e.done:
		return errors.New("hooks: stopped")
	}
}
