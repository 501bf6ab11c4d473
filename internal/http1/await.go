package http1

import (
	"errors"
	"os"
	"time"
)

// Await blocks until Wake is called and done is closed, or until the client disconnects, and
// reports whether it disconnected. After Rearm it may be called again for the same request. Bytes
// that the client sends meanwhile are buffered for the next request; once the read buffer is full,
// a disconnect is no longer detected and Await only waits for done.
func (c *Conn) Await(done <-chan struct{}) (disconnected bool) {
	for !isClosed(done) {
		buffered := c.buf.Buffered()
		if buffered >= c.buf.Size() {
			<-done
			return false
		}
		_, err := c.buf.Peek(buffered + 1)
		switch {
		case err == nil:
		case isClosed(done):
			return false
		case errors.Is(err, os.ErrDeadlineExceeded):
			<-done // Wake is called just before done is closed
			return false
		default:
			return true
		}
	}
	return false
}

var errNothingArrived = errors.New("nothing has arrived")

// Disconnected reports whether the client has disconnected, as far as what has arrived tells: a
// request that it sent before must not be run. What it has sent after the request is buffered for the
// next one.
func (c *Conn) Disconnected() bool {
	buffered := c.buf.Buffered()
	if buffered >= c.buf.Size() {
		return false
	}
	c.checking = true
	_, err := c.buf.Peek(buffered + 1)
	c.checking = false
	return err != nil && !errors.Is(err, errNothingArrived)
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// Rearm resets the effect of Wake. It must be called before a further Await for the same request,
// after the previous done channel is closed.
func (c *Conn) Rearm() { c.SetReadDeadline(time.Time{}) }

// Wake interrupts an Await from another goroutine. It must be called before done is closed: later
// it could interrupt the wait for the next request.
func (c *Conn) Wake() { c.Conn.SetReadDeadline(expiredDeadline) }
