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

// Consecutive faults open the circuit, for longer each time and with jitter. Then the version is
// quarantined and the previous one becomes live; if that faults too it is quarantined as well.
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
	now, backoffs := time.Duration(0), []time.Duration{}
	for n := 0; s.Live.Text == "two" && n < 1000; n++ {
		if s.circuit.open {
			backoff := s.circuit.openUntil - now
			backoffs = append(backoffs, backoff)
			now = s.circuit.openUntil
			l.StartProbes(now)
		}
		l.RecordRun(now, "a", s.Live.Number, "raised", 1)
	}
	if s.Live.Text != "one" || s.Previous.QuarantineReason == "" || len(backoffs) != 4 {
		t.Fatalf("%+v after %v", s, backoffs)
	}
	for i, backoff := range backoffs {
		if shortest := sec << i; backoff < shortest || backoff > shortest*3/2 {
			t.Errorf("opening %[2]d lasted %[1]v", backoff, i+1)
		}
	}
	if err := l.Rollback("a"); err == nil {
		t.Error("rolled back to a quarantined version")
	}
	if _, err := l.Load("a", "two", "x", false); !errors.Is(err, ErrQuarantined) || s.Live.Text != "one" {
		t.Errorf("the quarantined text was loaded again: %v", err)
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
	l.RecordRun(now, "a", s.Live.Number, "", 1) // a run without a fault resets the count
	l.RecordRun(now, "a", s.Live.Number, "x", 1)
	l.RecordRun(now, "a", s.Live.Number, "x", 1)
	l.RecordRun(now, "a", 1, "x", 1) // version 1 is live again after version 2
	if s.Live.Number == 1 && s.Status(now) != "open" {
		t.Error("three consecutive faults did not open the circuit")
	}
	before := s.LiveStats
	l.RecordRun(now, "a", 99, "x", 1) // a run of a version that is not live is ignored
	if s.LiveStats != before {
		t.Error(s.LiveStats)
	}
}

// A shadow may be promoted after enough runs without a fault, or by force. Loading the same text
// again adds no version.
func TestPromotion(t *testing.T) {
	l := NewLifecycle(LifecycleSettings{MinShadowRuns: 3}, 1)
	l.Load("a", "one", "x", false)
	v, _ := l.Load("a", "two", "x", true)
	if again, _ := l.Load("a", "two", "x", true); again != v {
		t.Error("loading the same text added a version")
	}
	if n, _ := l.Load("a", "one", "x", true); n != 1 || l.Find("a").Shadow.Number != v {
		t.Error("the live text was loaded as the shadow")
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
			t.Errorf("script name %q was accepted", name)
		}
	}
}

// fakeGateway is a catalog and a sink. It records the advice and the notifications of an engine.
type fakeGateway struct {
	mu            sync.Mutex
	recorded      []string
	notifications []hookadvice.Notification
}

func (g *fakeGateway) KeepWarm(f string, n int, _ time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recorded = append(g.recorded, fmt.Sprintf("warm %s %d", f, n))
}
func (g *fakeGateway) RankWorker(w string, rank int, _ time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recorded = append(g.recorded, fmt.Sprintf("regard %s %d", w, rank))
}
func (g *fakeGateway) FunctionMemoryMB(n string) (float64, bool) { return 1, strings.HasPrefix(n, "f") }
func (g *fakeGateway) HasTenant(n string) bool                   { return n == "t" }

func (g *fakeGateway) recordedAdvice() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Join(g.recorded, ", ")
}

func startEngine(t *testing.T, gateway *fakeGateway, clk clock.Clock, dir string, rate ...int64) *Engine {
	t.Helper()
	lifecycle := LifecycleSettings{InstructionRate: 1 << 40}
	if rate != nil {
		lifecycle.InstructionRate = rate[0]
	}
	cfg := Config{
		Lifecycle:    lifecycle,
		Advice:       hookadvice.Settings{CallLimit: 100},
		Catalog:      gateway,
		Sink:         gateway,
		Clock:        clk,
		Log:          zerolog.Nop(),
		SaveInterval: time.Nanosecond,
		RunTimeout:   time.Hour, // so that only the fuel ends a run, however busy the machine is
		Notify: func(n hookadvice.Notification) {
			gateway.mu.Lock()
			gateway.notifications = append(gateway.notifications, n)
			gateway.mu.Unlock()
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

// drainQueue waits until the engine has processed everything that was posted before.
func drainQueue(t *testing.T, e *Engine) {
	t.Helper()
	for len(e.queue) > 0 {
		if err := e.runOnEngine(func() {}); err != nil {
			t.Fatal(err)
		}
	}
	e.runOnEngine(func() {})
	// After this the previous iteration of the loop has ended, including its timers.
	e.runOnEngine(func() {})
}

func loadScript(t *testing.T, e *Engine, name, text string, shadow bool) {
	t.Helper()
	if _, _, err := e.Load(name, text, "test", shadow); err != nil {
		t.Fatal(err)
	}
}

const counterScript = "state n int = 0\non ended(e) {\nn += 1\nkeep_warm(\"f\" + str(n), 1, 1h)\n}\n"

// Versions and state survive a restart, also by way of snapshots, and a new version takes over the
// state.
func TestEngineRestarts(t *testing.T) {
	gateway, clk, dir := &fakeGateway{}, clock.NewManual(time.Unix(1000, 0)), t.TempDir()
	e := startEngine(t, gateway, clk, dir)
	loadScript(t, e, "a", counterScript, false)
	for range 3 {
		e.Post("ended", hooklang.Ended{})
	}
	e.Post("timer", hooklang.Tick{}) // no script has a handler for it
	drainQueue(t, e)
	if got := gateway.recordedAdvice(); got != "warm f1 1, warm f2 1, warm f3 1" {
		t.Fatal(got)
	}
	if n := e.Counts.Posted.Load(); n != 3 {
		t.Errorf("%d posted", n)
	}
	e.Close()
	gateway = &fakeGateway{}
	e = startEngine(t, gateway, clk, dir)
	loadScript(t, e, "a", strings.Replace(counterScript, "1h", "2h", 1), false)
	e.Post("ended", hooklang.Ended{})
	drainQueue(t, e)
	if got := gateway.recordedAdvice(); got != "warm f4 1" {
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
	drainQueue(t, e)
	if got := gateway.recordedAdvice(); got != "warm f4 1, warm f4 0" {
		t.Error(got)
	}
	for range 2 * recordsPerSnapshot { // enough for snapshots
		loadScript(t, e, "a", counterScript, false)
		loadScript(t, e, "a", counterScript+"\n", false)
	}
	e.Close()
	if l, _ := os.ReadDir(dir); len(l) > 4 {
		t.Errorf("%d files after snapshots", len(l))
	}
	e = startEngine(t, gateway, clk, dir)
	if o, _ := e.Overview(); o.Scripts[0].Live == 0 {
		t.Errorf("%+v", o)
	}
}

// A faulty script does not run while its circuit is open: its advice is withdrawn, and it costs
// nothing. Its state is that before the fault. Other scripts keep running.
func TestFaultyScriptIsSuspended(t *testing.T) {
	gateway, clk := &fakeGateway{}, clock.NewManual(time.Unix(1000, 0))
	e := startEngine(t, gateway, clk, "")
	loadScript(t, e, "bad", `
		state n int = 0
		on ended(e) {
			n += 1
			keep_warm("f0", 1, 1h)
			if n > 2 { for i in 0..9223372036854775807 {} }
		}
	`, false)
	loadScript(t, e, "good", counterScript, false)
	for range 10 {
		e.Post("ended", hooklang.Ended{})
	}
	drainQueue(t, e)
	o, _ := e.Overview()
	b := o.Scripts[0]
	if b.Status != "open" || b.LiveStats.Runs != 5 || b.LiveStats.Faults != 3 || !strings.Contains(b.LastFault, "fuel") {
		t.Errorf("%+v", b)
	}
	if g := o.Scripts[1]; g.Status != "live" || g.LiveStats.Runs != 10 {
		t.Errorf("%+v", g)
	}
	if got := gateway.recordedAdvice(); strings.Count(got, "warm f0 1") != 1 || strings.Count(got, "warm f0 0") != 1 {
		t.Error(got)
	}
}

// A shadow sees the same events as the live version. Its advice is not followed, and differences
// are counted.
func TestEngineShadow(t *testing.T) {
	gateway, clk := &fakeGateway{}, clock.NewManual(time.Unix(1000, 0))
	e := startEngine(t, gateway, clk, "")
	loadScript(t, e, "a", "on ended(e) { keep_warm(\"f1\", 1, 1h) }\non arrive(c) { annotate(\"k\", \"1\") }", false)
	loadScript(t, e, "a", "on ended(e) { keep_warm(e.function, 1, 1h) }\non arrive(c) { annotate(\"k\", \"2\") }", true)
	e.Post("ended", hooklang.Ended{Function: "f1"})
	e.Post("ended", hooklang.Ended{Function: "f2"})
	v := e.Admit(hooklang.Call{})
	drainQueue(t, e)
	o, _ := e.Overview()
	if tr := o.Scripts[0].ShadowStats; tr.Runs != 3 || tr.Mismatches != 2 || gateway.recordedAdvice() != "warm f1 1" || v.Annotations[0].Text != "1" {
		t.Errorf("%+v, %s, %+v", tr, gateway.recordedAdvice(), v)
	}
	if err := e.Promote("a", true); err != nil {
		t.Fatal(err)
	}
	if v := e.Admit(hooklang.Call{}); v.Annotations[0].Text != "2" {
		t.Error(v)
	}
}

// While the engine's goroutine is busy, calls still get their verdict, Post does not block, and
// events that exceed the queue are dropped and counted.
func TestBusyEngineDoesNotBlockCalls(t *testing.T) {
	gateway, clk := &fakeGateway{}, clock.NewManual(time.Unix(1000, 0))
	e := startEngine(t, gateway, clk, "")
	loadScript(t, e, "a", "on ended(e) { log(\"x\") }\non arrive(c) { if c.tenant == \"t\" { refuse(\"no\") } }", false)
	release, blocked := make(chan struct{}), make(chan struct{})
	go e.runOnEngine(func() { close(blocked); <-release })
	<-blocked
	for range 10_000 {
		e.Post("ended", hooklang.Ended{})
	}
	if v := e.Admit(hooklang.Call{Tenant: "t"}); !v.ShedAdvised || v.Reason != "hook: no" {
		t.Error(v)
	}
	if n := e.Counts.Dropped.Load(); n != 10_001-4096 {
		t.Errorf("%d dropped", n)
	}
	close(release)
	drainQueue(t, e)
}

// Timers run when due and missed ticks are skipped. Notifications are sent, and tenants' weights
// and caps apply to calls.
func TestEngineTimers(t *testing.T) {
	gateway, clk := &fakeGateway{}, clock.NewManual(time.Unix(1000, 0))
	e := startEngine(t, gateway, clk, "")
	loadScript(t, e, "a", `
		on timer(t) every 5s {
			notify("ops", str(t.count))
			tenant_weight("t", 2.0, 1m)
			tenant_cap("t", 0.01, 1m)
			avoid("w1", 1m)
		}
	`, false)
	clk.Advance(5 * sec)
	drainQueue(t, e)
	clk.Advance(60 * sec)
	drainQueue(t, e)
	drainQueue(t, e)
	gateway.mu.Lock()
	if len(gateway.notifications) != 2 || gateway.notifications[1].Text != "2" {
		t.Error(gateway.notifications)
	}
	gateway.mu.Unlock()
	if gateway.recordedAdvice() != "regard w1 -1, regard w1 0, regard w1 -1" && gateway.recordedAdvice() != "regard w1 -1, regard w1 -1" {
		t.Error(gateway.recordedAdvice())
	}
	if v := e.Admit(hooklang.Call{Tenant: "t"}); v.ShedAdvised || v.Weight != 2 {
		t.Error(v)
	}
	if v := e.Admit(hooklang.Call{Tenant: "t"}); !v.ShedAdvised {
		t.Error(v)
	}
}

// A script that exceeds its instruction rate misses events. A cheap script next to it sees every
// event.
func TestInstructionRate(t *testing.T) {
	gateway, clk := &fakeGateway{}, clock.NewManual(time.Unix(1000, 0))
	e := startEngine(t, gateway, clk, "", 1_000_000)
	// The handler runs about 200,000 instructions.
	loadScript(t, e, "costly", "on ended(e) {\nfor i in 0..100000 {}\n}\n", false)
	loadScript(t, e, "good", counterScript, false)
	for range 20 {
		for range 50 {
			e.Post("ended", hooklang.Ended{})
		}
		drainQueue(t, e)
		clk.Advance(sec)
	}
	o, _ := e.Overview()
	if costly := o.Scripts[0].LiveStats; costly.Skipped+costly.Runs != 1000 || costly.Fuel > 23_000_000 || costly.Fuel < 18_000_000 {
		t.Errorf("%+v", costly)
	}
	if g := o.Scripts[1].LiveStats; g.Runs != 1000 || g.Skipped != 0 {
		t.Errorf("%+v", g)
	}
}
