package scheduler

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"kitehub/scheduler/index"
	"kitehub/scheduler/ring"
)

// Indexes are how a step finds the workers and queues that it has to look at, without looking at all. They
// decide nothing: what they find is what looking at all would find, in the same order.
type indexes struct {
	touched      []*queue                          // changed since the last reindex
	pending      []*queue                          // all queues with requests waiting, and some that had
	virtualTimes index.Heap[float64, *queue]       // of active queues
	expiries     index.Heap[time.Duration, *queue] // when idle queues become inactive, or are forgotten
	renewals     index.Heap[time.Duration, *queue] // when active, idle queues want renewal
	renewable    index.Heap[FunctionID, *queue]    // of them, those that did when last looked

	watchList  []*worker // listed, and ejected or with an attempt out, by id
	examined   []*worker // of them, those that health looks at in this step
	examining  bool      // it is under way
	ranksStale bool      // the list or the advice on workers has changed
	capacity   float64   // of the ready workers, in order, up to summed: see readyCapacity
	summed     int

	effort Effort
}

// queueEntries are a queue's places in the indexes.
type queueEntries struct {
	walk             ring.Walk[*worker]
	isTouched        bool
	isPending        bool
	isForgotten      bool
	virtualTimeEntry index.Entry[float64, *queue]
	expiryEntry      index.Entry[time.Duration, *queue]
	renewalEntry     index.Entry[time.Duration, *queue]
	dueEntry         index.Entry[FunctionID, *queue]
}

// Effort counts what steps have looked at: a measure of their cost that depends on no clock.
type Effort struct {
	Points  uint64 // of the ring
	Workers uint64
	Queues  uint64
	Summed  uint64 // workers whose shares were added up, in the steps in which a cold one is considered
}

// Effort returns the sums since the start.
func (d *Dispatcher) Effort() Effort {
	e := d.effort
	e.Points = d.ring.Visited
	return e
}

// Queues.

// queue returns the queue of a function, a new one where none is kept.
func (d *Dispatcher) queue(fn FunctionID) *queue {
	q := d.queues[fn]
	if q == nil {
		q = &queue{function: fn, hash: mix(uint64(fn)), spread: spread{workers: 1}, placements: map[*worker]*placement{}}
		q.walk = ring.Walk[*worker]{Ring: &d.ring, From: q.hash}
		q.virtualTimeEntry.Value, q.expiryEntry.Value, q.renewalEntry.Value, q.dueEntry.Value = q, q, q, q
		d.queues[fn] = q
		d.touch(q)
	}
	return q
}

// forget drops a queue that is idle.
func (d *Dispatcher) forget(q *queue) {
	q.isForgotten = true
	d.virtualTimes.Remove(&q.virtualTimeEntry)
	d.expiries.Remove(&q.expiryEntry)
	d.renewals.Remove(&q.renewalEntry)
	d.renewable.Remove(&q.dueEntry)
	for w := range q.placements {
		delete(w.placements, q)
	}
	delete(d.queues, q.function)
}

// touch notes that something of a queue changes on which its places in the indexes depend.
func (d *Dispatcher) touch(q *queue) {
	if !q.isTouched && !q.isForgotten {
		q.isTouched = true
		d.touched = append(d.touched, q)
	}
}

// idleSince is when a queue was last called or served.
func (q *queue) idleSince() time.Duration { return max(q.lastArrivalAt, q.lastActiveAt) }

// reindex puts the queues that were touched where they belong.
func (d *Dispatcher) reindex() {
	for i, q := range d.touched {
		d.touched[i] = nil
		q.isTouched = false
		d.effort.Queues++
		if len(q.pending) > 0 && !q.isPending {
			q.isPending = true
			d.pending = append(d.pending, q)
		}
		if q.active {
			d.virtualTimes.Set(&q.virtualTimeEntry, q.virtualTime)
		} else {
			d.virtualTimes.Remove(&q.virtualTimeEntry)
		}
		d.renewable.Remove(&q.dueEntry)
		idle := len(q.pending) == 0 && q.inFlight == 0
		switch {
		case idle && q.active:
			d.expiries.Set(&q.expiryEntry, q.idleSince()+d.ttl(q))
			d.renewals.Set(&q.renewalEntry, d.renewAt(q))
		case idle:
			d.expiries.Set(&q.expiryEntry, d.forgetAt(q))
			d.renewals.Remove(&q.renewalEntry)
		default:
			d.expiries.Remove(&q.expiryEntry)
			d.renewals.Remove(&q.renewalEntry)
		}
	}
	d.touched = d.touched[:0]
}

// withPending returns the queues that have requests waiting.
func (d *Dispatcher) withPending() []*queue {
	d.pending = slices.DeleteFunc(d.pending, func(q *queue) bool {
		q.isPending = len(q.pending) > 0
		return !q.isPending
	})
	d.effort.Queues += uint64(len(d.pending))
	return d.pending
}

// dueRenewal returns, of the queues that want renewal now, the one of the lowest function.
func (d *Dispatcher) dueRenewal() *index.Entry[FunctionID, *queue] {
	d.reindex()
	for e := d.renewals.Min(); e != nil && e.Key() <= d.now; e = d.renewals.Min() {
		d.renewals.Remove(e)
		d.renewable.Set(&e.Value.dueEntry, e.Value.function)
	}
	return d.renewable.Min()
}

// worker returns the i-th worker of the queue's walk, of as many as are listed.
func (q *queue) worker(i int) *worker { return q.walk.At(i).Value }

// placement returns what is known of a function at a worker, which is nothing at first.
func (d *Dispatcher) placement(q *queue, w *worker) *placement {
	placed := q.placements[w]
	if placed == nil {
		placed = &placement{}
		q.placements[w], w.placements[q] = placed, placed
	}
	return placed
}

// candidates yields the listed workers from a place of the queue's walk on, once around; once narrow is
// set, only those of them of which something is known of the function.
func (d *Dispatcher) candidates(q *queue, from int, narrow *bool) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		var last *worker
		for i := 0; i < len(d.order) && !*narrow; i++ {
			last = q.worker((from + i) % len(d.order))
			d.effort.Workers++
			if !yield(last) {
				return
			}
		}
		if last == nil {
			return
		}
		for _, w := range d.knownAfter(q, from, last) {
			d.effort.Workers++
			if !yield(w) {
				return
			}
		}
	}
}

// knownAfter returns the listed workers of which something is known of the function and that come after one
// in the walk that begins at a place and goes once around.
func (d *Dispatcher) knownAfter(q *queue, from int, last *worker) (known []*worker) {
	start := q.worker(from).member.Position(q.hash)
	compare := func(a, b *worker) int {
		x, y := a.member.Position(q.hash), b.member.Position(q.hash)
		if aroundA, aroundB := x.Compare(start) < 0, y.Compare(start) < 0; aroundA != aroundB {
			if aroundA {
				return 1
			}
			return -1
		}
		return x.Compare(y)
	}
	for w := range q.placements { // sorted below: the map's order does not show
		if w.State != Gone && compare(last, w) < 0 {
			known = append(known, w)
		}
	}
	slices.SortFunc(known, compare)
	return known
}

// Workers.

// join adds a worker that is listed for the first time.
func (d *Dispatcher) join(id WorkerID) *worker {
	w := &worker{limit: newConcurrencyLimit(), placements: map[*queue]*placement{}}
	w.member = ring.Member[*worker]{ID: uint64(id), Value: w}
	d.workers[id] = w
	d.order = append(d.order, w)
	d.outliers.track(&w.workerHealth)
	return w
}

// leave takes a worker that is gone out of all indexes, but for what is still out there; listed drops it
// from the order.
func (d *Dispatcher) leave(w *worker) {
	delete(d.workers, w.ID)
	d.ring.Place(&w.member, 0, 0)
	d.watch(w)
	d.outliers.untrack(&w.workerHealth)
	d.peerLatency.forget(&w.limit)
	for q, placed := range w.placements { // each by itself: their order does not matter
		if placed.outstanding == 0 {
			delete(q.placements, w)
			delete(w.placements, q)
		}
	}
}

// listed puts the workers in order after a list, without those that are gone.
func (d *Dispatcher) listed() {
	d.order = slices.DeleteFunc(d.order, func(w *worker) bool { return w.State == Gone })
	slices.SortFunc(d.order, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
}

// watched yields the listed workers that may have to be asked how they are, by id: those ejected, and those
// with an attempt out.
func (d *Dispatcher) watched() iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		d.capacity, d.summed = 0, 0
		d.examined = append(d.examined[:0], d.watchList...) // what is yielded may leave the list
		d.examining = true
		defer func() { d.examining = false }()
		d.effort.Workers += uint64(len(d.examined))
		for _, w := range d.examined {
			if !yield(w) {
				return
			}
		}
		clear(d.examined)
	}
}

// watch puts a worker on the watch list, or takes it off. Of those that are gone none is on it.
func (d *Dispatcher) watch(w *worker) {
	wanted := w.State != Gone && (w.ejected || w.outstanding > 0)
	i, found := slices.BinarySearchFunc(d.watchList, w.ID, func(o *worker, id WorkerID) int { return cmp.Compare(o.ID, id) })
	found = found && d.watchList[i] == w
	switch {
	case wanted && !found:
		d.watchList = slices.Insert(d.watchList, i, w)
	case !wanted && found:
		d.watchList = slices.Delete(d.watchList, i, i+1)
	}
}

// readyCapacity returns how many workers are ready, the cold ones by their share, each as it was when health
// came to it in this step.
func (d *Dispatcher) readyCapacity() float64 {
	d.sumCapacity(nil)
	return d.capacity
}

// sumCapacity goes on adding up the shares of workers that are ready, up to and with the last one, or all.
// They are added in order, as the sum of fractions depends on it.
func (d *Dispatcher) sumCapacity(last *worker) {
	for ; d.summed < len(d.order); d.summed++ {
		w := d.order[d.summed]
		if last != nil && w.ID > last.ID {
			return
		}
		d.effort.Summed++
		if d.ready(w) {
			d.capacity += d.warmupFraction(w)
		}
	}
}

// setEjected begins or ends the ejection of a worker.
func (d *Dispatcher) setEjected(w *worker, ejected bool) {
	if w.ejected == ejected {
		return
	}
	if d.examining { // it counts as it was so far; those after it count with one more ejected, or one less
		d.sumCapacity(w)
	}
	d.outliers.setEjected(&w.workerHealth, ejected)
	d.watch(w)
}
