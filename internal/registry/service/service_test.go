package service_test

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"kitehub/internal/clock"
	"kitehub/internal/http1"
	"kitehub/internal/registry"
	"kitehub/internal/registry/agent"
	"kitehub/internal/registry/client"
	"kitehub/internal/registry/service"
	"kitehub/internal/registry/wire"
	"kitehub/internal/signing"
	"kitehub/internal/store"
)

const ms = time.Millisecond

var settings = registry.Settings{LeaseDuration: 400 * ms, MaxClockDrift: 0.01, SettleTimeout: 200 * ms, StagingTimeout: 2 * time.Second, Retention: 300 * ms, ErrorWatch: time.Second, MinCalls: 100, MaxErrorIncrease: 0.2,
	MaxModels: 10, MaxVersions: 20, MaxAliases: 5, MaxControllers: 5, MaxRemembered: 1000}

// secret returns the secret of a caller.
func secret(t testing.TB, name string) *signing.Key {
	t.Helper()
	text, err := signing.Derive("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw", name)
	if err != nil {
		t.Fatal(err)
	}
	k, err := signing.ParseKey(text)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// A desk is a registry's process that can be killed and started anew on its folder and port.
type desk struct {
	t    testing.TB
	fs   store.FS
	addr string
	s    *service.Service
	ln   net.Listener
	srv  *http1.Server
}

func (d *desk) start() {
	d.t.Helper()
	s, _, err := service.Open(service.Config{Settings: settings, Clock: clock.System(), FS: d.fs, Log: zerolog.Nop(), Every: 50, Hold: 100 * ms})
	if err != nil {
		d.t.Fatal(err)
	}
	if d.addr == "" {
		d.addr = "127.0.0.1:0"
	}
	if d.ln, err = net.Listen("tcp", d.addr); err != nil {
		d.t.Fatal(err)
	}
	var callers []service.Caller
	for _, n := range []string{"ann", "bob"} {
		callers = append(callers, service.Caller{Name: n, Keys: []*signing.Key{secret(d.t, n)}, Operator: true})
	}
	callers = append(callers, service.Caller{Name: "c1", Keys: []*signing.Key{secret(d.t, "c1")}, Controller: true})
	d.s, d.addr = s, d.ln.Addr().String()
	d.srv = &http1.Server{Handler: service.NewFront(s, callers, time.Minute)}
	go d.srv.Serve(d.ln)
}

func (d *desk) kill() {
	d.ln.Close()
	d.srv.Cut()
	d.s.Close()
}

func open(t testing.TB, fs store.FS) *desk {
	d := &desk{t: t, fs: fs}
	d.start()
	t.Cleanup(func() { d.kill() })
	return d
}

func (d *desk) client(name string) *client.Client {
	return &client.Client{Server: d.addr, Name: name, Key: secret(d.t, name), Wall: time.Now}
}

func push(v string) wire.Command {
	return wire.Command{Push: &registry.Push{Model: "m", Version: registry.Version{Name: v, Digest: "sha256:" + strings.Repeat(v[1:], 64)[:64], Size: 9}}}
}

func promote(v string, rev uint64) wire.Command {
	return wire.Command{Promote: &registry.Promote{Model: "m", Alias: "current", To: v, IfRevision: rev}, WaitMS: 3000}
}

func must(t testing.TB, c *client.Client, key string, cmd wire.Command) *wire.Answer {
	t.Helper()
	a, err := c.Command(key, cmd)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func status(err error) int {
	var s *client.StatusError
	if errors.As(err, &s) {
		return s.Status
	}
	return 0
}

func TestOperators(t *testing.T) {
	d := open(t, store.Dir(t.TempDir()))
	ann, bob := d.client("ann"), d.client("bob")
	must(t, ann, "p1", push("v1"))
	must(t, ann, "p2", push("v2"))
	if a := must(t, ann, "k1", promote("v1", 0)); a.Migration != 1 || a.Status != "acknowledged" {
		t.Errorf("%+v", a)
	}
	if a := must(t, ann, "k1", promote("v1", 0)); a.Migration != 1 || !a.Replayed {
		t.Errorf("the same key again: %+v", a)
	}
	if _, err := ann.Command("k1", promote("v2", 1)); status(err) != 422 {
		t.Errorf("the key for something else: %v", err)
	}
	if a := must(t, bob, "k1", promote("v2", 1)); a.Migration != 2 { // keys are each operator's own
		t.Errorf("%+v", a)
	}
	if _, err := ann.Command("k2", promote("v2", 1)); status(err) != 412 {
		t.Errorf("second mover: %v", err)
	}
	if _, err := d.client("c1").Command("k", push("v3")); status(err) != 403 {
		t.Errorf("a controller gives commands: %v", err)
	}
	if _, err := (&client.Client{Server: d.addr, Key: secret(t, "eve"), Wall: time.Now}).Query(wire.Query{What: "list"}); status(err) != 401 {
		t.Errorf("a stranger asks: %v", err)
	}
	if _, err := (&client.Client{Server: d.addr, Key: secret(t, "ann"), Wall: func() time.Time { return time.Now().Add(time.Hour) }}).Query(wire.Query{What: "list"}); status(err) != 401 {
		t.Errorf("a timestamp an hour off: %v", err)
	}
	raw := func(path, body string, h http1.Header) int {
		_, _, err := ann.Do(path, client.ID("raw"), h, []byte(body), time.Second)
		return status(err)
	}
	for _, tt := range []struct {
		path, body string
		header     http1.Header
		want       int
	}{
		{wire.CommandPath, `{"promote":{"Model":"m","Alias":"current","To":"v1","IfRevision":2}}`, nil, 428},
		{wire.CommandPath, `{"promote":{"Model":"m","Alias":"current","To":"v1","IfRevision":2}}`, http1.Header{{Name: "If-Match", Value: `"7"`}}, 400},
		{wire.CommandPath, `{"promote":{"Model":"m","Alias":"current","To":"v1","IfRevision":2}}`, http1.Header{{Name: "If-Match", Value: "*"}}, 400},
		{wire.CommandPath, `{"promote":{"Model":"m","Alais":"current"}}`, nil, 400},
		{wire.CommandPath, `{}`, nil, 400}, {wire.CommandPath, `{"tick":{}}`, nil, 400}, {wire.CommandPath, `{} {}`, nil, 400},
		{wire.QueryPath, `{"what":"everything"}`, nil, 400}, {"/other", `{}`, nil, 404},
		{wire.DiscoveryPath, `{"node":{"id":"c1"}}`, nil, 403},
	} {
		if got := raw(tt.path, tt.body, tt.header); got != tt.want {
			t.Errorf("%s %s: %d, want %d", tt.path, tt.body, got, tt.want)
		}
	}
	h, err := ann.Query(wire.Query{What: "history"})
	if err != nil || len(h.History) != 4 || h.History[3].By != "bob" {
		t.Errorf("history: %+v, %v", h, err)
	}
}

// A full disk refuses a command and nothing changes; once there is room, all goes on.
type fullFS struct {
	store.FS
	mu   sync.Mutex
	full bool
}

type fullFile struct {
	store.File
	fs *fullFS
}

func (f *fullFS) Append(name string) (store.File, error) {
	w, err := f.FS.Append(name)
	return &fullFile{w, f}, err
}

func (f *fullFS) Create(name string) (store.File, error) {
	w, err := f.FS.Create(name)
	return &fullFile{w, f}, err
}

func (f *fullFile) Write(b []byte) (int, error) {
	f.fs.mu.Lock()
	full := f.fs.full
	f.fs.mu.Unlock()
	if full {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(b)
}

func TestDiskFull(t *testing.T) {
	fs := &fullFS{FS: store.Dir(t.TempDir())}
	d := open(t, fs)
	ann := d.client("ann")
	must(t, ann, "p1", push("v1"))
	must(t, ann, "p2", push("v2"))
	must(t, ann, "k1", promote("v1", 0))
	fs.mu.Lock()
	fs.full = true
	fs.mu.Unlock()
	if _, err := ann.Command("k2", promote("v2", 1)); status(err) != 507 {
		t.Errorf("with a full disk: %v, want 507", err)
	}
	if a, err := ann.Query(wire.Query{What: "watch"}); err != nil || len(a.Targets) != 1 || a.Targets[0].Version != "v1" {
		t.Errorf("after it: %+v, %v", a, err)
	}
	fs.mu.Lock()
	fs.full = false
	fs.mu.Unlock()
	if a := must(t, ann, "k2", promote("v2", 1)); a.Status != "acknowledged" {
		t.Errorf("with room again: %+v", a)
	}
	d.kill()
	d.start()
	if a, err := d.client("ann").Query(wire.Query{What: "watch"}); err != nil || a.Targets[0].Version != "v2" || a.Targets[0].Revision != 2 {
		t.Errorf("after a restart: %+v, %v", a, err)
	}
}

// A process killed between the log's write and its reply: the same key finds the move.
func TestKilledBeforeReply(t *testing.T) {
	dir := t.TempDir()
	d := open(t, store.Dir(dir))
	must(t, d.client("ann"), "p1", push("v1"))
	for i := range 10 {
		key := fmt.Sprint("k", i)
		got := make(chan error, 1)
		go func() {
			_, err := d.client("ann").Command(key, promote("v1", uint64(i)))
			got <- err
		}()
		for { // until it is in the log
			n := 0
			d.s.Do(func(_ time.Duration, st *registry.State, _ *registry.Leases) { n = int(st.LastMigration) })
			if n > i {
				break
			}
		}
		d.kill()
		<-got
		d.start()
		a := must(t, d.client("ann"), key, promote("v1", uint64(i)))
		if a.Migration != uint64(i+1) || !a.Replayed || a.Status != "acknowledged" {
			t.Fatalf("round %d: %+v", i, a)
		}
	}
}

// What a new process must not believe: that nobody holds a lease of the process before. And what it must: its own log alone.
func TestRestartWaitsForLeases(t *testing.T) {
	d := open(t, store.Dir(t.TempDir()))
	must(t, d.client("ann"), "p1", push("v1"))
	must(t, d.client("ann"), "p2", push("v2"))
	must(t, d.client("ann"), "k1", promote("v1", 0))
	d.kill()
	d.start()
	begin := time.Now()
	a := must(t, d.client("ann"), "k2", promote("v2", 1))
	if took := time.Since(begin); a.Status != "acknowledged" || took < settings.LeaseDuration-50*ms {
		t.Errorf("%+v after %v, before a lease of %v could have run out", a, took, settings.LeaseDuration)
	}
	if err := os.WriteFile(filepath.Join(string(d.fs.(store.Dir)), "junk"), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	d.kill()
	d.start() // a file that is not its own is left alone
}

// An agent's door: an answer that is being written holds the acknowledgement up, and the end of a lease ends it.
func TestDoor(t *testing.T) {
	d := open(t, store.Dir(t.TempDir()))
	ann := d.client("ann")
	must(t, ann, "p1", push("v1"))
	must(t, ann, "p2", push("v2"))
	must(t, ann, "k1", promote("v1", 0))
	clk := clock.System()
	a := agent.Start(agent.Config{Client: d.client("c1"), Node: "c1", Clock: clk, Log: zerolog.Nop()})
	defer a.Stop()
	n := registry.AliasName{Model: "m", Alias: "current"}
	until := func(what string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(ms) {
			if time.Now().After(end) {
				t.Fatalf("never: %s", what)
			}
		}
	}
	var target registry.Target
	until("resolved", func() bool {
		var v registry.Verdict
		target, v = a.Resolve(n)
		return v == registry.Allowed
	})
	ticket, _, v := a.Begin(n, target)
	if v != registry.Allowed {
		t.Fatal(v)
	}
	moved := make(chan *wire.Answer, 1)
	go func() {
		x, _ := ann.Command("k2", promote("v2", 1))
		moved <- x
	}()
	until("moved here", func() bool { x, _ := a.Resolve(n); return x.Version == "v2" })
	if v := a.MayAnswer(n, target); v != registry.Superseded && v != registry.BeingSuperseded {
		t.Errorf("the old target: %v", v)
	}
	select {
	case x := <-moved:
		t.Errorf("acknowledged while an old answer is written: %+v", x)
	case <-time.After(2 * settings.LeaseDuration): // renewed all the while, under the old epoch
	}
	a.End(ticket)
	if x := <-moved; x == nil || x.Status != "acknowledged" {
		t.Errorf("%+v", x)
	}
	if v := a.MayAnswer(n, target); v != registry.Superseded {
		t.Errorf("after the acknowledgement: %v", v)
	}
}

// A controller that is cut off resolves nothing once its lease is over, but where stale is fine.
func TestCutOff(t *testing.T) {
	d := open(t, store.Dir(t.TempDir()))
	ann := d.client("ann")
	must(t, ann, "p1", push("v1"))
	p := push("v1")
	p.Push.Model = "s"
	must(t, ann, "p2", p)
	must(t, ann, "pol", wire.Command{Policy: &registry.Policy{Model: "s", Stale: true}})
	must(t, ann, "k1", promote("v1", 0))
	q := promote("v1", 0)
	q.Promote.Model = "s"
	must(t, ann, "k2", q)
	a := agent.Start(agent.Config{Client: d.client("c1"), Node: "c1", Clock: clock.System(), Log: zerolog.Nop()})
	defer a.Stop()
	n, stale := registry.AliasName{Model: "m", Alias: "current"}, registry.AliasName{Model: "s", Alias: "current"}
	verdict := func(n registry.AliasName) registry.Verdict { _, v := a.Resolve(n); return v }
	for verdict(n) != registry.Allowed || verdict(stale) != registry.Allowed {
		time.Sleep(ms)
	}
	d.kill()
	end := time.Now().Add(settings.LeaseDuration)
	for {
		at := time.Now()
		if verdict(n) != registry.Allowed {
			break
		}
		if at.After(end) {
			t.Fatal("it resolves after its lease")
		}
		time.Sleep(ms)
	}
	if v := verdict(n); v != registry.NoLease {
		t.Errorf("%v", v)
	}
	if v := verdict(stale); v != registry.Allowed {
		t.Errorf("where stale is fine: %v", v)
	}
	d.start()
	for verdict(n) != registry.Allowed {
		time.Sleep(ms)
	}
}

// The history of operators' commands, with processes killed in between, is that of one registry that does one thing at a
// time: a command whose answer was lost is sent again with its key, and happens once between its first send and its answer.
func TestLinearizable(t *testing.T) {
	d := open(t, store.Dir(t.TempDir()))
	for i := range 5 {
		must(t, d.client("ann"), fmt.Sprint("p", i), push(fmt.Sprint("v", i)))
	}
	type in struct {
		read bool
		to   string
		rev  uint64
	}
	type out struct {
		ok      bool
		version string
		rev     uint64
	}
	var mu sync.Mutex
	var ops []porcupine.Operation
	var up sync.RWMutex // held for writing while the process is down
	again, done := 0, make(chan struct{}, 4*150)
	begin, addr, keys := time.Now(), d.addr, []*signing.Key{secret(t, "ann"), secret(t, "bob")}
	var wg sync.WaitGroup
	for id := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(7, uint64(id)))
			known := uint64(0)
			for i := range 150 {
				c := &client.Client{Server: addr, Key: keys[id%2], Wall: time.Now}
				x := in{read: rng.IntN(2) == 0}
				if !x.read {
					x.to, x.rev = fmt.Sprint("v", rng.IntN(5)), known
				}
				call, y, taken := int64(time.Since(begin)), out{}, true
				for {
					var err error
					if x.read {
						var a *wire.Answer
						if a, err = c.Query(wire.Query{What: "watch"}); err == nil && len(a.Targets) == 1 {
							y = out{version: a.Targets[0].Version, rev: a.Targets[0].Revision}
							known = y.rev
						}
					} else {
						cmd := promote(x.to, x.rev)
						cmd.WaitMS = 0
						if _, err = c.Command(fmt.Sprint("k", id, "-", i), cmd); err == nil {
							y.ok, known = true, x.rev+1
						}
					}
					if s := status(err); s != 0 { // 412 speaks of the revision, others of nothing that the model knows
						taken = s == 412
						break
					} else if err == nil {
						break
					}
					up.RLock() // until it runs again
					up.RUnlock()
					mu.Lock()
					again++
					mu.Unlock()
				}
				c.Close()
				if taken {
					mu.Lock()
					ops = append(ops, porcupine.Operation{ClientId: id, Input: x, Call: call, Output: y, Return: int64(time.Since(begin))})
					mu.Unlock()
				}
				done <- struct{}{}
			}
		}()
	}
	for range 12 {
		for range 40 {
			<-done
		}
		up.Lock()
		d.kill()
		d.start()
		up.Unlock()
	}
	wg.Wait()
	type state struct {
		version string
		rev     uint64
	}
	model := porcupine.NondeterministicModel{
		Init: func() []interface{} { return []interface{}{state{}} },
		Step: func(s, i, o interface{}) []interface{} {
			st, x, y := s.(state), i.(in), o.(out)
			next := state{x.to, st.rev + 1}
			switch {
			case x.read && (y.version == st.version && y.rev == st.rev):
				return []interface{}{st}
			case x.read:
				return nil
			case !y.ok && st.rev != x.rev:
				return []interface{}{st}
			case y.ok && st.rev == x.rev:
				return []interface{}{next}
			}
			return nil
		},
	}
	if !porcupine.CheckOperations(model.ToModel(), ops) {
		text, _ := json.Marshal(ops)
		t.Errorf("%d operations are not linearizable: %s", len(ops), text)
	}
	moves := 0
	for _, o := range ops {
		if o.Output.(out).ok {
			moves++
		}
	}
	t.Logf("%d operations, %d moves, %d sent again", len(ops), moves, again)
	if moves < 5 {
		t.Errorf("%d moves: nothing is shown", moves)
	}
	// The checker finds a planted fault: a read of a revision that nobody made yet.
	ops = append(ops, porcupine.Operation{ClientId: 9, Input: in{read: true}, Call: 0, Output: out{version: "v9", rev: 99}, Return: 1})
	if porcupine.CheckOperations(model.ToModel(), ops) {
		t.Error("a planted fault is not found")
	}
}

// Whatever commands are given, and wherever the process ends, what is recovered is what was committed.
func TestRecoveredIsTheSame(t *testing.T) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "20")
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "registry")
		if err != nil {
			rt.Fatal(err)
		}
		clk := clock.NewManual(time.Unix(1_800_000_000, 0))
		run := func() *service.Service {
			s, _, err := service.Open(service.Config{Settings: settings, Clock: clk, FS: store.Dir(dir), Log: zerolog.Nop(), Every: 7, Hold: 100 * ms})
			if err != nil {
				rt.Fatal(err)
			}
			return s
		}
		s := run()
		defer func() { s.Close() }()
		text := func() (b []byte) {
			s.Do(func(_ time.Duration, st *registry.State, _ *registry.Leases) { b, _ = json.Marshal(st) })
			return b
		}
		v := rapid.SampledFrom([]string{"v1", "v2", "v3"})
		m := rapid.SampledFrom([]string{"m", "n"})
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			clk.Advance(time.Duration(rapid.IntRange(0, 400).Draw(rt, "dt")) * ms)
			var c registry.Command
			switch rapid.IntRange(0, 8).Draw(rt, "what") {
			case 0, 1:
				x := v.Draw(rt, "v")
				c = registry.Push{Model: m.Draw(rt, "m"), Version: registry.Version{Name: x, Digest: "sha256:" + strings.Repeat(x[1:], 64)}}
			case 2, 3:
				c = registry.Promote{Model: m.Draw(rt, "m"), Alias: "current", To: v.Draw(rt, "v"), IfRevision: uint64(rapid.IntRange(0, 4).Draw(rt, "rev")), Copies: rapid.IntRange(0, 2).Draw(rt, "copies")}
			case 4:
				c = registry.CopiesReady{Model: m.Draw(rt, "m"), Version: v.Draw(rt, "v"), Worker: "w", Copies: rapid.IntRange(0, 2).Draw(rt, "copies")}
			case 5:
				c = registry.Rollback{Model: m.Draw(rt, "m"), Alias: "current", IfRevision: uint64(rapid.IntRange(0, 4).Draw(rt, "rev"))}
			case 6:
				c = rapid.SampledFrom([]registry.Command{registry.Tick{}, registry.Collect{}, registry.Policy{Model: "m", Stale: true}, registry.Condemn{Model: "n", Version: "v3"}}).Draw(rt, "other")
			case 7:
				c = registry.IdempotentCommand{Key: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "key"), Sum: "s", Command: registry.Policy{Model: "m", Stale: rapid.Bool().Draw(rt, "stale")}}
			default:
				s.Close()
				before := text()
				s = run()
				var after registry.State
				var want registry.State
				if err := errors.Join(json.Unmarshal(text(), &after), json.Unmarshal(before, &want)); err != nil {
					rt.Fatal(err)
				}
				// A new process may have gone on by itself since: time passes, and nobody holds a lease.
				if after.Epoch < want.Epoch || after.LastMigration < want.LastMigration || len(after.History) < len(want.History) || after.Confirmed < want.Confirmed {
					rt.Fatalf("before %s\nafter %+v", before, after)
				}
				for name, model := range want.Models {
					for vn, x := range model.Versions {
						y := after.Models[name].Versions[vn]
						if y == nil || y.Digest != x.Digest {
							rt.Fatalf("%s %s: %+v, was %+v", name, vn, y, x)
						}
					}
					for an, x := range model.Aliases {
						if y := after.Models[name].Aliases[an]; x.Revision > 0 && (y == nil || y.Revision < x.Revision || y.Revision == x.Revision && y.Version != x.Version) {
							rt.Fatalf("%s %s: %+v, was %+v", name, an, y, x)
						}
					}
				}
				continue
			}
			s.Commit(c) // refused or not, it is in the log
		}
	})
}

// A controller that refuses what it is told holds a move up until its lease is over, not for ever.
func TestNack(t *testing.T) {
	d := open(t, store.Dir(t.TempDir()))
	ann, c1 := d.client("ann"), d.client("c1")
	must(t, ann, "p1", push("v1"))
	must(t, ann, "p2", push("v2"))
	must(t, ann, "k1", promote("v1", 0))
	ask := func(q wire.Request) {
		q.Node.ID, q.TypeURL = "c1", wire.TypeAlias
		body, err := json.Marshal(q)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := c1.Do(wire.DiscoveryPath, client.ID("poll"), nil, body, time.Second); err != nil {
			t.Error(err)
		}
	}
	ask(wire.Request{VersionInfo: "1"})
	got := make(chan string, 1)
	go func() {
		a, err := ann.Command("k2", promote("v2", 1))
		if err != nil {
			got <- err.Error()
			return
		}
		got <- a.Status
	}()
	for {
		select {
		case s := <-got:
			if s != "acknowledged" {
				t.Errorf("%s while a controller refuses what it is told", s)
			}
			return
		default:
			ask(wire.Request{VersionInfo: "1", ErrorDetail: &wire.ErrorDetail{Code: 3, Message: "no"}})
		}
	}
}
