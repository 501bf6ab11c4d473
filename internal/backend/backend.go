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

// An Endpoint is where a worker listens.
type Endpoint struct {
	ID      scheduler.WorkerID
	Name    string
	Network string // tcp or unix
	Addr    string
	Ready   bool // neither draining nor gone
}

// A DialFunc opens a connection. Tests put a network of their own here.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Config sets up a Backend.
type Config struct {
	Controller       string // the controller's name, sent to workers as the user agent
	Clock            clock.Clock
	Dial             DialFunc // nil for net.Dialer's
	DialTimeout      time.Duration
	IdleTimeout      time.Duration // idle connections are closed after this; must be shorter than the workers' own
	MaxIdlePerWorker int           // idle connections kept open to one worker; 0 for 64
	Limits           http1.Limits  // of answers
	OrderTimeout     time.Duration // longest wait for the answer to a load order
	ProbeTimeout     time.Duration // longest wait for the answer to a health check, or to a query for loaded copies
	ReportFields     []scheduler.LoadReportField
}

const defaultMaxIdle = 64 // connections to one worker

// A Backend holds the connections to all workers. It is safe for concurrent use: each exchange with a worker runs on
// a goroutine of its own.
type Backend struct {
	// Opened counts connections opened, Reused the idle connections used again, and Stale the idle connections that
	// were found closed, or had been idle for too long.
	Opened, Reused, Stale atomic.Int64

	cfg    Config
	closed atomic.Bool

	mu      sync.RWMutex
	workers map[scheduler.WorkerID]*worker
}

// New returns a backend with no workers.
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

// Update replaces the list of workers. An attempt that has not sent its first byte to a worker that is no longer
// Ready, or no longer listed, is not sent: it ends as NotStarted. Attempts in flight go on.
func (b *Backend) Update(list []Endpoint) {
	for _, w := range b.replaceWorkers(list) {
		w.withdrawn.Store(true)
		w.close()
	}
}

// replaceWorkers returns the workers that are no longer listed. A worker with another name or address is another one.
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

// Close closes all idle connections; those in use are closed when their exchanges end.
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

// worker returns a listed worker, or nil.
func (b *Backend) worker(id scheduler.WorkerID) *worker {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.workers[id]
}
