package outbox

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"testing"
	"time"
)

// pair returns both ends of a connection on loopback, with small buffers.
func pair(t *testing.T) (ours, theirs *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ours, theirs = c.(*net.TCPConn), s.(*net.TCPConn)
	ours.SetWriteBuffer(4 << 10)
	t.Cleanup(func() { ours.Close(); theirs.Close() })
	return ours, theirs
}

func TestOrderAndWhole(t *testing.T) {
	ours, theirs := pair(t)
	const size, messages = 5000, 400
	o := New(ours, size*messages, time.Minute)
	var want bytes.Buffer
	var last uint64
	for i := range messages {
		m := bytes.Repeat([]byte{byte(i)}, size)
		want.Write(m)
		end, ok := o.Send(m)
		if !ok || end != uint64(want.Len()) {
			t.Fatalf("message %d: end %d, %v, want %d", i, end, ok, want.Len())
		}
		last = end
	}
	if !o.Busy() || o.Written(last) {
		t.Fatalf("2 MB went out to a reader that reads nothing: busy %v, whole %v", o.Busy(), o.Written(last))
	}
	got := make([]byte, want.Len())
	if _, err := io.ReadFull(theirs, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want.Bytes()) {
		t.Error("the messages came in another order, or torn")
	}
	o.Close() // on an open connection what is known lags behind
	if !o.Written(last) {
		t.Error("all was read, and the last message is not whole")
	}
}

// slowToReturn is a connection whose writes have all come to the other side before they return, and return once it is closed.
type slowToReturn struct {
	net.Conn
	came, closed chan struct{}
}

func (c slowToReturn) Write(b []byte) (int, error) {
	close(c.came)
	<-c.closed
	for range 1000 { // others go first
		runtime.Gosched()
	}
	return len(b), nil
}

func (c slowToReturn) SetWriteDeadline(time.Time) error { return nil }

func (c slowToReturn) Close() error {
	close(c.closed)
	return nil
}

// TestWholeBeforeWriteReturns: a message that came whole is never said not to have, though the connection ends before the write
// that brought it has returned: it would be sent again.
func TestWholeBeforeWriteReturns(t *testing.T) {
	for range 100 {
		c := slowToReturn{came: make(chan struct{}), closed: make(chan struct{})}
		o := New(c, 1<<20, time.Minute)
		end, ok := o.Send([]byte("message"))
		if !ok {
			t.Fatal("not taken")
		}
		<-c.came
		o.Close()
		if !o.Written(end) {
			t.Fatal("it came whole, and is said not to have")
		}
	}
}

// TestBegin: a message goes out from its first byte on at once, or never.
func TestBegin(t *testing.T) {
	ours, theirs := pair(t)
	o := New(ours, 1<<30, time.Minute)
	m := bytes.Repeat([]byte("x"), 100<<10)
	sum := 0
	for ok := true; ok; { // until a part waits, or the kernel takes nothing
		if _, ok = o.Begin(m); ok {
			sum += len(m)
		}
	}
	for range 3 {
		if _, ok := o.Begin([]byte("never")); ok {
			t.Fatal("it began where bytes wait")
		}
	}
	got := make([]byte, sum)
	if _, err := io.ReadFull(theirs, got); err != nil || bytes.Contains(got, []byte("never")) {
		t.Fatalf("%v, or what never began", err)
	}
	for o.Busy() {
		time.Sleep(time.Millisecond)
	}
	if end, ok := o.Begin([]byte("last")); !ok || end != uint64(sum+4) {
		t.Errorf("end %d, %v, want %d", end, ok, sum+4)
	}
	if _, err := io.ReadFull(theirs, got[:4]); err != nil || string(got[:4]) != "last" {
		t.Errorf("%q, %v", got[:4], err)
	}
}

func TestSlowReader(t *testing.T) {
	tests := []struct {
		name  string
		most  int
		stall time.Duration
	}{
		{"too much waits", 64 << 10, time.Minute},
		{"no progress", 1 << 30, 20 * time.Millisecond},
	}
	for _, tt := range tests {
		ours, _ := pair(t)
		o := New(ours, tt.most, tt.stall)
		m := make([]byte, 32<<10)
		var end uint64
		ok := true
		for i := 0; ok && i < 4000; i++ { // 128 MB at most, were it not closed
			end, ok = o.Send(m)
			if tt.most == 1<<30 && i > 200 {
				time.Sleep(time.Millisecond) // no verdict hangs on it: the loop ends when the reader is given up
			}
		}
		if ok {
			t.Errorf("%s: a reader that never reads is not closed", tt.name)
		}
		if o.Written(end) {
			t.Errorf("%s: a message that was not taken counts as whole", tt.name)
		}
		if _, ok := o.Send(m); ok {
			t.Errorf("%s: a closed connection takes a message", tt.name)
		}
	}
}

// TestResetWhileSending: the write that finds the connection reset must end. Closing a descriptor waits until nobody uses
// it, so closing it from within that write would wait for itself.
func TestResetWhileSending(t *testing.T) {
	ours, theirs := pair(t)
	o := New(ours, 1<<20, time.Minute)
	theirs.SetLinger(0)
	theirs.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ok := true; ok; {
			_, ok = o.Send([]byte("x"))
		}
	}()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the sender hangs")
	}
}

// TestFinish: what waits for a slow reader when the outbox is finished comes whole, and then the end.
func TestFinish(t *testing.T) {
	for _, size := range []int{10, 4 << 20} { // all out at once, and most of it waiting
		ours, theirs := pair(t)
		o := New(ours, 8<<20, time.Minute)
		want := bytes.Repeat([]byte("x"), size)
		if _, ok := o.Send(want); !ok || o.Busy() != (size > 10) {
			t.Fatalf("%d bytes: sent %v, busy %v", size, ok, o.Busy())
		}
		o.Finish()
		o.Finish()
		if _, ok := o.Send([]byte("more")); ok {
			t.Error("a message is taken after the end")
		}
		if _, ok := o.Begin([]byte("more")); ok {
			t.Error("a message begins after the end")
		}
		if got, err := io.ReadAll(theirs); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%d bytes of %d, %v", len(got), size, err)
		}
		if _, err := theirs.Write([]byte("still")); err != nil { // the other half is the owner's to close
			t.Error(err)
		}
		if n, err := ours.Read(make([]byte, 10)); n != 5 || err != nil {
			t.Errorf("%d bytes came back, %v", n, err)
		}
	}
}
