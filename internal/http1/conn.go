package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"kitehub/internal/inbox"
	"kitehub/internal/overload"
)

// A Conn is a server's end of one connection. It belongs to the goroutine that serves it, and hence
// to its handler; only Wake and Reset may be called from other goroutines.
type Conn struct {
	net.Conn
	server      *Server
	limits      Limits
	buf         *bufio.Reader
	input       *inbox.Inbox      // read by buf
	requestAt   time.Time         // when the end of the present request had arrived
	checking    bool              // reads of buf must not wait
	prefix      *prefixReader     // read by buf; nil unless adopted with unread bytes
	writeBuffer []byte            // reused between responses
	account     *overload.Account // of the request; nil: there is no budget
	meter       overload.Meter
	busy        atomic.Bool // whether a request is in flight
	handedOver  bool
}

// What a connection may send without waiting for others, and what a request beyond that costs.
const (
	freeRequestRate  = 100.0 // requests a second
	freeRequestBurst = 32
	requestCost      = 200 * time.Microsecond // processor time
)

// Reset closes the connection so that the peer receives a TCP reset.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Conn.Close()
}

// serve answers requests until the connection ends or is handed over. read holds the bytes that
// another process has already read from it; the rest has arrived after a time, if that is not zero.
func (c *Conn) serve(read []byte, unreadSince time.Time) {
	defer c.server.removeConn(c)
	defer func() {
		if !c.handedOver {
			c.Conn.Close()
		}
	}()
	c.allocateReadBuffer(read)
	if !unreadSince.IsZero() {
		c.input.UnreadSince(unreadSince)
	}
	for timeout := c.limits.FirstByteTimeout; ; timeout = c.limits.IdleTimeout {
		c.SetReadDeadline(time.Now().Add(timeout))
		// Check only after setting the deadline, which could have overwritten the one that Drain or
		// Detach set to interrupt this read.
		if c.handOverIfDetached(nil) || c.server.stopping() {
			return
		}
		if _, err := c.buf.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.handOverIfDetached(nil)
			}
			return
		}
		if !c.beginRequest() {
			c.handOverIfDetached(nil)
			return
		}
		if !c.serveRequest() {
			return
		}
		c.busy.Store(false)
	}
}

// allocateReadBuffer allocates the read buffer. It runs on the connection's goroutine so as not to
// delay Serve.
func (c *Conn) allocateReadBuffer(read []byte) {
	c.input = inbox.New(c.Conn, func() error {
		if c.checking {
			return errNothingArrived
		}
		return nil
	})
	if len(read) == 0 {
		c.buf = bufio.NewReaderSize(c.input, ReadBufferSize)
		return
	}
	c.prefix = &prefixReader{read, c.input}
	c.buf = bufio.NewReaderSize(c.prefix, max(ReadBufferSize, len(read)))
}

// RequestAge returns how long ago the request that is being served had arrived, as far as the system
// tells.
func (c *Conn) RequestAge() time.Duration { return time.Since(c.requestAt) }

// serveRequest reads one request and answers it. It returns false if the connection ends.
func (c *Conn) serveRequest() bool {
	if c.server.Gate != nil && !c.meter.Take(c.server.Gate.Now()) {
		c.server.Gate.Pass(requestCost)
	}
	reader := newMessageReader(c.buf, &c.limits)
	reader.account = c.account
	if reader.account != nil {
		defer func() { reader.account.Release(reader.reserved) }()
	}
	req, ok := c.readRequest(&reader)
	if !ok {
		return false
	}
	c.requestAt = c.input.ArrivedAt()
	resp := c.server.Handler.Serve(c, req)
	if resp == nil {
		return false
	}
	if resp.HandOver {
		c.handOverWithRequest(req)
		return false
	}
	return c.writeResponse(req, resp)
}

// readRequest reads a request. It returns false if there is none to serve; an error response is
// written first if the client can still read it.
func (c *Conn) readRequest(reader *messageReader) (*Request, bool) {
	c.SetReadDeadline(time.Now().Add(c.limits.HeadTimeout))
	req, err := reader.readRequest(func(s ReadStage) error {
		if s == HeadRead {
			return c.SetReadDeadline(time.Now().Add(c.limits.BodyTimeout))
		}
		return c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	})
	var httpErr *Error
	switch {
	case err == nil:
		c.SetReadDeadline(time.Time{})
		return req, true
	case errors.As(err, &httpErr):
		c.rejectRequest(httpErr.Status, httpErr.Reason)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.rejectRequest(408, "request did not come in time")
	case errors.Is(err, io.ErrUnexpectedEOF):
		c.rejectRequest(400, "request ends before its end")
	}
	return nil, false
}

const maxIdleWriteBuffer = 16 * ReadBufferSize // of a connection, in bytes

// writeResponse writes a response, or the replacement that its BeforeWrite returns. It returns
// false if the connection ends.
func (c *Conn) writeResponse(req *Request, resp *Response) bool {
	// The time counts from before BeforeWrite, so that a stop of the process after it extends nothing.
	begin := time.Now()
	timeout := c.limits.WriteTimeout
	var written func()
	if resp.BeforeWrite != nil {
		replacement, writeTimeout, done := resp.BeforeWrite()
		written = done
		if replacement != nil {
			resp = replacement
		}
		if writeTimeout > 0 {
			timeout = min(timeout, writeTimeout)
		}
	}
	resp.Close = resp.Close || req.Close || c.server.stopping()
	c.writeBuffer = AppendResponse(c.writeBuffer[:0], resp, req.Method == "HEAD")
	c.SetWriteDeadline(begin.Add(timeout))
	_, err := c.Conn.Write(c.writeBuffer)
	if cap(c.writeBuffer) > maxIdleWriteBuffer {
		c.writeBuffer = nil
	}
	if written != nil {
		written()
	}
	if err != nil {
		return false
	}
	if resp.Close {
		c.lingerBeforeClose()
	}
	return !resp.Close
}

func (c *Conn) write(b []byte) error {
	c.SetWriteDeadline(time.Now().Add(c.limits.WriteTimeout))
	_, err := c.Conn.Write(b)
	return err
}

// rejectRequest answers a request that cannot be read, after which the connection ends.
func (c *Conn) rejectRequest(status int, reason string) {
	body := `{"type":"about:blank","status":` + strconv.Itoa(status) + `,"title":"` + reason + `"}` + "\n"
	resp := &Response{
		Status: status,
		Header: Header{{"Content-Type", "application/problem+json"}},
		Body:   []byte(body),
		Close:  true,
	}
	c.write(AppendResponse(nil, resp, false))
	c.lingerBeforeClose()
}

// Bounds on the input that is read and discarded after the last response.
const (
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// lingerBeforeClose closes the write side and discards input for a short time after the last
// response: closing a socket with unread input resets the connection, which can destroy the
// response before the client has read it (RFC 9112 section 9.6).
func (c *Conn) lingerBeforeClose() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
}
