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

	"kitehub/internal/overload"
	"kitehub/scheduler"
)

// A conn is one connection. One goroutine runs serve, which reads and handles requests; another
// runs write.
type conn struct {
	server *Server
	socket net.Conn
	user   User

	account   *overload.Account // nil: there is no budget
	lineBytes int               // of the account, for the message that is read or handled; only serve uses it
	meter     overload.Meter    // only serve uses it

	mu             sync.Mutex
	changed        *sync.Cond              // signals changes of the fields below
	responses      []response              // queued for writing, before events
	events         [][]byte                // queued for writing
	lostEvents     int                     // events dropped since the last one that was queued
	calls          map[string]*pendingCall // in flight, by request ID
	unwrittenCalls int                     // accepted calls whose responses have not been written yet
	topics         map[string]bool         // true for those subscribed to
	ended          bool                    // no further request is read
	draining       bool                    // the connection is closed once unwrittenCalls is 0
}

// A pendingCall is a call in flight. The mutex of its connection guards its fields, except for the
// functions, which are set before another goroutine can reach it.
type pendingCall struct {
	id        scheduler.RequestID // at the gateway; valid once started is set
	started   bool
	abandoned bool // no client waits for the answer
	answered  bool
	// stopWaiting is set for a call with an idempotency key, for which several requests may wait.
	// It ends the wait of this one, and cancels the call if no other request waits for it.
	stopWaiting     func()
	answerCancelled func() // answers the request as cancelled
}

func newConn(s *Server, socket net.Conn, user User) *conn {
	c := &conn{
		server: s,
		socket: socket,
		user:   user,
		calls:  map[string]*pendingCall{},
		topics: map[string]bool{},
	}
	c.meter = overload.NewMeter(freeMessageRate, freeMessageBurst)
	if s.cfg.Budget != nil {
		c.account = s.cfg.Budget.NewAccount()
	}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// serve runs the connection until it ends.
func (c *conn) serve() {
	s := c.server
	defer s.wg.Done()
	written := make(chan struct{})
	go func() {
		c.write()
		close(written)
	}()
	c.read()
	for _, call := range c.endReading() {
		s.stopWaiting(c, call)
	}
	<-written
	c.socket.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// endReading marks the connection as ended, and returns the calls in flight, which the client no
// longer waits for. A client that has only shut down its writing side looks the same here: it still
// receives the responses that are already queued, but its calls are cancelled too.
func (c *conn) endReading() map[string]*pendingCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := c.calls
	c.calls = map[string]*pendingCall{}
	c.ended = true
	c.changed.Broadcast()
	return calls
}

// drain makes the connection close once the answers to all calls in flight are written.
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

// What a connection may send without waiting for others, and what a message beyond that costs.
const (
	freeMessageRate  = 100.0 // messages a second
	freeMessageBurst = 64
	messageCost      = 200 * time.Microsecond // processor time
)

// reserve reserves memory. It returns false if there is none.
func (c *conn) reserve(bytes int) bool { return c.account == nil || c.account.Reserve(bytes) }

func (c *conn) release(bytes int) {
	if c.account != nil {
		c.account.Release(bytes)
	}
}

// releaseLine releases the memory of the message that was handled last.
func (c *conn) releaseLine() {
	c.release(c.lineBytes)
	c.lineBytes = 0
}

// read reads and handles requests until the connection ends.
func (c *conn) read() {
	s := c.server
	reader := bufio.NewReaderSize(c.socket, readBuffer)
	defer c.releaseLine()
	for {
		c.releaseLine()
		line, err := c.readLine(reader)
		switch {
		case err == nil:
		case errors.Is(err, errNoMemory):
			c.rejectMessage(rejection(CodeBusy, "no memory left for the message: the connection ends", time.Second))
			return
		case errors.Is(err, errLineTooLong):
			c.rejectMessage(errorf(CodeInvalidRequest, "a message of more than %d bytes: the connection ends", s.cfg.MaxMessage))
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.rejectMessage(errorf(CodeParseError, "half a message for %v: the connection ends", s.cfg.MessageTimeout))
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

// rejectMessage counts a malformed message and responds to it with an error.
func (c *conn) rejectMessage(e *Error) {
	c.server.Counts.Malformed.Add(1)
	c.respond(encodeResponse(nil, nil, e))
}

var (
	errLineTooLong = errors.New("line too long")
	errNoMemory    = errors.New("no memory left for the line")
)

// readLine reads one message, and skips empty lines.
func (c *conn) readLine(reader *bufio.Reader) ([]byte, error) {
	for {
		c.socket.SetReadDeadline(time.Time{}) // a client may be idle for any length of time
		if _, err := reader.Peek(1); err != nil {
			return nil, err
		}
		if gate := c.server.cfg.Gate; gate != nil && !c.meter.Take(gate.Now()) {
			gate.Pass(messageCost)
		}
		c.socket.SetReadDeadline(time.Now().Add(c.server.cfg.MessageTimeout))
		line, err := c.readUntilNewline(reader)
		if err != nil {
			return nil, err
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			return line, nil
		}
	}
}

func (c *conn) readUntilNewline(reader *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		if len(line)+len(part) > c.server.cfg.MaxMessage {
			return nil, errLineTooLong
		}
		if !c.reserve(len(part)) {
			return nil, errNoMemory
		}
		c.lineBytes += len(part)
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
