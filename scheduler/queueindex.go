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

// touch notes that something of a queue changes on which its places depend.
func (x *queueIndex) touch(q *queue) {
	if !q.isTouched && !q.isForgotten {
		q.isTouched = true
		x.touched = append(x.touched, q)
	}
}

// remove takes a queue out for good.
func (x *queueIndex) remove(q *queue) {
	q.isForgotten = true
	x.virtualTimes.Remove(&q.virtualTimeEntry)
	x.expiries.Remove(&q.expiryEntry)
	x.renewals.Remove(&q.renewalEntry)
	x.renewable.Remove(&q.renewableEntry)
}

// reindex puts the queues that were touched where they belong.
func (f *fairQueues) reindex() {
	for i, q := range f.touched {
		f.touched[i] = nil
		q.isTouched = false
		f.examined++
		f.place(q)
	}
	f.touched = f.touched[:0]
}

func (f *fairQueues) place(q *queue) {
	if len(q.pending) > 0 && !q.isWaiting {
		q.isWaiting = true
		f.waiting = append(f.waiting, q)
	}
	if q.active {
		f.virtualTimes.Set(&q.virtualTimeEntry, q.virtualTime)
	} else {
		f.virtualTimes.Remove(&q.virtualTimeEntry)
	}
	f.renewable.Remove(&q.renewableEntry)
	idle := len(q.pending) == 0 && q.inFlight == 0
	switch {
	case idle && q.active:
		f.expiries.Set(&q.expiryEntry, q.idleSince()+f.timeToLive(q))
		f.renewals.Set(&q.renewalEntry, f.renewAt(q))
	case idle:
		f.expiries.Set(&q.expiryEntry, f.forgetAt(q))
		f.renewals.Remove(&q.renewalEntry)
	default:
		f.expiries.Remove(&q.expiryEntry)
		f.renewals.Remove(&q.renewalEntry)
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
