package frame

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/clock"
	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

func TestCheckSilence(t *testing.T) {
	const timeout = 10
	tests := []struct {
		name                          string
		now, lastReceived, pingSentAt time.Duration
		want                          checkAction
	}{
		{"short silence", 10, 5, 0, keepConn},
		{"long silence", 16, 5, 0, pingConn},
		{"ping within its timeout", 26, 5, 16, keepConn},
		{"ping unanswered", 27, 5, 16, closeConn},
		{"received recently", 40, 39, 0, keepConn},
	}
	for _, tt := range tests {
		if got := checkSilence(tt.now, tt.lastReceived, tt.pingSentAt, timeout); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

const (
	testPingAfter = time.Minute
	pastPingAfter = testPingAfter + time.Second
)

// newTestBackendWithClock returns a backend with a manual clock.
func newTestBackendWithClock(t *testing.T, addr string) (*Backend, *clock.Manual) {
	t.Helper()
	manual := clock.NewManual(time.Unix(1e9, 0))
	b := newTestBackend(t, addr, func(c *Config) {
		c.Clock = manual
		c.PingAfter = testPingAfter
	})
	return b, manual
}

// The connection to a slow worker must not be closed as dead as long as the worker responds to
// pings.
func TestSlowWorkersConnectionIsKept(t *testing.T) {
	const pings = 3
	received := 0
	addr, commands := startRecordingWorker(t, func(command fakeplatform.Command) []byte {
		if command.Code != codePing {
			return nil
		}
		pong := fakeplatform.Response(codePong, command.ID, "", "")
		if received++; received == pings {
			return append(pong, fakeplatform.Response(codeOK, 7, "", "answer")...)
		}
		return pong
	})
	b, manual := newTestBackendWithClock(t, addr)
	results := make(chan backend.Result, 1)
	b.Send(newAttempt(7), func(r backend.Result) { results <- r })
	<-commands
	w, _ := b.worker(1)
	for range pings {
		manual.Advance(pastPingAfter)
		b.check()
		if ping := <-commands; ping.Code != codePing {
			t.Fatalf("%+v, want a ping", ping)
		}
		// Wait until the pong is read.
		waitFor(func() bool { return !w.connections()[0].state(0).suspect })
	}
	if r := <-results; r.Outcome != scheduler.OK {
		t.Errorf("outcome %v", r.Outcome)
	}
}

// A connection is closed if the worker does not respond to a ping, also because it is stuck within
// another response.
func TestDeadConnectionIsClosed(t *testing.T) {
	tests := []struct {
		name    string
		respond func(fakeplatform.Command) []byte
	}{
		{"dead", noResponse},
		{"stuck within a response", func(command fakeplatform.Command) []byte {
			if command.Code == codeCall {
				return fakeplatform.Response(codeOK, command.ID, "", "answer")[:20]
			}
			return fakeplatform.Response(codePong, command.ID, "", "")
		}},
	}
	for _, tt := range tests {
		addr, commands := startRecordingWorker(t, tt.respond)
		b, manual := newTestBackendWithClock(t, addr)
		results := make(chan backend.Result, 1)
		b.Send(newAttempt(7), func(r backend.Result) { results <- r })
		<-commands
		manual.Advance(pastPingAfter)
		b.check()
		if ping := <-commands; ping.Code != codePing {
			t.Fatalf("%s: %+v, want a ping", tt.name, ping)
		}
		manual.Advance(pastPingAfter)
		b.check()
		if r := <-results; r.Outcome != scheduler.Reset {
			t.Errorf("%s: %v, want Reset", tt.name, r.Outcome)
		}
	}
}

// Nothing new is sent on a connection with an unanswered ping, even if nothing is in flight on it
// any more: the connection may be dead.
func TestConnectionWithUnansweredPingIsNotUsed(t *testing.T) {
	addr, commands := startRecordingWorker(t, func(command fakeplatform.Command) []byte {
		if command.Conn > 0 {
			return respondOK(command)
		}
		return nil
	})
	b, manual := newTestBackendWithClock(t, addr)
	results := make(chan backend.Result, 1)
	first := b.Send(newAttempt(1), func(r backend.Result) { results <- r })
	<-commands
	manual.Advance(pastPingAfter)
	b.check()
	if ping := <-commands; ping.Code != codePing {
		t.Fatalf("%+v, want a ping", ping)
	}
	if r, sent := sendAndWait(b, newAttempt(2)), <-commands; r.Outcome != scheduler.OK || sent.Conn == 0 {
		t.Errorf("call during the first: %v on connection %d", r.Outcome, sent.Conn)
	}
	first.Cancel()
	<-results
	<-commands // the cancellation
	b.check()
	if r, sent := sendAndWait(b, newAttempt(3)), <-commands; r.Outcome != scheduler.OK || sent.Conn == 0 {
		t.Errorf("call after the first was cancelled: %v on connection %d", r.Outcome, sent.Conn)
	}
	manual.Advance(pastPingAfter)
	b.check()
	// The dead connection must be closed. The other one is idle and may be closed too.
	waitFor(func() bool { return b.Traffic()[0].Conns <= 1 })
}

// A lingerConn records whether the kernel was told to discard unsent data at the close.
type lingerConn struct {
	*net.TCPConn
	discards *atomic.Bool
}

func (c lingerConn) SetLinger(seconds int) error {
	c.discards.Store(seconds == 0)
	return c.TCPConn.SetLinger(seconds)
}

// Guards against a call that runs after it was given up: what a silent worker has not received of a
// dead connection must not reach it later, when a partition has healed.
func TestDeadConnectionDiscardsUnsentCalls(t *testing.T) {
	addr, _ := startRecordingWorker(t, noResponse) // answers no ping
	var discards atomic.Bool
	b := newTestBackend(t, addr, func(c *Config) {
		c.PingAfter = 10 * time.Millisecond
		c.Dial = func(_ context.Context, network, addr string) (net.Conn, error) {
			conn, err := net.Dial(network, addr)
			if err != nil {
				return nil, err
			}
			return lingerConn{conn.(*net.TCPConn), &discards}, nil
		}
	})
	if r := sendAndWait(b, newAttempt(1)); r.Outcome != scheduler.Reset {
		t.Errorf("outcome %v, want Reset", r.Outcome)
	}
	if !discards.Load() {
		t.Error("the kernel goes on sending what the dead connection holds")
	}
}
