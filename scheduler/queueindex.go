package scheduler

import (
	"slices"
	"time"

	"kitehub/scheduler/index"
	"kitehub/scheduler/ring"
)

// A queueIndex finds the queues that a step has to examine without examining all. It decides nothing: what
// it finds is what examining all would find, in the same order.
//
// Whatever changes something of a queue on which its places depend touches it. Reindex, which is called
// before the places are used, puts those that were touched where they belong.
type queueIndex struct {
	touched      []*queue                          // since the last reindex
	waiting      []*queue                          // all with pending requests, and some that had
	virtualTimes index.Heap[float64, *queue]       // of active queues
	expiries     index.Heap[time.Duration, *queue] // when idle queues become inactive, or are forgotten
	renewals     index.Heap[time.Duration, *queue] // when active, idle queues need a renewal
	renewable    index.Heap[FunctionID, *queue]    // of them, those that did when last examined
	examined     uint64                            // see Effort
}

// queueEntries are a queue's places in the index.
type queueEntries struct {
	walk             ring.Walk[*worker]
	isTouched        bool
	isWaiting        bool
	isForgotten      bool
	virtualTimeEntry index.Entry[float64, *queue]
	expiryEntry      index.Entry[time.Duration, *queue]
	renewalEntry     index.Entry[time.Duration, *queue]
	renewableEntry   index.Entry[FunctionID, *queue]
}

func (q *queue) setEntries() {
	q.virtualTimeEntry.Value = q
	q.expiryEntry.Value = q
	q.renewalEntry.Value = q
	q.renewableEntry.Value = q
}

// markDirty notes that something of a queue changes on which its places depend.
func (x *queueIndex) markDirty(queue *queue) {
	if !queue.isTouched && !queue.isForgotten {
		queue.isTouched = true
		x.touched = append(x.touched, queue)
	}
}

// remove takes a queue out for good.
func (x *queueIndex) remove(queue *queue) {
	queue.isForgotten = true
	x.virtualTimes.Remove(&queue.virtualTimeEntry)
	x.expiries.Remove(&queue.expiryEntry)
	x.renewals.Remove(&queue.renewalEntry)
	x.renewable.Remove(&queue.renewableEntry)
}

// reindex puts the queues that were touched where they belong.
func (f *fairQueues) reindex() {
	for i, queue := range f.touched {
		f.touched[i] = nil
		queue.isTouched = false
		f.examined++
		f.place(queue)
	}
	f.touched = f.touched[:0]
}

func (f *fairQueues) place(queue *queue) {
	if len(queue.pending) > 0 && !queue.isWaiting {
		queue.isWaiting = true
		f.waiting = append(f.waiting, queue)
	}
	if queue.active {
		f.virtualTimes.Set(&queue.virtualTimeEntry, queue.virtualTime)
	} else {
		f.virtualTimes.Remove(&queue.virtualTimeEntry)
	}
	f.renewable.Remove(&queue.renewableEntry)
	idle := len(queue.pending) == 0 && queue.inFlight == 0
	switch {
	case idle && queue.active:
		f.expiries.Set(&queue.expiryEntry, queue.idleSince()+f.timeToLive(queue))
		f.renewals.Set(&queue.renewalEntry, f.renewAt(queue))
	case idle:
		f.expiries.Set(&queue.expiryEntry, f.forgetAt(queue))
		f.renewals.Remove(&queue.renewalEntry)
	default:
		f.expiries.Remove(&queue.expiryEntry)
		f.renewals.Remove(&queue.renewalEntry)
	}
}

// withPending returns the queues that have pending requests.
func (x *queueIndex) withPending() []*queue {
	x.waiting = slices.DeleteFunc(x.waiting, func(q *queue) bool {
		q.isWaiting = len(q.pending) > 0
		return !q.isWaiting
	})
	x.examined += uint64(len(x.waiting))
	return x.waiting
}

// nextRenewal returns, of the queues that need a renewal now, the one of the lowest function, or nil.
func (f *fairQueues) nextRenewal(now time.Duration) *queue {
	f.reindex()
	for e := f.renewals.Min(); e != nil && e.Key() <= now; e = f.renewals.Min() {
		f.renewals.Remove(e)
		f.renewable.Set(&e.Value.renewableEntry, e.Value.function)
	}
	if e := f.renewable.Min(); e != nil {
		return e.Value
	}
	return nil
}
