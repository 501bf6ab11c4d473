package frame

import (
	"net"
	"time"
)

// A connState is the state of a connection on which the choice among a worker's connections is
// based.
type connState struct {
	inFlight int           // number of exchanges in flight
	lastUsed time.Duration // when an exchange last started or ended
	suspect  bool          // possibly dead: a ping is unanswered or output is queued
	used     bool          // false until the first exchange has started
	idTaken  bool          // the ID is in flight or may still get a late response
}

// A placement says on which kind of connection an attempt is sent.
type placement int

const (
	useConn  placement = iota // an open connection
	openConn                  // a new connection
	noConn                    // none: no connection may be opened, and no open one is available
)

// limits are the limits on the connections to one worker.
type limits struct {
	maxConns    int
	maxInFlight int           // exchanges per connection
	maxIdle     time.Duration // longest idle time of a usable connection
}

// choosePlacement chooses the connection for an attempt. For useConn, index is that of the chosen
// connection. One malformed response or one reset ends all exchanges in flight on a connection, so
// an attempt gets its own connection as long as the worker may have another. Among idle connections
// the most recently used one is chosen, as it is the most likely to be open. Beyond that, attempts
// share connections, starting with the one that has the fewest exchanges in flight.
func choosePlacement(conns []connState, dialing int, lim limits, now time.Duration) (choice placement, index int) {
	idle, shared := -1, -1
	for i, c := range conns {
		switch {
		case c.suspect || c.idTaken:
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

// connsPerWorker returns how many connections each worker may have if all get an equal share of the
// budget.
func connsPerWorker(budget, workers int) int { return max(1, budget/max(1, workers)) }

// placeExchange chooses a connection for an exchange with the given ID. If it returns openConn, it
// has reserved a slot for a new connection, which addConn then uses or releases.
func (b *Backend) placeExchange(w *worker, id uint64, maxConns int) (*conn, placement) {
	now := b.cfg.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	states := make([]connState, len(w.conns))
	for i, c := range w.conns {
		states[i] = c.state(id)
	}
	if int(b.conns.Load()) >= b.cfg.MaxConns { // removed workers still have some
		maxConns = 0
	}
	lim := limits{maxConns: maxConns, maxInFlight: b.cfg.MaxExchangesPerConn, maxIdle: b.maxIdle}
	choice, i := choosePlacement(states, w.dialing, lim, now)
	switch choice {
	case useConn:
		return w.conns[i], useConn
	case openConn:
		w.dialing++
		b.conns.Add(1)
	}
	return nil, choice
}

// addConn uses the slot that placeExchange has reserved for a new connection, or releases it if the
// dial failed.
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

// evictIdle closes the connection that has been idle longest among those to other workers, if the
// maximum number of connections is reached. Without it, a worker without connections would have to
// wait for others that do not use theirs. It reports whether it closed a connection.
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
