package scheduler

import (
	"slices"
	"time"
)

// retryRules decide which attempts of a request keep the guarantees on idempotency. They depend
// only on the request and its earlier attempts, never on load.
//
// After an attempt that was rejected or never reached its worker, any request may be sent again.
// After an attempt that may have run, an idempotent request may be sent to any worker, and a
// non-idempotent one to none. A request with an idempotency key may be sent to the workers that
// share a store of keys with the first such attempt, until the dedup window ends. Where only a part of the
// workers shares it, a worker to which a connection was lost or failed since then is left out: another
// process may have come up at its address, which is not in its zone or group.
type retryRules struct {
	classes []Class
	limits  Limits
	tick    time.Duration
}

func newRetryRules(settings *Settings) retryRules {
	return retryRules{classes: settings.Classes, limits: settings.Limits, tick: settings.Tick}
}

// mayReject reports whether a request may be answered with a Reject, which tells the client that it
// may safely send the request again.
func (r *retryRules) mayReject(request *request) bool {
	return request.firstThatMayHaveRun() == nil || r.classes[request.Class].HarmlessRetry()
}

// HarmlessRetry reports whether a client may send a request of the class again although an earlier
// attempt may have run.
func (c *Class) HarmlessRetry() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == AllWorkers
}

// maySend reports whether one more attempt of a request may go to a worker.
func (r *retryRules) maySend(request *request, worker *worker, now time.Duration) bool {
	if request.ended || worker.State != Ready || now >= request.answerDeadline {
		return false
	}
	if len(request.attempts) >= r.limits.MaxAttempts {
		return false
	}
	return r.mayHedgeAt(request, worker) && r.keepsIdempotency(request, worker, now)
}

// mayHedgeAt reports whether an attempt may start at a worker beside the outstanding ones, if there
// are any: hedged requests have to be allowed, and each outstanding attempt has to be given up on
// and at another worker.
func (r *retryRules) mayHedgeAt(request *request, worker *worker) bool {
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if attempt.done {
			continue
		}
		givenUp := attempt.cancelRequested || request.mayHedge
		if !r.limits.HedgedRequests || !givenUp || attempt.worker == worker {
			return false
		}
	}
	return true
}

// keepsIdempotency reports whether a request may run at a worker although an earlier attempt may
// have run.
func (r *retryRules) keepsIdempotency(request *request, worker *worker, now time.Duration) bool {
	first := request.firstThatMayHaveRun()
	class := &r.classes[request.Class]
	switch {
	case first == nil || class.Idempotency == Idempotent:
		return true
	case class.Idempotency == NonIdempotent:
		return false
	case now >= r.dedupEnd(first, class):
		return false
	}
	if class.DedupScope == AllWorkers {
		return true
	}
	if worker.lostAt > 0 && worker.lostAt >= first.sentAt {
		return false
	}
	return class.DedupScope == SameZone && worker.Zone == first.zone ||
		class.DedupScope == SameGroup && worker.Group == first.group
}

// dedupEnd returns the time from which workers may have forgotten the key of an attempt.
func (r *retryRules) dedupEnd(first *attempt, class *Class) time.Duration {
	return first.sentAt + class.DedupWindow - r.tick
}

// startBefore returns the time from which another attempt of a request, allowed by maySend, must not
// start any more. The attempt may have to wait for a connection until then.
func (r *retryRules) startBefore(request *request) time.Duration {
	first := request.firstThatMayHaveRun()
	class := &r.classes[request.Class]
	if first == nil || class.Idempotency != IdempotentWithKey {
		return request.answerDeadline
	}
	return min(request.answerDeadline, r.dedupEnd(first, class))
}

// firstThatMayHaveRun returns the first attempt that is outstanding or may have run, or nil. It may
// be one from before the arrival.
func (r *request) firstThatMayHaveRun() *attempt {
	if r.Earlier != nil {
		run := *r.Earlier
		return &attempt{sentAt: run.At, zone: run.Zone, group: run.Group, done: true, mayHaveRun: true}
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.done || a.mayHaveRun {
			return a
		}
	}
	return nil
}

// MayHaveRun reports whether an attempt with this outcome may have run.
func (o Outcome) MayHaveRun() bool {
	return o != AtCapacity && o != ConnectFailed && o != NotStarted && o != NotLoaded
}

// mayRetry reports whether the retry rules allow another attempt at any listed worker.
func (d *Dispatcher) mayRetry(r *request) bool {
	return slices.ContainsFunc(d.listed, func(w *worker) bool { return d.retryRules.maySend(r, w, d.now) })
}

// retry queues a request for another attempt, if one is allowed. Otherwise it rejects or fails the
// request, unless an attempt is outstanding.
func (d *Dispatcher) retry(request *request) {
	if d.mayRetry(request) && (!request.hasOutstanding() || request.mayHedge) {
		d.queues.enqueue(request)
	} else if !request.hasOutstanding() {
		d.rejectOrFail(request)
	}
}

// reassign looks for another worker for the outstanding attempts of one that no longer responds.
// Where hedged requests are allowed, another attempt starts beside the outstanding one; otherwise
// the outstanding one is cancelled first.
func (d *Dispatcher) reassign(worker *worker) {
	if worker.outstanding == 0 {
		return
	}
	for _, request := range d.openRequests {
		if request.entries.isRemoved {
			continue
		}
		for i := range request.attempts {
			if request.attempts[i].worker == worker && !request.attempts[i].done {
				d.reassignAttempt(request, i)
			}
		}
	}
}

// reassignAttempt is reassign for one attempt of a request.
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
		d.index.touch(request)
	}
}
