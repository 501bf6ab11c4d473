package backend

import (
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"kitehub/scheduler"
)

// A connection is used again after a complete answer, and never after a doubtful one.
func TestReuse(t *testing.T) {
	const attempts = 3
	connectionClose := strings.Replace(served, "\r\nContent-Length", "\r\nConnection: close\r\nContent-Length", 1)
	tests := []struct {
		name        string
		answer      script
		closes      bool  // the worker closes the connection without saying so
		connections int64 // opened by all attempts
	}{
		{"complete answers", answerWith(served), false, 1},
		{"a second answer behind the first", answerWith(served + served), false, attempts},
		{"more body than announced", answerWith(served + "xyz"), false, attempts},
		{"Connection: close", answerWith(connectionClose), false, attempts},
		{"closed without notice", answerAndClose(served), true, attempts},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := start(t, startWorker(t, tt.answer).addr, nil)
			for i := range attempts {
				if r := infer(b, 5*time.Second); r.Outcome != scheduler.OK || string(r.Body) != "ok" {
					t.Fatalf("attempt %d: %v %q", i, r.Outcome, r.Body)
				}
				if tt.closes {
					idle := b.worker(1).idle[0]
					for isOpen(idle) { // until this side's kernel knows
						runtime.Gosched()
					}
				}
			}
			if n := b.Opened.Load(); n != tt.connections {
				t.Errorf("%d connections opened, want %d", n, tt.connections)
			}
		})
	}
}

// That the worker resets an idle connection while the request is on its way proves nothing: it may have run.
func TestResetOfReusedConnectionIsNoProof(t *testing.T) {
	w := startWorker(t, func(c net.Conn, n int) bool {
		if n == 0 {
			io.WriteString(c, served)
			return true
		}
		return reset(c, n) // the second request is read, and perhaps run, before the connection ends
	})
	b := start(t, w.addr, nil)
	if r := infer(b, time.Second); r.Outcome != scheduler.OK {
		t.Fatal(r.Outcome)
	}
	if r := infer(b, time.Second); r.Outcome != scheduler.Reset || b.Reused.Load() != 1 {
		t.Errorf("outcome %v after %d reuses, want Reset after one", r.Outcome, b.Reused.Load())
	}
}

func TestIdleConnectionsAreBounded(t *testing.T) {
	const attempts = 8
	release := make(chan struct{})
	w := startWorker(t, func(c net.Conn, _ int) bool {
		<-release
		io.WriteString(c, served)
		return true
	})
	b := start(t, w.addr, func(c *Config) { c.MaxIdlePerWorker = 3 })
	results := make(chan Result)
	for range attempts {
		b.Send(attempt(10*time.Second), func(r Result) { results <- r })
	}
	for w.count() < attempts {
		runtime.Gosched()
	}
	close(release)
	for range attempts {
		if r := <-results; r.Outcome != scheduler.OK {
			t.Fatal(r.Outcome)
		}
	}
	if n := len(b.worker(1).idle); n != 3 {
		t.Errorf("%d idle connections, want 3", n)
	}
	b.CloseIdle(1)
	if n := len(b.worker(1).idle); n != 0 {
		t.Errorf("%d idle connections after CloseIdle", n)
	}
}
