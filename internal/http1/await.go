package http1

import (
	"errors"
	"os"
	"time"
)

// Await blocks until Wake is called and done closed, or until the client hangs up, and reports whether it hung up.
// After Rearm it may be called again for the same request. What the client sends meanwhile is kept for the next
// request; once the read buffer is full of it, only done is waited for.
func (c *Conn) Await(done <-chan struct{}) (hungUp bool) {
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
			<-done // Wake comes just before done is closed
			return false
		default:
			return true
		}
	}
	return false
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// Rearm must be called before a further Await, once the done of the one before is closed.
func (c *Conn) Rearm() { c.SetReadDeadline(time.Time{}) }

// Wake ends an Await from another goroutine. It must be called before done is closed: afterwards it could cut short
// the wait for the next request.
func (c *Conn) Wake() { c.Conn.SetReadDeadline(longPast) }
