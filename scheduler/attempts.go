package scheduler

import (
	"cmp"
	"time"
)

const (
	// guessRun is the run time that is expected before the first answer, in latency objectives of the
	// class. The same part of a request's time is the most that is expected of a function that was never
	// served.
	guessRun = 0.25
	// answerTicks is how many ticks before its client leaves a request gets our own answer.
	answerTicks = 2
)

// arrive queues a request that has come in.
func (d *Dispatcher) arrive(arrival Arrival) {
	_, known := d.requests[arrival.Request]
	if known || arrival.Class < 0 || arrival.Class >= len(d.settings.Classes) {
		return
	}
	if !arrival.Resubmitted {
		d.loadBudget.recordArrival(d.now)
	}
	q := d.queues.get(arrival.Function)
	d.queues.arrive(q, d.now)
	r := &request{
		Arrival:   arrival,
		queue:     q,
		arrivedAt: d.now,
		answerBy:  d.now + arrival.TimeLeft - answerTicks*d.settings.Tick,
	}
	d.requests[arrival.Request] = r
	d.openRequests = append(d.openRequests, r)
	d.queues.enqueue(r)
}

// class returns the class of a request.
func (d *Dispatcher) class(r *request) *Class { return &d.settings.Classes[r.Class] }

// runTime is how long a request is likely to run, in seconds.
func (d *Dispatcher) runTime(r *request) float64 {
	return cmp.Or(r.queue.meanRunTime, max(0, r.RunTimeHint.Seconds()), d.classRunTime[r.Class])
}

// meetsObjective tells whether a waiting request can still be answered within its latency objective.
func (d *Dispatcher) meetsObjective(r *request) bool {
	class := d.class(r)
	stretch := time.Duration(class.ObjectiveStretch * float64(r.RunTimeHint))
	objective := min(class.LatencyObjective+stretch, class.Deadline)
	return d.now+seconds(d.runTime(r)) < r.arrivedAt+objective
}

// overdue tells whether a request is past its objective and the load that it may have waited for.
func (d *Dispatcher) overdue(r *request) bool {
	return d.now > r.arrivedAt+d.class(r).LatencyObjective+r.loadAllowance
}

// advanceRequests decides what follows the events of the step: retries, answers of our own, and the end of
// requests that need nothing more. It waits for all events, as the one after an outcome may be that the
// client has left.
func (d *Dispatcher) advanceRequests() {
	kept := d.openRequests[:0]
	for _, r := range d.openRequests {
		if r.undecided && !r.ended {
			d.retry(r)
		}
		r.undecided = false
		if d.overdue(r) {
			d.observe(r, false)
		}
		if !r.ended && (d.now >= r.answerBy || r.queued && d.mustAnswerNow(r)) {
			d.answer(r)
		}
		if outstanding := d.releaseLost(r); r.ended && !outstanding {
			delete(d.requests, r.Request)
			continue
		}
		kept = append(kept, r)
	}
	clear(d.openRequests[len(kept):])
	d.openRequests = kept
}

// releaseLost releases the attempts whose outcome is long overdue, as it must not hold memory or a token
// for ever, and tells whether others are outstanding.
func (d *Dispatcher) releaseLost(r *request) (outstanding bool) {
	for i := range r.attempts {
		switch {
		case r.attempts[i].done:
		case r.ended && d.now > r.answerBy+r.TimeLeft+d.class(r).Deadline:
			d.release(r, &r.attempts[i], TimedOut)
		default:
			outstanding = true
		}
	}
	return outstanding
}

// mustAnswerNow tells whether a queued request is to be answered at once: nothing is outstanding, and it is
// not admitted, or no worker may have it again, or no run fits its time.
func (d *Dispatcher) mustAnswerNow(r *request) bool {
	noTime := d.cannotMeetDeadline(r)
	if noTime && d.now == r.arrivedAt {
		// The mean run time rejects even a new request. Lower it, or a wrong one would never be corrected.
		r.queue.meanRunTime = mean(r.queue.meanRunTime, 0)
	}
	return !r.hasOutstanding() && (noTime || !d.admits(r) || len(r.attempts) > 0 && !d.mayRetry(r))
}

// cannotMeetDeadline tells whether a run that begins now ends after the request's time. For a function that
// was never served its class's mean counts.
func (d *Dispatcher) cannotMeetDeadline(r *request) bool {
	guess := min(d.classRunTime[r.Class], guessRun*r.TimeLeft.Seconds())
	run := cmp.Or(r.queue.meanRunTime, guess)
	return d.now+seconds(run) >= r.answerBy
}

// admits tells whether a request may be sent at all. What was sent once is past admission.
func (d *Dispatcher) admits(r *request) bool {
	return len(r.attempts) > 0 ||
		!r.ShedAdvised && d.admission.admits(r.Request, r.Weight, r.ClientRetry)
}

// observe reports each request that was sent to the admission once: when it is answered, or overdue.
func (d *Dispatcher) observe(r *request, onTime bool) {
	if r.observed || len(r.attempts) == 0 {
		return
	}
	d.admission.observe(onTime)
	r.observed = true
}

// answer gives our own final answer, and cancels what is outstanding.
func (d *Dispatcher) answer(r *request) {
	if d.retryRules.mayReject(r) {
		reject := Reject{Request: r.Request}
		if limits := &d.settings.Limits; limits.RetryAfter && d.admission.shedding() {
			reject.RetryAfter = d.admission.retryAfter(limits.MaxRetryAfter, d.random)
		}
		d.do(reject)
	} else {
		d.do(Fail{Request: r.Request})
	}
	d.end(r)
}

// end notes that a request needs nothing more, and cancels what is outstanding.
func (d *Dispatcher) end(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	d.queues.dequeue(r)
	for i := range r.attempts {
		d.cancel(r, i)
	}
}

// cancel gives up an attempt, where that is allowed.
func (d *Dispatcher) cancel(r *request, i int) {
	if a := &r.attempts[i]; d.settings.Limits.Cancel && !a.done && !a.abandoned {
		a.abandoned = true
		d.do(Cancel{Request: r.Request, Attempt: i})
	}
}

// send sends a request to a worker: a new attempt.
func (d *Dispatcher) send(r *request, w *worker) {
	q := r.queue
	work := d.classRunTime[r.Class]
	d.queues.dequeue(r)
	r.mayHedge = false
	d.queues.sent(q, d.runTime(r), d.now)
	if w.outstanding == 0 {
		w.waitingSince = d.now
	}
	placed := q.placement(w)
	awaitsLoad := !d.hasCopy(placed, w)
	placed.outstanding++
	if awaitsLoad {
		w.awaitingLoad++
		placed.leaders++
		placed.loadStartedAt = d.now
		r.loadAllowance = d.loadTime(r)
	} else {
		w.limit.acquire()
	}
	w.outstanding++
	d.watchList.update(w)
	d.slowStart.sent(&w.warmup, work)
	w.lastFunction = q.function
	r.attempts = append(r.attempts, attempt{
		worker:     w,
		group:      w.Group,
		zone:       w.Zone,
		sentAt:     d.now,
		work:       work,
		awaitsLoad: awaitsLoad,
	})
	d.do(Send{Request: r.Request, Worker: w.ID, Timeout: max(r.answerBy-d.now, d.settings.Tick)})
}

// release ends an attempt's hold on its worker and notes whether it may have run.
func (d *Dispatcher) release(r *request, a *attempt, outcome Outcome) {
	w := a.worker
	a.done = true
	a.mayHaveRun = outcome.mayHaveRun()
	w.outstanding--
	d.watchList.update(w)
	placed := r.queue.placement(w)
	placed.outstanding--
	if a.awaitsLoad {
		w.awaitingLoad--
		placed.leaders--
	} else {
		w.limit.release()
	}
	if placed.outstanding == 0 && w.State == Gone { // else a hot function gathers those of all workers
		delete(r.queue.placements, w)
	}
	w.waitingSince = d.now
	d.queues.ended(r.queue, d.now)
	d.slowStart.ended(&w.warmup, a.work, outcome)
}

// attemptEnded ends an attempt and learns from its outcome.
func (d *Dispatcher) attemptEnded(ended AttemptEnded) {
	r := d.requests[ended.Request]
	if r == nil || ended.Attempt < 0 || ended.Attempt >= len(r.attempts) || r.attempts[ended.Attempt].done {
		return
	}
	a := &r.attempts[ended.Attempt]
	w := a.worker
	placed := r.queue.placement(w)
	d.release(r, a, ended.Outcome)
	switch ended.Outcome {
	case OK:
		d.afterSuccess(r, a, placed, ended)
	case AtCapacity:
		d.afterRejection(r, a, ended)
	case TimedOut:
		w.limit.onTimeout(tokenStep(d.settings.Controllers))
		d.workerAnswered(w, TimedOut)
		d.observeCrowding(r.queue, int(2*r.Lanes), r.Lanes, d.isWarm(w))
	default:
		d.workerAnswered(w, ended.Outcome)
		ownError := ended.Outcome == Error && ended.Note != LoadFailed
		d.outliers.onError(&w.workerHealth, ownError, d.now)
	}
	if ended.Complete || ended.Outcome == OK {
		d.end(r)
		return
	}
	r.undecided = true
}

// afterSuccess learns from an answer. Only a run that met a loaded copy says something about run times.
func (d *Dispatcher) afterSuccess(r *request, a *attempt, placed *placement, ended AttemptEnded) {
	w := a.worker
	late := ended.Took > d.class(r).LatencyObjective
	d.workerAnswered(w, OK)
	d.observe(r, !d.overdue(r))
	if ended.Note == StartedLoad {
		w.loadBackoff.loaded()
	}
	d.outliers.onSuccess(&w.workerHealth)
	placed.lastSeenAt = d.now
	if !a.awaitsLoad {
		d.evictions.observe(ended.Note == StartedLoad && ended.SameFunction == 0)
	}
	slow := late || ended.Took.Seconds() > d.slowRatio(r)*d.classRunTime[r.Class]
	d.observeCrowding(r.queue, ended.SameFunction, r.Lanes, slow && d.isWarm(w))
	waited := ended.Note == StartedLoad || ended.Note == AwaitedLoad
	if !waited && (ended.Note == FoundWarm || !a.awaitsLoad) {
		d.learnRunTime(r, w, ended.Took.Seconds(), late)
	}
}

// learnRunTime follows the run times of the function, its class and the worker, in seconds, and with them the
// worker's concurrency limit.
func (d *Dispatcher) learnRunTime(r *request, w *worker, took float64, late bool) {
	r.queue.meanRunTime = mean(r.queue.meanRunTime, took)
	d.classRunTime[r.Class] = mean(d.classRunTime[r.Class], took)
	ratio := mean(w.limit.latencyRatio, took/d.classRunTime[r.Class])
	d.peerLatency.set(&w.limit, ratio, w.State != Gone)
	w.limit.onAnswer(d.slowRatio(r)/w.limit.latencyRatio, late, tokenStep(d.settings.Controllers))
}

// slowRatio is the latency ratio from which a worker counts as slow.
func (d *Dispatcher) slowRatio(r *request) float64 {
	return slowFrom(d.settings.Controllers, r.Lanes) * d.peerLatency.median()
}

// afterRejection learns from a worker that was at its capacity.
func (d *Dispatcher) afterRejection(r *request, a *attempt, ended AttemptEnded) {
	w := a.worker
	d.workerAnswered(w, OK)
	w.limit.onRejection()
	d.observeCrowding(r.queue, ended.SameFunction, r.Lanes, d.isWarm(w))
	if len(r.attempts) >= d.settings.Limits.MaxAttempts {
		d.observe(r, false)
	}
	if a.awaitsLoad {
		d.loadRejected(w)
	}
}

// observeCrowding follows how many workers a function needs, by what a request met at one.
func (d *Dispatcher) observeCrowding(q *queue, met int, lanes float64, slow bool) {
	q.spread.observe(met, lanes, slow, manyControllers(d.settings.Controllers, lanes), len(d.order))
}
