package frame

import "time"

// A checkAction is the result of checking a connection.
type checkAction int

const (
	keepConn checkAction = iota
	pingConn
	closeConn
)

// checkSilence returns what to do with a connection that has exchanges in flight, depending on how
// long it has been silent. A slow worker responds to a ping at once, as its connection works. A
// dead worker does not, nor does one whose connection is stuck within an incomplete frame.
//
// lastReceived is when the last complete frame was received or, if that is later, when the first
// exchange in flight began. pingSentAt is when the unanswered ping was sent, or 0 if there is none.
func checkSilence(now, lastReceived, pingSentAt, timeout time.Duration) checkAction {
	switch {
	case pingSentAt > 0 && now-pingSentAt > timeout:
		return closeConn
	case pingSentAt == 0 && now-lastReceived > timeout:
		return pingConn
	}
	return keepConn
}

// check is called periodically. It sends a ping on a silent connection, closes one that is dead or
// idle for too long, and forgets the IDs of exchanges that ended long ago.
func (c *conn) check(now time.Duration) {
	b := c.worker.backend
	c.mu.Lock()
	action := c.nextAction(now)
	switch action {
	case pingConn:
		c.pingSentAt = now
	case closeConn:
		c.closed = true // before a call can start on it
	}
	dead := c.pingSentAt > 0
	c.sweepEnded(now)
	c.mu.Unlock()
	switch action {
	case pingConn:
		b.Counts.Pings.Add(1)
		c.out.Send(appendFrame(nil, codePing, b.nextID.Add(1), nil, nil))
	case closeConn:
		if dead {
			b.Counts.Dead.Add(1)
			c.discardUnsent()
		}
		c.out.Close() // the reading goroutine ends the exchanges in flight
	}
}

// nextAction returns what to do with the connection. The caller must hold c.mu.
func (c *conn) nextAction(now time.Duration) checkAction {
	b := c.worker.backend
	switch {
	case c.closed:
		return keepConn
	case len(c.inFlight) > 0 || c.pingSentAt > 0: // a pong is due even if nothing is in flight
		return checkSilence(now, c.lastReceived, c.pingSentAt, b.cfg.PingAfter)
	case now-c.lastUsed > b.maxIdle || c.worker.withdrawn.Load():
		return closeConn
	}
	return keepConn
}

// sweepsPerResponseDelay is how many times the IDs of ended exchanges are swept during
// Config.MaxResponseDelay, for which they are kept.
const sweepsPerResponseDelay = 4

// sweepEnded forgets the IDs of exchanges for which no late response can arrive any more. The
// caller must hold c.mu.
func (c *conn) sweepEnded(now time.Duration) {
	maxDelay := c.worker.backend.cfg.MaxResponseDelay
	if now-c.sweptAt <= maxDelay/sweepsPerResponseDelay {
		return
	}
	c.sweptAt = now
	for id, at := range c.endedAt {
		if now-at > maxDelay {
			delete(c.endedAt, id)
		}
	}
}
