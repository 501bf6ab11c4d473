package frame

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

// TestRoomForNew: where all connections that may be open are idle at one worker, one of them makes room for another worker's
// first; where they are in use, none does.
func TestRoomForNew(t *testing.T) {
	for _, busy := range []bool{false, true} {
		answer := make(chan struct{})
		addr, commands := recorded(t, func(g fakeplatform.Command) []byte {
			<-answer
			return serves(g)
		})
		b := start(t, addr, func(c *Config) { c.Conns = 2 })
		over := make(chan backend.Result, 2)
		for id := range uint64(2) { // both at once: each has a connection of its own
			b.Send(call(id+1), func(r backend.Result) { over <- r })
		}
		if !busy {
			close(answer)
			<-commands
			<-commands
			<-over
			<-over
		} else {
			for b.held.Load() < 2 {
				runtime.Gosched()
			}
		}
		other, _ := recorded(t, serves)
		b.Update([]backend.Endpoint{{ID: 1, Name: "w", Network: "tcp", Addr: addr, Ready: true}, {ID: 2, Name: "new", Network: "tcp", Addr: other, Ready: true}})
		a := call(3)
		a.Worker = 2
		want := scheduler.OK
		if busy {
			want = scheduler.ConnectFailed
		}
		if r := run(b, a); r.Outcome != want {
			t.Errorf("busy %v: the new worker's call ends as %v, want %v", busy, r.Outcome, want)
		}
		if n := b.held.Load(); n != 2 {
			t.Errorf("busy %v: %d connections, want 2", busy, n)
		}
		if busy {
			close(answer)
			<-over
			<-over
		}
	}
}

// TestUpTooLate: a connection that comes up when its attempt is no longer wanted there carries nothing of it.
func TestUpTooLate(t *testing.T) {
	tests := []struct {
		name string
		then func(*Backend, backend.Running, *atomic.Bool, string)
		kept bool // the connection, for whoever comes next
	}{
		{"given up", func(_ *Backend, r backend.Running, _ *atomic.Bool, _ string) { r.Cancel() }, true},
		{"unwanted", func(_ *Backend, _ backend.Running, wanted *atomic.Bool, _ string) { wanted.Store(false) }, true},
		{"the worker drains", func(b *Backend, _ backend.Running, _ *atomic.Bool, addr string) {
			b.Update([]backend.Endpoint{{ID: 1, Name: "w", Network: "tcp", Addr: addr}})
		}, false},
		{"the worker is gone", func(b *Backend, _ backend.Running, _ *atomic.Bool, _ string) { b.Update(nil) }, false},
		{"another is at its address", func(b *Backend, _ backend.Running, _ *atomic.Bool, addr string) {
			b.Update([]backend.Endpoint{{ID: 2, Name: "new", Network: "tcp", Addr: addr, Ready: true}})
		}, false},
	}
	for _, tt := range tests {
		addr, commands := recorded(t, serves)
		dialling, up := make(chan struct{}), make(chan struct{})
		b := start(t, addr, func(c *Config) {
			c.Dial = func(_ context.Context, network, addr string) (net.Conn, error) { // it comes up however late
				close(dialling)
				<-up
				return net.Dial(network, addr)
			}
		})
		var wanted atomic.Bool
		wanted.Store(true)
		a := call(1)
		a.Wanted = wanted.Load
		over := make(chan backend.Result, 1)
		r := b.Send(a, func(r backend.Result) { over <- r })
		<-dialling
		tt.then(b, r, &wanted, addr)
		close(up)
		if r := <-over; r.Outcome != scheduler.NotStarted {
			t.Errorf("%s: %v, want moot", tt.name, r.Outcome)
		}
		b.check()
		for !tt.kept && b.held.Load() > 0 { // until its reader has ended
			runtime.Gosched()
		}
		if n := b.held.Load(); tt.kept != (n == 1) {
			t.Errorf("%s: %d connections kept", tt.name, n)
		}
		b.Close()
		if len(commands) > 0 {
			t.Errorf("%s: %+v came", tt.name, <-commands)
		}
	}
}

// TestIdleReset: an idle connection that is reset is not used again, and nothing is lost by it.
func TestIdleReset(t *testing.T) {
	conns := make(chan *net.TCPConn, 10)
	addr := invoker(t, func(_ int, c *net.TCPConn) {
		g, err := readCommand(c)
		if err == nil {
			c.Write(reply(codeOK, g.ID, "", "answer"))
			conns <- c
			hold(c)
		}
	})
	b := start(t, addr, nil)
	run(b, call(1))
	c := <-conns
	c.SetLinger(0)
	c.Close()
	for b.Seen()[0].Conns > 0 {
		time.Sleep(time.Millisecond)
	}
	if r := run(b, call(2)); r.Outcome != scheduler.OK || b.Counts.LostNew.Load()+b.Counts.LostUsed.Load() != 0 {
		t.Errorf("%v, %d lost", r.Outcome, b.Counts.LostNew.Load()+b.Counts.LostUsed.Load())
	}
}
