package frame

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"kitehub/internal/outbox"
	"kitehub/scheduler"
)

// An exchange is a call or a load order in flight on a connection. Unless noted, its fields are set
// before it starts.
type exchange struct {
	id          uint64
	isLoadOrder bool
	done        func(scheduler.Outcome, *response) // called once, after removal from the connection
	timer       *time.Timer                        // ends the exchange with a timeout
	frameEnd    uint64                             // output offset of its end; set at the start
	sentAt      time.Duration                      // set at the start
}

// A conn is a connection to a worker. Responses refer to exchanges by ID. An ID is not reused on a
// connection while a response to its earlier use may still arrive.
type conn struct {
	net.Conn
	number uint64 // for logs: unique in the process
	worker *worker
	out    *outbox.Outbox

	mu           sync.Mutex
	inFlight     map[uint64]*exchange
	endedAt      map[uint64]time.Duration // ended exchanges that may still get a response, by ID
	sweptAt      time.Duration            // when endedAt was last swept
	lastUsed     time.Duration            // when an exchange last started or ended
	lastReceived time.Duration            // when a frame was last received; see checkSilence
	pingSentAt   time.Duration            // when the unanswered ping was sent; 0 if there is none
	closed       bool                     // no further exchange may start
	started      int                      // number of exchanges started
}

func (b *Backend) newConn(w *worker, socket net.Conn) *conn {
	now := b.cfg.Clock.Now()
	return &conn{
		Conn:         socket,
		number:       b.lastConn.Add(1),
		worker:       w,
		out:          outbox.New(socket, b.cfg.MaxBody, b.cfg.PingAfter),
		inFlight:     map[uint64]*exchange{},
		endedAt:      map[uint64]time.Duration{},
		lastUsed:     now,
		lastReceived: now,
	}
}

// state returns the state of the connection as seen by a new exchange with the given ID.
func (c *conn) state(id uint64) connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, inFlight := c.inFlight[id]
	_, ended := c.endedAt[id]
	return connState{
		inFlight: len(c.inFlight),
		lastUsed: c.lastUsed,
		suspect:  c.pingSentAt > 0 || c.closed || c.out.HasPending(),
		used:     c.started > 0,
		idTaken:  inFlight || ended,
	}
}

// start starts an exchange and sends its frame, which is encoded immediately before the first byte, as it
// holds the time left. It calls mayStart before that. If mayStart returns false or the connection is not available, start sends nothing and
// returns false.
func (c *conn) start(x *exchange, encodeFrame func() []byte, now time.Duration, mayStart func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.inFlight[x.id] != nil || !mayStart() {
		return false
	}
	if len(c.inFlight) == 0 {
		c.lastReceived = now
	}
	end, ok := c.out.TrySend(encodeFrame())
	if !ok { // the first byte must not be queued: the worker may begin to drain before it is sent
		return false
	}
	x.frameEnd = end
	x.sentAt = now
	c.started++
	c.lastUsed = now
	c.inFlight[x.id] = x
	return true
}

// remove removes an exchange from the connection. If it returns true, the caller must report the
// end of the exchange. It returns false if the exchange has already been removed.
func (c *conn) remove(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[x.id] != x {
		return false
	}
	delete(c.inFlight, x.id)
	now := c.worker.backend.cfg.Clock.Now()
	c.endedAt[x.id] = now
	c.lastUsed = now
	x.timer.Stop()
	return true
}

// abandon ends an exchange without a response. If it is a call, the worker is sent a cancellation.
func (c *conn) abandon(x *exchange, o scheduler.Outcome) {
	if !c.remove(x) {
		return
	}
	if !x.isLoadOrder {
		c.out.Send(appendFrame(nil, codeCancel, x.id, nil, nil))
	}
	x.done(o, nil)
}

// read reads responses until the connection ends, and then ends all exchanges in flight on it.
func (c *conn) read() {
	b := c.worker.backend
	reader := bufio.NewReaderSize(c.Conn, readBuffer)
	var resp response
	var err error
	for {
		if err = readResponse(reader, b.cfg.MaxBody, &resp); err != nil {
			break
		}
		c.handle(&resp)
	}
	if errors.Is(err, errFrame) {
		b.Counts.Malformed.Add(1)
		b.cfg.Log.Debug().Str("worker", c.worker.name).Uint64("conn", c.number).Err(err).
			Msg("malformed frame, connection closed")
	}
	c.finish()
}

// handle ends the exchange that a response belongs to.
func (c *conn) handle(resp *response) {
	x := c.recordResponse(resp)
	if x == nil {
		return
	}
	outcome, ok := callOutcome(resp.code)
	if x.isLoadOrder {
		outcome, ok = orderOutcome(resp.code)
	}
	if ok && c.remove(x) {
		x.done(outcome, resp)
	}
}

// recordResponse records that a complete frame was received. It returns the exchange in flight that
// the frame responds to, or nil.
func (c *conn) recordResponse(resp *response) *exchange {
	b := c.worker.backend
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReceived = b.cfg.Clock.Now()
	if resp.code == codePong {
		c.pingSentAt = 0
		return nil
	}
	x := c.inFlight[resp.id]
	if x == nil {
		b.Counts.Strays.Add(1)
	}
	return x
}

// finish closes the connection and ends all exchanges in flight on it.
func (c *conn) finish() {
	c.out.Close()
	c.mu.Lock()
	c.closed = true
	inFlight := c.inFlight
	c.inFlight = map[uint64]*exchange{}
	first := c.started == 1
	c.mu.Unlock()
	c.worker.remove(c)
	counts := &c.worker.backend.Counts
	if len(inFlight) > 0 && first {
		counts.LostNew.Add(1)
	} else if len(inFlight) > 0 {
		counts.LostUsed.Add(1)
	}
	for _, x := range inFlight {
		x.timer.Stop()
		x.done(lostOutcome(c.out.Written(x.frameEnd)), nil)
	}
}

// discardUnsent makes the kernel discard what has not been received when the connection is closed.
// Otherwise it would go on sending it: once a partition heals, a call could reach the worker long
// after it was given up, and run although another attempt has run meanwhile.
func (c *conn) discardUnsent() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		tcp.SetLinger(0)
	}
}

// evict closes an idle connection and removes it from its worker at once, so that another one may
// be opened. It returns false if an exchange has started on the connection meanwhile.
func (c *conn) evict() bool {
	c.mu.Lock()
	idle := !c.closed && c.started > 0 && len(c.inFlight) == 0
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		c.out.Close()
		c.worker.remove(c)
	}
	return idle
}

const readBuffer = 2 << 10 // bytes
