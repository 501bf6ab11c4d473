package frame

import (
	"context"
	"net"
	"sync"
	"time"

	"kitehub/scheduler"
)

// An attempt is one call or load order from its start to its end. It is a backend.Running.
type attempt struct {
	backend  *Backend
	exchange exchange
	encode   func() []byte // builds the frame, just before it is sent: the time left is in it
	wanted   func() bool   // asked just before the first byte is sent
	done     func(scheduler.Outcome, *answer)
	timeout  time.Duration // for the whole attempt
	begin    time.Duration

	mu         sync.Mutex
	cancelDial context.CancelFunc // nil before the dial
	cancelled  bool
	conn       *conn // that the frame was sent on
	ended      bool
}

// start sends the attempt to a worker: at once if a connection is available, else on one that it opens.
func (a *attempt) start(id scheduler.WorkerID) {
	w, maxConns := a.backend.worker(id)
	if w == nil {
		go a.end(scheduler.NotStarted, nil)
		return
	}
	c, placed := a.backend.place(w, a.exchange.id, maxConns)
	if placed == noConn && a.backend.evictIdle(w) {
		c, placed = a.backend.place(w, a.exchange.id, maxConns)
	}
	switch placed {
	case openConn:
		go a.dial(w)
	case useConn:
		if !a.send(c) {
			go a.end(scheduler.NotStarted, nil)
		}
	case noConn:
		a.backend.Counts.NoConn.Add(1)
		go a.end(scheduler.ConnectFailed, nil)
	}
}

// send sends the frame on a connection; false if nothing of it was sent.
func (a *attempt) send(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled {
		return false
	}
	now := a.backend.cfg.Clock.Now()
	left := a.timeout - (now - a.begin)
	a.exchange.done = a.end
	a.exchange.timer = time.AfterFunc(max(left, 0), a.timedOut)
	mayStart := func() bool { return !c.worker.withdrawn.Load() && a.wanted() }
	if !c.start(&a.exchange, a.encode(), now, mayStart) {
		a.exchange.timer.Stop()
		return false
	}
	a.conn = c
	if !a.exchange.isOrder {
		c.worker.traffic.open.Add(1)
	}
	return true
}

func (a *attempt) timedOut() {
	a.mu.Lock()
	c := a.conn
	a.mu.Unlock()
	if c != nil {
		c.abandon(&a.exchange, scheduler.TimedOut)
	}
}

// dial opens a connection, sends the attempt on it, and then reads it until it ends.
func (a *attempt) dial(w *worker) {
	ctx, cancel := context.WithTimeout(context.Background(), min(a.backend.cfg.DialTimeout, a.timeout))
	defer cancel()
	a.mu.Lock()
	a.cancelDial = cancel
	unwanted := a.cancelled || w.withdrawn.Load()
	a.mu.Unlock()
	var socket net.Conn
	err := net.ErrClosed
	if !unwanted {
		socket, err = a.backend.cfg.Dial(ctx, w.network, w.addr)
	}
	c, err := a.backend.addConn(w, socket, err)
	if err != nil {
		a.dialFailed(unwanted)
		return
	}
	if !a.send(c) {
		a.end(scheduler.NotStarted, nil) // the connection stays for the next attempt
	}
	c.read()
}

// dialFailed ends an attempt without a connection. That proves a failure only if it was not given up first.
func (a *attempt) dialFailed(unwanted bool) {
	a.mu.Lock()
	unwanted = unwanted || a.cancelled
	a.mu.Unlock()
	if unwanted {
		a.end(scheduler.NotStarted, nil)
		return
	}
	a.backend.Counts.DialFailed.Add(1)
	a.end(scheduler.ConnectFailed, nil)
}

// Cancel abandons the attempt. If its frame is being sent or was sent, the worker is told.
func (a *attempt) Cancel() {
	a.mu.Lock()
	a.cancelled = true
	if a.cancelDial != nil {
		a.cancelDial()
	}
	c := a.conn
	a.mu.Unlock()
	if c != nil {
		c.abandon(&a.exchange, scheduler.Cancelled)
	}
}

// end reports how the attempt ended, once.
func (a *attempt) end(o scheduler.Outcome, ans *answer) {
	a.mu.Lock()
	ended := a.ended
	a.ended = true
	c := a.conn
	a.mu.Unlock()
	if ended {
		return
	}
	if c != nil && !a.exchange.isOrder {
		c.worker.traffic.callEnded(o, a.backend.cfg.Clock.Now()-a.exchange.sentAt)
	}
	a.done(o, ans)
}
