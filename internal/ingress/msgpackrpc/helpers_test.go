package msgpackrpc

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

var withFields, txn = fakeplatform.Fields, fakeplatform.Txn

// newRequest packs a request, with the platform's example fields if there are no params.
var newRequest = fakeplatform.Request

// A fakeGateway hands calls to the test, which answers them.
type fakeGateway struct {
	calls     chan *gateway.Call
	cancelled chan scheduler.RequestID

	mu     sync.Mutex
	lastID scheduler.RequestID
	full   bool // accepts no call
}

func newFakeGateway() *fakeGateway {
	return &fakeGateway{calls: make(chan *gateway.Call, 1000), cancelled: make(chan scheduler.RequestID, 1000)}
}

func (g *fakeGateway) Submit(c *gateway.Call) (scheduler.RequestID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.full {
		return 0, false
	}
	g.lastID++
	g.calls <- c
	return g.lastID, true
}

func (g *fakeGateway) Cancel(id scheduler.RequestID) { g.cancelled <- id }

func (g *fakeGateway) setFull() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.full = true
}

func testSettings() scheduler.Settings {
	return scheduler.Settings{
		Classes: []scheduler.Class{
			{Name: "lookup", Idempotency: scheduler.Idempotent, Deadline: 4 * time.Second},
			{Name: "update", Idempotency: scheduler.IdempotentWithKey, Deadline: 4 * time.Second},
			{Name: "status", Idempotency: scheduler.Idempotent, Deadline: time.Second},
		},
		Tenants: []scheduler.Tenant{{Name: "acme"}},
		Tick:    time.Millisecond,
	}
}

// A testFront is a front that serves, with a fake gateway.
type testFront struct {
	*Server
	gateway *fakeGateway
	addr    string
}

// serve starts a front; change may alter its configuration first.
func serve(t *testing.T, change func(*Config)) *testFront {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveOn(t, ln, change)
}

func serveOn(t *testing.T, ln net.Listener, change func(*Config)) *testFront {
	t.Helper()
	g := newFakeGateway()
	cfg := Config{
		Gateway:        g,
		Clock:          clock.System(),
		Settings:       testSettings(),
		Log:            zerolog.Nop(),
		MaxBody:        16 << 10,
		MaxInFlight:    32,
		MaxConns:       100,
		MessageTimeout: time.Minute,
		StallTimeout:   time.Minute,
	}
	if change != nil {
		change(&cfg)
	}
	f := New(cfg)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Serve(ln)
	}()
	t.Cleanup(func() {
		ln.Close()
		f.Close()
		<-done
	})
	return &testFront{f, g, ln.Addr().String()}
}

// A client is one connection of a client of the platform.
type client struct {
	*fakeplatform.Client
	t *testing.T
}

func (f *testFront) dial(t *testing.T) *client {
	t.Helper()
	c, err := fakeplatform.Dial(f.addr, 20*time.Second) // so that a test without an answer ends
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &client{c, t}
}

// send writes messages in one segment.
func (c *client) send(messages ...[]byte) { c.Write(bytes.Join(messages, nil)) }

// answer reads one answer, or that the connection was closed.
func (c *client) answer() (id int64, what string) {
	c.t.Helper()
	if id, what = c.Answer(); what == fakeplatform.Silent {
		c.t.Fatal(what)
	}
	return id, what
}

func served(body string) gateway.Answer {
	return gateway.Answer{Kind: gateway.Served, Body: []byte(body)}
}
