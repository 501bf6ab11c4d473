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
)

// A Conn is one connection of a server. It belongs to the goroutine that serves it, and so to its handler; only Wake
// and Reset may be called from others.
type Conn struct {
	net.Conn
	server     *Server
	limits     Limits
	buf        *bufio.Reader
	prefix     *prefixReader // below buf, of an adopted connection; else nil
	out        []byte        // the last answer written, for its memory
	busy       atomic.Bool   // a request is in flight
	handedOver bool
}

// Reset closes the connection so that the other end sees a reset.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Conn.Close()
}

// serve answers requests until the connection ends or is handed over. read is what another process has read of it.
func (c *Conn) serve(read []byte) {
	defer c.server.remove(c)
	defer func() {
		if !c.handedOver {
			c.Conn.Close()
		}
	}()
	c.allocate(read)
	for wait := c.limits.FirstByteTimeout; ; wait = c.limits.IdleTimeout {
		c.SetReadDeadline(time.Now().Add(wait))
		// Asked only now: the deadline could have overwritten that of Drain or Detach.
		if c.leave(nil) || c.server.stopping() {
			return
		}
		if _, err := c.buf.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.leave(nil)
			}
			return
		}
		if !c.begin() {
			c.leave(nil)
			return
		}
		if !c.exchange() {
			return
		}
		c.busy.Store(false)
	}
}

// allocate allocates the read buffer: on the connection's goroutine, for Serve to be free at once.
func (c *Conn) allocate(read []byte) {
	if len(read) == 0 {
		c.buf = bufio.NewReaderSize(c.Conn, ReadBufferSize)
		return
	}
	c.prefix = &prefixReader{read, c.Conn}
	c.buf = bufio.NewReaderSize(c.prefix, max(ReadBufferSize, len(read)))
}

// exchange reads one request and answers it; false ends the connection.
func (c *Conn) exchange() bool {
	req, ok := c.readRequest()
	if !ok {
		return false
	}
	resp := c.server.Handler.Serve(c, req)
	if resp == nil {
		return false
	}
	if resp.HandOver {
		c.pass(req)
		return false
	}
	return c.respond(req, resp)
}

// readRequest reads a request; false if there is none, after an answer that says why if the client can still read it.
func (c *Conn) readRequest() (*Request, bool) {
	c.SetReadDeadline(time.Now().Add(c.limits.HeadTimeout))
	req, err := ReadRequest(c.buf, &c.limits, func(s ReadStage) error {
		if s == HeadRead {
			return c.SetReadDeadline(time.Now().Add(c.limits.BodyTimeout))
		}
		return c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	})
	var malformed *Error
	switch {
	case err == nil:
		c.SetReadDeadline(time.Time{})
		return req, true
	case errors.As(err, &malformed):
		c.reject(malformed.Status, malformed.Reason)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reject(408, "request did not come in time")
	case errors.Is(err, io.ErrUnexpectedEOF):
		c.reject(400, "request ends before its end")
	}
	return nil, false
}

const maxIdleBuffer = 16 * ReadBufferSize // bytes of an answer whose memory stays with an idle connection

// respond writes an answer, or what its gate puts in its place; false ends the connection.
func (c *Conn) respond(req *Request, resp *Response) bool {
	timeout := c.limits.WriteTimeout
	var written func()
	if resp.BeforeWrite != nil {
		instead, within, done := resp.BeforeWrite()
		written = done
		if instead != nil {
			resp = instead
		}
		if within > 0 {
			timeout = min(timeout, within)
		}
	}
	resp.Close = resp.Close || req.Close || c.server.stopping()
	c.out = AppendResponse(c.out[:0], resp, req.Method == "HEAD")
	c.SetWriteDeadline(time.Now().Add(timeout))
	_, err := c.Conn.Write(c.out)
	if cap(c.out) > maxIdleBuffer {
		c.out = nil
	}
	if written != nil {
		written()
	}
	if err != nil {
		return false
	}
	if resp.Close {
		c.linger()
	}
	return !resp.Close
}

func (c *Conn) write(b []byte) error {
	c.SetWriteDeadline(time.Now().Add(c.limits.WriteTimeout))
	_, err := c.Conn.Write(b)
	return err
}

// reject answers a request that cannot be read; the connection ends then.
func (c *Conn) reject(status int, reason string) {
	body := `{"type":"about:blank","status":` + strconv.Itoa(status) + `,"title":"` + reason + `"}` + "\n"
	resp := &Response{
		Status: status,
		Header: Header{{"Content-Type", "application/problem+json"}},
		Body:   []byte(body),
		Close:  true,
	}
	c.write(AppendResponse(nil, resp, false))
	c.linger()
}

// Bounds of what is read and dropped after the last answer.
const (
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
)

// linger reads on a little after the last answer: closing with bytes unread resets the connection, which can take the
// answer away from the client (RFC 9112 section 9.6).
func (c *Conn) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTime))
	io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
}
