package scheduler

import (
	"cmp"
	"time"
)

const (
	// initialRunTime is the run time that is expected of a class before its first response, as a
	// fraction of its latency objective. For a function that was never served, the expected run
	// time is also at most this fraction of the time that the request has left.
	initialRunTime = 0.25
	// answerLeadTicks is the number of ticks before the client's deadline at which the dispatcher
	// rejects or fails a request that has no answer.
	answerLeadTicks = 2
)

// arrive queues a new request.
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
		Arrival:        arrival,
		queue:          queue,
		arrivedAt:      d.now,
		answerDeadline: d.now + arrival.TimeLeft - answerLeadTicks*d.settings.Tick,
	}
	d.addRequest(request)
	d.queues.enqueue(request)
}

// class returns the class of a request.
func (d *Dispatcher) class(r *request) *Class { return &d.settings.Classes[r.Class] }

// runTime returns the expected run time of a request, in seconds.
func (d *Dispatcher) runTime(r *request) float64 {
	return cmp.Or(r.queue.meanRunTime, max(0, r.RunTimeHint.Seconds()), d.classRunTime[r.Class])
}

// meetsObjective reports whether a waiting request can still be answered within its latency
// objective.
func (d *Dispatcher) meetsObjective(request *request) bool {
	class := d.class(request)
	stretch := time.Duration(class.ObjectiveStretch * float64(request.RunTimeHint))
	objective := min(class.LatencyObjective+stretch, class.Deadline)
	return d.now+seconds(d.runTime(request)) < request.arrivedAt+objective
}

// overdue reports whether a request is past its latency objective, extended by the time of a load
// that it may have waited for.
func (d *Dispatcher) overdue(r *request) bool { return d.now >= d.overdueAt(r) }

// overdueAt returns the time from which a request is overdue.
func (d *Dispatcher) overdueAt(r *request) time.Duration {
	return r.arrivedAt + d.class(r).LatencyObjective + r.loadAllowance + 1
}

// advanceRequests queues retries, rejects or fails requests, and drops requests that need nothing
// more. It runs after all events of the step, because an outcome may be followed by the event that
// the client has left.
func (d *Dispatcher) advanceRequests() {
	x := &d.index
	d.collectDue()
	d.collectShed(nil)
	var shedNextStep []*request
	for e := x.work.Min(); e != nil; e = x.work.Min() {
		x.work.Remove(e)
		x.advancing = e.Value
		x.examined++
		fraction := d.admission.fraction
		d.advance(e.Value)
		if d.admission.fraction < fraction {
			shedNextStep = d.collectShed(shedNextStep)
		}
	}
	x.advancing = nil
	for _, request := range shedNextStep {
		d.reindex(request)
	}
}

// advance is advanceRequests for one request.
func (d *Dispatcher) advance(request *request) {
	if request.retryPending && !request.ended {
		d.retry(request)
	}
	request.retryPending = false
	if d.overdue(request) {
		d.observeAdmission(request, false)
	}
	if !request.ended && (d.now >= request.answerDeadline || request.queued && d.mustAnswerNow(request)) {
		d.rejectOrFail(request)
	}
	if outstanding := d.releaseLostAttempts(request); request.ended && !outstanding {
		d.removeRequest(request)
		return
	}
	d.reindex(request)
	// Whether workers may take a retry, and what a client's retry or a tenant's weight admits, depends on
	// more than the index knows.
	if request.queued && (request.wasSent() || !request.hasPlainAdmission()) {
		d.index.everyStep = append(d.index.everyStep, request)
	}
}

// releaseLostAttempts releases the attempts of an ended request whose outcome is long overdue, so
// that they do not hold memory or a token for ever. It reports whether other attempts are
// outstanding.
func (d *Dispatcher) releaseLostAttempts(request *request) (outstanding bool) {
	for i := range request.attempts {
		switch {
		case request.attempts[i].done:
		case request.ended && d.now >= d.attemptsLostAt(request):
			d.release(request, &request.attempts[i], TimedOut)
		default:
			outstanding = true
		}
	}
	return outstanding
}

// attemptsLostAt returns the time from which an attempt of an ended request counts as lost.
func (d *Dispatcher) attemptsLostAt(request *request) time.Duration {
	return request.answerDeadline + request.TimeLeft + d.class(request).Deadline + 1
}

// mustAnswerNow reports whether a queued request is rejected or failed now: it has no outstanding
// attempt, and it is not admitted, no worker may retry it, or no run can end before its deadline.
func (d *Dispatcher) mustAnswerNow(request *request) bool {
	noTime := d.cannotMeetDeadline(request)
	if noTime && d.now == request.arrivedAt {
		// The mean run time rejects even a new request. Lower the mean, as it is only corrected by
		// runs, and there would be none.
		request.queue.meanRunTime = ewma(request.queue.meanRunTime, 0)
	}
	switch {
	case request.hasOutstanding():
		return false
	case noTime || !d.admits(request):
		return true
	}
	return request.wasSent() && !d.mayRetry(request)
}

// cannotMeetDeadline reports whether a run that begins now is expected to end after the request's
// deadline. For a function that was never served the mean of the class is used.
func (d *Dispatcher) cannotMeetDeadline(request *request) bool {
	estimate := min(d.classRunTime[request.Class], initialRunTime*request.TimeLeft.Seconds())
	run := cmp.Or(request.queue.meanRunTime, estimate)
	return d.now+seconds(run) >= request.answerDeadline
}

// admits reports whether a request may be sent. A request that was sent before is always admitted.
func (d *Dispatcher) admits(r *request) bool {
	return r.wasSent() ||
		!r.ShedAdvised && d.admission.admits(r.Request, r.Weight, r.ClientRetry)
}

// hasPlainAdmission reports whether a request is admitted if the admitted fraction is above its
// position.
func (r *request) hasPlainAdmission() bool {
	return (r.Weight == 0 || r.Weight == 1) && !r.ClientRetry
}

// admissionPosition returns the position of a request among all, from 0 to 1.
func (r *request) admissionPosition() float64 { return admissionPosition(r.Request) }

// observeAdmission counts a request that was sent in the admission, once: when it is answered or
// overdue.
func (d *Dispatcher) observeAdmission(request *request, onTime bool) {
	if request.admissionObserved || len(request.attempts) == 0 {
		return
	}
	d.admission.observe(onTime)
	request.admissionObserved = true
}

// rejectOrFail answers a request with a Reject if the client may safely send it again, else with a
// Fail, and cancels its outstanding attempts.
func (d *Dispatcher) rejectOrFail(request *request) {
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

// end marks a request that has its answer or whose client has left, and cancels its outstanding
// attempts.
func (d *Dispatcher) end(request *request) {
	if request.ended {
		return
	}
	request.ended = true
	d.queues.dequeue(request)
	for i := range request.attempts {
		d.cancel(request, i)
	}
	d.reindex(request)
	d.index.touch(request)
}

// cancel cancels an attempt, if the deployment allows it.
func (d *Dispatcher) cancel(request *request, i int) {
	if a := &request.attempts[i]; d.settings.Limits.Cancel && !a.done && !a.cancelRequested {
		a.cancelRequested = true
		d.emit(Cancel{Request: request.Request, Attempt: i})
	}
}

// send starts an attempt of a request at a worker.
func (d *Dispatcher) send(request *request, worker *worker) {
	queue := request.queue
	work := d.classRunTime[request.Class]
	startBefore := d.retryRules.startBefore(request)
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
	d.reindex(request)
	timeout := max(request.answerDeadline-d.now, d.settings.Tick)
	d.emit(Send{Request: request.Request, Worker: worker.ID, Timeout: timeout, StartBefore: startBefore})
}

// release marks an attempt as done, and frees its token and its part of the worker's counts.
func (d *Dispatcher) release(request *request, attempt *attempt, outcome Outcome) {
	worker := attempt.worker
	attempt.done = true
	attempt.mayHaveRun = outcome.MayHaveRun()
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
		// Otherwise a frequently called function would keep a placement for every worker that it
		// ever had.
		delete(request.queue.placements, worker)
	}
	worker.waitingSince = d.now
	d.queues.recordOutcome(request.queue, d.now)
	d.slowStart.ended(&worker.warmup, attempt.work, outcome)
}

// attemptEnded applies the outcome of an attempt.
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
	d.index.touch(request)
	d.release(request, attempt, ended.Outcome)
	switch ended.Outcome {
	case OK:
		d.afterSuccess(request, attempt, placed, ended)
	case AtCapacity:
		d.afterRejection(request, attempt, ended)
	case TimedOut:
		worker.limit.onTimeout(tokenStep(d.settings.Controllers))
		d.workerResponded(worker, TimedOut)
		d.updateSpread(request.queue, int(2*request.Lanes), request.Lanes, d.isWarm(worker))
	default:
		d.workerResponded(worker, ended.Outcome)
		ownError := ended.Outcome == Error && ended.Note != LoadFailed
		d.outliers.onError(&worker.workerHealth, ownError, d.now)
	}
	if ended.Complete || ended.Outcome == OK {
		d.end(request)
		return
	}
	request.retryPending = true
}

// afterSuccess applies a successful outcome. Only a run that found a loaded copy updates the run
// times, because another one includes the load.
func (d *Dispatcher) afterSuccess(request *request, attempt *attempt, placed *placement, ended AttemptEnded) {
	worker := attempt.worker
	late := ended.Took > d.class(request).LatencyObjective
	d.workerResponded(worker, OK)
	d.observeAdmission(request, !d.overdue(request))
	if ended.Note == StartedLoad {
		worker.loadBackoff.onLoaded()
	}
	d.outliers.onSuccess(&worker.workerHealth)
	d.queues.copySeen(request.queue, placed, d.now)
	if !attempt.awaitsLoad {
		d.evictions.observe(ended.Note == StartedLoad && ended.SameFunction == 0)
	}
	slow := late || ended.Took.Seconds() > d.slowRatio(request)*d.classRunTime[request.Class]
	d.updateSpread(request.queue, ended.SameFunction, request.Lanes, slow && d.isWarm(worker))
	waited := ended.Note == StartedLoad || ended.Note == AwaitedLoad
	if !waited && (ended.Note == FoundWarm || !attempt.awaitsLoad) {
		d.learnRunTime(request, worker, ended.Took.Seconds(), late)
	}
}

// learnRunTime updates the mean run times of the function and its class, in seconds, and the
// latency ratio and concurrency limit of the worker.
func (d *Dispatcher) learnRunTime(request *request, worker *worker, took float64, late bool) {
	first := request.queue.meanRunTime == 0
	request.queue.meanRunTime = ewma(request.queue.meanRunTime, took)
	d.runTimeLearned(request.queue, first)
	d.classRunTime[request.Class] = ewma(d.classRunTime[request.Class], took)
	ratio := ewma(worker.limit.latencyRatio, took/d.classRunTime[request.Class])
	d.peerLatency.set(&worker.limit, ratio, worker.State != Removed)
	headroom := d.slowRatio(request) / worker.limit.latencyRatio
	worker.limit.onResponse(headroom, late, tokenStep(d.settings.Controllers))
}

// slowRatio returns the latency ratio from which a worker counts as slow.
func (d *Dispatcher) slowRatio(r *request) float64 {
	return slowThreshold(d.settings.Controllers, r.Lanes) * d.peerLatency.median()
}

// afterRejection applies the outcome of a worker that rejected an attempt because it was at
// capacity.
func (d *Dispatcher) afterRejection(request *request, attempt *attempt, ended AttemptEnded) {
	worker := attempt.worker
	d.workerResponded(worker, OK)
	worker.limit.onRejection()
	d.updateSpread(request.queue, ended.SameFunction, request.Lanes, d.isWarm(worker))
	if len(request.attempts) >= d.settings.Limits.MaxAttempts {
		d.observeAdmission(request, false)
	}
	if attempt.awaitsLoad {
		d.loadRejected(worker)
	}
}

// updateSpread updates the spread of a function by the number of other requests of the function
// that were in flight at the worker.
func (d *Dispatcher) updateSpread(q *queue, othersInFlight int, lanes float64, slow bool) {
	q.spread.observe(othersInFlight, lanes, slow, manyControllers(d.settings.Controllers, lanes),
		len(d.listed))
}
