package gateway

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/backend"
	"kitehub/internal/clock"
	"kitehub/scheduler"
)

const ms = time.Millisecond

func settings() scheduler.Settings {
	return scheduler.Settings{Controllers: 1, Tick: ms, Classes: []scheduler.Class{{Name: "safe", Idempotency: scheduler.Idempotent, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: 1},
		{Name: "unsafe", Idempotency: scheduler.NonIdempotent, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Limits:     scheduler.Limits{MaxAttempts: 3, MaxOpenRequests: 10, DialTimeout: 250 * ms, Cancel: true, Peers: true},
		Loading:    scheduler.Loading{Orders: true, LoadsOnMiss: true, OnMissKnown: true, IdleCopyTTL: 8 * time.Second, OrderTimeout: 5 * time.Second, LoadNotesGiven: true},
		Guarantees: scheduler.Guarantees{DrainGrace: 500 * ms, WarmupFraction: 0.2, WarmupTime: 10 * time.Second, CollapseFactor: 2, CollapseWindow: 2 * time.Second}}
}

// carrier notes what is carried, and leaves the ends to the test.
type carrier struct {
	mu    sync.Mutex
	sends []func(backend.Result)
	to    []scheduler.WorkerID
	list  []backend.Endpoint
	log   []string
}

type idle struct{}

func (idle) Cancel() {}

func (c *carrier) Send(a backend.Attempt, done func(backend.Result)) backend.Running {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends, c.to = append(c.sends, done), append(c.to, a.Worker)
	return idle{}
}
func (c *carrier) LoadCopies(o backend.LoadOrder, done func(scheduler.Outcome, int, time.Duration)) {
	c.note("hold %s %d", o.Function, o.Copies)
	go done(scheduler.OK, o.Copies, ms)
}
func (c *carrier) Unload(_ scheduler.WorkerID, fn string) { c.note("unload %s", fn) }
func (c *carrier) Probe(_ scheduler.WorkerID, done func(scheduler.Outcome, time.Duration, []float64)) {
	c.note("probe")
	go done(scheduler.OK, ms, nil)
}
func (c *carrier) CloseIdle(scheduler.WorkerID) { c.note("close") }
func (c *carrier) Update(l []backend.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append([]backend.Endpoint(nil), l...)
}
func (c *carrier) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, fmt.Sprintf(format, args...))
}

func (c *carrier) send(i int) func(backend.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i < len(c.sends) {
		return c.sends[i]
	}
	return nil
}

type words struct{ told []string }

func (w *words) Send(to int, payload []byte) {
	w.told = append(w.told, fmt.Sprint(to, " ", string(payload)))
}

type lister struct{ asked []string }

func (l *lister) Watch(on bool) { l.asked = append(l.asked, fmt.Sprint("watch ", on)) }
func (l *lister) Fetch()        { l.asked = append(l.asked, "fetch") }

// fixed returns a gateway on a clock that the test moves; its loop does not run.
func fixed(t *testing.T) (*Gateway, *carrier, *clock.Manual, *strings.Builder) {
	t.Helper()
	c, clk, log := &carrier{}, clock.NewManual(time.Unix(1700000000, 0)), &strings.Builder{}
	g, err := New(Config{Name: "c", Settings: settings(), Seed: 1, Clock: clk, Transport: c, Log: zerolog.New(log), Peers: &words{}, Lister: &lister{}})
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Workers(scheduler.FullList, 1, []Worker{{Name: "w1", Network: "tcp", Addr: "a:1", State: scheduler.Ready}, {Name: "w2", Network: "tcp", Addr: "a:2", State: scheduler.Ready}}); err != nil {
		t.Fatal(err)
	}
	return g, c, clk, log
}

func call(t *testing.T, g *Gateway, class int, answers *[]Answer) scheduler.RequestID {
	t.Helper()
	name := fmt.Sprint("f", class)
	id, err := g.AddFunction(name)
	if err != nil {
		t.Fatal(err)
	}
	r, ok := g.Submit(&Call{ID: "m", Function: &Function{Name: name, ID: id, Class: class, Lanes: 2}, TimeLeft: 2 * time.Second,
		Deliver: func(a Answer) { *answers = append(*answers, a) }})
	if !ok {
		t.Fatal("not taken")
	}
	return r
}

func TestStep(t *testing.T) {
	g, c, clk, log := fixed(t)
	var got []Answer
	call(t, g, 0, &got)
	g.step(clk.Now())
	if c.send(0) == nil {
		t.Fatal("nothing sent")
	}
	clk.Advance(30 * ms)
	c.send(0)(backend.Result{Outcome: scheduler.OK, Took: 30 * ms, Body: []byte("yes")})
	g.step(clk.Now())
	if len(got) != 1 || got[0].Kind != Served || string(got[0].Body) != "yes" || g.Open() != 0 || len(g.inFlight) != 0 {
		t.Errorf("%+v, %d open, table %d", got, g.Open(), len(g.inFlight))
	}
	if !strings.Contains(log.String(), `"answer":"served"`) || !strings.Contains(log.String(), `ok 30ms"]`) {
		t.Errorf("closing line: %s", log)
	}
}

// Beyond Limits.Open a call is not taken; an answer frees its place.
func TestOpen(t *testing.T) {
	g, c, clk, _ := fixed(t)
	var got []Answer
	for range 10 {
		call(t, g, 0, &got)
	}
	if _, ok := g.Submit(&Call{Function: &Function{}}); ok {
		t.Error("an eleventh was taken")
	}
	g.step(clk.Now())
	c.send(0)(backend.Result{Outcome: scheduler.OK, Took: ms})
	g.step(clk.Now())
	call(t, g, 0, &got)
	if g.Open() != 10 {
		t.Errorf("%d open", g.Open())
	}
}

// A late answer of an attempt whose request was answered goes nowhere.
func TestLateAnswerIsDropped(t *testing.T) {
	g, c, clk, _ := fixed(t)
	var got []Answer
	call(t, g, 1, &got)
	g.step(clk.Now())
	for range 250 { // to the deadline
		clk.Advance(10 * ms)
		g.step(clk.Now())
	}
	if len(got) != 1 || got[0].Kind != Failed || !got[0].DeadlineExceeded {
		t.Fatalf("%+v", got)
	}
	c.send(0)(backend.Result{Outcome: scheduler.OK, Took: 3 * time.Second, Body: []byte("late")})
	g.step(clk.Now())
	if len(got) != 1 || len(g.inFlight) != 0 {
		t.Errorf("%+v, table %d", got, len(g.inFlight))
	}
}

// The answer and the hang-up of a client: one end, whichever is first.
func TestAnswerAndCancelTogether(t *testing.T) {
	for _, hangUpFirst := range []bool{false, true} {
		g, c, clk, _ := fixed(t)
		var got []Answer
		id := call(t, g, 1, &got)
		g.step(clk.Now())
		ok := func() { c.send(0)(backend.Result{Outcome: scheduler.OK, Took: ms, Body: []byte("x")}) }
		want := Served
		if hangUpFirst {
			g.Cancel(id)
			g.step(clk.Now())
			ok()
			want = ClientClosed
		} else {
			ok()
			g.Cancel(id)
		}
		g.step(clk.Now())
		if len(got) != 1 || got[0].Kind != want || g.Open() != 0 || len(g.inFlight) != 0 {
			t.Errorf("%+v, want one %v; %d open, table %d", got, want, g.Open(), len(g.inFlight))
		}
		if want == ClientClosed && !got[0].MayHaveRun {
			t.Error("an attempt that was out did not count as one that may have run")
		}
	}
}

// A module that crashes costs what it knew: what may have run has failed, what was never sent is refused, and the next
// call is served by a new one that knows the list.
func TestModuleCrash(t *testing.T) {
	g, c, clk, log := fixed(t)
	var sent, queued, after []Answer
	call(t, g, 1, &sent)
	g.step(clk.Now())
	call(t, g, 1, &queued)
	g.dispatcher = nil // the next step is a crash
	g.step(clk.Now())
	if len(sent) != 1 || sent[0].Kind != Failed || len(queued) != 1 || queued[0].Kind != Rejected {
		t.Errorf("sent %+v, queued %+v", sent, queued)
	}
	if g.Counts.Crashes.Load() != 1 || !strings.Contains(log.String(), "module crashed") {
		t.Error("not told")
	}
	clk.Advance(ms)
	c.send(0)(backend.Result{Outcome: scheduler.OK, Took: ms}) // of before
	call(t, g, 1, &after)
	g.step(clk.Now())
	if c.send(1) == nil {
		t.Fatal("nothing sent after the crash")
	}
	c.send(1)(backend.Result{Outcome: scheduler.OK, Took: ms})
	g.step(clk.Now())
	if len(after) != 1 || after[0].Kind != Served || len(sent) != 1 {
		t.Errorf("after %+v, sent %+v", after, sent)
	}
}

// Each action of the module is carried out.
func TestCarry(t *testing.T) {
	g, c, clk, log := fixed(t)
	fn, err := g.AddFunction("f")
	if err != nil {
		t.Fatal(err)
	}
	w := WorkerID("w1")
	for _, a := range []scheduler.Action{scheduler.Unload{Worker: w, Function: fn}, scheduler.Probe{Worker: w}, scheduler.Close{Worker: w},
		scheduler.Gossip{To: 2, Payload: []byte("hi")}, scheduler.Watch{On: true}, scheduler.Fetch{}, scheduler.Log{Text: "note"}, scheduler.LoadOrder{Worker: w, Function: fn, Copies: 2},
		scheduler.LoadOrder{Worker: w, Function: 99}, scheduler.Wake{At: clk.Now() + ms, Token: 7}, scheduler.Reject{Request: 12345}, scheduler.Cancel{Request: 12345}} {
		g.execute(a, clk.Now())
	}
	if s := strings.Join(c.log, ", "); s != "unload f, probe, close, hold f 2" {
		t.Errorf("carried %q", s)
	}
	if s := fmt.Sprint(g.cfg.Peers.(*words).told, g.cfg.Lister.(*lister).asked); s != "[2 hi] [watch true fetch]" {
		t.Errorf("told %s", s)
	}
	if !strings.Contains(log.String(), `"text":"note"`) || !strings.Contains(log.String(), errUnknownRequest.Error()) {
		t.Errorf("logged %s", log)
	}
	if len(g.wakeups) != 1 || g.wakeups[0].Token != 7 {
		t.Errorf("tokens %v", g.wakeups)
	}
}

// Two names with one hash are an error, and the list stays as it was.
func TestCollisions(t *testing.T) {
	g, c, _, _ := fixed(t)
	g.directory.functions[FunctionID("a")] = "b"
	if _, err := g.AddFunction("a"); err == nil {
		t.Error("two functions with one hash")
	}
	before := len(c.list)
	twice := []Worker{{Name: "w1", Network: "tcp", Addr: "x:1", State: scheduler.Ready}, {Name: "w9", Network: "tcp", Addr: "x:2", State: scheduler.Ready}}
	g.directory.workers[WorkerID("w9")] = Worker{Name: "another"}
	if err := g.Workers(scheduler.ListDelta, 2, twice); err == nil || len(c.list) != before {
		t.Errorf("err %v, list of %d", err, len(c.list))
	}
}

// A delta that drains a worker reaches the back end at once, before the module's next step.
func TestDrainReachesBackendAtOnce(t *testing.T) {
	g, c, clk, _ := fixed(t)
	g.step(clk.Now())
	if err := g.Workers(scheduler.ListDelta, 2, []Worker{{Name: "w1", Network: "tcp", Addr: "a:1", State: scheduler.Draining}, {Name: "w2", State: scheduler.Gone}}); err != nil {
		t.Fatal(err)
	}
	if len(c.list) != 1 || c.list[0].Name != "w1" || c.list[0].Ready {
		t.Errorf("%+v", c.list)
	}
	var got []Answer
	call(t, g, 0, &got)
	g.step(clk.Now())
	if c.send(0) != nil {
		t.Error("sent to a worker that drains")
	}
}

// The start of a worker is told on the module's clock; a clock whose time of day jumps does not move it.
func TestStartedOnTheClock(t *testing.T) {
	g, _, clk, _ := fixed(t)
	clk.SetWall(clk.Wall().Add(time.Hour))
	started := clk.Wall().Add(-3 * time.Second)
	if err := g.Workers(scheduler.FullList, 2, []Worker{{Name: "w1", Network: "tcp", Addr: "a:1", State: scheduler.Ready, Started: started}}); err != nil {
		t.Fatal(err)
	}
	if got := clk.Now() - g.pendingList.Workers[0].StartedAt; got != 3*time.Second {
		t.Errorf("started %v ago, want 3 s", got)
	}
}

func TestFunctions(t *testing.T) {
	g, _, _, _ := fixed(t)
	f, err := NewFunctions(g, []Spec{{Name: "one", Class: 1}, {Name: "q-*", Lanes: 3, Most: 2}})
	if err != nil {
		t.Fatal(err)
	}
	if f.Find("one").Class != 1 || f.Find("q-1").Lanes != 3 || f.Find("q-2") == nil || f.Find("q-1") != f.Find("q-1") {
		t.Error("not found")
	}
	if f.Find("q-3") != nil || f.Find("two") != nil || f.Find("q-"+strings.Repeat("x", 200)) != nil {
		t.Error("found what is past the bound or not there")
	}
	if allocs := testing.AllocsPerRun(100, func() { f.Find("q-2") }); allocs > 0 {
		t.Errorf("%v allocations to find a function", allocs)
	}
}

// BenchmarkStep is the CPU of a step with a call in and an answer out, at 50 requests in hand on 12 workers.
func BenchmarkStep(b *testing.B) {
	s := settings()
	s.Limits.MaxOpenRequests = 1000
	c, clk := &carrier{}, clock.NewManual(time.Unix(1700000000, 0))
	g, err := New(Config{Settings: s, Seed: 1, Clock: clk, Transport: c, Log: zerolog.Nop(), OmitRequestLog: true})
	if err != nil {
		b.Fatal(err)
	}
	var l []Worker
	for i := range 12 {
		l = append(l, Worker{Name: fmt.Sprint("w", i), Network: "tcp", Addr: fmt.Sprint("a:", i), State: scheduler.Ready})
	}
	g.Workers(scheduler.FullList, 1, l)
	var fns []*Function
	for i := range 20 {
		name := fmt.Sprint("f", i)
		id, _ := g.AddFunction(name)
		fns = append(fns, &Function{Name: name, ID: id, Lanes: 8})
	}
	answered := 0
	next := func(i int) {
		g.Submit(&Call{Function: fns[i%len(fns)], TimeLeft: time.Second, Deliver: func(Answer) { answered++ }})
	}
	for i := range 50 {
		next(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		clk.Advance(ms)
		g.step(clk.Now())
		c.mu.Lock()
		sends := c.sends
		c.sends, c.to = nil, nil
		c.mu.Unlock()
		for _, done := range sends {
			done(backend.Result{Outcome: scheduler.OK, Took: 20 * ms, Note: scheduler.FoundWarm})
			next(i)
		}
	}
	b.ReportMetric(float64(answered)/float64(b.N), "calls/step")
}

// A request that is served while the module decides is neither answered again nor sent again.
func TestServedWhileTheModuleDecides(t *testing.T) {
	g, c, clk, _ := fixed(t)
	var got []Answer
	id := call(t, g, 0, &got)
	g.step(clk.Now())
	c.send(0)(backend.Result{Outcome: scheduler.OK, Took: ms, Body: []byte("x")})
	g.execute(scheduler.Reject{Request: id}, clk.Now())
	g.execute(scheduler.Send{Request: id, Worker: WorkerID("w2"), Timeout: time.Second}, clk.Now())
	if c.send(1) != nil {
		t.Error("sent after it was served")
	}
	g.step(clk.Now()) // its event
	g.step(clk.Now()) // the moot one's
	if len(got) != 1 || got[0].Kind != Served || g.Open() != 0 || len(g.inFlight) != 0 {
		t.Errorf("%+v, %d open, table %d", got, g.Open(), len(g.inFlight))
	}
}

// Advice to keep names warm takes none of the places that a star leaves for names that are called, and leaves no name behind.
func TestAdviceTakesNoPlace(t *testing.T) {
	g, err := New(Config{Settings: settings(), Seed: 1, Clock: clock.System(), Transport: &carrier{}, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	f, err := NewFunctions(g, []Spec{{Name: "q-*", MemoryMB: 7, Most: 2}})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		name := fmt.Sprint("q-", i)
		if s, ok := f.Spec(name); !ok || s.MemoryMB != 7 {
			t.Fatal(name, s, ok)
		}
		g.KeepWarm(name, 1, time.Hour)
		if i != 3 {
			g.KeepWarm(name, 0, 0)
		}
	}
	if _, ok := f.Spec("x"); ok || f.Find("q-a") == nil || f.Find("q-3") == nil || f.Find("q-c") != nil {
		t.Error("the places of the star are not those of two calls")
	}
	g.KeepWarm("q-3", 0, 0) // it is called by now, and stays known
	if n := len(g.directory.functions); n != 2 || len(g.directory.adviceOnly) != 0 {
		t.Errorf("%d names, %d by advice", n, len(g.directory.adviceOnly))
	}
}

// A keyed call of which other bytes ran takes no later answer: its group drops the repeat and gives what those bytes said, under
// the right digest. A safe one takes the answer of the right bytes.
func TestWrongBytes(t *testing.T) {
	for _, tt := range []struct {
		effect scheduler.Idempotency
		want   AnswerKind
	}{{scheduler.Idempotent, Served}, {scheduler.IdempotentWithKey, Failed}} {
		g, c, clk, _ := fixed(t)
		g.cfg.Settings.Classes[0].Idempotency, g.cfg.Settings.Classes[0].DedupScope, g.cfg.Settings.Classes[0].DedupWindow = tt.effect, scheduler.AllWorkers, time.Second
		var err error
		if g.dispatcher, err = scheduler.New(g.cfg.Settings, 1); err != nil {
			t.Fatal(err)
		}
		id, err := g.AddFunction("m@1")
		if err != nil {
			t.Fatal(err)
		}
		var got []Answer
		if _, ok := g.Submit(&Call{ID: "m", Function: &Function{Name: "m@1", ID: id, Digest: "right", Lanes: 2}, TimeLeft: 2 * time.Second,
			Deliver: func(a Answer) { got = append(got, a) }}); !ok {
			t.Fatal("not taken")
		}
		digests := []string{"wrong", "right", "right", "right", "right"}
		for i := 0; len(got) == 0 && i < 1000; i++ {
			g.step(clk.Now())
			clk.Advance(10 * ms)
			if n := len(digests); n > 0 && c.send(5-n) != nil {
				c.send(5 - n)(backend.Result{Outcome: scheduler.OK, Took: 10 * ms, Digest: digests[0], Body: []byte("x")})
				digests = digests[1:]
			}
		}
		if len(got) != 1 || got[0].Kind != tt.want && !(tt.want == Failed && got[0].Kind == Rejected) || len(digests) > 3 {
			t.Errorf("effect %d: %+v after %d attempts, want %v", tt.effect, got, 5-len(digests), tt.want)
		}
	}
}

// TestLag: a loop that comes late to a call takes the delay off the time that the client still waits.
func TestLag(t *testing.T) {
	g, _, clk, _ := fixed(t)
	var got []Answer
	call(t, g, 0, &got) // for 2 s
	clk.Advance(1500 * ms)
	for at := 1500 * ms; at <= 2*time.Second; at += 10 * ms {
		g.step(clk.Now())
		clk.Advance(10 * ms)
	}
	if len(got) != 1 {
		t.Errorf("%d answers after 2 s, where the loop came 1.5 s late", len(got))
	}
	got = nil
	call(t, g, 0, &got)
	clk.Advance(3 * time.Second)
	g.step(clk.Now())
	if len(got) != 1 || got[0].Kind != Rejected {
		t.Errorf("%+v to a call whose time was up before the loop came, want it refused at once", got)
	}
}

// TestAnswerAll: what is open when the loop ends is refused where another try does no harm, and has failed where it may have run.
func TestAnswerAll(t *testing.T) {
	for class, want := range map[int]AnswerKind{0: Rejected, 1: Failed} {
		g, c, clk, _ := fixed(t)
		if effect := g.cfg.Settings.Classes[class].Idempotency; (effect == scheduler.Idempotent) != (want == Rejected) {
			t.Fatalf("class %d is %v", class, effect)
		}
		var out, full []Answer
		call(t, g, class, &out)
		g.step(clk.Now())
		if c.send(0) == nil {
			t.Fatal("it is not out")
		}
		g.answerAll(clk.Now())
		if len(out) != 1 || out[0].Kind != want {
			t.Errorf("class %d, with an attempt out: %+v, want %v", class, out, want)
		}
		g, c, clk, _ = fixed(t)
		call(t, g, class, &full)
		g.step(clk.Now())
		c.send(0)(backend.Result{Outcome: scheduler.AtCapacity, Took: ms})
		events, _, results := g.takePending()
		for _, e := range events {
			if e, ok := e.(scheduler.AttemptEnded); ok {
				g.recordAttemptEnd(e, results[attemptKey{e.Request, e.Attempt}], clk.Now())
			}
		}
		g.answerAll(clk.Now())
		if len(full) != 1 || full[0].Kind != Rejected {
			t.Errorf("class %d, with an attempt that never ran: %+v, want a refusal", class, full)
		}
	}
}

// TestTickHoldsNothing: while the loop waits for its tick to be over, with something to decide, it still answers what it is
// asked and ends when told to.
func TestTickHoldsNothing(t *testing.T) {
	g, _, _, _ := fixed(t)
	g.cfg.Settings.Tick = time.Hour
	go g.Run()
	look := func() uint64 {
		steps := make(chan uint64)
		select {
		case g.loopTasks <- func() { steps <- uint64(g.Counts.Steps.Load()) }:
			return <-steps
		case <-time.After(20 * time.Second):
			t.Fatal("the loop stands still")
			return 0
		}
	}
	for look() == 0 { // the list is waiting
		runtime.Gosched()
	}
	var answers []Answer
	call(t, g, 0, &answers)
	for len(g.wake) > 0 { // until the loop knows of it
		runtime.Gosched()
	}
	if n := look(); n != 1 {
		t.Errorf("%d steps in a tick", n)
	}
	stopped := make(chan struct{})
	go func() {
		g.Stop(0)
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(20 * time.Second):
		t.Fatal("it does not end before its tick is over")
	}
	if len(answers) != 1 || answers[0].Kind != Rejected {
		t.Errorf("%+v", answers)
	}
}
