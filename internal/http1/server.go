package http1

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A Handler answers requests. It runs on the goroutine of the connection. A nil answer closes the connection without
// one.
type Handler interface {
	Serve(c *Conn, r *Request) *Response
}

// HandlerFunc is a Handler that is a function.
type HandlerFunc func(c *Conn, r *Request) *Response

// Serve calls f.
func (f HandlerFunc) Serve(c *Conn, r *Request) *Response { return f(c, r) }

// A Server accepts connections and has a handler answer their requests. The exported fields must not change once it
// serves. It is safe for concurrent use.
type Server struct {
	Handler        Handler
	Limits         Limits
	MaxConnections int          // connections at once; further ones are answered 503 and closed. 0: 10,000
	Rejected       atomic.Int64 // connections beyond MaxOpen
	AcceptBackoffs atomic.Int64 // times that accept had to wait for file descriptors

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	stopped  bool         // no connection is accepted, and each ends with its request
	handOver HandOverFunc // see Detach; nil before
	wg       sync.WaitGroup
}

// A HandOverFunc gets a connection, and what was read of it and not used. It closes the connection on this side or
// not, as it likes.
type HandOverFunc = func(conn net.Conn, read []byte)

const defaultMaxOpen = 10000

// Waits after an accept that failed for want of resources.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// Serve accepts connections until the listener is closed, and then returns nil. While file descriptors are used up it
// waits, twice as long each time up to a second, and goes on: to end would lose the listener, and to spin would take
// the processor from those that answer.
func (s *Server) Serve(listener net.Listener) error {
	limits := s.Limits.WithDefaults()
	backoff := minAcceptBackoff
	for {
		socket, err := listener.Accept()
		switch {
		case err == nil:
			backoff = minAcceptBackoff
			s.start(socket, nil, limits)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isShortage(err):
			s.AcceptBackoffs.Add(1)
			time.Sleep(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
		default:
			return err
		}
	}
}

// isShortage reports whether an accept failed for want of resources, or of a connection that has ended already.
func isShortage(err error) bool {
	shortages := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}
	return slices.ContainsFunc(shortages, func(shortage error) bool { return errors.Is(err, shortage) })
}

// Adopt serves a connection that another process accepted; read is what that has read of it and not used.
func (s *Server) Adopt(socket net.Conn, read []byte) { s.start(socket, read, s.Limits.WithDefaults()) }

// start serves a connection, unless it is handed over or rejected.
func (s *Server) start(socket net.Conn, read []byte, limits Limits) {
	s.mu.Lock()
	if handOver := s.handOver; handOver != nil {
		s.mu.Unlock()
		handOver(socket, read)
		return
	}
	if s.stopped || len(s.conns) >= cmp.Or(s.MaxConnections, defaultMaxOpen) {
		s.mu.Unlock()
		s.Rejected.Add(1)
		reject(socket)
		return
	}
	if s.conns == nil {
		s.conns = map[*Conn]struct{}{}
	}
	c := &Conn{Conn: socket, server: s, limits: limits}
	s.conns[c] = struct{}{}
	s.wg.Add(1)
	s.mu.Unlock()
	go c.serve(read)
}

// remove forgets a connection that has ended.
func (s *Server) remove(c *Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.wg.Done()
}

// Drain closes idle connections, lets those with a request in flight answer it, and returns when none is left. After
// the time given it closes what is left.
func (s *Server) Drain(timeout time.Duration) {
	s.mu.Lock()
	s.stopped = true
	s.interruptIdle()
	s.mu.Unlock()
	drained := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(drained)
	}()
	select {
	case <-drained:
	case <-time.After(timeout):
		s.Abort()
		<-drained
	}
}

// interruptIdle ends the wait of idle connections for their next request. The caller holds mu.
func (s *Server) interruptIdle() {
	for c := range s.conns {
		if !c.busy.Load() {
			c.Conn.SetReadDeadline(longPast)
		}
	}
}

// longPast is a deadline that ends a read at once.
var longPast = time.Unix(1, 0)

// Abort closes all connections at once, with a reset.
func (s *Server) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for c := range s.conns {
		c.Reset()
	}
}

// stopping reports whether connections end with their request: after Drain, unless they are handed over.
func (s *Server) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped && s.handOver == nil
}
