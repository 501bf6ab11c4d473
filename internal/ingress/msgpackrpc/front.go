// Package msgpackrpc is the front by which the clients of a platform call functions: MessagePack-RPC over TCP. The
// method is the class; params are a map of strings and a body; `status` asks whether the controller takes calls, and the
// notification `withdraw` takes calls back.
//
// Each request that is read gets one answer, written whole, in any order, unless the client has taken it back or its
// connection has ended. What cannot be read, and what is no request of this platform, is told so or closed and never
// comes near the module. Nothing a client does makes the loop or another client wait: what goes out waits in a bounded
// outbox, what comes in is read by a goroutine of the connection's own, one message at a time.
package msgpackrpc

import (
	"bufio"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/internal/outbox"
	"kitehub/scheduler"
)

// A Gateway takes calls. gateway.Gateway is one.
type Gateway interface {
	Submit(*gateway.Call) (scheduler.RequestID, bool)
	Cancel(scheduler.RequestID)
}

// Config sets up a Front.
type Config struct {
	Gateway  Gateway
	Clock    clock.Clock
	Settings scheduler.Settings
	Log      zerolog.Logger
	MostBody int           // bytes; the platform has 16 KiB
	MostOpen int           // requests open on one connection; the platform has 32
	Conns    int           // connections at a time
	Within   time.Duration // a client that has connected, or begun a message, must have ended a message by then
	Stall    time.Duration // without progress, until a client that reads too slowly is closed
}

// Counts are for the log and for tests.
type Counts struct {
	Accepted, Evicted, Turned, Shut, Requests, Invalid, Over, Broken, Withdrawn atomic.Int64
}

// A Front serves clients until Close.
type Front struct {
	cfg      Config
	classes  map[string]int
	tenants  map[string]int
	Counts   Counts
	draining atomic.Bool

	mu     sync.Mutex
	conns  map[*conn]struct{}
	txns   map[uint64]struct{} // of open requests: one that is open is not taken again
	closed bool
	done   chan struct{}
	empty  chan struct{} // nil until Finish; closed when no connection is left
}

// New returns a front that serves nothing yet.
func New(cfg Config) *Front {
	f := &Front{cfg: cfg, classes: map[string]int{}, tenants: map[string]int{}, conns: map[*conn]struct{}{}, txns: map[uint64]struct{}{},
		done: make(chan struct{})}
	for i, c := range cfg.Settings.Classes {
		if c.Name != methodStatus && c.Name != methodWithdraw { // such a class could not be called
			f.classes[c.Name] = i
		}
	}
	for i, t := range cfg.Settings.Tenants {
		f.tenants[t.Name] = i
	}
	return f
}

const (
	methodStatus   = "status"
	methodWithdraw = "withdraw"
)

// Serve accepts connections until Close.
func (f *Front) Serve(ln net.Listener) error {
	go f.watch()
	for {
		nc, err := ln.Accept()
		if err != nil {
			f.mu.Lock()
			closed := f.closed
			f.mu.Unlock()
			if closed || errors.Is(err, net.ErrClosed) {
				return nil
			}
			f.cfg.Log.Warn().Err(err).Msg("accept") // descriptors may be short for a moment: the listener stays
			time.Sleep(f.cfg.Settings.Tick)
			continue
		}
		f.Counts.Accepted.Add(1)
		f.start(nc)
	}
}

// start makes room for a connection, if need be, and serves it.
func (f *Front) start(nc net.Conn) {
	c := &conn{f: f, Conn: nc, out: outbox.New(nc, f.mostWaiting(), f.cfg.Stall), open: map[uint32]*openCall{}}
	c.touch()
	old, ok := f.admit(c)
	for ok && old == c { // nobody may be closed yet: the next to connect wait in the kernel's queue meanwhile
		time.Sleep(f.cfg.Settings.Tick)
		old, ok = f.admit(c)
	}
	if !ok {
		nc.Close()
		return
	}
	if old != nil {
		old.out.Close()
	}
	go c.serve()
}

// gracePart of the time within which a client must speak is left to each that has just come or spoken.
const gracePart = 16

// admit gives a new connection a place. It returns who has to go for it, the new one itself if somebody may have to a
// little later, and false if there is no place.
func (f *Front) admit(c *conn) (old *conn, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, false
	}
	if len(f.conns) >= f.cfg.Conns {
		list, views := make([]*conn, 0, len(f.conns)), make([]connView, 0, len(f.conns))
		for o := range f.conns {
			list, views = append(list, o), append(views, o.view())
		}
		switch i := evictionCandidate(views, f.cfg.Clock.Now(), f.cfg.Within/gracePart); i {
		case noCandidate:
			f.Counts.Turned.Add(1)
			return nil, false
		case candidateSoon:
			return c, true
		default:
			if old = list[i]; !old.leave() { // it has just begun a request
				return c, true
			}
			f.Counts.Evicted.Add(1)
			delete(f.conns, old)
		}
	}
	f.conns[c] = struct{}{}
	return old, true
}

// mostWaiting bounds what waits for one slow reader: an answer for each request it may have open.
func (f *Front) mostWaiting() int { return f.cfg.MostOpen * f.cfg.MostBody }

// watch closes who says nothing.
func (f *Front) watch() {
	t := time.NewTicker(max(f.cfg.Within/8, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-f.done:
			return
		case <-t.C:
		}
		now := f.cfg.Clock.Now()
		f.mu.Lock()
		var l []*conn
		for c := range f.conns {
			if shut(c.view(), c.inMessage.Load(), now, f.cfg.Within) && c.leave() {
				l = append(l, c)
			}
		}
		f.mu.Unlock()
		for _, c := range l {
			f.Counts.Shut.Add(1)
			c.out.Close()
		}
	}
}

// begin takes a txn that is not open.
func (f *Front) begin(txn uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, open := f.txns[txn]; open {
		return false
	}
	f.txns[txn] = struct{}{}
	return true
}

func (f *Front) end(txn uint64) {
	f.mu.Lock()
	delete(f.txns, txn)
	f.mu.Unlock()
}

// A conn is one client's connection.
type conn struct {
	net.Conn
	f         *Front
	out       *outbox.Outbox
	since     atomic.Int64 // clock of the last sign
	spoke     atomic.Bool
	inMessage atomic.Bool
	faults    int // the reader's

	mu      sync.Mutex
	open    map[uint32]*openCall // by msgid
	leaving bool                 // it is being closed, with nothing open: nothing more is taken
	// finished: our half has ended, or will. What the client still sends is read and dropped: to close with bytes unread would
	// reset the connection, and the last answers might be lost with it.
	finished bool
}

type openCall struct {
	txn uint64
	id  scheduler.RequestID
}

func (c *conn) view() connView {
	c.mu.Lock()
	n := len(c.open)
	c.mu.Unlock()
	return connView{spoke: c.spoke.Load(), open: n, since: time.Duration(c.since.Load())}
}

// leave bars the connection from taking a request, if it has none open: its client sends what crosses the close again.
func (c *conn) leave() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = c.leaving || len(c.open) == 0
	return c.leaving
}

// touch notes a sign of life.
func (c *conn) touch() { c.since.Store(int64(c.f.cfg.Clock.Now())) }

const readBuffer = 2 << 10 // requests are mostly shorter; a body is read past it

// serve reads messages until the connection ends.
func (c *conn) serve() {
	defer c.ended()
	d := decoder{r: bufio.NewReaderSize(c.Conn, readBuffer), mostBody: c.f.cfg.MostBody}
	var m message
	for {
		if _, err := d.r.Peek(1); err != nil {
			return
		}
		c.touch()
		c.inMessage.Store(true)
		err := d.next(&m)
		c.touch()
		if err != nil {
			if errors.Is(err, errFrame) {
				c.f.Counts.Broken.Add(1)
				if m.hasID {
					c.invalid(m.id, err.Error())
				}
			}
			return
		}
		c.inMessage.Store(false)
		c.spoke.Store(true)
		if !c.take(&m) {
			c.discard(d.r)
			return
		}
	}
}

// take carries a message out; false ends the connection.
func (c *conn) take(m *message) bool {
	switch {
	case m.kind == typeNotify:
		if m.method != methodWithdraw || m.fault != "" {
			return c.fault() // nobody waits for an answer
		}
		for _, id := range m.ids {
			c.withdraw(id)
		}
		return true
	case m.method == methodStatus:
		c.send(appendStatus(nil, m.id, !c.f.draining.Load()))
		return true
	case m.method == methodWithdraw:
		m.fault = "withdraw is a notification"
	}
	return c.request(m)
}

func (c *conn) request(m *message) bool {
	c.mu.Lock()
	_, twice := c.open[m.id]
	n := len(c.open)
	c.mu.Unlock()
	if twice { // an error under this number would pass for the answer of the request that is open
		c.f.Counts.Invalid.Add(1)
		return false
	}
	if m.fault != "" {
		return c.invalid(m.id, m.fault)
	}
	p, err := c.f.parse(m)
	if err != nil {
		return c.invalid(m.id, err.Error())
	}
	if n >= c.f.cfg.MostOpen {
		c.f.Counts.Over.Add(1)
		c.send(appendError(nil, m.id, wordRejected, "why", "too many open on this connection"))
		return c.fault()
	}
	if !c.f.begin(p.txn) {
		return c.invalid(m.id, "txn: it is open")
	}
	o, id := &openCall{txn: p.txn}, m.id
	c.mu.Lock()
	if c.leaving {
		c.mu.Unlock()
		c.f.end(p.txn)
		return false
	}
	c.open[id] = o
	c.mu.Unlock()
	p.call.Deliver = func(a gateway.Answer) { c.deliver(id, o, a) }
	c.f.Counts.Requests.Add(1)
	request, ok := c.f.cfg.Gateway.Submit(p.call)
	if !ok {
		c.deliver(id, o, gateway.Answer{Kind: gateway.Rejected})
		return true
	}
	c.mu.Lock()
	o.id = request
	c.mu.Unlock()
	return true
}

// invalid answers a request that never came near the module.
func (c *conn) invalid(id uint32, why string) bool {
	c.f.Counts.Invalid.Add(1)
	c.send(appendError(nil, id, wordInvalid, "why", why))
	return c.fault()
}

// fault counts against a client; false once it has made as many as it may have requests open.
func (c *conn) fault() bool {
	c.faults++
	return c.faults < c.f.cfg.MostOpen
}

// claim takes an open call away from whoever else would answer or withdraw it.
func (c *conn) claim(id uint32, o *openCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[id] != o {
		return false
	}
	delete(c.open, id)
	return true
}

// deliver gives the one answer. It does not wait.
func (c *conn) deliver(id uint32, o *openCall, a gateway.Answer) {
	if !c.claim(id, o) {
		return
	}
	c.f.end(o.txn)
	c.touch()
	var b []byte
	switch a.Kind {
	case gateway.Served:
		b = appendServed(make([]byte, 0, len(a.Body)+24), id, a.Body)
	case gateway.Rejected:
		if a.RetryAfter > 0 && c.f.cfg.Settings.Limits.RetryAfter {
			b = appendError(nil, id, wordRejected, "later", strconv.FormatInt(max(1, a.RetryAfter.Milliseconds()), 10))
		} else {
			b = appendError(nil, id, wordRejected, "", "")
		}
	case gateway.ClientClosed:
		return
	default:
		b = appendError(nil, id, wordFailed, "", "")
	}
	c.send(b)
}

func (c *conn) send(b []byte) { c.out.Send(b) } // if it is closed, the reader ends and tells of it

// withdraw takes a request back; a number that is not open, as its answer has crossed this, is nothing.
func (c *conn) withdraw(id uint32) {
	c.mu.Lock()
	o := c.open[id]
	delete(c.open, id)
	c.mu.Unlock()
	if o == nil {
		return
	}
	c.f.Counts.Withdrawn.Add(1)
	c.f.end(o.txn)
	c.f.cfg.Gateway.Cancel(o.id)
}

// ended takes back all that is open, and then closes: a client that sees the end knows that nothing of its is sent on any more.
func (c *conn) ended() {
	c.mu.Lock()
	open := c.open
	c.open = map[uint32]*openCall{}
	c.mu.Unlock()
	for _, o := range open {
		c.f.end(o.txn)
		c.f.cfg.Gateway.Cancel(o.id)
	}
	c.out.Close()
	c.f.mu.Lock()
	delete(c.f.conns, c)
	c.f.noneLeft()
	c.f.mu.Unlock()
}
