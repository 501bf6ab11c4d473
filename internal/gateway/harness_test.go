package gateway

import (
	"fmt"
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
	class := func(name string, idempotency scheduler.Idempotency) scheduler.Class {
		return scheduler.Class{
			Name:             name,
			Idempotency:      idempotency,
			LatencyObjective: 500 * ms,
			Deadline:         2 * time.Second,
			PriorityWeight:   1,
		}
	}
	keyed := class("keyed", scheduler.IdempotentWithKey)
	keyed.DedupScope = scheduler.SameGroup
	keyed.DedupWindow = time.Second
	return scheduler.Settings{
		Controllers: 1,
		Tick:        ms,
		Classes:     []scheduler.Class{class("safe", scheduler.Idempotent), class("unsafe", scheduler.NonIdempotent), keyed},
		Limits: scheduler.Limits{
			MaxAttempts: 3, MaxOpenRequests: 10, DialTimeout: 250 * ms, Cancel: true, Peers: true,
		},
		Loading: scheduler.Loading{
			Orders: true, LoadsOnMiss: true, OnMissKnown: true, ReportsLoadNotes: true,
			IdleCopyTTL: 8 * time.Second, OrderTimeout: 5 * time.Second,
		},
		Guarantees: scheduler.Guarantees{
			DrainGrace: 500 * ms, WarmupFraction: 0.2, WarmupTime: 10 * time.Second,
			CollapseFactor: 2, CollapseWindow: 2 * time.Second,
		},
	}
}

// A fakeTransport records attempts and actions. Attempts end when the test calls their callback.
// Load orders and probes succeed at once.
type fakeTransport struct {
	mu        sync.Mutex             // guards the fields below
	results   []func(backend.Result) // callbacks of the attempts, in the order sent
	workers   []scheduler.WorkerID   // workers of the attempts, in the same order
	attempts  []backend.Attempt      // the attempts, in the same order
	endpoints []backend.Endpoint
	actions   []string // actions other than attempts
}

type noCancel struct{}

func (noCancel) Cancel() {}

func (f *fakeTransport) Send(a backend.Attempt, done func(backend.Result)) backend.RunningAttempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, done)
	f.workers = append(f.workers, a.Worker)
	f.attempts = append(f.attempts, a)
	return noCancel{}
}

func (f *fakeTransport) LoadCopies(o backend.LoadOrder, done func(scheduler.Outcome, int, time.Duration)) {
	f.record("load %s %d", o.Function, o.Copies)
	go done(scheduler.OK, o.Copies, ms)
}

func (f *fakeTransport) Unload(_ scheduler.WorkerID, function string) {
	f.record("unload %s", function)
}

func (f *fakeTransport) Probe(_ scheduler.WorkerID, done func(scheduler.Outcome, time.Duration, []float64)) {
	f.record("probe")
	go done(scheduler.OK, ms, nil)
}

func (f *fakeTransport) CloseIdle(scheduler.WorkerID) { f.record("close") }

func (f *fakeTransport) Update(l []backend.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints = append([]backend.Endpoint(nil), l...)
}

func (f *fakeTransport) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.actions = append(f.actions, fmt.Sprintf(format, args...))
}

// callback returns the callback of the i-th attempt, or nil if there is none.
func (f *fakeTransport) callback(i int) func(backend.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i < len(f.results) {
		return f.results[i]
	}
	return nil
}

type fakePeers struct{ messages []string }

func (p *fakePeers) Send(to int, payload []byte) {
	p.messages = append(p.messages, fmt.Sprint(to, " ", string(payload)))
}

type fakeLister struct{ requests []string }

func (l *fakeLister) Watch(on bool) { l.requests = append(l.requests, fmt.Sprint("watch ", on)) }
func (l *fakeLister) Fetch()        { l.requests = append(l.requests, "fetch") }

func readyWorker(name, addr string) Worker {
	return Worker{Name: name, Network: "tcp", Addr: addr, State: scheduler.Ready}
}

// newManualGateway returns a gateway with the workers w1 and w2 and a manual clock. Its loop does
// not run: the test calls step.
func newManualGateway(t *testing.T) (*Gateway, *fakeTransport, *clock.Manual, *strings.Builder) {
	t.Helper()
	transport := &fakeTransport{}
	clk := clock.NewManual(time.Unix(1700000000, 0))
	log := &strings.Builder{}
	g, err := New(Config{
		Name: "c", Settings: settings(), Seed: 1, Clock: clk, Transport: transport, Log: zerolog.New(log),
		Peers: &fakePeers{}, Lister: &fakeLister{},
	})
	if err != nil {
		t.Fatal(err)
	}
	workers := []Worker{readyWorker("w1", "a:1"), readyWorker("w2", "a:2")}
	if err := g.UpdateWorkers(scheduler.FullList, 1, workers); err != nil {
		t.Fatal(err)
	}
	return g, transport, clk, log
}

// submit submits a call of a function of the given class, and appends its answer to answers.
func submit(t *testing.T, g *Gateway, class int, answers *[]Answer) scheduler.RequestID {
	t.Helper()
	name := fmt.Sprint("f", class)
	id, err := g.AddFunction(name)
	if err != nil {
		t.Fatal(err)
	}
	request, ok := g.Submit(&Call{
		ID:       "m",
		Function: &Function{Name: name, ID: id, Class: class, Lanes: 2},
		TimeLeft: 2 * time.Second,
		Deliver:  func(a Answer) { *answers = append(*answers, a) },
	})
	if !ok {
		t.Fatal("the call was not admitted")
	}
	return request
}
