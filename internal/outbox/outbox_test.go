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
	t.Cleanup(func() {
		ours.Close()
		theirs.Close()
	})
	return ours, theirs
}

func TestMessagesArriveCompleteAndInOrder(t *testing.T) {
	ours, theirs := pair(t)
	const size, messages = 5000, 400 // 2 MB: more than the kernel's buffers hold
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
	if !o.HasPending() || o.Written(last) {
		t.Fatalf("2 MB were written to a reader that reads nothing: busy %v, written %v", o.HasPending(), o.Written(last))
	}
	got := make([]byte, want.Len())
	if _, err := io.ReadFull(theirs, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want.Bytes()) {
		t.Error("the messages arrived in another order, or incomplete")
	}
	o.Close() // on an open connection Written lags behind
	if !o.Written(last) {
		t.Error("all was read, and the last message counts as not written")
	}
}

// slowToReturn is a connection whose writes arrive at the other side long before they return, which they do once it
// is closed.
type slowToReturn struct {
	net.Conn
	arrived, closed chan struct{}
}

func (c slowToReturn) Write(b []byte) (int, error) {
	close(c.arrived)
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

// A message that has arrived is never reported as not written, even if the connection is closed before the write has
// returned: it would be sent again.
func TestWrittenWaitsForWriteInProgress(t *testing.T) {
	for range 100 {
		c := slowToReturn{arrived: make(chan struct{}), closed: make(chan struct{})}
		o := New(c, 1<<20, time.Minute)
		end, ok := o.Send([]byte("message"))
		if !ok {
			t.Fatal("not accepted")
		}
		<-c.arrived
		o.Close()
		if !o.Written(end) {
			t.Fatal("the message arrived, and is reported as not written")
		}
	}
}

// A message is begun at once, or never.
func TestBeginNeverLeavesMessageWaiting(t *testing.T) {
	ours, theirs := pair(t)
	o := New(ours, 1<<30, time.Minute)
	m := bytes.Repeat([]byte("x"), 100<<10)
	sum := 0
	for { // until a part waits, or the kernel takes nothing
		if _, ok := o.TrySend(m); !ok {
			break
		}
		sum += len(m)
	}
	for range 3 {
		if _, ok := o.TrySend([]byte("never")); ok {
			t.Fatal("a message was begun while bytes wait")
		}
	}
	got := make([]byte, sum)
	if _, err := io.ReadFull(theirs, got); err != nil || bytes.Contains(got, []byte("never")) {
		t.Fatalf("%v, or a message that was not begun arrived", err)
	}
	for o.HasPending() {
		runtime.Gosched()
	}
	if end, ok := o.TrySend([]byte("last")); !ok || end != uint64(sum+4) {
		t.Errorf("end %d, %v, want %d", end, ok, sum+4)
	}
	if _, err := io.ReadFull(theirs, got[:4]); err != nil || string(got[:4]) != "last" {
		t.Errorf("%q, %v", got[:4], err)
	}
}

// A reader that takes nothing is disconnected, when too much waits for it or too long.
func TestSlowReaderIsDisconnected(t *testing.T) {
	tests := []struct {
		name       string
		maxWaiting int
		stall      time.Duration
	}{
		{"too much waits", 64 << 10, time.Minute},
		{"no progress", 1 << 30, 20 * time.Millisecond},
	}
	for _, tt := range tests {
		ours, _ := pair(t)
		o := New(ours, tt.maxWaiting, tt.stall)
		m := make([]byte, 32<<10)
		var end uint64
		ok := true
		for i := 0; ok && i < 4000; i++ { // 128 MB at most, were it not closed
			end, ok = o.Send(m)
			if tt.maxWaiting == 1<<30 && i > 200 {
				time.Sleep(time.Millisecond) // no verdict depends on it: the loop ends with the connection
			}
		}
		if ok {
			t.Errorf("%s: a reader that never reads is not disconnected", tt.name)
		}
		if o.Written(end) {
			t.Errorf("%s: a message that was not accepted counts as written", tt.name)
		}
		if _, ok := o.Send(m); ok {
			t.Errorf("%s: a closed connection accepts a message", tt.name)
		}
	}
}

// A write that finds the connection reset must end. Closing a descriptor waits until nobody uses it, so closing it
// from within that write would wait for itself.
func TestSendEndsWhenConnectionIsReset(t *testing.T) {
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

// What waits for a slow reader when the outbox is finished arrives complete, and then the end.
func TestFinishWritesWhatWaits(t *testing.T) {
	for _, size := range []int{10, 4 << 20} { // all written at once, and most of it waiting
		ours, theirs := pair(t)
		o := New(ours, 8<<20, time.Minute)
		want := bytes.Repeat([]byte("x"), size)
		if _, ok := o.Send(want); !ok || o.HasPending() != (size > 10) {
			t.Fatalf("%d bytes: sent %v, busy %v", size, ok, o.HasPending())
		}
		o.Finish()
		o.Finish()
		if _, ok := o.Send([]byte("more")); ok {
			t.Error("a message is accepted after Finish")
		}
		if _, ok := o.TrySend([]byte("more")); ok {
			t.Error("a message is begun after Finish")
		}
		if got, err := io.ReadAll(theirs); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%d bytes of %d, %v", len(got), size, err)
		}
		if _, err := theirs.Write([]byte("still")); err != nil { // the owner closes the other half
			t.Error(err)
		}
		if n, err := ours.Read(make([]byte, 10)); n != 5 || err != nil {
			t.Errorf("%d bytes came back, %v", n, err)
		}
	}
}
