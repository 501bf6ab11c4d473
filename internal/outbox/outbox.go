// Package outbox writes messages to a connection without blocking the sender: in order, each complete or cut only by
// the end of the connection, and with a bound on what waits for a slow reader. It knows how many bytes the kernel has
// taken, which proves of a message that was cut half-way that it never arrived complete at the other side.
//
// A message is written at once if the kernel takes it. What it does not take waits, and a goroutine, the flusher,
// writes it; there is one only while anything waits.
package outbox

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// An Outbox belongs to one connection, whose only writer it is. It is safe for concurrent use.
//
// Positions in the stream of bytes written count from the first byte handed over.
type Outbox struct {
	conn       net.Conn
	raw        syscall.RawConn // nil: every write is left to the flusher, and Begin always fails
	maxWaiting int             // bytes
	stall      time.Duration   // a reader that takes nothing for so long is disconnected

	mu         sync.Mutex
	waiting    []byte     // to be written by the flusher
	spare      []byte     // the flusher's: a buffer to exchange with waiting
	flushing   bool       // there is a flusher
	writing    bool       // the flusher is in a write: the kernel may have taken any part of what it was given
	writeEnded *sync.Cond // writing has become false
	finished   bool       // no message is accepted any more; our half is closed once nothing waits
	closed     bool
	taken      uint64 // position up to which the kernel has taken the stream
	end        uint64 // position up to which the stream was handed over
}

// New returns the outbox of a connection. At most maxWaiting bytes wait for a slow reader; one that takes none of
// them for the time stall is disconnected.
func New(conn net.Conn, maxWaiting int, stall time.Duration) *Outbox {
	o := &Outbox{conn: conn, maxWaiting: maxWaiting, stall: stall}
	o.writeEnded = sync.NewCond(&o.mu)
	if socket, ok := conn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			o.raw = raw
		}
	}
	return o
}

// Send hands a message over. It returns the position of its end in the stream, for Written, and false if the
// connection is closed, or is being closed because too much waits. The message is copied if it cannot be written at
// once.
func (o *Outbox) Send(message []byte) (end uint64, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.send(message)
}

// TrySend hands a message over as Send does, but only if its first byte is written at once; otherwise nothing of it
// ever is, and TrySend returns false.
func (o *Outbox) TrySend(message []byte) (end uint64, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.flushing || o.finished || o.closed || o.raw == nil {
		return 0, false
	}
	n := o.writeNow(message)
	o.end += uint64(n)
	if n == 0 || n == len(message) {
		return o.end, n > 0
	}
	end = o.end + uint64(len(message)-n)
	if !o.closed {
		o.send(message[n:])
	}
	return end, true
}

// send is Send with mu held.
func (o *Outbox) send(message []byte) (end uint64, ok bool) {
	if !o.closed && o.flushing && len(o.waiting)+len(message) > o.maxWaiting {
		o.close()
	}
	if o.closed || o.finished {
		return o.end + uint64(max(1, len(message))), false // a position that is never reached
	}
	o.end += uint64(len(message))
	if !o.flushing {
		n := o.writeNow(message)
		if o.closed {
			return o.end, false
		}
		message = message[n:]
	}
	if len(message) > 0 {
		o.waiting = append(o.waiting, message...)
		if !o.flushing {
			o.flushing = true
			go o.flush()
		}
	}
	return o.end, true
}

// writeNow writes what the kernel takes without blocking, and returns how many bytes that is. The caller holds mu.
func (o *Outbox) writeNow(b []byte) (n int) {
	if o.raw == nil {
		return 0
	}
	var writeErr error // kept until Write has ended: closing in the function would wait for that very call
	err := o.raw.Write(func(fd uintptr) bool {
		n, writeErr = writeNonblocking(int(fd), b)
		return true
	})
	o.taken += uint64(n)
	if err != nil || writeErr != nil {
		o.close()
	}
	return n
}

// writeNonblocking writes until the kernel takes no more; that is no error.
func writeNonblocking(fd int, b []byte) (n int, err error) {
	for n < len(b) {
		written, err := syscall.Write(fd, b[n:])
		n += max(0, written)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return n, nil
		case err != nil:
			return n, err
		}
	}
	return n, nil
}

const flushSize = 16 << 10 // bytes of one write by the flusher

// flush is the flusher: it writes what waits until nothing does.
func (o *Outbox) flush() {
	for {
		b := o.takeWaiting()
		if b == nil {
			return
		}
		for open := true; open && len(b) > 0; { // each write has the time stall anew
			var n int
			n, open = o.write(b[:min(len(b), flushSize)])
			b = b[n:]
		}
		o.spare = b[:0]
	}
}

// takeWaiting returns what waits; nil, and the end of the flusher, if nothing does or the connection is closed.
func (o *Outbox) takeWaiting() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) == 0 || o.closed {
		o.flushing = false
		o.waiting = nil
		o.spare = nil
		if o.finished {
			o.closeWrite()
		}
		return nil
	}
	b := o.waiting
	o.waiting = o.spare[:0]
	return b
}

// write writes a part of what waits, blocking, and reports whether the connection is still open.
func (o *Outbox) write(b []byte) (n int, open bool) {
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return 0, false
	}
	o.writing = true
	o.mu.Unlock()
	o.conn.SetWriteDeadline(time.Now().Add(o.stall))
	n, err := o.conn.Write(b)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writing = false
	o.writeEnded.Broadcast()
	o.taken += uint64(n)
	progress := n > 0 && os.IsTimeout(err) // slow, but it reads
	if err != nil && !progress {
		o.close()
	}
	return n, !o.closed
}

// close closes the connection. The caller holds mu.
func (o *Outbox) close() {
	if !o.closed {
		o.closed = true
		o.conn.Close()
	}
}

// Finish accepts no more messages. What waits is still written, and then our half of the connection is closed: the
// other side reads all of it and then the end. The owner must still close the connection.
func (o *Outbox) Finish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.finished || o.closed {
		return
	}
	o.finished = true
	if !o.flushing {
		o.closeWrite()
	}
}

// closeWrite closes our half of the connection, or all of it if it has no halves. The caller holds mu.
func (o *Outbox) closeWrite() {
	half, ok := o.conn.(interface{ CloseWrite() error })
	if !o.closed && (!ok || half.CloseWrite() != nil) {
		o.close()
	}
}

// Close closes the connection. What waits is dropped.
func (o *Outbox) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.close()
}

// HasPending reports whether anything waits for the reader.
func (o *Outbox) HasPending() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.flushing
}

// Written reports whether the kernel has taken all bytes up to a position. If it has not, and the connection is
// closed, the message that ends there cannot have arrived complete. On an open connection the answer may lag behind.
// On a closed one Written first waits for a write in progress, which the close ends: the other side may have what was
// written before the write returns.
func (o *Outbox) Written(end uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.closed && o.writing {
		o.writeEnded.Wait()
	}
	return o.taken >= end
}
