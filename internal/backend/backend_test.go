package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"kitehub/internal/clock"
	"kitehub/internal/http1"
	"kitehub/scheduler"
)

const ms = time.Millisecond

// A scriptedWorker answers requests as a script says.
type scriptedWorker struct {
	addr string

	mu       sync.Mutex
	requests int // read, on all connections
}

// A script answers the n-th request of all connections (from 0). It returns false to close the connection.
type script func(c net.Conn, n int) bool

func startWorker(t testing.TB, answer script) *scriptedWorker {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	w := &scriptedWorker{addr: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go w.serve(c, answer)
		}
	}()
	return w
}

func (w *scriptedWorker) serve(c net.Conn, answer script) {
	defer c.Close()
	reader := bufio.NewReader(c)
	limits := http1.Limits{}.WithDefaults()
	for {
		if _, err := http1.ReadRequest(reader, &limits, nil); err != nil {
			return
		}
		w.mu.Lock()
		n := w.requests
		w.requests++
		w.mu.Unlock()
		if !answer(c, n) {
			return
		}
	}
}

func (w *scriptedWorker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests
}

// served is a complete answer to a call, with a load report and the body "ok".
const served = "HTTP/1.1 200 OK\r\n" +
	"Inference-Header-Content-Length: 53\r\n" +
	"endpoint-load-metrics: TEXT cpu_utilization=0.5, named_metrics.queue=3, " +
	"named_metrics.copy=1, named_metrics.alike=2\r\n" +
	"Content-Length: 55\r\n\r\n" +
	`{"outputs":[{"parameters":{"binary_data_size":2}}]}  ok`

// answerWith writes a text, and then keeps the connection open.
func answerWith(text string) script {
	return func(c net.Conn, _ int) bool {
		io.WriteString(c, text)
		return true
	}
}

// answerAndClose writes a text, and then closes the connection.
func answerAndClose(text string) script {
	return func(c net.Conn, _ int) bool {
		io.WriteString(c, text)
		return false
	}
}

func reset(c net.Conn, _ int) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}

func problem(status int, kind string) string {
	body := `{"type":"` + kind + `"}`
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/problem+json\r\nContent-Length: %d\r\n\r\n%s",
		status, len(body), body)
}

// start returns a backend with one worker, number 1.
func start(t testing.TB, addr string, change func(*Config)) *Backend {
	t.Helper()
	cfg := Config{
		Controller:   "c1",
		Clock:        clock.System(),
		DialTimeout:  200 * ms,
		IdleTimeout:  time.Minute,
		OrderTimeout: time.Second,
		ProbeTimeout: time.Second,
		ReportFields: []scheduler.LoadReportField{scheduler.FieldQueue, scheduler.FieldUtilization},
	}
	if change != nil {
		change(&cfg)
	}
	b := New(cfg)
	t.Cleanup(b.Close)
	b.Update([]Endpoint{{ID: 1, Name: "w", Network: "tcp", Addr: addr, Ready: true}})
	return b
}

func attempt(timeout time.Duration) Attempt {
	return Attempt{Worker: 1, Function: "f", TraceParent: "t", Body: []byte("x"), Timeout: timeout}
}

// infer sends an attempt and waits for its end.
func infer(b *Backend, timeout time.Duration) Result {
	results := make(chan Result, 1)
	b.Send(attempt(timeout), func(r Result) { results <- r })
	return <-results
}
