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

func TestPick(t *testing.T) {
	lim := limits{maxConns: 2, maxInFlight: 2, maxIdle: time.Second}
	tests := []struct {
		name      string
		conns     []connState
		dialing   int
		now       time.Duration
		want      placement
		wantIndex int
	}{
		{"there is none", nil, 0, 0, openConn, 0},
		{"the idle one used last", []connState{{lastUsed: 5}, {lastUsed: 7}}, 0, 9, useConn, 1},
		{"idle for too long", []connState{{lastUsed: 0}}, 0, 2 * time.Second, openConn, 0},
		{"suspect", []connState{{suspect: true}}, 0, 0, openConn, 0},
		{"it knows the id", []connState{{knowsID: true}}, 0, 0, openConn, 0},
		{"a new one rather than a shared one", []connState{{inFlight: 1}}, 0, 0, openConn, 0},
		{"shared if no more may be opened", []connState{{inFlight: 1}}, 1, 0, useConn, 0},
		{"the one with the fewest exchanges", []connState{{inFlight: 2}, {inFlight: 1}}, 0, 0, useConn, 1},
		{"all full", []connState{{inFlight: 2}, {inFlight: 2}}, 0, 0, noConn, 0},
		{"none may be used", []connState{{suspect: true}, {knowsID: true}}, 0, 0, noConn, 0},
	}
	for _, tt := range tests {
		placed, index := pick(tt.conns, tt.dialing, lim, tt.now)
		if placed != tt.want || index != tt.wantIndex {
			t.Errorf("%s: %v %d, want %v %d", tt.name, placed, index, tt.want, tt.wantIndex)
		}
	}
}

// A new worker at the address of one that is gone is reached on connections of its own.
func TestWorkersAtOneAddressShareNoConnection(t *testing.T) {
	addr, commands := startRecorder(t, serve)
	b := start(t, addr, nil)
	run(b, newCall(1))
	run(b, newCall(2))
	b.Update([]backend.Endpoint{endpoint(2, addr)})
	if r := run(b, newCallAt(2, 3)); r.Outcome != scheduler.OK {
		t.Errorf("new worker: %v", r.Outcome)
	}
	expectConns(t, commands, 0, 0, 1)
}

func TestMaxIdleTime(t *testing.T) {
	tests := []struct{ dialTimeout, workersIdle, want time.Duration }{
		{250 * time.Millisecond, 15 * time.Second, 250 * time.Millisecond},
		{time.Second, time.Second, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		if got := maxIdleTime(tt.dialTimeout, tt.workersIdle); got != tt.want {
			t.Errorf("dial %v, workers' idle time %v: %v, want %v", tt.dialTimeout, tt.workersIdle, got, tt.want)
		}
	}
}

// A connection that was idle for longer than another takes to open is not used again.
func TestConnectionIdleForTooLongIsNotUsedAgain(t *testing.T) {
	addr, commands := startRecorder(t, serve)
	manual := clock.NewManual(time.Unix(1e9, 0))
	b := start(t, addr, func(c *Config) {
		c.Clock = manual
		c.DialTimeout = 5 * time.Second
		c.PingAfter = time.Hour
	})
	for i, idle := range []time.Duration{0, 4 * time.Second, 6 * time.Second} {
		manual.Advance(idle)
		if r := run(b, newCall(uint64(i+1))); r.Outcome != scheduler.OK {
			t.Fatalf("call %d: %v", i, r.Outcome)
		}
	}
	expectConns(t, commands, 0, 0, 1)
}

// If all connections that may be open are idle at one worker, one of them is closed for another worker's first; if
// they are in use, none is.
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
			answer := make(chan struct{})
			addr, commands := startRecorder(t, func(command fakeplatform.Command) []byte {
				<-answer
				return serve(command)
			})
			b := start(t, addr, func(c *Config) { c.MaxConns = conns })
			results := make(chan backend.Result, conns)
			for id := range uint64(conns) { // both at once: each on a connection of its own
				b.Send(newCall(id+1), func(r backend.Result) { results <- r })
			}
			if !tt.busy {
				close(answer)
				for range conns {
					<-commands
					<-results
				}
			} else {
				waitFor(func() bool { return b.conns.Load() == conns })
			}
			other, _ := startRecorder(t, serve)
			b.Update([]backend.Endpoint{endpoint(1, addr), endpoint(2, other)})
			if r := run(b, newCallAt(2, 3)); r.Outcome != tt.want {
				t.Errorf("the other worker's call: %v, want %v", r.Outcome, tt.want)
			}
			if n := b.conns.Load(); n != conns {
				t.Errorf("%d connections, want %d", n, conns)
			}
			if tt.busy {
				close(answer)
				for range conns {
					<-results
				}
			}
		})
	}
}

// An idle connection that is reset is not used again, and nothing is lost by it.
func TestResetOfIdleConnectionLosesNothing(t *testing.T) {
	conns := make(chan *net.TCPConn, 10)
	addr := startInvoker(t, func(_ int, c *net.TCPConn) {
		command, err := fakeplatform.ReadCommand(c)
		if err == nil {
			c.Write(fakeplatform.Reply(codeOK, command.ID, "", "answer"))
			conns <- c
			drain(c)
		}
	})
	b := start(t, addr, nil)
	run(b, newCall(1))
	c := <-conns
	c.SetLinger(0)
	c.Close()
	waitFor(func() bool { return b.Traffic()[0].Conns == 0 })
	if r := run(b, newCall(2)); r.Outcome != scheduler.OK {
		t.Errorf("next call: %v", r.Outcome)
	}
	if lost := b.Counts.LostNew.Load() + b.Counts.LostUsed.Load(); lost != 0 {
		t.Errorf("%d connections lost with calls in flight", lost)
	}
}
