package controller

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/harness/fakeworker"
	"kitehub/internal/harness/trace"
	"kitehub/internal/http1"
	"kitehub/internal/registry"
	"kitehub/internal/registry/client"
	"kitehub/internal/registry/service"
	"kitehub/internal/registry/wire"
	"kitehub/internal/signing"
	"kitehub/internal/store"
)

const operatorSecret = "whsec_b3BlcmF0b3Itb3BlcmF0b3Itb3BlcmF0b3I="
const controllerSecret = "whsec_Y29udHJvbGxlci1jb250cm9sbGVyLWNvbnRyb2w="

// A registryServer is a rig with a registry, whose models' bytes come when the test lets them.
type registryServer struct {
	*harness
	s      *service.Service
	server *http1.Server
	ln     net.Listener
	opKey  *signing.Key

	mu   sync.Mutex
	hold map[string]chan struct{} // a digest's bytes come once this is closed
	bad  bool                     // no store has bytes that match
	keys int
}

func digestOf(v string) string { return "sha256:" + strings.Repeat(v[1:], 64) }

func newRegistryServer(t *testing.T, settle time.Duration) *registryServer {
	t.Helper()
	d := &registryServer{hold: map[string]chan struct{}{}}
	d.harness = newHarness(t, 3, func(c *fakeworker.Config) {
		for i := range c.Functions {
			c.Functions[i].Versions = true
		}
		c.Fetch = func(_, _, digest string) error {
			d.mu.Lock()
			ch, bad := d.hold[digest], d.bad
			d.mu.Unlock()
			if ch != nil {
				<-ch
			}
			if bad {
				return errors.New("no store has bytes that match")
			}
			return nil
		}
	})
	var err error
	d.s, _, err = service.Open(service.Config{Clock: d.clock, FS: store.Dir(t.TempDir()), Log: zerolog.Nop(), SnapshotInterval: 100, LongPoll: 100 * ms,
		Settings: registry.Settings{LeaseDuration: 500 * ms, MaxClockDrift: 0.01, SettleTimeout: settle, StagingTimeout: 5 * time.Second, Retention: time.Second, AutoRollbackWindow: time.Second,
			MinCalls: 100, MaxErrorIncrease: 0.5, MaxModels: 10, MaxVersions: 10, MaxAliases: 4, MaxControllers: 4, MaxRemembered: 1000}})
	if err != nil {
		t.Fatal(err)
	}
	key := func(text string) *signing.Key {
		k, err := signing.ParseKey(text)
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	if d.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	d.server = &http1.Server{Handler: service.NewHandler(d.s, []service.Client{{Name: "op", Keys: []*signing.Key{key(operatorSecret)}, Operator: true},
		{Name: "c1", Keys: []*signing.Key{key(controllerSecret)}, Controller: true}}, time.Minute)}
	go d.server.Serve(d.ln)
	t.Cleanup(func() { d.ln.Close(); d.server.Abort(); d.s.Close() })
	d.opKey = key(operatorSecret)
	for _, m := range []string{"safe-1", "keyed-1", "unsafe-1"} {
		for _, v := range []string{"v1", "v2"} {
			d.command(wire.Command{Push: &registry.Push{Model: m, Version: registry.Version{Name: v, Digest: digestOf(v), Size: 1}}})
		}
		d.migrate(m, "v1", 0)
	}
	return d
}

func (d *registryServer) command(c wire.Command) *wire.Response {
	d.t.Helper()
	d.mu.Lock()
	d.keys++
	key := fmt.Sprint("k", d.keys)
	d.mu.Unlock()
	op := &client.Client{Server: d.ln.Addr().String(), Key: d.opKey, Wall: time.Now} // on one connection they would wait for one another
	defer op.Close()
	a, err := op.Command(key, c)
	if err != nil {
		d.t.Fatal(err)
	}
	return a
}

func (d *registryServer) migrate(model, to string, rev uint64) *wire.Response {
	d.t.Helper()
	return d.command(wire.Command{Promote: &registry.Promote{Model: model, Alias: "current", To: to, IfRevision: rev}, WaitMS: 10000})
}

// delayBytes has a version's bytes come only when the function returned is called.
func (d *registryServer) delayBytes(v string) (release func()) {
	ch := make(chan struct{})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hold[digestOf(v)] = ch
	return func() { close(ch) }
}

func (d *registryServer) controller(name string) *Controller {
	d.t.Helper()
	c := d.start(d.configure(name, `functions { name: "safe-1"`, fmt.Sprintf("registry { server: %q key: %q }\nfunctions { versions: true name: \"safe-1\"", d.ln.Addr(), controllerSecret),
		`functions { name: "keyed-1"`, `functions { versions: true name: "keyed-1"`, `functions { name: "unsafe-1"`, `functions { versions: true name: "unsafe-1"`))
	for i := 0; ; i++ { // until it has heard the registry
		a := post(d.t, c, fmt.Sprint(name, "-first-", i), "safe-1@none", "{}", time.Now())
		if a.status == 503 && strings.Contains(a.body, "names no version") {
			return c
		}
		time.Sleep(ms)
	}
}

// calls sends one call of each class and returns where their answers come.
func (d *registryServer) calls(c *Controller, id string) map[string]chan answer {
	out := map[string]chan answer{}
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		ch := make(chan answer, 1)
		out[class] = ch
		m := sign(d.t, commonSecret, "c1", id+"-"+class, class+"-1", "{}", time.Now())
		go func() { ch <- exchange(d.t, c.Addr(), m) }()
	}
	return out
}

func (d *registryServer) awaitAttempts(function string, n int) {
	d.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(ms) {
		got := 0
		for _, r := range d.trace.Records() {
			if r.Kind == trace.RequestRead && r.Function == function {
				got++
			}
		}
		if got >= n {
			return
		}
	}
	d.t.Fatalf("%s never reached a worker %d times", function, n)
}

// An alias that moves while a worker still loads the old version, with no time for what runs: a safe call begins anew,
// one that may run and must not twice is failed, though its answer comes.
func TestMigrationDuringLoad(t *testing.T) {
	d := newRegistryServer(t, ms)
	release := d.delayBytes("v1")
	c := d.controller("c1")
	got := d.calls(c, "a")
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		d.awaitAttempts(class+"-1@v1", 1)
		if a := d.migrate(class+"-1", "v2", 1); a.Status != "acknowledged" {
			t.Fatalf("%+v", a)
		}
	}
	wantAnswer(t, <-got["safe"], "200 served")
	if n := d.runs("safe-1@v2"); n != 1 {
		t.Errorf("the new version ran %d times", n)
	}
	release()
	wantAnswer(t, <-got["keyed"], "502 failed")
	wantAnswer(t, <-got["unsafe"], "502 failed")
	if n := d.runs("unsafe-1@v1") + d.runs("unsafe-1@v2"); n != 1 {
		t.Errorf("the unsafe call ran %d times", n)
	}
	if n := c.Webhook.Counts.Restarted.Load(); n != 1 {
		t.Errorf("%d calls began anew, want 1", n)
	}
}

// With time for what runs the old version answers, and the acknowledgement comes after it.
func TestMigrationWaitsForCalls(t *testing.T) {
	d := newRegistryServer(t, 8*time.Second)
	release := d.delayBytes("v1")
	c := d.controller("c1")
	got := d.calls(c, "a")
	acks := make(chan string, 3)
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		d.awaitAttempts(class+"-1@v1", 1)
		go func() { acks <- d.migrate(class+"-1", "v2", 1).Status }()
	}
	for d.epoch() < 6 { // until all three are fenced
		time.Sleep(ms)
	}
	if len(acks) > 0 {
		t.Error("acknowledged while calls run")
	}
	release()
	for class, ch := range got {
		wantAnswer(t, <-ch, "200 served")
		if n := d.runs(class + "-1@v1"); n != 1 {
			t.Errorf("%s ran %d times under v1", class, n)
		}
	}
	for range 3 {
		if s := <-acks; s != "acknowledged" {
			t.Error(s)
		}
	}
}

// epoch returns the registry's epoch.
func (d *registryServer) epoch() (epoch uint64) {
	d.s.Inspect(func(_ time.Duration, st *registry.State, _ *registry.Leases) { epoch = st.Epoch })
	return epoch
}

// Moved twice during one load, and back: A, B, A. The call that began under the first A is not one of the second.
func TestMigrationTwiceAndBack(t *testing.T) {
	d := newRegistryServer(t, ms)
	release := d.delayBytes("v1")
	c := d.controller("c1")
	got := d.calls(c, "a")
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		d.awaitAttempts(class+"-1@v1", 1)
	}
	for _, m := range []string{"safe-1", "unsafe-1", "keyed-1"} {
		d.migrate(m, "v2", 1)
		d.migrate(m, "v1", 2)
	}
	release()
	wantAnswer(t, <-got["safe"], "200 served") // under v2 if it ran before the move back, else under the second v1
	wantAnswer(t, <-got["unsafe"], "502 failed")
	wantAnswer(t, <-got["keyed"], "502 failed")
}

// A controller that is restarted between resolve and send, a mismatch at all stores, and a registry that is gone.
func TestVersionsAndFailures(t *testing.T) {
	d := newRegistryServer(t, 100*ms)
	release := d.delayBytes("v1")
	c := d.controller("c1")
	m := sign(t, commonSecret, "c1", "cut", "unsafe-1", "{}", time.Now())
	nc, err := net.Dial("tcp", c.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.Write(m.bytes())
	d.awaitAttempts("unsafe-1@v1", 1)
	c.Kill()
	d.migrate("unsafe-1", "v2", 1) // its lease runs out first
	release()
	c = d.controller("c1")
	call := func(id, function string) answer {
		for i := 0; ; i++ { // a restart has messages signed before it come again
			a := post(t, c, fmt.Sprint(id, "-", i), function, "{}", time.Now())
			if !strings.Contains(a.body, "before a restart") {
				return a
			}
			time.Sleep(20 * ms)
		}
	}
	wantAnswer(t, call("after", "unsafe-1"), "200 served")
	if n := d.runs("unsafe-1@v2"); n != 1 {
		t.Errorf("the new version ran %d times", n)
	}

	d.mu.Lock()
	d.bad = true
	d.mu.Unlock()
	d.migrate("safe-1", "v2", 1)
	if a := call("bad", "safe-1"); a.status == 200 || d.runs("safe-1@v2") > 0 {
		t.Errorf("with no bytes that match: %v, ran %d times", a, d.runs("safe-1@v2"))
	}
	d.mu.Lock()
	d.bad = false
	d.mu.Unlock()
	for a := call("good", "safe-1"); a.status != 200; a = call("good"+fmt.Sprint(time.Now().UnixNano()), "safe-1") {
		if a.outcome != "refused" && a.outcome != "failed" {
			t.Fatal(a)
		}
	}

	// A worker that runs other bytes: nothing of it is handed out.
	for _, w := range d.host.Names() {
		d.host.Lie(w, "keyed-1@v1", digestOf("v2"))
	}
	if a := call("lie", "keyed-1"); a.status == 200 || c.Gateway.Counts.DigestMismatches.Load() == 0 {
		t.Errorf("other bytes: %v, %d mismatched", a, c.Gateway.Counts.DigestMismatches.Load())
	}

	d.ln.Close()
	d.server.Abort()
	for {
		a := call("alone"+fmt.Sprint(time.Now().UnixNano()), "safe-1")
		if a.status == 503 && strings.Contains(a.body, "registry is not heard") {
			break
		}
		if a.status != 200 {
			t.Fatal(a)
		}
	}
}

// A kept answer is not given again once its version was left: a safe call runs anew with its next try, others are
// failed.
func TestCachedAnswerOfSupersededVersionIsWithheld(t *testing.T) {
	d := newRegistryServer(t, ms)
	c := d.controller("c1")
	at := time.Now().Add(-10 * time.Second)
	try := func(class string, n int) answer { // the same call again, signed later
		return post(t, c, "kept-"+class, class+"-1", "{}", at.Add(time.Duration(n)*time.Second))
	}
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		wantAnswer(t, try(class, 0), "200 served")
		wantAnswer(t, try(class, 1), "200 served")
		if n := d.runs(class + "-1@v1"); n != 1 {
			t.Errorf("%s ran %d times", class, n)
		}
		if a := d.migrate(class+"-1", "v2", 1); a.Status != "acknowledged" {
			t.Fatalf("%+v", a)
		}
	}
	wantAnswer(t, try("safe", 2), "503 refused")
	wantAnswer(t, try("keyed", 2), "502 failed")
	wantAnswer(t, try("unsafe", 2), "502 failed")
	wantAnswer(t, try("safe", 2), "409 replayed") // that message was taken
	wantAnswer(t, try("safe", 3), "200 served")
	if n := d.runs("safe-1@v2"); n != 1 {
		t.Errorf("the safe call ran %d times under the new version", n)
	}
	if n := c.Webhook.Counts.Withheld.Load(); n != 3 {
		t.Errorf("%d answers withheld, want 3", n)
	}
}
