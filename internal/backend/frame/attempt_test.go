package frame

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

func TestNothingIsSentWithoutConnectionOrNeed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	b := start(t, ln.Addr().String(), nil)
	if r := run(b, newCall(1)); r.Outcome != scheduler.ConnectFailed {
		t.Errorf("nobody listens: %v", r.Outcome)
	}
	if r := run(b, newCallAt(77, 2)); r.Outcome != scheduler.NotStarted {
		t.Errorf("worker not listed: %v", r.Outcome)
	}

	addr, commands := startRecorder(t, ignore)
	b = start(t, addr, nil)
	unwanted := newCall(3)
	unwanted.MayStart = func() bool { return false }
	if r := run(b, unwanted); r.Outcome != scheduler.NotStarted {
		t.Errorf("unwanted: %v", r.Outcome)
	}
	b.Update([]backend.Endpoint{draining(1, addr)})
	if r := run(b, newCall(4)); r.Outcome != scheduler.NotStarted {
		t.Errorf("draining worker: %v", r.Outcome)
	}
	if outcome, _ := runLoad(b, 1); outcome != scheduler.NotStarted {
		t.Errorf("load order to a draining worker: %v", outcome)
	}
	if len(commands) > 0 {
		t.Errorf("a command came: %+v", <-commands)
	}
}

func TestCommandsOnTheWire(t *testing.T) {
	addr, commands := startRecorder(t, func(command fakeplatform.Command) []byte {
		if command.Code == codeLoad {
			return fakeplatform.Reply(codeOK, command.ID, "slots_up=2", "")
		}
		return nil
	})
	b := start(t, addr, nil)

	results := make(chan backend.Result, 1)
	call := newCall(0x2d41)
	call.IdempotencyKey = "5c0f"
	running := b.Send(call, func(r backend.Result) { results <- r })
	sent := <-commands
	if sent.Code != codeCall || sent.ID != 0x2d41 || sent.Body != "body" ||
		!strings.HasPrefix(sent.Fields, "c=lookup,k=7f3a9c21e0b4d655,w=") ||
		!strings.HasSuffix(sent.Fields, ",i=5c0f") {
		t.Errorf("call: %+v", sent)
	}
	running.Cancel()
	if sent := <-commands; sent.Code != codeCancel || sent.ID != 0x2d41 {
		t.Errorf("cancelled: %+v", sent)
	}
	if r := <-results; r.Outcome != scheduler.Cancelled {
		t.Errorf("cancelled: %v", r.Outcome)
	}
	running.Cancel() // twice does nothing

	if _, copies := runLoad(b, 2); copies != 2 {
		t.Errorf("%d copies loaded", copies)
	}
	if sent := <-commands; sent.Code != codeLoad || sent.Fields != "k=7f3a9c21e0b4d655,slots_up=2" {
		t.Errorf("load order: %+v", sent)
	}
	b.Unload(1, testFunction)
	if sent := <-commands; sent.Code != codeUnload || sent.ID != 0x7f3a9c21e0b4d655 || sent.Fields != "" {
		t.Errorf("unload: %+v", sent)
	}
}

func TestCallWithoutAnswerTimesOutAndIsCancelled(t *testing.T) {
	addr, commands := startRecorder(t, ignore)
	b := start(t, addr, nil)
	results := make(chan backend.Result, 1)
	running := b.Send(newCall(1), func(r backend.Result) { results <- r })
	<-commands // the connection is up: opening it may take longer than the next call has
	running.Cancel()
	<-results
	<-commands

	call := newCall(9)
	call.Timeout = time.Millisecond
	if r := run(b, call); r.Outcome != scheduler.TimedOut {
		t.Errorf("outcome %v", r.Outcome)
	}
	sent, cancelled := <-commands, <-commands
	if sent.Code != codeCall || cancelled.Code != codeCancel || cancelled.ID != 9 {
		t.Errorf("%+v, %+v", sent, cancelled)
	}
}

// A late second copy of "at capacity" must not end the repeat of the same call at the same worker.
func TestRepeatOfCallUsesAnotherConnection(t *testing.T) {
	repeated := make(chan struct{})
	conns := make(chan int, 10)
	addr := startInvoker(t, func(n int, c *net.TCPConn) {
		command, err := fakeplatform.ReadCommand(c)
		if err != nil {
			return
		}
		conns <- n
		if n == 0 {
			c.Write(fakeplatform.Reply(codeAtCapacity, command.ID, "", ""))
			<-repeated
			c.Write(fakeplatform.Reply(codeAtCapacity, command.ID, "", ""))
			drain(c)
			return
		}
		close(repeated)
		c.Write(fakeplatform.Reply(codeOK, command.ID, "", "answer"))
		drain(c)
	})
	b := start(t, addr, nil)
	if r := run(b, newCall(7)); r.Outcome != scheduler.AtCapacity {
		t.Fatalf("first: %v", r.Outcome)
	}
	if r := run(b, newCall(7)); r.Outcome != scheduler.OK {
		t.Errorf("repeat: %v", r.Outcome)
	}
	if first, second := <-conns, <-conns; first == second {
		t.Error("both were sent on one connection")
	}
}

func TestLateAnswerBelongsToNoCall(t *testing.T) {
	addr, _ := startRecorder(t, func(command fakeplatform.Command) []byte {
		switch command.ID {
		case 1:
			return nil
		case 2:
			return append(fakeplatform.Reply(codeOK, 1, "", "late"), serve(command)...)
		}
		return serve(command)
	})
	b := start(t, addr, nil)
	run(b, newCall(3)) // the connection is up: opening it may take longer than the next call has
	late := newCall(1)
	late.Timeout = time.Millisecond
	if r := run(b, late); r.Outcome != scheduler.TimedOut {
		t.Fatalf("no answer in time: %v", r.Outcome)
	}
	if r := run(b, newCall(2)); string(r.Body) != "answer" {
		t.Errorf("the next call: %v, %q", r.Outcome, r.Body)
	}
	if opened, strays := b.Counts.Opened.Load(), b.Counts.Strays.Load(); opened != 1 || strays != 1 {
		t.Errorf("%d connections, %d strays, want 1 and 1", opened, strays)
	}
}

// A call whose first byte was sent before its worker began to drain arrives complete; none begins afterwards, also
// not one that finds no room in the kernel's buffers.
func TestCallHalfSentWhenWorkerDrainsArrivesComplete(t *testing.T) {
	const size = 32 << 20 // more than the kernel's buffers hold
	begin := make(chan struct{})
	commands := make(chan fakeplatform.Command, 100)
	addr := startInvoker(t, func(_ int, c *net.TCPConn) {
		<-begin
		fakeplatform.Commands(c, func(command fakeplatform.Command) bool {
			commands <- command
			c.Write(serve(command))
			return true
		})
	})
	b := start(t, addr, func(c *Config) {
		c.MaxConns = 1
		c.MaxBody = 2 * size
	})
	large := newCall(1)
	large.Body = make([]byte, size)
	results := make(chan backend.Result, 2)
	b.Send(large, func(r backend.Result) { results <- r })
	waitFor(func() bool { return b.Traffic()[0].InFlight > 0 })
	b.Update([]backend.Endpoint{draining(1, addr)})
	if r := run(b, newCall(2)); r.Outcome != scheduler.NotStarted && r.Outcome != scheduler.ConnectFailed {
		t.Errorf("a call after the drain: %v", r.Outcome)
	}
	close(begin)
	if r := <-results; r.Outcome != scheduler.OK {
		t.Errorf("half sent: %v", r.Outcome)
	}
	if sent := <-commands; sent.ID != 1 || len(sent.Body) != size || len(commands) > 0 {
		t.Errorf("%d arrived with %d bytes, and %d more", sent.ID, len(sent.Body), len(commands))
	}
}

// A connection that comes up when its attempt is no longer wanted there carries nothing of it.
func TestNothingIsSentIfUnwantedWhenConnectionComesUp(t *testing.T) {
	type dialing struct {
		backend *Backend
		running backend.RunningAttempt
		wanted  *atomic.Bool
		addr    string
	}
	tests := []struct {
		name  string
		event func(dialing)
		kept  bool // the connection, for the next attempt
	}{
		{"cancelled", func(d dialing) { d.running.Cancel() }, true},
		{"unwanted", func(d dialing) { d.wanted.Store(false) }, true},
		{"the worker drains", func(d dialing) {
			d.backend.Update([]backend.Endpoint{draining(1, d.addr)})
		}, false},
		{"the worker is gone", func(d dialing) { d.backend.Update(nil) }, false},
		{"another is at its address", func(d dialing) {
			d.backend.Update([]backend.Endpoint{endpoint(2, d.addr)})
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr, commands := startRecorder(t, serve)
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
			call := newCall(1)
			call.MayStart = wanted.Load
			results := make(chan backend.Result, 1)
			running := b.Send(call, func(r backend.Result) { results <- r })
			<-dialling
			tt.event(dialing{b, running, &wanted, addr})
			close(up)
			if r := <-results; r.Outcome != scheduler.NotStarted {
				t.Errorf("%v, want NotStarted", r.Outcome)
			}
			b.check()
			if !tt.kept {
				waitFor(func() bool { return b.conns.Load() == 0 }) // its reading goroutine has ended
			}
			if n := b.conns.Load(); tt.kept != (n == 1) {
				t.Errorf("%d connections kept", n)
			}
			b.Close()
			if len(commands) > 0 {
				t.Errorf("%+v came", <-commands)
			}
		})
	}
}
