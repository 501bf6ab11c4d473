package hookengine

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
	"kitehub/internal/store"
)

// A fakeHost records what an engine brings about. It knows functions f..., and the tenant t.
type fakeHost struct {
	mu      sync.Mutex
	effects []string
	notices []hookadvice.Notice
}

func (h *fakeHost) record(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.effects = append(h.effects, fmt.Sprintf(format, args...))
}

func (h *fakeHost) KeepWarm(function string, copies int, _ time.Duration) {
	h.record("warm %s %d", function, copies)
}

func (h *fakeHost) RankWorker(worker string, rank int, _ time.Duration) {
	h.record("rank %s %d", worker, rank)
}

func (h *fakeHost) Function(name string) (float64, bool) { return 1, strings.HasPrefix(name, "f") }
func (h *fakeHost) Tenant(name string) bool              { return name == "t" }

func (h *fakeHost) notify(n hookadvice.Notice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notices = append(h.notices, n)
}

// summary returns all effects.
func (h *fakeHost) summary() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Join(h.effects, ", ")
}

// startEngine starts an engine with four workers. change may alter its configuration.
func startEngine(t *testing.T, h *fakeHost, clk clock.Clock, change func(*Config)) *Engine {
	t.Helper()
	cfg := Config{
		Lifecycle:    LifecycleSettings{Rate: 1 << 40}, // no bound
		Advice:       hookadvice.Settings{Cap: 100},
		Facts:        h,
		Sink:         h,
		Notify:       h.notify,
		Clock:        clk,
		Log:          zerolog.Nop(),
		SaveInterval: time.Nanosecond,
	}
	if change != nil {
		change(&cfg)
	}
	e, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Close() })
	var workers []hookadvice.Worker
	for i := range 4 {
		workers = append(workers, hookadvice.Worker{Name: fmt.Sprint("w", i+1), Ready: true})
	}
	e.Workers(workers)
	return e
}

func manualClock() *clock.Manual { return clock.NewManual(time.Unix(1000, 0)) }

// waitHandled waits until what was posted before has been handled.
func waitHandled(t *testing.T, e *Engine) {
	t.Helper()
	for len(e.queue) > 0 {
		if err := e.onLoop(func() {}); err != nil {
			t.Fatal(err)
		}
	}
	e.onLoop(func() {})
	e.onLoop(func() {}) // the loop's turn before has ended, timers included
}

func load(t *testing.T, e *Engine, name, text string, shadow bool) {
	t.Helper()
	if _, _, err := e.Load(name, text, "test", shadow); err != nil {
		t.Fatal(err)
	}
}

// counter keeps another function warm at each event.
const counter = "state n int = 0\non ended(e) {\nn += 1\nkeep_warm(\"f\" + str(n), 1, 1h)\n}\n"

// Versions and states outlive the process, and a new version goes on with the state.
func TestVersionsAndStatesOutliveTheProcess(t *testing.T) {
	h := &fakeHost{}
	clk := manualClock()
	dir := t.TempDir()
	stored := func(cfg *Config) { cfg.FS = store.Dir(dir) }
	e := startEngine(t, h, clk, stored)
	load(t, e, "a", counter, false)
	for range 3 {
		e.Post("ended", hooklang.Ended{})
	}
	e.Post("timer", hooklang.Tick{}) // no script has a handler of it
	waitHandled(t, e)
	if got := h.summary(); got != "warm f1 1, warm f2 1, warm f3 1" {
		t.Fatal(got)
	}
	if n := e.Counts.Posted.Load(); n != 3 {
		t.Errorf("%d posted", n)
	}
	e.Close()
	h = &fakeHost{}
	e = startEngine(t, h, clk, stored)
	load(t, e, "a", strings.Replace(counter, "1h", "2h", 1), false)
	e.Post("ended", hooklang.Ended{})
	waitHandled(t, e)
	if got := h.summary(); got != "warm f4 1" {
		t.Error(got)
	}
	o, err := e.Overview()
	if err != nil || len(o.Scripts) != 1 {
		t.Fatalf("%v %+v", err, o)
	}
	if s := o.Scripts[0]; s.Live != 2 || s.Before != 1 || !strings.Contains(s.State, "n int = 4") {
		t.Errorf("%+v", s)
	}
	if err := e.Remove("a"); err != nil {
		t.Fatal(err)
	}
	waitHandled(t, e)
	if got := h.summary(); got != "warm f4 1, warm f4 0" {
		t.Error(got)
	}
	for range 2 * recordsPerSnapshot { // snapshots among them
		load(t, e, "a", counter, false)
		load(t, e, "a", counter+"\n", false)
	}
	e.Close()
	if files, _ := os.ReadDir(dir); len(files) > 4 {
		t.Errorf("%d files after snapshots", len(files))
	}
	e = startEngine(t, h, clk, stored)
	if o, _ := e.Overview(); o.Scripts[0].Live == 0 {
		t.Errorf("%+v", o)
	}
}

// A script that fails is not run for a time, and its advice is withdrawn; others go on.
func TestFailingScriptIsNotRunForATime(t *testing.T) {
	h := &fakeHost{}
	clk := manualClock()
	e := startEngine(t, h, clk, nil)
	load(t, e, "bad", `state n int = 0
on ended(e) {
	n += 1
	keep_warm("f0", 1, 1h)
	if n > 2 { for i in 0..9223372036854775807 {} }
}
`, false)
	load(t, e, "good", counter, false)
	for range 10 {
		e.Post("ended", hooklang.Ended{})
	}
	waitHandled(t, e)
	o, _ := e.Overview()
	bad, good := o.Scripts[0], o.Scripts[1]
	if bad.Status != "open" || bad.Tally.Runs != 5 || bad.Tally.Faults != 3 || !strings.Contains(bad.Fault, "fuel") {
		t.Errorf("%+v", bad)
	}
	if good.Status != "live" || good.Tally.Runs != 10 {
		t.Errorf("%+v", good)
	}
	if got := h.summary(); strings.Count(got, "warm f0 1") != 1 || strings.Count(got, "warm f0 0") != 1 {
		t.Error(got)
	}
}

// A shadow is run on the events of the live version; its advice has no effect, and differences are counted.
func TestShadowIsComparedAndHasNoEffect(t *testing.T) {
	h := &fakeHost{}
	clk := manualClock()
	e := startEngine(t, h, clk, nil)
	load(t, e, "a", "on ended(e) { keep_warm(\"f1\", 1, 1h) }\non arrive(c) { annotate(\"k\", \"1\") }", false)
	load(t, e, "a", "on ended(e) { keep_warm(e.function, 1, 1h) }\non arrive(c) { annotate(\"k\", \"2\") }", true)
	e.Post("ended", hooklang.Ended{Function: "f1"})
	e.Post("ended", hooklang.Ended{Function: "f2"})
	v := e.Arrive(hooklang.Call{})
	waitHandled(t, e)
	o, _ := e.Overview()
	if trial := o.Scripts[0].Trial; trial.Runs != 3 || trial.Differ != 2 {
		t.Errorf("trial %+v", trial)
	}
	if got := h.summary(); got != "warm f1 1" || v.Notes[0].Text != "1" {
		t.Errorf("effects %s, verdict %+v", got, v)
	}
	if err := e.Promote("a", true); err != nil {
		t.Fatal(err)
	}
	if v := e.Arrive(hooklang.Call{}); v.Notes[0].Text != "2" {
		t.Error(v)
	}
}

// While a script runs aside for long, calls are judged and posts do not wait; events beyond the queue are dropped and
// counted.
func TestCallsAndEventsNeverWaitForRunsAside(t *testing.T) {
	h := &fakeHost{}
	clk := manualClock()
	e := startEngine(t, h, clk, nil)
	load(t, e, "a", "on ended(e) { log(\"x\") }\non arrive(c) { if c.tenant == \"t\" { refuse(\"no\") } }", false)
	busy := make(chan struct{})
	release := make(chan struct{})
	go e.onLoop(func() {
		close(busy)
		<-release
	})
	<-busy
	for range 10_000 {
		e.Post("ended", hooklang.Ended{})
	}
	if v := e.Arrive(hooklang.Call{Tenant: "t"}); !v.ShedAdvised || v.Why != "hook: no" {
		t.Error(v)
	}
	if n := e.Counts.Dropped.Load(); n != 10_001-int64(e.cfg.Queue) {
		t.Errorf("%d dropped", n)
	}
	close(release)
	waitHandled(t, e)
}

// Timers run at their time, and times that were missed are not made up for. Notices are sent, and tenants' weights and
// caps hold for arriving calls.
func TestTimersAndWhatTheyAdvise(t *testing.T) {
	h := &fakeHost{}
	clk := manualClock()
	e := startEngine(t, h, clk, nil)
	load(t, e, "a", `on timer(t) every 5s {
	notify("ops", str(t.count))
	tenant_weight("t", 2.0, 1m)
	tenant_cap("t", 0.01, 1m)
	avoid("w1", 1m)
}`, false)
	clk.Advance(5 * sec)
	waitHandled(t, e)
	clk.Advance(60 * sec)
	waitHandled(t, e)
	waitHandled(t, e)
	h.mu.Lock()
	if len(h.notices) != 2 || h.notices[1].Text != "2" {
		t.Error(h.notices)
	}
	h.mu.Unlock()
	// Either is right: the first advice expires at the very time at which the timer gives it anew.
	if got := h.summary(); got != "rank w1 -1, rank w1 0, rank w1 -1" && got != "rank w1 -1, rank w1 -1" {
		t.Error(got)
	}
	if v := e.Arrive(hooklang.Call{Tenant: "t"}); v.ShedAdvised || v.Weight != 2 {
		t.Error(v)
	}
	if v := e.Arrive(hooklang.Call{Tenant: "t"}); !v.ShedAdvised {
		t.Error(v)
	}
}

// A script that costs much misses events, and uses no more than its rate; a cheap one beside it is run on all.
func TestExpensiveScriptKeepsToItsRate(t *testing.T) {
	const rate = 1_000_000 // instructions a second
	h := &fakeHost{}
	clk := manualClock()
	e := startEngine(t, h, clk, func(cfg *Config) { cfg.Lifecycle.Rate = rate })
	load(t, e, "expensive", "on ended(e) {\nfor i in 0..100000 {}\n}\n", false) // some 200,000 instructions
	load(t, e, "good", counter, false)
	for range 20 {
		for range 50 {
			e.Post("ended", hooklang.Ended{})
		}
		waitHandled(t, e)
		clk.Advance(sec)
	}
	o, _ := e.Overview()
	expensive, good := o.Scripts[0].Tally, o.Scripts[1].Tally
	if expensive.Skipped+expensive.Runs != 1000 || expensive.Fuel > 23*rate || expensive.Fuel < 18*rate {
		t.Errorf("expensive: %+v", expensive)
	}
	if good.Runs != 1000 || good.Skipped != 0 {
		t.Errorf("good: %+v", good)
	}
}
