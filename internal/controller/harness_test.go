package controller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
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

const commonSecret = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"
const otherSecret = "whsec_AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="

// A harness runs fake workers, the file with their endpoint list, and the controllers that use
// them.
type harness struct {
	t        *testing.T
	host     *fakeworker.Host
	trace    *trace.Log
	dir      string
	listFile string
	clock    clock.Clock
	mu       sync.Mutex
}

func newHarness(t *testing.T, workers int, change func(*fakeworker.Config)) *harness {
	t.Helper()
	h := &harness{t: t, dir: t.TempDir(), clock: clock.System()}
	h.listFile = filepath.Join(h.dir, "list.json")
	h.trace = trace.NewLog(h.clock.Now)
	cfg := fakeworker.Config{
		Clock: h.clock,
		Trace: h.trace,
		Fleet: workersim.Config{Store: workersim.Store{FullRateFetches: 10}, DedupWindow: 4 * time.Second},
	}
	for i := range workers {
		cfg.Fleet.Workers = append(cfg.Fleet.Workers, workersim.Spec{
			Name: fmt.Sprintf("w%d", i), Group: "g", Cores: 4, Speed: 1, MemoryMB: 4000, Queue: 20,
			LoadSlots: 4, IdleCopyTTL: time.Minute,
		})
	}
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		cfg.Functions = append(cfg.Functions, fakeworker.FunctionConfig{
			Function: workersim.Function{Name: class + "-1", MemoryMB: 100, Lanes: 4, Fetch: 5 * ms, Start: ms},
			Class:    class,
			Work:     5 * ms,
			Keyed:    class == "keyed",
		})
	}
	if change != nil {
		change(&cfg)
	}
	var err error
	if h.host, err = fakeworker.Start(cfg); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.host.Close)
	h.writeList(scheduler.Ready)
	return h
}

// writeList writes the endpoint list with the first worker in the given state; Removed writes an
// empty list.
func (h *harness) writeList(first scheduler.WorkerState) {
	h.t.Helper()
	var l []gateway.Worker
	for i, name := range h.host.Names() {
		w := gateway.Worker{Name: name, Network: "tcp", Addr: h.host.Addr(name), Group: "g", State: scheduler.Ready, Size: 1}
		if i == 0 {
			w.State = first
		}
		if first != scheduler.Removed {
			l = append(l, w)
		}
	}
	text, err := discovery.MarshalAssignment("c", l)
	if err == nil {
		err = discovery.WriteFile(h.listFile, text)
	}
	if err != nil {
		h.t.Fatal(err)
	}
}

// configure returns the configuration of a controller. changes are pairs of an old and a new text.
func (h *harness) configure(name string, changes ...string) *config.ControllerConfig {
	h.t.Helper()
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
`, name, filepath.Join(h.dir, name), commonSecret, h.listFile)
	text = strings.NewReplacer(changes...).Replace(text)
	var c config.Config
	f, err := config.Parse(name, []byte(text), &c)
	if err != nil {
		h.t.Fatal(err)
	}
	b, err := config.Build(f, &c)
	if err != nil {
		h.t.Fatal(err)
	}
	return b
}

func (h *harness) start(b *config.ControllerConfig) *Controller {
	h.t.Helper()
	c, err := Start(b, Options{Clock: h.clock, Log: zerolog.Nop()})
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(c.Kill)
	return c
}

// A message is a signed request that can be sent several times with identical bytes.
type message struct {
	signed    signing.Message
	key       *signing.Key
	signature string
	path      string
	extra     http1.Header
}

func sign(t *testing.T, secret, endpoint, id, function, body string, at time.Time) message {
	t.Helper()
	if endpoint != "" {
		var err error
		if secret, err = signing.DeriveSecret(secret, endpoint); err != nil {
			t.Fatal(err)
		}
	}
	k, err := signing.ParseKey(secret)
	if err != nil {
		t.Fatal(err)
	}
	m := signing.Message{ID: id, Timestamp: strconv.FormatInt(at.Unix(), 10), Body: []byte(body)}
	s, err := k.Sign(m)
	if err != nil {
		t.Fatal(err)
	}
	return message{signed: m, key: k, signature: s, path: "/call/" + function}
}

func (m message) bytes() []byte {
	header := append(http1.Header{
		{Name: "Host", Value: "c"},
		{Name: "webhook-id", Value: m.signed.ID},
		{Name: "webhook-timestamp", Value: m.signed.Timestamp},
		{Name: "webhook-signature", Value: m.signature},
	}, m.extra...)
	return http1.AppendRequest(nil, &http1.Request{
		Method: "POST", Target: m.path, Header: header, Body: m.signed.Body,
	})
}

var limits = http1.Limits{}.WithDefaults()

// An answer is the answer that a client received.
type answer struct {
	status     int
	outcome    string // the outcome in the problem details, which the signed id repeats; "served" for 200
	body       string
	retryAfter string // the Retry-After header
}

func (a answer) String() string { return fmt.Sprint(a.status, " ", a.outcome) }

// exchange sends a message on a new connection, reads one answer and checks its signature.
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

// post sends a call that is signed for the controller, and reads its answer.
func post(t *testing.T, c *Controller, id, function, body string, at time.Time) answer {
	t.Helper()
	return exchange(t, c.Addr(), sign(t, commonSecret, c.Name(), id, function, body, at))
}

// readAnswer reads the answer to a message and verifies its signature. Only answers with status
// 401, 405 or 413 may be unsigned.
func readAnswer(t *testing.T, br *bufio.Reader, m message) answer {
	t.Helper()
	resp, err := http1.ReadResponse(br, &limits, "POST")
	if err != nil {
		t.Error(err)
		return answer{}
	}
	a := answer{status: resp.Status, outcome: "served", body: string(resp.Body), retryAfter: resp.Header.Get("Retry-After")}
	if resp.Status != 200 {
		var p struct{ Type, Outcome string }
		isProblem := resp.Header.Get("Content-Type") == "application/problem+json"
		if err := json.Unmarshal(resp.Body, &p); err != nil || !isProblem || p.Type == "" {
			t.Errorf("the body of status %d is not a problem details object: %s", resp.Status, resp.Body)
		}
		a.outcome = p.Outcome
	}
	if s := resp.Header.Get("webhook-signature"); s != "" {
		signed := signing.Message{
			ID: resp.Header.Get("webhook-id"), Timestamp: resp.Header.Get("webhook-timestamp"), Body: resp.Body,
		}
		if signed.ID != signing.AnswerID(a.outcome, m.signed.ID) || !m.key.Verify(signed, s) {
			t.Errorf("the signature of answer %v does not verify", a)
		}
	} else if resp.Status != 401 && resp.Status != 413 && resp.Status != 405 {
		t.Errorf("answer %v is not signed", a)
	}
	return a
}

func wantAnswer(t *testing.T, got answer, s string) {
	t.Helper()
	if got.String() != s {
		t.Errorf("got %v, want %s: %s", got, s, got.body)
	}
}

// runs returns how many times workers started to run a function.
func (h *harness) runs(function string) (n int) {
	for _, rec := range h.trace.Records() {
		if rec.Kind == trace.RunStarted && rec.Function == function {
			n++
		}
	}
	return n
}

// awaitRecord waits until the trace contains a matching record, and returns it.
func (h *harness) awaitRecord(matches func(trace.Record) bool) trace.Record {
	h.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(ms) {
		l := h.trace.Records()
		if i := slices.IndexFunc(l, matches); i >= 0 {
			return l[i]
		}
	}
	h.t.Fatal("no matching record in the trace within 20 s")
	return trace.Record{}
}

func ofKind(k trace.Kind) func(trace.Record) bool {
	return func(r trace.Record) bool { return r.Kind == k }
}
