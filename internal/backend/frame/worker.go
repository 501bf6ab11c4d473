package frame

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kitehub/scheduler"
)

// A worker is an entry of the endpoint list with its connections.
type worker struct {
	backend   *Backend
	name      string
	network   string
	addr      string
	withdrawn atomic.Bool // draining or removed: nothing new is sent to it
	traffic   traffic

	mu      sync.Mutex
	conns   []*conn
	dialing int  // connections being opened
	closed  bool // by Backend.Close: no connection may be added
}

// connections returns a copy of the list of open connections.
func (w *worker) connections() []*conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.conns)
}

// connected reports whether any connection is open or being opened.
func (w *worker) connected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)+w.dialing > 0
}

// remove removes a connection from the worker, unless that has already been done.
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

// traffic counts the calls between this controller and a worker, as observed on the connections.
type traffic struct {
	inFlight  atomic.Int64 // calls in flight
	served    atomic.Int64
	lost      atomic.Int64
	totalTime atomic.Int64 // nanoseconds, summed over the calls served
}

// callEnded records the end of a call that was sent.
func (tr *traffic) callEnded(o scheduler.Outcome, took time.Duration) {
	tr.inFlight.Add(-1)
	switch o {
	case scheduler.OK:
		tr.served.Add(1)
		tr.totalTime.Add(int64(took))
	case scheduler.Reset, scheduler.ConnectFailed, scheduler.TimedOut:
		tr.lost.Add(1)
	}
}

// Traffic describes the connections and calls between this controller and a worker, for comparison
// with the scheduler's estimates.
type Traffic struct {
	Worker    scheduler.WorkerID
	Name      string
	Conns     int           // open connections
	InFlight  int           // calls in flight
	Served    int64         // calls served
	Lost      int64         // calls that ended without a response: connection lost or timeout
	TotalTime time.Duration // from sending to response, summed over the calls served
}

// Traffic returns the traffic of each listed worker, ordered by worker ID.
func (b *Backend) Traffic() []Traffic {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var seen []Traffic
	for id, w := range b.workers {
		seen = append(seen, Traffic{
			Worker:    id,
			Name:      w.name,
			Conns:     len(w.connections()),
			InFlight:  int(w.traffic.inFlight.Load()),
			Served:    w.traffic.served.Load(),
			Lost:      w.traffic.lost.Load(),
			TotalTime: time.Duration(w.traffic.totalTime.Load()),
		})
	}
	slices.SortFunc(seen, func(a, b Traffic) int { return cmp.Compare(a.Worker, b.Worker) })
	return seen
}
