package scheduler

import (
	"slices"
	"time"
)

// retryRules say which further attempt of a request keeps the promises on idempotency. They depend on what
// is known of its attempts alone, never on load.
//
// An attempt that was rejected, or never reached its worker, changes nothing: any request may be sent
// again. After one that may have run, an idempotent request may still go anywhere, and one that is not
// idempotent nowhere. A request with an idempotency key may go to the workers that share its first
// attempt's store of keys, while that store remembers.
type retryRules struct {
	classes []Class
	limits  Limits
	tick    time.Duration
}

func newRetryRules(settings *Settings) retryRules {
	return retryRules{classes: settings.Classes, limits: settings.Limits, tick: settings.Tick}
}

// mayReject tells whether a Reject may answer a request, which tells the client that sending it again does
// no harm.
func (p *retryRules) mayReject(request *request) bool {
	class := &p.classes[request.Class]
	return class.Idempotency == Idempotent || request.firstThatMayHaveRun() == nil ||
		class.Idempotency == IdempotentWithKey && class.DedupScope == AllWorkers
}

// maySend tells whether one more attempt of a request may go to a worker.
func (p *retryRules) maySend(request *request, worker *worker, now time.Duration) bool {
	if request.ended || worker.State != Ready || now >= request.answerBy {
		return false
	}
	if len(request.attempts) >= p.limits.MaxAttempts {
		return false
	}
	return p.mayJoinOutstanding(request, worker) && p.keepsIdempotency(request, worker, now)
}

// mayJoinOutstanding tells whether an attempt may go out beside those that have no outcome yet: only where
// hedged requests are allowed, beside one that is given up on, and at another worker.
func (p *retryRules) mayJoinOutstanding(request *request, worker *worker) bool {
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if attempt.done {
			continue
		}
		givenUp := attempt.abandoned || request.mayHedge
		if !p.limits.HedgedRequests || !givenUp || attempt.worker == worker {
			return false
		}
	}
	return true
}

// keepsIdempotency tells whether a request may run at a worker, considering that an earlier attempt may
// have run.
func (p *retryRules) keepsIdempotency(request *request, worker *worker, now time.Duration) bool {
	first := request.firstThatMayHaveRun()
	class := &p.classes[request.Class]
	switch {
	case first == nil || class.Idempotency == Idempotent:
		return true
	case class.Idempotency == NonIdempotent:
		return false
	case now >= first.sentAt+class.DedupWindow-p.tick:
		return false
	}
	return class.DedupScope == AllWorkers ||
		class.DedupScope == SameZone && worker.Zone == first.zone ||
		class.DedupScope == SameGroup && worker.Group == first.group
}

// firstThatMayHaveRun returns the first attempt that may have run, or may yet; nil if there is none.
func (r *request) firstThatMayHaveRun() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.done || a.mayHaveRun {
			return a
		}
	}
	return nil
}

// mayHaveRun tells whether an attempt with this outcome may have run.
func (o Outcome) mayHaveRun() bool {
	return o != AtCapacity && o != ConnectFailed && o != NotStarted && o != NotLoaded
}

// mayRetry tells whether the rules leave any worker for another attempt.
func (d *Dispatcher) mayRetry(r *request) bool {
	return slices.ContainsFunc(d.listed, func(w *worker) bool { return d.retryRules.maySend(r, w, d.now) })
}

// retry queues a request for another attempt, waits for one that is outstanding, or answers.
func (d *Dispatcher) retry(request *request) {
	if d.mayRetry(request) && (!request.hasOutstanding() || request.mayHedge) {
		d.queues.enqueue(request)
	} else if !request.hasOutstanding() {
		d.answer(request)
	}
}

// reassign finds another worker for what waits at one that no longer answers. Where hedged requests are
// allowed another attempt goes out beside it; otherwise it is cancelled first.
func (d *Dispatcher) reassign(worker *worker) {
	if worker.outstanding == 0 {
		return
	}
	for _, request := range d.openRequests {
		for i := range request.attempts {
			if request.attempts[i].worker == worker && !request.attempts[i].done {
				d.reassignAttempt(request, i)
			}
		}
	}
}

func (d *Dispatcher) reassignAttempt(request *request, i int) {
	limits := &d.settings.Limits
	if request.ended || request.queued || d.class(request).Idempotency == NonIdempotent {
		return
	}
	request.mayHedge = limits.HedgedRequests
	switch {
	case !request.mayHedge && len(request.attempts) < limits.MaxAttempts:
		d.cancel(request, i)
	case request.mayHedge && d.mayRetry(request):
		d.queues.enqueue(request)
	}
}
