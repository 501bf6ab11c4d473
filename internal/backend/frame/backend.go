package frame

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/backend"
	"kitehub/internal/clock"
	"kitehub/scheduler"
)

// Config configures a Backend.
type Config struct {
	Clock               clock.Clock
	Dial                backend.DialFunc // nil means net.Dialer.DialContext
	DialTimeout         time.Duration    // longest time to open a connection
	WorkerIdleTimeout   time.Duration    // workers close connections that are idle for this long
	MaxExchangesPerConn int              // exchanges in flight on one connection
	MaxConns            int              // connections to all workers
	MaxBody             int              // bytes of a response body

	// PingAfter is how long a connection with exchanges in flight may be silent before a ping is
	// sent on it, and then how long the worker has to respond to the ping.
	PingAfter time.Duration

	// MaxResponseDelay is the longest time after the end of an exchange in which a late response to
	// it may arrive.
	MaxResponseDelay time.Duration

	OrderTimeout time.Duration               // timeout of a load order
	ReportFields []scheduler.LoadReportField // load report fields to extract
	Log          zerolog.Logger
}

// Counts holds counters for the log and for tests.
type Counts struct {
	Opened     atomic.Int64 // connections established
	DialFailed atomic.Int64 // connections that could not be established
	LostNew    atomic.Int64 // connections lost during their first exchange
	LostUsed   atomic.Int64 // connections lost during a later exchange
	Malformed  atomic.Int64 // connections closed because of malformed frames
	Strays     atomic.Int64 // responses to no exchange in flight: late, repeated, unknown ID
	Pings      atomic.Int64 // pings sent
	Dead       atomic.Int64 // connections closed because a ping was not answered
	NoConn     atomic.Int64 // attempts for which no connection was available
}

// A Backend manages the connections to all workers. It is safe for concurrent use.
//
// Each connection has a goroutine that reads responses and ends the exchanges in flight. The
// goroutine of watch checks all connections periodically.
type Backend struct {
	Counts Counts

	cfg     Config
	maxIdle time.Duration // a connection idle for longer is not reused
	nextID  atomic.Uint64 // last ID used for a load order or ping
	conns   atomic.Int64  // connections open or being opened
	// lastConn is the number of the connection opened last.
	lastConn atomic.Uint64
	done     chan struct{} // closed by Close

	mu           sync.RWMutex
	workers      map[scheduler.WorkerID]*worker
	removed      []*worker // no longer listed, but with open connections
	maxPerWorker int       // maximum connections per worker
	closed       bool
}

// maxIdleDivisor is the ratio of the workers' idle timeout to the longest idle time of a connection
// that is reused. The margin avoids sending on a connection that the worker is closing.
const maxIdleDivisor = 2

// maxIdleTime returns the longest idle time after which a connection may be reused. If the worker
// or an intermediary has dropped the connection meanwhile, a call sent on it counts as one that may
// have run, whereas a new connection costs at most the time of a dial. Connections that were idle
// for longer than a dial may take are therefore not reused.
func maxIdleTime(dialTimeout, workerIdleTimeout time.Duration) time.Duration {
	return min(dialTimeout, workerIdleTimeout/maxIdleDivisor)
}

// New returns a Backend without workers. It checks its connections until Close.
func New(cfg Config) *Backend {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	cfg.MaxExchangesPerConn = max(1, cfg.MaxExchangesPerConn)
	b := &Backend{
		cfg:          cfg,
		maxIdle:      maxIdleTime(cfg.DialTimeout, cfg.WorkerIdleTimeout),
		workers:      map[scheduler.WorkerID]*worker{},
		maxPerWorker: max(1, cfg.MaxConns),
		done:         make(chan struct{}),
	}
	b.nextID.Store(uint64(cfg.Clock.Now()))
	go b.watch()
	return b
}

// checksPerPingAfter is how many times connections are checked during Config.PingAfter.
const checksPerPingAfter = 4

// watch checks all connections periodically until Close.
func (b *Backend) watch() {
	ticker := time.NewTicker(max(b.cfg.PingAfter/checksPerPingAfter, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-ticker.C:
		}
		b.check()
	}
}

func (b *Backend) check() {
	now := b.cfg.Clock.Now()
	b.dropDisconnected()
	for _, w := range b.allWorkers() {
		for _, c := range w.connections() {
			c.check(now)
		}
	}
}

// dropDisconnected forgets the removed workers that have no connections left.
func (b *Backend) dropDisconnected() {
	b.mu.Lock()
	defer b.mu.Unlock()
	connected := b.removed[:0]
	for _, w := range b.removed {
		if w.connected() {
			connected = append(connected, w)
		}
	}
	clear(b.removed[len(connected):])
	b.removed = connected
}

// allWorkers returns the listed workers and the removed ones that still have connections.
func (b *Backend) allWorkers() []*worker {
	b.mu.RLock()
	defer b.mu.RUnlock()
	all := make([]*worker, 0, len(b.workers)+len(b.removed))
	for _, w := range b.workers {
		all = append(all, w)
	}
	return append(all, b.removed...)
}

// Update replaces the endpoint list. From then on, nothing new is sent to a worker that is not
// Ready or no longer listed. Exchanges in flight continue. If the name or address of a worker has
// changed, a new worker replaces it, even if connections to the same address exist.
func (b *Backend) Update(list []backend.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	previous := b.workers
	b.workers = make(map[scheduler.WorkerID]*worker, len(list))
	for _, e := range list {
		w := previous[e.ID]
		if w == nil || w.network != e.Network || w.addr != e.Addr || w.name != e.Name {
			w = &worker{backend: b, name: e.Name, network: e.Network, addr: e.Addr}
		}
		w.withdrawn.Store(!e.Ready)
		b.workers[e.ID] = w
	}
	for id, w := range previous {
		if b.workers[id] != w {
			w.withdrawn.Store(true)
			b.removed = append(b.removed, w)
		}
	}
	b.maxPerWorker = connsPerWorker(b.cfg.MaxConns, len(list))
}

// Close closes all connections, which ends all exchanges in flight.
func (b *Backend) Close() {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	b.closed = true
	close(b.done)
	b.mu.Unlock()
	for _, w := range b.allWorkers() {
		w.close()
	}
}

// CloseIdle closes the idle connections to a worker.
func (b *Backend) CloseIdle(id scheduler.WorkerID) {
	w, _ := b.worker(id)
	if w == nil {
		return
	}
	for _, c := range w.connections() {
		c.evict()
	}
}

// worker returns the worker with the given ID, or nil if it is not listed, and the maximum number
// of connections to it.
func (b *Backend) worker(id scheduler.WorkerID) (w *worker, maxConns int) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.workers[id], b.maxPerWorker
}
