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

// A connection is reused only after a complete response without bytes after it. Otherwise the rest
// of one response could be read as the response to the next attempt.
func TestReuse(t *testing.T) {
	const attempts = 3
	connectionClose := strings.Replace(okResponse, "\r\nContent-Length", "\r\nConnection: close\r\nContent-Length", 1)
	tests := []struct {
		name        string
		respond     respondFunc
		closes      bool  // the worker closes the connection without "Connection: close"
		connections int64 // opened by all attempts
	}{
		{"complete responses", respondWith(okResponse), false, 1},
		{"a second response after the first", respondWith(okResponse + okResponse), false, attempts},
		{"bytes after the body", respondWith(okResponse + "xyz"), false, attempts},
		{"Connection: close", respondWith(connectionClose), false, attempts},
		{"closed without Connection: close", respondAndClose(okResponse), true, attempts},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBackend(t, startFakeWorker(t, tt.respond).addr, nil)
			for i := range attempts {
				if r := sendAndWait(b, 5*time.Second); r.Outcome != scheduler.OK || string(r.Body) != "ok" {
					t.Fatalf("attempt %d: %v %q", i, r.Outcome, r.Body)
				}
				if tt.closes {
					idle := b.worker(1).idle[0]
					for isOpen(idle) { // until the kernel has received the close
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

// A reset of a reused connection does not prove that the call did not run, even if the worker only
// meant to close an idle connection.
func TestResetOfReusedConnection(t *testing.T) {
	w := startFakeWorker(t, func(c net.Conn, n int) bool {
		if n == 0 {
			io.WriteString(c, okResponse)
			return true
		}
		return resetConn(c, n) // the worker has read the second request and might have run it
	})
	b := newTestBackend(t, w.addr, nil)
	if r := sendAndWait(b, time.Second); r.Outcome != scheduler.OK {
		t.Fatal(r.Outcome)
	}
	if r := sendAndWait(b, time.Second); r.Outcome != scheduler.Reset || b.Reused.Load() != 1 {
		t.Errorf("outcome %v after %d reuses, want Reset after one", r.Outcome, b.Reused.Load())
	}
}

func TestIdleConnectionsAreBounded(t *testing.T) {
	const attempts = 8
	release := make(chan struct{})
	w := startFakeWorker(t, func(c net.Conn, _ int) bool {
		<-release
		io.WriteString(c, okResponse)
		return true
	})
	b := newTestBackend(t, w.addr, func(c *Config) { c.MaxIdlePerWorker = 3 })
	results := make(chan Result)
	for range attempts {
		b.Send(newAttempt(10*time.Second), func(r Result) { results <- r })
	}
	for w.requestCount() < attempts {
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
