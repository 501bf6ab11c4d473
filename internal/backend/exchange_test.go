package backend

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"kitehub/scheduler"
)

// Guards against sending a request to a worker that began to drain, or was removed from the
// endpoint list, while the connection to it was being opened.
func TestNothingIsSentToWithdrawnWorker(t *testing.T) {
	for name, list := range map[string][]Endpoint{
		"draining": {{ID: 1, Name: "w", Network: "tcp", Ready: false}},
		"removed":  nil,
	} {
		t.Run(name, func(t *testing.T) {
			w := startFakeWorker(t, respondWith(okResponse))
			dialing := make(chan struct{})
			updated := make(chan struct{})
			b := newTestBackend(t, w.addr, func(c *Config) {
				c.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					close(dialing)
					<-updated
					return (&net.Dialer{}).DialContext(ctx, network, addr)
				}
			})
			results := make(chan Result)
			b.Send(newAttempt(time.Second), func(r Result) { results <- r })
			<-dialing
			for i := range list {
				list[i].Addr = w.addr
			}
			b.Update(list)
			close(updated)
			if r := <-results; r.Outcome != scheduler.NotStarted {
				t.Errorf("update during the dial: outcome %v, want NotStarted", r.Outcome)
			}
			if r := sendAndWait(b, time.Second); r.Outcome != scheduler.NotStarted {
				t.Errorf("attempt after the update: outcome %v, want NotStarted", r.Outcome)
			}
			outcome, _ := loadAndWait(b, LoadOrder{Worker: 1, Function: "f", Copies: 1})
			if outcome != scheduler.NotStarted {
				t.Errorf("load order: outcome %v, want NotStarted", outcome)
			}
			if n := w.requestCount(); n != 0 {
				t.Errorf("%d requests reached the worker", n)
			}
		})
	}
}

// Cancel ends an attempt in flight at once, as one that may have run. Its connection must not be
// reused, as the late response to it would be read as that of the next attempt.
func TestCancelInFlight(t *testing.T) {
	arrived := make(chan struct{}, 1)
	release := make(chan struct{})
	defer close(release)
	w := startFakeWorker(t, func(c net.Conn, n int) bool {
		if n == 0 {
			arrived <- struct{}{}
			<-release
		}
		io.WriteString(c, okResponse) // the first response is late and must not be read
		return true
	})
	b := newTestBackend(t, w.addr, nil)
	results := make(chan Result, 1)
	running := b.Send(newAttempt(time.Minute), func(r Result) { results <- r })
	<-arrived
	running.Cancel()
	running.Cancel() // a second call has no effect
	if r := <-results; r.Outcome != scheduler.Cancelled {
		t.Errorf("outcome %v, want Cancelled", r.Outcome)
	}
	if r := sendAndWait(b, time.Second); r.Outcome != scheduler.OK || b.Reused.Load() != 0 {
		t.Errorf("afterwards: outcome %v, %d connections reused", r.Outcome, b.Reused.Load())
	}
}

func TestCancelDuringDial(t *testing.T) {
	dialing := make(chan struct{})
	b := newTestBackend(t, "127.0.0.1:1", func(c *Config) {
		c.DialTimeout = time.Minute
		c.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
			close(dialing)
			<-ctx.Done()
			return nil, ctx.Err()
		}
	})
	results := make(chan Result, 1)
	running := b.Send(newAttempt(time.Minute), func(r Result) { results <- r })
	<-dialing
	running.Cancel()
	if r := <-results; r.Outcome != scheduler.NotStarted {
		t.Errorf("outcome %v, want NotStarted", r.Outcome)
	}
}

func TestAttemptIsNotSentIfMayStartReturnsFalse(t *testing.T) {
	w := startFakeWorker(t, respondWith(okResponse))
	b := newTestBackend(t, w.addr, nil)
	results := make(chan Result)
	unwanted := newAttempt(time.Second)
	unwanted.MayStart = func() bool { return false }
	b.Send(unwanted, func(r Result) { results <- r })
	if r := <-results; r.Outcome != scheduler.NotStarted || w.requestCount() != 0 {
		t.Errorf("outcome %v, %d requests reached the worker", r.Outcome, w.requestCount())
	}
}
