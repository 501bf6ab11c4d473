package jsonrpc

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"kitehub/scheduler"
)

// A conn is one connection. serve runs on a goroutine that reads and carries out requests, write on another.
type conn struct {
	server *Server
	socket net.Conn
	user   User

	mu         sync.Mutex
	changed    *sync.Cond // of any field below
	responses  []response // to be written, before events
	events     [][]byte   // to be written
	lostEvents int        // dropped since the last event that was queued
	calls      map[string]*pendingCall
	unwritten  int // calls in flight, or whose answers are not written yet
	topics     map[string]bool
	ended      bool // nothing more is read
	draining   bool // to be closed as soon as no answer is unwritten
}

// A pendingCall is a call in flight. Its fields are guarded by its connection's mutex, but for the functions, which
// are set before it is known to another goroutine.
type pendingCall struct {
	id        scheduler.RequestID // at the gateway, once started
	started   bool
	abandoned bool // nobody waits for it
	answered  bool
	leave     func() // of a call with a key: this request no longer waits, and if it was the last the call is cancelled
	answer    func() // answers it as cancelled
}

func newConn(s *Server, socket net.Conn, user User) *conn {
	c := &conn{
		server: s,
		socket: socket,
		user:   user,
		calls:  map[string]*pendingCall{},
		topics: map[string]bool{},
	}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// serve serves the connection until it ends.
func (c *conn) serve() {
	s := c.server
	defer s.wg.Done()
	written := make(chan struct{})
	go func() {
		c.write()
		close(written)
	}()
	c.read()
	for _, call := range c.end() {
		s.leave(c, call)
	}
	<-written
	c.socket.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// end ends the connection after its last request, and returns the calls in flight: a client that has left is no
// longer waited for. A client that only shut down its writing side still reads; it cannot be told from the other
// here, and gets what is ready.
func (c *conn) end() map[string]*pendingCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := c.calls
	c.calls = map[string]*pendingCall{}
	c.ended = true
	c.changed.Broadcast()
	return calls
}

// drain closes the connection as soon as the answers to all calls in flight are written.
func (c *conn) drain() {
	c.mu.Lock()
	c.draining = true
	c.changed.Broadcast()
	c.mu.Unlock()
}

func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

const readBuffer = 16 << 10 // bytes

// read reads and carries out requests until the connection ends.
func (c *conn) read() {
	s := c.server
	reader := bufio.NewReaderSize(c.socket, readBuffer)
	for {
		line, err := c.readLine(reader)
		switch {
		case err == nil:
		case errors.Is(err, errLineTooLong):
			c.badMessage(problem(CodeInvalidRequest, "a message of more than %d bytes: the connection ends", s.cfg.MaxMessage))
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.badMessage(problem(CodeParseError, "half a message for %v: the connection ends", s.cfg.MessageTimeout))
			return
		default:
			return
		}
		s.Counts.Messages.Add(1)
		c.handleLine(line)
		if c.hasEnded() {
			return
		}
	}
}

// badMessage counts a malformed message and responds to it.
func (c *conn) badMessage(e *Error) {
	c.server.Counts.Malformed.Add(1)
	c.respond(reply(nil, nil, e))
}

var errLineTooLong = errors.New("line too long")

// readLine reads one message. Empty lines are skipped.
func (c *conn) readLine(reader *bufio.Reader) ([]byte, error) {
	for {
		c.socket.SetReadDeadline(time.Time{}) // a client may be idle for any time
		if _, err := reader.Peek(1); err != nil {
			return nil, err
		}
		c.socket.SetReadDeadline(time.Now().Add(c.server.cfg.MessageTimeout))
		line, err := readUntilNewline(reader, c.server.cfg.MaxMessage)
		if err != nil {
			return nil, err
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			return line, nil
		}
	}
}

func readUntilNewline(reader *bufio.Reader, maxBytes int) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		if len(line)+len(part) > maxBytes {
			return nil, errLineTooLong
		}
		line = append(line, part...)
		switch {
		case err == nil:
			return line, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}
