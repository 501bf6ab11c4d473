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

// A RunningAttempt is an attempt that has been started. Cancel may be called at any time, from any
// goroutine and more than once.
type RunningAttempt interface{ Cancel() }

// An exchange is one request to a worker and the response to it. Its goroutine runs
// Backend.exchange; Cancel may be called from any other goroutine.
type exchange struct {
	shouldSend     func() bool // called just before the first byte is sent; nil means always true
	beforeSend     func()      // called once there is a connection, to complete the request; may be nil
	allowWithdrawn bool        // also send to a withdrawn worker, as health checks must be

	mu         sync.Mutex
	conn       *conn              // the connection in use, which Cancel closes
	cancelDial context.CancelFunc // nil before the dial
	cancelled  bool
}

// Cancel abandons the exchange: it closes the connection and drops any response.
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

// setConn records the connection in use, or nil for none, so that Cancel can close it. It returns
// false if the exchange has already been cancelled.
func (x *exchange) setConn(c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	return !x.cancelled
}

// mayStart reports whether the request may be sent. It is called just before the first byte and
// returns false if the exchange was cancelled, its worker was withdrawn or shouldSend returned
// false.
func (x *exchange) mayStart(w *worker) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.cancelled && x.mayUse(w) && (x.shouldSend == nil || x.shouldSend())
}

func (x *exchange) mayUse(w *worker) bool { return x.allowWithdrawn || !w.withdrawn.Load() }

func (x *exchange) isCancelled() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cancelled
}

// setCancelDial records the function that cancels the dial. It returns false if the exchange has
// already been cancelled.
func (x *exchange) setCancelDial(cancel context.CancelFunc) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelDial = cancel
	return !x.cancelled
}

// exchange sends a request to a worker and reads the response. The outcome is OK if a response was
// read, whatever its status.
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
	if x.beforeSend != nil {
		x.beforeSend()
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

// dial opens a connection within the timeout of the whole exchange. If it fails, it returns nil and
// the outcome of the exchange.
func (b *Backend) dial(x *exchange, w *worker, timeout time.Duration) (*conn, scheduler.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), min(b.cfg.DialTimeout, timeout))
	defer cancel()
	if !x.setCancelDial(cancel) || !x.mayUse(w) {
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

const maxPooledBuffer = 64 << 10 // bytes; a larger write buffer is not reused

// roundTrip writes the request and reads the response. If the connection breaks, the call certainly
// did not run only if the kernel accepted no byte of the request.
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
	case written == 0 && !errors.Is(err, net.ErrClosed): // ErrClosed: closed by Cancel
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
