package jsonrpc

import (
	"errors"
	"fmt"
	"net"
	"os"
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

// A User is who may connect, and what for.
type User struct {
	UID     uint32
	Name    string
	Tenant  int
	Call    bool
	Operate bool
}

// Config sets up a Server. Zero bounds have the default named beside them.
type Config struct {
	Users     []User
	Gateway   *gateway.Gateway
	Functions func(name string) *gateway.Function
	Deadline  func(class int) time.Duration
	Effect    func(class int) scheduler.Idempotency
	Window    func(class int) time.Duration // in which workers drop repeats of a keyed call
	Models    ingress.Models                // nil: no function has versions
	Clock     clock.Clock
	Log       zerolog.Logger
	Operator  Operator
	MaxOpen   int           // connections: 64
	MaxLine   int           // bytes of a message: 1 MiB
	MaxCalls  int           // in hand of a connection, not written yet: 256
	Events    int           // that wait for a connection: 256
	Write     time.Duration // a write may take: 5 s
	Half      time.Duration // a line may take to arrive, once it has begun: 10 s
	// After is when this process took over from another, whose keys it does not know: a key is not taken until the other's calls
	// of its class have ended and their window is over. 0: it took over from none.
	After    time.Duration
	Keys     int // keyed calls remembered: 10000
	KeyBytes int // of their answers: 16 MiB
}

// An Operator carries out what operators ask for beside calls. A result is rendered as JSON.
type Operator interface {
	// Do returns ErrMethod for a method that it does not know. params decodes strictly.
	Do(method string, user User, params func(into any) error) (any, error)
}

// Errors that an Operator returns to be told by code.
var (
	ErrMethod  = errors.New("no such method")
	ErrUnknown = errors.New("unknown")
)

// Counts of what came in.
type Counts struct {
	Connections, Denied, Messages, Bad, Calls, Cancelled, Joined, Kept, Events, EventsLost, Cut, Anew, Withheld atomic.Int64
}

// A Server serves one socket.
type Server struct {
	cfg     Config
	Counts  Counts
	binder  ingress.Binder
	mu      sync.Mutex
	conns   map[*conn]bool
	keys    keys
	ln      net.Listener
	closing atomic.Bool
	paused  chan struct{}
	wg      sync.WaitGroup
}

// New returns a server that does not serve yet.
func New(cfg Config) *Server {
	def := func(p *int, v int) {
		if *p == 0 {
			*p = v
		}
	}
	def(&cfg.MaxOpen, 64)
	def(&cfg.MaxLine, 1<<20)
	def(&cfg.MaxCalls, 256)
	def(&cfg.Events, 256)
	def(&cfg.Keys, 10_000)
	def(&cfg.KeyBytes, 16<<20)
	if cfg.Write == 0 {
		cfg.Write = 5 * time.Second
	}
	if cfg.Half == 0 {
		cfg.Half = 10 * time.Second
	}
	s := &Server{cfg: cfg, conns: map[*conn]bool{}, keys: keys{most: cfg.Keys, bytes: cfg.KeyBytes, by: map[string]*keyed{}}}
	s.binder = ingress.Binder{Models: cfg.Models, Idempotency: cfg.Effect, Clock: cfg.Clock, Restarts: &s.Counts.Anew}
	return s
}

// Listen opens a socket with a mode. One that a process left behind is replaced; one that is served is an error.
func Listen(path string, mode os.FileMode) (*net.UnixListener, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("%s is there and is no socket", path)
		}
		if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
			c.Close()
			return nil, fmt.Errorf("%s is in use", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	old := syscall.Umask(0o177) // nobody else may connect before the mode is set
	ln, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, mode); err != nil {
		ln.Close()
		return nil, err
	}
	return ln.(*net.UnixListener), nil
}

// Serve accepts until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	for {
		nc, err := ln.Accept()
		if err != nil {
			if s.closing.Load() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			return err
		}
		s.Counts.Connections.Add(1)
		user, err := s.user(nc)
		if err != nil {
			s.Counts.Denied.Add(1)
			s.cfg.Log.Warn().Err(err).Msg("rpc: connection refused")
			s.refuse(nc, problem(CodeDenied, "%v", err))
			continue
		}
		s.mu.Lock()
		full := len(s.conns) >= s.cfg.MaxOpen
		c := &conn{s: s, nc: nc, user: user, hand: map[string]*inHand{}, topics: map[string]bool{}}
		c.more = sync.NewCond(&c.mu)
		if !full {
			s.conns[c] = true
			s.wg.Add(1)
		}
		s.mu.Unlock()
		if full {
			s.refuse(nc, problem(CodeBusy, "%d connections are open, and no more may be", s.cfg.MaxOpen))
			continue
		}
		go c.serve()
	}
}

func (s *Server) refuse(nc net.Conn, e *Error) {
	nc.SetWriteDeadline(time.Now().Add(time.Second))
	nc.Write(append(reply(nil, nil, e), '\n'))
	nc.Close()
}

// user tells who is at the other end, as the kernel noted when it connected.
func (s *Server) user(nc net.Conn) (User, error) {
	uc, ok := nc.(*net.UnixConn)
	if !ok {
		return User{}, errors.New("not a Unix socket")
	}
	raw, err := uc.SyscallConn()
	if err != nil {
		return User{}, err
	}
	var cred *syscall.Ucred
	var cerr error
	if err := raw.Control(func(fd uintptr) {
		cred, cerr = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil {
		return User{}, err
	}
	if cerr != nil {
		return User{}, cerr
	}
	for _, u := range s.cfg.Users {
		if u.UID == cred.Uid {
			return u, nil
		}
	}
	return User{}, fmt.Errorf("user %d (process %d) is not among rpc.users", cred.Uid, cred.Pid)
}

// Pause has all calls that come from now on wait for Resume.
func (s *Server) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = make(chan struct{})
}

// Resume ends a pause.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused != nil {
		close(s.paused)
		s.paused = nil
	}
}

// wait waits while there is a pause.
func (s *Server) wait() {
	for {
		s.mu.Lock()
		p := s.paused
		s.mu.Unlock()
		if p == nil {
			return
		}
		<-p
	}
}

// BeginStop has every further call refused; operators are still served.
func (s *Server) BeginStop() { s.closing.Store(true) }

// Drain closes the listener, waits until what is in hand is written or the time is up, and cuts the rest.
func (s *Server) Drain(within time.Duration) {
	s.closing.Store(true)
	s.mu.Lock()
	if s.ln != nil {
		s.ln.Close()
	}
	for c := range s.conns {
		c.finish()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(within):
		s.Cut()
		<-done
	}
}

// Cut closes all connections at once.
func (s *Server) Cut() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		s.ln.Close()
	}
	for c := range s.conns {
		c.nc.Close()
	}
}

// Publish hands an event to the connections that have subscribed to its topic. It never blocks.
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
			c.event(text)
		}
		c.mu.Unlock()
	}
}
