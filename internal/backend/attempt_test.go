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

// Each way that an attempt can end is reported exactly as far as it is proven.
func TestOutcomeOfEachEnd(t *testing.T) {
	never := make(chan struct{})
	t.Cleanup(func() { close(never) })
	silent := func(net.Conn, int) bool {
		<-never
		return false
	}
	silentAfterHalf := func(c net.Conn, n int) bool {
		io.WriteString(c, served[:60])
		return silent(c, n)
	}
	resetAfterHalf := func(c net.Conn, n int) bool {
		io.WriteString(c, served[:60])
		return reset(c, n)
	}
	empty503 := "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
	empty404 := "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"
	tooMuchOutput := strings.Replace(served, `size":2`, `size":9`, 1)
	fullInText := "HTTP/1.1 503 X\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfull"
	tests := []struct {
		name   string
		answer script
		want   scheduler.Outcome
	}{
		{"served", answerWith(served), scheduler.OK},
		{"full", answerWith(problem(503, ProblemAtCapacity)), scheduler.AtCapacity},
		{"miss", answerWith(problem(404, ProblemNotLoaded)), scheduler.NotLoaded},
		{"503 that does not say full", answerWith(empty503), scheduler.Error},
		{"503 of another type", answerWith(problem(503, "about:blank")), scheduler.Error},
		{"full with another status", answerWith(problem(500, ProblemAtCapacity)), scheduler.Error},
		{"miss with another status", answerWith(problem(503, ProblemNotLoaded)), scheduler.Error},
		{"404 that does not say miss", answerWith(empty404), scheduler.Error},
		{"full in words only", answerWith(fullInText), scheduler.Error},
		{"error", answerWith("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"), scheduler.Error},
		{"200 with no output", answerWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"), scheduler.Error},
		{"200 with more output than body", answerWith(tooMuchOutput), scheduler.Error},
		{"closed without an answer", answerAndClose(""), scheduler.Reset},
		{"reset without an answer", reset, scheduler.Reset},
		{"reset within the answer", resetAfterHalf, scheduler.Reset},
		{"garbage", answerWith("\x00\x01\x02 hello\r\n\r\n"), scheduler.Reset},
		{"body over the limit", answerWith("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"), scheduler.Reset},
		{"silent", silent, scheduler.TimedOut},
		{"silent within the answer", silentAfterHalf, scheduler.TimedOut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := start(t, startWorker(t, tt.answer).addr, nil)
			timeout := 5 * time.Second
			if tt.want == scheduler.TimedOut {
				timeout = 50 * ms
			}
			if r := infer(b, timeout); r.Outcome != tt.want {
				t.Errorf("outcome %v, want %v", r.Outcome, tt.want)
			}
		})
	}
}

func TestServedResultHasBodyAndLoadReport(t *testing.T) {
	r := infer(start(t, startWorker(t, answerWith(served)).addr, nil), 5*time.Second)
	if r.Outcome != scheduler.OK || string(r.Body) != "ok" || r.Note != scheduler.FoundWarm || r.SameFunction != 2 {
		t.Errorf("%q %+v", r.Body, r)
	}
	if len(r.Report) != 2 || r.Report[0] != 3 || r.Report[1] != 0.5 {
		t.Errorf("report %v, want queue 3 and utilization 0.5", r.Report)
	}
}

func TestNoConnection(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ln.Close()
		if r := infer(start(t, ln.Addr().String(), nil), time.Second); r.Outcome != scheduler.ConnectFailed {
			t.Errorf("outcome %v", r.Outcome)
		}
	})
	t.Run("not up in time", func(t *testing.T) {
		b := start(t, "127.0.0.1:1", func(c *Config) {
			c.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
		})
		r := infer(b, 5*time.Second)
		if r.Outcome != scheduler.ConnectFailed || r.Took < 200*ms || r.Took > 4*time.Second {
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

// brokenOnWrite is a connection whose other side has gone, as the first write finds out.
type brokenOnWrite struct {
	net.Conn
	written int
	err     error
}

func (c *brokenOnWrite) Write([]byte) (int, error) { return c.written, c.err }

// A failed write proves that nothing ran only if the kernel took no byte of it.
func TestFailedWriteProvesNothingIfBytesWereTaken(t *testing.T) {
	for _, tt := range []struct {
		written int
		err     error
		want    scheduler.Outcome
	}{
		{0, syscall.EPIPE, scheduler.ConnectFailed},
		{1, syscall.ECONNRESET, scheduler.Reset},
	} {
		w := startWorker(t, answerWith(served))
		b := start(t, w.addr, func(c *Config) {
			c.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				return &brokenOnWrite{conn, tt.written, tt.err}, err
			}
		})
		if r := infer(b, time.Second); r.Outcome != tt.want {
			t.Errorf("%d bytes taken: outcome %v, want %v", tt.written, r.Outcome, tt.want)
		}
	}
}
