package gateway

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/hooklang"
	"kitehub/internal/registry"
	"kitehub/scheduler"
)

// recordAttemptEnd notes how an attempt ended. If it served the request, the answer is out already: see send.
func (g *Gateway) recordAttemptEnd(e scheduler.AttemptEnded, res backend.Result, now time.Duration) {
	r := g.inFlight[e.Request]
	if r == nil || e.Attempt >= len(r.attempts) {
		return
	}
	t := &r.attempts[e.Attempt]
	t.outcome, t.took, t.status, t.loadNote, t.running = e.Outcome, e.Took, res.Status, e.Note, nil
	r.outstanding--
	if k := AnswerKind(r.claimed.Load()); e.Outcome == scheduler.OK && (k == Served || k == Superseded) && !r.recorded {
		g.recordAnswer(e.Request, r, Answer{Kind: k}, now)
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

// recordAnswer counts and logs an answer that was given.
func (g *Gateway) recordAnswer(id scheduler.RequestID, r *request, a Answer, now time.Duration) {
	r.recorded = true
	g.openCount.Add(-1)
	switch a.Kind {
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
	g.logRequest(id, r, a, now)
	if h := g.cfg.Hooks; h != nil {
		tenant := g.tenantName(r.call.Tenant)
		h.CallEnded(tenant)
		e := hooklang.Ended{Function: r.call.Function.Name, Tenant: tenant, Class: g.cfg.Settings.Classes[r.call.Function.Class].Name, Answer: a.Kind.String(),
			Took: now - r.submittedAt, Attempts: len(r.attempts), Late: now > r.submittedAt+r.call.TimeLeft}
		if len(r.attempts) > 0 {
			e.Worker = r.attempts[len(r.attempts)-1].worker
		}
		h.Post("ended", e)
	}
	g.answered.add(id, r, a, now)
	r.call = nil // the body goes; attempts out may stay a while
	if r.outstanding == 0 {
		delete(g.inFlight, id)
	}
}

var errUnknownRequest = errors.New("the module acts on a request that is not open")

// execute carries one action out.
func (g *Gateway) execute(a scheduler.Action, now time.Duration) {
	switch a := a.(type) {
	case scheduler.Send:
		g.dispatch(a, now)
	case scheduler.Reject:
		g.conclude(a.Request, Answer{Kind: Rejected, RetryAfter: a.RetryAfter}, now)
	case scheduler.Fail:
		r := g.inFlight[a.Request]
		g.conclude(a.Request, Answer{Kind: Failed, DeadlineExceeded: r != nil && r.outstanding > 0}, now)
	case scheduler.Cancel:
		if r := g.inFlight[a.Request]; r != nil && a.Attempt < len(r.attempts) && r.attempts[a.Attempt].running != nil {
			r.attempts[a.Attempt].running.Cancel()
		}
	case scheduler.Wake:
		g.wakeups = append(g.wakeups, a)
	case scheduler.LoadOrder:
		g.orderLoad(a)
	case scheduler.Unload:
		if name, _, ok := g.functionName(a.Function); ok {
			g.cfg.Transport.Unload(a.Worker, name)
		}
	case scheduler.Probe:
		g.cfg.Transport.Probe(a.Worker, func(o scheduler.Outcome, took time.Duration, report []float64) {
			g.enqueue(scheduler.ProbeEnded{Worker: a.Worker, Outcome: o, Took: took, Report: report})
		})
	case scheduler.Close:
		g.cfg.Transport.CloseIdle(a.Worker)
	case scheduler.Watch:
		if g.cfg.Lister != nil {
			g.cfg.Lister.Watch(a.On)
		}
	case scheduler.Fetch:
		if g.cfg.Lister != nil {
			g.cfg.Lister.Fetch()
		}
	case scheduler.Gossip:
		if g.cfg.Peers != nil && g.cfg.Settings.Limits.Peers {
			g.cfg.Peers.Send(a.To, a.Payload)
		}
	case scheduler.Log:
		g.cfg.Log.Info().Str("text", a.Text).Msg("module")
	default:
		g.cfg.Log.Error().Str("action", fmt.Sprintf("%T", a)).Msg("unknown action")
	}
}

func (g *Gateway) conclude(id scheduler.RequestID, a Answer, now time.Duration) {
	r := g.inFlight[id]
	if r == nil || r.recorded {
		g.cfg.Log.Error().Uint64("request", uint64(id)).Err(errUnknownRequest).Msg("final")
		return
	}
	if r.claim(a.Kind) { // else it was served while the module decided: its event comes next
		g.answer(id, r, a, now)
	}
}

// dispatch gives a request to a worker, unless it has been answered meanwhile or its version was left: then the module is told that
// nothing went out.
func (g *Gateway) dispatch(a scheduler.Send, now time.Duration) {
	r := g.inFlight[a.Request]
	if r == nil || r.recorded {
		g.cfg.Log.Error().Uint64("request", uint64(a.Request)).Err(errUnknownRequest).Msg("send")
		return
	}
	if r.claimed.Load() != 0 { // served while the module decided
		g.recordNotStarted(r, a, now)
		return
	}
	v := g.verdict(r.call)
	if v == registry.Leaving && (r.mayHaveRun() || r.call.Binding.Restarts >= registry.MostAnew) {
		v = registry.May // it goes on under what it began with
	}
	if v != registry.May {
		g.recordNotStarted(r, a, now)
		if g.supersede(a.Request, r, v, now) {
			g.enqueue(scheduler.ClientGone{Request: a.Request})
		}
		return
	}
	g.startAttempt(r, a, now)
}

// recordNotStarted counts an attempt of which nothing goes out, and ends it.
func (g *Gateway) recordNotStarted(r *request, a scheduler.Send, now time.Duration) {
	g.enqueue(scheduler.AttemptEnded{Request: a.Request, Attempt: len(r.attempts), Worker: a.Worker, Outcome: scheduler.NotStarted})
	r.attempts = append(r.attempts, attempt{worker: g.workerName(a.Worker), sentAt: now, outcome: scheduler.NotStarted})
	r.outstanding++
}

// startAttempt has the carrier make an attempt.
func (g *Gateway) startAttempt(r *request, a scheduler.Send, now time.Duration) {
	n, call := len(r.attempts), r.call
	t := attempt{worker: g.workerName(a.Worker), sentAt: now}
	if g.answered.capacity > 0 || call.Progress != nil {
		t.snapshot = g.dispatcher.Snapshot(call.Function.ID, a.Worker)
	}
	if call.Progress != nil {
		call.Progress(n, t.worker, !t.snapshot.HasCopy)
	}
	r.outstanding++
	attempt := backend.Attempt{Worker: a.Worker, Call: call.ID, Class: g.cfg.Settings.Classes[call.Function.Class].Name,
		Function: call.Function.Name, Trace: traceparent(call.Trace, g.rng.Uint64()), Key: call.Key, Digest: call.Function.Digest,
		Body: call.Body, Timeout: a.Timeout, Wanted: func() bool { return r.claimed.Load() == 0 }}
	t.running = g.cfg.Transport.Send(attempt, func(res backend.Result) { g.attemptEnded(r, call, a, n, res) })
	r.attempts = append(r.attempts, t)
}

// attemptEnded takes an attempt's result, on any goroutine. A served answer goes out here, not a tick later: by this very event the module
// ends the request, and whoever claims it first, this or the loop, gives the one answer. With no other request in hand there is
// nothing to decide by it: it is taken in with the next step, which the module's Wake brings at the latest. The entry's call is the
// loop's, which lets go of it with the answer, so it is given here.
func (g *Gateway) attemptEnded(r *request, call *Call, a scheduler.Send, attempt int, res backend.Result) {
	if g.hasDigestMismatch(r, call, res) {
		g.Counts.Mismatched.Add(1)
		g.cfg.Log.Error().Str("worker", g.workerName(a.Worker)).Str("function", call.Function.Name).Str("wanted", call.Function.Digest).
			Str("ran", res.Digest).Msg("other bytes ran: the answer is dropped")
		res.Outcome = scheduler.Error
	}
	alone := false
	if res.Outcome == scheduler.OK {
		alone = g.deliver(r, call, res.Body) && g.openCount.Load() == 1
	}
	res.Body = nil
	e := scheduler.AttemptEnded{Request: a.Request, Attempt: attempt, Worker: a.Worker, Outcome: res.Outcome, Took: res.Took,
		Complete: res.Outcome == scheduler.OK, Note: res.Note, SameFunction: res.Alike, Report: res.Report}
	g.mu.Lock()
	g.pendingResults[attemptKey{a.Request, attempt}] = res
	g.pendingEvents = append(g.pendingEvents, e)
	idle := alone && !g.stopped
	g.mu.Unlock()
	if !idle {
		g.wakeLoop()
	}
}

// hasDigestMismatch tells whether an answer is of other bytes than were asked for, or under a key of which other bytes ran.
func (g *Gateway) hasDigestMismatch(r *request, call *Call, res backend.Result) bool {
	want := call.Function.Digest
	if want == "" || res.Outcome != scheduler.OK || res.Digest == want && !r.digestMismatch.Load() {
		return false
	}
	r.digestMismatch.Store(g.cfg.Settings.Classes[call.Function.Class].Idempotency == scheduler.IdempotentWithKey)
	return true
}

// deliver gives a worker's answer to the client, or tells it that its version was left; true if it was served.
func (g *Gateway) deliver(r *request, call *Call, body []byte) bool {
	if v := g.verdict(call); v != registry.May && v != registry.Leaving {
		if r.claim(Superseded) {
			call.Deliver(Answer{Kind: Superseded, Verdict: v, MayHaveRun: true})
		}
		return false
	}
	if !r.claim(Served) {
		return false
	}
	call.Deliver(Answer{Kind: Served, Body: body})
	return true
}

func (g *Gateway) verdict(c *Call) registry.Verdict {
	if c.Binding == nil || g.cfg.Versions == nil {
		return registry.May
	}
	return g.cfg.Versions.MayAnswer(c.Binding.Name, c.Binding.Target)
}

// mayHaveRun tells whether an attempt of a request may have run, or may yet.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(t attempt) bool {
		return t.outcome != scheduler.AtCapacity && t.outcome != scheduler.ConnectFailed && t.outcome != scheduler.NotStarted && t.outcome != scheduler.NotLoaded
	})
}

// supersede takes a request whose version was left, or may have been, from the module and hands it back to its front, if what
// is out needs not be waited for. What is out is withdrawn.
func (g *Gateway) supersede(id scheduler.RequestID, r *request, v registry.Verdict, now time.Duration) bool {
	effect, mayHaveRun := g.cfg.Settings.Classes[r.call.Function.Class].Idempotency, r.mayHaveRun()
	out := slices.ContainsFunc(r.attempts, func(t attempt) bool { return t.running != nil })
	next := registry.After(effect, out, mayHaveRun, r.call.Binding.Restarts)
	if v == registry.NoLease {
		next = registry.WithoutLease(effect, out, mayHaveRun)
	}
	if next == registry.Wait || !r.claim(Superseded) {
		return false
	}
	for i := range r.attempts {
		if run := r.attempts[i].running; run != nil {
			run.Cancel()
		}
	}
	g.answer(id, r, Answer{Kind: Superseded, Verdict: v}, now)
	return true
}

func (g *Gateway) orderLoad(a scheduler.LoadOrder) {
	name, digest, ok := g.functionName(a.Function)
	if !ok {
		g.enqueue(scheduler.LoadOrderEnded{Worker: a.Worker, Function: a.Function, Outcome: scheduler.NotStarted})
		return
	}
	g.cfg.Transport.LoadCopies(backend.LoadOrder{Worker: a.Worker, Function: name, Digest: digest, Copies: a.Copies},
		func(o scheduler.Outcome, copies int, took time.Duration) {
			if digest != "" && o == scheduler.OK && g.cfg.Versions != nil {
				g.cfg.Versions.CopiesReady(name, g.workerName(a.Worker), copies)
			}
			if h := g.cfg.Hooks; h != nil && (o == scheduler.AtCapacity || o == scheduler.Error) {
				h.Post("load_refused", hooklang.Load{Function: name, Worker: g.workerName(a.Worker), Outcome: outcomeNames[o], Took: took})
			}
			g.enqueue(scheduler.LoadOrderEnded{Worker: a.Worker, Function: a.Function, Outcome: o, Took: took, Copies: copies})
		})
}
