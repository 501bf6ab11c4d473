package jsonrpc

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/internal/ingress"
	"kitehub/internal/overload"
	"kitehub/scheduler"
)

// A User is an entry of the list of users that may connect, with their permissions.
type User struct {
	UID        uint32
	Name       string
	Tenant     int
	MayCall    bool // may call functions
	MayOperate bool // may send operators' requests and subscribe to events
}

// Config configures a Server. A bound of zero stands for the default that its comment names.
type Config struct {
	Users          []User
	Gateway        *gateway.Gateway
	Functions      func(name string) *gateway.Function // nil: no such function
	Deadline       func(class int) time.Duration       // for calls of the class
	Idempotency    func(class int) scheduler.Idempotency
	KeyWindow      func(class int) time.Duration // how long workers drop repeats of a key
	Models         ingress.Models                // nil: no function has versions
	Clock          clock.Clock
	Log            zerolog.Logger
	Operator       Operator
	MaxConns       int           // connections at a time; 64 by default
	MaxMessage     int           // bytes of a message; 1 MiB by default
	MaxCalls       int           // of a connection, without a written answer; 256 by default
	MaxEvents      int           // queued for writing on a connection; 256 by default
	WriteTimeout   time.Duration // for one write; 5 s by default
	MessageTimeout time.Duration // from the first byte of a message to its last; 10 s by default
	// TakeoverTime is when this process took over from another, whose idempotency keys it does not
	// know; 0: it did not take over. Calls with a key are rejected until the calls that the other
	// process accepted must have ended and the key window of their class has passed.
	TakeoverTime time.Duration
	// KeysUnknownUntil is until when calls with a key are rejected at least, whatever their class.
	KeysUnknownUntil time.Duration
	MaxKeys          int // calls with an idempotency key that are remembered; 10000 by default
	MaxCachedBytes   int // total size of their cached answers; 16 MiB by default
	// Gate is for connections that send faster than others; nil: there is none.
	Gate *overload.Gate
	// Budget bounds the bytes of messages that are read, and of calls; nil: there is none.
	Budget *overload.Budget
}

// setDefaults replaces zero bounds by their defaults.
func (cfg *Config) setDefaults() {
	setDefault(&cfg.MaxConns, 64)
	setDefault(&cfg.MaxMessage, 1<<20)
	setDefault(&cfg.MaxCalls, 256)
	setDefault(&cfg.MaxEvents, 256)
	setDefault(&cfg.MaxKeys, 10_000)
	setDefault(&cfg.MaxCachedBytes, 16<<20)
	setDefault(&cfg.WriteTimeout, 5*time.Second)
	setDefault(&cfg.MessageTimeout, 10*time.Second)
}

func setDefault[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}

// An Operator carries out operators' requests: all methods except those for calls and events.
type Operator interface {
	// Do returns the result of a method, to be encoded as JSON. params decodes the params of the
	// request strictly. Do returns ErrUnknownMethod for an unknown method, an error that wraps
	// ErrUnknownObject for an unknown object, an *Error to choose the error response, and any other
	// error if the request is not possible in the current state.
	Do(method string, user User, params func(into any) error) (any, error)
}

// Errors of an Operator for which the response has a code of its own.
var (
	ErrUnknownMethod = errors.New("no such method")
	ErrUnknownObject = errors.New("unknown")
)

// Counts are counters for the operators' status and for tests.
type Counts struct {
	Connections   atomic.Int64
	Denied        atomic.Int64 // connections rejected because their user is not configured
	Messages      atomic.Int64
	Malformed     atomic.Int64 // messages that are not valid JSON-RPC
	Calls         atomic.Int64 // calls accepted
	Cancelled     atomic.Int64 // calls cancelled by the method "cancel"
	Disconnected  atomic.Int64 // calls not accepted, as their client had closed before they were read
	Joined        atomic.Int64 // calls that waited for one in flight with their idempotency key
	Cached        atomic.Int64 // calls that got the cached answer of their idempotency key
	Events        atomic.Int64 // events queued for a connection
	EventsDropped atomic.Int64 // events dropped because the queue of a connection was full
	WriteFailures atomic.Int64 // connections closed because a write failed
	Restarted     atomic.Int64 // calls started again because their alias was migrated
	Withheld      atomic.Int64 // answers not written because their version may no longer answer
}

// A Server serves one socket. It is safe for concurrent use. Each connection has one goroutine that
// reads and handles requests, and one that writes.
//
// Locks are acquired in the order Server, conn.
type Server struct {
	Counts Counts

	cfg     Config
	binder  ingress.Binder
	closing atomic.Bool // set once no further call is accepted
	wg      sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
	keys     keyTable
	resumed  chan struct{} // closed when the current pause ends; nil: not paused
}

// New returns a server. Call Serve to accept connections.
func New(cfg Config) *Server {
	cfg.setDefaults()
	s := &Server{
		cfg:   cfg,
		conns: map[*conn]bool{},
		keys:  keyTable{maxCalls: cfg.MaxKeys, maxBytes: cfg.MaxCachedBytes, calls: map[string]*keyedCall{}},
	}
	s.binder = ingress.Binder{
		Models:      cfg.Models,
		Idempotency: cfg.Idempotency,
		Clock:       cfg.Clock,
		Restarts:    &s.Counts.Restarted,
	}
	return s
}

// acceptRetryDelay is the wait after an accept that failed for a temporary reason, such as a lack
// of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Serve accepts connections until the listener is closed, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		socket, err := listener.Accept()
		switch {
		case err == nil:
			s.accept(socket)
		case s.closing.Load() || errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ECONNABORTED):
			time.Sleep(acceptRetryDelay)
		default:
			return err
		}
	}
}

// accept starts serving a connection, or rejects it.
func (s *Server) accept(socket net.Conn) {
	s.Counts.Connections.Add(1)
	user, err := s.peerUser(socket)
	if err != nil {
		s.Counts.Denied.Add(1)
		s.cfg.Log.Warn().Err(err).Msg("rpc connection rejected")
		rejectConn(socket, errorf(CodeDenied, "%v", err))
		return
	}
	c := newConn(s, socket, user)
	s.mu.Lock()
	full := len(s.conns) >= s.cfg.MaxConns
	if !full {
		s.conns[c] = true
		s.wg.Add(1)
	}
	s.mu.Unlock()
	if full {
		rejectConn(socket, errorf(CodeBusy, "%d connections are open, and no more may be", s.cfg.MaxConns))
		return
	}
	go c.serve()
}

// rejectConn sends an error and closes the connection.
func rejectConn(socket net.Conn, e *Error) {
	socket.SetWriteDeadline(time.Now().Add(time.Second))
	socket.Write(append(encodeResponse(nil, nil, e), '\n'))
	socket.Close()
}

// Pause delays all further calls until Resume.
func (s *Server) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumed = make(chan struct{})
}

// Resume ends a pause.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

// waitWhilePaused blocks until the server is not paused.
func (s *Server) waitWhilePaused() {
	for {
		s.mu.Lock()
		resumed := s.resumed
		s.mu.Unlock()
		if resumed == nil {
			return
		}
		<-resumed
	}
}

// BeginStop makes the server reject all further calls. Operators' requests are still served.
func (s *Server) BeginStop() { s.closing.Store(true) }

// Drain closes the listener and waits until the answers to all calls in flight are written. At the
// timeout it closes the connections that are left.
func (s *Server) Drain(timeout time.Duration) {
	s.closing.Store(true)
	s.mu.Lock()
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.drain()
	}
	s.mu.Unlock()
	drained := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(drained)
	}()
	select {
	case <-drained:
	case <-time.After(timeout):
		s.Close()
		<-drained
	}
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.socket.Close()
	}
}

// Publish queues an event for the connections that have subscribed to its topic. It does not block.
func (s *Server) Publish(topic string, event any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var text []byte
	for c := range s.conns {
		c.mu.Lock()
		if c.topics[topic] {
			if text == nil {
				text = encodeNotification("event", map[string]any{"topic": topic, "event": event})
			}
			c.queueEvent(text)
		}
		c.mu.Unlock()
	}
}
