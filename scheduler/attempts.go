package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// sweep answers what is due and forgets requests that are over.
func (d *Dispatcher) sweep() {
	kept := d.open[:0]
	for _, r := range d.open {
		if r.due && !r.ended {
			d.again(r)
		}
		r.due = false
		if d.late(r) {
			d.judge(r, false)
		}
		if !r.ended && (d.now >= r.final || r.waiting && d.hopeless(r)) {
			d.finish(r)
		}
		out := false
		for i := range r.tries {
			if t := &r.tries[i]; !t.done {
				// An outcome that never comes must not hold memory or a token for ever.
				if r.ended && d.now > r.final+r.TimeLeft+d.s.Classes[r.Class].Deadline {
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
	clear(d.open[len(kept):])
	d.open = kept
}

// hopeless tells whether a queued request is given up, and answered at once: it does not pass, no worker may
// have it again, or no run fits its time (a mean too long for a new one is lowered; with none, its class's).
func (d *Dispatcher) hopeless(r *request) bool {
	run := cmp.Or(r.q.run, min(d.classRun[r.Class], guessRun*r.TimeLeft.Seconds()))
	over := d.now+seconds(run) >= r.final
	if over && d.now == r.at {
		r.q.run = mean(r.q.run, 0)
	}
	return !r.out() && (over || !d.passes(r) || len(r.tries) > 0 && !d.mayTry(r))
}

// passes tells whether a request may be sent at all. Where some three in ten of those sent are late, sending
// on makes the rest late too, whatever the cause: overload, workers lost, cold or slow, a network or store
// that stalls. No worker's tokens show it where each controller has few answers of each; all its answers
// do. By hash of the request, so that it is told at once; repeats of clients, whose aim has mostly passed, go
// last. It could hurt where sending less mends nothing: a load is allowed for, an error does not count.
func (d *Dispatcher) passes(r *request) bool {
	share := d.pass
	if r.Weight > 0 {
		share = math.Pow(share, 1/r.Weight)
	}
	if r.ClientRetry {
		share = math.Pow(share, passRepeat)
	}
	return len(r.tries) > 0 || !r.ShedAdvised && unit(mix(^uint64(r.Request))) < share
}

// judge follows the share let pass, by each request that was sent: once, when it is answered or late.
func (d *Dispatcher) judge(r *request, inTime bool) {
	switch {
	case r.judged || len(r.tries) == 0:
		return
	case inTime:
		d.pass = min(1, d.pass+passRise)
	default:
		d.pass = max(passLow, d.pass*passCut)
	}
	r.judged = true
}

// late tells whether a request is past its aim and the load that it may have waited for.
func (d *Dispatcher) late(r *request) bool {
	return d.now > r.at+d.s.Classes[r.Class].LatencyObjective+r.loading
}

// finish gives our own final answer and calls off what is out. The fewer pass, the later one may come back.
func (d *Dispatcher) finish(r *request) {
	if d.mayRefuse(r) {
		a := Reject{Request: r.Request}
		if l := d.s.Limits; l.RetryAfter && d.pass < 1 {
			a.RetryAfter = seconds(l.MaxRetryAfter.Seconds() * (1 - d.pass) * (1 - jitter*d.rng.Float64()))
		}
		d.do(a)
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
	for i := range r.tries {
		d.cancel(r, i)
	}
}

func (d *Dispatcher) cancel(r *request, i int) {
	if t := &r.tries[i]; d.s.Limits.Cancel && !t.done && !t.left {
		t.left = true
		d.do(Cancel{Request: r.Request, Attempt: i})
	}
}

func (d *Dispatcher) send(r *request, w *worker) {
	q, work := r.q, d.classRun[r.Class]
	d.unqueue(r)
	r.cover = false
	q.vt += d.runOf(q, r)
	d.touch(q)
	q.inFlight++
	q.lastExec = d.now
	if w.out == 0 {
		w.since = d.now
	}
	placed := d.placement(q, w)
	t := attempt{w: w, group: w.Group, zone: w.Zone, sent: d.now, work: work, load: !d.warm(placed, w)}
	placed.out++
	if t.load {
		w.loads++
		placed.lead++
		placed.since = d.now
		r.loading = d.loadTime(r)
	} else {
		w.busy++
	}
	w.out++
	d.watch(w)
	w.work += work
	w.fn = q.fn
	r.tries = append(r.tries, t)
	d.do(Send{Request: r.Request, Worker: w.ID, Timeout: max(r.final-d.now, d.s.Tick)})
}

// returned ends an attempt and learns from it. What follows is decided after the events of the step: the next
// may be the client leaving.
func (d *Dispatcher) returned(e AttemptEnded) {
	r := d.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.tries) || r.tries[e.Attempt].done {
		return
	}
	t := &r.tries[e.Attempt]
	placed := d.placement(r.q, t.w)
	d.release(r, t, e.Outcome)
	switch e.Outcome {
	case OK:
		d.afterSuccess(r, t, placed, e)
	case AtCapacity:
		d.afterRefusal(r, t, e)
	case TimedOut:
		t.w.tokens = max(d.tokenStep(), t.w.tokens/2)
		d.answered(t.w, TimedOut)
		d.crowd(r.q, int(2*r.Lanes), r.Lanes, d.share(t.w) >= 1)
	default:
		d.answered(t.w, e.Outcome)
		d.failed(t.w, e)
	}
	if e.Complete || e.Outcome == OK {
		d.end(r)
		return
	}
	r.due = true
}

func (d *Dispatcher) afterSuccess(r *request, t *attempt, placed *placement, e AttemptEnded) {
	w := t.w
	d.answered(w, OK)
	w.strikes = 0
	d.judge(r, !d.late(r))
	if e.Note == StartedLoad {
		w.denied = 0
	}
	w.ejections = 0
	d.setFailing(w, w.failing*(1-meanWeight))
	placed.seen = d.now
	if !t.load {
		d.crowded *= 1 - crowdWeight
		if e.Note == StartedLoad && e.SameFunction == 0 {
			d.crowded += crowdWeight
		}
	}
	took := e.Took.Seconds()
	slow := e.Took > d.s.Classes[r.Class].LatencyObjective ||
		took > d.slower(r.Lanes)*d.usualPace()*d.classRun[r.Class]
	d.crowd(r.q, e.SameFunction, r.Lanes, slow && d.share(w) >= 1)
	waited := e.Note == StartedLoad || e.Note == AwaitedLoad
	if !waited && (e.Note == FoundWarm || !t.load) {
		r.q.run = mean(r.q.run, took)
		d.classRun[r.Class] = mean(d.classRun[r.Class], took)
		d.setPace(w, mean(w.pace, took/d.classRun[r.Class]))
		d.adjustTokens(r, w, e.Took > d.s.Classes[r.Class].LatencyObjective)
	}
}

// adjustTokens has a worker's tokens follow its pace, and an answer that was past its aim or not.
func (d *Dispatcher) adjustTokens(r *request, w *worker, pastAim bool) {
	over, step := d.slower(r.Lanes)*d.usualPace()/w.pace, d.tokenStep()
	switch {
	case (pastAim || over < 1) && w.tokens > startTokens:
		w.tokens *= paceCut
	case pastAim || over < 1: // even one at a time is too much
		w.tokens = max(step, min(1, w.tokens)*max(paceLow, min(paceCut, over)))
	case w.tokens < 1:
		w.tokens = min(1, w.tokens+step)
	case float64(w.busy+1) >= math.Floor(w.tokens):
		w.tokens++
	}
}

// tokenStep is the least part of a token, and the step below one.
func (d *Dispatcher) tokenStep() float64 { return max(partRise, 1/float64(d.s.Controllers)) }

func (d *Dispatcher) afterRefusal(r *request, t *attempt, e AttemptEnded) {
	w := t.w
	d.answered(w, OK)
	w.tokens = max(min(1, w.tokens), w.tokens/2)
	d.crowd(r.q, e.SameFunction, r.Lanes, d.share(w) >= 1)
	if len(r.tries) >= d.s.Limits.MaxAttempts {
		d.judge(r, false)
	}
	if t.load {
		d.deny(w)
	}
}

// again queues a request for another attempt, waits for one that is out, or answers.
func (d *Dispatcher) again(r *request) {
	if d.mayTry(r) && (!r.out() || r.cover) {
		d.enqueue(r)
	} else if !r.out() {
		d.finish(r)
	}
}

// release ends an attempt's hold on its worker and records whether it may have run.
func (d *Dispatcher) release(r *request, t *attempt, o Outcome) {
	t.done = true
	t.mayRun = o != AtCapacity && o != ConnectFailed && o != NotStarted && o != NotLoaded
	t.w.out--
	d.watch(t.w)
	placed := d.placement(r.q, t.w)
	placed.out--
	if t.load {
		t.w.loads--
		placed.lead--
	} else {
		t.w.busy--
	}
	if placed.out == 0 && t.w.State == Gone { // else a hot function gathers those of all workers
		delete(r.q.placements, t.w)
	}
	t.w.since = d.now
	d.touch(r.q)
	r.q.inFlight--
	r.q.lastExec = d.now
	t.w.work = max(0, t.w.work-t.work)
	switch o {
	case OK:
		d.served += t.work
	case ConnectFailed, NotStarted:
	default: // it has weighed on the worker, and may still
		t.w.credit -= t.work
	}
}

// mayRefuse: a refusal tells the client that another try does no harm.
func (d *Dispatcher) mayRefuse(r *request) bool {
	c := d.s.Classes[r.Class]
	return c.Idempotency == Idempotent || r.mayHaveRun() == nil ||
		c.Idempotency == IdempotentWithKey && c.DedupScope == AllWorkers
}

// mayTry tells whether the rules leave room for another attempt at all.
func (d *Dispatcher) mayTry(r *request) bool {
	return slices.ContainsFunc(d.order, func(w *worker) bool { return d.maySend(r, w) })
}

// maySend keeps the rules on effects for one more attempt at a worker.
func (d *Dispatcher) maySend(r *request, w *worker) bool {
	if r.ended || w.State != Ready || len(r.tries) >= d.s.Limits.MaxAttempts || d.now >= r.final {
		return false
	}
	for i := range r.tries {
		t := &r.tries[i]
		if !t.done && (!d.s.Limits.HedgedRequests || !t.left && !r.cover || t.w == w) {
			return false
		}
	}
	first := r.mayHaveRun()
	c := d.s.Classes[r.Class]
	switch {
	case first == nil || c.Idempotency == Idempotent:
		return true
	case c.Idempotency == NonIdempotent:
		return false
	}
	return d.now < first.sent+c.DedupWindow-d.s.Tick && (c.DedupScope == AllWorkers ||
		c.DedupScope == SameZone && w.Zone == first.zone ||
		c.DedupScope == SameGroup && w.Group == first.group)
}

// rescue finds another worker for what waits on one that no longer answers.
func (d *Dispatcher) rescue(w *worker) {
	if w.out == 0 {
		return
	}
	for _, r := range d.open {
		for i := range r.tries {
			t := &r.tries[i]
			if r.ended || r.waiting || t.w != w || t.done ||
				d.s.Classes[r.Class].Idempotency == NonIdempotent {
				continue
			}
			if r.cover = d.s.Limits.HedgedRequests; !r.cover && len(r.tries) < d.s.Limits.MaxAttempts {
				d.cancel(r, i)
			} else if r.cover && d.mayTry(r) {
				d.enqueue(r)
			}
		}
	}
}
