package scheduler

import (
	"time"

	"kitehub/scheduler/index"
)

// requestIndex finds the open requests that a step has to examine without examining all of them. It
// makes no decisions: an examination of every open request, in order of arrival, would have the same
// result.
//
// Code that changes what is decided about a request calls touch; the next advanceRequests then
// examines it. What depends on the time, the admitted fraction or a mean run time has a heap.
type requestIndex struct {
	work         index.Heap[uint64, *request]          // to be examined, in order of arrival
	advancing    *request                              // the one that is being examined
	everyStep    []*request                            // to be examined again in the next step
	due          index.Heap[time.Duration, *request]   // by the time of the next examination
	deadlines    index.Heap[time.Duration, *request]   // of requests that have not ended
	shedding     index.Heap[float64, *request]         // may be shed, the first to be shed first
	untimely     []index.Heap[time.Duration, *request] // by class: deadlines; see indexUntimely
	untimelySoon index.Heap[time.Duration, *queue]     // when the first request of a queue has no time left
	lastSequence uint64
	examined     uint64 // see Effort.Requests
	removed      int    // requests in Dispatcher.openRequests that are not open any more
}

// requestEntries are the entries of a request in the index.
type requestEntries struct {
	sequence      uint64 // order of arrival
	isRemoved     bool
	work          index.Entry[uint64, *request]
	due           index.Entry[time.Duration, *request]
	deadline      index.Entry[time.Duration, *request]
	shedding      index.Entry[float64, *request]
	untimely      index.Entry[time.Duration, *request]
	untimelyIndex *index.Heap[time.Duration, *request] // the heap that has the untimely entry; nil: none
}

// addRequest adds a request that has arrived.
func (d *Dispatcher) addRequest(r *request) {
	x := &d.index
	x.lastSequence++
	r.entries.sequence = x.lastSequence
	r.entries.work.Value = r
	r.entries.due.Value = r
	r.entries.deadline.Value = r
	r.entries.shedding.Value = r
	r.entries.untimely.Value = r
	d.requests[r.Request] = r
	d.openRequests = append(d.openRequests, r)
	x.deadlines.Set(&r.entries.deadline, r.answerDeadline)
	x.touch(r)
}

// removeRequest removes a request that needs nothing more.
func (d *Dispatcher) removeRequest(r *request) {
	delete(d.requests, r.Request)
	d.index.unindex(r)
	r.entries.isRemoved = true
	d.index.removed++
	if 2*d.index.removed >= len(d.openRequests) {
		d.compactRequests()
	}
}

// compactRequests drops the removed requests from openRequests. It is called once half of them are
// removed, so a removal costs the same however many are open.
func (d *Dispatcher) compactRequests() {
	kept := d.openRequests[:0]
	for _, r := range d.openRequests {
		if !r.entries.isRemoved {
			kept = append(kept, r)
		}
	}
	clear(d.openRequests[len(kept):])
	d.openRequests = kept
	d.index.removed = 0
}

// touch lets the next advanceRequests examine a request.
func (x *requestIndex) touch(r *request) {
	if r != x.advancing && !r.entries.isRemoved {
		x.work.Set(&r.entries.work, r.entries.sequence)
	}
}

// unindex removes a request from all heaps.
func (x *requestIndex) unindex(r *request) {
	x.due.Remove(&r.entries.due)
	x.deadlines.Remove(&r.entries.deadline)
	x.shedding.Remove(&r.entries.shedding)
	x.removeUntimely(r)
}

// reindex updates the entries of a request, which is not removed, by its present state.
func (d *Dispatcher) reindex(r *request) {
	x := &d.index
	waits := r.queued && !r.ended && !r.wasSent()
	if !waits {
		x.shedding.Remove(&r.entries.shedding)
		x.removeUntimely(r)
	}
	at := r.answerDeadline
	if r.ended {
		x.deadlines.Remove(&r.entries.deadline)
		at = d.attemptsLostAt(r)
	}
	if len(r.attempts) > 0 && !r.admissionObserved {
		at = min(at, d.overdueAt(r))
	}
	if waits {
		at = min(at, d.indexUntimely(r))
		if r.hasPlainAdmission() {
			x.shedding.Set(&r.entries.shedding, -r.admissionPosition())
		}
	}
	x.due.Set(&r.entries.due, at)
}

// indexUntimely indexes when a waiting request has no time left for a run. It returns a time at
// which to examine it, and otherwise adds it to a heap by deadline: that of its function if its run
// time is known, else that of its class. For a class, it is only added once a run of a quarter of its
// time would end too late, as otherwise no mean of the class makes it untimely.
func (d *Dispatcher) indexUntimely(r *request) time.Duration {
	q := r.queue
	if q.meanRunTime > 0 {
		d.index.addUntimely(r, &q.untimely)
		d.indexUntimelySoon(q)
		return r.answerDeadline
	}
	if at := r.answerDeadline - seconds(initialRunTime*r.TimeLeft.Seconds()); d.now < at {
		d.index.removeUntimely(r)
		return at
	}
	d.index.addUntimely(r, &d.index.untimely[r.Class])
	return r.answerDeadline
}

func (x *requestIndex) addUntimely(r *request, heap *index.Heap[time.Duration, *request]) {
	if r.entries.untimelyIndex != heap {
		x.removeUntimely(r)
		r.entries.untimelyIndex = heap
	}
	heap.Set(&r.entries.untimely, r.answerDeadline)
}

func (x *requestIndex) removeUntimely(r *request) {
	if r.entries.untimelyIndex != nil {
		r.entries.untimelyIndex.Remove(&r.entries.untimely)
		r.entries.untimelyIndex = nil
	}
}

// indexUntimelySoon updates the entry of a queue after a change of its mean run time or its heap.
func (d *Dispatcher) indexUntimelySoon(q *queue) {
	first := q.untimely.Min()
	if first == nil {
		d.index.untimelySoon.Remove(&q.untimelySoon)
		return
	}
	d.index.untimelySoon.Set(&q.untimelySoon, first.Key()-seconds(q.meanRunTime))
}

// runTimeLearned updates the index after a change of a queue's mean run time.
func (d *Dispatcher) runTimeLearned(q *queue, first bool) {
	if !first {
		d.indexUntimelySoon(q)
		return
	}
	for _, r := range q.pending {
		d.reindex(r)
	}
}

// collectDue touches the requests that have become due since the last step.
func (d *Dispatcher) collectDue() {
	x := &d.index
	for e := x.due.Min(); e != nil && e.Key() <= d.now; e = x.due.Min() {
		x.due.Remove(e)
		x.touch(e.Value)
	}
	for class := range x.untimely {
		d.collectUntimely(&x.untimely[class], d.now+seconds(d.classRunTime[class]))
	}
	for e := x.untimelySoon.Min(); e != nil && e.Key() <= d.now; e = x.untimelySoon.Min() {
		d.collectUntimely(&e.Value.untimely, d.now+seconds(e.Value.meanRunTime))
		d.indexUntimelySoon(e.Value)
	}
	for _, r := range x.everyStep {
		x.touch(r)
	}
	clear(x.everyStep)
	x.everyStep = x.everyStep[:0]
}

// collectUntimely touches the requests of a heap whose deadline is not after a time.
func (d *Dispatcher) collectUntimely(heap *index.Heap[time.Duration, *request], until time.Duration) {
	for e := heap.Min(); e != nil && e.Key() <= until; e = heap.Min() {
		d.index.removeUntimely(e.Value)
		d.index.touch(e.Value)
	}
}

// collectShed touches the requests that the admitted fraction no longer admits. Those that arrived
// before the request that is being examined have been examined in this step already, and are
// returned.
func (d *Dispatcher) collectShed(examined []*request) []*request {
	x := &d.index
	for e := x.shedding.Min(); e != nil && -e.Key() >= d.admission.fraction; e = x.shedding.Min() {
		r := e.Value
		x.shedding.Remove(e)
		if x.advancing != nil && r.entries.sequence <= x.advancing.entries.sequence {
			examined = append(examined, r)
		} else {
			x.touch(r)
		}
	}
	return examined
}
