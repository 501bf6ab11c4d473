// Package outbox writes whole messages to a connection without making the sender wait, in order, each whole, with a
// bound on what waits for a slow reader. It knows how many bytes the kernel has taken, which is what proves that a
// message which was cut half-way never came whole to the other side.
package outbox

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// An Outbox belongs to one connection. It is safe for concurrent use.
type Outbox struct {
	conn  net.Conn
	raw   syscall.RawConn // nil: every write is left to the flusher, and nothing can begin
	most  int             // bytes that may wait
	stall time.Duration   // without progress, until the reader is given up

	mu       sync.Mutex
	waiting  []byte
	spare    []byte
	flushing bool
	writing  bool       // the flusher is in a write: of what it was given any part may have been taken
	written  *sync.Cond // writing has ended
	finished bool       // nothing more is taken; our half ends once what waits is out
	closed   bool
	taken    uint64 // bytes that the kernel has taken
	end      uint64 // bytes handed over
}

// New returns the outbox of a connection. At most so many bytes wait for a reader that is slow; one that takes none of
// them for stall is closed.
func New(c net.Conn, most int, stall time.Duration) *Outbox {
	o := &Outbox{conn: c, most: most, stall: stall}
	o.written = sync.NewCond(&o.mu)
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			o.raw = raw
		}
	}
	return o
}

// Send hands a message over. It returns the place of its last byte in the stream, for Whole, and false if the connection
// is closed, or is closed now because too much waits. The message is copied if it cannot go out at once.
func (o *Outbox) Send(b []byte) (end uint64, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.send(b)
}

// Begin hands a message over as Send does, but only if its first byte goes out at once; else nothing of it ever does.
func (o *Outbox) Begin(b []byte) (end uint64, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.flushing || o.finished || o.closed || o.raw == nil {
		return 0, false
	}
	n := o.try(b)
	o.end += uint64(n)
	if n == 0 || n == len(b) {
		return o.end, n > 0
	}
	whole := o.end + uint64(len(b)-n)
	if !o.closed {
		o.send(b[n:])
	}
	return whole, true
}

func (o *Outbox) send(b []byte) (end uint64, ok bool) {
	if !o.closed && o.flushing && len(o.waiting)+len(b) > o.most {
		o.close()
	}
	if o.closed || o.finished {
		return o.end + uint64(max(1, len(b))), false // never whole
	}
	o.end += uint64(len(b))
	if !o.flushing {
		n := o.try(b)
		if o.closed {
			return o.end, false
		}
		b = b[n:]
	}
	if len(b) > 0 {
		o.waiting = append(o.waiting, b...)
		if !o.flushing {
			o.flushing = true
			go o.flush()
		}
	}
	return o.end, true
}

// try writes what the kernel takes without waiting.
func (o *Outbox) try(b []byte) (n int) {
	if o.raw == nil {
		return 0
	}
	var failed error
	err := o.raw.Write(func(fd uintptr) bool {
		for n < len(b) {
			m, err := syscall.Write(int(fd), b[n:])
			if m > 0 {
				n += m
			}
			switch {
			case err == syscall.EINTR:
				continue
			case err == syscall.EAGAIN:
				return true
			case err != nil:
				failed = err // to close here would wait for this very call to end
				return true
			}
		}
		return true
	})
	o.taken += uint64(n)
	if err != nil || failed != nil {
		o.close()
	}
	return n
}

func (o *Outbox) flush() {
	for {
		o.mu.Lock()
		if len(o.waiting) == 0 || o.closed {
			o.flushing, o.waiting, o.spare = false, nil, nil
			if o.finished {
				o.endWrites()
			}
			o.mu.Unlock()
			return
		}
		b := o.waiting
		o.waiting = o.spare[:0]
		o.mu.Unlock()
		for open := true; open && len(b) > 0; { // any progress earns the reader more time
			var n int
			n, open = o.write(b[:min(len(b), 1<<14)])
			b = b[n:]
		}
		o.spare = b[:0]
	}
}

// write writes a part of what waits, as long as it takes, and tells whether the connection is still open.
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
	o.written.Broadcast()
	o.taken += uint64(n)
	if err != nil && !(n > 0 && os.IsTimeout(err)) {
		o.close()
	}
	return n, !o.closed
}

func (o *Outbox) close() {
	if !o.closed {
		o.closed = true
		o.conn.Close()
	}
}

// Finish takes no more messages. What waits still goes out, and then our half of the connection ends: the other side reads all
// of it and then the end. To close the connection is left to the owner.
func (o *Outbox) Finish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.finished || o.closed {
		return
	}
	o.finished = true
	if !o.flushing {
		o.endWrites()
	}
}

func (o *Outbox) endWrites() {
	if c, ok := o.conn.(interface{ CloseWrite() error }); !o.closed && (!ok || c.CloseWrite() != nil) {
		o.close()
	}
}

// Close closes the connection. What waits is dropped.
func (o *Outbox) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.close()
}

// Busy tells whether anything waits for the reader.
func (o *Outbox) Busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.flushing
}

// Written tells whether the kernel has taken all bytes up to end. If not, and the connection is closed, the message that
// ends there cannot have come whole to the other side. On a closed connection it waits for a write that is under way, which the
// close ends: the other side may have what was written before the write has returned. On an open one it may lag behind.
func (o *Outbox) Written(end uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.closed && o.writing {
		o.written.Wait()
	}
	return o.taken >= end
}
