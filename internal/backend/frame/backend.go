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

// Config sets up a Backend.
type Config struct {
	Clock               clock.Clock
	Dial                backend.DialFunc // nil for net.Dialer's
	DialTimeout         time.Duration    // longest time for a connection to come up
	WorkerIdleTimeout   time.Duration    // workers close connections that are idle for so long
	MaxExchangesPerConn int              // exchanges in flight on one connection, at most
	MaxConns            int              // connections to all workers, at most
	MaxBody             int              // bytes of an answer's body, at most
	PingAfter           time.Duration    // silence after which a busy connection gets a ping, and as long again for its answer
	MaxResponseDelay    time.Duration    // no answer comes later than this after its exchange has ended
	OrderTimeout        time.Duration    // longest wait for the answer to a load order
	ReportFields        []scheduler.LoadReportField
	Log                 zerolog.Logger
}

// Counts are for the log and for tests.
type Counts struct {
	Opened     atomic.Int64 // connections opened
	DialFailed atomic.Int64 // connections that did not come up
	LostNew    atomic.Int64 // connections that ended under their first exchange
	LostUsed   atomic.Int64 // connections that ended under a later exchange
	Malformed  atomic.Int64 // connections closed because of bytes that are no frame
	Strays     atomic.Int64 // answers to no exchange in flight: late, repeated, or with an unknown id
	Pings      atomic.Int64 // pings sent
	Dead       atomic.Int64 // connections closed because a ping was not answered
	NoConn     atomic.Int64 // attempts that no connection was available for
}

// A Backend holds the connections to all workers. It is safe for concurrent use.
//
// Each connection has a goroutine that reads it and ends what is in flight on it; one goroutine, watch, examines all
// connections periodically.
type Backend struct {
	Counts Counts

	cfg     Config
	maxIdle time.Duration // a connection that was idle for longer is not used again
	nextID  atomic.Uint64 // of orders and pings
	conns   atomic.Int64  // connections open or being opened
	done    chan struct{} // closed by Close

	mu           sync.RWMutex
	workers      map[scheduler.WorkerID]*worker
	removed      []*worker // no longer listed, with connections still open
	maxPerWorker int       // connections to one worker
	closed       bool
}

// maxIdleDivisor: our idle time is at most the workers' own divided by this. What is sent must not meet their close.
const maxIdleDivisor = 2

// maxIdleTime returns how long a connection may have been idle to be used again. A call that meets a connection which
// the worker, or something on the way, has dropped meanwhile may have run, whereas opening another costs a dial at
// most: so beyond the time of a dial that is not risked.
func maxIdleTime(dialTimeout, workersIdle time.Duration) time.Duration {
	return min(dialTimeout, workersIdle/maxIdleDivisor)
}

// New returns a backend with no workers, which watches its connections until Close.
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

// checksPerPatience is how often connections are examined in the time after which silence counts.
const checksPerPatience = 4

// watch examines all connections until Close.
func (b *Backend) watch() {
	ticker := time.NewTicker(max(b.cfg.PingAfter/checksPerPatience, time.Millisecond))
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

// dropDisconnected drops the removed workers that have no connection left.
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

// allWorkers returns the listed workers and the removed ones.
func (b *Backend) allWorkers() []*worker {
	b.mu.RLock()
	defer b.mu.RUnlock()
	all := make([]*worker, 0, len(b.workers)+len(b.removed))
	for _, w := range b.workers {
		all = append(all, w)
	}
	return append(all, b.removed...)
}

// Update replaces the list of workers. From here on nothing new is sent to a worker that is not Ready, or no longer
// listed; what is in flight goes on. A worker with another name or address is another one, whatever connections lead
// to its address.
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

// Close closes all connections, which ends all that is in flight on them.
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
		if c.state(0).inFlight == 0 {
			c.out.Close()
		}
	}
}

// worker returns a listed worker, or nil, and how many connections to it there may be.
func (b *Backend) worker(id scheduler.WorkerID) (w *worker, maxConns int) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.workers[id], b.maxPerWorker
}
