package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/backend/frame"
	"kitehub/internal/gateway"
	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

const settingsText = `{"balancers": 1, "tickMs": 2, "tenants": [{"name": "acme"}], "kinds": ["std"], "localities": ["east"],
	"classes": [{"name": "lookup", "effect": "pure", "giveUpMs": 4000, "targetMs": 1000, "worth": 1},
		{"name": "update", "effect": "token", "keyScope": "cell", "windowMs": 5000, "giveUpMs": 4000, "targetMs": 1000, "worth": 1},
		{"name": "move", "effect": "side_effect", "giveUpMs": 4000, "targetMs": 1000, "worth": 1}],
	"domain": {"onMiss": "load", "idleLifeMs": 8500, "warmNotes": true}, "guarantees": {"drainGraceMs": 200},
	"limits": {"mostTries": 3, "dialTimeoutMs": 250, "maxOpen": 100, "keepaliveMs": 15000, "streamsPerConn": 100, "cancel": true}}`

func newInvoker(t testing.TB, delay time.Duration, say func(int64) byte) *fakeplatform.Echo {
	t.Helper()
	v, err := fakeplatform.NewEcho(delay, say)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { v.Close() })
	return v
}

func newDirectory(t testing.TB) *fakeplatform.Directory {
	t.Helper()
	d, err := fakeplatform.NewDirectory()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	return d
}

type harness struct {
	t      testing.TB
	file   string
	fields map[string]any
	env    map[string]string
	reload chan os.Signal
	stop   chan os.Signal
	ended  chan error
	log    *logBuffer
	addr   string
}

// logBuffer is a log that can be waited for.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
	more chan struct{}
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	l.text.Write(b)
	l.mu.Unlock()
	select {
	case l.more <- struct{}{}:
	default:
	}
	return len(b), nil
}

// wait returns the first line that holds a text.
func (l *logBuffer) wait(t testing.TB, text string) string {
	t.Helper()
	end := time.After(20 * time.Second)
	for {
		l.mu.Lock()
		all := l.text.String()
		l.mu.Unlock()
		for _, line := range strings.Split(all, "\n") {
			if strings.Contains(line, text) {
				return line
			}
		}
		select {
		case <-l.more:
		case <-end:
			t.Fatalf("no %q in the log:\n%s", text, all)
		}
	}
}

// start runs a controller that finds the signals waiting as it starts.
func start(t testing.TB, v *fakeplatform.Echo, names string, stop ...os.Signal) *harness {
	t.Helper()
	r := &harness{t: t, file: filepath.Join(t.TempDir(), "config.json"), reload: make(chan os.Signal, 1), stop: make(chan os.Signal, 2), ended: make(chan error, 1), log: &logBuffer{more: make(chan struct{}, 1)}}
	r.env = map[string]string{EnvName: "n3", EnvListen: "127.0.0.1:0", EnvConfig: r.file}
	r.fields = map[string]any{"name": "n3", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "names": names,
		"limits":   map[string]any{"cores": 1, "memory_mb": 512, "sockets": 256},
		"known":    known(v.Addr().String()),
		"settings": json.RawMessage(settingsText)}
	r.write()
	for _, sig := range stop {
		r.stop <- sig
	}
	go func() {
		r.ended <- Run(func(k string) string { return r.env[k] }, zerolog.New(r.log), Signals{Reload: r.reload, Stop: r.stop})
	}()
	line := r.log.wait(t, `"serving"`)
	var m struct{ Listen string }
	if err := json.Unmarshal([]byte(line), &m); err != nil {
		t.Fatal(err)
	}
	r.addr = m.Listen
	t.Cleanup(func() {
		for range 2 { // the second ends it at once, if the first has not
			select {
			case r.stop <- os.Interrupt:
			default:
			}
		}
	})
	return r
}

func known(addr string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"cursor": 2, "cmds": [{"cursor": 1, "nodes": {"rev": 1, "all": true, "targets": [
		{"uid": "s-0", "endpoint": "127.0.0.1:1", "az": "east", "model": "std", "pod_group": 0, "state": "ready", "capacity_hint": 1, "boot_ms": 0}]}},
		{"cursor": 2, "nodes": {"rev": 2, "all": false, "targets": [{"uid": "s-0", "state": "gone"},
		{"uid": "s-1", "endpoint": %q, "az": "east", "model": "std", "pod_group": 0, "state": "ready", "capacity_hint": 1, "boot_ms": 0}]}}]}`, addr))
}

func (r *harness) write() {
	b, err := json.Marshal(r.fields)
	if err == nil {
		err = os.WriteFile(r.file, b, 0o600)
	}
	if err != nil {
		r.t.Fatal(err)
	}
}

type testClient struct {
	*fakeplatform.Client
	t testing.TB
}

func (r *harness) dial() *testClient {
	r.t.Helper()
	c, err := fakeplatform.Dial(r.addr, time.Minute)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return &testClient{c, r.t}
}

var txns atomic.Int64

func (c *testClient) call(id int, method string) {
	c.Write(fakeplatform.Request(id, method, fakeplatform.Fields("txn", fakeplatform.Txn(int(txns.Add(1))), "limit", "4000"), []byte(fmt.Sprint("body ", id))))
}

// answers reads n answers, by msgid: "served BODY", or the words of errors.
func (c *testClient) answers(n int) map[string]string {
	c.t.Helper()
	got := map[string]string{}
	for range n {
		id, what := c.Answer()
		if id < 0 {
			c.t.Fatalf("%d answers of %d: %s", len(got), n, what)
		}
		got[fmt.Sprint(id)] = what
	}
	return got
}

func TestServes(t *testing.T) {
	v := newInvoker(t, 0, nil)
	r := start(t, v, newDirectory(t).LocalAddr().String())
	c := r.dial()
	for i := range 10 {
		c.call(i, []string{"lookup", "move"}[i%2])
		if got := c.answers(1)[fmt.Sprint(i)]; got != fmt.Sprint("served body ", i) {
			t.Errorf("call %d: %q", i, got)
		}
	}
	if n := v.Calls.Load(); n != 10 {
		t.Errorf("%d calls came to the worker, want 10", n)
	}
}

// TestEffects: what may have run goes out again only where that does no harm.
func TestEffects(t *testing.T) {
	tests := []struct {
		method string
		code   byte // of the first answer
		want   string
		calls  int64
	}{
		{"lookup", 68, "served body 1", 2}, // an error: it may have run, which a safe call may twice
		{"move", 68, "Failed", 1},
		{"move", 69, "served body 1", 2}, // over already: it never ran
		{"move", 67, "served body 1", 2},
		{"lookup", 0, "served body 1", 2},
		{"move", 0, "Failed", 1},
		{"update", 0, "served body 1", 2}, // to the group that drops its repeats
	}
	for _, tt := range tests {
		v := newInvoker(t, 0, func(n int64) byte {
			if n == 1 {
				return tt.code
			}
			return 64
		})
		r := start(t, v, newDirectory(t).LocalAddr().String())
		c := r.dial()
		c.call(1, tt.method)
		if got := c.answers(1)["1"]; got != tt.want || v.Calls.Load() != tt.calls {
			t.Errorf("%s after %d: %q by %d attempts, want %q by %d", tt.method, tt.code, got, v.Calls.Load(), tt.want, tt.calls)
		}
	}
}

func TestEstimatesAreComparedWithTheSockets(t *testing.T) {
	seen := []frame.Seen{{Worker: 1, Name: "a", Open: 3, Answered: 30, Took: 3 * time.Second, Conns: 4}, {Worker: 2, Name: "b", Open: 0, Lost: 2}, {Worker: 3, Name: "c"}}
	before := map[scheduler.WorkerID]frame.Seen{1: {Answered: 10, Took: time.Second}}
	views := []gateway.WorkerView{{Name: "a", WorkerSnapshot: scheduler.WorkerSnapshot{Snapshot: scheduler.Snapshot{Busy: 2, Loads: 1, Tokens: 4, LatencyRatio: 1.5}}},
		{Name: "b", WorkerSnapshot: scheduler.WorkerSnapshot{Snapshot: scheduler.Snapshot{Busy: 2, Ejected: true}}}}
	lines, differ := compareEstimates(seen, before, views)
	want := []string{"a out 3/3 conns 4 served 20 in 100ms lost 0; well pace 1.50 tokens 4.0", "b out 2/0 conns 0 served 0 in 0ms lost 2; ejected pace 0.00 tokens 0.0",
		"c out 0/0 conns 0 served 0 in 0ms lost 0; not known pace 0.00 tokens 0.0"}
	if differ != 2 || !slices.Equal(lines, want) {
		t.Errorf("%d, %q", differ, lines)
	}
}

func TestReload(t *testing.T) {
	v, w := newInvoker(t, 0, nil), newInvoker(t, 0, nil)
	first, second := newDirectory(t), newDirectory(t)
	r := start(t, v, first.LocalAddr().String())
	c := r.dial()
	if err := os.WriteFile(r.file, []byte(`{"name": "n3", "listen"`), 0o600); err != nil {
		t.Fatal(err)
	}
	stop, loaded := make(chan struct{}), make(chan error, 1)
	go func() { loaded <- load(r.dial(), stop) }()
	for v.Calls.Load() == 0 { // else the first worker may be gone before it is called
		runtime.Gosched()
	}
	r.reload <- syscall.SIGHUP
	r.log.wait(t, "the old one stays")
	second.Set(fakeplatform.List{Serial: 3, Workers: []string{"s-2"}, Addrs: []netip.AddrPort{w.Addr().(*net.TCPAddr).AddrPort()}})
	r.fields["names"] = second.LocalAddr().String()
	r.write()
	r.reload <- syscall.SIGHUP
	r.log.wait(t, `"version":3`)
	for i := 2; w.Calls.Load() == 0; i++ { // the module hears of the list with its next step
		c.call(i, "lookup")
		c.answers(1)
	}
	close(stop)
	if err := <-loaded; err != nil || v.Calls.Load() == 0 {
		t.Errorf("under load: %v, %d calls at the first worker", err, v.Calls.Load())
	}
}

// load calls until it is stopped; an error if any call is not served.
func load(c *testClient, stop chan struct{}) error {
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		c.call(1, "move")
		if id, got := c.Answer(); id != 1 || got != "served body 1" {
			return fmt.Errorf("%d: %s", id, got)
		}
	}
}

// TestLimitsHoldForTheProcess: what the configuration says of the machine holds for the process.
func TestLimitsHoldForTheProcess(t *testing.T) {
	procs, memory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1)
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		t.Fatal(err)
	}
	defer func() {
		runtime.GOMAXPROCS(procs)
		debug.SetMemoryLimit(memory)
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &files)
	}()
	applyLimits(Limits{Cores: 1.5, MemoryMB: 64, Sockets: 300})
	var now syscall.Rlimit
	syscall.Getrlimit(syscall.RLIMIT_NOFILE, &now)
	if p, m := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1); p != 2 || m != 32<<20 || now.Cur != 300 {
		t.Errorf("%d processors, %d bytes, %d descriptors", p, m, now.Cur)
	}
}

func TestConfig(t *testing.T) {
	base := func() map[string]any {
		return map[string]any{"name": "n3", "listen": "127.0.0.1:0", "seed": "8c", "names": "127.0.0.1:53", "limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
			"known": known("127.0.0.1:2"), "settings": json.RawMessage(settingsText)}
	}
	tests := []struct {
		name, field string // at fault; "": none
		change      func(map[string]any)
	}{
		{"good", "", func(map[string]any) {}},
		{"no listen", EnvListen, func(m map[string]any) { delete(m, "listen") }},
		{"no name", EnvName, func(m map[string]any) { delete(m, "name") }},
		{"no names", "names", func(m map[string]any) { delete(m, "names") }},
		{"names without an address", "names", func(m map[string]any) { m["names"] = "names.cluster:53" }},
		{"seed", "seed", func(m map[string]any) { m["seed"] = "xyz" }},
		{"no settings", "settings", func(m map[string]any) { delete(m, "settings") }},
		{"settings that are no object", "settings", func(m map[string]any) { m["settings"] = 7 }},
		{"sockets", "limits.sockets", func(m map[string]any) { m["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 3} }},
		{"memory", "limits.memory_mb", func(m map[string]any) { m["limits"] = map[string]any{"cores": 1, "sockets": 300} }},
		{"cores", "limits.cores", func(m map[string]any) { m["limits"] = map[string]any{"cores": -1, "memory_mb": 64, "sockets": 300} }},
		{"an endpoint", "known.cmds[1].nodes.targets[1].endpoint", func(m map[string]any) { m["known"] = known("nowhere") }},
		{"a state", "known.cmds[0].nodes.targets[0].state", func(m map[string]any) {
			m["known"] = json.RawMessage(`{"cmds": [{"nodes": {"targets": [{"uid": "a", "endpoint": "a:1", "state": "asleep"}]}}]}`)
		}},
		{"words, and nowhere to listen for them", "peer_listen", func(m map[string]any) {
			m["settings"] = json.RawMessage(strings.Replace(settingsText, `"cancel": true`, `"peerMessages": true`, 1))
		}},
	}
	file := filepath.Join(t.TempDir(), "config.json")
	env := func(k string) string { return map[string]string{EnvConfig: file}[k] }
	for _, tt := range tests {
		m := base()
		tt.change(m)
		b, _ := json.Marshal(m)
		os.WriteFile(file, b, 0o600)
		c, err := Load(env)
		var p *ConfigError
		if errors.As(err, &p); tt.field == "" && err != nil || tt.field != "" && (p == nil || p.Field != tt.field) {
			t.Errorf("%s: %v, want field %q", tt.name, err, tt.field)
		}
		if err == nil && (len(c.KnownWorkers) != 1 || c.KnownWorkers[0].Name != "s-1" || c.KnownWorkers[0].Group != "0" || c.Serial != 2 || c.Seed != 0x8c) {
			t.Errorf("%s: %+v", tt.name, c)
		}
	}
	for name, env := range map[string]func(string) string{"not set": func(string) string { return "" }, "no file": func(string) string { return "/nonesuch" }} {
		if _, err := Load(env); !IsConfigError(err) || !strings.Contains(err.Error(), EnvConfig) {
			t.Errorf("%s: %v", name, err)
		}
	}
	os.WriteFile(file, bytes.Repeat([]byte("["), 100), 0o600)
	if _, err := Load(env); !IsConfigError(err) {
		t.Errorf("no JSON: %v", err)
	}
}

func TestLimitsAreDividedWithinTheirBounds(t *testing.T) {
	for _, l := range []Limits{{0.25, 32, minSockets}, {0.25, 48, 256}, {1, 192, 1024}, {2.5, 2048, 4096}} {
		b := divideLimits(l)
		if b.clientConns < 1 || b.workerConns < 1 || b.clientConns+b.workerConns > l.Sockets-16 || 3*b.clientConns < l.Sockets-48 {
			t.Errorf("%+v: %+v", l, b)
		}
		if b.maxProcs < 1 || float64(b.maxProcs) < l.Cores || b.heapBytes <= 0 || float64(b.heapBytes) > l.MemoryMB*(1<<20) {
			t.Errorf("%+v: %+v", l, b)
		}
	}
}

func TestTimesFollowTheSettings(t *testing.T) {
	s := scheduler.Settings{Classes: []scheduler.Class{{Deadline: 4}, {Deadline: 9}, {Deadline: 5}}, Limits: scheduler.Limits{DialTimeout: 10}}
	if longestDeadline(s) != 9 || dialTimeouts(s, 2.5) != 25 {
		t.Errorf("%v, %v", longestDeadline(s), dialTimeouts(s, 2.5))
	}
}

// BenchmarkRelay measures what one call costs a relay, with all that stands around it on loopback in the same process: sixteen
// clients that each have one call open, one worker that answers at once.
func BenchmarkRelay(b *testing.B) {
	v := newInvoker(b, 0, nil)
	r := start(b, v, newDirectory(b).LocalAddr().String())
	b.ResetTimer()
	var wg sync.WaitGroup
	var next atomic.Int64
	for range 16 {
		c := r.dial()
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				c.call(1, "lookup")
				if _, got := c.Answer(); got != "served body 1" {
					b.Error(got)
					return
				}
			}
		}()
	}
	wg.Wait()
}
