package msgpackrpc

import (
	"bufio"
	"maps"
	"slices"
	"time"
)

// Drain says by `status` that no more is to come; requests are still taken.
func (f *Front) Drain() { f.draining.Store(true) }

// Conns returns how many clients are connected.
func (f *Front) Conns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Finish ends the connections in order, once the gateway has answered all that it took: answers that wait go out, then our half of
// each connection ends, and the client closes the other. It returns when all have, or the time is up; what comes meanwhile on new
// connections is answered by the gateway's refusal.
func (f *Front) Finish(within time.Duration) {
	f.mu.Lock()
	if f.closed || f.empty != nil {
		f.mu.Unlock()
		return
	}
	f.empty = make(chan struct{})
	f.noneLeft()
	l := slices.Collect(maps.Keys(f.conns))
	f.mu.Unlock()
	for _, c := range l {
		c.mu.Lock()
		c.leaving, c.finished = true, true
		c.mu.Unlock()
		c.out.Finish()
	}
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case <-f.empty:
	case <-t.C:
	}
}

// noneLeft tells Finish when the last connection has ended. The lock is held.
func (f *Front) noneLeft() {
	if f.empty == nil || len(f.conns) > 0 {
		return
	}
	select {
	case <-f.empty:
	default:
		close(f.empty)
	}
}

// Close ends all connections; Serve returns once its listener is closed as well.
func (f *Front) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	close(f.done)
	var l []*conn
	for c := range f.conns {
		l = append(l, c)
	}
	f.mu.Unlock()
	for _, c := range l {
		c.out.Close()
	}
}

// discard reads until the client ends, where our half has ended in order.
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
