package frame

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kitehub/scheduler"
)

// A worker is one endpoint of the list, with its connections.
type worker struct {
	backend   *Backend
	name      string
	network   string
	addr      string
	withdrawn atomic.Bool // it is draining or gone: nothing new is sent to it
	traffic   traffic

	mu      sync.Mutex
	conns   []*conn
	dialing int  // connections being opened
	closed  bool // by Backend.Close: no connection is added any more
}

// connections returns the present connections.
func (w *worker) connections() []*conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.conns)
}

// connected reports whether there are connections, or some are being opened.
func (w *worker) connected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)+w.dialing > 0
}

// remove removes a connection, once.
func (w *worker) remove(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i := slices.Index(w.conns, c); i >= 0 {
		w.conns = slices.Delete(w.conns, i, i+1)
		w.backend.conns.Add(-1)
	}
}

func (w *worker) close() {
	w.withdrawn.Store(true)
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for _, c := range w.connections() {
		c.out.Close()
	}
}

// traffic is what passed between this controller and a worker, as its sockets saw it.
type traffic struct {
	open     atomic.Int64 // calls in flight
	answered atomic.Int64
	lost     atomic.Int64
	took     atomic.Int64 // nanoseconds, over the calls answered
}

// callEnded counts the end of a call that was sent.
func (tr *traffic) callEnded(o scheduler.Outcome, took time.Duration) {
	tr.open.Add(-1)
	switch o {
	case scheduler.OK:
		tr.answered.Add(1)
		tr.took.Add(int64(took))
	case scheduler.Reset, scheduler.ConnectFailed, scheduler.TimedOut:
		tr.lost.Add(1)
	}
}

// Traffic is what passed between this controller and a worker: the facts to compare the scheduler's estimates with.
type Traffic struct {
	Worker    scheduler.WorkerID
	Name      string
	Conns     int           // connections open
	InFlight  int           // calls in flight
	Served    int64         // calls served
	Lost      int64         // calls whose connection ended, or that timed out, without an answer
	TotalTime time.Duration // sum over the calls served, from the first byte sent to the answer
}

// Traffic returns what passed, of the workers now listed, by number.
func (b *Backend) Traffic() []Traffic {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var seen []Traffic
	for id, w := range b.workers {
		seen = append(seen, Traffic{
			Worker:    id,
			Name:      w.name,
			Conns:     len(w.connections()),
			InFlight:  int(w.traffic.open.Load()),
			Served:    w.traffic.answered.Load(),
			Lost:      w.traffic.lost.Load(),
			TotalTime: time.Duration(w.traffic.took.Load()),
		})
	}
	slices.SortFunc(seen, func(a, b Traffic) int { return cmp.Compare(a.Worker, b.Worker) })
	return seen
}
