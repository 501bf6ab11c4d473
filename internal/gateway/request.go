package gateway

import (
	"slices"
	"sync/atomic"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/hooklang"
	"kitehub/scheduler"
)

// A request is a call in flight: from its arrival until it is answered and all its attempts have ended. It is the
// loop's, but for the two atomics: these the goroutines of the back end use as well.
type request struct {
	call        *Call // nil once it is answered: the body is freed, though attempts may still be out
	submittedAt time.Duration
	attempts    []attempt
	outstanding int  // attempts that have not ended
	recorded    bool // the answer is counted and logged

	claimed atomic.Int32 // the AnswerKind of the one final answer: whoever sets it from 0 gives it
	// digestMismatch is that other bytes ran under the idempotency key: workers that drop its duplicates would give the
	// answer of those.
	digestMismatch atomic.Bool
}

// An attempt is one that was made to run a request on a worker. It is the loop's.
type attempt struct {
	worker   string
	running  backend.RunningAttempt // nil once it has ended
	sentAt   time.Duration
	outcome  scheduler.Outcome // 0 until it has ended
	took     time.Duration
	status   int
	loadNote scheduler.LoadNote
	snapshot scheduler.Snapshot // the dispatcher's view as it sent, where calls are explained
}

// An attemptKey names an attempt.
type attemptKey struct {
	request scheduler.RequestID
	attempt int
}

// claim takes the right to give the one final answer.
func (r *request) claim(k AnswerKind) bool { return r.claimed.CompareAndSwap(0, int32(k)) }

// claimedAs returns the kind of the final answer, 0 while there is none.
func (r *request) claimedAs() AnswerKind { return AnswerKind(r.claimed.Load()) }

// mayHaveRun tells whether an attempt of a request may have run, or may yet.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool {
		switch a.outcome {
		case scheduler.AtCapacity, scheduler.ConnectFailed, scheduler.NotStarted, scheduler.NotLoaded:
			return false
		}
		return true
	})
}

// hasRunning tells whether an attempt is out.
func (r *request) hasRunning() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.running != nil })
}

// cancelAttempts withdraws what is out. The attempts still end, each with an event.
func (r *request) cancelAttempts() {
	for i := range r.attempts {
		if running := r.attempts[i].running; running != nil {
			running.Cancel()
		}
	}
}

// recordAttemptEnd notes how an attempt ended. If it served the request, the answer is out already: see attemptEnded.
func (g *Gateway) recordAttemptEnd(e scheduler.AttemptEnded, res backend.Result, now time.Duration) {
	r := g.inFlight[e.Request]
	if r == nil || e.Attempt >= len(r.attempts) {
		return
	}
	a := &r.attempts[e.Attempt]
	a.outcome = e.Outcome
	a.took = e.Took
	a.status = res.Status
	a.loadNote = e.Note
	a.running = nil
	r.outstanding--
	kind := r.claimedAs()
	if e.Outcome == scheduler.OK && (kind == Served || kind == Superseded) && !r.recorded {
		g.recordAnswer(e.Request, r, Answer{Kind: kind}, now)
	}
	if r.recorded && r.outstanding == 0 {
		delete(g.inFlight, e.Request)
	}
}

// answer gives the final answer of a request that the loop has claimed.
func (g *Gateway) answer(id scheduler.RequestID, r *request, a Answer, now time.Duration) {
	a.MayHaveRun = r.mayHaveRun()
	r.call.Deliver(a)
	g.recordAnswer(id, r, a, now)
}

// recordAnswer counts and logs an answer that was given, and forgets the request if no attempt is out.
func (g *Gateway) recordAnswer(id scheduler.RequestID, r *request, a Answer, now time.Duration) {
	r.recorded = true
	g.openCount.Add(-1)
	g.countAnswer(a.Kind)
	g.logRequest(id, r, a, now)
	g.postEnded(r, a, now)
	g.answered.add(id, r, a, now)
	r.call = nil
	if r.outstanding == 0 {
		delete(g.inFlight, id)
	}
}

func (g *Gateway) countAnswer(k AnswerKind) {
	switch k {
	case Served:
		g.Counts.Served.Add(1)
	case Rejected:
		g.Counts.Rejected.Add(1)
	case Failed:
		g.Counts.Failed.Add(1)
	case ClientClosed:
		g.Counts.ClientClosed.Add(1)
	case Superseded:
		g.Counts.Superseded.Add(1)
	}
}

// postEnded notifies the hooks of an answered request.
func (g *Gateway) postEnded(r *request, a Answer, now time.Duration) {
	h := g.cfg.Hooks
	if h == nil {
		return
	}
	tenant := g.tenantName(r.call.Tenant)
	h.CallEnded(tenant)
	ended := hooklang.Ended{
		Function: r.call.Function.Name,
		Tenant:   tenant,
		Class:    g.class(r.call).Name,
		Answer:   a.Kind.String(),
		Took:     now - r.submittedAt,
		Attempts: len(r.attempts),
		Late:     now > r.submittedAt+r.call.TimeLeft,
	}
	if n := len(r.attempts); n > 0 {
		ended.Worker = r.attempts[n-1].worker
	}
	h.Post("ended", ended)
}
