package scheduler

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"kitehub/scheduler/ring"
)

// A worker is one that the list has, or one that is gone with attempts outstanding.
type worker struct {
	WorkerInfo
	limit        concurrencyLimit
	loadBackoff  loadBackoff
	outstanding  int // attempts without an outcome
	awaitingLoad int // of them, those that may wait for a load
	workerHealth
	warmup
	rank           int                   // as advised: see WorkerRank
	advisedLoadAt  time.Duration         // the step in which it was last seen to have an order on advice
	lastFunction   FunctionID            // that it was sent: a probe can ask for its copies
	listGeneration int                   // of the last list that named it
	member         ring.Member[*worker]  // its place on the ring
	placements     map[*queue]*placement // the same as the queues'
}

// updateList follows the list of workers.
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

// updateWorker follows one line of the list.
func (d *Dispatcher) updateWorker(info WorkerInfo, kind ListKind) {
	worker := d.workers[info.ID]
	if worker == nil {
		worker = d.addWorker(info.ID)
		if kind == CachedList {
			worker.limit.restrictToOne() // the list may be out of date
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

// removeWorker takes a worker out that is gone, but for what is outstanding there. SortWorkers
// drops it from the order.
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
	for queue, placed := range worker.placements { // each by itself: their order does not matter
		if placed.outstanding == 0 {
			delete(queue.placements, worker)
			delete(worker.placements, queue)
		}
	}
}

// sortWorkers puts the workers in order after a list, without those that are gone.
func (d *Dispatcher) sortWorkers() {
	d.listed = slices.DeleteFunc(d.listed, func(w *worker) bool { return w.State == Removed })
	slices.SortFunc(d.listed, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
}

// setEjected begins or ends the ejection of a worker.
func (d *Dispatcher) setEjected(worker *worker, ejected bool) {
	if worker.ejected == ejected {
		return
	}
	if d.watchList.active {
		// It counts as it was so far; those after it count with one more that is ejected, or one
		// less.
		d.sumCapacity(worker)
	}
	d.outliers.setEjected(&worker.workerHealth, ejected)
	d.watchList.update(worker)
}

// A watchList has the listed workers whose health has to be examined, by id: those that are
// ejected, and those with an attempt outstanding.
type watchList struct {
	workers  []*worker
	round    []*worker // those that are examined in this step
	active   bool      // a round is under way
	examined uint64    // see Effort
}

// update puts a worker on the list, or takes it off.
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

// compareWorkerID compares a worker with an ID.
func compareWorkerID(w *worker, id WorkerID) int { return cmp.Compare(w.ID, id) }

// all yields the workers that are on the list as it begins: what is yielded may leave it.
func (l *watchList) all() iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		l.round = append(l.round[:0], l.workers...)
		l.active = true
		defer func() { l.active = false }()
		l.examined += uint64(len(l.round))
		for _, worker := range l.round {
			if !yield(worker) {
				return
			}
		}
		clear(l.round)
	}
}

// A capacitySum is the number of workers that are ready, warming ones by their fraction. It is
// added up in a step only when a warming worker is considered, in the order of the workers, as a
// sum of fractions depends on it. Each counts as it was when its health was examined in this step.
type capacitySum struct {
	total float64
	next  int    // in the order of workers: those before are in the total
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

// sumCapacity goes on adding up, to the last one given and including it, or to the end.
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
