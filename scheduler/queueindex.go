package scheduler

import (
	"time"

	"kitehub/scheduler/index"
	"kitehub/scheduler/ring"
)

// queueIndex finds the queues that a step has to examine without examining all queues. It makes no
// decisions: it finds the same queues, in the same order, as a scan of all queues would.
//
// Code that changes a queue in a way that affects its index entries calls markDirty. Before the
// entries are used, reindex updates those of all dirty queues.
type queueIndex struct {
	dirty        []*queue                          // queues that changed since the last reindex
	waiting      waitingList                       // queues with pending requests
	withCopies   waitingList                       // of them, those of functions that a worker may have a copy of
	virtualTimes index.Heap[float64, *queue]       // of active queues
	expiries     index.Heap[time.Duration, *queue] // when idle queues become inactive or are forgotten
	renewals     index.Heap[time.Duration, *queue] // when copies of active, idle queues are renewed
	renewable    index.Heap[FunctionID, *queue]    // queues whose renewal is due, moved from renewals
	calledOnce   index.Heap[time.Duration, *queue] // idle queues of functions called once, by that time
	examined     uint64                            // see Effort.Queues
}

// queueEntries are the entries of a queue in the index.
type queueEntries struct {
	walk             ring.Walk[*worker]
	isDirty          bool
	isForgotten      bool
	mayHaveCopies    bool // a copy has been seen at some worker
	virtualTimeEntry index.Entry[float64, *queue]
	expiryEntry      index.Entry[time.Duration, *queue]
	renewalEntry     index.Entry[time.Duration, *queue]
	renewableEntry   index.Entry[FunctionID, *queue]
	calledOnceEntry  index.Entry[time.Duration, *queue]
}

// initEntries sets the values of the entries, which stay the same.
func (q *queue) initEntries() {
	q.virtualTimeEntry.Value = q
	q.expiryEntry.Value = q
	q.renewalEntry.Value = q
	q.renewableEntry.Value = q
	q.calledOnceEntry.Value = q
	q.untimelySoon.Value = q
}

// markDirty records that the index entries of a queue have to be updated.
func (x *queueIndex) markDirty(queue *queue) {
	if !queue.isDirty && !queue.isForgotten {
		queue.isDirty = true
		x.dirty = append(x.dirty, queue)
	}
}

// remove removes a queue from the index for good.
func (x *queueIndex) remove(queue *queue) {
	queue.isForgotten = true
	x.virtualTimes.Remove(&queue.virtualTimeEntry)
	x.expiries.Remove(&queue.expiryEntry)
	x.renewals.Remove(&queue.renewalEntry)
	x.renewable.Remove(&queue.renewableEntry)
	x.calledOnce.Remove(&queue.calledOnceEntry)
}

// reindex updates the entries of all dirty queues.
func (f *fairQueues) reindex() {
	for i, queue := range f.dirty {
		f.dirty[i] = nil
		queue.isDirty = false
		f.examined++
		f.updateEntries(queue)
	}
	f.dirty = f.dirty[:0]
}

// updateEntries sets or removes the entries of one queue by its present state.
func (f *fairQueues) updateEntries(queue *queue) {
	f.waiting.update(queue, len(queue.pending) > 0)
	f.withCopies.update(queue, len(queue.pending) > 0 && queue.mayHaveCopies)
	if queue.active {
		f.virtualTimes.Set(&queue.virtualTimeEntry, queue.virtualTime)
	} else {
		f.virtualTimes.Remove(&queue.virtualTimeEntry)
	}
	f.renewable.Remove(&queue.renewableEntry)
	idle := len(queue.pending) == 0 && queue.inFlight == 0
	if idle && queue.meanInterarrival == 0 {
		f.calledOnce.Set(&queue.calledOnceEntry, queue.idleSince())
	} else {
		f.calledOnce.Remove(&queue.calledOnceEntry)
	}
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

// copySeen records that a worker has a copy of a function.
func (f *fairQueues) copySeen(queue *queue, placed *placement, now time.Duration) {
	placed.lastSeenAt = now
	if !queue.mayHaveCopies {
		queue.mayHaveCopies = true
		f.markDirty(queue)
	}
}

// nextRenewal returns, of the queues whose renewal is due, the one with the lowest function ID, or
// nil.
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
