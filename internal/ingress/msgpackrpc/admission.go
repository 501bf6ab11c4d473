package msgpackrpc

import (
	"net"
	"time"
)

// A connActivity is what decides whether a connection may be closed.
type connActivity struct {
	spoke     bool          // it has sent a complete message
	inMessage bool          // it has begun a message that is not complete yet
	inFlight  int           // requests
	lastSign  time.Duration // when it last began or ended a message, was answered or was accepted
}

// Results of evictionCandidate if no connection may be closed.
const (
	noCandidate   = -1 // all have requests in flight
	candidateSoon = -2 // those that have none may just be about to send one
)

// evictionCandidate returns which connection to close to make room for a new one. One that never sent a message goes
// before any that did, and the one silent longest first. One with a request in flight is never closed for another's
// sake, nor one that has been silent for less than grace: if many connect and send nothing, those that have something
// to send need the time to do so. Clients close idle connections by themselves, so the one that has been idle longest
// is missed least.
func evictionCandidate(conns []connActivity, now, grace time.Duration) int {
	best := noCandidate
	for i, c := range conns {
		switch {
		case c.inFlight > 0:
		case now-c.lastSign < grace:
			if best == noCandidate {
				best = candidateSoon
			}
		case best < 0, evictBefore(c, conns[best]):
			best = i
		}
	}
	return best
}

func evictBefore(a, b connActivity) bool {
	if a.spoke != b.spoke {
		return !a.spoke
	}
	return a.lastSign < b.lastSign
}

// silentTooLong reports whether to close a connection that waits for no answer: it never sent a message, or is stuck
// within one, for longer than a client has to send one.
func silentTooLong(c connActivity, now, within time.Duration) bool {
	return (!c.spoke || c.inMessage) && now-c.lastSign > within
}

// start makes room for a connection, if need be, and serves it.
func (f *Server) start(socket net.Conn) {
	c := f.newConn(socket)
	admitted := f.admit(c)
	for admitted == admitLater { // meanwhile the next to connect wait in the kernel's queue
		time.Sleep(f.cfg.Settings.Tick)
		admitted = f.admit(c)
	}
	if admitted == admitNever {
		socket.Close()
		return
	}
	go c.serve()
}

// An admission says whether there is room for a new connection.
type admission int

const (
	admitNow admission = iota
	admitLater
	admitNever
)

// graceDivisor: a connection is not evicted for a time after it was accepted or last sent something, which is the
// time within which a client must send a message divided by this.
const graceDivisor = 16

// admit adds a connection, and closes another for it if there are too many.
func (f *Server) admit(c *conn) admission {
	evicted, admitted := f.tryAdmit(c)
	if evicted != nil {
		evicted.out.Close()
	}
	return admitted
}

func (f *Server) tryAdmit(c *conn) (evicted *conn, admitted admission) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, admitNever
	}
	if len(f.conns) >= f.cfg.MaxConns {
		evicted, admitted = f.evict()
		if admitted != admitNow {
			return nil, admitted
		}
	}
	f.conns[c] = struct{}{}
	return evicted, admitNow
}

// evict removes a connection to make room for another, and returns it for the caller to close. The caller holds mu.
func (f *Server) evict() (*conn, admission) {
	conns := make([]*conn, 0, len(f.conns))
	activities := make([]connActivity, 0, len(f.conns))
	for c := range f.conns {
		conns = append(conns, c)
		activities = append(activities, c.activity())
	}
	switch i := evictionCandidate(activities, f.cfg.Clock.Now(), f.cfg.MessageTimeout/graceDivisor); i {
	case noCandidate:
		f.Counts.Rejected.Add(1)
		return nil, admitNever
	case candidateSoon:
		return nil, admitLater
	default:
		if !conns[i].leave() { // it has just begun a request
			return nil, admitLater
		}
		f.Counts.Evicted.Add(1)
		delete(f.conns, conns[i])
		return conns[i], admitNow
	}
}

// checksPerTimeout is how often connections are examined in the time within which a client must send a message.
const checksPerTimeout = 8

// watch closes silent connections until Close.
func (f *Server) watch() {
	ticker := time.NewTicker(max(f.cfg.MessageTimeout/checksPerTimeout, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-f.done:
			return
		case <-ticker.C:
		}
		for _, c := range f.silentConns(f.cfg.Clock.Now()) {
			f.Counts.TimedOut.Add(1)
			c.out.Close()
		}
	}
}

// silentConns returns the connections to close, which accept no request any more.
func (f *Server) silentConns(now time.Duration) (silent []*conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if silentTooLong(c.activity(), now, f.cfg.MessageTimeout) && c.leave() {
			silent = append(silent, c)
		}
	}
	return silent
}
