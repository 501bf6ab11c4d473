package hookengine

import (
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

// A Sink takes what hooks bring about. gateway.Gateway is one.
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
	Notify       func(hookadvice.Notice) // must not block; nil: notices are logged only
	Open         func() int              // calls in hand, for timers
	Clock        clock.Clock
	Log          zerolog.Logger
	FS           store.FS // for scripts and their state; nil: they end with the process
	Seed         uint64
	Queue        int             // events that wait for the hooks; further ones are dropped and counted; 0: 4096
	Aside        hooklang.Limits // zero: hook.Aside
	Inline       hooklang.Limits // zero: hook.Inline
	RunTimeout   time.Duration   // one run aside, as the last net: 250 ms
	SaveInterval time.Duration   // state is stored at most so often: 1 s
}

// Counts of what was run.
type Counts struct {
	Posted, Dropped, Inline, InlineNanos, Aside, AsideNanos, Faults, Refusals, Over atomic.Int64
}

// An Engine runs scripts. Arrive, Left and Post are safe for concurrent use and never wait for a hook that runs aside; all else
// is carried out by one goroutine, between two runs, so that no script is replaced in the middle of one.
type Engine struct {
	cfg    Config
	Counts Counts
	queue  chan posted
	calls  chan func()
	list   atomic.Pointer[[]hookadvice.Worker] // not taken in yet
	wake   chan struct{}
	stop   chan struct{}
	done   chan struct{}
	once   sync.Once
	killed atomic.Bool
	pool   sync.Pool
	live   atomic.Pointer[[]inline]
	points atomic.Pointer[map[string]bool] // that some script has a handler of
	dmu    sync.Mutex
	door   *hookadvice.AdmissionGate

	// Owned by the goroutine.
	life   *Lifecycle
	table  *hookadvice.Table
	vm     *hooklang.VM
	ran    map[string]*running
	shadow map[string]*running
	log    *store.Log
	seq    uint64
	since  int
	saved  time.Duration
	failed error
	states map[string]json.RawMessage // as stored last
}

// running is a version as it runs.
type running struct {
	name    string
	version uint64
	p       *hooklang.Program
	state   *hooklang.State
	every   time.Duration
	next    time.Duration // of its timer
	count   int64
	changed bool // its state is not stored yet
}

type inline struct {
	name    string
	version uint64
	p       *hooklang.Program
	state   *hooklang.State
	shadow  *running // nil: none to compare
}

type posted struct {
	point string
	event hooklang.Event
	// Of a run that was made inline: what it led to.
	script  string
	version uint64
	fault   string
	fuel    int64
	advice  []hooklang.Advice
	ran     bool
	at      time.Duration
}

// record is what the store holds: one of the two.
type record struct {
	Scripts []*Script       `json:"scripts,omitempty"`
	Last    uint64          `json:"last,omitempty"`
	State   string          `json:"state,omitempty"` // name of the script
	Value   json.RawMessage `json:"value,omitempty"`
}

type snapshot struct {
	Scripts []*Script                  `json:"scripts"`
	Last    uint64                     `json:"last"`
	States  map[string]json.RawMessage `json:"states"`
}

// Start opens what was stored and runs it. A script that does not compile any more is in quarantine.
func Start(cfg Config) (*Engine, error) {
	if cfg.Queue == 0 {
		cfg.Queue = 4096
	}
	if cfg.Aside.Fuel == 0 {
		cfg.Aside = hooklang.Aside
	}
	if cfg.Inline.Fuel == 0 {
		cfg.Inline = hooklang.Inline
	}
	if cfg.RunTimeout == 0 {
		cfg.RunTimeout = 250 * time.Millisecond
	}
	if cfg.SaveInterval == 0 {
		cfg.SaveInterval = time.Second
	}
	e := &Engine{cfg: cfg, queue: make(chan posted, cfg.Queue), calls: make(chan func()), wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
		life: NewLifecycle(cfg.Lifecycle, cfg.Seed), vm: hooklang.NewVM(), ran: map[string]*running{}, shadow: map[string]*running{}, door: hookadvice.NewAdmissionGate(cfg.Advice),
		states: map[string]json.RawMessage{}}
	e.pool.New = func() any { return hooklang.NewVM() }
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
	go e.run()
	return e, nil
}

func (e *Engine) recover() error {
	snap := snapshot{States: map[string]json.RawMessage{}}
	log, rec, err := store.Open(e.cfg.FS, store.Options{MaxRecord: 16 << 20, MaxGroup: 32 << 20},
		func(_ uint64, text []byte) error { return json.Unmarshal(text, &snap) },
		func(seq uint64, text []byte) error {
			var r record
			if err := json.Unmarshal(text, &r); err != nil {
				return fmt.Errorf("record %d: %w", seq, err)
			}
			if r.State != "" {
				snap.States[r.State] = r.Value
			} else {
				snap.Scripts, snap.Last = r.Scripts, r.Last
			}
			return nil
		})
	if err != nil {
		return err
	}
	e.log, e.seq = log, rec.Last
	e.life.Scripts, e.life.Last, e.states = snap.Scripts, snap.Last, snap.States
	for _, s := range e.life.Scripts {
		if s.Live != nil && s.Live.Bad == "" {
			r, err := e.prepare(s.Name, s.Live)
			if err != nil { // it did, in the program that stored it
				s.Live.Bad = err.Error()
				e.cfg.Log.Error().Str("script", s.Name).Err(err).Msg("hook in quarantine: it does not compile any more")
				continue
			}
			if text := snap.States[s.Name]; text != nil {
				if st, err := r.p.Restore(text); err != nil {
					e.cfg.Log.Error().Str("script", s.Name).Err(err).Msg("hook's state not restored: it begins anew")
				} else {
					r.state = st
				}
			}
			e.ran[s.Name] = r
			e.advise([]hookadvice.Event{hookadvice.VersionActivated{Script: s.Name, Version: s.Live.Number}})
		}
		if s.Shadow != nil {
			if r, err := e.prepare(s.Name, s.Shadow); err == nil {
				e.shadow[s.Name] = r
			} else {
				s.Shadow = nil
			}
		}
	}
	return nil
}

func (e *Engine) prepare(name string, v *Version) (*running, error) {
	p, err := hooklang.Compile(name+".hook", v.Text)
	if err != nil {
		return nil, err
	}
	_, every := p.Points()
	return &running{name: name, version: v.Number, p: p, state: p.State(), every: every, next: e.cfg.Clock.Now() + every}, nil
}

// Close ends the engine and stores what its scripts have.
func (e *Engine) Close() error {
	e.once.Do(func() { close(e.stop) })
	<-e.done
	return e.failed
}

// Kill ends the engine as the end of its process would: what is not stored yet is lost.
func (e *Engine) Kill() {
	e.killed.Store(true)
	e.Close()
}

// Arrive runs the handlers of a call that arrives, on the caller's goroutine, and judges it. The call is counted in hand of its
// tenant until Left. A call is judged by the versions that were live when it arrived.
func (e *Engine) Arrive(c hooklang.Call) hookadvice.Verdict {
	now := e.cfg.Clock.Now()
	var all []hooklang.Advice
	if l := *e.live.Load(); len(l) > 0 {
		env := hooklang.Env{Now: int64(now), Wall: e.cfg.Clock.Wall().Unix()}
		vm := e.pool.Get().(*hooklang.VM)
		for _, s := range l {
			res, err := vm.Run(s.p, "arrive", c, s.state, env, e.cfg.Inline)
			p := posted{point: "arrive", script: s.name, version: s.version, fuel: res.Fuel, advice: res.Advice, ran: true, at: now}
			if err != nil {
				p.fault = err.Error()
			}
			all = append(all, res.Advice...)
			if s.shadow != nil {
				p.event = c
			}
			e.post(p) // its tally, its circuit, and its shadow
		}
		e.pool.Put(vm)
		e.Counts.Inline.Add(int64(len(l)))
		e.Counts.InlineNanos.Add(int64(e.cfg.Clock.Now() - now))
	}
	e.dmu.Lock()
	v := e.door.Arrive(now, c.Tenant, all)
	e.dmu.Unlock()
	if v.ShedAdvised {
		e.Counts.Refusals.Add(1)
	}
	if v.OverRejectionLimit {
		e.Counts.Over.Add(1)
	}
	return v
}

// CallEnded says that a call that arrived has its answer.
func (e *Engine) CallEnded(tenant string) {
	e.dmu.Lock()
	e.door.CallEnded(tenant)
	e.dmu.Unlock()
}

// Post hands an event to the hooks, if any wants it. It never blocks: where too many wait the event is dropped, and counted.
func (e *Engine) Post(point string, ev hooklang.Event) {
	if m := e.points.Load(); m != nil && !(*m)[point] {
		return
	}
	e.post(posted{point: point, event: ev, at: e.cfg.Clock.Now()})
}

// Workers tells the list of workers as it stands. It does not block; a newer list replaces one that waits.
func (e *Engine) Workers(l []hookadvice.Worker) {
	e.list.Store(&l)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) post(p posted) {
	select {
	case e.queue <- p:
		e.Counts.Posted.Add(1)
	default:
		e.Counts.Dropped.Add(1)
	}
}

// do has f run by the engine's goroutine, and waits for it.
func (e *Engine) do(f func()) error {
	ready := make(chan struct{})
	select {
	case e.calls <- func() { f(); close(ready) }:
		<-ready
		return nil
	case <-e.done:
		return errors.New("hooks: stopped")
	}
}

// advise steps the table and carries out what comes of it.
func (e *Engine) advise(in []hookadvice.Event) {
	for _, x := range e.table.Step(e.cfg.Clock.Now(), in) {
		switch x := x.(type) {
		case hookadvice.KeepWarm:
			e.cfg.Sink.KeepWarm(x.Function, x.Copies, x.Until)
		case hookadvice.RankWorker:
			e.cfg.Sink.RankWorker(x.Worker, x.Rank, x.Until)
		case hookadvice.Tenants:
			e.dmu.Lock()
			e.door.SetTenants(x)
			e.dmu.Unlock()
		case hookadvice.Notice:
			e.cfg.Log.Info().Str("script", x.Script).Str("target", x.Target).Msg("notice")
			if e.cfg.Notify != nil {
				e.cfg.Notify(x)
			}
		case hookadvice.Discarded:
			e.cfg.Log.Debug().Str("script", x.Script).Str("kind", x.Item.Kind).Str("why", x.Why).Msg("advice dropped")
		}
	}
}

// follow makes what the lifecycle has decided true.
func (e *Engine) follow() {
	changes, dirty := e.life.TakeChanges()
	for _, c := range changes {
		ev := e.cfg.Log.Info()
		if c.Alarm {
			ev = e.cfg.Log.Error()
		}
		ev.Str("script", c.Script).Msg("hook: " + c.Text)
		old := e.ran[c.Script]
		if c.Live == nil {
			if delete(e.ran, c.Script); old != nil {
				if text, err := old.state.MarshalJSON(); err == nil { // it may come back
					e.states[c.Script] = text
				}
				e.advise([]hookadvice.Event{hookadvice.ScriptStopped{Script: c.Script}})
			}
		} else if old == nil || old.version != c.Live.Number {
			r, err := e.prepare(c.Script, c.Live)
			if err != nil { // checked when it was loaded
				e.cfg.Log.Error().Str("script", c.Script).Err(err).Msg("hook does not compile")
				continue
			}
			if old != nil { // the new version goes on with what the old one has stored
				r.state = r.p.Take(old.state)
			} else if st := e.states[c.Script]; st != nil {
				if s, err := r.p.Restore(st); err == nil {
					r.state = s
				}
			}
			r.changed = true
			e.ran[c.Script] = r
			e.advise([]hookadvice.Event{hookadvice.VersionActivated{Script: c.Script, Version: r.version}})
		}
		s := e.life.Find(c.Script)
		if s == nil {
			delete(e.states, c.Script)
		}
		if s == nil || s.Shadow == nil {
			delete(e.shadow, c.Script)
		} else if sh := e.shadow[c.Script]; sh == nil || sh.version != s.Shadow.Number {
			if r, err := e.prepare(c.Script, s.Shadow); err == nil {
				if live := e.ran[c.Script]; live != nil {
					r.state = r.p.Take(live.state)
				}
				e.shadow[c.Script] = r
			}
		}
	}
	if len(changes) > 0 {
		e.publish()
	}
	if dirty {
		e.append(record{Scripts: e.life.Scripts, Last: e.life.Last})
	}
}

// publish shows the goroutines of calls what is live.
func (e *Engine) publish() {
	var l []inline
	m := map[string]bool{}
	for _, s := range e.life.Scripts {
		r, sh := e.ran[s.Name], e.shadow[s.Name]
		for _, x := range []*running{r, sh} {
			if x == nil {
				continue
			}
			points, _ := x.p.Points()
			for _, p := range points {
				m[p] = true
			}
		}
		if r != nil && r.p.Has("arrive") {
			l = append(l, inline{s.Name, r.version, r.p, r.state, sh})
		}
	}
	e.live.Store(&l)
	e.points.Store(&m)
}
