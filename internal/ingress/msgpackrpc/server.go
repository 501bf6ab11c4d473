package msgpackrpc

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// A Gateway accepts calls. gateway.Gateway is one.
type Gateway interface {
	Submit(*gateway.Call) (scheduler.RequestID, bool)
	Cancel(scheduler.RequestID)
}

// Config sets up a Server.
type Config struct {
	Gateway        Gateway
	Clock          clock.Clock
	Settings       scheduler.Settings
	Log            zerolog.Logger
	MaxBody        int           // bytes of a body, at most; the platform has 16 KiB
	MaxInFlight    int           // requests in flight on one connection, at most; the platform has 32
	MaxConns       int           // connections at a time, at most
	MessageTimeout time.Duration // a client must have sent a complete message so long after it connected or began one
	StallTimeout   time.Duration // a client that reads nothing for so long while answers wait is disconnected
}

// Counts are for the log and for tests.
type Counts struct {
	Accepted  atomic.Int64 // connections
	Evicted   atomic.Int64 // connections closed to make room for another
	Rejected  atomic.Int64 // connections rejected because all others are busy
	TimedOut  atomic.Int64 // connections closed because the client was silent for too long
	Requests  atomic.Int64 // submitted to the gateway
	Invalid   atomic.Int64 // requests answered as invalid
	OverLimit atomic.Int64 // requests rejected because too many are in flight on the connection
	Malformed atomic.Int64 // connections closed because of bytes that are no message
	Withdrawn atomic.Int64 // requests cancelled by the client
}

// A Server serves clients until Close. It is safe for concurrent use: Serve runs on the goroutine that accepts
// connections, each connection has one that reads it, and one goroutine, watch, closes silent connections.
//
// Locks are taken in the order front, connection.
type Server struct {
	Counts Counts

	cfg      Config
	classes  map[string]int
	tenants  map[string]int
	draining atomic.Bool
	done     chan struct{} // closed by Close

	mu     sync.Mutex
	conns  map[*conn]struct{}
	txns   map[uint64]struct{} // of requests in flight: one that is in flight is not accepted again
	closed bool
	empty  chan struct{} // nil before Finish; closed when no connection is left
}

// Methods that are not classes.
const (
	methodStatus   = "status"
	methodWithdraw = "withdraw"
)

// New returns a front that does not serve yet.
func New(cfg Config) *Server {
	f := &Server{
		cfg:     cfg,
		classes: map[string]int{},
		tenants: map[string]int{},
		conns:   map[*conn]struct{}{},
		txns:    map[uint64]struct{}{},
		done:    make(chan struct{}),
	}
	for i, class := range cfg.Settings.Classes {
		if class.Name != methodStatus && class.Name != methodWithdraw { // such a class cannot be called
			f.classes[class.Name] = i
		}
	}
	for i, tenant := range cfg.Settings.Tenants {
		f.tenants[tenant.Name] = i
	}
	return f
}

// Serve accepts connections until the listener is closed, and then returns nil.
func (f *Server) Serve(listener net.Listener) error {
	go f.watch()
	for {
		socket, err := listener.Accept()
		if err == nil {
			f.Counts.Accepted.Add(1)
			f.start(socket)
			continue
		}
		f.mu.Lock()
		closed := f.closed
		f.mu.Unlock()
		if closed || errors.Is(err, net.ErrClosed) {
			return nil
		}
		// File descriptors may be short for a moment: the listener stays open.
		f.cfg.Log.Warn().Err(err).Msg("accept failed, retrying")
		time.Sleep(f.cfg.Settings.Tick)
	}
}

// beginTxn adds the txn of a new request; false if a request with it is in flight.
func (f *Server) beginTxn(txn uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, inFlight := f.txns[txn]; inFlight {
		return false
	}
	f.txns[txn] = struct{}{}
	return true
}

func (f *Server) endTxn(txn uint64) {
	f.mu.Lock()
	delete(f.txns, txn)
	f.mu.Unlock()
}
