package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/backend"
	"kitehub/choice"
	"kitehub/internal/clock"
)

// reply builds an answer's frame.
func reply(code byte, id uint64, fields, body string) []byte {
	b := appendFrame(nil, code, id, []byte(fields), []byte(body))
	b[0] = markAnswer
	return b
}

// got is a command that the stand-in read.
type got struct {
	code         byte
	id           uint64
	fields, body string
}

func readCommand(r io.Reader) (g got, err error) {
	var head [headSize]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return g, err
	}
	if head[0] != markCommand {
		return g, fmt.Errorf("mark %d", head[0])
	}
	nf, nb := int(binary.BigEndian.Uint16(head[2:])), int(binary.BigEndian.Uint32(head[4:]))
	b := make([]byte, nf+nb+checkSize)
	if _, err = io.ReadFull(r, b); err != nil {
		return g, err
	}
	if crc32.ChecksumIEEE(b[:nf+nb]) != binary.BigEndian.Uint32(b[nf+nb:]) {
		return g, errors.New("bad check")
	}
	return got{head[1], binary.BigEndian.Uint64(head[8:]), string(b[:nf]), string(b[nf : nf+nb])}, nil
}

// invoker is a stand-in: each connection is played by script, which reads commands and writes what it likes.
func invoker(t *testing.T, script func(n int, c *net.TCPConn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(n, c.(*net.TCPConn))
			}()
		}
	}()
	return ln.Addr().String()
}

// serving is an invoker that answers every call, and tells the number of the connection that each came on.
func serving(t *testing.T) (addr string, conns chan int) {
	conns = make(chan int, 10)
	return invoker(t, func(n int, c *net.TCPConn) {
		for {
			g, err := readCommand(c)
			if err != nil {
				return
			}
			conns <- n
			c.Write(reply(codeOK, g.id, "", "answer"))
		}
	}), conns
}

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
	return backend.Attempt{Worker: 1, Call: fmt.Sprintf("%016x", id), Class: "lookup", Function: "7f3a9c21e0b4d655", Body: []byte("body"), Within: 20 * time.Second}
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
		want choice.Outcome
	}{
		{"ok", write(ok), choice.OK},
		{"ok in single bytes", func(c *net.TCPConn) {
			for i := range ok {
				c.Write(ok[i : i+1])
			}
			hold(c)
		}, choice.OK},
		{"miss", write(reply(codeMiss, id, "note=boot_error", "")), choice.Miss},
		{"full", write(reply(codeFull, id, "company=9", "")), choice.Full},
		{"over already", write(reply(codeOver, id, "", "")), choice.Moot},
		{"error", write(reply(codeError, id, "", "")), choice.Error},
		{"a second copy", write(ok, ok), choice.OK},
		{"an answer to an unknown id ahead", write(reply(codeFull, 5, "", ""), ok), choice.OK},
		{"a pong that nobody asked for", write(reply(codePong, id, "", ""), ok), choice.OK},
		{"an answer with a code that answers no call", write(reply(71, id, "", ""), ok), choice.Reset},
		{"a bad check", write(bad(func(b []byte) { b[len(b)-1] ^= 1 })), choice.Reset},
		{"a changed body", write(bad(func(b []byte) { b[headSize+15] ^= 1 })), choice.Reset},
		{"a wrong mark", write(bad(func(b []byte) { b[0] = markCommand })), choice.Reset},
		{"3 GB by its head", write(bad(func(b []byte) { binary.BigEndian.PutUint32(b[4:], 3<<30) }), make([]byte, 1<<20)), choice.Reset},
		{"fields over the bound", write(bad(func(b []byte) { binary.BigEndian.PutUint16(b[2:], 0xffff) })), choice.Reset},
		{"noise", write([]byte("HTTP/1.1 200 OK\r\n\r\n")), choice.Reset},
		{"cut short", func(c *net.TCPConn) { c.Write(ok[:len(ok)-3]) }, choice.Reset},
		{"closed", func(*net.TCPConn) {}, choice.Reset},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0) }, choice.Reset},
		{"full, then noise", write(reply(codeFull, id, "", ""), []byte("noise")), choice.Full},
	}
	for _, tt := range tests {
		addr := invoker(t, func(_ int, c *net.TCPConn) {
			if _, err := readCommand(c); err == nil {
				tt.then(c)
			}
		})
		b := start(t, addr, func(c *Config) { c.Report = []choice.ReportField{choice.FieldUtil, choice.FieldQueue} })
		r := run(b, call(id))
		if r.Outcome != tt.want || (r.Outcome == choice.OK) != (string(r.Body) == "answer") {
			t.Errorf("%s: %v, body %q, want outcome %v", tt.name, r.Outcome, r.Body, tt.want)
		}
		if tt.name == "ok" && (r.Note != choice.BeganLoad || r.Alike != 3 || len(r.Report) != 2 || r.Report[0] != 0.5 || r.Report[1] != 2) {
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
	if r := run(b, call(1)); r.Outcome != choice.ConnectFailed {
		t.Errorf("nobody listens: %v", r.Outcome)
	}
	a := call(2)
	a.Worker = 77
	if r := run(b, a); r.Outcome != choice.Moot {
		t.Errorf("a worker that is not listed: %v", r.Outcome)
	}
	commands := make(chan got, 10)
	addr := invoker(t, func(_ int, c *net.TCPConn) {
		for {
			g, err := readCommand(c)
			if err != nil {
				return
			}
			commands <- g
		}
	})
	b = start(t, addr, nil)
	a = call(3)
	a.Wanted = func() bool { return false }
	if r := run(b, a); r.Outcome != choice.Moot {
		t.Errorf("unwanted: %v", r.Outcome)
	}
	b.Update([]backend.Endpoint{{ID: 1, Name: "w", Network: "tcp", Addr: addr}})
	if r := run(b, call(4)); r.Outcome != choice.Moot {
		t.Errorf("a worker that drains: %v", r.Outcome)
	}
	held := make(chan choice.Outcome, 1)
	b.Hold(backend.Order{Worker: 1, Function: "7f3a9c21e0b4d655", Copies: 1}, func(o choice.Outcome, _ int, _ time.Duration) { held <- o })
	if o := <-held; o != choice.Moot {
		t.Errorf("an order to a worker that drains: %v", o)
	}
	if len(commands) > 0 {
		t.Errorf("it came: %+v", <-commands)
	}
}

func TestWire(t *testing.T) {
	commands := make(chan got, 10)
	addr := invoker(t, func(_ int, c *net.TCPConn) {
		for {
			g, err := readCommand(c)
			if err != nil {
				return
			}
			commands <- g
			if g.code == codeHold {
				c.Write(reply(codeOK, g.id, "slots_up=2", ""))
			}
		}
	})
	b := start(t, addr, nil)
	over := make(chan backend.Result, 1)
	a := call(0x2d41)
	a.Key = "5c0f"
	r := b.Send(a, func(r backend.Result) { over <- r })
	g := <-commands
	if g.code != codeCall || g.id != 0x2d41 || g.body != "body" || g.fields[:30] != "c=lookup,k=7f3a9c21e0b4d655,w=" || g.fields[len(g.fields)-7:] != ",i=5c0f" {
		t.Errorf("%+v", g)
	}
	r.Cancel()
	if g := <-commands; g.code != codeGiveUp || g.id != 0x2d41 {
		t.Errorf("given up: %+v", g)
	}
	if r := <-over; r.Outcome != choice.Cancelled {
		t.Errorf("given up: %v", r.Outcome)
	}
	r.Cancel() // twice does nothing
	copies := make(chan int, 1)
	b.Hold(backend.Order{Worker: 1, Function: "7f3a9c21e0b4d655", Copies: 2}, func(o choice.Outcome, n int, _ time.Duration) { copies <- n })
	if g := <-commands; g.code != codeHold || g.fields != "k=7f3a9c21e0b4d655,slots_up=2" {
		t.Errorf("order: %+v", g)
	}
	if n := <-copies; n != 2 {
		t.Errorf("%d copies stand", n)
	}
	b.Unload(1, "7f3a9c21e0b4d655")
	if g := <-commands; g.code != codeUnload || g.id != 0x7f3a9c21e0b4d655 || g.fields != "" {
		t.Errorf("unload: %+v", g)
	}
	a = call(9)
	a.Within = time.Millisecond
	if r := run(b, a); r.Outcome != choice.TimedOut {
		t.Errorf("no answer: %v", r.Outcome)
	}
	if g, g2 := <-commands, <-commands; g.code != codeCall || g2.code != codeGiveUp || g2.id != 9 {
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
			c.Write(reply(codeFull, g.id, "", ""))
			<-second
			c.Write(reply(codeFull, g.id, "", ""))
			hold(c)
			return
		}
		close(second)
		c.Write(reply(codeOK, g.id, "", "answer"))
		hold(c)
	})
	b := start(t, addr, nil)
	if r := run(b, call(7)); r.Outcome != choice.Full {
		t.Fatalf("first: %v", r.Outcome)
	}
	if r := run(b, call(7)); r.Outcome != choice.OK {
		t.Errorf("repeat: %v", r.Outcome)
	}
	if a, c := <-conns, <-conns; a == c {
		t.Error("both went on one connection")
	}
}

func TestSilence(t *testing.T) {
	tests := []struct {
		name  string
		pongs int // pings that are answered before the answer comes; -1: none, and no answer
		stuck bool
		want  choice.Outcome
	}{
		{"slow, but its connection works", 3, false, choice.OK},
		{"dead", -1, false, choice.Reset},
		{"stuck in the middle of an answer", 3, true, choice.Reset},
	}
	for _, tt := range tests {
		addr := invoker(t, func(_ int, c *net.TCPConn) {
			g, err := readCommand(c)
			if err != nil {
				return
			}
			full := reply(codeOK, g.id, "", "answer")
			if tt.stuck {
				c.Write(full[:20])
			}
			for range max(0, tt.pongs) {
				p, err := readCommand(c)
				if err != nil || p.code != codePing {
					return
				}
				c.Write(reply(codePong, p.id, "", ""))
			}
			if tt.pongs > 0 && !tt.stuck {
				c.Write(full)
			}
			hold(c)
		})
		b := start(t, addr, func(c *Config) { c.Patience = 30 * time.Millisecond })
		if r := run(b, call(7)); r.Outcome != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, r.Outcome, tt.want)
		}
	}
}

// TestSuspect: nothing new goes on a connection whose ping is out.
func TestSuspect(t *testing.T) {
	pinged := make(chan struct{}, 1)
	addr := invoker(t, func(n int, c *net.TCPConn) {
		g, err := readCommand(c)
		if err != nil {
			return
		}
		if n > 0 {
			c.Write(reply(codeOK, g.id, "", "answer"))
			hold(c)
			return
		}
		if _, err := readCommand(c); err == nil {
			pinged <- struct{}{}
		}
		hold(c)
	})
	b := start(t, addr, func(c *Config) { c.Patience = 200 * time.Millisecond })
	first := make(chan backend.Result, 1)
	b.Send(call(1), func(r backend.Result) { first <- r })
	<-pinged
	if r := run(b, call(2)); r.Outcome != choice.OK {
		t.Errorf("beside a suspect connection: %v", r.Outcome)
	}
	if r := <-first; r.Outcome != choice.Reset {
		t.Errorf("on it: %v", r.Outcome)
	}
}

// TestSameAddress: a new worker at the address of one that is gone is reached by connections of its own.
func TestSameAddress(t *testing.T) {
	addr, conns := serving(t)
	b := start(t, addr, nil)
	run(b, call(1))
	run(b, call(2))
	b.Update([]backend.Endpoint{{ID: 2, Name: "new", Network: "tcp", Addr: addr, Ready: true}})
	a := call(3)
	a.Worker = 2
	if r := run(b, a); r.Outcome != choice.OK {
		t.Errorf("new worker: %v", r.Outcome)
	}
	if x, y, z := <-conns, <-conns, <-conns; x != 0 || y != 0 || z != 1 {
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
	addr, commands := serving(t)
	clk := clock.NewManual(time.Unix(1e9, 0))
	b := start(t, addr, func(c *Config) { c.Clock, c.Within, c.Patience = clk, 5*time.Second, time.Hour })
	for i, after := range []time.Duration{0, 4 * time.Second, 6 * time.Second} {
		clk.Advance(after)
		if r := run(b, call(uint64(i+1))); r.Outcome != choice.OK {
			t.Fatalf("call %d: %v", i, r.Outcome)
		}
	}
	if x, y, z := <-commands, <-commands, <-commands; x != 0 || y != 0 || z != 1 {
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
		parseFields(a.text, []choice.ReportField{choice.FieldUtil})
		if again := reply(a.code, a.id, a.text, string(a.body)); !bytes.HasPrefix(in, again) {
			t.Errorf("%x was read as %x", in, again)
		}
	})
}

// TestSuspicionStays: a connection whose ping is out stays under suspicion though nothing is open on it any more.
func TestSuspicionStays(t *testing.T) {
	pinged, conns := make(chan struct{}, 10), make(chan int, 10)
	addr := invoker(t, func(n int, c *net.TCPConn) {
		for {
			g, err := readCommand(c)
			switch {
			case err != nil:
				return
			case g.code == codePing:
				pinged <- struct{}{}
			case g.code == codeCall && n == 0:
				conns <- n
			case g.code == codeCall:
				conns <- n
				c.Write(reply(codeOK, g.id, "", "answer"))
			}
		}
	})
	clk := clock.NewManual(time.Unix(1e9, 0))
	b := start(t, addr, func(c *Config) { c.Clock, c.Patience = clk, time.Minute })
	over := make(chan backend.Result, 1)
	first := b.Send(call(1), func(r backend.Result) { over <- r })
	<-conns
	clk.Advance(61 * time.Second)
	b.check()
	<-pinged
	first.Cancel()
	<-over
	b.check()
	if r := run(b, call(2)); r.Outcome != choice.OK {
		t.Errorf("the next call: %v", r.Outcome)
	}
	if n := <-conns; n == 0 {
		t.Error("it went on the connection under suspicion")
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
	begin, commands := make(chan struct{}), make(chan got, 100)
	addr := invoker(t, func(_ int, c *net.TCPConn) {
		<-begin
		for {
			g, err := readCommand(c)
			if err != nil {
				return
			}
			commands <- g
			c.Write(reply(codeOK, g.id, "", "answer"))
		}
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
	if r := run(b, call(2)); r.Outcome != choice.Moot && r.Outcome != choice.ConnectFailed {
		t.Errorf("a call after the drain: %v", r.Outcome)
	}
	close(begin)
	if r := <-over; r.Outcome != choice.OK {
		t.Errorf("half written: %v", r.Outcome)
	}
	if g := <-commands; g.id != 1 || len(g.body) != 32<<20 || len(commands) > 0 {
		t.Errorf("came: %d with %d bytes, and %d more", g.id, len(g.body), len(commands))
	}
}

// TestLateAnswer: an answer after its time, on a connection used again, is nobody's.
func TestLateAnswer(t *testing.T) {
	commands, late := make(chan got, 10), make(chan struct{})
	addr := invoker(t, func(_ int, c *net.TCPConn) {
		for {
			g, err := readCommand(c)
			if err != nil {
				return
			}
			commands <- g
			if g.code == codeCall && g.id == 2 {
				c.Write(reply(codeOK, 1, "", "late"))
				c.Write(reply(codeOK, 2, "", "answer"))
				close(late)
			}
		}
	})
	b := start(t, addr, nil)
	a := call(1)
	a.Within = time.Millisecond
	if r := run(b, a); r.Outcome != choice.TimedOut {
		t.Fatalf("no answer in time: %v", r.Outcome)
	}
	if r := run(b, call(2)); string(r.Body) != "answer" {
		t.Errorf("the next call: %v, %q", r.Outcome, r.Body)
	}
	<-late
	if b.Counts.Opened.Load() != 1 || b.Counts.Strays.Load() != 1 {
		t.Errorf("%d connections, %d strays", b.Counts.Opened.Load(), b.Counts.Strays.Load())
	}
}

// TestIdleReset: an idle connection that is reset is not used again, and nothing is lost by it.
func TestIdleReset(t *testing.T) {
	conns := make(chan *net.TCPConn, 10)
	addr := invoker(t, func(_ int, c *net.TCPConn) {
		g, err := readCommand(c)
		if err == nil {
			c.Write(reply(codeOK, g.id, "", "answer"))
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
	if r := run(b, call(2)); r.Outcome != choice.OK || b.Counts.LostNew.Load()+b.Counts.LostUsed.Load() != 0 {
		t.Errorf("%v, %d lost", r.Outcome, b.Counts.LostNew.Load()+b.Counts.LostUsed.Load())
	}
}
