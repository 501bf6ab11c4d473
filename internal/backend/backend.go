package backend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"kitehub/internal/clock"
	"kitehub/internal/http1"
	"kitehub/scheduler"
)

// An Endpoint is a worker's name, address and readiness.
type Endpoint struct {
	ID      scheduler.WorkerID
	Name    string
	Network string // tcp or unix
	Addr    string
	Ready   bool // not draining
}

// A DialFunc opens a connection. Tests substitute their own.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Config configures a Backend.
type Config struct {
	Controller  string // the controller's name, sent to workers in the User-Agent header
	Clock       clock.Clock
	Dial        DialFunc // nil means net.Dialer.DialContext
	DialTimeout time.Duration

	// IdleTimeout is how long a connection may stay idle before it is closed. It must be shorter
	// than the idle timeout of the workers.
	IdleTimeout time.Duration

	MaxIdlePerWorker int           // idle connections kept open to each worker; 0 means 64
	Limits           http1.Limits  // limits on responses
	OrderTimeout     time.Duration // timeout of a load order

	// ProbeTimeout is the timeout of a health check and of a query for the number of loaded copies.
	ProbeTimeout time.Duration

	// ReportFields are the load report fields to extract, in the order of the extracted values.
	ReportFields []scheduler.LoadReportField
}

const defaultMaxIdle = 64 // connections per worker

// A Backend manages the connections to all workers. It is safe for concurrent use. Each exchange
// with a worker runs on its own goroutine.
type Backend struct {
	// Opened counts connections opened, Reused counts idle connections that were reused, and Stale
	// counts idle connections that had been closed by the worker or idle for too long.
	Opened, Reused, Stale atomic.Int64

	cfg    Config
	closed atomic.Bool

	mu      sync.RWMutex
	workers map[scheduler.WorkerID]*worker
}

// New returns a Backend without workers.
func New(cfg Config) *Backend {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	if cfg.MaxIdlePerWorker == 0 {
		cfg.MaxIdlePerWorker = defaultMaxIdle
	}
	cfg.Limits = cfg.Limits.WithDefaults()
	return &Backend{cfg: cfg, workers: map[scheduler.WorkerID]*worker{}}
}

// Update replaces the endpoint list. An attempt at a worker that is no longer Ready or no longer
// listed ends as NotStarted unless its first byte has already been sent. Attempts in flight
// continue.
func (b *Backend) Update(list []Endpoint) {
	for _, w := range b.replaceWorkers(list) {
		w.withdrawn.Store(true)
		w.close()
	}
}

// replaceWorkers replaces the worker map and returns the workers that were removed. A worker whose
// name or address has changed counts as removed, with a new worker in its place.
func (b *Backend) replaceWorkers(list []Endpoint) (removed []*worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	previous := b.workers
	b.workers = make(map[scheduler.WorkerID]*worker, len(list))
	for _, e := range list {
		w := previous[e.ID]
		if w == nil || w.Network != e.Network || w.Addr != e.Addr || w.Name != e.Name {
			w = &worker{Endpoint: e}
		}
		w.withdrawn.Store(!e.Ready)
		b.workers[e.ID] = w
	}
	for id, w := range previous {
		if b.workers[id] != w {
			removed = append(removed, w)
		}
	}
	return removed
}

// Close closes all idle connections. Connections in use are closed when their exchanges end.
func (b *Backend) Close() {
	b.closed.Store(true)
	b.Update(nil)
}

// CloseIdle closes the idle connections to a worker.
func (b *Backend) CloseIdle(id scheduler.WorkerID) {
	if w := b.worker(id); w != nil {
		w.closeIdle()
	}
}

// worker returns the worker with the given ID, or nil if it is not listed.
func (b *Backend) worker(id scheduler.WorkerID) *worker {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.workers[id]
}
