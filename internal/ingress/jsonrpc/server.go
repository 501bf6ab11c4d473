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
	"kitehub/scheduler"
)

// A User is one that may connect, and what for.
type User struct {
	UID        uint32
	Name       string
	Tenant     int
	MayCall    bool // may call functions
	MayOperate bool // may send operators' requests and subscribe to events
}

// Config sets up a Server. Zero bounds have the default named beside them.
type Config struct {
	Users          []User
	Gateway        *gateway.Gateway
	Functions      func(name string) *gateway.Function // nil: no such function
	Deadline       func(class int) time.Duration       // longest time that a client of the class waits
	Idempotency    func(class int) scheduler.Idempotency
	KeyWindow      func(class int) time.Duration // in which workers drop repeats of an idempotency key
	Models         ingress.Models                // nil: no function has versions
	Clock          clock.Clock
	Log            zerolog.Logger
	Operator       Operator
	MaxConns       int           // connections: 64
	MaxMessage     int           // bytes of a message: 1 MiB
	MaxCalls       int           // calls of a connection that are in flight, or whose answer is not written yet: 256
	MaxEvents      int           // events that wait to be written to a connection: 256
	WriteTimeout   time.Duration // longest time for a write: 5 s
	MessageTimeout time.Duration // longest time for a line to arrive, once it has begun: 10 s
	// TakeoverTime is when this process took over from another, whose keys it does not know: calls with a key are rejected
	// until the other's calls of their class have ended and their window is over. 0: it took over from none.
	TakeoverTime   time.Duration
	MaxKeys        int // calls with a key that are remembered: 10000
	MaxCachedBytes int // total size of their answers: 16 MiB
}

// setDefaults replaces zero bounds.
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

// An Operator carries out operators' requests: all methods but those of calls and events.
type Operator interface {
	// Do returns the result, which is encoded as JSON. params decodes the request's params strictly. Do returns
	// ErrMethod for an unknown method, an error that wraps ErrUnknown for an unknown object, an *Error to choose the
	// response, and any other error if the request is not possible in the present state.
	Do(method string, user User, params func(into any) error) (any, error)
}

// Errors of an Operator that have codes of their own.
var (
	ErrUnknownMethod = errors.New("no such method")
	ErrUnknownObject = errors.New("unknown")
)

// Counts are for the log and for tests.
type Counts struct {
	Connections   atomic.Int64
	Denied        atomic.Int64 // connections of users that are not configured
	Messages      atomic.Int64
	Malformed     atomic.Int64 // malformed messages
	Calls         atomic.Int64 // accepted
	Cancelled     atomic.Int64 // by the method cancel
	Joined        atomic.Int64 // calls with a key that waited for one in flight
	Cached        atomic.Int64 // calls with a key answered with a cached answer
	Events        atomic.Int64 // queued for a connection
	EventsDropped atomic.Int64 // dropped because too many waited
	WriteFailures atomic.Int64 // connections closed because a write failed
	Restarted     atomic.Int64 // calls that began anew because their alias had moved
	Withheld      atomic.Int64 // answers not written because their version no longer may answer
}

// A Server serves one socket. It is safe for concurrent use. Each connection has a goroutine that reads and carries
// out requests, and one that writes.
//
// Locks are taken in the order server, connection.
type Server struct {
	Counts Counts

	cfg     Config
	binder  ingress.Binder
	closing atomic.Bool // no further call is accepted
	wg      sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
	keys     keyTable
	resumed  chan struct{} // closed when the present pause ends; nil: there is none
}

// New returns a server that does not serve yet.
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

// acceptRetryDelay is the wait after an accept that failed for want of a descriptor.
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

// accept serves a connection, or rejects it.
func (s *Server) accept(socket net.Conn) {
	s.Counts.Connections.Add(1)
	user, err := s.user(socket)
	if err != nil {
		s.Counts.Denied.Add(1)
		s.cfg.Log.Warn().Err(err).Msg("rpc connection rejected")
		rejectConn(socket, problem(CodeDenied, "%v", err))
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
		rejectConn(socket, problem(CodeBusy, "%d connections are open, and no more may be", s.cfg.MaxConns))
		return
	}
	go c.serve()
}

func rejectConn(socket net.Conn, e *Error) {
	socket.SetWriteDeadline(time.Now().Add(time.Second))
	socket.Write(append(reply(nil, nil, e), '\n'))
	socket.Close()
}

// Pause makes all further calls wait until Resume.
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

// waitWhilePaused blocks until there is no pause.
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

// BeginStop rejects all further calls; operators are still served.
func (s *Server) BeginStop() { s.closing.Store(true) }

// Drain closes the listener, waits until the answers to all calls in flight are written or the time is up, and closes
// the connections that are left.
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

// Close closes the listener and all connections at once.
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

// Publish queues an event for the connections that have subscribed to its topic. It never blocks.
func (s *Server) Publish(topic string, event any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var text []byte
	for c := range s.conns {
		c.mu.Lock()
		if c.topics[topic] {
			if text == nil {
				text = notification("event", map[string]any{"topic": topic, "event": event})
			}
			c.queueEvent(text)
		}
		c.mu.Unlock()
	}
}
