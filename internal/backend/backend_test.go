package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"kitehub/internal/clock"
	"kitehub/internal/http1"
	"kitehub/scheduler"
)

const ms = time.Millisecond

// A worker whose answer to each request is a script.
type scripted struct {
	ln   net.Listener
	mu   sync.Mutex
	seen int
	done chan struct{}
}

// script answers the n-th request of all connections (from 0); false ends the connection.
func worker(t testing.TB, script func(c net.Conn, n int) bool) *scripted {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &scripted{ln: ln, done: make(chan struct{})}
	t.Cleanup(func() { close(w.done); ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				l := http1.Limits{}.Filled()
				for {
					if _, err := http1.ReadRequest(br, &l, nil); err != nil {
						return
					}
					w.mu.Lock()
					n := w.seen
					w.seen++
					w.mu.Unlock()
					if !script(c, n) {
						return
					}
				}
			}()
		}
	}()
	return w
}

func (w *scripted) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seen
}

const served = "HTTP/1.1 200 OK\r\nInference-Header-Content-Length: 53\r\nendpoint-load-metrics: TEXT cpu_utilization=0.5, named_metrics.queue=3, named_metrics.copy=1, named_metrics.alike=2\r\nContent-Length: 55\r\n\r\n" +
	`{"outputs":[{"parameters":{"binary_data_size":2}}]}  ok`

func say(text string, stay bool) func(net.Conn, int) bool {
	return func(c net.Conn, _ int) bool {
		io.WriteString(c, text)
		return stay
	}
}

func reset(c net.Conn, _ int) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}

func problem(status int, kind string) string {
	body := `{"type":"` + kind + `"}`
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/problem+json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func start(t testing.TB, addr string, change func(*Config)) *Backend {
	t.Helper()
	cfg := Config{Controller: "c1", Clock: clock.System(), DialTimeout: 200 * ms, IdleTimeout: time.Minute, OrderTimeout: time.Second, ProbeTimeout: time.Second,
		Fields: []scheduler.ReportField{scheduler.FieldQueue, scheduler.FieldUtil}}
	if change != nil {
		change(&cfg)
	}
	b := New(cfg)
	t.Cleanup(b.Close)
	b.Update([]Endpoint{{ID: 1, Name: "w", Network: "tcp", Addr: addr, Ready: true}})
	return b
}

func infer(b *Backend, within time.Duration) Result {
	got := make(chan Result, 1)
	b.Send(Attempt{Worker: 1, Function: "f", Trace: "t", Body: []byte("x"), Timeout: within}, func(r Result) { got <- r })
	return <-got
}

// Each way that an attempt can end is told exactly as its proof allows.
func TestOutcomes(t *testing.T) {
	quiet := func(w chan struct{}) func(net.Conn, int) bool {
		return func(net.Conn, int) bool { <-w; return false }
	}
	never := make(chan struct{})
	t.Cleanup(func() { close(never) })
	tests := []struct {
		name   string
		script func(net.Conn, int) bool
		want   scheduler.Outcome
	}{
		{"served", say(served, true), scheduler.OK},
		{"full", say(problem(503, ProblemFull), true), scheduler.AtCapacity},
		{"miss", say(problem(404, ProblemMiss), true), scheduler.NotLoaded},
		{"503 that does not say full", say("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", true), scheduler.Error},
		{"503 of another kind", say(problem(503, "about:blank"), true), scheduler.Error},
		{"full with another status", say(problem(500, ProblemFull), true), scheduler.Error},
		{"miss with another status", say(problem(503, ProblemMiss), true), scheduler.Error},
		{"404 that does not say miss", say("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n", true), scheduler.Error},
		{"full in words only", say("HTTP/1.1 503 X\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfull", true), scheduler.Error},
		{"error", say("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", true), scheduler.Error},
		{"200 with no output", say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", true), scheduler.Error},
		{"200 with more output than body", say(strings.Replace(served, `size":2`, `size":9`, 1), true), scheduler.Error},
		{"closed with nothing said", say("", false), scheduler.Reset},
		{"reset with nothing said", reset, scheduler.Reset},
		{"reset in mid-answer", func(c net.Conn, n int) bool { io.WriteString(c, served[:60]); return reset(c, n) }, scheduler.Reset},
		{"garbage", say("\x00\x01\x02 hello\r\n\r\n", true), scheduler.Reset},
		{"body over the limit", say("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", true), scheduler.Reset},
		{"silent", quiet(never), scheduler.TimedOut},
		{"half an answer, then silent", func(c net.Conn, _ int) bool { io.WriteString(c, served[:60]); <-never; return false }, scheduler.TimedOut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := start(t, worker(t, tt.script).ln.Addr().String(), nil)
			within := 5 * time.Second
			if tt.want == scheduler.TimedOut {
				within = 50 * ms
			}
			r := infer(b, within)
			if r.Outcome != tt.want {
				t.Errorf("outcome %v, want %v", r.Outcome, tt.want)
			}
			if tt.want == scheduler.OK && (string(r.Body) != "ok" || r.Note != scheduler.FoundWarm || r.Alike != 2 || r.Report[0] != 3 || r.Report[1] != 0.5) {
				t.Errorf("%q %+v", r.Body, r)
			}
		})
	}
	t.Run("connect refused", func(t *testing.T) {
		ln, _ := net.Listen("tcp", "127.0.0.1:0")
		ln.Close()
		if r := infer(start(t, ln.Addr().String(), nil), time.Second); r.Outcome != scheduler.ConnectFailed {
			t.Errorf("outcome %v", r.Outcome)
		}
	})
	t.Run("not up in time", func(t *testing.T) {
		b := start(t, "127.0.0.1:1", func(c *Config) {
			c.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
		})
		if r := infer(b, 5*time.Second); r.Outcome != scheduler.ConnectFailed || r.Took < 200*ms || r.Took > 4*time.Second {
			t.Errorf("outcome %v after %v", r.Outcome, r.Took)
		}
	})
	t.Run("unknown worker", func(t *testing.T) {
		b := start(t, "127.0.0.1:1", nil)
		b.Update(nil)
		if r := infer(b, time.Second); r.Outcome != scheduler.NotStarted {
			t.Errorf("outcome %v", r.Outcome)
		}
	})
}

// deadOnWrite is a connection whose peer is gone, as the first write finds out.
type deadOnWrite struct {
	net.Conn
	n   int
	err error
}

func (d *deadOnWrite) Write([]byte) (int, error) { return d.n, d.err }

// A failed write proves that nothing ran only if the kernel took no byte of it.
func TestWriteProof(t *testing.T) {
	for _, tt := range []struct {
		n    int
		err  error
		want scheduler.Outcome
	}{{0, syscall.EPIPE, scheduler.ConnectFailed}, {1, syscall.ECONNRESET, scheduler.Reset}} {
		w := worker(t, say(served, true))
		b := start(t, w.ln.Addr().String(), func(c *Config) {
			c.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				nc, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				return &deadOnWrite{nc, tt.n, tt.err}, err
			}
		})
		if r := infer(b, time.Second); r.Outcome != tt.want {
			t.Errorf("%d bytes taken: outcome %v, want %v", tt.n, r.Outcome, tt.want)
		}
	}
}

// A connection is used again after a whole answer, and never after a doubtful one.
func TestReuse(t *testing.T) {
	tests := []struct {
		name   string
		script func(net.Conn, int) bool
		opened int64 // by three attempts
	}{
		{"whole answers", say(served, true), 1},
		{"a second answer behind the first", say(served+served, true), 3},
		{"more body than told", say(served+"xyz", true), 3},
		{"told to close", say(strings.Replace(served, "\r\nContent-Length", "\r\nConnection: close\r\nContent-Length", 1), true), 3},
		{"closed unsaid", say(served, false), 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := start(t, worker(t, tt.script).ln.Addr().String(), nil)
			for i := range 3 {
				if r := infer(b, 5*time.Second); r.Outcome != scheduler.OK || string(r.Body) != "ok" {
					t.Fatalf("attempt %d: %v %q", i, r.Outcome, r.Body)
				}
				if tt.name == "closed unsaid" { // until the end has been seen by the kernel here
					p := b.peer(1)
					for p.idle[0].br.Buffered() == 0 && quiet(p.idle[0]) {
					}
				}
			}
			if n := b.Opened.Load(); n != tt.opened {
				t.Errorf("%d connections opened, want %d", n, tt.opened)
			}
		})
	}
}

// An idle connection that the worker resets while the request is on its way is no proof: it may have run.
func TestStaleReused(t *testing.T) {
	b := start(t, worker(t, func(c net.Conn, n int) bool {
		if n == 0 {
			io.WriteString(c, served)
			return true
		}
		return reset(c, n) // the second request is read, and perhaps run, before the connection ends
	}).ln.Addr().String(), nil)
	if r := infer(b, time.Second); r.Outcome != scheduler.OK {
		t.Fatal(r.Outcome)
	}
	if r := infer(b, time.Second); r.Outcome != scheduler.Reset || b.Reused.Load() != 1 {
		t.Errorf("outcome %v after %d reuses, want Reset after one", r.Outcome, b.Reused.Load())
	}
}

// A worker that drains, or leaves the list, gets no byte of what is not yet on the wire, even when the notice comes
// while the connection is being made.
func TestWithdrawn(t *testing.T) {
	for _, list := range map[string][]Endpoint{"draining": {{ID: 1, Name: "w", Network: "tcp", Ready: false}}, "gone": nil} {
		w := worker(t, say(served, true))
		dialling, told := make(chan struct{}), make(chan struct{})
		b := start(t, w.ln.Addr().String(), func(c *Config) {
			c.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				close(dialling)
				<-told
				return (&net.Dialer{}).DialContext(ctx, network, addr)
			}
		})
		got := make(chan Result)
		b.Send(Attempt{Worker: 1, Function: "f", Trace: "t", Timeout: time.Second}, func(r Result) { got <- r })
		<-dialling
		for i := range list {
			list[i].Addr = w.ln.Addr().String()
		}
		b.Update(list)
		close(told)
		if r := <-got; r.Outcome != scheduler.NotStarted {
			t.Errorf("outcome %v, want Moot", r.Outcome)
		}
		if r := infer(b, time.Second); r.Outcome != scheduler.NotStarted {
			t.Errorf("afterwards: outcome %v, want Moot", r.Outcome)
		}
		hold := make(chan scheduler.Outcome)
		b.LoadCopies(LoadOrder{Worker: 1, Function: "f", Copies: 1}, func(o scheduler.Outcome, _ int, _ time.Duration) { hold <- o })
		if o := <-hold; o != scheduler.NotStarted {
			t.Errorf("order: outcome %v, want Moot", o)
		}
		if n := w.count(); n != 0 {
			t.Errorf("%d requests reached it", n)
		}
	}
}

// Cancel ends an attempt at once; what had been written may have run, what had not did not.
func TestCancel(t *testing.T) {
	got, release := make(chan struct{}, 1), make(chan struct{})
	defer close(release)
	w := worker(t, func(c net.Conn, n int) bool {
		if n == 0 {
			got <- struct{}{}
			<-release
			io.WriteString(c, served) // late: nobody may hear it
			return true
		}
		io.WriteString(c, served)
		return true
	})
	b := start(t, w.ln.Addr().String(), nil)
	res := make(chan Result, 1)
	r := b.Send(Attempt{Worker: 1, Function: "f", Trace: "t", Timeout: time.Minute}, func(r Result) { res <- r })
	<-got
	r.Cancel()
	r.Cancel()
	if r := <-res; r.Outcome != scheduler.Cancelled {
		t.Errorf("outcome %v, want Cancelled", r.Outcome)
	}
	if r := infer(b, time.Second); r.Outcome != scheduler.OK || b.Reused.Load() != 0 {
		t.Errorf("afterwards: outcome %v, %d connections reused", r.Outcome, b.Reused.Load())
	}
	dialling := make(chan struct{})
	b = start(t, w.ln.Addr().String(), func(c *Config) {
		c.DialTimeout = time.Minute
		c.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
			close(dialling)
			<-ctx.Done()
			return nil, ctx.Err()
		}
	})
	r = b.Send(Attempt{Worker: 1, Function: "f", Trace: "t", Timeout: time.Minute}, func(r Result) { res <- r })
	<-dialling
	r.Cancel()
	if r := <-res; r.Outcome != scheduler.NotStarted {
		t.Errorf("while it dials: outcome %v, want Moot", r.Outcome)
	}
}

// What is no longer wanted when its connection is up is not sent.
func TestNotWanted(t *testing.T) {
	w := worker(t, say(served, true))
	b := start(t, w.ln.Addr().String(), nil)
	got := make(chan Result)
	b.Send(Attempt{Worker: 1, Function: "f", Trace: "t", Timeout: time.Second, Wanted: func() bool { return false }}, func(r Result) { got <- r })
	if r := <-got; r.Outcome != scheduler.NotStarted || w.count() != 0 {
		t.Errorf("outcome %v, %d requests reached the worker", r.Outcome, w.count())
	}
}

func TestHold(t *testing.T) {
	index := `[{"name":"g","state":"READY"},{"name":"f","state":"READY","copies":3},{"name":"h","state":"UNAVAILABLE"}]`
	ok := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	tests := []struct {
		name, text, fn string
		copies         int
		want           scheduler.Outcome
		stand          int
	}{
		{"stands", strings.Replace(ok(""), "OK\r\n", "OK\r\nendpoint-load-metrics: TEXT named_metrics.copies=2\r\n", 1), "f", 1, scheduler.OK, 2},
		{"no room", problem(503, ProblemFull), "f", 1, scheduler.AtCapacity, 0},
		{"failed", problem(500, "x"), "f", 1, scheduler.Error, 0},
		{"asked", ok(index), "f", 0, scheduler.OK, 3},
		{"asked of one with no count", ok(index), "g", 0, scheduler.OK, 1},
		{"asked of one not ready", ok(index), "h", 0, scheduler.OK, 0},
		{"asked of one not there", ok(index), "zz", 0, scheduler.OK, 0},
		{"an index that is none", ok("{{"), "f", 0, scheduler.Error, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := start(t, worker(t, say(tt.text, true)).ln.Addr().String(), nil)
			done := make(chan struct{})
			b.LoadCopies(LoadOrder{Worker: 1, Function: tt.fn, Copies: tt.copies}, func(o scheduler.Outcome, n int, _ time.Duration) {
				if o != tt.want || n != tt.stand {
					t.Errorf("%v with %d, want %v with %d", o, n, tt.want, tt.stand)
				}
				close(done)
			})
			<-done
		})
	}
}

func TestReadLoad(t *testing.T) {
	fields := []scheduler.ReportField{scheduler.FieldUtil, scheduler.FieldInFlight, scheduler.FieldRate, scheduler.FieldX0}
	for text, want := range map[string]string{
		"": "[]",
		"TEXT cpu_utilization=0.3,named_metrics.inflight=4, rps_fractional=9.5": "[0.3 4 9.5 0]",
		"cpu_utilization=0.3": "[0.3 0 0 0]",
		`JSON {"cpu_utilization":0.3,"rps_fractional":2,"named_metrics":{"inflight":4,"x0":0.5},"eps":"x"}`: "[0.3 4 2 0.5]",
		"JSON {{":                           "[]",
		"TEXT cpu_utilization=NaN, =,=":     "[]",
		"TEXT " + strings.Repeat("a=1,", 3): "[]",
	} {
		if got := fmt.Sprint(readLoad(text).report(fields)); got != want {
			t.Errorf("%q: %s, want %s", text, got, want)
		}
	}
}

func TestPoolIsBounded(t *testing.T) {
	release := make(chan struct{})
	w := worker(t, func(c net.Conn, _ int) bool { <-release; io.WriteString(c, served); return true })
	b := start(t, w.ln.Addr().String(), func(c *Config) { c.MaxIdlePerWorker = 3 })
	got := make(chan Result)
	for range 8 {
		b.Send(Attempt{Worker: 1, Function: "f", Trace: "t", Timeout: 10 * time.Second}, func(r Result) { got <- r })
	}
	for w.count() < 8 {
		time.Sleep(ms)
	}
	close(release)
	for range 8 {
		if r := <-got; r.Outcome != scheduler.OK {
			t.Fatal(r.Outcome)
		}
	}
	if p := b.peer(1); len(p.idle) != 3 {
		t.Errorf("%d idle connections, want 3", len(p.idle))
	}
	b.CloseIdle(1)
	if p := b.peer(1); len(p.idle) != 0 {
		t.Errorf("%d idle connections after CloseIdle", len(p.idle))
	}
}
