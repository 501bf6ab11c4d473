package scheduler

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"kitehub/scheduler/ring"
)

// A worker is a listed worker, or one that has left the list with attempts outstanding.
type worker struct {
	WorkerInfo
	limit        concurrencyLimit
	loadBackoff  loadBackoff
	outstanding  int // attempts without an outcome
	awaitingLoad int // of them, those that may wait for a load
	workerHealth
	warmup
	rank           int                   // as advised: see WorkerRank
	lostAt         time.Duration         // when a connection to it was last lost or failed; 0: never
	advisedLoadAt  time.Duration         // last step in which loadDesiredCopies saw an order there
	lastFunction   FunctionID            // last one that it was sent; a probe asks for its copies
	listGeneration int                   // of the last list that named it
	member         ring.Member[*worker]  // its points on the ring
	placements     map[*queue]*placement // the same as in queue.placements
}

// updateList applies an update of the endpoint list.
func (d *Dispatcher) updateList(update ListUpdate) {
	if update.Kind == ListFailed {
		return
	}
	d.listGeneration++
	for _, info := range update.Workers {
		if info.State == Removed {
			d.removeWorker(d.workers[info.ID])
		} else {
			d.updateWorker(info, update.Kind)
		}
	}
	for _, worker := range d.listed {
		if update.Kind != ListDelta && worker.listGeneration != d.listGeneration && worker.State != Removed {
			d.removeWorker(worker)
		}
	}
	d.sortWorkers()
	d.ranksStale = true
	d.buildRing()
}

// updateWorker applies one entry of the endpoint list.
func (d *Dispatcher) updateWorker(info WorkerInfo, kind ListKind) {
	worker := d.workers[info.ID]
	if worker == nil {
		worker = d.addWorker(info.ID)
		if kind == CachedList {
			worker.limit.restrictToOne() // the cached list may be out of date
		}
	}
	if info.StartedAt > worker.StartedAt && info.StartedAt > worker.warmingSince {
		d.slowStart.begin(&worker.warmup, info.StartedAt)
		worker.limit.onRestart()
	}
	worker.WorkerInfo = info
	worker.listGeneration = d.listGeneration
}

// addWorker adds a worker that is listed for the first time.
func (d *Dispatcher) addWorker(id WorkerID) *worker {
	joined := &worker{limit: newConcurrencyLimit(), placements: map[*queue]*placement{}}
	joined.member = ring.Member[*worker]{ID: uint64(id), Value: joined}
	d.workers[id] = joined
	d.listed = append(d.listed, joined)
	d.outliers.track(&joined.workerHealth)
	return joined
}

// removeWorker drops a worker that has left the list, except for its outstanding attempts. It stays
// among the listed workers until sortWorkers drops it.
func (d *Dispatcher) removeWorker(worker *worker) {
	if worker == nil {
		return
	}
	worker.State = Removed
	d.reassign(worker)
	delete(d.workers, worker.ID)
	d.ring.Place(&worker.member, 0, 0)
	d.watchList.update(worker)
	d.outliers.untrack(&worker.workerHealth)
	d.peerLatency.remove(&worker.limit)
	for queue, placed := range worker.placements { // the map's order does not matter
		if placed.outstanding == 0 {
			delete(queue.placements, worker)
			delete(worker.placements, queue)
		}
	}
}

// sortWorkers sorts the workers by ID after a change of the list, and drops those that have left
// it.
func (d *Dispatcher) sortWorkers() {
	d.listed = slices.DeleteFunc(d.listed, func(w *worker) bool { return w.State == Removed })
	slices.SortFunc(d.listed, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
}

// setEjected begins or ends the ejection of a worker.
func (d *Dispatcher) setEjected(worker *worker, ejected bool) {
	if worker.ejected == ejected {
		return
	}
	if d.watchList.iterating {
		// Count the workers up to this one by the old state. Those after it are counted by the new
		// number of ejected workers.
		d.sumCapacity(worker)
	}
	d.outliers.setEjected(&worker.workerHealth, ejected)
	d.watchList.update(worker)
}

// A watchList holds the listed workers whose health has to be examined, by ID: those that are
// ejected, and those with an attempt outstanding.
type watchList struct {
	workers   []*worker
	current   []*worker // those that are examined in this step
	iterating bool      // all is yielding them
	examined  uint64    // see Effort
}

// update adds a worker to the list or removes it, as its state requires.
func (l *watchList) update(worker *worker) {
	watched := worker.State != Removed && (worker.ejected || worker.outstanding > 0)
	i, found := slices.BinarySearchFunc(l.workers, worker.ID, compareWorkerID)
	found = found && l.workers[i] == worker
	switch {
	case watched && !found:
		l.workers = slices.Insert(l.workers, i, worker)
	case !watched && found:
		l.workers = slices.Delete(l.workers, i, i+1)
	}
}

// compareWorkerID compares the ID of a worker with another ID.
func compareWorkerID(w *worker, id WorkerID) int { return cmp.Compare(w.ID, id) }

// all yields the workers that are on the list as the iteration begins. They may leave the list
// meanwhile.
func (l *watchList) all() iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		l.current = append(l.current[:0], l.workers...)
		l.iterating = true
		defer func() { l.iterating = false }()
		l.examined += uint64(len(l.current))
		for _, worker := range l.current {
			if !yield(worker) {
				return
			}
		}
		clear(l.current)
	}
}

// A capacitySum is the number of ready workers, where a warming worker counts by the fraction of
// its capacity. It is computed only in steps that consider a warming worker, and always in the
// order of the workers, as a sum of fractions depends on the order. Each worker counts as its
// health check found it in this step.
type capacitySum struct {
	total float64
	next  int    // index into the listed workers: those before it are in the total
	added uint64 // see Effort
}

// reset begins a new sum.
func (c *capacitySum) reset() {
	c.total = 0
	c.next = 0
}

// readyCapacity returns the sum over all workers.
func (d *Dispatcher) readyCapacity() float64 {
	d.sumCapacity(nil)
	return d.capacity.total
}

// sumCapacity continues the sum up to and including the last worker, or over all workers if last is
// nil.
func (d *Dispatcher) sumCapacity(last *worker) {
	for ; d.capacity.next < len(d.listed); d.capacity.next++ {
		worker := d.listed[d.capacity.next]
		if last != nil && worker.ID > last.ID {
			return
		}
		d.capacity.added++
		if d.ready(worker) {
			d.capacity.total += d.warmupFraction(worker)
		}
	}
}
