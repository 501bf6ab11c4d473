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

	"kitehub/internal/overload"
)

// A Handler answers requests. Serve runs on the connection's goroutine. If it returns nil, the
// connection is closed without a response.
type Handler interface {
	Serve(c *Conn, r *Request) *Response
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(c *Conn, r *Request) *Response

// Serve calls f(c, r).
func (f HandlerFunc) Serve(c *Conn, r *Request) *Response { return f(c, r) }

// A Server accepts connections and passes their requests to a handler. Its exported fields must not
// change once it serves. It is safe for concurrent use.
type Server struct {
	Handler        Handler
	Limits         Limits
	MaxConnections int              // open at once; further ones are answered 503 and closed. 0: 10,000
	Rejected       atomic.Int64     // connections answered 503: beyond MaxConnections, or while stopping
	Gate           *overload.Gate   // for connections that send faster than others; nil: there is none
	Budget         *overload.Budget // of the bytes of requests, from their heads to their responses; nil: there is none
	AcceptBackoffs atomic.Int64     // waits after a failed accept, mostly for want of file descriptors

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	stopped  bool         // no connection is accepted, and each one ends with its current request
	handOver HandOverFunc // set by Detach
	wg       sync.WaitGroup
}

// A HandOverFunc receives a connection together with the bytes that were read from it and not used.
// Whether it closes its side of the connection is up to it.
type HandOverFunc = func(conn net.Conn, read []byte)

const defaultMaxConnections = 10000

// Backoff after an accept that failed for lack of resources.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// Serve accepts connections until the listener is closed, and then returns nil. While accept fails
// for lack of file descriptors, it waits and retries, doubling the wait up to one second: returning
// would lose the listener, and retrying at once would take CPU time from the requests in flight.
func (s *Server) Serve(listener net.Listener) error {
	limits := s.Limits.WithDefaults()
	backoff := minAcceptBackoff
	for {
		socket, err := listener.Accept()
		switch {
		case err == nil:
			backoff = minAcceptBackoff
			s.startConn(socket, nil, time.Time{}, limits)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTransientAcceptError(err):
			s.AcceptBackoffs.Add(1)
			time.Sleep(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
		default:
			return err
		}
	}
}

// isTransientAcceptError reports whether accept failed for lack of resources, or because the
// connection was already closed.
func isTransientAcceptError(err error) bool {
	transientErrors := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}
	return slices.ContainsFunc(transientErrors, func(transient error) bool { return errors.Is(err, transient) })
}

// Adopt serves a connection that another process accepted. read holds the bytes that the other
// process read from it and did not use.
func (s *Server) Adopt(socket net.Conn, read []byte) {
	s.startConn(socket, read, time.Now(), s.Limits.WithDefaults())
}

// startConn serves a connection, unless it is to be handed over or rejected. Requests on it that are not
// read yet have arrived after a time.
func (s *Server) startConn(socket net.Conn, read []byte, unreadSince time.Time, limits Limits) {
	s.mu.Lock()
	if handOver := s.handOver; handOver != nil {
		s.mu.Unlock()
		handOver(socket, read)
		return
	}
	if s.stopped || len(s.conns) >= cmp.Or(s.MaxConnections, defaultMaxConnections) {
		s.mu.Unlock()
		s.Rejected.Add(1)
		rejectConn(socket)
		return
	}
	if s.conns == nil {
		s.conns = map[*Conn]struct{}{}
	}
	c := &Conn{Conn: socket, server: s, limits: limits, meter: overload.NewMeter(freeRequestRate, freeRequestBurst)}
	if s.Budget != nil {
		c.account = s.Budget.NewAccount()
	}
	s.conns[c] = struct{}{}
	s.wg.Add(1)
	s.mu.Unlock()
	go c.serve(read, unreadSince)
}

// removeConn unregisters a connection that has ended.
func (s *Server) removeConn(c *Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.wg.Done()
}

// Drain closes idle connections, lets requests in flight complete, and returns when no connection
// is left. After the timeout it resets those that remain.
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

// interruptIdle interrupts the reads of idle connections that wait for their next request. The
// caller holds mu.
func (s *Server) interruptIdle() {
	for c := range s.conns {
		if !c.busy.Load() {
			c.Conn.SetReadDeadline(expiredDeadline)
		}
	}
}

// expiredDeadline is a deadline in the past: it interrupts a read at once.
var expiredDeadline = time.Unix(1, 0)

// Abort resets all connections at once and rejects further ones.
func (s *Server) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for c := range s.conns {
		c.Reset()
	}
}

// stopping reports whether connections end with their current request, which they do after Drain
// unless they are handed over.
func (s *Server) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped && s.handOver == nil
}
