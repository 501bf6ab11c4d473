package msgpackrpc

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"kitehub/internal/inbox"
	"kitehub/internal/outbox"
	"kitehub/internal/overload"
)

// A conn is one client's connection. It has a goroutine of its own that runs serve and the methods
// that serve calls.
type conn struct {
	net.Conn
	number       uint64 // for logs: unique in the process
	acceptedAt   time.Duration
	server       *Server
	out          *outbox.Outbox
	account      *overload.Account // what the client makes the server hold
	lastActivity atomic.Int64      // on Config.Clock, in nanoseconds; see connActivity
	sentMessage  atomic.Bool
	inMessage    atomic.Bool

	// The following fields are only used by the reading goroutine.
	in       *inbox.Inbox
	pace     *pacer
	faults   int                // invalid messages
	batch    []*inFlightRequest // not submitted yet
	draining bool               // what has arrived is read and answered, and then the connection closes
	drained  int                // messages read while draining

	mu       sync.Mutex
	inFlight map[uint32]*inFlightRequest // by msgid
	// unanswered counts the requests that the gateway has not answered. It includes those that the
	// client has cancelled, whose memory the gateway holds until its next step.
	unanswered int
	answered   *sync.Cond // signals that unanswered has become lower, or that aborted is set
	aborted    bool       // the server is being closed: nobody waits for the gateway
	phase      connPhase
	// finished is set when the server stops. Once this side of the connection is closed, what the client
	// still sends is read and discarded: closing the connection with unread bytes would reset it, and the
	// last answers could be lost.
	finished bool
}

// A connPhase is how far a connection has come. It only rises.
type connPhase int

const (
	phaseOpen     connPhase = iota
	phaseRefusing           // no further request is accepted: what arrives is rejected
	phaseEnding             // nothing more is read, and the requests are cancelled
	phaseClosed             // its socket is closed, and only the gateway's answers are missing
)

// enter lets the connection enter a phase, unless it has come further. The caller holds mu.
func (c *conn) enter(phase connPhase) { c.phase = max(c.phase, phase) }

func (s *Server) newConn(socket net.Conn) *conn {
	// The outbox has room for the answers to all requests that may be in flight.
	maxWaiting := s.cfg.MaxInFlight * s.cfg.MaxBody
	c := &conn{
		Conn:       socket,
		number:     s.lastConn.Add(1),
		acceptedAt: s.cfg.Clock.Now(),
		server:     s,
		out:        outbox.New(socket, maxWaiting, s.cfg.StallTimeout),
		pace:       newPacer(s.cfg.Gate),
		inFlight:   map[uint32]*inFlightRequest{},
		account:    s.cfg.Budget.NewAccount(),
	}
	c.out.SetBudget(c.account)
	c.in = inbox.New(socket, c.allRead)
	c.in.SetLag(s.cfg.Lag)
	c.answered = sync.NewCond(&c.mu)
	c.recordActivity()
	return c
}

// activity returns the state that decides whether the connection may be closed.
func (c *conn) activity() connActivity {
	c.mu.Lock()
	inFlight := max(len(c.inFlight), c.unanswered)
	phase := c.phase
	c.mu.Unlock()
	return connActivity{
		sentMessage:  c.sentMessage.Load(),
		inMessage:    c.inMessage.Load(),
		inFlight:     inFlight,
		ended:        phase >= phaseEnding || c.pace.stopped(),
		closed:       phase == phaseClosed,
		pacedAt:      time.Duration(c.pace.pacedAt.Load()),
		lastActivity: time.Duration(c.lastActivity.Load()),
	}
}

// stopIfIdle stops the connection from accepting requests if none is in flight and no answer waits
// to be written, so that it can be closed: the client sends a request that crosses the close again.
// It reports whether the connection is stopped.
func (c *conn) stopIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inFlight) == 0 && !c.out.HasPending() {
		c.enter(phaseRefusing)
	}
	return c.phase >= phaseRefusing
}

// stopReading lets the reading goroutine end the connection of a client that sends faster than others. Its
// requests are answered first, also those that have arrived, as far as it may have as many open.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase < phaseRefusing {
		c.enter(phaseRefusing)
		c.server.Counts.Evicted.Add(1)
		close(c.pace.stop)
		c.SetReadDeadline(pastDeadline)
	}
}

// closeAfterReading lets the reading goroutine close the connection, which must be stopped. A request that has
// been read is answered first.
func (c *conn) closeAfterReading() {
	if c.SetReadDeadline(pastDeadline) != nil {
		c.out.Close()
	}
}

// pastDeadline is a deadline that makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// recordActivity records activity on the connection.
func (c *conn) recordActivity() { c.lastActivity.Store(int64(c.server.cfg.Clock.Now())) }

const readBuffer = 2 << 10 // bytes; most requests fit, and larger bodies bypass the buffer

// errDrained means that everything that had arrived on a draining connection has been read, while
// requests are in flight. Without those it is inbox.ErrDrained.
var errDrained = errors.New("connection drained, answers are missing")

// serve handles messages until the connection ends.
func (c *conn) serve() {
	cause := c.readMessages()
	c.pace.pause()
	if cause == causeDrained && c.pace.stopped() {
		cause = causeStopped
		if c.in.PeerClosed() {
			cause = causeRead
		}
	}
	c.end(cause)
}

// readMessages reads and handles messages until no more are to be read, and returns why.
func (c *conn) readMessages() endCause {
	d := decoder{r: bufio.NewReaderSize(c.in, readBuffer), maxBody: c.server.cfg.MaxBody, account: c.account}
	var m message
	defer func() { c.account.Release(m.reserved) }() // of a message that did not become a request
	for {
		c.account.Release(m.reserved)
		m.reserved = 0
		if _, err := d.r.Peek(1); err != nil {
			if c.beginDrain(err) {
				continue
			}
			return causeOf(err)
		}
		c.pace.beforeMessage(c.server.cfg.Clock.Now())
		if c.pace.turn != nil && c.in.PeerClosed() {
			return causeRead
		}
		if c.drainedEnough() {
			return causeDrained
		}
		c.recordActivity()
		c.inMessage.Store(true)
		err := d.next(&m)
		c.recordActivity()
		if errors.Is(err, errMalformed) {
			c.server.Counts.Malformed.Add(1)
			if m.hasID {
				c.answerInvalid(m.id, err.Error())
			}
			return causeMalformed
		}
		if err != nil {
			return causeOf(err)
		}
		c.pace.bodyRead(len(m.body))
		c.inMessage.Store(false)
		c.sentMessage.Store(true)
		if !c.handle(&m) {
			c.server.Counts.Refused.Add(1)
			return causeHandled
		}
	}
}

// allRead is called when everything that has arrived has been read.
func (c *conn) allRead() error {
	c.submitBatch()
	c.pace.pause()
	if !c.draining {
		return nil
	}
	if c.hasUnanswered() {
		return errDrained
	}
	c.out.AwaitWritten()
	return inbox.ErrDrained
}

// hasUnanswered reports whether a request has no answer yet.
func (c *conn) hasUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inFlight) > 0 || c.unanswered > 0
}

// drainedEnough counts a message of a connection that is to be closed. It returns true if the
// connection has read as many as its client may have open: one that goes on sending never ends.
func (c *conn) drainedEnough() bool {
	c.mu.Lock()
	c.draining = c.draining || c.phase >= phaseRefusing
	c.mu.Unlock()
	if c.draining {
		c.drained++
	}
	return c.drained > c.server.cfg.MaxInFlight
}

// beginDrain reports whether a read failed because the connection is to be closed. What has arrived
// is read before that.
func (c *conn) beginDrain(err error) bool {
	if c.draining || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.draining = true
	return c.SetReadDeadline(time.Time{}) == nil
}

// handle handles a message. It returns false if the connection is to be closed.
func (c *conn) handle(m *message) bool {
	switch {
	case m.kind == typeNotify:
		if m.method != methodWithdraw || m.fault != "" {
			return c.countFault() // notifications have no response
		}
		for _, id := range m.ids {
			c.withdraw(id)
		}
		return true
	case m.method == methodStatus:
		c.out.Send(appendStatus(nil, m.id, !c.server.draining.Load()))
		return true
	case m.method == methodWithdraw:
		m.fault = "withdraw is a notification"
	}
	return c.handleRequest(m)
}

// answerInvalid answers a request that is not submitted to the gateway. It returns false if the
// connection is to be closed.
func (c *conn) answerInvalid(id uint32, reason string) bool {
	c.server.Counts.Invalid.Add(1)
	c.out.Send(appendError(nil, id, errorInvalid, "why", reason))
	return c.countFault()
}

// countFault counts an invalid message. It returns false once the connection has sent as many as it
// may have requests in flight.
func (c *conn) countFault() bool {
	c.faults++
	return c.faults < c.server.cfg.MaxInFlight
}
