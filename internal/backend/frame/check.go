package frame

import "time"

// A checkAction is what to do about a connection that was examined.
type checkAction int

const (
	keepConn checkAction = iota
	pingConn
	closeConn
)

// checkSilence examines a connection with exchanges in flight. A slow worker answers a ping at once, as its
// connection works; one that is dead, or whose connection waits for the rest of a frame that will not come, does not.
// lastHeard is when a complete frame last came, or the first exchange began if that was later; pingedAt is when the
// ping was sent that is not answered yet, 0 if there is none.
func checkSilence(now, lastHeard, pingedAt, patience time.Duration) checkAction {
	switch {
	case pingedAt > 0 && now-pingedAt > patience:
		return closeConn
	case pingedAt == 0 && now-lastHeard > patience:
		return pingConn
	}
	return keepConn
}

// check is called periodically: it sends a ping on a silent connection, closes one that is dead, or idle for too
// long, and forgets old ids.
func (c *conn) check(now time.Duration) {
	b := c.worker.backend
	c.mu.Lock()
	action := c.nextAction(now)
	if action == pingConn {
		c.pingedAt = now
	}
	dead := c.pingedAt > 0
	c.sweepEnded(now)
	c.mu.Unlock()
	switch action {
	case pingConn:
		b.Counts.Pings.Add(1)
		c.out.Send(appendFrame(nil, codePing, b.nextID.Add(1), nil, nil))
	case closeConn:
		if dead {
			b.Counts.Dead.Add(1)
		}
		c.out.Close() // the reading goroutine ends what is in flight
	}
}

// nextAction returns what to do about the connection. The caller holds mu.
func (c *conn) nextAction(now time.Duration) checkAction {
	b := c.worker.backend
	switch {
	case c.closed:
		return keepConn
	case len(c.inFlight) > 0 || c.pingedAt > 0: // a ping must be answered even if nothing is in flight any more
		return checkSilence(now, c.lastHeard, c.pingedAt, b.cfg.PingAfter)
	case now-c.lastUsed > b.maxIdle || c.worker.withdrawn.Load():
		return closeConn
	}
	return keepConn
}

// sweepsPerForget is how often the ids of ended exchanges are swept in the time that they are remembered.
const sweepsPerForget = 4

// sweepEnded forgets the ids to which no answer can come any more. The caller holds mu.
func (c *conn) sweepEnded(now time.Duration) {
	forget := c.worker.backend.cfg.MaxResponseDelay
	if now-c.sweptAt <= forget/sweepsPerForget {
		return
	}
	c.sweptAt = now
	for id, at := range c.endedAt {
		if now-at > forget {
			delete(c.endedAt, id)
		}
	}
}
