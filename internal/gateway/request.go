package gateway

import (
	"slices"
	"sync/atomic"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/hooklang"
	"kitehub/scheduler"
)

// A request is a call in flight, from its arrival until it is answered and all its attempts have
// ended. Its fields belong to the loop, except the two atomics, which backend goroutines use as
// well.
type request struct {
	call        *Call // nil once answered, to free the body while attempts may still be in flight
	submittedAt time.Duration
	attempts    []attempt
	outstanding int  // attempts that have not ended
	recorded    bool // the answer has been counted and logged
	released    func()

	claimed atomic.Int32 // the AnswerKind of the final answer; whoever sets it from 0 gives the answer
	// digestMismatch is set once other bytes than the registry names have run under the idempotency
	// key. Workers that drop duplicates of the key would answer later attempts with the result of
	// those bytes.
	digestMismatch atomic.Bool
}

func newRequest(c *Call) *request {
	return &request{call: c, submittedAt: c.submittedAt, released: c.Released}
}

// An attempt is one sending of a request to a worker. Its fields belong to the loop.
type attempt struct {
	worker   string
	group    string                 // of the worker, as listed when the attempt was sent
	run      scheduler.EarlierRun   // what is known of it, should it have run
	running  backend.RunningAttempt // nil once the attempt has ended
	sent     backend.Transmission   // set once the attempt has ended
	sentAt   time.Duration
	outcome  scheduler.Outcome // 0 until the attempt has ended
	took     time.Duration
	status   int
	loadNote scheduler.LoadNote
	snapshot scheduler.Snapshot // the dispatcher's view at the send, for Explain and Progress
}

// An attemptKey identifies an attempt.
type attemptKey struct {
	request scheduler.RequestID
	attempt int
}

// claim takes the right to give the final answer. It returns false if that right was already taken.
func (r *request) claim(k AnswerKind) bool { return r.claimed.CompareAndSwap(0, int32(k)) }

// claimedAs returns the kind of the final answer, or 0 while there is none.
func (r *request) claimedAs() AnswerKind { return AnswerKind(r.claimed.Load()) }

// mayHaveRun reports whether an attempt of the request may have run, or may still run.
func (r *request) mayHaveRun() bool {
	return r.call != nil && r.call.Earlier != nil || slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return a.outcome.MayHaveRun() // also while it has no outcome
	})
}

// firstRun describes the first attempt that may have run, also before this call, or returns nil.
func (r *request) firstRun() *scheduler.EarlierRun {
	if r.call.Earlier != nil {
		return r.call.Earlier
	}
	for i := range r.attempts {
		if r.attempts[i].outcome.MayHaveRun() {
			run := r.attempts[i].run
			return &run
		}
	}
	return nil
}

// hasRunning reports whether an attempt is in flight.
func (r *request) hasRunning() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.running != nil })
}

// cancelAttempts cancels the attempts in flight. Each of them still ends with an event.
func (r *request) cancelAttempts() {
	for i := range r.attempts {
		if running := r.attempts[i].running; running != nil {
			running.Cancel()
		}
	}
}

// recordAttemptEnd records how an attempt ended. If the attempt served the request, its answer has
// already been delivered: see attemptEnded.
func (g *Gateway) recordAttemptEnd(e scheduler.AttemptEnded, res backend.Result, now time.Duration) {
	r := g.inFlight[e.Request]
	if r == nil || e.Attempt >= len(r.attempts) {
		return
	}
	a := &r.attempts[e.Attempt]
	a.outcome = e.Outcome
	a.took = e.Took
	a.sent = res.Sent
	a.status = res.Status
	a.loadNote = e.Note
	a.running = nil
	r.outstanding--
	kind := r.claimedAs()
	if e.Outcome == scheduler.OK && (kind == Served || kind == Superseded) && !r.recorded {
		g.recordAnswer(e.Request, r, Answer{Kind: kind}, now)
	}
	g.releaseIfDone(e.Request, r)
}

// releaseIfDone drops a request that is answered and has no attempt in flight.
func (g *Gateway) releaseIfDone(id scheduler.RequestID, r *request) {
	if !r.recorded || r.outstanding > 0 {
		return
	}
	delete(g.inFlight, id)
	if r.released != nil {
		r.released()
	}
}

// answer gives the final answer to a request that the loop has claimed.
func (g *Gateway) answer(id scheduler.RequestID, r *request, a Answer, now time.Duration) {
	a.MayHaveRun = r.mayHaveRun()
	a.FirstRun = r.firstRun()
	r.call.Deliver(a)
	g.recordAnswer(id, r, a, now)
}

// recordAnswer counts and logs a final answer, and drops the request if no attempt is in flight.
func (g *Gateway) recordAnswer(id scheduler.RequestID, r *request, a Answer, now time.Duration) {
	r.recorded = true
	g.openCount.Add(-1)
	g.countAnswer(a.Kind)
	g.logRequest(id, r, a, now)
	g.postEnded(r, a, now)
	g.answered.add(id, r, a, now)
	r.call = nil
	g.releaseIfDone(id, r)
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
