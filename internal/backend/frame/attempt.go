package frame

import (
	"context"
	"net"
	"sync"
	"time"

	"kitehub/internal/backend"
	"kitehub/scheduler"
)

// An attempt is the sending of one call or load order to a worker, from its start to its end. It
// implements backend.RunningAttempt.
type attempt struct {
	backend     *Backend
	exchange    exchange
	encodeFrame func() []byte // called just before sending, as the frame holds the time left
	shouldStart func() bool   // called just before the first byte is sent
	done        func(scheduler.Outcome, *response, backend.Transmission)
	timeout     time.Duration // of the whole attempt
	startedAt   time.Duration

	mu         sync.Mutex
	cancelDial context.CancelFunc // nil before the dial
	cancelled  bool
	conn       *conn // the connection that the frame was sent on; nil before
	ended      bool
}

// start sends the attempt to a worker, on an available connection or on a new one.
func (a *attempt) start(id scheduler.WorkerID) {
	w, maxConns := a.backend.worker(id)
	if w == nil {
		go a.end(scheduler.NotStarted, nil)
		return
	}
	c, choice := a.backend.placeExchange(w, a.exchange.id, maxConns)
	if choice == noConn && a.backend.evictIdle(w) {
		c, choice = a.backend.placeExchange(w, a.exchange.id, maxConns)
	}
	switch choice {
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

// send sends the frame on a connection. It returns false if no byte of it was sent.
func (a *attempt) send(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled {
		return false
	}
	now := a.backend.cfg.Clock.Now()
	left := a.timeout - (now - a.startedAt)
	a.exchange.done = a.end
	a.exchange.timer = time.AfterFunc(max(left, 0), a.timedOut)
	mayStart := func() bool { return !c.worker.withdrawn.Load() && a.shouldStart() }
	if !c.start(&a.exchange, a.encodeFrame, now, mayStart) {
		a.exchange.timer.Stop()
		return false
	}
	a.conn = c
	if !a.exchange.isLoadOrder {
		c.worker.traffic.inFlight.Add(1)
	}
	return true
}

// timedOut ends the attempt when its timeout has elapsed.
func (a *attempt) timedOut() {
	a.mu.Lock()
	c := a.conn
	a.mu.Unlock()
	if c != nil {
		c.abandon(&a.exchange, scheduler.TimedOut)
	}
}

// dial opens a connection, sends the attempt on it and then reads responses until the connection
// ends.
func (a *attempt) dial(w *worker) {
	ctx, cancel := context.WithTimeout(context.Background(), min(a.backend.cfg.DialTimeout, a.timeout))
	defer cancel()
	a.mu.Lock()
	a.cancelDial = cancel
	abandoned := a.cancelled || w.withdrawn.Load()
	a.mu.Unlock()
	var socket net.Conn
	err := net.ErrClosed
	if !abandoned {
		socket, err = a.backend.cfg.Dial(ctx, w.network, w.addr)
	}
	c, err := a.backend.addConn(w, socket, err)
	if err != nil {
		a.dialFailed(abandoned)
		return
	}
	if !a.send(c) {
		a.end(scheduler.NotStarted, nil) // the connection remains open for later attempts
	}
	c.read()
}

// dialFailed ends an attempt for which no connection was opened. The dial counts as failed only if
// the attempt was not abandoned first.
func (a *attempt) dialFailed(abandoned bool) {
	a.mu.Lock()
	abandoned = abandoned || a.cancelled
	a.mu.Unlock()
	if abandoned {
		a.end(scheduler.NotStarted, nil)
		return
	}
	a.backend.Counts.DialFailed.Add(1)
	a.end(scheduler.ConnectFailed, nil)
}

// Cancel abandons the attempt. If sending its frame has begun, the worker is sent a cancellation.
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

// end reports how the attempt ended. Only the first call has an effect.
func (a *attempt) end(o scheduler.Outcome, resp *response) {
	a.mu.Lock()
	ended := a.ended
	a.ended = true
	c := a.conn
	a.mu.Unlock()
	if ended {
		return
	}
	if c != nil && !a.exchange.isLoadOrder {
		c.worker.traffic.callEnded(o, a.backend.cfg.Clock.Now()-a.exchange.sentAt)
	}
	a.done(o, resp, a.transmission(c))
}

// transmission describes what was sent on a connection, which is nil if nothing was.
func (a *attempt) transmission(c *conn) backend.Transmission {
	if c == nil {
		return backend.Transmission{}
	}
	return backend.Transmission{
		Conn:     c.number,
		Delay:    a.exchange.sentAt - a.startedAt,
		Complete: c.out.Written(a.exchange.frameEnd),
	}
}
