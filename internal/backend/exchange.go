package backend

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"kitehub/internal/http1"
	"kitehub/scheduler"
)

// A RunningAttempt can be cancelled, at any time and from any goroutine.
type RunningAttempt interface{ Cancel() }

// An exchange is one request to a worker and its answer. Its goroutine runs Backend.exchange; Cancel may be called
// from any other.
type exchange struct {
	wanted      func() bool // nil, or asked just before the first byte is sent
	toWithdrawn bool        // send it to a withdrawn worker too: health checks go there

	mu         sync.Mutex
	conn       *conn              // in use, for Cancel to close
	cancelDial context.CancelFunc // nil before the dial
	cancelled  bool
}

// Cancel abandons the exchange: its connection is closed, and its answer, if any, dropped.
func (x *exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelled {
		return
	}
	x.cancelled = true
	if x.cancelDial != nil {
		x.cancelDial()
	}
	if x.conn != nil {
		x.conn.Close()
	}
}

// setConn notes the connection in use, nil for none, so that Cancel finds it; false if it is cancelled already.
func (x *exchange) setConn(c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	return !x.cancelled
}

// mayStart decides just before the first byte whether it is sent: not if the exchange was cancelled, its worker was
// withdrawn, or it is no longer wanted.
func (x *exchange) mayStart(w *worker) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.cancelled && x.mayReach(w) && (x.wanted == nil || x.wanted())
}

func (x *exchange) mayReach(w *worker) bool { return x.toWithdrawn || !w.withdrawn.Load() }

func (x *exchange) isCancelled() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cancelled
}

// setCancelDial notes how to cancel the dial; false if the exchange is cancelled already.
func (x *exchange) setCancelDial(cancel context.CancelFunc) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelDial = cancel
	return !x.cancelled
}

// exchange sends a request to a worker and reads the answer. The outcome is OK if an answer was read, whatever its
// status.
func (b *Backend) exchange(x *exchange, w *worker, req *http1.Request, timeout time.Duration) (
	*http1.Response, scheduler.Outcome,
) {
	deadline := time.Now().Add(timeout)
	c := b.takeIdle(w)
	if c == nil {
		var outcome scheduler.Outcome
		if c, outcome = b.dial(x, w, timeout); c == nil {
			return nil, outcome
		}
	}
	if !x.setConn(c) || !x.mayStart(w) {
		c.Close()
		return nil, scheduler.NotStarted
	}
	resp, outcome := b.roundTrip(c, req, deadline)
	if outcome == scheduler.OK && !resp.Close && c.reader.Buffered() == 0 && x.setConn(nil) {
		b.putIdle(w, c)
	} else {
		c.Close()
	}
	if x.isCancelled() && outcome != scheduler.OK {
		outcome = scheduler.Cancelled
	}
	return resp, outcome
}

// dial opens a connection, within the timeout of the whole exchange; nil and the outcome if it does not.
func (b *Backend) dial(x *exchange, w *worker, timeout time.Duration) (*conn, scheduler.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), min(b.cfg.DialTimeout, timeout))
	defer cancel()
	if !x.setCancelDial(cancel) || !x.mayReach(w) {
		return nil, scheduler.NotStarted
	}
	c, err := b.cfg.Dial(ctx, w.Network, w.Addr)
	if err != nil {
		if x.isCancelled() {
			return nil, scheduler.NotStarted
		}
		return nil, scheduler.ConnectFailed
	}
	b.Opened.Add(1)
	return newConn(c), scheduler.OK
}

var writeBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, http1.ReadBufferSize)
	return &buffer
}}

const maxPooledBuffer = 64 << 10 // bytes; a larger write buffer is not used again

// roundTrip writes the request and reads the answer. Of a connection that breaks it proves only that nothing ran if
// the kernel took no byte of the request.
func (b *Backend) roundTrip(c *conn, req *http1.Request, deadline time.Time) (*http1.Response, scheduler.Outcome) {
	c.SetDeadline(deadline)
	buffer := writeBuffers.Get().(*[]byte)
	*buffer = http1.AppendRequest((*buffer)[:0], req)
	written, err := c.Write(*buffer)
	if cap(*buffer) <= maxPooledBuffer {
		writeBuffers.Put(buffer)
	}
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, scheduler.TimedOut
	case written == 0 && !errors.Is(err, net.ErrClosed): // closed here, it was cancelled
		return nil, scheduler.ConnectFailed
	default:
		return nil, scheduler.Reset
	}
	resp, err := http1.ReadResponse(c.reader, &b.cfg.Limits, req.Method)
	switch {
	case err == nil:
		return resp, scheduler.OK
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, scheduler.TimedOut
	}
	return nil, scheduler.Reset
}
