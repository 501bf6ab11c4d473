package http1

import (
	"io"
	"strings"
	"time"
)

// Detach hands connections over instead of reading further requests from them: idle ones at once,
// and others when their request is answered or when their handler hands it over unanswered
// (Response.HandOver).
func (s *Server) Detach(handOver HandOverFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver = handOver
	s.interruptIdle()
}

// beginRequest marks the connection busy and reports whether a request may be read, which after
// Detach it may not.
func (c *Conn) beginRequest() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.server.handOver != nil {
		return false
	}
	c.busy.Store(true)
	return true
}

// handOverIfDetached hands the connection over if Detach was called, and reports whether it did.
// The successor receives prepend, followed by the bytes that were read from the connection and not
// used.
func (c *Conn) handOverIfDetached(prepend []byte) bool {
	c.server.mu.Lock()
	handOver := c.server.handOver
	c.server.mu.Unlock()
	if handOver == nil {
		return false
	}
	unused, _ := c.buf.Peek(c.buf.Buffered())
	if c.prefix != nil {
		unused = append(unused[:len(unused):len(unused)], c.prefix.buffered...)
	}
	c.handedOver = true
	c.SetReadDeadline(time.Time{})
	c.SetWriteDeadline(time.Time{})
	handOver(c.Conn, append(prepend, unused...))
	return true
}

// handOverWithRequest hands the connection over with a request that was read. The request is
// encoded again with a Content-Length, even if its body was chunked.
func (c *Conn) handOverWithRequest(req *Request) {
	header := req.Header[:0:0]
	for _, f := range req.Header {
		switch strings.ToLower(f.Name) {
		case "content-length", "transfer-encoding", "expect", "connection":
		default:
			header = append(header, f)
		}
	}
	req.Header = header
	c.handOverIfDetached(AppendRequest(nil, req))
}

// A prefixReader reads the bytes that another process has read from a connection, and then from the
// connection itself.
type prefixReader struct {
	buffered []byte
	conn     io.Reader
}

// Read implements io.Reader.
func (p *prefixReader) Read(b []byte) (int, error) {
	if len(p.buffered) > 0 {
		n := copy(b, p.buffered)
		p.buffered = p.buffered[n:]
		return n, nil
	}
	return p.conn.Read(b)
}
