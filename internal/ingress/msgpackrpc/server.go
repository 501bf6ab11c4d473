package msgpackrpc

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/internal/overload"
	"kitehub/scheduler"
)

// A Gateway accepts calls. Its implementation is gateway.Gateway.
type Gateway interface {
	Submit(*gateway.Call) (scheduler.RequestID, bool)
	Cancel(scheduler.RequestID)
}

// Config configures a Server.
type Config struct {
	Gateway        Gateway
	Clock          clock.Clock
	Settings       scheduler.Settings
	Log            zerolog.Logger
	Gate           *overload.Gate // for clients that send faster than others
	Lag            *overload.LagMonitor
	Budget         *overload.Budget // of the bytes of requests, and of answers that wait to be read
	MaxBody        int              // bytes; the platform sends bodies of up to 16 KiB
	MaxInFlight    int              // requests on one connection; the platform sends up to 32
	MaxConns       int              // connections at a time
	AcceptInterval time.Duration    // mean time between two new connections that exceed the normal rate
	MessageTimeout time.Duration    // for a complete message, from its first byte or from the connect
	StallTimeout   time.Duration    // after it, a client that does not read its answers is cut off
}

// Counts are counters for the log and for tests.
type Counts struct {
	Accepted  atomic.Int64 // connections accepted
	Gone      atomic.Int64 // of them, those whose client had closed before
	Evicted   atomic.Int64 // connections closed to make room for a new one
	Rejected  atomic.Int64 // connections rejected because no other could be evicted
	TimedOut  atomic.Int64 // connections closed because of MessageTimeout
	Requests  atomic.Int64 // requests submitted to the gateway
	Invalid   atomic.Int64 // requests answered as invalid
	OverLimit atomic.Int64 // requests rejected because of MaxInFlight
	NoRoom    atomic.Int64 // requests rejected because of Budget
	Malformed atomic.Int64 // connections closed because of a malformed message
	Refused   atomic.Int64 // connections closed because of too many invalid messages, or a msgid that was open
	Withdrawn atomic.Int64 // requests cancelled by the client
	SentAgain atomic.Int64 // requests that may have run before their client sent them once more
	Abandoned atomic.Int64 // requests that were open when their connection ended
}

// A Server serves clients until Close. It is safe for concurrent use. Serve accepts connections on
// its caller's goroutine; each connection has a goroutine that reads, and one more closes the
// connections of silent clients.
//
// Locks are acquired in the order Server, conn.
type Server struct {
	Counts Counts

	cfg      Config
	classes  map[string]int
	tenants  map[string]int
	draining atomic.Bool
	done     chan struct{} // closed by Close

	history  *history
	events   *eventLog
	lastConn atomic.Uint64 // number of the last connection

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
	empty  chan struct{} // nil before Finish; closed when no connection is left
}

// Control methods; every other method names a class.
const (
	methodStatus   = "status"
	methodWithdraw = "withdraw"
)

// New returns a server. Call Serve to accept connections.
func New(cfg Config) *Server {
	s := &Server{
		cfg:     cfg,
		classes: map[string]int{},
		tenants: map[string]int{},
		conns:   map[*conn]struct{}{},
		history: newHistory(),
		events:  newEventLog(cfg.Log, cfg.Clock),
		done:    make(chan struct{}),
	}
	for i, class := range cfg.Settings.Classes {
		// A class with the name of a control method cannot be called.
		if class.Name != methodStatus && class.Name != methodWithdraw {
			s.classes[class.Name] = i
		}
	}
	for i, tenant := range cfg.Settings.Tenants {
		s.tenants[tenant.Name] = i
	}
	return s
}
