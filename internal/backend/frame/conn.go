package frame

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kitehub/internal/outbox"
	"kitehub/scheduler"
)

// An exchange is a call or an order on a connection, until it ends.
type exchange struct {
	id    uint64
	end   uint64 // of its frame in the connection's stream
	order bool
	over  func(scheduler.Outcome, *answer) // called once, by whoever takes it from the table
	timer *time.Timer
	sent  time.Duration
}

// A conn is a connection to a worker. Exchanges are found by id; an id is not used twice on one connection while an answer
// to its first use may still come.
type conn struct {
	net.Conn
	p   *peer
	out *outbox.Outbox

	mu    sync.Mutex
	open  map[uint64]*exchange
	past  map[uint64]time.Duration // ids of exchanges that have ended, and when
	since time.Duration            // last use
	heard time.Duration            // last whole frame, or the begin of the first exchange open
	asked time.Duration            // a ping is out since then; 0: none
	ended bool
	swept time.Duration
	uses  int // exchanges begun
}

func (b *Backend) newConn(p *peer, nc net.Conn) *conn {
	now := b.cfg.Clock.Now()
	return &conn{Conn: nc, p: p, out: outbox.New(nc, b.cfg.MostBody, b.cfg.Patience), open: map[uint64]*exchange{},
		past: map[uint64]time.Duration{}, since: now, heard: now}
}

func (c *conn) view(id uint64) view {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, open := c.open[id]
	_, past := c.past[id]
	return view{out: len(c.open), since: c.since, suspect: c.asked > 0 || c.ended || c.out.Busy(), used: c.uses > 0, knows: open || past}
}

// start puts an exchange into the table and its frame on the wire. fit is asked at the last moment before the first byte;
// false from it, or from the connection, means that nothing went out.
func (c *conn) start(x *exchange, frame []byte, now time.Duration, fit func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.open[x.id] != nil || !fit() {
		return false
	}
	if len(c.open) == 0 {
		c.heard = now
	}
	end, ok := c.out.Begin(frame)
	if !ok { // the first byte must not wait: the worker may drain before it goes out
		return false
	}
	x.end, x.sent = end, now
	c.uses++
	c.since = now
	c.open[x.id] = x
	return true
}

// take removes an exchange; false if another has ended it.
func (c *conn) take(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[x.id] != x {
		return false
	}
	delete(c.open, x.id)
	now := c.p.b.cfg.Clock.Now()
	c.past[x.id], c.since = now, now
	x.timer.Stop()
	return true
}

// giveUp ends an exchange without an answer and says so to the worker.
func (c *conn) giveUp(x *exchange, o scheduler.Outcome) {
	if !c.take(x) {
		return
	}
	if !x.order {
		c.out.Send(appendFrame(nil, codeGiveUp, x.id, nil, nil))
	}
	x.over(o, nil)
}

// read takes answers until the connection ends, and then ends what is open on it.
func (c *conn) read() {
	b := c.p.b
	r := bufio.NewReaderSize(c.Conn, readBuffer)
	var a answer
	var err error
	for {
		if err = readAnswer(r, b.cfg.MostBody, &a); err != nil {
			break
		}
		c.answer(&a)
	}
	if errors.Is(err, errFrame) {
		b.Counts.Broken.Add(1)
		b.cfg.Log.Debug().Str("worker", c.p.Name).Err(err).Msg("connection given up")
	}
	c.finish()
}

func (c *conn) answer(a *answer) {
	now := c.p.b.cfg.Clock.Now()
	c.mu.Lock()
	c.heard = now
	if a.code == codePong {
		c.asked = 0
		c.mu.Unlock()
		return
	}
	x := c.open[a.id]
	c.mu.Unlock()
	if x == nil { // late, a second copy, or nobody's
		c.p.b.Counts.Strays.Add(1)
		return
	}
	o, ok := answered(a.code)
	if x.order {
		o, ok = held(a.code)
	}
	if !ok || !c.take(x) {
		return
	}
	x.over(o, a)
}

// finish ends a connection and all that is open on it.
func (c *conn) finish() {
	c.out.Close()
	c.mu.Lock()
	c.ended = true
	open, first := c.open, c.uses == 1
	c.open = map[uint64]*exchange{}
	c.mu.Unlock()
	c.p.remove(c)
	if len(open) > 0 && first {
		c.p.b.Counts.LostNew.Add(1)
	} else if len(open) > 0 {
		c.p.b.Counts.LostUsed.Add(1)
	}
	for _, x := range open {
		x.timer.Stop()
		x.over(lost(c.out.Written(x.end)), nil)
	}
}

// evict closes an idle connection and frees its place at once; false if something was put on it meanwhile.
func (c *conn) evict() bool {
	c.mu.Lock()
	idle := !c.ended && c.uses > 0 && len(c.open) == 0
	c.ended = c.ended || idle
	c.mu.Unlock()
	if idle {
		c.out.Close()
		c.p.remove(c)
	}
	return idle
}

// check is called now and then: it asks a silent connection, ends a dead or an idle one, and forgets old ids.
func (c *conn) check(now time.Duration) {
	b := c.p.b
	c.mu.Lock()
	do := leave
	switch {
	case c.ended:
	case len(c.open) > 0 || c.asked > 0: // one that was asked stays under suspicion though its calls have ended
		if do = silent(now, c.heard, c.asked, b.cfg.Patience); do == askIt {
			c.asked = now
		}
	case now-c.since > b.lim.lifeIdle || c.p.withdrawn.Load():
		do = endIt
	}
	if now-c.swept > b.cfg.Forget/4 {
		c.swept = now
		for id, at := range c.past {
			if now-at > b.cfg.Forget {
				delete(c.past, id)
			}
		}
	}
	dead := c.asked > 0
	c.mu.Unlock()
	switch do {
	case askIt:
		b.Counts.Pings.Add(1)
		c.out.Send(appendFrame(nil, codePing, b.ids.Add(1), nil, nil))
	case endIt:
		if dead {
			b.Counts.Dead.Add(1)
		}
		c.out.Close() // the reader ends what is open
	}
}

const readBuffer = 2 << 10

// A peer is one worker as known now.
type peer struct {
	b         *Backend
	Name      string
	Network   string
	Addr      string
	withdrawn atomic.Bool // it drains or is gone: nothing new to it

	// What passed on the sockets, for Seen.
	open, answered, lost atomic.Int64
	took                 atomic.Int64 // nanoseconds, of all answers that served

	mu       sync.Mutex
	conns    []*conn
	dialling int
	closed   bool
}

// remove takes a connection off the list, once.
func (p *peer) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.conns, c); i >= 0 {
		p.conns = slices.Delete(p.conns, i, i+1)
		p.b.held.Add(-1)
	}
}

func (p *peer) list() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*conn(nil), p.conns...)
}
