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

// An exchange is a call or a load order in flight on a connection. Its fields are set before it starts.
type exchange struct {
	id       uint64
	isOrder  bool
	done     func(scheduler.Outcome, *answer) // called once, by whoever removes it from its connection
	timer    *time.Timer                      // its time-out
	frameEnd uint64                           // of its frame in the connection's stream; set when it starts
	sentAt   time.Duration                    // likewise
}

// A conn is a connection to a worker. Exchanges are found by id; an id is not used twice on one connection while an
// answer to its first use may still come.
type conn struct {
	net.Conn
	worker *worker
	out    *outbox.Outbox

	mu        sync.Mutex
	inFlight  map[uint64]*exchange
	endedAt   map[uint64]time.Duration // ids of exchanges that have ended, to which answers may still come
	sweptAt   time.Duration            // when endedAt was last swept
	lastUsed  time.Duration            // when an exchange last began or ended
	lastHeard time.Duration            // when a complete frame last came, or, if later, the first in flight began
	pingedAt  time.Duration            // when the ping was sent that is not answered yet; 0: there is none
	closed    bool                     // no exchange may start
	started   int                      // exchanges
}

func (b *Backend) newConn(w *worker, socket net.Conn) *conn {
	now := b.cfg.Clock.Now()
	return &conn{
		Conn:      socket,
		worker:    w,
		out:       outbox.New(socket, b.cfg.MaxBody, b.cfg.PingAfter),
		inFlight:  map[uint64]*exchange{},
		endedAt:   map[uint64]time.Duration{},
		lastUsed:  now,
		lastHeard: now,
	}
}

// state returns what the choice of a connection for an exchange with this id depends on.
func (c *conn) state(id uint64) connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, inFlight := c.inFlight[id]
	_, ended := c.endedAt[id]
	return connState{
		inFlight: len(c.inFlight),
		lastUsed: c.lastUsed,
		suspect:  c.pingedAt > 0 || c.closed || c.out.HasPending(),
		used:     c.started > 0,
		knowsID:  inFlight || ended,
	}
}

// start begins an exchange and sends its frame. mayStart is asked at the last moment before the first byte; if it, or
// the connection, says no, nothing is sent and start returns false.
func (c *conn) start(x *exchange, frame []byte, now time.Duration, mayStart func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.inFlight[x.id] != nil || !mayStart() {
		return false
	}
	if len(c.inFlight) == 0 {
		c.lastHeard = now
	}
	end, ok := c.out.TrySend(frame)
	if !ok { // the first byte must not wait: the worker may begin to drain before it is sent
		return false
	}
	x.frameEnd = end
	x.sentAt = now
	c.started++
	c.lastUsed = now
	c.inFlight[x.id] = x
	return true
}

// remove removes an exchange, whose end the caller then reports; false if another has removed it.
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

// abandon ends an exchange without an answer. If it is a call, the worker is told.
func (c *conn) abandon(x *exchange, o scheduler.Outcome) {
	if !c.remove(x) {
		return
	}
	if !x.isOrder {
		c.out.Send(appendFrame(nil, codeCancel, x.id, nil, nil))
	}
	x.done(o, nil)
}

// read reads answers until the connection ends, and then ends what is in flight on it.
func (c *conn) read() {
	b := c.worker.backend
	reader := bufio.NewReaderSize(c.Conn, readBuffer)
	var a answer
	var err error
	for {
		if err = readAnswer(reader, b.cfg.MaxBody, &a); err != nil {
			break
		}
		c.handle(&a)
	}
	if errors.Is(err, errFrame) {
		b.Counts.Malformed.Add(1)
		b.cfg.Log.Debug().Str("worker", c.worker.name).Err(err).Msg("malformed frame, connection closed")
	}
	c.finish()
}

// handle ends the exchange that an answer belongs to.
func (c *conn) handle(a *answer) {
	x := c.heard(a)
	if x == nil {
		return
	}
	outcome, ok := callOutcome(a.code)
	if x.isOrder {
		outcome, ok = orderOutcome(a.code)
	}
	if ok && c.remove(x) {
		x.done(outcome, a)
	}
}

// heard notes that a complete frame has come. It returns the exchange in flight that it answers, or nil.
func (c *conn) heard(a *answer) *exchange {
	b := c.worker.backend
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastHeard = b.cfg.Clock.Now()
	if a.code == codePong {
		c.pingedAt = 0
		return nil
	}
	x := c.inFlight[a.id]
	if x == nil {
		b.Counts.Strays.Add(1)
	}
	return x
}

// finish closes the connection and ends all that is in flight on it.
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

// evict closes an idle connection and frees its room at once; false if an exchange has begun on it meanwhile.
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
