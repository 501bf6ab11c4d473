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

// A registryServer is a harness with a registry. The test controls when workers receive the bytes
// of a version.
type registryServer struct {
	*harness
	s      *service.Service
	server *http1.Server
	ln     net.Listener
	opKey  *signing.Key

	mu              sync.Mutex
	delayed         map[string]chan struct{} // by digest: the bytes arrive once the channel is closed
	noMatchingBytes bool                     // fetches fail, as if no store had matching bytes
	keys            int                      // idempotency keys used
}

func digestOf(v string) string { return "sha256:" + strings.Repeat(v[1:], 64) }

func newRegistryServer(t *testing.T, settle time.Duration) *registryServer {
	t.Helper()
	d := &registryServer{delayed: map[string]chan struct{}{}}
	d.harness = newHarness(t, 3, func(c *fakeworker.Config) {
		for i := range c.Functions {
			c.Functions[i].Versions = true
		}
		c.Fetch = func(_, _, digest string) error {
			d.mu.Lock()
			ch, noMatchingBytes := d.delayed[digest], d.noMatchingBytes
			d.mu.Unlock()
			if ch != nil {
				<-ch
			}
			if noMatchingBytes {
				return errors.New("no store has bytes that match")
			}
			return nil
		}
	})
	var err error
	d.s, _, err = service.Open(service.Config{Clock: d.clock, FS: store.Dir(t.TempDir()), Log: zerolog.Nop(), SnapshotInterval: 100, LongPoll: 100 * ms,
		Settings: registry.Settings{LeaseDuration: 500 * ms, StaleDuration: time.Second, MaxClockDrift: 0.01, SettleTimeout: settle, StagingTimeout: 5 * time.Second, Retention: time.Second, AutoRollbackWindow: time.Second,
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
	// Each command has its own client, as commands on one connection would wait for each other.
	op := &client.Client{Server: d.ln.Addr().String(), Key: d.opKey, Wall: time.Now}
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

// delayBytes delays the bytes of a version until release is called.
func (d *registryServer) delayBytes(v string) (release func()) {
	ch := make(chan struct{})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delayed[digestOf(v)] = ch
	return func() { close(ch) }
}

func (d *registryServer) controller(name string) *Controller {
	d.t.Helper()
	c := d.start(d.configure(name, `functions { name: "safe-1"`, fmt.Sprintf("registry { server: %q key: %q }\nfunctions { versions: true name: \"safe-1\"", d.ln.Addr(), controllerSecret),
		`functions { name: "keyed-1"`, `functions { versions: true name: "keyed-1"`, `functions { name: "unsafe-1"`, `functions { versions: true name: "unsafe-1"`))
	for i := 0; ; i++ { // until the controller has received the registry's state
		a := post(d.t, c, fmt.Sprint(name, "-first-", i), "safe-1@none", "{}", time.Now())
		if a.status == 503 && strings.Contains(a.body, "names no version") {
			return c
		}
		time.Sleep(ms)
	}
}

// calls sends one call of each class and returns the channels that receive their answers.
func (d *registryServer) calls(c *Controller, id string) map[string]chan answer {
	answers := map[string]chan answer{}
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		ch := make(chan answer, 1)
		answers[class] = ch
		m := sign(d.t, commonSecret, "c1", id+"-"+class, class+"-1", "{}", time.Now())
		go func() { ch <- exchange(d.t, c.Addr(), m) }()
	}
	return answers
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
	d.t.Fatalf("%s did not reach workers %d times within 20 s", function, n)
}

// An alias migrates while a worker still loads the old version, with hardly any settle time. A safe
// call restarts under the new version. Keyed and unsafe calls may run and must not run twice: they
// fail, although the worker's response arrives.
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
		t.Errorf("the new version ran %d times, want 1", n)
	}
	release()
	wantAnswer(t, <-got["keyed"], "502 failed")
	wantAnswer(t, <-got["unsafe"], "502 failed")
	if n := d.runs("unsafe-1@v1") + d.runs("unsafe-1@v2"); n != 1 {
		t.Errorf("the unsafe call ran %d times, want 1", n)
	}
	if n := c.Webhook.Counts.Restarted.Load(); n != 1 {
		t.Errorf("%d calls restarted, want 1", n)
	}
}

// With enough settle time the calls in flight are answered by the old version, and the migration is
// acknowledged only after that.
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
		t.Error("a migration was acknowledged while calls under the old version run")
	}
	release()
	for class, ch := range got {
		wantAnswer(t, <-ch, "200 served")
		if n := d.runs(class + "-1@v1"); n != 1 {
			t.Errorf("%s ran %d times under v1, want 1", class, n)
		}
	}
	for range 3 {
		if s := <-acks; s != "acknowledged" {
			t.Errorf("migration status %q, want acknowledged", s)
		}
	}
}

// epoch returns the registry's epoch.
func (d *registryServer) epoch() (epoch uint64) {
	d.s.Inspect(func(_ time.Duration, st *registry.State, _ *registry.Leases) { epoch = st.Epoch })
	return epoch
}

// An alias migrates from v1 to v2 and back to v1 during one load. Calls that started before the
// first migration do not count as calls under the second v1.
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
	// The call is served under v2 if it ran before the migration back, else under v1.
	wantAnswer(t, <-got["safe"], "200 served")
	wantAnswer(t, <-got["unsafe"], "502 failed")
	wantAnswer(t, <-got["keyed"], "502 failed")
}

// Calls of versioned functions are answered correctly in four failures: a controller is killed
// between resolving and answering a call, no store has matching bytes, workers run other bytes, and
// the registry is unreachable.
func TestVersionedCallsDuringFailures(t *testing.T) {
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
	d.migrate("unsafe-1", "v2", 1) // waits until the lease of the killed controller has expired
	release()
	c = d.controller("c1")
	call := func(id, function string) answer {
		for i := 0; ; i++ { // messages signed before a restart are rejected and must be signed again
			a := post(t, c, fmt.Sprint(id, "-", i), function, "{}", time.Now())
			if !strings.Contains(a.body, "before a restart") {
				return a
			}
			time.Sleep(20 * ms)
		}
	}
	wantAnswer(t, call("after", "unsafe-1"), "200 served")
	if n := d.runs("unsafe-1@v2"); n != 1 {
		t.Errorf("the new version ran %d times, want 1", n)
	}

	d.mu.Lock()
	d.noMatchingBytes = true
	d.mu.Unlock()
	d.migrate("safe-1", "v2", 1)
	if a := call("bad", "safe-1"); a.status == 200 || d.runs("safe-1@v2") > 0 {
		t.Errorf("without matching bytes: answer %v, ran %d times", a, d.runs("safe-1@v2"))
	}
	d.mu.Lock()
	d.noMatchingBytes = false
	d.mu.Unlock()
	for a := call("good", "safe-1"); a.status != 200; a = call("good"+fmt.Sprint(time.Now().UnixNano()), "safe-1") {
		if a.outcome != "refused" && a.outcome != "failed" {
			t.Fatal(a)
		}
	}

	// Workers run other bytes than the version's: their responses are not used.
	for _, w := range d.host.Names() {
		d.host.ServeStaleVersion(w, "keyed-1@v1", digestOf("v2"))
	}
	if a := call("lie", "keyed-1"); a.status == 200 || c.Gateway.Counts.DigestMismatches.Load() == 0 {
		t.Errorf("with wrong bytes at workers: answer %v, %d digest mismatches", a, c.Gateway.Counts.DigestMismatches.Load())
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

// A cached answer is not given again after a migration away from its version. The retry of a safe
// call runs again, under the new version; other calls fail.
func TestCachedAnswerOfSupersededVersionIsWithheld(t *testing.T) {
	d := newRegistryServer(t, ms)
	c := d.controller("c1")
	at := time.Now().Add(-10 * time.Second)
	send := func(class string, n int) answer { // the same call, signed n seconds later
		return post(t, c, "kept-"+class, class+"-1", "{}", at.Add(time.Duration(n)*time.Second))
	}
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		wantAnswer(t, send(class, 0), "200 served")
		wantAnswer(t, send(class, 1), "200 served")
		if n := d.runs(class + "-1@v1"); n != 1 {
			t.Errorf("%s ran %d times under v1, want 1", class, n)
		}
		if a := d.migrate(class+"-1", "v2", 1); a.Status != "acknowledged" {
			t.Fatalf("%+v", a)
		}
	}
	wantAnswer(t, send("safe", 2), "503 refused")
	wantAnswer(t, send("keyed", 2), "502 failed")
	wantAnswer(t, send("unsafe", 2), "502 failed")
	wantAnswer(t, send("safe", 2), "409 replayed") // the same signed message again
	wantAnswer(t, send("safe", 3), "200 served")
	if n := d.runs("safe-1@v2"); n != 1 {
		t.Errorf("the safe call ran %d times under the new version, want 1", n)
	}
	if n := c.Webhook.Counts.Withheld.Load(); n != 3 {
		t.Errorf("%d answers withheld, want 3", n)
	}
}
