package hookengine

import (
	"errors"
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

const sec = time.Second

// Faults in a row open the circuit, longer each time and with jitter; then the previous version becomes live, and if that
// faults too it is quarantined.
func TestCircuit(t *testing.T) {
	l := NewLifecycle(LifecycleSettings{}, 1)
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	_, err := l.Load("a", "one", "x", false)
	must(err)
	_, err = l.Load("a", "two", "x", false)
	must(err)
	s := l.Find("a")
	now, opened := time.Duration(0), []time.Duration{}
	for n := 0; s.Live.Text == "two" && n < 1000; n++ {
		if s.circuit.open {
			back := s.circuit.openUntil - now
			opened = append(opened, back)
			now = s.circuit.openUntil
			l.StartProbes(now)
		}
		l.RecordRun(now, "a", s.Live.Number, "raised", 1)
	}
	if s.Live.Text != "one" || s.Previous.QuarantineReason == "" || len(opened) != 4 {
		t.Fatalf("%+v after %v", s, opened)
	}
	for i, back := range opened {
		if least := sec << i; back < least || back > least*3/2 {
			t.Errorf("open for %v the %d. time", back, i+1)
		}
	}
	if err := l.Rollback("a"); err == nil {
		t.Error("back to a version that was given up")
	}
	if _, err := l.Load("a", "two", "x", false); !errors.Is(err, ErrQuarantined) || s.Live.Text != "one" {
		t.Errorf("the text that was given up is taken again: %v", err)
	}
	for n := 0; s.Live.QuarantineReason == "" && n < 1000; n++ {
		if s.circuit.open {
			now = s.circuit.openUntil
			l.StartProbes(now)
		}
		l.RecordRun(now, "a", s.Live.Number, "raised", 1)
	}
	if s.Status(now) != "quarantined" {
		t.Error(s.Status(now))
	}
	must(l.Release("a"))
	if s.Status(now) != "live" {
		t.Error(s.Status(now))
	}
	l.RecordRun(now, "a", s.Live.Number, "x", 1)
	l.RecordRun(now, "a", s.Live.Number, "", 1) // one good run begins the count anew
	l.RecordRun(now, "a", s.Live.Number, "x", 1)
	l.RecordRun(now, "a", s.Live.Number, "x", 1)
	l.RecordRun(now, "a", 1, "x", 1) // two was version 2, and this is one again: of version 1
	if s.Live.Number == 1 && s.Status(now) != "open" {
		t.Error("three faults in a row do not open it")
	}
	before := s.LiveStats
	l.RecordRun(now, "a", 99, "x", 1) // a run of a version that is gone says nothing
	if s.LiveStats != before {
		t.Error(s.LiveStats)
	}
}

func TestPromotion(t *testing.T) {
	l := NewLifecycle(LifecycleSettings{MinShadowRuns: 3}, 1)
	l.Load("a", "one", "x", false)
	v, _ := l.Load("a", "two", "x", true)
	if again, _ := l.Load("a", "two", "x", true); again != v {
		t.Error("the same text is a new version")
	}
	if n, _ := l.Load("a", "one", "x", true); n != 1 || l.Find("a").Shadow.Number != v {
		t.Error("the live text is tried in the shadow")
	}
	if err := l.Promote("a", false); err == nil || !strings.Contains(err.Error(), "0 runs of 3") {
		t.Error(err)
	}
	for range 3 {
		l.RecordShadowRun("a", v, "", 10, false)
	}
	l.RecordShadowRun("a", v, "x", 10, false)
	if err := l.Promote("a", false); err == nil || !strings.Contains(err.Error(), "1 faults, 3 differ") {
		t.Error(err)
	}
	if err := l.Promote("a", true); err != nil || l.Find("a").Live.Number != v || l.Find("a").Previous.Text != "one" {
		t.Error(err, l.Find("a"))
	}
	if err := l.Rollback("a"); err != nil || l.Find("a").Live.Text != "one" {
		t.Error(err)
	}
	for _, name := range []string{"", "A", "../x", strings.Repeat("a", 65)} {
		if _, err := l.Load(name, "x", "x", false); err == nil {
			t.Errorf("%q is taken", name)
		}
	}
}

// host records what an engine asks of the gateway.
type host struct {
	mu      sync.Mutex
	said    []string
	notices []hookadvice.Notification
}

func (h *host) KeepWarm(f string, n int, _ time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.said = append(h.said, fmt.Sprintf("warm %s %d", f, n))
}
func (h *host) RankWorker(w string, rank int, _ time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.said = append(h.said, fmt.Sprintf("regard %s %d", w, rank))
}
func (h *host) FunctionMemoryMB(n string) (float64, bool) { return 1, strings.HasPrefix(n, "f") }
func (h *host) HasTenant(n string) bool                   { return n == "t" }

func (h *host) calls() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Join(h.said, ", ")
}

func engine(t *testing.T, h *host, clk clock.Clock, dir string, rate ...int64) *Engine {
	t.Helper()
	life := LifecycleSettings{InstructionRate: 1 << 40}
	if rate != nil {
		life.InstructionRate = rate[0]
	}
	cfg := Config{
		Lifecycle:    life,
		Advice:       hookadvice.Settings{CallLimit: 100},
		Catalog:      h,
		Sink:         h,
		Clock:        clk,
		Log:          zerolog.Nop(),
		SaveInterval: time.Nanosecond,
		Notify: func(n hookadvice.Notification) {
			h.mu.Lock()
			h.notices = append(h.notices, n)
			h.mu.Unlock()
		},
	}
	if dir != "" {
		cfg.FS = store.Dir(dir)
	}
	e, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Close() })
	e.SetWorkers([]hookadvice.Worker{
		{Name: "w1", Ready: true},
		{Name: "w2", Ready: true},
		{Name: "w3", Ready: true},
		{Name: "w4", Ready: true},
	})
	return e
}

// all waits until what was posted before has been run.
func all(t *testing.T, e *Engine) {
	t.Helper()
	for len(e.queue) > 0 {
		if err := e.do(func() {}); err != nil {
			t.Fatal(err)
		}
	}
	e.do(func() {})
	e.do(func() {}) // the turn of the one before has ended, timers and all
}

func load(t *testing.T, e *Engine, name, text string, shadow bool) {
	t.Helper()
	if _, _, err := e.Load(name, text, "test", shadow); err != nil {
		t.Fatal(err)
	}
}

const counter = "state n int = 0\non ended(e) {\nn += 1\nkeep_warm(\"f\" + str(n), 1, 1h)\n}\n"

// State and versions outlive the process, also one that was cut off, and a new version goes on with the state.
func TestEngineRestarts(t *testing.T) {
	h, clk, dir := &host{}, clock.NewManual(time.Unix(1000, 0)), t.TempDir()
	e := engine(t, h, clk, dir)
	load(t, e, "a", counter, false)
	for range 3 {
		e.Post("ended", hooklang.Ended{})
	}
	e.Post("timer", hooklang.Tick{}) // nobody wants it
	all(t, e)
	if got := h.calls(); got != "warm f1 1, warm f2 1, warm f3 1" {
		t.Fatal(got)
	}
	if n := e.Counts.Posted.Load(); n != 3 {
		t.Errorf("%d posted", n)
	}
	e.Close()
	h = &host{}
	e = engine(t, h, clk, dir)
	load(t, e, "a", strings.Replace(counter, "1h", "2h", 1), false)
	e.Post("ended", hooklang.Ended{})
	all(t, e)
	if got := h.calls(); got != "warm f4 1" {
		t.Error(got)
	}
	o, err := e.Overview()
	if err != nil || len(o.Scripts) != 1 {
		t.Fatalf("%v %+v", err, o)
	}
	if a := o.Scripts[0]; a.Live != 2 || a.Previous != 1 || !strings.Contains(a.State, "n int = 4") {
		t.Errorf("%v %+v", err, o)
	}
	if err := e.Remove("a"); err != nil {
		t.Fatal(err)
	}
	all(t, e)
	if got := h.calls(); got != "warm f4 1, warm f4 0" {
		t.Error(got)
	}
	for range 2 * recordsPerSnapshot { // snapshots among them
		load(t, e, "a", counter, false)
		load(t, e, "a", counter+"\n", false)
	}
	e.Close()
	if l, _ := os.ReadDir(dir); len(l) > 4 {
		t.Errorf("%d files after snapshots", len(l))
	}
	e = engine(t, h, clk, dir)
	if o, _ := e.Overview(); o.Scripts[0].Live == 0 {
		t.Errorf("%+v", o)
	}
}

// A script that faults does not run while its circuit is open: its advice is withdrawn, its state is that before the fault,
// and it costs nothing. Others run on.
func TestEngineShutsOut(t *testing.T) {
	h, clk := &host{}, clock.NewManual(time.Unix(1000, 0))
	e := engine(t, h, clk, "")
	load(t, e, "bad", `
		state n int = 0
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
	all(t, e)
	o, _ := e.Overview()
	b := o.Scripts[0]
	if b.Status != "open" || b.LiveStats.Runs != 5 || b.LiveStats.Faults != 3 || !strings.Contains(b.LastFault, "fuel") {
		t.Errorf("%+v", b)
	}
	if g := o.Scripts[1]; g.Status != "live" || g.LiveStats.Runs != 10 {
		t.Errorf("%+v", g)
	}
	if got := h.calls(); strings.Count(got, "warm f0 1") != 1 || strings.Count(got, "warm f0 0") != 1 {
		t.Error(got)
	}
}

// A shadow sees what the live version sees, its advice goes nowhere, and differences are counted.
func TestEngineShadow(t *testing.T) {
	h, clk := &host{}, clock.NewManual(time.Unix(1000, 0))
	e := engine(t, h, clk, "")
	load(t, e, "a", "on ended(e) { keep_warm(\"f1\", 1, 1h) }\non arrive(c) { annotate(\"k\", \"1\") }", false)
	load(t, e, "a", "on ended(e) { keep_warm(e.function, 1, 1h) }\non arrive(c) { annotate(\"k\", \"2\") }", true)
	e.Post("ended", hooklang.Ended{Function: "f1"})
	e.Post("ended", hooklang.Ended{Function: "f2"})
	v := e.Admit(hooklang.Call{})
	all(t, e)
	o, _ := e.Overview()
	if tr := o.Scripts[0].ShadowStats; tr.Runs != 3 || tr.Mismatches != 2 || h.calls() != "warm f1 1" || v.Annotations[0].Text != "1" {
		t.Errorf("%+v, %s, %+v", tr, h.calls(), v)
	}
	if err := e.Promote("a", true); err != nil {
		t.Fatal(err)
	}
	if v := e.Admit(hooklang.Call{}); v.Annotations[0].Text != "2" {
		t.Error(v)
	}
}

// While the engine's goroutine is busy, calls are judged, posts do not wait, and events beyond the queue are dropped and
// counted.
func TestEngineNeverWaits(t *testing.T) {
	h, clk := &host{}, clock.NewManual(time.Unix(1000, 0))
	e := engine(t, h, clk, "")
	load(t, e, "a", "on ended(e) { log(\"x\") }\non arrive(c) { if c.tenant == \"t\" { refuse(\"no\") } }", false)
	hold, held := make(chan struct{}), make(chan struct{})
	go e.do(func() { close(held); <-hold })
	<-held
	for range 10_000 {
		e.Post("ended", hooklang.Ended{})
	}
	if v := e.Admit(hooklang.Call{Tenant: "t"}); !v.ShedAdvised || v.Reason != "hook: no" {
		t.Error(v)
	}
	if n := e.Counts.Dropped.Load(); n != 10_001-4096 {
		t.Errorf("%d dropped", n)
	}
	close(hold)
	all(t, e)
}

// Timers run at their time, missed ticks are not made up for; notices are sent; tenants' weights and caps are applied to calls.
func TestEngineTimers(t *testing.T) {
	h, clk := &host{}, clock.NewManual(time.Unix(1000, 0))
	e := engine(t, h, clk, "")
	load(t, e, "a", `
		on timer(t) every 5s {
			notify("ops", str(t.count))
			tenant_weight("t", 2.0, 1m)
			tenant_cap("t", 0.01, 1m)
			avoid("w1", 1m)
		}
	`, false)
	clk.Advance(5 * sec)
	all(t, e)
	clk.Advance(60 * sec)
	all(t, e)
	all(t, e)
	h.mu.Lock()
	if len(h.notices) != 2 || h.notices[1].Text != "2" {
		t.Error(h.notices)
	}
	h.mu.Unlock()
	if h.calls() != "regard w1 -1, regard w1 0, regard w1 -1" && h.calls() != "regard w1 -1, regard w1 -1" {
		t.Error(h.calls())
	}
	if v := e.Admit(hooklang.Call{Tenant: "t"}); v.ShedAdvised || v.Weight != 2 {
		t.Error(v)
	}
	if v := e.Admit(hooklang.Call{Tenant: "t"}); !v.ShedAdvised {
		t.Error(v)
	}
}

// A script that costs much misses events, and takes no more than its rate; a cheap one beside it sees all.
func TestEngineRate(t *testing.T) {
	h, clk := &host{}, clock.NewManual(time.Unix(1000, 0))
	e := engine(t, h, clk, "", 1_000_000)
	load(t, e, "dear", "on ended(e) {\nfor i in 0..100000 {}\n}\n", false) // some 200,000 instructions
	load(t, e, "good", counter, false)
	for range 20 {
		for range 50 {
			e.Post("ended", hooklang.Ended{})
		}
		all(t, e)
		clk.Advance(sec)
	}
	o, _ := e.Overview()
	if d := o.Scripts[0].LiveStats; d.Skipped+d.Runs != 1000 || d.Fuel > 23_000_000 || d.Fuel < 18_000_000 {
		t.Errorf("%+v", d)
	}
	if g := o.Scripts[1].LiveStats; g.Runs != 1000 || g.Skipped != 0 {
		t.Errorf("%+v", g)
	}
}
