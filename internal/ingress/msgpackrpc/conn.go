package msgpackrpc

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"kitehub/internal/outbox"
	"kitehub/scheduler"
)

// A conn is one client's connection. serve, and all that it calls, runs on a goroutine of its own.
type conn struct {
	net.Conn
	front     *Server
	out       *outbox.Outbox
	lastSign  atomic.Int64 // see connActivity
	spoke     atomic.Bool
	inMessage atomic.Bool
	faults    int // invalid messages; used by the reading goroutine alone

	mu       sync.Mutex
	inFlight map[uint32]*inFlightRequest // by msgid
	leaving  bool                        // it is being closed with nothing in flight: no request is accepted any more
	// finished: this side has ended, or will once its answers are written. What the client still sends is read and
	// dropped: closing with bytes unread would reset the connection, and the last answers could be lost.
	finished bool
}

// An inFlightRequest is one that the gateway has not answered.
type inFlightRequest struct {
	txn uint64
	id  scheduler.RequestID // at the gateway; set once it was submitted
}

func (f *Server) newConn(socket net.Conn) *conn {
	// The outbox holds an answer for each request that may be in flight.
	maxWaiting := f.cfg.MaxInFlight * f.cfg.MaxBody
	c := &conn{
		Conn:     socket,
		front:    f,
		out:      outbox.New(socket, maxWaiting, f.cfg.StallTimeout),
		inFlight: map[uint32]*inFlightRequest{},
	}
	c.touch()
	return c
}

func (c *conn) activity() connActivity {
	c.mu.Lock()
	inFlight := len(c.inFlight)
	c.mu.Unlock()
	return connActivity{
		spoke:     c.spoke.Load(),
		inMessage: c.inMessage.Load(),
		inFlight:  inFlight,
		lastSign:  time.Duration(c.lastSign.Load()),
	}
}

// leave bars the connection from accepting requests, if none is in flight: its client repeats a request that crosses
// the close. It reports whether the connection is barred.
func (c *conn) leave() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = c.leaving || len(c.inFlight) == 0
	return c.leaving
}

// touch notes a sign of life.
func (c *conn) touch() { c.lastSign.Store(int64(c.front.cfg.Clock.Now())) }

const readBuffer = 2 << 10 // bytes: requests are mostly shorter; a body is read past it

// serve reads and carries out messages until the connection ends.
func (c *conn) serve() {
	defer c.end()
	d := decoder{r: bufio.NewReaderSize(c.Conn, readBuffer), maxBody: c.front.cfg.MaxBody}
	var m message
	for {
		if _, err := d.r.Peek(1); err != nil {
			return
		}
		c.touch()
		c.inMessage.Store(true)
		err := d.next(&m)
		c.touch()
		if errors.Is(err, errFrame) {
			c.front.Counts.Malformed.Add(1)
			if m.hasID {
				c.answerInvalid(m.id, err.Error())
			}
		}
		if err != nil {
			return
		}
		c.inMessage.Store(false)
		c.spoke.Store(true)
		if !c.handle(&m) {
			c.discard(d.r)
			return
		}
	}
}

// handle carries out a message; false if the connection is to be closed.
func (c *conn) handle(m *message) bool {
	switch {
	case m.kind == typeNotify:
		if m.method != methodWithdraw || m.fault != "" {
			return c.countFault() // a notification has no answer
		}
		for _, id := range m.ids {
			c.withdraw(id)
		}
		return true
	case m.method == methodStatus:
		c.out.Send(appendStatus(nil, m.id, !c.front.draining.Load()))
		return true
	case m.method == methodWithdraw:
		m.fault = "withdraw is a notification"
	}
	return c.handleRequest(m)
}

// answerInvalid answers a request that does not reach the gateway; false if the connection is to be closed.
func (c *conn) answerInvalid(id uint32, reason string) bool {
	c.front.Counts.Invalid.Add(1)
	c.out.Send(appendError(nil, id, errorInvalid, "why", reason))
	return c.countFault()
}

// countFault counts an invalid message; false once there were as many as requests may be in flight.
func (c *conn) countFault() bool {
	c.faults++
	return c.faults < c.front.cfg.MaxInFlight
}

// end cancels all that is in flight, and then closes: a client that sees the end knows that no request of its is
// forwarded any more.
func (c *conn) end() {
	f := c.front
	c.mu.Lock()
	inFlight := c.inFlight
	c.inFlight = map[uint32]*inFlightRequest{}
	c.mu.Unlock()
	for _, r := range inFlight {
		f.endTxn(r.txn)
		f.cfg.Gateway.Cancel(r.id)
	}
	c.out.Close()
	f.mu.Lock()
	delete(f.conns, c)
	f.signalIfEmpty()
	f.mu.Unlock()
}
