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
	queue := d.queues.getOrCreate(arrival.Function)
	d.queues.arrive(queue, d.now)
	request := &request{
		Arrival:   arrival,
		queue:     queue,
		arrivedAt: d.now,
		answerBy:  d.now + arrival.TimeLeft - answerTicks*d.settings.Tick,
	}
	d.requests[arrival.Request] = request
	d.openRequests = append(d.openRequests, request)
	d.queues.enqueue(request)
}

// class returns the class of a request.
func (d *Dispatcher) class(r *request) *Class { return &d.settings.Classes[r.Class] }

// runTime is how long a request is likely to run, in seconds.
func (d *Dispatcher) runTime(r *request) float64 {
	return cmp.Or(r.queue.meanRunTime, max(0, r.RunTimeHint.Seconds()), d.classRunTime[r.Class])
}

// meetsObjective tells whether a waiting request can still be answered within its latency objective.
func (d *Dispatcher) meetsObjective(request *request) bool {
	class := d.class(request)
	stretch := time.Duration(class.ObjectiveStretch * float64(request.RunTimeHint))
	objective := min(class.LatencyObjective+stretch, class.Deadline)
	return d.now+seconds(d.runTime(request)) < request.arrivedAt+objective
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
	for _, request := range d.openRequests {
		if request.undecided && !request.ended {
			d.retry(request)
		}
		request.undecided = false
		if d.overdue(request) {
			d.observe(request, false)
		}
		if !request.ended && (d.now >= request.answerBy || request.queued && d.mustAnswerNow(request)) {
			d.answer(request)
		}
		if outstanding := d.releaseLost(request); request.ended && !outstanding {
			delete(d.requests, request.Request)
			continue
		}
		kept = append(kept, request)
	}
	clear(d.openRequests[len(kept):])
	d.openRequests = kept
}

// releaseLost releases the attempts whose outcome is long overdue, as it must not hold memory or a token
// for ever, and tells whether others are outstanding.
func (d *Dispatcher) releaseLost(request *request) (outstanding bool) {
	for i := range request.attempts {
		switch {
		case request.attempts[i].done:
		case request.ended && d.now > request.answerBy+request.TimeLeft+d.class(request).Deadline:
			d.release(request, &request.attempts[i], TimedOut)
		default:
			outstanding = true
		}
	}
	return outstanding
}

// mustAnswerNow tells whether a queued request is to be answered at once: nothing is outstanding, and it is
// not admitted, or no worker may have it again, or no run fits its time.
func (d *Dispatcher) mustAnswerNow(request *request) bool {
	noTime := d.cannotMeetDeadline(request)
	if noTime && d.now == request.arrivedAt {
		// The mean run time rejects even a new request. Lower it, or a wrong one would never be corrected.
		request.queue.meanRunTime = ewma(request.queue.meanRunTime, 0)
	}
	switch {
	case request.hasOutstanding():
		return false
	case noTime || !d.admits(request):
		return true
	}
	return len(request.attempts) > 0 && !d.mayRetry(request)
}

// cannotMeetDeadline tells whether a run that begins now ends after the request's time. For a function that
// was never served its class's mean counts.
func (d *Dispatcher) cannotMeetDeadline(request *request) bool {
	guess := min(d.classRunTime[request.Class], guessRun*request.TimeLeft.Seconds())
	run := cmp.Or(request.queue.meanRunTime, guess)
	return d.now+seconds(run) >= request.answerBy
}

// admits tells whether a request may be sent at all. What was sent once is past admission.
func (d *Dispatcher) admits(r *request) bool {
	return len(r.attempts) > 0 ||
		!r.ShedAdvised && d.admission.admits(r.Request, r.Weight, r.ClientRetry)
}

// observe reports each request that was sent to the admission once: when it is answered, or overdue.
func (d *Dispatcher) observe(request *request, onTime bool) {
	if request.observed || len(request.attempts) == 0 {
		return
	}
	d.admission.observe(onTime)
	request.observed = true
}

// answer gives our own final answer, and cancels what is outstanding.
func (d *Dispatcher) answer(request *request) {
	if d.retryRules.mayReject(request) {
		reject := Reject{Request: request.Request}
		if limits := &d.settings.Limits; limits.RetryAfter && d.admission.shedding() {
			reject.RetryAfter = d.admission.retryAfter(limits.MaxRetryAfter, d.random)
		}
		d.emit(reject)
	} else {
		d.emit(Fail{Request: request.Request})
	}
	d.end(request)
}

// end notes that a request needs nothing more, and cancels what is outstanding.
func (d *Dispatcher) end(request *request) {
	if request.ended {
		return
	}
	request.ended = true
	d.queues.dequeue(request)
	for i := range request.attempts {
		d.cancel(request, i)
	}
}

// cancel gives up an attempt, where that is allowed.
func (d *Dispatcher) cancel(request *request, i int) {
	if a := &request.attempts[i]; d.settings.Limits.Cancel && !a.done && !a.abandoned {
		a.abandoned = true
		d.emit(Cancel{Request: request.Request, Attempt: i})
	}
}

// send sends a request to a worker: a new attempt.
func (d *Dispatcher) send(request *request, worker *worker) {
	queue := request.queue
	work := d.classRunTime[request.Class]
	d.queues.dequeue(request)
	request.mayHedge = false
	d.queues.charge(queue, d.runTime(request), d.now)
	if worker.outstanding == 0 {
		worker.waitingSince = d.now
	}
	placed := queue.placement(worker)
	awaitsLoad := !d.hasCopy(placed, worker)
	placed.outstanding++
	if awaitsLoad {
		worker.awaitingLoad++
		placed.awaitingLoad++
		placed.loadStartedAt = d.now
		request.loadAllowance = d.loadTime(request)
	} else {
		worker.limit.acquire()
	}
	worker.outstanding++
	d.watchList.update(worker)
	d.slowStart.sent(&worker.warmup, work)
	worker.lastFunction = queue.function
	request.attempts = append(request.attempts, attempt{
		worker:     worker,
		group:      worker.Group,
		zone:       worker.Zone,
		sentAt:     d.now,
		work:       work,
		awaitsLoad: awaitsLoad,
	})
	timeout := max(request.answerBy-d.now, d.settings.Tick)
	d.emit(Send{Request: request.Request, Worker: worker.ID, Timeout: timeout})
}

// release ends an attempt's hold on its worker and notes whether it may have run.
func (d *Dispatcher) release(request *request, attempt *attempt, outcome Outcome) {
	worker := attempt.worker
	attempt.done = true
	attempt.mayHaveRun = outcome.mayHaveRun()
	worker.outstanding--
	d.watchList.update(worker)
	placed := request.queue.placement(worker)
	placed.outstanding--
	if attempt.awaitsLoad {
		worker.awaitingLoad--
		placed.awaitingLoad--
	} else {
		worker.limit.release()
	}
	if placed.outstanding == 0 && worker.State == Removed {
		// Else a hot function gathers those of all workers that ever were.
		delete(request.queue.placements, worker)
	}
	worker.waitingSince = d.now
	d.queues.recordOutcome(request.queue, d.now)
	d.slowStart.ended(&worker.warmup, attempt.work, outcome)
}

// attemptEnded ends an attempt and learns from its outcome.
func (d *Dispatcher) attemptEnded(ended AttemptEnded) {
	request := d.requests[ended.Request]
	if request == nil || ended.Attempt < 0 || ended.Attempt >= len(request.attempts) {
		return
	}
	attempt := &request.attempts[ended.Attempt]
	if attempt.done {
		return
	}
	worker := attempt.worker
	placed := request.queue.placement(worker)
	d.release(request, attempt, ended.Outcome)
	switch ended.Outcome {
	case OK:
		d.afterSuccess(request, attempt, placed, ended)
	case AtCapacity:
		d.afterRejection(request, attempt, ended)
	case TimedOut:
		worker.limit.onTimeout(tokenStep(d.settings.Controllers))
		d.workerResponded(worker, TimedOut)
		d.observeCrowding(request.queue, int(2*request.Lanes), request.Lanes, d.isWarm(worker))
	default:
		d.workerResponded(worker, ended.Outcome)
		ownError := ended.Outcome == Error && ended.Note != LoadFailed
		d.outliers.onError(&worker.workerHealth, ownError, d.now)
	}
	if ended.Complete || ended.Outcome == OK {
		d.end(request)
		return
	}
	request.undecided = true
}

// afterSuccess learns from an answer. Only a run that met a loaded copy says something about run times.
func (d *Dispatcher) afterSuccess(request *request, attempt *attempt, placed *placement, ended AttemptEnded) {
	worker := attempt.worker
	late := ended.Took > d.class(request).LatencyObjective
	d.workerResponded(worker, OK)
	d.observe(request, !d.overdue(request))
	if ended.Note == StartedLoad {
		worker.loadBackoff.onLoaded()
	}
	d.outliers.onSuccess(&worker.workerHealth)
	placed.lastSeenAt = d.now
	if !attempt.awaitsLoad {
		d.evictions.observe(ended.Note == StartedLoad && ended.SameFunction == 0)
	}
	slow := late || ended.Took.Seconds() > d.slowRatio(request)*d.classRunTime[request.Class]
	d.observeCrowding(request.queue, ended.SameFunction, request.Lanes, slow && d.isWarm(worker))
	waited := ended.Note == StartedLoad || ended.Note == AwaitedLoad
	if !waited && (ended.Note == FoundWarm || !attempt.awaitsLoad) {
		d.learnRunTime(request, worker, ended.Took.Seconds(), late)
	}
}

// learnRunTime follows the run times of the function, its class and the worker, in seconds, and with them the
// worker's concurrency limit.
func (d *Dispatcher) learnRunTime(request *request, worker *worker, took float64, late bool) {
	request.queue.meanRunTime = ewma(request.queue.meanRunTime, took)
	d.classRunTime[request.Class] = ewma(d.classRunTime[request.Class], took)
	ratio := ewma(worker.limit.latencyRatio, took/d.classRunTime[request.Class])
	d.peerLatency.set(&worker.limit, ratio, worker.State != Removed)
	headroom := d.slowRatio(request) / worker.limit.latencyRatio
	worker.limit.onResponse(headroom, late, tokenStep(d.settings.Controllers))
}

// slowRatio is the latency ratio from which a worker counts as slow.
func (d *Dispatcher) slowRatio(r *request) float64 {
	return slowThreshold(d.settings.Controllers, r.Lanes) * d.peerLatency.median()
}

// afterRejection learns from a worker that was at its capacity.
func (d *Dispatcher) afterRejection(request *request, attempt *attempt, ended AttemptEnded) {
	worker := attempt.worker
	d.workerResponded(worker, OK)
	worker.limit.onRejection()
	d.observeCrowding(request.queue, ended.SameFunction, request.Lanes, d.isWarm(worker))
	if len(request.attempts) >= d.settings.Limits.MaxAttempts {
		d.observe(request, false)
	}
	if attempt.awaitsLoad {
		d.loadRejected(worker)
	}
}

// observeCrowding follows how many workers a function needs, by what a request met at one.
func (d *Dispatcher) observeCrowding(q *queue, met int, lanes float64, slow bool) {
	q.spread.observe(met, lanes, slow, manyControllers(d.settings.Controllers, lanes), len(d.listed))
}
