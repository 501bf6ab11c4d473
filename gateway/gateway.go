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
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kitehub/advice"
	"kitehub/backend"
	"kitehub/choice"
	"kitehub/hook"
	"kitehub/internal/clock"
	"kitehub/registry"
)

// A Carrier sends attempts, orders and questions to workers. backend.Backend and frame.Backend are. Send and Hold must
// not wait for the network, and call back once, on another goroutine; Cancel of what they
// began may call back itself.
type Carrier interface {
	Send(backend.Attempt, func(backend.Result)) backend.Running
	Hold(backend.Order, func(choice.Outcome, int, time.Duration))
	Unload(choice.WorkerID, string)
	Probe(choice.WorkerID, func(choice.Outcome, time.Duration, []float64))
	CloseIdle(choice.WorkerID)
	Update([]backend.Endpoint)
}

// A Lister gets the list of workers where it must be asked for.
type Lister interface {
	Watch(on bool)
	Fetch()
}

// Peers carries the module's words to other controllers.
type Peers interface{ Tell(to int, payload []byte) }

// Config sets up a Gateway. Lister and Peers may be nil.
type Config struct {
	Name     string
	Settings choice.Settings
	Seed     uint64
	Clock    clock.Clock
	Carrier  Carrier
	Lister   Lister
	Peers    Peers
	Versions Versions // nil: no call is Bound
	Hooks    Hooks    // nil: none
	// NameOf, where set, gives the name of a function by its number, which then needs not be made known: no table grows
	// with the names that clients come up with.
	NameOf  func(choice.FunctionID) string
	Explain int // calls that are kept for Explain once they are answered; 0: none
	Log     zerolog.Logger
	Quiet   bool // no closing line for each request
}

// Versions is what the registry says of the versions of models.
type Versions interface {
	MayAnswer(registry.Name, registry.Target) registry.Verdict
	Stands(function, worker string, copies int)
}

// Hooks are what operators' scripts see of the gateway, and say of calls. hooks.Engine is one. None may block.
type Hooks interface {
	// Arrive judges a call that is being taken; Left is told when it is answered.
	Arrive(hook.Call) advice.Verdict
	Left(tenant string)
	Post(point string, e hook.Event)
	Workers([]advice.Worker)
}

// Bound is what a call of a model's alias was resolved to.
type Bound struct {
	Name   registry.Name
	Target registry.Target
	Times  int // that the call began anew before
}

// Kind is how a request ended.
type Kind int

const (
	Served  Kind = iota + 1
	Refused      // trying again does no harm
	Failed       // promises nothing
	Gone         // the client left first
	Left         // no answer: the alias has left the call's version, or may have; see Answer.Verdict
)

func (k Kind) String() string {
	return [...]string{"", "served", "refused", "failed", "gone", "left"}[k]
}

// An Answer is the final one of a request.
type Answer struct {
	Kind  Kind
	Body  []byte        // where served
	After time.Duration // where refused: advice for the next try, 0 for none
	Late  bool          // where failed: the time was up, not the attempts
	// MayRun tells, where the client is gone or the version left, that an attempt may have run.
	MayRun  bool
	Verdict registry.Verdict // where left: Left or NoLease
}

// A Call is what a front submits.
type Call struct {
	ID       string // for the log
	Function *Function
	Bound    *Bound // nil: the function has no versions
	Tenant   int
	Client   string
	Body     []byte
	Expires  time.Duration // how long the client still waits
	Key      string        // "" where the class has none
	Trace    [16]byte      // trace id
	Retry    bool
	Hint     time.Duration
	// Deliver is called once, on any goroutine; with Gone after a Cancel. It must not block.
	Deliver func(Answer)
	// Progress, where set, is told of each attempt that goes out, and whether it may wait for a load. It must not block.
	Progress func(attempt int, worker string, load bool)
	verdict  advice.Verdict
	at       time.Duration // when it was submitted
}

// Counts of what was answered, and of the loop.
type Counts struct {
	Served, Refused, Failed, Gone, Left, Turned, Steps, Crashes atomic.Int64
	// Mismatched counts answers of workers that ran other bytes than they were asked to: none is handed out.
	Mismatched atomic.Int64
	// StepNanos is the time spent in the module, LateNanos the longest that a step came after its time.
	StepNanos, LateNanos atomic.Int64
}

// A Gateway is one controller. It is safe for concurrent use.
type Gateway struct {
	cfg    Config
	Counts Counts
	open   atomic.Int64
	nextID atomic.Uint64
	killed atomic.Bool

	mu      sync.Mutex // guards what is below
	in      []choice.Event
	calls   map[choice.RequestID]*Call // arrivals in in
	results map[result]backend.Result  // of the Returned in in
	list    *choice.List
	points  []backend.Endpoint
	names   names
	stopped bool
	moved   bool // aliases have moved: see Sweep

	wake  chan struct{}
	halt  chan struct{}
	done  chan struct{}
	asked chan func()

	// Owned by the loop.
	d      *choice.Dispatcher
	table  map[choice.RequestID]*entry
	timer  time.Duration // next Wake; 0: none
	tokens []choice.Wake
	rng    *rand.Rand
	crash  uint64
	told   told
}

type result struct {
	id      choice.RequestID
	attempt int
}

// An entry is a request until it is answered and all its attempts have ended. It is the loop's, but for claimed.
type entry struct {
	call    *Call
	at      time.Duration
	claimed atomic.Int32 // the Kind of its one final answer: whoever sets it from 0 gives it
	noted   bool         // the answer is counted and logged
	wrong   atomic.Bool  // other bytes ran under its key: the group that drops its repeats would give their answer
	tries   []try
	out     int
}

// claim takes the right to give the one final answer.
func (r *entry) claim(k Kind) bool { return r.claimed.CompareAndSwap(0, int32(k)) }

type try struct {
	worker  string
	run     backend.Running
	sent    time.Duration
	outcome choice.Outcome
	took    time.Duration
	status  int
	note    choice.Note
	look    choice.Look // the worker and function as the module saw them, where calls are explained
}

// New returns a gateway that does not run yet.
func New(cfg Config) (*Gateway, error) {
	if cfg.Settings.Limits.Open < 1 {
		return nil, fmt.Errorf("gateway: Limits.Open: %d is under 1", cfg.Settings.Limits.Open)
	}
	if cfg.Settings.Tick <= 0 {
		return nil, fmt.Errorf("gateway: Tick: %v is not above 0", cfg.Settings.Tick)
	}
	d, err := choice.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, d: d, table: map[choice.RequestID]*entry{}, rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		calls: map[choice.RequestID]*Call{}, results: map[result]backend.Result{}, wake: make(chan struct{}, 1), asked: make(chan func()),
		halt: make(chan struct{}), done: make(chan struct{}), names: newNames(cfg.Settings)}
	g.told.most = cfg.Explain
	// The module draws by hash of the request's number: two controllers must not count alike.
	g.nextID.Store(g.rng.Uint64() >> 24 << 8)
	return g, nil
}

// Submit hands a call over; false if the gateway holds all that it may, or stops: a refusal then harms nobody.
func (g *Gateway) Submit(c *Call) (choice.RequestID, bool) {
	if g.open.Add(1) > int64(g.cfg.Settings.Limits.Open) {
		g.open.Add(-1)
		g.Counts.Turned.Add(1)
		return 0, false
	}
	id := choice.RequestID(g.nextID.Add(1))
	f := c.Function
	if h := g.cfg.Hooks; h != nil {
		c.verdict = h.Arrive(hook.Call{Function: f.Name, Tenant: g.tenant(c.Tenant), Client: c.Client, Class: g.cfg.Settings.Classes[f.Class].Name,
			Retry: c.Retry, Wait: c.Expires, Size: len(c.Body), Open: g.Open()})
	}
	g.mu.Lock()
	if g.stopped {
		g.mu.Unlock()
		if h := g.cfg.Hooks; h != nil {
			h.Left(g.tenant(c.Tenant))
		}
		g.open.Add(-1)
		g.Counts.Turned.Add(1)
		return 0, false
	}
	c.at = g.cfg.Clock.Now()
	g.calls[id] = c
	g.in = append(g.in, choice.Arrival{Request: id, Class: f.Class, Tenant: c.Tenant, Function: f.ID, Expires: c.Expires,
		Hint: c.Hint, HasHint: c.Hint > 0, MemoryMB: f.MemoryMB, Lanes: f.Lanes, LoadTime: f.LoadTime, Retry: c.Retry,
		Again: c.Bound != nil && c.Bound.Times > 0, Unwanted: c.verdict.Unwanted, Weight: c.verdict.Weight})
	g.mu.Unlock()
	g.poke()
	return id, true
}

// Cancel says that the client of a call has left.
func (g *Gateway) Cancel(id choice.RequestID) { g.put(choice.HungUp{Request: id}) }

// Message hands over the word of another controller.
func (g *Gateway) Message(from int, payload []byte) {
	if g.cfg.Settings.Limits.Peers {
		g.put(choice.Message{From: from, Payload: payload})
	}
}

func (g *Gateway) put(e choice.Event) {
	g.mu.Lock()
	g.in = append(g.in, e)
	g.mu.Unlock()
	g.poke()
}

func (g *Gateway) poke() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Open returns how many requests are in hand.
func (g *Gateway) Open() int { return int(g.open.Load()) }

// Run steps the module until Stop. It is to be called once.
//
// At most one step a tick: what comes meanwhile is decided together. The rest of a tick is waited for by the runtime's timer, which
// may come up to a millisecond late. A thread that sleeps by itself would be on time, but where there is one processor it holds that
// processor, until the runtime takes it away some milliseconds later: readers and answers then stand still between all steps.
func (g *Gateway) Run() {
	defer close(g.done)
	tick := g.cfg.Settings.Tick
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	last := g.cfg.Clock.Now() - tick
	waiting := false // something has come, and waits for the tick to be over
	for {
		now, wait, wake := g.cfg.Clock.Now(), time.Hour, g.wake
		switch {
		case waiting:
			wait, wake = last+tick-now, nil
		case g.timer > 0:
			wait = max(g.timer, last+tick) - now
		}
		timer.Reset(max(0, wait))
		select {
		case <-g.halt:
			if !g.killed.Load() {
				g.rest()
			}
			return
		case f := <-g.asked:
			f()
			continue
		case <-wake:
			if waiting = g.cfg.Clock.Now() < last+tick; waiting {
				continue
			}
		case <-timer.C:
		}
		waiting = false
		last = g.cfg.Clock.Now()
		if late := int64(last - g.timer); g.timer > 0 && late > g.Counts.LateNanos.Load() {
			g.Counts.LateNanos.Store(late)
		}
		g.step(last)
	}
}

// step is one turn: events in, actions out.
func (g *Gateway) step(now time.Duration) {
	events, calls, results := g.take()
	for i, e := range events {
		switch e := e.(type) {
		case choice.Arrival:
			c := calls[e.Request]
			g.table[e.Request] = &entry{call: c, at: c.at}
			e.Expires -= now - c.at // it has waited for the loop
			events[i] = e
		case choice.HungUp:
			if r := g.table[e.Request]; r != nil && r.claim(Gone) {
				g.answer(e.Request, r, Answer{Kind: Gone}, now)
			}
		case choice.Returned:
			g.returned(e, results[result{e.Request, e.Attempt}], now)
		case choice.List:
			g.cfg.Log.Info().Int("workers", len(e.Workers)).Uint32("version", e.Version).Int("kind", int(e.Kind)).Msg("list")
		}
	}
	g.mu.Lock()
	moved := g.moved
	g.moved = false
	g.mu.Unlock()
	if moved {
		events = append(events, g.sweep(now)...)
	}
	g.timer = 0
	for _, w := range g.tokens {
		if w.At <= now {
			events = append(events, choice.Timer{Token: w.Token})
		}
	}
	g.tokens = keep(g.tokens, func(w choice.Wake) bool { return w.At > now })
	start := g.cfg.Clock.Now()
	actions, err := g.decide(now, events)
	g.Counts.StepNanos.Add(int64(g.cfg.Clock.Now() - start))
	g.Counts.Steps.Add(1)
	if err != nil {
		g.crashed(err, now)
		return
	}
	for _, a := range actions {
		g.carry(a, now)
	}
	for _, w := range g.tokens {
		if g.timer == 0 || w.At < g.timer {
			g.timer = w.At
		}
	}
}

func keep[T any](l []T, f func(T) bool) []T {
	kept := l[:0]
	for _, v := range l {
		if f(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

func (g *Gateway) take() ([]choice.Event, map[choice.RequestID]*Call, map[result]backend.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	events, calls, results := g.in, g.calls, g.results
	g.in = nil
	if len(calls) > 0 {
		g.calls = make(map[choice.RequestID]*Call, len(calls))
	}
	if len(results) > 0 {
		g.results = make(map[result]backend.Result, len(results))
	}
	if g.list != nil { // first, as the events that follow may be of its workers
		events = append([]choice.Event{*g.list}, events...)
		g.list = nil
	}
	return events, calls, results
}

func (g *Gateway) decide(now time.Duration, events []choice.Event) (a []choice.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("module crashed: %v", p)
		}
	}()
	return g.d.Step(now, events), nil
}

// returned notes how an attempt ended. If it served the request, the answer is out already: see send.
func (g *Gateway) returned(e choice.Returned, res backend.Result, now time.Duration) {
	r := g.table[e.Request]
	if r == nil || e.Attempt >= len(r.tries) {
		return
	}
	t := &r.tries[e.Attempt]
	t.outcome, t.took, t.status, t.note, t.run = e.Outcome, e.Took, res.Status, e.Note, nil
	r.out--
	if k := Kind(r.claimed.Load()); e.Outcome == choice.OK && (k == Served || k == Left) && !r.noted {
		g.note(e.Request, r, Answer{Kind: k}, now)
	}
	if r.noted && r.out == 0 {
		delete(g.table, e.Request)
	}
}

// answer gives the final answer of a request that the loop has claimed.
func (g *Gateway) answer(id choice.RequestID, r *entry, a Answer, now time.Duration) {
	a.MayRun = r.mayHaveRun()
	r.call.Deliver(a)
	g.note(id, r, a, now)
}

// note counts and logs an answer that was given.
func (g *Gateway) note(id choice.RequestID, r *entry, a Answer, now time.Duration) {
	r.noted = true
	g.open.Add(-1)
	switch a.Kind {
	case Served:
		g.Counts.Served.Add(1)
	case Refused:
		g.Counts.Refused.Add(1)
	case Failed:
		g.Counts.Failed.Add(1)
	case Gone:
		g.Counts.Gone.Add(1)
	case Left:
		g.Counts.Left.Add(1)
	}
	g.closing(id, r, a, now)
	if h := g.cfg.Hooks; h != nil {
		tenant := g.tenant(r.call.Tenant)
		h.Left(tenant)
		e := hook.Ended{Function: r.call.Function.Name, Tenant: tenant, Class: g.cfg.Settings.Classes[r.call.Function.Class].Name, Answer: a.Kind.String(),
			Took: now - r.at, Attempts: len(r.tries), Late: now > r.at+r.call.Expires}
		if len(r.tries) > 0 {
			e.Worker = r.tries[len(r.tries)-1].worker
		}
		h.Post("ended", e)
	}
	g.told.keep(id, r, a, now)
	r.call = nil // the body goes; attempts out may stay a while
	if r.out == 0 {
		delete(g.table, id)
	}
}

var errNoRequest = errors.New("the module acts on a request that is not open")

// carry carries one action out.
func (g *Gateway) carry(a choice.Action, now time.Duration) {
	switch a := a.(type) {
	case choice.Send:
		g.send(a, now)
	case choice.Refuse:
		g.final(a.Request, Answer{Kind: Refused, After: a.After}, now)
	case choice.Fail:
		r := g.table[a.Request]
		g.final(a.Request, Answer{Kind: Failed, Late: r != nil && r.out > 0}, now)
	case choice.Cancel:
		if r := g.table[a.Request]; r != nil && a.Attempt < len(r.tries) && r.tries[a.Attempt].run != nil {
			r.tries[a.Attempt].run.Cancel()
		}
	case choice.Wake:
		g.tokens = append(g.tokens, a)
	case choice.Hold:
		g.hold(a)
	case choice.Unload:
		if name, _, ok := g.functionName(a.Function); ok {
			g.cfg.Carrier.Unload(a.Worker, name)
		}
	case choice.Probe:
		g.cfg.Carrier.Probe(a.Worker, func(o choice.Outcome, took time.Duration, report []float64) {
			g.put(choice.Probed{Worker: a.Worker, Outcome: o, Took: took, Report: report})
		})
	case choice.Close:
		g.cfg.Carrier.CloseIdle(a.Worker)
	case choice.Watch:
		if g.cfg.Lister != nil {
			g.cfg.Lister.Watch(a.On)
		}
	case choice.Fetch:
		if g.cfg.Lister != nil {
			g.cfg.Lister.Fetch()
		}
	case choice.Tell:
		if g.cfg.Peers != nil && g.cfg.Settings.Limits.Peers {
			g.cfg.Peers.Tell(a.To, a.Payload)
		}
	case choice.Log:
		g.cfg.Log.Info().Str("text", a.Text).Msg("module")
	default:
		g.cfg.Log.Error().Str("action", fmt.Sprintf("%T", a)).Msg("unknown action")
	}
}

func (g *Gateway) final(id choice.RequestID, a Answer, now time.Duration) {
	r := g.table[id]
	if r == nil || r.noted {
		g.cfg.Log.Error().Uint64("request", uint64(id)).Err(errNoRequest).Msg("final")
		return
	}
	if r.claim(a.Kind) { // else it was served while the module decided: its event comes next
		g.answer(id, r, a, now)
	}
}

func (g *Gateway) send(a choice.Send, now time.Duration) {
	r := g.table[a.Request]
	if r == nil || r.noted {
		g.cfg.Log.Error().Uint64("request", uint64(a.Request)).Err(errNoRequest).Msg("send")
		return
	}
	if r.claimed.Load() != 0 { // served while the module decided
		g.put(choice.Returned{Request: a.Request, Attempt: len(r.tries), Worker: a.Worker, Outcome: choice.Moot})
		r.tries = append(r.tries, try{worker: g.workerName(a.Worker), sent: now})
		r.out++
		return
	}
	v := g.verdict(r.call)
	if v == registry.Leaving && (r.mayHaveRun() || r.call.Bound.Times >= registry.MostAnew) {
		v = registry.May // it goes on under what it began with
	}
	if v != registry.May { // nothing of it goes out
		n := len(r.tries)
		r.tries = append(r.tries, try{worker: g.workerName(a.Worker), sent: now, outcome: choice.Moot})
		g.put(choice.Returned{Request: a.Request, Attempt: n, Worker: a.Worker, Outcome: choice.Moot})
		r.out++
		if g.leave(a.Request, r, v, now) {
			g.put(choice.HungUp{Request: a.Request})
		}
		return
	}
	n, worker, call := len(r.tries), a.Worker, r.call
	t := try{worker: g.workerName(worker), sent: now}
	if g.told.most > 0 || call.Progress != nil {
		t.look = g.d.Look(call.Function.ID, worker)
	}
	if call.Progress != nil {
		call.Progress(n, t.worker, !t.look.Warm)
	}
	r.out++
	at := backend.Attempt{Worker: worker, Call: call.ID, Class: g.cfg.Settings.Classes[call.Function.Class].Name,
		Function: r.call.Function.Name, Trace: traceparent(r.call.Trace, g.rng.Uint64()),
		Key: r.call.Key, Digest: r.call.Function.Digest, Body: r.call.Body, Within: a.Timeout, Wanted: func() bool { return r.claimed.Load() == 0 }}
	t.run = g.cfg.Carrier.Send(at, func(res backend.Result) {
		// A served answer goes out here, not a tick later: by this very event the module ends the request, and
		// whoever claims it first, this or the loop, gives the one answer.
		// With no other request in hand there is nothing to decide by it: it is taken in with the next step, which
		// the module's Wake brings at the latest.
		idle := false
		keyed := g.cfg.Settings.Classes[call.Function.Class].Effect == choice.Keyed
		if want := call.Function.Digest; want != "" && res.Outcome == choice.OK && (res.Digest != want || r.wrong.Load()) {
			r.wrong.Store(keyed)
			g.Counts.Mismatched.Add(1)
			g.cfg.Log.Error().Str("worker", g.workerName(worker)).Str("function", call.Function.Name).Str("wanted", want).Str("ran", res.Digest).Msg("other bytes ran: the answer is dropped")
			res.Outcome = choice.Error
		}
		if res.Outcome == choice.OK {
			if v := g.verdict(call); v != registry.May && v != registry.Leaving {
				if r.claim(Left) {
					call.Deliver(Answer{Kind: Left, Verdict: v, MayRun: true})
				}
			} else if r.claim(Served) {
				call.Deliver(Answer{Kind: Served, Body: res.Body})
				idle = g.open.Load() == 1
			}
		}
		res.Body = nil
		e := choice.Returned{Request: a.Request, Attempt: n, Worker: worker, Outcome: res.Outcome, Took: res.Took,
			Complete: res.Outcome == choice.OK, Note: res.Note, Alike: res.Alike, Report: res.Report}
		g.mu.Lock()
		g.results[result{a.Request, n}] = res
		g.in = append(g.in, e)
		idle = idle && !g.stopped
		g.mu.Unlock()
		if !idle {
			g.poke()
		}
	})
	r.tries = append(r.tries, t)
}

func (g *Gateway) verdict(c *Call) registry.Verdict {
	if c.Bound == nil || g.cfg.Versions == nil {
		return registry.May
	}
	return g.cfg.Versions.MayAnswer(c.Bound.Name, c.Bound.Target)
}

// mayHaveRun tells whether an attempt of a request may have run, or may yet.
func (r *entry) mayHaveRun() bool {
	return slices.ContainsFunc(r.tries, func(t try) bool {
		return t.outcome != choice.Full && t.outcome != choice.ConnectFailed && t.outcome != choice.Moot && t.outcome != choice.Miss
	})
}

// leave takes a request whose version was left, or may have been, from the module and hands it back to its front, if what
// is out needs not be waited for. What is out is withdrawn.
func (g *Gateway) leave(id choice.RequestID, r *entry, v registry.Verdict, now time.Duration) bool {
	effect, mayHaveRun := g.cfg.Settings.Classes[r.call.Function.Class].Effect, r.mayHaveRun()
	out := slices.ContainsFunc(r.tries, func(t try) bool { return t.run != nil })
	next := registry.After(effect, out, mayHaveRun, r.call.Bound.Times)
	if v == registry.NoLease {
		next = registry.WithoutLease(effect, out, mayHaveRun)
	}
	if next == registry.Wait || !r.claim(Left) {
		return false
	}
	for i := range r.tries {
		if run := r.tries[i].run; run != nil {
			run.Cancel()
		}
	}
	g.answer(id, r, Answer{Kind: Left, Verdict: v}, now)
	return true
}

// Sweep looks for calls whose version was left while they wait. It is called when aliases have moved.
func (g *Gateway) Sweep() {
	g.mu.Lock()
	g.moved = true
	g.mu.Unlock()
	g.poke()
}

// sweep hands back the calls that have been left, and returns what the module is to be told.
func (g *Gateway) sweep(now time.Duration) (events []choice.Event) {
	for _, id := range sortedKeys(g.table) {
		r := g.table[id]
		if r.noted || r.claimed.Load() != 0 {
			continue
		}
		v := g.verdict(r.call)
		// While the move is not acknowledged, what runs goes on, and what does not run begins anew.
		leave := v == registry.Left || v == registry.Leaving && !r.mayHaveRun() && r.out == 0 && r.call.Bound.Times < registry.MostAnew
		if leave && g.leave(id, r, v, now) {
			events = append(events, choice.HungUp{Request: id})
		}
	}
	return events
}

func (g *Gateway) hold(a choice.Hold) {
	name, digest, ok := g.functionName(a.Function)
	if !ok {
		g.put(choice.Held{Worker: a.Worker, Function: a.Function, Outcome: choice.Moot})
		return
	}
	g.cfg.Carrier.Hold(backend.Order{Worker: a.Worker, Function: name, Digest: digest, Copies: a.Copies},
		func(o choice.Outcome, copies int, took time.Duration) {
			if digest != "" && o == choice.OK && g.cfg.Versions != nil {
				g.cfg.Versions.Stands(name, g.workerName(a.Worker), copies)
			}
			if h := g.cfg.Hooks; h != nil && (o == choice.Full || o == choice.Error) {
				h.Post("load_refused", hook.Load{Function: name, Worker: g.workerName(a.Worker), Outcome: outcomes[o], Took: took})
			}
			g.put(choice.Held{Worker: a.Worker, Function: a.Function, Outcome: o, Took: took, Copies: copies})
		})
}

// crashed answers all that is open and begins anew: a fault in the module costs what it knew, not the process.
func (g *Gateway) crashed(err error, now time.Duration) {
	g.Counts.Crashes.Add(1)
	g.cfg.Log.Error().Err(err).Int("open", g.Open()).Msg("all open requests are answered, the module starts anew")
	g.answerAll(now)
	g.crash++
	d, err := choice.New(g.cfg.Settings, g.cfg.Seed+g.crash)
	if err != nil {
		panic(err) // it took these settings before
	}
	g.d, g.tokens = d, nil
	g.mu.Lock()
	l := g.names.whole(choice.Cached)
	g.list = &l
	g.mu.Unlock()
	g.poke()
}

// answerAll answers all that is open: refused where another try does no harm, as it is known never to have run or may run twice.
func (g *Gateway) answerAll(now time.Duration) {
	for _, id := range sortedKeys(g.table) {
		r := g.table[id]
		for i := range r.tries {
			if run := r.tries[i].run; run != nil {
				run.Cancel()
			}
		}
		if r.noted {
			continue
		}
		k := Failed
		if !r.mayHaveRun() || g.cfg.Settings.Classes[r.call.Function.Class].Effect == choice.Safe {
			k = Refused
		}
		if r.claim(k) {
			g.answer(id, r, Answer{Kind: k}, now)
		} else { // answered, and its event was not taken in
			g.note(id, r, Answer{Kind: Kind(r.claimed.Load())}, now)
		}
	}
}

// Stop takes nothing more, waits until all that is in hand is answered or the time is up, answers the rest, and
// ends Run.
func (g *Gateway) Stop(within time.Duration) {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	end := time.Now().Add(within)
	for g.open.Load() > 0 && time.Now().Before(end) {
		time.Sleep(g.cfg.Settings.Tick)
	}
	close(g.halt)
	<-g.done
}

// Kill ends Run with nobody answered, as the end of the process would.
func (g *Gateway) Kill() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.killed.Store(true)
	close(g.halt)
}

// rest ends the loop: what arrived last is taken in and answered too.
func (g *Gateway) rest() {
	now := g.cfg.Clock.Now()
	events, calls, results := g.take()
	for _, e := range events {
		switch e := e.(type) {
		case choice.Arrival:
			g.table[e.Request] = &entry{call: calls[e.Request], at: calls[e.Request].at}
		case choice.Returned:
			g.returned(e, results[result{e.Request, e.Attempt}], now)
		}
	}
	g.answerAll(now)
}
