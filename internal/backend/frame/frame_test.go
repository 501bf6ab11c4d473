package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/backend"
	"kitehub/internal/clock"
	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

var reply, readCommand = fakeplatform.Reply, fakeplatform.ReadCommand

func invoker(t *testing.T, script func(n int, c *net.TCPConn)) (addr string) {
	t.Helper()
	ln, err := fakeplatform.Invoke(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// recorded is an invoker that answers each command as told, and hands over what came.
func recorded(t *testing.T, answer func(fakeplatform.Command) []byte) (addr string, commands <-chan fakeplatform.Command) {
	t.Helper()
	ln, commands, err := fakeplatform.Record(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String(), commands
}

// serves answers every call, and nothing else.
func serves(g fakeplatform.Command) []byte {
	if g.Code != codeCall {
		return nil
	}
	return reply(codeOK, g.ID, "", "answer")
}

func mute(fakeplatform.Command) []byte { return nil }

func start(t *testing.T, addr string, change func(*Config)) *Backend {
	t.Helper()
	cfg := Config{Clock: clock.System(), Within: 5 * time.Second, Idle: time.Hour, Streams: 100, Conns: 8, MostBody: 64 << 10, Patience: time.Hour,
		Forget: time.Hour, Order: 20 * time.Second, Log: zerolog.Nop()}
	if change != nil {
		change(&cfg)
	}
	b := New(cfg)
	t.Cleanup(b.Close)
	b.Update([]backend.Endpoint{{ID: 1, Name: "w", Network: "tcp", Addr: addr, Ready: true}})
	return b
}

func call(id uint64) backend.Attempt {
	return backend.Attempt{Worker: 1, Call: fmt.Sprintf("%016x", id), Class: "lookup", Function: "7f3a9c21e0b4d655", Body: []byte("body"), Timeout: 20 * time.Second}
}

func run(b *Backend, a backend.Attempt) backend.Result {
	c := make(chan backend.Result, 1)
	b.Send(a, func(r backend.Result) { c <- r })
	return <-c
}

// hold keeps a connection open and reads on until the other side closes it.
func hold(c net.Conn) { io.Copy(io.Discard, c) }

func TestEnds(t *testing.T) {
	const id = 0x9b1f03aa5c7e2d41
	write := func(b ...[]byte) func(*net.TCPConn) {
		return func(c *net.TCPConn) { c.Write(bytes.Join(b, nil)); hold(c) }
	}
	bad := func(change func([]byte)) []byte {
		b := reply(codeOK, id, "note=resident", "answer")
		change(b)
		return b
	}
	ok := reply(codeOK, id, "note=booted,company=3,load=queue:2;util:0.5", "answer")
	tests := []struct {
		name string
		then func(*net.TCPConn)
		want scheduler.Outcome
	}{
		{"ok", write(ok), scheduler.OK},
		{"ok in single bytes", func(c *net.TCPConn) {
			for i := range ok {
				c.Write(ok[i : i+1])
			}
			hold(c)
		}, scheduler.OK},
		{"miss", write(reply(codeMiss, id, "note=boot_error", "")), scheduler.NotLoaded},
		{"full", write(reply(codeFull, id, "company=9", "")), scheduler.AtCapacity},
		{"over already", write(reply(codeOver, id, "", "")), scheduler.NotStarted},
		{"error", write(reply(codeError, id, "", "")), scheduler.Error},
		{"a second copy", write(ok, ok), scheduler.OK},
		{"an answer to an unknown id ahead", write(reply(codeFull, 5, "", ""), ok), scheduler.OK},
		{"a pong that nobody asked for", write(reply(codePong, id, "", ""), ok), scheduler.OK},
		{"an answer with a code that answers no call", write(reply(71, id, "", ""), ok), scheduler.Reset},
		{"a bad check", write(bad(func(b []byte) { b[len(b)-1] ^= 1 })), scheduler.Reset},
		{"a changed body", write(bad(func(b []byte) { b[headSize+15] ^= 1 })), scheduler.Reset},
		{"a wrong mark", write(bad(func(b []byte) { b[0] = markCommand })), scheduler.Reset},
		{"3 GB by its head", write(bad(func(b []byte) { binary.BigEndian.PutUint32(b[4:], 3<<30) }), make([]byte, 1<<20)), scheduler.Reset},
		{"fields over the bound", write(bad(func(b []byte) { binary.BigEndian.PutUint16(b[2:], 0xffff) })), scheduler.Reset},
		{"noise", write([]byte("HTTP/1.1 200 OK\r\n\r\n")), scheduler.Reset},
		{"cut short", func(c *net.TCPConn) { c.Write(ok[:len(ok)-3]) }, scheduler.Reset},
		{"closed", func(*net.TCPConn) {}, scheduler.Reset},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0) }, scheduler.Reset},
		{"full, then noise", write(reply(codeFull, id, "", ""), []byte("noise")), scheduler.AtCapacity},
	}
	for _, tt := range tests {
		addr := invoker(t, func(_ int, c *net.TCPConn) {
			if _, err := readCommand(c); err == nil {
				tt.then(c)
			}
		})
		b := start(t, addr, func(c *Config) { c.Report = []scheduler.ReportField{scheduler.FieldUtil, scheduler.FieldQueue} })
		r := run(b, call(id))
		if r.Outcome != tt.want || (r.Outcome == scheduler.OK) != (string(r.Body) == "answer") {
			t.Errorf("%s: %v, body %q, want outcome %v", tt.name, r.Outcome, r.Body, tt.want)
		}
		if tt.name == "ok" && (r.Note != scheduler.StartedLoad || r.Alike != 3 || len(r.Report) != 2 || r.Report[0] != 0.5 || r.Report[1] != 2) {
			t.Errorf("%s: %+v", tt.name, r)
		}
	}
}

func TestNeverOut(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := ln.Addr().String()
	ln.Close()
	b := start(t, nobody, nil)
	if r := run(b, call(1)); r.Outcome != scheduler.ConnectFailed {
		t.Errorf("nobody listens: %v", r.Outcome)
	}
	a := call(2)
	a.Worker = 77
	if r := run(b, a); r.Outcome != scheduler.NotStarted {
		t.Errorf("a worker that is not listed: %v", r.Outcome)
	}
	addr, commands := recorded(t, mute)
	b = start(t, addr, nil)
	a = call(3)
	a.Wanted = func() bool { return false }
	if r := run(b, a); r.Outcome != scheduler.NotStarted {
		t.Errorf("unwanted: %v", r.Outcome)
	}
	b.Update([]backend.Endpoint{{ID: 1, Name: "w", Network: "tcp", Addr: addr}})
	if r := run(b, call(4)); r.Outcome != scheduler.NotStarted {
		t.Errorf("a worker that drains: %v", r.Outcome)
	}
	held := make(chan scheduler.Outcome, 1)
	b.LoadCopies(backend.LoadOrder{Worker: 1, Function: "7f3a9c21e0b4d655", Copies: 1}, func(o scheduler.Outcome, _ int, _ time.Duration) { held <- o })
	if o := <-held; o != scheduler.NotStarted {
		t.Errorf("an order to a worker that drains: %v", o)
	}
	if len(commands) > 0 {
		t.Errorf("it came: %+v", <-commands)
	}
}

func TestWire(t *testing.T) {
	addr, commands := recorded(t, func(g fakeplatform.Command) []byte {
		if g.Code == codeHold {
			return reply(codeOK, g.ID, "slots_up=2", "")
		}
		return nil
	})
	b := start(t, addr, nil)
	over := make(chan backend.Result, 1)
	a := call(0x2d41)
	a.Key = "5c0f"
	r := b.Send(a, func(r backend.Result) { over <- r })
	g := <-commands
	if g.Code != codeCall || g.ID != 0x2d41 || g.Body != "body" || g.Fields[:30] != "c=lookup,k=7f3a9c21e0b4d655,w=" || g.Fields[len(g.Fields)-7:] != ",i=5c0f" {
		t.Errorf("%+v", g)
	}
	r.Cancel()
	if g := <-commands; g.Code != codeGiveUp || g.ID != 0x2d41 {
		t.Errorf("given up: %+v", g)
	}
	if r := <-over; r.Outcome != scheduler.Cancelled {
		t.Errorf("given up: %v", r.Outcome)
	}
	r.Cancel() // twice does nothing
	copies := make(chan int, 1)
	b.LoadCopies(backend.LoadOrder{Worker: 1, Function: "7f3a9c21e0b4d655", Copies: 2}, func(o scheduler.Outcome, n int, _ time.Duration) { copies <- n })
	if g := <-commands; g.Code != codeHold || g.Fields != "k=7f3a9c21e0b4d655,slots_up=2" {
		t.Errorf("order: %+v", g)
	}
	if n := <-copies; n != 2 {
		t.Errorf("%d copies stand", n)
	}
	b.Unload(1, "7f3a9c21e0b4d655")
	if g := <-commands; g.Code != codeUnload || g.ID != 0x7f3a9c21e0b4d655 || g.Fields != "" {
		t.Errorf("unload: %+v", g)
	}
	a = call(9)
	a.Timeout = time.Millisecond
	if r := run(b, a); r.Outcome != scheduler.TimedOut {
		t.Errorf("no answer: %v", r.Outcome)
	}
	if g, g2 := <-commands, <-commands; g.Code != codeCall || g2.Code != codeGiveUp || g2.ID != 9 {
		t.Errorf("no answer: %+v, %+v", g, g2)
	}
}

// TestRepeat: the late second copy of "full" must not end the repeat of the same request at the same worker.
func TestRepeat(t *testing.T) {
	second := make(chan struct{})
	conns := make(chan int, 10)
	addr := invoker(t, func(n int, c *net.TCPConn) {
		g, err := readCommand(c)
		if err != nil {
			return
		}
		conns <- n
		if n == 0 {
			c.Write(reply(codeFull, g.ID, "", ""))
			<-second
			c.Write(reply(codeFull, g.ID, "", ""))
			hold(c)
			return
		}
		close(second)
		c.Write(reply(codeOK, g.ID, "", "answer"))
		hold(c)
	})
	b := start(t, addr, nil)
	if r := run(b, call(7)); r.Outcome != scheduler.AtCapacity {
		t.Fatalf("first: %v", r.Outcome)
	}
	if r := run(b, call(7)); r.Outcome != scheduler.OK {
		t.Errorf("repeat: %v", r.Outcome)
	}
	if a, c := <-conns, <-conns; a == c {
		t.Error("both went on one connection")
	}
}

// TestSilence: a slow worker's connection answers pings; a dead one, or one stuck in the middle of an answer, does not.
func TestSilence(t *testing.T) {
	tests := []struct {
		name   string
		answer func(fakeplatform.Command) []byte
		want   scheduler.Outcome
	}{
		{"slow, but its connection works", func(g fakeplatform.Command) []byte {
			if g.Code == codeCall {
				return nil
			}
			return reply(codePong, g.ID, "", "")
		}, scheduler.OK},
		{"dead", mute, scheduler.Reset},
		{"stuck in the middle of an answer", func(g fakeplatform.Command) []byte {
			if g.Code == codeCall {
				return reply(codeOK, g.ID, "", "answer")[:20]
			}
			return reply(codePong, g.ID, "", "")
		}, scheduler.Reset},
	}
	for _, tt := range tests {
		pings := 0
		addr, commands := recorded(t, func(g fakeplatform.Command) []byte {
			if g.Code == codePing {
				if pings++; pings == 3 && tt.want == scheduler.OK {
					return append(tt.answer(g), reply(codeOK, 7, "", "answer")...)
				}
			}
			return tt.answer(g)
		})
		clk := clock.NewManual(time.Unix(1e9, 0))
		b := start(t, addr, func(c *Config) { c.Clock, c.Patience = clk, time.Minute })
		over := make(chan backend.Result, 1)
		b.Send(call(7), func(r backend.Result) { over <- r })
		<-commands
		for i := 0; i < 3 && len(over) == 0; i++ {
			clk.Advance(61 * time.Second)
			b.check()
			if i == 0 || tt.want == scheduler.OK {
				<-commands
			}
			for c := b.peers[1].list(); tt.want == scheduler.OK && len(c) > 0 && c[0].view(0).suspect; {
				time.Sleep(time.Millisecond) // until the pong is read
			}
		}
		if r := <-over; r.Outcome != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, r.Outcome, tt.want)
		}
	}
}

// TestSameAddress: a new worker at the address of one that is gone is reached by connections of its own.
func TestSameAddress(t *testing.T) {
	addr, commands := recorded(t, serves)
	b := start(t, addr, nil)
	run(b, call(1))
	run(b, call(2))
	b.Update([]backend.Endpoint{{ID: 2, Name: "new", Network: "tcp", Addr: addr, Ready: true}})
	a := call(3)
	a.Worker = 2
	if r := run(b, a); r.Outcome != scheduler.OK {
		t.Errorf("new worker: %v", r.Outcome)
	}
	if x, y, z := (<-commands).Conn, (<-commands).Conn, (<-commands).Conn; x != 0 || y != 0 || z != 1 {
		t.Errorf("connections %d, %d and %d, want 0, 0 and 1", x, y, z)
	}
}

func TestPick(t *testing.T) {
	lim := limits{most: 2, streams: 2, lifeIdle: time.Second}
	tests := []struct {
		name      string
		l         []view
		dialling  int
		now, want time.Duration
	}{
		{"none yet", nil, 0, 0, dialOne},
		{"the idle one used last", []view{{since: 5}, {since: 7}}, 0, 9, 1},
		{"idle too long", []view{{since: 0}}, 0, 2 * time.Second, dialOne},
		{"suspect", []view{{suspect: true}}, 0, 0, dialOne},
		{"it knows the id", []view{{knows: true}}, 0, 0, dialOne},
		{"one of its own rather than a shared one", []view{{out: 1}}, 0, 0, dialOne},
		{"shared where no more may be opened", []view{{out: 1}}, 1, 0, 0},
		{"the emptiest", []view{{out: 2}, {out: 1}}, 0, 0, 1},
		{"all streams taken", []view{{out: 2}, {out: 2}}, 0, 0, noPlace},
		{"all suspect", []view{{suspect: true}, {knows: true}}, 0, 0, noPlace},
	}
	for _, tt := range tests {
		if got := pick(tt.l, tt.dialling, lim, tt.now); got != int(tt.want) {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
	}
}

// TestTrusted: a connection that lay idle for longer than a new one takes to open is not risked.
func TestTrusted(t *testing.T) {
	if got := trusted(250*time.Millisecond, 15*time.Second); got != 250*time.Millisecond {
		t.Errorf("idle for %v it is still used", got)
	}
	if got := trusted(time.Second, time.Second); got != 500*time.Millisecond {
		t.Errorf("idle for %v, where workers close after 1s, it is still used", got)
	}
	addr, commands := recorded(t, serves)
	clk := clock.NewManual(time.Unix(1e9, 0))
	b := start(t, addr, func(c *Config) { c.Clock, c.Within, c.Patience = clk, 5*time.Second, time.Hour })
	for i, after := range []time.Duration{0, 4 * time.Second, 6 * time.Second} {
		clk.Advance(after)
		if r := run(b, call(uint64(i+1))); r.Outcome != scheduler.OK {
			t.Fatalf("call %d: %v", i, r.Outcome)
		}
	}
	if x, y, z := (<-commands).Conn, (<-commands).Conn, (<-commands).Conn; x != 0 || y != 0 || z != 1 {
		t.Errorf("connections %d, %d and %d, want 0, 0 and 1", x, y, z)
	}
}

func TestSilent(t *testing.T) {
	tests := []struct {
		now, heard, asked time.Duration
		want              verdict
	}{{10, 5, 0, leave}, {16, 5, 0, askIt}, {26, 5, 16, leave}, {27, 5, 16, endIt}, {40, 39, 0, leave}}
	for _, tt := range tests {
		if got := silent(tt.now, tt.heard, tt.asked, 10); got != tt.want {
			t.Errorf("%v: %v", tt, got)
		}
	}
}

// FuzzReadAnswer: whatever comes, what is taken is what a worker could have framed.
func FuzzReadAnswer(f *testing.F) {
	f.Add(reply(codeOK, 7, "note=resident", "answer"))
	f.Add(reply(codePong, 7, "", "")[:17])
	f.Fuzz(func(t *testing.T, in []byte) {
		var a answer
		if readAnswer(bufio.NewReader(bytes.NewReader(in)), 1000, &a) != nil {
			return
		}
		parseFields(a.text, []scheduler.ReportField{scheduler.FieldUtil})
		if again := reply(a.code, a.id, a.text, string(a.body)); !bytes.HasPrefix(in, again) {
			t.Errorf("%x was read as %x", in, again)
		}
	})
}

// TestSuspicion: nothing new goes on a connection whose ping is out, also when what was open on it has been given up.
func TestSuspicion(t *testing.T) {
	addr, commands := recorded(t, func(g fakeplatform.Command) []byte {
		if g.Conn > 0 {
			return serves(g)
		}
		return nil
	})
	clk := clock.NewManual(time.Unix(1e9, 0))
	b := start(t, addr, func(c *Config) { c.Clock, c.Patience = clk, time.Minute })
	over := make(chan backend.Result, 1)
	first := b.Send(call(1), func(r backend.Result) { over <- r })
	<-commands
	clk.Advance(61 * time.Second)
	b.check()
	if g := <-commands; g.Code != codePing {
		t.Fatalf("%+v, want a ping", g)
	}
	if r, g := run(b, call(2)), <-commands; r.Outcome != scheduler.OK || g.Conn == 0 {
		t.Errorf("beside it: %v on connection %d", r.Outcome, g.Conn)
	}
	first.Cancel()
	<-over
	<-commands // its end
	b.check()
	if r, g := run(b, call(3)), <-commands; r.Outcome != scheduler.OK || g.Conn == 0 {
		t.Errorf("after its call was given up: %v on connection %d", r.Outcome, g.Conn)
	}
	clk.Advance(61 * time.Second)
	b.check()
	for b.Seen()[0].Conns > 1 { // the dead one is ended, and its reader ends soon after
		time.Sleep(time.Millisecond)
	}
}

// TestHalfWritten: a call whose first byte went out before its worker began to drain comes whole; none begins afterwards, also
// not one that found no room in the kernel's buffers.
func TestHalfWritten(t *testing.T) {
	begin, commands := make(chan struct{}), make(chan fakeplatform.Command, 100)
	addr := invoker(t, func(_ int, c *net.TCPConn) {
		<-begin
		fakeplatform.Commands(c, func(g fakeplatform.Command) bool {
			commands <- g
			c.Write(serves(g))
			return true
		})
	})
	b := start(t, addr, func(c *Config) { c.Conns, c.MostBody = 1, 64<<20 })
	a := call(1)
	a.Body = make([]byte, 32<<20) // more than the kernel holds
	over := make(chan backend.Result, 2)
	b.Send(a, func(r backend.Result) { over <- r })
	for b.Seen()[0].Open == 0 {
		time.Sleep(time.Millisecond)
	}
	b.Update([]backend.Endpoint{{ID: 1, Name: "w", Network: "tcp", Addr: addr}})
	if r := run(b, call(2)); r.Outcome != scheduler.NotStarted && r.Outcome != scheduler.ConnectFailed {
		t.Errorf("a call after the drain: %v", r.Outcome)
	}
	close(begin)
	if r := <-over; r.Outcome != scheduler.OK {
		t.Errorf("half written: %v", r.Outcome)
	}
	if g := <-commands; g.ID != 1 || len(g.Body) != 32<<20 || len(commands) > 0 {
		t.Errorf("came: %d with %d bytes, and %d more", g.ID, len(g.Body), len(commands))
	}
}

// TestLateAnswer: an answer after its time, on a connection used again, is nobody's.
func TestLateAnswer(t *testing.T) {
	addr, _ := recorded(t, func(g fakeplatform.Command) []byte {
		switch g.ID {
		case 1:
			return nil
		case 2:
			return append(reply(codeOK, 1, "", "late"), serves(g)...)
		}
		return serves(g)
	})
	b := start(t, addr, nil)
	run(b, call(3)) // the connection stands: to open it may take longer than the call that is to be late has
	a := call(1)
	a.Timeout = time.Millisecond
	if r := run(b, a); r.Outcome != scheduler.TimedOut {
		t.Fatalf("no answer in time: %v", r.Outcome)
	}
	if r := run(b, call(2)); string(r.Body) != "answer" || b.Counts.Opened.Load() != 1 || b.Counts.Strays.Load() != 1 {
		t.Errorf("the next call: %v, %q, %d connections, %d strays", r.Outcome, r.Body, b.Counts.Opened.Load(), b.Counts.Strays.Load())
	}
}
