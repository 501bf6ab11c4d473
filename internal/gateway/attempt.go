package gateway

import (
	"encoding/hex"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/registry"
	"kitehub/scheduler"
)

// dispatch sends a request to a worker. If the request has been answered meanwhile or its version
// was superseded, nothing is sent and the dispatcher is notified that the attempt was not started.
func (g *Gateway) dispatch(a scheduler.Send, now time.Duration) {
	r := g.inFlight[a.Request]
	if r == nil || r.recorded {
		g.cfg.Log.Error().Uint64("request", uint64(a.Request)).Err(errUnknownRequest).Msg("attempt dropped")
		return
	}
	if r.claimed.Load() != 0 { // served while the dispatcher decided
		g.recordNotStarted(r, a, now)
		return
	}
	v := g.verdict(r.call)
	if v == registry.BeingSuperseded && (r.mayHaveRun() || r.call.Binding.Restarts >= registry.MaxRestarts) {
		v = registry.Allowed // it finishes under the version that it began with
	}
	if v != registry.Allowed {
		g.recordNotStarted(r, a, now)
		if g.supersede(a.Request, r, v, now) {
			g.enqueue(scheduler.ClientClosed{Request: a.Request})
		}
		return
	}
	g.startAttempt(r, a, now)
}

// recordNotStarted records an attempt of which nothing is sent, and enqueues its end.
func (g *Gateway) recordNotStarted(r *request, a scheduler.Send, now time.Duration) {
	g.enqueue(scheduler.AttemptEnded{
		Request: a.Request, Attempt: len(r.attempts), Worker: a.Worker, Outcome: scheduler.NotStarted,
	})
	skipped := g.newAttempt(r, a.Worker, now)
	skipped.outcome = scheduler.NotStarted
	r.attempts = append(r.attempts, skipped)
	r.outstanding++
}

// newAttempt returns an attempt of a request at a worker, as listed now.
func (g *Gateway) newAttempt(r *request, id scheduler.WorkerID, now time.Duration) attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.directory.workers[id]
	run := scheduler.EarlierRun{
		At:    r.submittedAt, // no later than any attempt
		Zone:  g.directory.labelIndex("zone", w.Zone),
		Group: g.directory.labelIndex("group", w.Group),
	}
	return attempt{worker: w.Name, group: w.Group, run: run, sentAt: now}
}

// startAttempt hands an attempt to the transport, and records it.
func (g *Gateway) startAttempt(r *request, a scheduler.Send, now time.Duration) {
	number := len(r.attempts)
	call := r.call
	started := g.newAttempt(r, a.Worker, now)
	if number > 0 {
		g.recordRetry(r, started)
	}
	if g.answered.capacity > 0 || call.Progress != nil {
		started.snapshot = g.dispatcher.Snapshot(call.Function.ID, a.Worker)
	}
	if call.Progress != nil {
		call.Progress(number, started.worker, !started.snapshot.HasCopy)
	}
	r.outstanding++
	outgoing := backend.Attempt{
		Worker:         a.Worker,
		CallID:         call.ID,
		Class:          g.class(call).Name,
		Function:       call.Function.Name,
		TraceParent:    traceparent(call.TraceID, g.rng.Uint64()),
		IdempotencyKey: call.IdempotencyKey,
		Digest:         call.Function.Digest,
		Body:           call.Body,
		Timeout:        a.Timeout - (g.cfg.Clock.Now() - now), // counted from the step
		MayStart:       func() bool { return g.mayStart(r, call, a) },
	}
	run := started.run
	started.running = g.cfg.Transport.Send(outgoing, func(res backend.Result) { g.attemptEnded(r, call, &run, a, number, res) })
	r.attempts = append(r.attempts, started)
}

// mayStart reports whether an attempt may still start. It is called just before the first byte, on
// a goroutine of the transport.
func (g *Gateway) mayStart(r *request, call *Call, a scheduler.Send) bool {
	if r.claimed.Load() != 0 {
		return false
	}
	if call.ClientClosed != nil && call.ClientClosed() {
		g.Counts.ClosedBeforeSend.Add(1)
		return false
	}
	if g.cfg.Clock.Now() >= a.StartBefore {
		g.Counts.StartedTooLate.Add(1)
		return false
	}
	return true
}

// recordRetry counts a further attempt of a request. It logs the attempt if running the request
// twice would do harm.
func (g *Gateway) recordRetry(r *request, next attempt) {
	if r.mayHaveRun() {
		g.Counts.RetriesMayHaveRun.Add(1)
	} else {
		g.Counts.RetriesNeverRan.Add(1)
	}
	if g.class(r.call).Idempotency == scheduler.Idempotent {
		return
	}
	g.cfg.Log.Info().Str("id", r.call.ID).Str("class", g.class(r.call).Name).Int("attempt", len(r.attempts)).
		Str("worker", next.worker).Str("group", next.group).Dur("after", next.sentAt-r.submittedAt).
		Strs("earlier", r.describeAttempts()).Msg("retry")
}

// attemptEnded receives an attempt's result, on a backend goroutine or, after a cancel, on the
// loop's.
//
// A served answer is delivered here rather than a tick later. The dispatcher ends the request when
// it receives this event, and whichever goroutine claims the request first, this one or the loop,
// gives the final answer. If no other request is open, the event leaves nothing to decide. The loop
// is then not woken: the event waits for the next step, which the dispatcher's Wake brings at the
// latest.
//
// The call is a parameter because request.call belongs to the loop, which clears it with the
// answer. run describes the attempt.
func (g *Gateway) attemptEnded(
	r *request, call *Call, run *scheduler.EarlierRun, a scheduler.Send, number int, res backend.Result,
) {
	if g.hasDigestMismatch(r, call, res) {
		g.Counts.DigestMismatches.Add(1)
		g.cfg.Log.Error().Str("worker", g.workerName(a.Worker)).Str("function", call.Function.Name).
			Str("wanted", call.Function.Digest).Str("ran", res.Digest).Msg("answer dropped, worker ran another digest")
		res.Outcome = scheduler.Error
	}
	wasLastOpen := false
	if res.Outcome == scheduler.OK {
		wasLastOpen = g.deliver(r, call, run, res.Body) && g.openCount.Load() == 1
	}
	res.Body = nil
	e := scheduler.AttemptEnded{
		Request:      a.Request,
		Attempt:      number,
		Worker:       a.Worker,
		Outcome:      res.Outcome,
		Took:         res.Took,
		Complete:     res.Outcome == scheduler.OK,
		Note:         res.Note,
		SameFunction: res.SameFunction,
		LoadReport:   res.Report,
	}
	g.mu.Lock()
	g.pendingResults[attemptKey{a.Request, number}] = res
	g.pendingEvents = append(g.pendingEvents, e)
	canWait := wasLastOpen && !g.stopped
	g.mu.Unlock()
	if !canWait {
		g.wakeLoop()
	}
}

// hasDigestMismatch reports whether a result must not be delivered: it comes from other bytes than
// the registry names for the version, or other bytes have run under its idempotency key. In the
// second case a worker that drops duplicates may answer with the result of those bytes.
func (g *Gateway) hasDigestMismatch(r *request, call *Call, res backend.Result) bool {
	want := call.Function.Digest
	if want == "" || res.Outcome != scheduler.OK || res.Digest == want && !r.digestMismatch.Load() {
		return false
	}
	r.digestMismatch.Store(g.class(call).Idempotency == scheduler.IdempotentWithKey)
	return true
}

// deliver gives a worker's answer to the client and returns true, unless the request has been
// answered already or its version was superseded. A superseded request is handed back to its
// ingress.
func (g *Gateway) deliver(r *request, call *Call, run *scheduler.EarlierRun, body []byte) bool {
	g.delivering.RLock()
	defer g.delivering.RUnlock()
	if call.Earlier != nil {
		run = call.Earlier
	}
	if v := g.verdict(call); v != registry.Allowed && v != registry.BeingSuperseded {
		if r.claim(Superseded) {
			call.Deliver(Answer{Kind: Superseded, Verdict: v, MayHaveRun: true, FirstRun: run})
		}
		return false
	}
	if !r.claim(Served) {
		return false
	}
	call.Deliver(Answer{Kind: Served, Body: body, FirstRun: run})
	return true
}

// traceparent returns a W3C Trace Context header value with the request's trace id and the
// attempt's span id.
func traceparent(trace [16]byte, span uint64) string {
	var b [55]byte
	copy(b[:], "00-")
	hex.Encode(b[3:], trace[:])
	b[35] = '-'
	var s [8]byte
	for i := range s {
		s[i] = byte(max(1, span) >> (56 - 8*i))
	}
	hex.Encode(b[36:], s[:])
	copy(b[52:], "-01")
	return string(b[:])
}
