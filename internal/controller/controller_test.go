package controller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/config"
	"kitehub/internal/clock"
	"kitehub/internal/discovery"
	"kitehub/internal/gateway"
	"kitehub/internal/harness/fakeworker"
	"kitehub/internal/harness/trace"
	"kitehub/internal/harness/workersim"
	"kitehub/internal/http1"
	"kitehub/internal/signing"
	"kitehub/scheduler"
)

const ms = time.Millisecond

const common = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"
const other = "whsec_AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="

// A harness is a host of stand-in workers, a list of them and controllers in front.
type harness struct {
	t    *testing.T
	host *fakeworker.Host
	log  *trace.Log
	dir  string
	file string
	clk  clock.Clock
	mu   sync.Mutex
}

func newHarness(t *testing.T, workers int, change func(*fakeworker.Config)) *harness {
	t.Helper()
	r := &harness{t: t, dir: t.TempDir(), clk: clock.System()}
	r.file = filepath.Join(r.dir, "list.json")
	r.log = trace.NewLog(r.clk.Now)
	cfg := fakeworker.Config{Clock: r.clk, Trace: r.log, Fleet: workersim.Config{Store: workersim.Store{Pace: 10}, Window: 4 * time.Second}}
	for i := range workers {
		cfg.Fleet.Workers = append(cfg.Fleet.Workers, workersim.Spec{Name: fmt.Sprintf("w%d", i), Group: "g", Cores: 4, Speed: 1, MemoryMB: 4000, Queue: 20,
			LoadSlots: 4, IdleLife: time.Minute})
	}
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		cfg.Functions = append(cfg.Functions, fakeworker.Kind{Function: workersim.Function{Name: class + "-1", MemoryMB: 100, Lanes: 4, Fetch: 5 * ms, Start: ms},
			Class: class, Work: 5 * ms, Keyed: class == "keyed"})
	}
	if change != nil {
		change(&cfg)
	}
	var err error
	if r.host, err = fakeworker.Start(cfg); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.host.Close)
	r.list(scheduler.Ready)
	return r
}

// list writes the list, with the first worker in a state (Gone leaves all out).
func (r *harness) list(first scheduler.WorkerState) {
	r.t.Helper()
	var l []gateway.Worker
	for i, name := range r.host.Names() {
		w := gateway.Worker{Name: name, Network: "tcp", Addr: r.host.Addr(name), Group: "g", State: scheduler.Ready, Size: 1}
		if i == 0 {
			w.State = first
		}
		if first != scheduler.Gone {
			l = append(l, w)
		}
	}
	text, err := discovery.Render("c", l)
	if err == nil {
		err = discovery.WriteFile(r.file, text)
	}
	if err != nil {
		r.t.Fatal(err)
	}
}

// build is a controller's configuration; changes are pairs of old and new text.
func (r *harness) build(name string, changes ...string) *config.Built {
	r.t.Helper()
	text := fmt.Sprintf(`name: %q controllers: 1 tick_ms: 1 state_dir: %q stop_ms: 5000
webhook { listen: "127.0.0.1:0" prefix: "/call/" past_ms: 60000 future_ms: 2000 ahead_ms: 1000 remembered: 1000 kept_bytes: 1000000
  max_connections: 5000 max_body: 4096 first_byte_ms: 60000 head_ms: 60000 body_ms: 60000 idle_ms: 60000 }
classes { name: "safe" effect: SAFE aim_ms: 500 deadline_ms: 3000 worth: 1 }
classes { name: "keyed" effect: KEYED scope: SAME_GROUP window_ms: 4000 aim_ms: 500 deadline_ms: 3000 worth: 1 }
classes { name: "unsafe" effect: UNSAFE aim_ms: 500 deadline_ms: 3000 worth: 1 }
functions { name: "safe-1" class: "safe" memory_mb: 100 lanes: 4 }
functions { name: "keyed-1" class: "keyed" memory_mb: 100 lanes: 4 }
functions { name: "unsafe-1" class: "unsafe" memory_mb: 100 lanes: 4 }
clients { name: "shop" common_keys: %q }
discovery { file: %q cluster: "c" poll_ms: 2 }
limits { attempts: 3 open: 100 cancel: true dial_ms: 250 keep_alive_ms: 20000 }
loading { orders: true on_miss: LOAD idle_life_ms: 60000 answer_ms: 5000 warm_notes: true }
guarantees { drain_grace_ms: 500 cold_share: 0.2 cold_ms: 1000 fall_factor: 2 fall_within_ms: 1000 }
`, name, filepath.Join(r.dir, name), common, r.file)
	text = strings.NewReplacer(changes...).Replace(text)
	var c config.Config
	f, err := config.Parse(name, []byte(text), &c)
	if err != nil {
		r.t.Fatal(err)
	}
	b, err := config.Build(f, &c)
	if err != nil {
		r.t.Fatal(err)
	}
	return b
}

func (r *harness) start(b *config.Built) *Controller {
	r.t.Helper()
	c, err := Start(b, Options{Clock: r.clk, Log: zerolog.Nop()})
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(c.Kill)
	return c
}

// A message is a signed request that can be sent again byte by byte.
type message struct {
	m         signing.Message
	key       *signing.Key
	signature string
	path      string
	extra     http1.Header
}

func sign(t *testing.T, secret, endpoint, id, function, body string, at time.Time) message {
	t.Helper()
	if endpoint != "" {
		var err error
		if secret, err = signing.Derive(secret, endpoint); err != nil {
			t.Fatal(err)
		}
	}
	k, err := signing.ParseKey(secret)
	if err != nil {
		t.Fatal(err)
	}
	m := signing.Message{ID: id, Stamp: strconv.FormatInt(at.Unix(), 10), Body: []byte(body)}
	s, err := k.Sign(m)
	if err != nil {
		t.Fatal(err)
	}
	return message{m: m, key: k, signature: s, path: "/call/" + function}
}

func (m message) bytes() []byte {
	h := append(http1.Header{{Name: "Host", Value: "c"}, {Name: "webhook-id", Value: m.m.ID}, {Name: "webhook-timestamp", Value: m.m.Stamp},
		{Name: "webhook-signature", Value: m.signature}}, m.extra...)
	return http1.AppendRequest(nil, &http1.Request{Method: "POST", Target: m.path, Header: h, Body: m.m.Body})
}

var limits = http1.Limits{}.Filled()

// answer is what came back: the status, the outcome as the signed id tells it, and the body.
type answer struct {
	status  int
	outcome string
	body    string
	after   string
}

func (a answer) String() string { return fmt.Sprint(a.status, " ", a.outcome) }

// exchange sends bytes on a new connection and reads one answer; its signature must verify where it has one.
func exchange(t *testing.T, addr string, m message) answer {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	nc.Write(m.bytes())
	return readAnswer(t, bufio.NewReader(nc), m)
}

func readAnswer(t *testing.T, br *bufio.Reader, m message) answer {
	t.Helper()
	resp, err := http1.ReadResponse(br, &limits, "POST")
	if err != nil {
		t.Error(err)
		return answer{}
	}
	a := answer{status: resp.Status, outcome: "served", body: string(resp.Body), after: resp.Header.Get("Retry-After")}
	if resp.Status != 200 {
		var p struct{ Type, Outcome string }
		if err := json.Unmarshal(resp.Body, &p); err != nil || resp.Header.Get("Content-Type") != "application/problem+json" || p.Type == "" {
			t.Errorf("%d is no problem details: %s", resp.Status, resp.Body)
		}
		a.outcome = p.Outcome
	}
	if s := resp.Header.Get("webhook-signature"); s != "" {
		sm := signing.Message{ID: resp.Header.Get("webhook-id"), Stamp: resp.Header.Get("webhook-timestamp"), Body: resp.Body}
		if sm.ID != signing.AnswerID(a.outcome, m.m.ID) || !m.key.Verify(sm, s) {
			t.Errorf("the signature of answer %v does not verify", a)
		}
	} else if resp.Status != 401 && resp.Status != 413 && resp.Status != 405 {
		t.Errorf("answer %v is not signed", a)
	}
	return a
}

func want(t *testing.T, got answer, s string) {
	t.Helper()
	if got.String() != s {
		t.Errorf("got %v, want %s: %s", got, s, got.body)
	}
}

// ran counts how often a function's calls began at workers.
func (r *harness) ran(function string) (n int) {
	for _, rec := range r.log.Records() {
		if rec.Kind == trace.Began && rec.Function == function {
			n++
		}
	}
	return n
}

// await waits until the trace holds a record.
func (r *harness) await(what func(trace.Record) bool) trace.Record {
	r.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(ms) {
		l := r.log.Records()
		if i := slices.IndexFunc(l, what); i >= 0 {
			return l[i]
		}
	}
	r.t.Fatal("the trace never held it")
	return trace.Record{}
}

func kind(k trace.Kind) func(trace.Record) bool {
	return func(r trace.Record) bool { return r.Kind == k }
}

// Each way in which a call can be told apart, with its status.
func TestAnswers(t *testing.T) {
	r := newHarness(t, 2, nil)
	c := r.start(r.build("c1"))
	now := time.Now()
	one := sign(t, common, "c1", "m1", "safe-1", `{"x":1}`, now)
	got := exchange(t, c.Addr(), one)
	want(t, got, "200 served")
	if got.body != `{"x":1}` {
		t.Errorf("body %q", got.body)
	}
	want(t, exchange(t, c.Addr(), one), "409 replayed")
	want(t, exchange(t, c.Addr(), sign(t, common, "c1", "m1", "safe-1", `{"x":1}`, now.Add(time.Second))), "200 served") // kept
	want(t, exchange(t, c.Addr(), sign(t, common, "c1", "m1", "safe-1", `{"x":2}`, now.Add(time.Second))), "409 replayed")
	other422 := sign(t, common, "c1", "m2", "safe-1", `{}`, now)
	want(t, exchange(t, c.Addr(), other422), "200 served")
	want(t, exchange(t, c.Addr(), sign(t, common, "c1", "m2", "keyed-1", `{}`, now.Add(time.Second))), "422 reused")
	if n := r.ran("safe-1"); n != 2 {
		t.Errorf("ran %d times, want 2", n)
	}
	want(t, exchange(t, c.Addr(), sign(t, common, "c1", "m3", "nothing", `{}`, now)), "404 unknown")
	want(t, exchange(t, c.Addr(), sign(t, common, "c1", "m4", "safe-1", `{}`, now.Add(-61*time.Second))), "401 forged")
	want(t, exchange(t, c.Addr(), sign(t, common, "c1", "m5", "safe-1", `{}`, now.Add(4*time.Second))), "401 forged")
	want(t, exchange(t, c.Addr(), sign(t, common, "c2", "m6", "safe-1", `{}`, now)), "401 forged")
	want(t, exchange(t, c.Addr(), sign(t, common, "c1", "answer_served_m1", "safe-1", `{}`, now)), "401 forged")
	unsigned := sign(t, common, "c1", "m7", "safe-1", `{}`, now)
	unsigned.signature = "v1,"
	want(t, exchange(t, c.Addr(), unsigned), "401 forged")
	large := sign(t, common, "c1", "m8", "safe-1", strings.Repeat("x", 5000), now)
	if got := exchange(t, c.Addr(), large); got.status != 413 {
		t.Errorf("got %v", got)
	}
	if n := r.ran("safe-1"); n != 2 {
		t.Errorf("ran %d times, want 2", n)
	}
}

// A valid signature replayed after the controller was killed and started again does not run; nor at a second controller,
// which shares nothing with the first.
func TestReplayElsewhere(t *testing.T) {
	r := newHarness(t, 2, nil)
	c := r.start(r.build("c1"))
	m := sign(t, common, "c1", "m1", "unsafe-1", `{}`, time.Now().Add(time.Second)) // from the future, as far as is taken
	want(t, exchange(t, c.Addr(), m), "200 served")
	c2 := r.start(r.build("c2"))
	want(t, exchange(t, c2.Addr(), m), "401 forged")
	c.Kill()
	c = r.start(r.build("c1"))
	got := exchange(t, c.Addr(), m)
	want(t, got, "503 refused")
	if n, err := strconv.Atoi(got.after); err != nil || n < 1 || n > 4 {
		t.Errorf("come back after %q", got.after)
	}
	// after a clean stop, what is newer than all that was taken is served at once
	if err := c.Stop(time.Second); err != nil {
		t.Fatal(err)
	}
	if n := r.ran("unsafe-1"); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
}

// A client's retry joins the call that still runs: both tries get the one answer, and the function runs once.
func TestRetryJoins(t *testing.T) {
	r := newHarness(t, 1, nil)
	c := r.start(r.build("c1"))
	now := time.Now()
	var wg sync.WaitGroup
	for i := range 3 {
		if i > 0 {
			r.await(kind(trace.Began))
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			want(t, exchange(t, c.Addr(), sign(t, common, "c1", "m1", "unsafe-1", `{"work_ms":300}`, now.Add(time.Duration(i-1)*time.Second))), "200 served")
		}()
		if i > 0 {
			for c.Front.Counts.Joined.Load() < int64(i) {
				time.Sleep(ms)
			}
		}
	}
	wg.Wait()
	if n := r.ran("unsafe-1"); n != 1 || c.Front.Counts.Joined.Load() != 2 {
		t.Errorf("ran %d times, %d joined", n, c.Front.Counts.Joined.Load())
	}
}

// A client that leaves has its attempt given up. Its retry runs again where that does no harm, and else is told.
func TestClientLeaves(t *testing.T) {
	for class, then := range map[string]string{"safe": "200 served", "unsafe": "502 failed"} {
		r := newHarness(t, 1, nil)
		c := r.start(r.build("c1"))
		now := time.Now()
		nc, err := net.Dial("tcp", c.Addr())
		if err != nil {
			t.Fatal(err)
		}
		nc.Write(sign(t, common, "c1", "m1", class+"-1", `{"work_ms":200}`, now).bytes())
		r.await(kind(trace.Began))
		nc.Close()
		r.await(kind(trace.Left))
		for c.Gateway.Open() > 0 {
			time.Sleep(ms)
		}
		want(t, exchange(t, c.Addr(), sign(t, common, "c1", "m1", class+"-1", `{"work_ms":200}`, now.Add(time.Second))), then)
		if n := c.Gateway.Counts.ClientClosed.Load(); n != 1 {
			t.Errorf("%s: %d gone", class, n)
		}
	}
}

// The client leaves at every moment around that of the answer: no request stays open, and the next calls are served.
func TestClientLeavesAsTheAnswerComes(t *testing.T) {
	r := newHarness(t, 1, nil)
	c := r.start(r.build("c1"))
	want(t, exchange(t, c.Addr(), sign(t, common, "c1", "first", "safe-1", `{}`, time.Now())), "200 served")
	for i := range 60 {
		nc, err := net.Dial("tcp", c.Addr())
		if err != nil {
			t.Fatal(err)
		}
		nc.Write(sign(t, common, "c1", fmt.Sprint("m", i), "safe-1", `{"work_ms":5}`, time.Now()).bytes())
		time.Sleep(4*ms + time.Duration(i)*100*time.Microsecond) // spread over the answer's time; nothing is judged by it
		nc.Close()
	}
	for c.Gateway.Open() > 0 {
		time.Sleep(ms)
	}
	n := &c.Gateway.Counts
	if sum := n.Served.Load() + n.ClientClosed.Load(); sum != 61 {
		t.Errorf("%d served and %d gone of 61", n.Served.Load(), n.ClientClosed.Load())
	}
	want(t, exchange(t, c.Addr(), sign(t, common, "c1", "last", "safe-1", `{}`, time.Now())), "200 served")
}

// Answers that come just as the deadline does: each call has one, by its time and a tick or so.
func TestAnswerAtTheDeadline(t *testing.T) {
	r := newHarness(t, 1, nil)
	c := r.start(r.build("c1"))
	want(t, exchange(t, c.Addr(), sign(t, common, "c1", "first", "safe-1", `{}`, time.Now())), "200 served")
	outcomes := map[string]int{}
	var wg sync.WaitGroup
	for i := range 40 {
		m := sign(t, common, "c1", fmt.Sprint("m", i), "safe-1", fmt.Sprintf(`{"work_ms":%d}`, 20+3*i), time.Now())
		m.extra = http1.Header{{Name: "x-envoy-upstream-rq-timeout-ms", Value: "110"}}
		wg.Add(1)
		go func() {
			defer wg.Done()
			nc, err := net.Dial("tcp", c.Addr())
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(20 * time.Second))
			nc.Write(m.bytes())
			br := bufio.NewReader(nc)
			a := readAnswer(t, br, m)
			r.mu.Lock()
			outcomes[a.outcome]++
			r.mu.Unlock()
			// a second answer would come with the worker's
			nc.SetReadDeadline(time.Now().Add(60 * ms))
			if b, err := br.ReadByte(); err == nil {
				t.Errorf("a byte %q behind the answer", b)
			}
		}()
		if i%4 == 3 {
			wg.Wait()
		}
	}
	wg.Wait()
	if outcomes["served"]+outcomes["refused"] != 40 || outcomes["served"] == 0 || outcomes["refused"] == 0 {
		t.Errorf("outcomes %v", outcomes)
	}
}

// A worker that drains in mid-call finishes it; what follows goes elsewhere.
func TestDrainInMidCall(t *testing.T) {
	r := newHarness(t, 2, nil)
	c := r.start(r.build("c1"))
	done := make(chan answer, 1)
	go func() {
		done <- exchange(t, c.Addr(), sign(t, common, "c1", "m1", "unsafe-1", `{"work_ms":400}`, time.Now()))
	}()
	home := r.await(kind(trace.Began)).Worker
	var l []gateway.Worker
	for _, name := range r.host.Names() {
		st := scheduler.Ready
		if name == home {
			st = scheduler.Draining
		}
		l = append(l, gateway.Worker{Name: name, Network: "tcp", Addr: r.host.Addr(name), Group: "g", State: st, Size: 1})
	}
	if err := c.Gateway.Workers(scheduler.FullList, 9, l); err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		want(t, exchange(t, c.Addr(), sign(t, common, "c1", fmt.Sprint("n", i), "unsafe-1", `{}`, time.Now())), "200 served")
	}
	want(t, <-done, "200 served")
	n := 0
	for _, rec := range r.log.Records() {
		if rec.Kind == trace.Got && rec.Worker == home {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d calls reached the worker that drains, want the one before", n)
	}
}

// A list that takes all workers away: what waits is answered, and served again when they are back.
func TestNoWorkers(t *testing.T) {
	r := newHarness(t, 2, nil)
	c := r.start(r.build("c1"))
	want(t, exchange(t, c.Addr(), sign(t, common, "c1", "m1", "unsafe-1", `{}`, time.Now())), "200 served")
	if err := c.Gateway.Workers(scheduler.FullList, 9, nil); err != nil {
		t.Fatal(err)
	}
	m := sign(t, common, "c1", "m2", "unsafe-1", `{}`, time.Now())
	m.extra = http1.Header{{Name: "Prefer", Value: "wait=1"}}
	want(t, exchange(t, c.Addr(), m), "503 refused")
	r.list(scheduler.Draining) // another text than before, so that the file is read
	for {
		m := sign(t, common, "c1", fmt.Sprint("m", time.Now().UnixNano()), "unsafe-1", `{}`, time.Now())
		if a := exchange(t, c.Addr(), m); a.status == 200 {
			break
		}
	}
}

// Whatever a worker answers, a call gets one answer by its deadline; unsafe ones are not run twice.
func TestFaultyWorkers(t *testing.T) {
	faults := map[string]fakeworker.Fault{"cut": fakeworker.CutAnswer, "garbage": fakeworker.Garbage, "two": fakeworker.TwoAnswers, "long": fakeworker.LongBody,
		"huge": fakeworker.HugeBody, "drip": fakeworker.Drip}
	for name, f := range faults {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			t.Run(name+" "+class, func(t *testing.T) {
				t.Parallel()
				r := newHarness(t, 2, nil)
				for _, w := range r.host.Names() {
					r.host.Fault(w, f)
				}
				c := r.start(r.build("c1"))
				m := sign(t, common, "c1", "m1", class+"-1", `{}`, time.Now())
				m.extra = http1.Header{{Name: "x-envoy-upstream-rq-timeout-ms", Value: "700"}}
				a := exchange(t, c.Addr(), m)
				switch {
				case f == fakeworker.TwoAnswers || f == fakeworker.LongBody:
					want(t, a, "200 served")
				case class == "safe":
					want(t, a, "503 refused")
				default:
					if a.outcome != "failed" || a.status != 502 && a.status != 504 {
						t.Errorf("got %v", a)
					}
				}
				if n := r.ran(class + "-1"); class != "safe" && n != 1 {
					t.Errorf("ran %d times", n)
				}
			})
		}
	}
}

// A secret is replaced while calls run: the old one verifies until it is taken out, and calls under way are answered,
// signed by the key that came with them.
func TestSecretReplaced(t *testing.T) {
	r := newHarness(t, 1, nil)
	c := r.start(r.build("c1"))
	old, renewed := sign(t, common, "c1", "m1", "safe-1", `{"work_ms":300}`, time.Now()), sign(t, other, "c1", "m2", "safe-1", `{}`, time.Now())
	done := make(chan answer, 1)
	go func() { done <- exchange(t, c.Addr(), old) }()
	r.await(kind(trace.Began))
	want(t, exchange(t, c.Addr(), renewed), "401 forged")
	if err := c.SetClients(r.build("c1", "common_keys: \""+common+"\"", "common_keys: [\""+common+"\", \""+other+"\"]")); err != nil {
		t.Fatal(err)
	}
	want(t, exchange(t, c.Addr(), renewed), "200 served")
	if err := c.SetClients(r.build("c1", common, other)); err != nil {
		t.Fatal(err)
	}
	want(t, exchange(t, c.Addr(), sign(t, common, "c1", "m3", "safe-1", `{}`, time.Now())), "401 forged")
	want(t, <-done, "200 served")
	if err := c.SetClients(r.build("c1", `name: "shop"`, `name: "shed"`)); err == nil {
		t.Error("another client took the place of one that runs")
	}
}

// Stop serves what is out, answers the rest, and refuses what comes; the state folder is free for the next.
func TestStop(t *testing.T) {
	r := newHarness(t, 1, nil)
	c := r.start(r.build("c1"))
	done := make(chan answer, 1)
	go func() {
		done <- exchange(t, c.Addr(), sign(t, common, "c1", "m1", "unsafe-1", `{"work_ms":300}`, time.Now()))
	}()
	r.await(kind(trace.Began))
	if _, err := Start(r.build("c1"), Options{Clock: r.clk, Log: zerolog.Nop()}); err == nil || !strings.Contains(err.Error(), "another process's") {
		t.Errorf("a second controller on the same state: %v", err)
	}
	idle, err := net.Dial("tcp", c.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	stopped := make(chan error, 1)
	go func() { stopped <- c.Stop(10 * time.Second) }()
	want(t, <-done, "200 served")
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("tcp", c.Addr()); err == nil {
		t.Error("still listening")
	}
	c = r.start(r.build("c1"))
	want(t, exchange(t, c.Addr(), sign(t, common, "c1", "m2", "safe-1", `{}`, time.Now().Add(time.Second))), "200 served")
}

// Stop with too little time answers what is out as well: it may have run, so it has failed.
func TestStopTooShort(t *testing.T) {
	r := newHarness(t, 1, nil)
	c := r.start(r.build("c1"))
	done := make(chan answer, 1)
	go func() {
		done <- exchange(t, c.Addr(), sign(t, common, "c1", "m1", "unsafe-1", `{"work_ms":2000}`, time.Now()))
	}()
	r.await(kind(trace.Began))
	if err := c.Stop(20 * ms); err != nil {
		t.Fatal(err)
	}
	want(t, <-done, "502 failed")
}

// Past Limits.Open a call is refused at once; the others are served.
func TestOpenIsBounded(t *testing.T) {
	r := newHarness(t, 1, nil)
	c := r.start(r.build("c1", "open: 100", "open: 4"))
	got := make(chan answer, 20)
	for i := range 20 {
		go func() {
			got <- exchange(t, c.Addr(), sign(t, common, "c1", fmt.Sprint("m", i), "safe-1", `{"work_ms":100}`, time.Now()))
		}()
	}
	count := map[string]int{}
	for range 20 {
		count[(<-got).String()]++
	}
	if count["200 served"] < 4 || count["200 served"]+count["503 refused"] != 20 || c.Gateway.Counts.OverCapacity.Load() == 0 {
		t.Errorf("%v, %d turned away", count, c.Gateway.Counts.OverCapacity.Load())
	}
}

// More body than its length tells is a second request to the parser, and no call.
func TestBodyLongerThanStated(t *testing.T) {
	r := newHarness(t, 1, nil)
	c := r.start(r.build("c1"))
	nc, err := net.Dial("tcp", c.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	m := sign(t, common, "c1", "m1", "safe-1", `{}`, time.Now())
	nc.Write(append(m.bytes(), `{"more":1} HTTP/1.1`+"\r\n\r\n"...))
	br := bufio.NewReader(nc)
	want(t, readAnswer(t, br, m), "200 served")
	if resp, err := http1.ReadResponse(br, &limits, "POST"); err != nil || resp.Status != 400 || !resp.Close {
		t.Errorf("%+v %v", resp, err)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("err %v, want EOF", err)
	}
}

// Calls go on beside a thousand connections that never finish their heads.
func TestSlowHeadsBesideCalls(t *testing.T) {
	r := newHarness(t, 2, nil)
	c := r.start(r.build("c1"))
	for range 1000 {
		nc, err := net.Dial("tcp", c.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		io.WriteString(nc, "POST /call/safe-1 HT")
	}
	for i := range 20 {
		want(t, exchange(t, c.Addr(), sign(t, common, "c1", fmt.Sprint("m", i), "safe-1", `{}`, time.Now())), "200 served")
	}
}

// A socket that a killed process left is no obstacle; a file that is no socket, or one in use, is.
func TestUnixSocketLeftBehind(t *testing.T) {
	r := newHarness(t, 1, nil)
	path := filepath.Join(r.dir, "s")
	ln, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	ln.(*net.UnixListener).SetUnlinkOnClose(false)
	b := r.build("c1", "127.0.0.1:0", "unix:"+path)
	if _, err := Start(b, Options{Clock: r.clk, Log: zerolog.Nop()}); err == nil {
		t.Error("took a socket in use")
	}
	ln.Close()
	r.start(b).Kill()
	os.Remove(path)
	if err := os.WriteFile(path, []byte("precious"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Start(b, Options{Clock: r.clk, Log: zerolog.Nop()}); err == nil {
		t.Error("took a file that is no socket")
	}
	if text, err := os.ReadFile(path); err != nil || string(text) != "precious" {
		t.Error("the file is gone")
	}
}

// A field of the body can name the function instead of the path.
func TestFunctionFromBody(t *testing.T) {
	r := newHarness(t, 1, nil)
	c := r.start(r.build("c1", `prefix: "/call/"`, `prefix: "/hooks/" function_field: "type"`))
	now := time.Now()
	for body, then := range map[string]string{`{"type":"safe-1","x":1}`: "200 served", `{"type":"none"}`: "404 unknown", `{"type":7}`: "404 unknown",
		`{}`: "404 unknown", `not JSON`: "404 unknown"} {
		m := sign(t, common, "c1", "m-"+strconv.Itoa(len(body)), "", body, now)
		m.path = "/hooks/"
		want(t, exchange(t, c.Addr(), m), then)
	}
	m := sign(t, common, "c1", "m", "", `{"type":"safe-1"}`, now)
	m.path = "/elsewhere"
	nc, err := net.Dial("tcp", c.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.Write(m.bytes())
	if resp, err := http1.ReadResponse(bufio.NewReader(nc), &limits, "POST"); err != nil || resp.Status != 404 {
		t.Errorf("%+v %v", resp, err)
	}
}
