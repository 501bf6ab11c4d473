package scheduler

import (
	"cmp"
	"time"
)

func (d *Dispatcher) arrive(a Arrival) {
	if _, known := d.requests[a.Request]; known || a.Class < 0 || a.Class >= len(d.settings.Classes) {
		return
	}
	if !a.Resubmitted {
		d.loadBudget.recordArrival(d.now)
	}
	q := d.queue(a.Function)
	if q.lastArrivalAt > 0 {
		q.meanInterarrival = mean(q.meanInterarrival, max((d.now-q.lastArrivalAt).Seconds(),
			d.settings.Tick.Seconds()))
	}
	q.lastArrivalAt = max(d.now, 1)
	d.touch(q)
	d.activate(q)
	r := &request{Arrival: a, queue: q, arrivedAt: d.now, answerBy: d.now + a.TimeLeft -
		graceTicks*d.settings.Tick}
	d.requests[a.Request] = r
	d.openRequests = append(d.openRequests, r)
	d.enqueue(r)
}

func (d *Dispatcher) activate(q *queue) {
	if !q.active {
		d.touch(q)
		q.active = true
		q.virtualTime = max(q.virtualTime, d.globalVirtualTime)
	}
}

// ttl is how long an empty queue stays active.
func (d *Dispatcher) ttl(q *queue) time.Duration {
	return cmp.Or(seconds(alpha*q.meanInterarrival), d.settings.Loading.IdleCopyTTL)
}

// age expires queues that nobody calls and moves Global_VT to the lowest VT of an active queue.
func (d *Dispatcher) age() {
	d.reindex()
	for e := d.expiries.Min(); e != nil && e.Key() <= d.now; e = d.expiries.Min() {
		q := e.Value
		q.active = false
		if d.now < d.forgetAt(q) {
			d.touch(q)
			d.reindex()
		} else {
			d.forget(q)
		}
	}
	if lowest := d.virtualTimes.Min(); lowest != nil {
		d.globalVirtualTime = max(d.globalVirtualTime, lowest.Key())
	}
}

// forgetAt is when nothing that is known of an idle queue is of use any more.
func (d *Dispatcher) forgetAt(q *queue) time.Duration {
	kept := d.ttl(q) + d.settings.Loading.IdleCopyTTL + d.settings.Guarantees.WarmupTime
	return max(q.idleSince()+kept+1, q.desiredUntil)
}

func (d *Dispatcher) dispatch() {
	d.age()
	for _, late := range []bool{false, true} {
		var wait []*queue
		for _, q := range d.withPending() {
			q.eligible = 0
			for _, r := range q.pending {
				if d.fresh(r) != late {
					q.eligible++
				}
			}
			if q.eligible > 0 {
				wait = append(wait, q)
			}
		}
		for {
			var best *queue
			for _, q := range wait {
				if q.eligible > 0 && (best == nil || d.before(q, best)) {
					best = q
				}
			}
			if best == nil {
				break
			}
			if d.place(best, late) {
				best.eligible--
			} else {
				best.eligible = 0
			}
		}
	}
}

// before orders queues: those within T of Global_VT first, longest first, then fewest in flight. Beyond T
// the lowest VT goes first, so that free tokens are used.
func (d *Dispatcher) before(a, b *queue) bool {
	okA, okB, byVT := a.virtualTime < d.globalVirtualTime+overrun,
		b.virtualTime < d.globalVirtualTime+overrun, 0
	if !okA {
		byVT = cmp.Compare(a.virtualTime, b.virtualTime)
	}
	return okA && !okB || okA == okB && cmp.Or(byVT, cmp.Compare(b.eligible, a.eligible),
		cmp.Compare(a.inFlight, b.inFlight), cmp.Compare(a.function, b.function)) < 0
}

// fresh tells whether a waiting request can still be answered within its aim.
func (d *Dispatcher) fresh(r *request) bool {
	c := d.settings.Classes[r.Class]
	aim := min(c.LatencyObjective+time.Duration(c.ObjectiveStretch*float64(r.RunTimeHint)), c.Deadline)
	return d.now+seconds(d.runOf(r.queue, r)) < r.arrivedAt+aim
}

// place sends the first request of the queue that some worker can take. With late set it takes those whose
// aim is past: they wait behind all others, or a stall would make every later answer late as well.
func (d *Dispatcher) place(q *queue, late bool) bool {
	for _, r := range q.pending {
		if d.fresh(r) == late {
			continue
		}
		if w := d.pick(q, r); w != nil {
			d.send(r, w)
		} else if r.unplaceable {
			d.finish(r)
		} else {
			continue
		}
		return true
	}
	return false
}
