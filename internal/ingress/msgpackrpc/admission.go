package msgpackrpc

import (
	"time"
)

// A connActivity is the state of a connection that decides whether it may be closed.
type connActivity struct {
	sentMessage  bool          // the client has sent a complete message
	inMessage    bool          // the client has begun a message that is not complete yet
	inFlight     int           // requests that the gateway has not answered
	ended        bool          // it is ending: only the gateway's answers are missing
	closed       bool          // and it has no descriptor any more
	lastActivity time.Duration // last begin or end of a message, answer, or accept
	pacedAt      time.Duration // when it last sent faster than the normal rate; 0: never
}

// pacedTime is how long after it sent too fast a connection counts as one that does.
const pacedTime = time.Second

// paced reports whether the connection sends faster than others.
func (c connActivity) paced(now time.Duration) bool {
	return c.pacedAt > 0 && now-c.pacedAt < pacedTime
}

// Results of evictionCandidate if no connection may be evicted.
const (
	noCandidate    = -2 // all connections have requests in flight
	candidateLater = -1 // idle connections are in their grace period, or ended ones will be gone soon
)

// evictionCandidate returns the index of the connection to close to make room for a new one.
// Connections that never sent a message are chosen first, then those that send faster than others, and
// among equals the one that has been silent longest. Of the others a connection with a request in
// flight is never chosen, nor one that has been silent for less than grace: if many clients connect
// without sending anything, the others need that time to send their first message. Clients close idle
// connections themselves, so the one that has been idle longest is the least likely to be needed. If
// all have requests in flight, the one that has most is chosen, if these are many.
func evictionCandidate(conns []connActivity, now, grace time.Duration) int {
	best := noCandidate
	for i, c := range conns {
		switch {
		case c.ended:
			best = max(best, candidateLater)
		case c.paced(now):
		case c.inFlight > 0:
			continue
		case now-c.lastActivity < grace:
			best = max(best, candidateLater)
			continue
		}
		if !c.ended && (best < 0 || evictBefore(c, conns[best], now)) {
			best = i
		}
	}
	if best == noCandidate {
		return heaviest(conns)
	}
	return best
}

// heavyRequests is the number of requests in flight from which a connection may be closed to make room
// if there is no other candidate.
const heavyRequests = 16

// heaviest returns the index of the connection with the most requests in flight, if they are many.
func heaviest(conns []connActivity) int {
	best := noCandidate
	for i, c := range conns {
		if c.inFlight >= heavyRequests && (best < 0 || c.inFlight > conns[best].inFlight) {
			best = i
		}
	}
	return best
}

// evictBefore reports whether a is to be evicted rather than b.
func evictBefore(a, b connActivity, now time.Duration) bool {
	if a.sentMessage != b.sentMessage {
		return !a.sentMessage
	}
	if pacedA, pacedB := a.paced(now), b.paced(now); pacedA != pacedB {
		return pacedA
	}
	return a.lastActivity < b.lastActivity
}

// silentTooLong reports whether to close a connection because its client has not completed a
// message within the timeout. It applies to a client that never sent a message or has stopped
// within one, not to one that is idle between messages.
func silentTooLong(c connActivity, now, timeout time.Duration) bool {
	return (!c.sentMessage || c.inMessage) && now-c.lastActivity > timeout
}

// An admission is the decision about a new connection.
type admission int

const (
	admitNow   admission = iota
	admitLater           // retry: an idle connection can be evicted soon
	admitNever           // close the new connection
)

// graceDivisor determines the grace period: after a connection was accepted or was last active, it
// is not evicted for MessageTimeout divided by graceDivisor.
const graceDivisor = 16

// admit adds a connection, and evicts another one if the limit is reached.
func (s *Server) admit(c *conn) admission {
	evicted, admitted := s.tryAdmit(c)
	if evicted != nil {
		evicted.closeAfterReading()
	}
	return admitted
}

// tryAdmit adds a connection. It returns the evicted connection, if any, for the caller to close.
func (s *Server) tryAdmit(c *conn) (evicted *conn, admitted admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, admitNever
	}
	if len(s.conns) >= s.cfg.MaxConns {
		evicted, admitted = s.evict()
		if admitted != admitNow {
			return nil, admitted
		}
	}
	s.conns[c] = struct{}{}
	return evicted, admitNow
}

// maxEndingDivisor gives the part of the connections that may be ending before no further one is chosen
// to make room, and how many that have no descriptor any more do not count. It is not one connection,
// as the end of one may take longer than many new ones.
const maxEndingDivisor = 4

// A survey is what evict knows of the connections.
type survey struct {
	conns      []*conn
	activities []connActivity // of each
	ending     int            // connections that end already
	closed     int            // of them, those that have no descriptor any more
}

// survey looks at all connections. A connection that sends faster than others, and whose client has left
// with much unread, ends now. The caller holds mu.
func (s *Server) survey(now time.Duration) (all survey) {
	for c := range s.conns {
		activity := c.activity()
		if !activity.ended && activity.paced(now) && c.in.PeerClosed() {
			c.stopReading()
			activity.ended = true
		}
		all.conns = append(all.conns, c)
		all.activities = append(all.activities, activity)
		if activity.ended {
			all.ending++
		}
		if activity.closed {
			all.closed++
		}
	}
	return all
}

// evict makes room for another connection. If it removes one for that, it returns it for the caller to
// close. The caller holds mu.
func (s *Server) evict() (*conn, admission) {
	now := s.cfg.Clock.Now()
	all := s.survey(now)
	most := s.cfg.MaxConns / maxEndingDivisor
	switch {
	case len(s.conns)-min(all.closed, most) < s.cfg.MaxConns:
		return nil, admitNow
	case all.ending > most:
		return nil, admitLater
	}
	switch i := evictionCandidate(all.activities, now, s.cfg.MessageTimeout/graceDivisor); i {
	case noCandidate:
		s.Counts.Rejected.Add(1)
		return nil, admitNever
	case candidateLater:
		return nil, admitLater
	default:
		return s.evictConn(all.conns[i], all.activities[i], now)
	}
}

// evictConn evicts a connection, or lets it end by itself if it has requests to be answered first. The
// caller holds mu.
func (s *Server) evictConn(c *conn, activity connActivity, now time.Duration) (*conn, admission) {
	if activity.inFlight > 0 || activity.paced(now) {
		c.stopReading()
		return nil, admitLater
	}
	if !c.stopIfIdle() { // it has just received a request
		return nil, admitLater
	}
	s.Counts.Evicted.Add(1)
	delete(s.conns, c)
	return c, admitNow
}

// checksPerTimeout is how often the connections are checked within one MessageTimeout.
const checksPerTimeout = 8

// closeSilentConns closes the connections of silent clients until Close is called.
func (s *Server) closeSilentConns() {
	ticker := time.NewTicker(max(s.cfg.MessageTimeout/checksPerTimeout, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
		s.history.expire(s.cfg.Clock.Now())
		for _, c := range s.silentConns(s.cfg.Clock.Now()) {
			s.Counts.TimedOut.Add(1)
			c.closeAfterReading()
		}
	}
}

// silentConns returns the connections to close for silence. They accept no further requests.
func (s *Server) silentConns(now time.Duration) (silent []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if silentTooLong(c.activity(), now, s.cfg.MessageTimeout) && c.stopIfIdle() {
			silent = append(silent, c)
		}
	}
	return silent
}
