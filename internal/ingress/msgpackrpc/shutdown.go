package msgpackrpc

import (
	"bufio"
	"maps"
	"slices"
	"time"
)

// Drain makes `status` say that no more calls are accepted; requests that come are still submitted.
func (f *Server) Drain() { f.draining.Store(true) }

// ConnCount returns how many clients are connected.
func (f *Server) ConnCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Finish ends the connections gracefully, once the gateway has answered all that it accepted: answers that wait are
// written, then this side of each connection ends, and the client closes the other. It returns when all have, or the
// time is up. Requests that come on new connections meanwhile are answered by the gateway, which rejects them.
func (f *Server) Finish(timeout time.Duration) {
	f.mu.Lock()
	if f.closed || f.empty != nil {
		f.mu.Unlock()
		return
	}
	f.empty = make(chan struct{})
	f.signalIfEmpty()
	conns := slices.Collect(maps.Keys(f.conns))
	f.mu.Unlock()
	for _, c := range conns {
		c.finish()
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-f.empty:
	case <-timer.C:
	}
}

func (c *conn) finish() {
	c.mu.Lock()
	c.leaving = true
	c.finished = true
	c.mu.Unlock()
	c.out.Finish()
}

// signalIfEmpty ends Finish's wait when no connection is left. The caller holds mu.
func (f *Server) signalIfEmpty() {
	if f.empty == nil || len(f.conns) > 0 {
		return
	}
	select {
	case <-f.empty:
	default:
		close(f.empty)
	}
}

// Close closes all connections. Serve returns once its listener is closed as well.
func (f *Server) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	close(f.done)
	conns := slices.Collect(maps.Keys(f.conns))
	f.mu.Unlock()
	for _, c := range conns {
		c.out.Close()
	}
}

// discard reads until the client closes its side, if this side has ended gracefully.
func (c *conn) discard(r *bufio.Reader) {
	c.mu.Lock()
	finished := c.finished
	c.mu.Unlock()
	for finished {
		if _, err := r.Discard(readBuffer); err != nil {
			return
		}
	}
}
