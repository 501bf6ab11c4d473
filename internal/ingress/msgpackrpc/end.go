package msgpackrpc

import (
	"errors"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"kitehub/internal/inbox"
)

// An endCause says why a connection ends.
type endCause int

const (
	causeRead      endCause = iota // the client has closed, or a read or write failed
	causeMalformed                 // malformed message
	causeHandled                   // a message for which the connection is closed
	causeDrained                   // chosen to make room, or silent for too long
	causeStopped                   // chosen to make room, as it sends faster than others
)

// String returns the cause's name in the log.
func (c endCause) String() string {
	return [...]string{
		causeRead:      "closed by client",
		causeMalformed: "malformed message",
		causeHandled:   "invalid messages",
		causeDrained:   "to make room, or silent",
		causeStopped:   "to make room, sends too fast",
	}[c]
}

// causeOf returns the cause of an end by a failed read.
func causeOf(err error) endCause {
	if errors.Is(err, errDrained) || errors.Is(err, inbox.ErrDrained) || errors.Is(err, os.ErrDeadlineExceeded) {
		return causeDrained
	}
	return causeRead
}

// end ends the connection. All requests in flight are cancelled first: when the client sees the
// close, none of them is forwarded any more. If the client has not left by itself, each of them is
// answered. The connection counts as open until the gateway has given them up: a client that
// connects again and again has no more of them than one that stays.
func (c *conn) end(cause endCause) {
	if cause == causeRead {
		c.recordAbandoned(c.abandonRequests())
		c.out.Close()
		c.mu.Lock()
		c.enter(phaseClosed)
		c.mu.Unlock()
		c.awaitUnanswered(0)
	} else {
		cancelled := c.cancelRequests()
		c.awaitUnanswered(0)
		c.linger(cause)
		c.out.Close()
		c.server.events.closed(c, cause, cancelled)
	}
	s := c.server
	s.mu.Lock()
	delete(s.conns, c)
	s.signalIfEmpty()
	s.mu.Unlock()
}

// abandonRequests cancels all requests, whose answers nobody waits for, and returns their number.
func (c *conn) abandonRequests() int {
	c.dropBatch()
	c.mu.Lock()
	abandoned := slices.Collect(maps.Values(c.inFlight))
	clear(c.inFlight)
	c.enter(phaseEnding)
	c.mu.Unlock()
	return c.cancelAll(abandoned)
}

// cancelRequests cancels all requests, and returns their number. The gateway's answers tell whether they
// may have run, and deliver passes that on.
func (c *conn) cancelRequests() int {
	c.rejectBatch()
	c.mu.Lock()
	open := slices.Collect(maps.Values(c.inFlight))
	c.enter(phaseEnding)
	c.mu.Unlock()
	return c.cancelAll(open)
}

// cancelAll cancels those requests that were submitted, and returns their number.
func (c *conn) cancelAll(requests []*inFlightRequest) (submitted int) {
	for _, r := range requests {
		if r.id == 0 { // dropped with the batch
			continue
		}
		submitted++
		c.server.history.abandon(r.txn)
		c.server.cfg.Gateway.Cancel(r.id)
	}
	return submitted
}

const (
	// maxLingerBytes bounds what is read and discarded of a client that goes on sending.
	maxLingerBytes = 64 << 10
	// resetDelay is the time for a client to read its answers before its connection is reset.
	resetDelay = 50 * time.Millisecond
)

// linger closes this side once the answers are written, and waits for the client to close its side:
// closing the connection with unread bytes would reset it, and the answers could be lost. It waits no
// longer than resetDelay for a client that sends at full speed, and not for one that is idle, unless the
// server stops: then Close ends the wait.
func (c *conn) linger(cause endCause) {
	c.out.Finish()
	slow := time.AfterFunc(c.server.cfg.StallTimeout, c.out.Close)
	defer slow.Stop()
	c.out.AwaitWritten()
	switch {
	case c.hasFinished():
		c.SetReadDeadline(time.Time{})
		io.Copy(io.Discard, c.Conn)
	case cause == causeStopped:
		time.Sleep(resetDelay)
	case !c.draining && c.SetReadDeadline(time.Time{}) == nil:
		io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
}

// awaitSlot waits until the connection may have one more request. Requests that were cancelled hold
// their slots until the gateway has given them up. Nothing more is read meanwhile, so a client cannot
// cancel and send faster than the gateway steps.
func (c *conn) awaitSlot() {
	most := c.server.cfg.MaxInFlight - 1 - len(c.batch)
	c.mu.Lock()
	free := c.unanswered <= most
	c.mu.Unlock()
	if !free {
		c.pace.pause()
		c.awaitUnanswered(most)
	}
}

// awaitUnanswered waits until the gateway has to answer at most n requests of the connection.
func (c *conn) awaitUnanswered(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.unanswered > n && !c.aborted {
		c.answered.Wait()
	}
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.mu.Lock()
	c.aborted = true
	c.answered.Broadcast()
	c.mu.Unlock()
	c.out.Close()
}

// recordAbandoned counts the requests that lose their connection before their answer. It logs them
// unless the client has ended the connection.
func (c *conn) recordAbandoned(requests int) {
	c.server.Counts.Abandoned.Add(int64(requests))
	failure := c.out.CloseCause()
	if requests == 0 || failure == nil {
		return
	}
	c.server.cfg.Log.Warn().Err(failure).Int("requests", requests).Msg("connection ended with requests open")
}
