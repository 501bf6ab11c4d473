package frame

import (
	"net"
	"testing"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/clock"
	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

func TestChoosePlacement(t *testing.T) {
	lim := limits{maxConns: 2, maxInFlight: 2, maxIdle: time.Second}
	tests := []struct {
		name      string
		conns     []connState
		dialing   int
		now       time.Duration
		want      placement
		wantIndex int
	}{
		{"no connection", nil, 0, 0, openConn, 0},
		{"most recently used idle connection", []connState{{lastUsed: 5}, {lastUsed: 7}}, 0, 9, useConn, 1},
		{"idle too long", []connState{{lastUsed: 0}}, 0, 2 * time.Second, openConn, 0},
		{"suspect", []connState{{suspect: true}}, 0, 0, openConn, 0},
		{"ID taken", []connState{{idTaken: true}}, 0, 0, openConn, 0},
		{"new before shared", []connState{{inFlight: 1}}, 0, 0, openConn, 0},
		{"shared at the limit", []connState{{inFlight: 1}}, 1, 0, useConn, 0},
		{"fewest exchanges in flight", []connState{{inFlight: 2}, {inFlight: 1}}, 0, 0, useConn, 1},
		{"all full", []connState{{inFlight: 2}, {inFlight: 2}}, 0, 0, noConn, 0},
		{"all unusable", []connState{{suspect: true}, {idTaken: true}}, 0, 0, noConn, 0},
	}
	for _, tt := range tests {
		choice, index := choosePlacement(tt.conns, tt.dialing, lim, tt.now)
		if choice != tt.want || index != tt.wantIndex {
			t.Errorf("%s: %v %d, want %v %d", tt.name, choice, index, tt.want, tt.wantIndex)
		}
	}
}

// A worker must not be reached on the connections of a removed worker that had the same address.
func TestWorkersAtOneAddressShareNoConnection(t *testing.T) {
	addr, commands := startRecordingWorker(t, respondOK)
	b := newTestBackend(t, addr, nil)
	sendAndWait(b, newAttempt(1))
	sendAndWait(b, newAttempt(2))
	b.Update([]backend.Endpoint{endpoint(2, addr)})
	if r := sendAndWait(b, newAttemptAt(2, 3)); r.Outcome != scheduler.OK {
		t.Errorf("new worker: %v", r.Outcome)
	}
	expectConns(t, commands, 0, 0, 1)
}

func TestMaxIdleTime(t *testing.T) {
	tests := []struct{ dialTimeout, workerIdleTimeout, want time.Duration }{
		{250 * time.Millisecond, 15 * time.Second, 250 * time.Millisecond},
		{time.Second, time.Second, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		if got := maxIdleTime(tt.dialTimeout, tt.workerIdleTimeout); got != tt.want {
			t.Errorf("dial timeout %v, worker idle timeout %v: %v, want %v",
				tt.dialTimeout, tt.workerIdleTimeout, got, tt.want)
		}
	}
}

// A connection that was idle for longer than the dial timeout is not reused, as it may be dead.
func TestConnectionIdleForTooLongIsNotReused(t *testing.T) {
	addr, commands := startRecordingWorker(t, respondOK)
	manual := clock.NewManual(time.Unix(1e9, 0))
	b := newTestBackend(t, addr, func(c *Config) {
		c.Clock = manual
		c.DialTimeout = 5 * time.Second
		c.PingAfter = time.Hour
	})
	for i, idle := range []time.Duration{0, 4 * time.Second, 6 * time.Second} {
		manual.Advance(idle)
		if r := sendAndWait(b, newAttempt(uint64(i+1))); r.Outcome != scheduler.OK {
			t.Fatalf("call %d: %v", i, r.Outcome)
		}
	}
	expectConns(t, commands, 0, 0, 1)
}

// If the idle connections of one worker use up the connection limit, one of them is closed to open
// the first connection to another worker. Connections in use are not closed.
func TestIdleConnectionIsEvictedForAnotherWorker(t *testing.T) {
	for _, tt := range []struct {
		name string
		busy bool
		want scheduler.Outcome
	}{
		{"idle", false, scheduler.OK},
		{"busy", true, scheduler.ConnectFailed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			const conns = 2
			release := make(chan struct{})
			addr, commands := startRecordingWorker(t, func(command fakeplatform.Command) []byte {
				<-release
				return respondOK(command)
			})
			b := newTestBackend(t, addr, func(c *Config) { c.MaxConns = conns })
			results := make(chan backend.Result, conns)
			for id := range uint64(conns) { // concurrent, so that each uses its own connection
				b.Send(newAttempt(id+1), func(r backend.Result) { results <- r })
			}
			if !tt.busy {
				close(release)
				for range conns {
					<-commands
					<-results
				}
			} else {
				waitFor(func() bool { return b.conns.Load() == conns })
			}
			other, _ := startRecordingWorker(t, respondOK)
			b.Update([]backend.Endpoint{endpoint(1, addr), endpoint(2, other)})
			if r := sendAndWait(b, newAttemptAt(2, 3)); r.Outcome != tt.want {
				t.Errorf("call to the other worker: %v, want %v", r.Outcome, tt.want)
			}
			if n := b.conns.Load(); n != conns {
				t.Errorf("%d connections, want %d", n, conns)
			}
			if tt.busy {
				close(release)
				for range conns {
					<-results
				}
			}
		})
	}
}

// The reset of an idle connection must not fail the next call.
func TestResetOfIdleConnectionFailsNoCall(t *testing.T) {
	conns := make(chan *net.TCPConn, 10)
	addr := startFakeWorker(t, func(_ int, c *net.TCPConn) {
		command, err := fakeplatform.ReadCommand(c)
		if err == nil {
			c.Write(fakeplatform.Response(codeOK, command.ID, "", "answer"))
			conns <- c
			readUntilClosed(c)
		}
	})
	b := newTestBackend(t, addr, nil)
	sendAndWait(b, newAttempt(1))
	c := <-conns
	c.SetLinger(0)
	c.Close()
	waitFor(func() bool { return b.Traffic()[0].Conns == 0 })
	if r := sendAndWait(b, newAttempt(2)); r.Outcome != scheduler.OK {
		t.Errorf("next call: %v", r.Outcome)
	}
	if lost := b.Counts.LostNew.Load() + b.Counts.LostUsed.Load(); lost != 0 {
		t.Errorf("%d connections lost with calls in flight", lost)
	}
}

// Guards against a call that is lost because its connection was closed as idle just as the call
// started on it.
func TestClosingIdleConnectionsLosesNoCall(t *testing.T) {
	addr := startFakeWorker(t, func(_ int, c *net.TCPConn) {
		fakeplatform.ReadCommands(c, func(command fakeplatform.Command) bool {
			c.Write(respondOK(command))
			return true
		})
	})
	b := newTestBackend(t, addr, func(c *Config) { c.MaxConns = 4 })
	stop := make(chan struct{})
	closing := make(chan struct{})
	go func() {
		defer close(closing)
		for {
			select {
			case <-stop:
				return
			default:
				b.CloseIdle(1)
			}
		}
	}()
	for id := range uint64(3000) {
		if r := sendAndWait(b, newAttempt(id)); r.Outcome == scheduler.Reset {
			t.Errorf("call %d was lost on a connection that was closed as idle", id)
			break
		}
	}
	close(stop)
	<-closing
}
