package scheduler

import (
	"cmp"
	"slices"
)

// sweep answers what is due and forgets requests that are over.
func (d *Dispatcher) sweep() {
	kept := d.openRequests[:0]
	for _, r := range d.openRequests {
		if r.undecided && !r.ended {
			d.retry(r)
		}
		r.undecided = false
		if d.overdue(r) {
			d.observe(r, false)
		}
		if !r.ended && (d.now >= r.answerBy || r.queued && d.cannotMeetDeadline(r)) {
			d.finish(r)
		}
		out := false
		for i := range r.attempts {
			if t := &r.attempts[i]; !t.done {
				// An outcome that never comes must not hold memory or a token for ever.
				if r.ended && d.now > r.answerBy+r.TimeLeft+d.settings.Classes[r.Class].Deadline {
					d.release(r, t, TimedOut)
					continue
				}
				out = true
			}
		}
		if r.ended && !out {
			delete(d.requests, r.Request)
			continue
		}
		kept = append(kept, r)
	}
	clear(d.openRequests[len(kept):])
	d.openRequests = kept
}

// cannotMeetDeadline tells whether a queued request is given up, and answered at once: it does not
// pass, no worker may
// have it again, or no run fits its time (a mean too long for a new one is lowered; with none, its class's).
func (d *Dispatcher) cannotMeetDeadline(r *request) bool {
	run := cmp.Or(r.queue.meanRunTime, min(d.classRunTime[r.Class], guessRun*r.TimeLeft.Seconds()))
	over := d.now+seconds(run) >= r.answerBy
	if over && d.now == r.arrivedAt {
		r.queue.meanRunTime = mean(r.queue.meanRunTime, 0)
	}
	return !r.hasOutstanding() && (over || !d.admits(r) || len(r.attempts) > 0 && !d.mayRetry(r))
}

// admits tells whether a request may be sent at all. What was sent once is past admission.
func (d *Dispatcher) admits(request *request) bool {
	return len(request.attempts) > 0 ||
		!request.ShedAdvised && d.admission.admits(request.Request, request.Weight, request.ClientRetry)
}

// observe reports each request that was sent to the admission once: when it is answered, or overdue.
func (d *Dispatcher) observe(request *request, onTime bool) {
	if request.observed || len(request.attempts) == 0 {
		return
	}
	d.admission.observe(onTime)
	request.observed = true
}

// overdue tells whether a request is past its aim and the load that it may have waited for.
func (d *Dispatcher) overdue(r *request) bool {
	return d.now > r.arrivedAt+d.settings.Classes[r.Class].LatencyObjective+r.loadAllowance
}

// finish gives our own final answer and calls off what is out. The fewer pass, the later one may come back.
func (d *Dispatcher) finish(r *request) {
	if d.mayReject(r) {
		reject := Reject{Request: r.Request}
		if limits := d.settings.Limits; limits.RetryAfter && d.admission.shedding() {
			reject.RetryAfter = d.admission.retryAfter(limits.MaxRetryAfter, d.random)
		}
		d.do(reject)
	} else {
		d.do(Fail{Request: r.Request})
	}
	d.end(r)
}

func (d *Dispatcher) end(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	d.unqueue(r)
	for i := range r.attempts {
		d.cancel(r, i)
	}
}

func (d *Dispatcher) cancel(r *request, i int) {
	if t := &r.attempts[i]; d.settings.Limits.Cancel && !t.done && !t.abandoned {
		t.abandoned = true
		d.do(Cancel{Request: r.Request, Attempt: i})
	}
}

func (d *Dispatcher) send(r *request, w *worker) {
	q, work := r.queue, d.classRunTime[r.Class]
	d.unqueue(r)
	r.mayHedge = false
	q.virtualTime += d.runOf(q, r)
	d.touch(q)
	q.inFlight++
	q.lastActiveAt = d.now
	if w.outstanding == 0 {
		w.waitingSince = d.now
	}
	placed := d.placement(q, w)
	t := attempt{worker: w, group: w.Group, zone: w.Zone, sentAt: d.now, work: work,
		awaitsLoad: !d.hasCopy(placed, w)}
	placed.outstanding++
	if t.awaitsLoad {
		w.awaitingLoad++
		placed.leaders++
		placed.loadStartedAt = d.now
		r.loadAllowance = d.loadTime(r)
	} else {
		w.limit.acquire()
	}
	w.outstanding++
	d.watch(w)
	d.slowStart.sent(&w.warmup, work)
	w.lastFunction = q.function
	r.attempts = append(r.attempts, t)
	d.do(Send{Request: r.Request, Worker: w.ID, Timeout: max(r.answerBy-d.now, d.settings.Tick)})
}

// attemptEnded ends an attempt and learns from it. What follows is decided after the events of the
// step: the next
// may be the client leaving.
func (d *Dispatcher) attemptEnded(e AttemptEnded) {
	r := d.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].done {
		return
	}
	t := &r.attempts[e.Attempt]
	placed := d.placement(r.queue, t.worker)
	d.release(r, t, e.Outcome)
	switch e.Outcome {
	case OK:
		d.afterSuccess(r, t, placed, e)
	case AtCapacity:
		d.afterRejection(r, t, e)
	case TimedOut:
		t.worker.limit.onTimeout(tokenStep(d.settings.Controllers))
		d.workerAnswered(t.worker, TimedOut)
		d.observeCrowding(r.queue, int(2*r.Lanes), r.Lanes, d.isWarm(t.worker))
	default:
		d.workerAnswered(t.worker, e.Outcome)
		ownError := e.Outcome == Error && e.Note != LoadFailed
		d.outliers.onError(&t.worker.workerHealth, ownError, d.now)
	}
	if e.Complete || e.Outcome == OK {
		d.end(r)
		return
	}
	r.undecided = true
}

func (d *Dispatcher) afterSuccess(r *request, t *attempt, placed *placement, e AttemptEnded) {
	w := t.worker
	d.workerAnswered(w, OK)
	d.observe(r, !d.overdue(r))
	if e.Note == StartedLoad {
		w.loadBackoff.loaded()
	}
	d.outliers.onSuccess(&w.workerHealth)
	placed.lastSeenAt = d.now
	if !t.awaitsLoad {
		d.evictions.observe(e.Note == StartedLoad && e.SameFunction == 0)
	}
	took := e.Took.Seconds()
	slow := e.Took > d.settings.Classes[r.Class].LatencyObjective ||
		took > slowFrom(d.settings.Controllers, r.Lanes)*d.peerLatency.median()*d.classRunTime[r.Class]
	d.observeCrowding(r.queue, e.SameFunction, r.Lanes, slow && d.isWarm(w))
	waited := e.Note == StartedLoad || e.Note == AwaitedLoad
	if !waited && (e.Note == FoundWarm || !t.awaitsLoad) {
		r.queue.meanRunTime = mean(r.queue.meanRunTime, took)
		d.classRunTime[r.Class] = mean(d.classRunTime[r.Class], took)
		ratio := mean(w.limit.latencyRatio, took/d.classRunTime[r.Class])
		d.peerLatency.set(&w.limit, ratio, w.State != Gone)
		headroom := slowFrom(d.settings.Controllers, r.Lanes) * d.peerLatency.median() / w.limit.latencyRatio
		late := e.Took > d.settings.Classes[r.Class].LatencyObjective
		w.limit.onAnswer(headroom, late, tokenStep(d.settings.Controllers))
	}
}

func (d *Dispatcher) afterRejection(r *request, t *attempt, e AttemptEnded) {
	w := t.worker
	d.workerAnswered(w, OK)
	w.limit.onRejection()
	d.observeCrowding(r.queue, e.SameFunction, r.Lanes, d.isWarm(w))
	if len(r.attempts) >= d.settings.Limits.MaxAttempts {
		d.observe(r, false)
	}
	if t.awaitsLoad {
		d.loadRejected(w)
	}
}

// retry queues a request for another attempt, waits for one that is out, or answers.
func (d *Dispatcher) retry(r *request) {
	if d.mayRetry(r) && (!r.hasOutstanding() || r.mayHedge) {
		d.enqueue(r)
	} else if !r.hasOutstanding() {
		d.finish(r)
	}
}

// release ends an attempt's hold on its worker and records whether it may have run.
func (d *Dispatcher) release(r *request, t *attempt, o Outcome) {
	t.done = true
	t.mayRun = o != AtCapacity && o != ConnectFailed && o != NotStarted && o != NotLoaded
	t.worker.outstanding--
	d.watch(t.worker)
	placed := d.placement(r.queue, t.worker)
	placed.outstanding--
	if t.awaitsLoad {
		t.worker.awaitingLoad--
		placed.leaders--
	} else {
		t.worker.limit.release()
	}
	if placed.outstanding == 0 && t.worker.State == Gone { // else a hot function gathers those of all workers
		delete(r.queue.placements, t.worker)
	}
	t.worker.waitingSince = d.now
	d.touch(r.queue)
	r.queue.inFlight--
	r.queue.lastActiveAt = d.now
	d.slowStart.ended(&t.worker.warmup, t.work, o)
}

// mayReject: a refusal tells the client that another try does no harm.
func (d *Dispatcher) mayReject(r *request) bool {
	c := d.settings.Classes[r.Class]
	return c.Idempotency == Idempotent || r.mayHaveRun() == nil ||
		c.Idempotency == IdempotentWithKey && c.DedupScope == AllWorkers
}

// mayRetry tells whether the rules leave room for another attempt at all.
func (d *Dispatcher) mayRetry(r *request) bool {
	return slices.ContainsFunc(d.order, func(w *worker) bool { return d.maySend(r, w) })
}

// maySend keeps the rules on effects for one more attempt at a worker.
func (d *Dispatcher) maySend(r *request, w *worker) bool {
	if r.ended || w.State != Ready || len(r.attempts) >= d.settings.Limits.MaxAttempts ||
		d.now >= r.answerBy {
		return false
	}
	for i := range r.attempts {
		t := &r.attempts[i]
		if !t.done && (!d.settings.Limits.HedgedRequests || !t.abandoned && !r.mayHedge || t.worker == w) {
			return false
		}
	}
	first := r.mayHaveRun()
	c := d.settings.Classes[r.Class]
	switch {
	case first == nil || c.Idempotency == Idempotent:
		return true
	case c.Idempotency == NonIdempotent:
		return false
	}
	return d.now < first.sentAt+c.DedupWindow-d.settings.Tick && (c.DedupScope == AllWorkers ||
		c.DedupScope == SameZone && w.Zone == first.zone ||
		c.DedupScope == SameGroup && w.Group == first.group)
}

// reassign finds another worker for what waits on one that no longer answers.
func (d *Dispatcher) reassign(w *worker) {
	if w.outstanding == 0 {
		return
	}
	for _, r := range d.openRequests {
		for i := range r.attempts {
			t := &r.attempts[i]
			if r.ended || r.queued || t.worker != w || t.done ||
				d.settings.Classes[r.Class].Idempotency == NonIdempotent {
				continue
			}
			if r.mayHedge = d.settings.Limits.HedgedRequests; !r.mayHedge &&
				len(r.attempts) < d.settings.Limits.MaxAttempts {
				d.cancel(r, i)
			} else if r.mayHedge && d.mayRetry(r) {
				d.enqueue(r)
			}
		}
	}
}
