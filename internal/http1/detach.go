package http1

import (
	"io"
	"strings"
	"time"
)

// Detach hands connections over instead of reading further requests from them: idle ones at once, others once their
// request is answered, and those whose handler passes their request on (Response.Pass).
func (s *Server) Detach(handOver HandOverFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver = handOver
	s.interruptIdle()
}

// begin reports whether a request may be read: after Detach none may.
func (c *Conn) begin() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.server.handOver != nil {
		return false
	}
	c.busy.Store(true)
	return true
}

// leave hands the connection over after Detach, with the given bytes before what was read and not used. It reports
// whether it did.
func (c *Conn) leave(first []byte) bool {
	c.server.mu.Lock()
	handOver := c.server.handOver
	c.server.mu.Unlock()
	if handOver == nil {
		return false
	}
	unused, _ := c.buf.Peek(c.buf.Buffered())
	if c.prefix != nil {
		unused = append(unused[:len(unused):len(unused)], c.prefix.first...)
	}
	c.handedOver = true
	c.SetReadDeadline(time.Time{})
	c.SetWriteDeadline(time.Time{})
	handOver(c.Conn, append(first, unused...))
	return true
}

// pass hands the connection over with a request that was read. The request is written anew, with a length, whatever
// form its body had.
func (c *Conn) pass(req *Request) {
	header := req.Header[:0:0]
	for _, f := range req.Header {
		switch strings.ToLower(f.Name) {
		case "content-length", "transfer-encoding", "expect", "connection":
		default:
			header = append(header, f)
		}
	}
	req.Header = header
	c.leave(AppendRequest(nil, req))
}

// A prefixReader reads what another process had read of a connection, and then on.
type prefixReader struct {
	first []byte
	rest  io.Reader
}

// Read implements io.Reader.
func (p *prefixReader) Read(b []byte) (int, error) {
	if len(p.first) > 0 {
		n := copy(b, p.first)
		p.first = p.first[n:]
		return n, nil
	}
	return p.rest.Read(b)
}
