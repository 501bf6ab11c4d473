package backend

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"kitehub/scheduler"
)

// An attempt that may have run must not be reported as one that did not, or a retry would run the
// call twice.
func TestOutcomeOfEachEnd(t *testing.T) {
	never := make(chan struct{})
	t.Cleanup(func() { close(never) })
	noResponse := func(net.Conn, int) bool {
		<-never
		return false
	}
	stallAfterHalf := func(c net.Conn, n int) bool {
		io.WriteString(c, okResponse[:60])
		return noResponse(c, n)
	}
	resetAfterHalf := func(c net.Conn, n int) bool {
		io.WriteString(c, okResponse[:60])
		return resetConn(c, n)
	}
	empty503 := "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
	empty404 := "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"
	tooMuchOutput := strings.Replace(okResponse, `size":2`, `size":9`, 1)
	plainTextFull := "HTTP/1.1 503 X\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfull"
	tests := []struct {
		name    string
		respond respondFunc
		want    scheduler.Outcome
	}{
		{"served", respondWith(okResponse), scheduler.OK},
		{"at capacity", respondWith(problemResponse(503, ProblemAtCapacity)), scheduler.AtCapacity},
		{"not loaded", respondWith(problemResponse(404, ProblemNotLoaded)), scheduler.NotLoaded},
		{"503 without a problem type", respondWith(empty503), scheduler.Error},
		{"503 with another problem type", respondWith(problemResponse(503, "about:blank")), scheduler.Error},
		{"at capacity with wrong status", respondWith(problemResponse(500, ProblemAtCapacity)), scheduler.Error},
		{"not loaded with wrong status", respondWith(problemResponse(503, ProblemNotLoaded)), scheduler.Error},
		{"404 without a problem type", respondWith(empty404), scheduler.Error},
		{"503 with plain text", respondWith(plainTextFull), scheduler.Error},
		{"error", respondWith("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"), scheduler.Error},
		{"200 with no output", respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"), scheduler.Error},
		{"200 with more output than body", respondWith(tooMuchOutput), scheduler.Error},
		{"closed without a response", respondAndClose(""), scheduler.Reset},
		{"reset without a response", resetConn, scheduler.Reset},
		{"reset within the response", resetAfterHalf, scheduler.Reset},
		{"garbage", respondWith("\x00\x01\x02 hello\r\n\r\n"), scheduler.Reset},
		{"body over the limit", respondWith("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"), scheduler.Reset},
		{"no response", noResponse, scheduler.TimedOut},
		{"stalled within the response", stallAfterHalf, scheduler.TimedOut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBackend(t, startFakeWorker(t, tt.respond).addr, nil)
			timeout := 5 * time.Second
			if tt.want == scheduler.TimedOut {
				timeout = 50 * ms
			}
			if r := sendAndWait(b, timeout); r.Outcome != tt.want {
				t.Errorf("outcome %v, want %v", r.Outcome, tt.want)
			}
		})
	}
}

func TestResultHasBodyAndLoadReport(t *testing.T) {
	r := sendAndWait(newTestBackend(t, startFakeWorker(t, respondWith(okResponse)).addr, nil), 5*time.Second)
	if r.Outcome != scheduler.OK || string(r.Body) != "ok" || r.Note != scheduler.FoundWarm || r.SameFunction != 2 {
		t.Errorf("%q %+v", r.Body, r)
	}
	if len(r.Report) != 2 || r.Report[0] != 3 || r.Report[1] != 0.5 {
		t.Errorf("report %v, want queue 3 and utilization 0.5", r.Report)
	}
}

func TestOutcomeWithoutConnection(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ln.Close()
		if r := sendAndWait(newTestBackend(t, ln.Addr().String(), nil), time.Second); r.Outcome != scheduler.ConnectFailed {
			t.Errorf("outcome %v", r.Outcome)
		}
	})
	t.Run("dial timeout", func(t *testing.T) {
		b := newTestBackend(t, "127.0.0.1:1", func(c *Config) {
			c.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
		})
		r := sendAndWait(b, 5*time.Second)
		if r.Outcome != scheduler.ConnectFailed || r.Took < 200*ms || r.Took > 4*time.Second {
			t.Errorf("outcome %v after %v", r.Outcome, r.Took)
		}
	})
	t.Run("unknown worker", func(t *testing.T) {
		b := newTestBackend(t, "127.0.0.1:1", nil)
		b.Update(nil)
		if r := sendAndWait(b, time.Second); r.Outcome != scheduler.NotStarted {
			t.Errorf("outcome %v", r.Outcome)
		}
	})
}

// A failingWriteConn is a connection whose writes fail.
type failingWriteConn struct {
	net.Conn
	written int
	err     error
}

func (c *failingWriteConn) Write([]byte) (int, error) { return c.written, c.err }

// A failed write proves that the call did not run only if the kernel accepted no byte of it.
func TestOutcomeOfFailedWrite(t *testing.T) {
	for _, tt := range []struct {
		written int
		err     error
		want    scheduler.Outcome
	}{
		{0, syscall.EPIPE, scheduler.ConnectFailed},
		{1, syscall.ECONNRESET, scheduler.Reset},
	} {
		w := startFakeWorker(t, respondWith(okResponse))
		b := newTestBackend(t, w.addr, func(c *Config) {
			c.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				return &failingWriteConn{conn, tt.written, tt.err}, err
			}
		})
		if r := sendAndWait(b, time.Second); r.Outcome != tt.want {
			t.Errorf("%d bytes accepted: outcome %v, want %v", tt.written, r.Outcome, tt.want)
		}
	}
}
