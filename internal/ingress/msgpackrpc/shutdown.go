package msgpackrpc

import (
	"maps"
	"slices"
	"time"
)

// Drain makes `status` report that calls are no longer accepted. Requests that still arrive are
// submitted to the gateway.
func (s *Server) Drain() { s.draining.Store(true) }

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Finish closes the connections gracefully. It must be called after the gateway has answered all
// accepted requests. What has arrived on a connection is rejected and queued answers are written, then
// this side is closed, and the client closes the other side. Finish returns when all connections are
// closed or the timeout has passed. Requests on connections that are opened meanwhile are rejected by
// the gateway.
func (s *Server) Finish(timeout time.Duration) {
	s.mu.Lock()
	if s.closed || s.empty != nil {
		s.mu.Unlock()
		return
	}
	s.empty = make(chan struct{})
	s.signalIfEmpty()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		c.finish()
	}
	if !s.awaitEmpty(timeout / 2) {
		for _, c := range conns {
			c.out.Finish() // those that have not read what had arrived until now have too much of it
		}
		s.awaitEmpty(timeout / 2)
	}
}

// awaitEmpty waits until no connection is left, and returns false after the timeout.
func (s *Server) awaitEmpty(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.empty:
		return true
	case <-timer.C:
		return false
	}
}

// finish lets the reading goroutine reject what has arrived, and close this side of the connection.
func (c *conn) finish() {
	c.mu.Lock()
	c.enter(phaseRefusing)
	c.finished = true
	c.mu.Unlock()
	c.closeAfterReading()
}

// signalIfEmpty lets Finish return when no connection is left. The caller holds mu.
func (s *Server) signalIfEmpty() {
	if s.empty == nil || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// Close closes all connections immediately. Serve returns once its listener is closed as well.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	close(s.done)
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		c.abort()
	}
}

// hasFinished reports whether finish was called.
func (c *conn) hasFinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished
}
