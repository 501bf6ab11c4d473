package outbox

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// connPair returns both ends of a loopback connection with a small write buffer.
func connPair(t *testing.T) (ours, theirs *net.TCPConn) {
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
	ours, theirs := connPair(t)
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
		t.Fatalf("2 MB were written to a reader that reads nothing: pending %v, written %v", o.HasPending(), o.Written(last))
	}
	got := make([]byte, want.Len())
	if _, err := io.ReadFull(theirs, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want.Bytes()) {
		t.Error("the messages arrived out of order or incomplete")
	}
	o.Close() // Written may be outdated on an open connection
	if !o.Written(last) {
		t.Error("all messages were read, but the last one counts as not written")
	}
}

// A delayedConn is a connection whose writes arrive at the other side immediately, but return only
// after the connection is closed.
type delayedConn struct {
	net.Conn
	arrived, closed chan struct{}
}

func (c delayedConn) Write(b []byte) (int, error) {
	close(c.arrived)
	<-c.closed
	for range 1000 { // let other goroutines run first
		runtime.Gosched()
	}
	return len(b), nil
}

func (c delayedConn) SetWriteDeadline(time.Time) error { return nil }

func (c delayedConn) Close() error {
	close(c.closed)
	return nil
}

// Guards against a message that is sent twice: one that has arrived must not be reported as not
// written, even if the connection is closed before its write has returned.
func TestWrittenWaitsForWriteInProgress(t *testing.T) {
	for range 100 {
		c := delayedConn{arrived: make(chan struct{}), closed: make(chan struct{})}
		o := New(c, 1<<20, time.Minute)
		end, ok := o.Send([]byte("message"))
		if !ok {
			t.Fatal("the message was not accepted")
		}
		<-c.arrived
		o.Close()
		if !o.Written(end) {
			t.Fatal("the message arrived, but is reported as not written")
		}
	}
}

// TrySend writes the first byte of a message immediately or never.
func TestTrySendNeverQueuesUnstartedMessage(t *testing.T) {
	ours, theirs := connPair(t)
	o := New(ours, 1<<30, time.Minute)
	m := bytes.Repeat([]byte("x"), 100<<10)
	sent := 0
	for { // until data is pending or the kernel accepts no more
		if _, ok := o.TrySend(m); !ok {
			break
		}
		sent += len(m)
	}
	for range 3 {
		if _, ok := o.TrySend([]byte("never")); ok {
			t.Fatal("a message was accepted while data is pending")
		}
	}
	got := make([]byte, sent)
	if _, err := io.ReadFull(theirs, got); err != nil || bytes.Contains(got, []byte("never")) {
		t.Fatalf("error %v, or a message that was not accepted arrived", err)
	}
	for o.HasPending() {
		runtime.Gosched()
	}
	if end, ok := o.TrySend([]byte("last")); !ok || end != uint64(sent+4) {
		t.Errorf("end %d, %v, want %d", end, ok, sent+4)
	}
	if _, err := io.ReadFull(theirs, got[:4]); err != nil || string(got[:4]) != "last" {
		t.Errorf("%q, %v", got[:4], err)
	}
}

// Guards against memory and connections held by a stalled reader: it is disconnected when too much
// data is pending, or when it makes no progress for too long.
func TestSlowReaderIsDisconnected(t *testing.T) {
	tests := []struct {
		name         string
		maxPending   int
		stallTimeout time.Duration
	}{
		{"too much data pending", 64 << 10, time.Minute},
		{"no progress", 1 << 30, 20 * time.Millisecond},
	}
	for _, tt := range tests {
		ours, _ := connPair(t)
		o := New(ours, tt.maxPending, tt.stallTimeout)
		m := make([]byte, 32<<10)
		var end uint64
		ok := true
		for i := 0; ok && i < 4000; i++ { // at most 128 MB, unless the connection is closed first
			end, ok = o.Send(m)
			if tt.maxPending == 1<<30 && i > 200 {
				time.Sleep(time.Millisecond) // pacing only: the loop ends when the connection closes
			}
		}
		if ok {
			t.Errorf("%s: a reader that never reads was not disconnected", tt.name)
		}
		if o.Written(end) {
			t.Errorf("%s: a message that was not accepted counts as written", tt.name)
		}
		if _, ok := o.Send(m); ok {
			t.Errorf("%s: a closed connection accepts a message", tt.name)
		}
	}
}

// Guards against a deadlock when a write finds the connection reset: closing a descriptor waits
// until no call uses it, so a close from within the write would wait for itself.
func TestSendEndsWhenConnectionIsReset(t *testing.T) {
	ours, theirs := connPair(t)
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
		t.Fatal("the sender is blocked")
	}
}

// After Finish, data that is pending for a slow reader arrives completely, followed by the end of
// the stream.
func TestFinishWritesPendingData(t *testing.T) {
	for _, size := range []int{10, 4 << 20} { // written immediately, and mostly pending
		ours, theirs := connPair(t)
		o := New(ours, 8<<20, time.Minute)
		want := bytes.Repeat([]byte("x"), size)
		if _, ok := o.Send(want); !ok || o.HasPending() != (size > 10) {
			t.Fatalf("%d bytes: sent %v, pending %v", size, ok, o.HasPending())
		}
		o.Finish()
		o.Finish()
		if _, ok := o.Send([]byte("more")); ok {
			t.Error("Send accepted a message after Finish")
		}
		if _, ok := o.TrySend([]byte("more")); ok {
			t.Error("TrySend accepted a message after Finish")
		}
		if got, err := io.ReadAll(theirs); err != nil || !bytes.Equal(got, want) {
			t.Errorf("read %d bytes of %d, error %v", len(got), size, err)
		}
		if _, err := theirs.Write([]byte("still")); err != nil { // the read side of our end is still open
			t.Error(err)
		}
		if n, err := ours.Read(make([]byte, 10)); n != 5 || err != nil {
			t.Errorf("read %d bytes from the other side, error %v", n, err)
		}
	}
}

// Guards against a connection that is closed, under whatever is open on it, because its reader was
// slow once: the deadline of a blocked write must not outlast that write.
func TestConnectionIsKeptAfterSlowReaderCatchesUp(t *testing.T) {
	const stallTimeout = 50 * time.Millisecond
	ours, theirs := connPair(t)
	o := New(ours, 64<<20, stallTimeout)
	sent := 0
	for message := make([]byte, 100<<10); !o.HasPending(); sent += len(message) {
		o.Send(message)
	}
	if _, err := io.CopyN(io.Discard, theirs, int64(sent)); err != nil {
		t.Fatal(err)
	}
	for o.HasPending() {
		runtime.Gosched()
	}
	<-time.After(2 * stallTimeout) // longer than any deadline that a write may have set
	if _, ok := o.Send([]byte("x")); !ok {
		t.Fatalf("the connection was closed after its reader had caught up: %v", o.CloseCause())
	}
}

// Guards against a message that is sent twice, or lost, because the outbox is wrong about how much of
// it was accepted: for each fault of the system call, after each byte of the message, "not written"
// must mean that the other side cannot have it.
func TestWrittenIsTrueAfterEachByte(t *testing.T) {
	message := []byte("a message")
	for _, fault := range []syscall.Errno{
		0, syscall.EINTR, syscall.EAGAIN, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENOBUFS,
	} {
		for position := range len(message) + 1 {
			t.Run(fmt.Sprintf("%s after %d bytes", fault.Error(), position), func(t *testing.T) {
				testWrittenWithFault(t, message, fault, position)
			})
		}
	}
}

// testWrittenWithFault sends a message of which the first system call accepts the bytes up to a
// position. The next one fails; without a fault it continues, so that the write was short.
func testWrittenWithFault(t *testing.T, message []byte, fault syscall.Errno, position int) {
	ours, theirs := connPair(t)
	o := New(ours, 1<<20, time.Minute)
	calls := 0
	o.write = func(fd int, b []byte) (int, error) {
		calls++
		switch {
		case calls == 1 && position > 0:
			return syscall.Write(fd, b[:position])
		case fault == syscall.EAGAIN, calls <= 2 && fault != 0:
			return -1, fault
		}
		return syscall.Write(fd, b)
	}
	end, ok := o.TrySend(message)
	o.Close() // beside the flusher, if it runs
	written := o.Written(end)
	ours.Close()
	received, _ := io.ReadAll(theirs)
	continues := fault == 0 || fault == syscall.EINTR
	switch {
	case !ok && len(received) > 0:
		t.Errorf("TrySend returned false, and %d bytes arrived", len(received))
	case ok && !written && len(received) == len(message):
		t.Error("the message arrived and counts as not written")
	case (continues || position == len(message)) && !(ok && written && len(received) == len(message)):
		t.Errorf("ok %v, written %v, %d bytes arrived, want all %d", ok, written, len(received), len(message))
	case !continues && position == 0 && ok:
		t.Error("TrySend returned true, though nothing was accepted")
	}
}
