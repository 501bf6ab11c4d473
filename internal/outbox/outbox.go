// Package outbox writes messages to a connection without blocking the sender. Messages are written
// in order, each of them completely unless the connection closes, and the data pending for a slow
// reader is bounded. The outbox counts the bytes that the kernel has accepted. Of a message that
// was interrupted half-way, this count proves that it never arrived complete at the other side.
//
// A message is written immediately if the kernel accepts it. The rest is pending, and a goroutine,
// the flusher, writes it. The flusher runs only while data is pending.
package outbox

import (
	"cmp"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// An Outbox is the only writer of one connection. It is safe for concurrent use.
//
// Positions are byte offsets in the stream of all messages passed to the outbox.
type Outbox struct {
	conn         net.Conn
	raw          syscall.RawConn // nil: only the flusher writes, and TrySend always fails
	maxPending   int             // bytes
	stallTimeout time.Duration   // a reader that accepts no data for this long is disconnected
	write        writeFunc       // the system call
	budget       Budget          // nil: there is none

	mu              sync.Mutex
	pending         []byte     // data that the flusher has yet to take
	spare           []byte     // owned by the flusher: the buffer to swap with pending
	reserved        int        // bytes of the budget
	flushing        bool       // the flusher is running
	writeInProgress bool       // by the flusher; the kernel may have accepted any part of the data
	writeEnded      *sync.Cond // signals that writeInProgress or flushing has become false
	finished        bool       // no more messages; the write side closes once nothing is pending
	closed          bool
	closeCause      error  // why the outbox closed the connection by itself; nil if it did not
	writtenEnd      uint64 // position up to which the kernel has accepted the stream
	queuedEnd       uint64 // position up to which the outbox has taken over the stream
}

// A Budget bounds the bytes that are pending at several outboxes. overload.Account implements it. Its
// methods are called under the outbox's lock.
type Budget interface {
	// Reserve returns false if the bytes must not be held.
	Reserve(bytes int) bool
	Release(bytes int)
}

// SetBudget makes pending data count in a budget. It must be called before any message is sent. A
// message that the budget has no room for closes the connection, as one beyond maxPending does.
func (o *Outbox) SetBudget(budget Budget) { o.budget = budget }

// reserve reports whether data may be pending. The caller holds mu.
func (o *Outbox) reserve(bytes int) bool {
	if o.budget == nil {
		return true
	}
	if !o.budget.Reserve(bytes) {
		return false
	}
	o.reserved += bytes
	return true
}

// release returns bytes to the budget. The caller holds mu.
func (o *Outbox) release(bytes int) {
	if o.reserved > 0 {
		o.budget.Release(bytes)
		o.reserved -= bytes
	}
}

// A writeFunc writes to a descriptor, as syscall.Write does.
type writeFunc func(fd int, b []byte) (n int, err error)

// New returns an outbox for a connection. At most maxPending bytes are pending for a slow reader. A
// reader that accepts none of them for stallTimeout is disconnected.
func New(conn net.Conn, maxPending int, stallTimeout time.Duration) *Outbox {
	o := &Outbox{conn: conn, maxPending: maxPending, stallTimeout: stallTimeout, write: syscall.Write}
	o.writeEnded = sync.NewCond(&o.mu)
	if socket, ok := conn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			o.raw = raw
		}
	}
	return o
}

// Send writes a message, or queues it for the flusher. It returns the position of the end of the
// message, for Written. It returns false if the connection is closed, or if Send closes it because
// too much data is pending. A message that cannot be written immediately is copied.
func (o *Outbox) Send(message []byte) (end uint64, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.send(message)
}

// TrySend sends a message as Send does, but only if its first byte can be written immediately.
// Otherwise no part of it is ever written, and TrySend returns false.
func (o *Outbox) TrySend(message []byte) (end uint64, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.flushing || o.finished || o.closed || o.raw == nil {
		return 0, false
	}
	n := o.writeNow(message)
	o.queuedEnd += uint64(n)
	if n == 0 || n == len(message) {
		return o.queuedEnd, n > 0
	}
	end = o.queuedEnd + uint64(len(message)-n)
	if !o.closed {
		o.send(message[n:])
	}
	return end, true
}

// send is Send for a caller that holds mu.
func (o *Outbox) send(message []byte) (end uint64, ok bool) {
	if !o.closed && o.flushing && len(o.pending)+len(message) > o.maxPending {
		o.fail(errPendingLimit)
	}
	if o.closed || o.finished {
		// The stream never reaches this position.
		return o.queuedEnd + uint64(max(1, len(message))), false
	}
	o.queuedEnd += uint64(len(message))
	if !o.flushing {
		n := o.writeNow(message)
		if o.closed {
			return o.queuedEnd, false
		}
		message = message[n:]
	}
	if len(message) > 0 {
		if !o.reserve(len(message)) {
			o.fail(errPendingLimit)
			return o.queuedEnd, false
		}
		o.pending = append(o.pending, message...)
		if !o.flushing {
			o.flushing = true
			go o.flush()
		}
	}
	return o.queuedEnd, true
}

// writeNow writes as much as the kernel accepts without blocking, and returns the number of bytes.
// The caller holds mu.
func (o *Outbox) writeNow(b []byte) (n int) {
	if o.raw == nil {
		return 0
	}
	var writeErr error // handled after Write returns: a close in the callback would wait for itself
	err := o.raw.Write(func(fd uintptr) bool {
		n, writeErr = writeNonblocking(o.write, int(fd), b)
		return true
	})
	o.writtenEnd += uint64(n)
	if err := cmp.Or(writeErr, err); err != nil {
		o.fail(err)
	}
	return n
}

// writeNonblocking writes until the kernel accepts no more data, which is not an error.
func writeNonblocking(write writeFunc, fd int, b []byte) (n int, err error) {
	for n < len(b) {
		written, err := write(fd, b[n:])
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

const flushSize = 16 << 10 // limit of one write by the flusher, in bytes

// flush is the flusher's goroutine. It writes pending data until none is left.
func (o *Outbox) flush() {
	for {
		b := o.nextBatch()
		if b == nil {
			return
		}
		size := len(b)
		for open := true; open && len(b) > 0; { // stallTimeout applies to each write
			var n int
			n, open = o.writeBlocking(b[:min(len(b), flushSize)])
			b = b[n:]
		}
		o.spare = b[:0]
		o.mu.Lock()
		o.release(size)
		o.mu.Unlock()
	}
}

// nextBatch returns the pending data. It returns nil and marks the flusher as stopped if no data is
// pending or the connection is closed.
func (o *Outbox) nextBatch() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) == 0 || o.closed {
		o.conn.SetWriteDeadline(time.Time{}) // a write in writeNow fails once a deadline has passed
		o.flushing = false
		o.writeEnded.Broadcast()
		o.release(o.reserved)
		o.pending = nil
		o.spare = nil
		if o.finished {
			o.closeWrite()
		}
		return nil
	}
	b := o.pending
	o.pending = o.spare[:0]
	return b
}

// writeBlocking writes a part of the pending data and reports whether the connection is still open.
func (o *Outbox) writeBlocking(b []byte) (n int, open bool) {
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return 0, false
	}
	o.writeInProgress = true
	o.mu.Unlock()
	o.conn.SetWriteDeadline(time.Now().Add(o.stallTimeout))
	n, err := o.conn.Write(b)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writeInProgress = false
	o.writeEnded.Broadcast()
	o.writtenEnd += uint64(n)
	progress := n > 0 && os.IsTimeout(err) // the reader is slow, but not stalled
	if err != nil && !progress {
		o.fail(err)
	}
	return n, !o.closed
}

// errPendingLimit means that the reader is too slow for the data that is sent to it.
var errPendingLimit = errors.New("outbox: too much data is pending")

// fail closes the connection because of an error. The caller holds mu.
func (o *Outbox) fail(cause error) {
	if !o.closed {
		o.closeCause = cause
		o.close()
	}
}

// CloseCause returns the error for which the outbox closed the connection by itself. It returns nil
// if the connection is open or its owner has closed it.
func (o *Outbox) CloseCause() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closeCause
}

// close closes the connection. The caller holds mu.
func (o *Outbox) close() {
	if !o.closed {
		o.closed = true
		o.conn.Close()
		o.writeEnded.Broadcast()
	}
}

// Finish stops accepting messages. Pending data is still written, and then the write side of the
// connection is closed, so the other side reads all messages and then the end of the stream. The
// owner must still close the connection.
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

// AwaitWritten waits until no data is pending, or the connection is closed.
func (o *Outbox) AwaitWritten() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.flushing && !o.closed {
		o.writeEnded.Wait()
	}
}

// closeWrite closes the write side of the connection, or the whole connection if it does not
// support that. The caller holds mu.
func (o *Outbox) closeWrite() {
	half, ok := o.conn.(interface{ CloseWrite() error })
	if !o.closed && (!ok || half.CloseWrite() != nil) {
		o.close()
	}
}

// Close closes the connection. Pending data is discarded.
func (o *Outbox) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.close()
}

// HasPending reports whether data is pending for the reader.
func (o *Outbox) HasPending() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.flushing
}

// Written reports whether the kernel has accepted all bytes up to a position. If it has not, and
// the connection is closed, the message that ends there cannot have arrived complete. While the
// connection is open, the result may be outdated. On a closed connection, Written first waits for a
// write in progress to return, which the close causes: the other side may have received data before
// that write returns.
func (o *Outbox) Written(end uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.closed && o.writeInProgress {
		o.writeEnded.Wait()
	}
	return o.writtenEnd >= end
}
