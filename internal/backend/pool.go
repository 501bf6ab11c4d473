package backend

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kitehub/internal/http1"
)

// A worker is an entry of the endpoint list with its idle connections.
type worker struct {
	Endpoint
	withdrawn atomic.Bool // draining or removed: nothing new is sent to it

	mu     sync.Mutex
	idle   []*conn // ordered by last use, most recent last
	closed bool    // removed: connections are closed instead of becoming idle
}

// A conn is a connection to a worker. It is either used by one exchange or in its worker's list of
// idle connections.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Duration // in the time of the backend's clock
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, http1.ReadBufferSize)}
}

// takeIdle returns the most recently used idle connection that is still open, or nil. It detects
// connections that the worker has closed, because this must happen before a byte is written:
// afterwards nothing would prove that the call did not run.
func (b *Backend) takeIdle(w *worker) *conn {
	for {
		c := w.popIdle()
		if c == nil {
			return nil
		}
		if b.cfg.Clock.Now()-c.idleSince < b.cfg.IdleTimeout && isOpen(c) {
			b.Reused.Add(1)
			return c
		}
		b.Stale.Add(1)
		c.Close()
	}
}

func (w *worker) popIdle() *conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := len(w.idle) - 1
	if last < 0 {
		return nil
	}
	c := w.idle[last]
	w.idle = w.idle[:last]
	return c
}

// isOpen reports whether an idle connection is open and has nothing to read.
func isOpen(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok { // not a socket but a connection of a test
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// putIdle makes a connection available to later exchanges. It closes the connection that has been
// idle longest if there are too many or if that one has been idle for too long.
func (b *Backend) putIdle(w *worker, c *conn) {
	now := b.cfg.Clock.Now()
	c.idleSince = now
	w.mu.Lock()
	if w.closed || b.closed.Load() {
		w.mu.Unlock()
		c.Close()
		return
	}
	var surplus *conn
	w.idle = append(w.idle, c)
	if len(w.idle) > b.cfg.MaxIdlePerWorker || now-w.idle[0].idleSince >= b.cfg.IdleTimeout {
		surplus = w.idle[0]
		w.idle = w.idle[1:]
	}
	w.mu.Unlock()
	if surplus != nil {
		surplus.Close()
	}
}

func (w *worker) closeIdle() {
	w.mu.Lock()
	idle := w.idle
	w.idle = nil
	w.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// close closes the idle connections. Connections in use are closed when their exchanges end instead
// of becoming idle.
func (w *worker) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.closeIdle()
}
