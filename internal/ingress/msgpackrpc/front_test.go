package msgpackrpc

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

// taker is a gateway that leaves the answers to the test.
type taker struct {
	mu   sync.Mutex
	next scheduler.RequestID
	full bool
	came chan *gateway.Call
	left chan scheduler.RequestID
}

func newTaker() *taker {
	return &taker{came: make(chan *gateway.Call, 1000), left: make(chan scheduler.RequestID, 1000)}
}

func (g *taker) Submit(c *gateway.Call) (scheduler.RequestID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.full {
		return 0, false
	}
	g.next++
	g.came <- c
	return g.next, true
}

func (g *taker) Cancel(id scheduler.RequestID) { g.left <- id }

func settings() scheduler.Settings {
	s := scheduler.Settings{Classes: []scheduler.Class{{Name: "lookup", Idempotency: scheduler.Idempotent, Deadline: 4 * time.Second},
		{Name: "update", Idempotency: scheduler.IdempotentWithKey, Deadline: 4 * time.Second}, {Name: "status", Idempotency: scheduler.Idempotent, Deadline: time.Second}},
		Tenants: []scheduler.Tenant{{Name: "acme"}}, Tick: time.Millisecond}
	return s
}

type rig struct {
	*Front
	g    *taker
	addr string
}

// serve starts a front; change may alter its settings first.
func serve(t *testing.T, change func(*Config)) *rig {
	t.Helper()
	g := newTaker()
	cfg := Config{Gateway: g, Clock: clock.System(), Settings: settings(), Log: zerolog.Nop(), MostBody: 16 << 10, MostOpen: 32, Conns: 100,
		Within: time.Minute, Stall: time.Minute}
	if change != nil {
		change(&cfg)
	}
	f := New(cfg)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Serve(ln)
	}()
	t.Cleanup(func() { ln.Close(); f.Close(); <-done })
	return &rig{f, g, ln.Addr().String()}
}

type client struct {
	*fakeplatform.Client
	t *testing.T
}

func (r *rig) dial(t *testing.T) *client {
	t.Helper()
	c, err := fakeplatform.Dial(r.addr, 20*time.Second) // a test that hangs ends
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &client{c, t}
}

func (c *client) put(b ...[]byte) { c.Write(bytes.Join(b, nil)) }

// answer reads one answer, or that the connection was closed.
func (c *client) answer() (id int64, what string) {
	c.t.Helper()
	if id, what = c.Answer(); what == fakeplatform.Silent {
		c.t.Fatal(what)
	}
	return id, what
}

func TestBadRequests(t *testing.T) {
	r := serve(t, nil)
	tests := []struct {
		name, method string
		fields       map[string]string
		taken        bool
	}{
		{"good", "lookup", with(), true},
		{"keyed", "update", with(), true},
		{"half a millisecond", "lookup", with("limit", "0.5"), true},
		{"no figures", "lookup", with("attrs", ""), true},
		{"an unknown figure", "lookup", with("attrs", "colour:3"), true},
		{"unknown class", "nonesuch", with(), false},
		{"a class named like a control method", "withdraw", with(), false},
		{"unknown tenant", "lookup", with("team", "nobody"), false},
		{"no tenant", "lookup", with("team", ""), false},
		{"no txn", "lookup", with("txn", ""), false},
		{"txn in capitals", "lookup", with("txn", "9B1F03AA5C7E2D41"), false},
		{"txn too short", "lookup", with("txn", "9b1f"), false},
		{"no item", "lookup", with("item", ""), false},
		{"an item that would break a frame", "lookup", with("item", "7f3a9c21e0b4d,k=1"), false},
		{"no limit", "lookup", with("limit", ""), false},
		{"limit 0", "lookup", with("limit", "0"), false},
		{"a negative limit", "lookup", with("limit", "-5"), false},
		{"a huge limit", "lookup", with("limit", "99999999999999999999"), false},
		{"a limit past any client's patience", "lookup", with("limit", "8001"), false},
		{"limit NaN", "lookup", with("limit", "NaN"), false},
		{"a limit that is no number", "lookup", with("limit", "soon"), false},
		{"a key that would break a frame", "update", with("unique", "a,b=c"), false},
		{"no key", "update", with("unique", ""), false},
		{"memory that is no number", "lookup", with("attrs", "memory_mb:lots"), false},
		{"negative lanes", "lookup", with("attrs", "lanes:-1"), false},
		{"infinite memory", "lookup", with("attrs", "memory_mb:Inf"), false},
		{"memory out of range", "lookup", with("attrs", "memory_mb:1e300"), false},
		{"figures without numbers", "lookup", with("attrs", ";;"), false},
	}
	for i, tt := range tests {
		c := r.dial(t)
		c.put(request(i+1, tt.method, tt.fields, []byte("x")))
		if tt.taken {
			call := <-r.g.came
			call.Deliver(gateway.Answer{Kind: gateway.Served, Body: []byte("y")})
		}
		want := "Invalid"
		if tt.taken {
			want = "served y"
		}
		if id, got := c.answer(); got != want || id != int64(i+1) {
			t.Errorf("%s: %q under %d, want %q under %d", tt.name, got, id, want, i+1)
		}
		if len(r.g.came) > 0 {
			t.Fatalf("%s: it came to the gateway", tt.name)
		}
	}
}

func TestAnswers(t *testing.T) {
	r := serve(t, func(c *Config) { c.Settings.Limits.RetryAfter = true })
	c := r.dial(t)
	call := func(i int) *gateway.Call {
		c.put(request(i, "lookup", with("txn", txn(i)), []byte("x")))
		return <-r.g.came
	}
	a, b, d := call(1), call(2), call(3)
	if a.TimeLeft != 1500*time.Millisecond || a.Function.Lanes != 2 || a.Function.MemoryMB != 512 || a.Function.LoadTime != 640*time.Millisecond ||
		Item(a.Function.ID) != a.Function.Name {
		t.Errorf("call %+v of %+v", a, a.Function)
	}
	d.Deliver(gateway.Answer{Kind: gateway.Failed})
	b.Deliver(gateway.Answer{Kind: gateway.Rejected, RetryAfter: 70 * time.Millisecond})
	a.Deliver(gateway.Answer{Kind: gateway.Served, Body: []byte("one")})
	a.Deliver(gateway.Answer{Kind: gateway.Served, Body: []byte("two")}) // never a second one
	for _, want := range []string{"3 Failed", "2 Rejected", "1 served one"} {
		if id, got := c.answer(); fmt.Sprint(id, " ", got) != want {
			t.Errorf("answer %d %s, want %s", id, got, want)
		}
	}
	c.put(request(4, "status", map[string]string{}))
	if id, got := c.answer(); id != 4 || got != "ready true" {
		t.Errorf("status: %d %s", id, got)
	}
	r.Drain()
	c.put(request(5, "status", map[string]string{}))
	if _, got := c.answer(); got != "ready false" {
		t.Errorf("status while draining: %s", got)
	}
	r.g.full = true
	c.put(request(6, "lookup", with("txn", txn(6)), []byte("x")))
	if _, got := c.answer(); got != "Rejected" {
		t.Errorf("a gateway that is full: %s", got)
	}
}

func TestWithdraw(t *testing.T) {
	r := serve(t, nil)
	c := r.dial(t)
	// Two messages and a half in one segment, the rest later.
	second := request(2, "lookup", with("txn", txn(2)), []byte("x"))
	c.put(request(1, "lookup", with("txn", txn(1)), []byte("x")), fakeplatform.Withdraw(1, 99), second[:20])
	call := <-r.g.came
	if id := <-r.g.left; id != 1 {
		t.Errorf("request %d is taken back, want 1", id)
	}
	call.Deliver(gateway.Answer{Kind: gateway.Served, Body: []byte("late")}) // crosses: no answer is owed, none is sent
	c.put(second[20:])
	(<-r.g.came).Deliver(gateway.Answer{Kind: gateway.Served, Body: []byte("two")})
	if id, got := c.answer(); id != 2 || got != "served two" {
		t.Errorf("%d %s, want the answer of 2 alone", id, got)
	}
	c.put(fakeplatform.Withdraw(2), request(3, "status", map[string]string{}))
	if id, _ := c.answer(); id != 3 {
		t.Errorf("answer to %d", id)
	}
	// A number is free again once its request is over, and so is a txn.
	c.put(request(1, "lookup", with("txn", txn(1)), []byte("x")))
	(<-r.g.came).Deliver(gateway.Answer{Kind: gateway.Rejected})
	if id, got := c.answer(); id != 1 || got != "Rejected" {
		t.Errorf("%d %s", id, got)
	}
}

func TestTwice(t *testing.T) {
	r := serve(t, nil)
	c, other := r.dial(t), r.dial(t)
	c.put(request(1, "lookup", with(), []byte("x")))
	call := <-r.g.came
	other.put(request(1, "lookup", with(), []byte("another body")))
	if _, got := other.answer(); got != "Invalid" {
		t.Errorf("the id of an open request: %s", got)
	}
	call.Deliver(gateway.Answer{Kind: gateway.Served, Body: []byte("mine")})
	if _, got := c.answer(); got != "served mine" {
		t.Errorf("whose id was used by another: %s", got)
	}
	c.put(request(2, "lookup", with("txn", txn(2)), []byte("x")), request(2, "lookup", with("txn", txn(3)), []byte("x")))
	<-r.g.came
	if _, got := c.answer(); got != "closed" {
		t.Errorf("two requests under one number: %s, want a close", got)
	}
	if id := <-r.g.left; id != 2 {
		t.Errorf("request %d is taken back, want 2", id)
	}
}

func TestCloseWithManyOpen(t *testing.T) {
	r := serve(t, nil)
	c := r.dial(t)
	for i := range 40 {
		c.put(request(i, "lookup", with("txn", txn(i)), []byte("x")))
	}
	for range 8 {
		if id, got := c.answer(); got != "Rejected" || id < 32 {
			t.Fatalf("%d %s, want the ninth and later over 32 turned away", id, got)
		}
	}
	c.Close()
	seen := map[scheduler.RequestID]bool{}
	for range 32 {
		seen[<-r.g.left] = true
	}
	if len(seen) != 32 || len(r.g.came) != 32 {
		t.Errorf("%d taken back of %d", len(seen), len(r.g.came))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.txns) != 0 {
		t.Errorf("%d ids stay open", len(r.txns))
	}
}

// TestHostileBesideGood: whatever some clients send at full speed, good ones have all calls answered.
func TestHostileBesideGood(t *testing.T) {
	r := serve(t, func(c *Config) { c.Within, c.Conns = 1600*time.Millisecond, 30 })
	stop := make(chan struct{})
	var wg sync.WaitGroup
	go func() {
		for range r.g.left {
		}
	}()
	go func() {
		for c := range r.g.came {
			c.Deliver(gateway.Answer{Kind: gateway.Served, Body: c.Body})
		}
	}()
	for _, h := range fakeplatform.Hostiles() {
		for range 3 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for {
					select {
					case <-stop:
						return
					default:
					}
					if err := h.Play(r.addr, 20*time.Second); err != nil {
						t.Error(err)
						return
					}
				}
			}()
		}
	}
	body := strings.Repeat("b", 16<<10)
	for i := range 40 {
		got := "closed"
		for try := 0; try < 5 && got == "closed"; try++ { // a request that crosses a close is sent again, as the platform has it
			c := r.dial(t)
			c.put(request(1, "lookup", with("txn", txn(1000+i)), []byte(body)))
			_, got = c.answer()
			c.Close()
		}
		if got != "served "+body {
			t.Errorf("good client %d: %.40s", i, got)
		}
	}
	close(stop)
	wg.Wait()
}

// short is a listener that at first has no descriptor left.
type short struct {
	net.Listener
	left atomic.Int64
}

func (l *short) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestNoDescriptors(t *testing.T) {
	g := newTaker()
	f := New(Config{Gateway: g, Clock: clock.System(), Settings: settings(), Log: zerolog.Nop(), MostBody: 100, MostOpen: 32, Conns: 10, Within: time.Minute, Stall: time.Minute})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := &short{Listener: inner}
	ln.left.Store(3)
	go f.Serve(ln)
	defer f.Close()
	defer inner.Close()
	c := (&rig{f, g, inner.Addr().String()}).dial(t)
	c.put(request(1, "status", map[string]string{}))
	if id, got := c.answer(); id != 1 || got != "ready true" {
		t.Errorf("after accept failed: %d %s", id, got)
	}
}

func TestNeverReads(t *testing.T) {
	r := serve(t, func(c *Config) { c.Stall = 50 * time.Millisecond })
	c := r.dial(t)
	c.Client.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	go func() {
		for c := range r.g.came {
			c.Deliver(gateway.Answer{Kind: gateway.Served, Body: make([]byte, 1<<20)})
		}
	}()
	for i := range 60 {
		if _, err := c.Write(request(i, "lookup", with("txn", txn(i)), []byte("x"))); err != nil {
			break
		}
	}
	for r.Conns() > 0 { // ends when the connection is given up; the test's own time-out otherwise
		time.Sleep(time.Millisecond)
	}
}

func TestEvictionCandidate(t *testing.T) {
	tests := []struct {
		name  string
		views []connView
		want  int
	}{
		{"none", nil, noCandidate},
		{"all have something open", []connView{{true, 1, 1}, {true, 2, 0}}, noCandidate},
		{"who never spoke goes first", []connView{{true, 0, 1}, {false, 0, 9}, {false, 0, 8}, {true, 0, 0}}, 2},
		{"who has been idle longest", []connView{{true, 0, 5}, {true, 0, 3}, {true, 1, 1}}, 1},
		{"who has just come is left the time to speak", []connView{{false, 0, 96}, {true, 0, 3}}, 1},
		{"all have just come", []connView{{false, 0, 96}, {true, 1, 3}}, candidateSoon},
	}
	for _, tt := range tests {
		if got := evictionCandidate(tt.views, 100, 10); got != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
	}
}

func TestShut(t *testing.T) {
	const within = time.Second
	tests := []struct {
		name      string
		s         connView
		inMessage bool
		now       time.Duration
		want      bool
	}{
		{"just came", connView{since: 10}, false, 10 + within, false},
		{"never spoke", connView{since: 10}, false, 11 + within, true},
		{"idle after an answer", connView{spoke: true, since: 10}, false, 100 * within, false},
		{"half a message", connView{spoke: true, since: 10}, true, 11 + within, true},
	}
	for _, tt := range tests {
		if got := shut(tt.s, tt.inMessage, tt.now, within); got != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
}

// TestEvictedTakesNothing: between the choice of whom to close and the close, a request may be read. It must not be taken: its
// client sends it again, and it would run twice.
func TestEvictedTakesNothing(t *testing.T) {
	r := serve(t, nil)
	c := r.dial(t)
	c.put(request(1, "status", map[string]string{}))
	c.answer()
	r.mu.Lock()
	var idle *conn
	for o := range r.conns {
		idle = o
	}
	r.mu.Unlock()
	if !idle.leave() {
		t.Fatal("an idle connection stays")
	}
	c.put(request(2, "lookup", with(), []byte("x")))
	if _, got := c.answer(); got != "closed" || len(r.g.came) > 0 {
		t.Errorf("%s, %d came to the gateway", got, len(r.g.came))
	}
	busy := r.dial(t)
	busy.put(request(1, "lookup", with(), []byte("x")))
	<-r.g.came
	r.mu.Lock()
	for o := range r.conns {
		if o != idle && o.leave() {
			t.Error("a connection with a request open leaves")
		}
	}
	r.mu.Unlock()
}
