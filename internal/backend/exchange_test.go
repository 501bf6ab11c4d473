package backend

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"kitehub/scheduler"
)

// A worker that drains, or leaves the list, gets no byte of what was not yet being sent, even if the notice comes
// while the connection is being made.
func TestNothingIsSentToWithdrawnWorker(t *testing.T) {
	for name, list := range map[string][]Endpoint{
		"draining": {{ID: 1, Name: "w", Network: "tcp", Ready: false}},
		"gone":     nil,
	} {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, answerWith(served))
			dialling := make(chan struct{})
			updated := make(chan struct{})
			b := start(t, w.addr, func(c *Config) {
				c.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					close(dialling)
					<-updated
					return (&net.Dialer{}).DialContext(ctx, network, addr)
				}
			})
			results := make(chan Result)
			b.Send(attempt(time.Second), func(r Result) { results <- r })
			<-dialling
			for i := range list {
				list[i].Addr = w.addr
			}
			b.Update(list)
			close(updated)
			if r := <-results; r.Outcome != scheduler.NotStarted {
				t.Errorf("in the dial: outcome %v, want NotStarted", r.Outcome)
			}
			if r := infer(b, time.Second); r.Outcome != scheduler.NotStarted {
				t.Errorf("afterwards: outcome %v, want NotStarted", r.Outcome)
			}
			outcome, _ := loadCopies(b, LoadOrder{Worker: 1, Function: "f", Copies: 1})
			if outcome != scheduler.NotStarted {
				t.Errorf("load order: outcome %v, want NotStarted", outcome)
			}
			if n := w.count(); n != 0 {
				t.Errorf("%d requests reached it", n)
			}
		})
	}
}

// Cancel ends an attempt in flight at once: it may have run, and its connection is not used again.
func TestCancelInFlight(t *testing.T) {
	arrived := make(chan struct{}, 1)
	release := make(chan struct{})
	defer close(release)
	w := startWorker(t, func(c net.Conn, n int) bool {
		if n == 0 {
			arrived <- struct{}{}
			<-release
		}
		io.WriteString(c, served) // the first one late: nobody may read it
		return true
	})
	b := start(t, w.addr, nil)
	results := make(chan Result, 1)
	running := b.Send(attempt(time.Minute), func(r Result) { results <- r })
	<-arrived
	running.Cancel()
	running.Cancel() // twice does nothing
	if r := <-results; r.Outcome != scheduler.Cancelled {
		t.Errorf("outcome %v, want Cancelled", r.Outcome)
	}
	if r := infer(b, time.Second); r.Outcome != scheduler.OK || b.Reused.Load() != 0 {
		t.Errorf("afterwards: outcome %v, %d connections reused", r.Outcome, b.Reused.Load())
	}
}

func TestCancelInDial(t *testing.T) {
	dialling := make(chan struct{})
	b := start(t, "127.0.0.1:1", func(c *Config) {
		c.DialTimeout = time.Minute
		c.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
			close(dialling)
			<-ctx.Done()
			return nil, ctx.Err()
		}
	})
	results := make(chan Result, 1)
	running := b.Send(attempt(time.Minute), func(r Result) { results <- r })
	<-dialling
	running.Cancel()
	if r := <-results; r.Outcome != scheduler.NotStarted {
		t.Errorf("outcome %v, want NotStarted", r.Outcome)
	}
}

func TestAttemptNoLongerWantedIsNotSent(t *testing.T) {
	w := startWorker(t, answerWith(served))
	b := start(t, w.addr, nil)
	results := make(chan Result)
	unwanted := attempt(time.Second)
	unwanted.MayStart = func() bool { return false }
	b.Send(unwanted, func(r Result) { results <- r })
	if r := <-results; r.Outcome != scheduler.NotStarted || w.count() != 0 {
		t.Errorf("outcome %v, %d requests reached the worker", r.Outcome, w.count())
	}
}
