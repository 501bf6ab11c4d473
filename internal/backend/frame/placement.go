package frame

import (
	"net"
	"time"
)

// A connState is what the choice among a worker's connections depends on.
type connState struct {
	inFlight int           // exchanges
	lastUsed time.Duration // when an exchange last began or ended on it
	suspect  bool          // it may be dead: a ping is not answered yet, or bytes wait to be written
	used     bool          // an exchange has begun on it; otherwise the attempt that opened it is about to begin
	knowsID  bool          // the id was used on it: a late answer to the earlier use would pass for the new one's
}

// A placement is where an attempt goes.
type placement int

const (
	useConn  placement = iota // on an open connection
	openConn                  // on a new connection
	noConn                    // nowhere: no connection may be opened, and none that is open is available
)

// limits of the connections to one worker.
type limits struct {
	maxConns    int
	maxInFlight int           // exchanges on one connection
	maxIdle     time.Duration // a connection idle for longer is not used: the worker may be closing it
}

// pick chooses where an attempt goes; index is that of the connection for useConn. One answer that cannot be read, or
// one reset, ends all that is in flight on the connection, so an attempt gets a connection of its own while the
// worker may have another: the idle one used last is the likeliest to be open. Beyond that attempts share
// connections, the one with the fewest exchanges first.
func pick(conns []connState, dialing int, lim limits, now time.Duration) (placed placement, index int) {
	idle, shared := -1, -1
	for i, c := range conns {
		switch {
		case c.suspect || c.knowsID:
		case c.inFlight == 0:
			if now-c.lastUsed <= lim.maxIdle && (idle < 0 || c.lastUsed > conns[idle].lastUsed) {
				idle = i
			}
		case c.inFlight < lim.maxInFlight:
			if shared < 0 || c.inFlight < conns[shared].inFlight {
				shared = i
			}
		}
	}
	switch {
	case idle >= 0:
		return useConn, idle
	case len(conns)+dialing < lim.maxConns:
		return openConn, 0
	case shared >= 0:
		return useConn, shared
	}
	return noConn, 0
}

// connsPerWorker returns how many connections each worker may have if all have the same share of the budget.
func connsPerWorker(budget, workers int) int { return max(1, budget/max(1, workers)) }

// place chooses the connection for an exchange with this id, or reserves room for a new one, which addConn takes up.
func (b *Backend) place(w *worker, id uint64, maxConns int) (*conn, placement) {
	now := b.cfg.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	states := make([]connState, len(w.conns))
	for i, c := range w.conns {
		states[i] = c.state(id)
	}
	if int(b.conns.Load()) >= b.cfg.MaxConns { // workers that were removed still have some
		maxConns = 0
	}
	lim := limits{maxConns: maxConns, maxInFlight: b.cfg.MaxExchangesPerConn, maxIdle: b.maxIdle}
	placed, i := pick(states, w.dialing, lim, now)
	switch placed {
	case useConn:
		return w.conns[i], useConn
	case openConn:
		w.dialing++
		b.conns.Add(1)
	}
	return nil, placed
}

// addConn takes up the room that place has reserved: with a connection, or, if the dial ended with an error, by
// giving it up.
func (b *Backend) addConn(w *worker, socket net.Conn, dialErr error) (*conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dialing--
	if dialErr == nil && w.closed {
		socket.Close()
		dialErr = net.ErrClosed
	}
	if dialErr != nil {
		b.conns.Add(-1)
		return nil, dialErr
	}
	b.Counts.Opened.Add(1)
	c := b.newConn(w, socket)
	w.conns = append(w.conns, c)
	return c, nil
}

// evictIdle closes the connection to another worker that has been idle longest, if all connections that may be open
// are: a worker that has none must not wait for those that have more than they use. It reports whether one was
// closed.
func (b *Backend) evictIdle(w *worker) bool {
	if int(b.conns.Load()) < b.cfg.MaxConns {
		return false
	}
	var longest *conn
	var lastUsed time.Duration
	for _, other := range b.allWorkers() {
		if other == w {
			continue
		}
		for _, c := range other.connections() {
			s := c.state(0)
			if s.inFlight == 0 && s.used && (longest == nil || s.lastUsed < lastUsed) {
				longest = c
				lastUsed = s.lastUsed
			}
		}
	}
	return longest != nil && longest.evict()
}
