package gateway

import (
	"fmt"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/registry"
	"kitehub/scheduler"
)

// Run steps the module until Stop. It is to be called once.
//
// At most one step a tick: what comes meanwhile is decided together. The rest of a tick is waited for by the runtime's timer, which
// may come up to a millisecond late. A thread that sleeps by itself would be on time, but where there is one processor it holds that
// processor, until the runtime takes it away some milliseconds later: readers and answers then stand still between all steps.
func (g *Gateway) Run() {
	defer close(g.done)
	tick := g.cfg.Settings.Tick
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	last := g.cfg.Clock.Now() - tick
	waiting := false // something has come, and waits for the tick to be over
	for {
		now, wait, wake := g.cfg.Clock.Now(), time.Hour, g.wake
		switch {
		case waiting:
			wait, wake = last+tick-now, nil
		case g.nextWake > 0:
			wait = max(g.nextWake, last+tick) - now
		}
		timer.Reset(max(0, wait))
		select {
		case <-g.stop:
			if !g.killed.Load() {
				g.shutDown()
			}
			return
		case f := <-g.loopTasks:
			f()
			continue
		case <-wake:
			if waiting = g.cfg.Clock.Now() < last+tick; waiting {
				continue
			}
		case <-timer.C:
		}
		waiting = false
		last = g.cfg.Clock.Now()
		if late := int64(last - g.nextWake); g.nextWake > 0 && late > g.Counts.MaxStepDelayNanos.Load() {
			g.Counts.MaxStepDelayNanos.Store(late)
		}
		g.step(last)
	}
}

// step is one turn: events in, actions out.
func (g *Gateway) step(now time.Duration) {
	events, calls, results := g.takePending()
	for i := range events {
		events[i] = g.receive(events[i], calls, results, now)
	}
	if g.takeRecheckPending() {
		events = append(events, g.supersedeStale(now)...)
	}
	events = append(events, g.dueTimers(now)...)
	start := g.cfg.Clock.Now()
	actions, err := g.decide(now, events)
	g.Counts.StepNanos.Add(int64(g.cfg.Clock.Now() - start))
	g.Counts.Steps.Add(1)
	if err != nil {
		g.restartDispatcher(err, now)
		return
	}
	for _, a := range actions {
		g.execute(a, now)
	}
	for _, w := range g.wakeups {
		if g.nextWake == 0 || w.At < g.nextWake {
			g.nextWake = w.At
		}
	}
}

// receive notes an event that has come, and returns it as the module is to have it.
func (g *Gateway) receive(e scheduler.Event, calls map[scheduler.RequestID]*Call, results map[attemptKey]backend.Result, now time.Duration) scheduler.Event {
	switch e := e.(type) {
	case scheduler.Arrival:
		c := calls[e.Request]
		g.inFlight[e.Request] = &request{call: c, submittedAt: c.submittedAt}
		e.TimeLeft -= now - c.submittedAt // it has waited for the loop
		return e
	case scheduler.ClientGone:
		if r := g.inFlight[e.Request]; r != nil && r.claim(ClientClosed) {
			g.answer(e.Request, r, Answer{Kind: ClientClosed}, now)
		}
	case scheduler.AttemptEnded:
		g.recordAttemptEnd(e, results[attemptKey{e.Request, e.Attempt}], now)
	case scheduler.ListUpdate:
		g.cfg.Log.Info().Int("workers", len(e.Workers)).Uint32("version", e.Version).Int("kind", int(e.Kind)).Msg("list")
	}
	return e
}

// takeRecheckPending tells whether aliases have moved since it was asked last.
func (g *Gateway) takeRecheckPending() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	moved := g.recheckPending
	g.recheckPending = false
	return moved
}

// dueTimers returns the timers that have come due, and forgets them.
func (g *Gateway) dueTimers(now time.Duration) (due []scheduler.Event) {
	g.nextWake = 0
	for _, w := range g.wakeups {
		if w.At <= now {
			due = append(due, scheduler.Timer{Token: w.Token})
		}
	}
	g.wakeups = filterInPlace(g.wakeups, func(w scheduler.Wake) bool { return w.At > now })
	return due
}

func filterInPlace[T any](l []T, f func(T) bool) []T {
	kept := l[:0]
	for _, v := range l {
		if f(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

func (g *Gateway) takePending() ([]scheduler.Event, map[scheduler.RequestID]*Call, map[attemptKey]backend.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	events, calls, results := g.pendingEvents, g.pendingCalls, g.pendingResults
	g.pendingEvents = nil
	if len(calls) > 0 {
		g.pendingCalls = make(map[scheduler.RequestID]*Call, len(calls))
	}
	if len(results) > 0 {
		g.pendingResults = make(map[attemptKey]backend.Result, len(results))
	}
	if g.pendingList != nil { // first, as the events that follow may be of its workers
		events = append([]scheduler.Event{*g.pendingList}, events...)
		g.pendingList = nil
	}
	return events, calls, results
}

func (g *Gateway) decide(now time.Duration, events []scheduler.Event) (a []scheduler.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("module crashed: %v", p)
		}
	}()
	return g.dispatcher.Step(now, events), nil
}

// RecheckVersions looks for calls whose version was left while they wait. It is called when aliases have moved.
func (g *Gateway) RecheckVersions() {
	g.mu.Lock()
	g.recheckPending = true
	g.mu.Unlock()
	g.wakeLoop()
}

// supersedeStale hands back the calls that have been left, and returns what the module is to be told.
func (g *Gateway) supersedeStale(now time.Duration) (events []scheduler.Event) {
	for _, id := range sortedKeys(g.inFlight) {
		r := g.inFlight[id]
		if r.recorded || r.claimed.Load() != 0 {
			continue
		}
		v := g.verdict(r.call)
		// While the move is not acknowledged, what runs goes on, and what does not run begins anew.
		leave := v == registry.Left || v == registry.Leaving && !r.mayHaveRun() && r.outstanding == 0 && r.call.Binding.Restarts < registry.MostAnew
		if leave && g.supersede(id, r, v, now) {
			events = append(events, scheduler.ClientGone{Request: id})
		}
	}
	return events
}

// restartDispatcher answers all that is open and begins anew: a fault in the module costs what it knew, not the process.
func (g *Gateway) restartDispatcher(err error, now time.Duration) {
	g.Counts.Crashes.Add(1)
	g.cfg.Log.Error().Err(err).Int("open", g.Open()).Msg("all open requests are answered, the module starts anew")
	g.answerAll(now)
	g.restarts++
	d, err := scheduler.New(g.cfg.Settings, g.cfg.Seed+g.restarts)
	if err != nil {
		panic(err) // it took these settings before
	}
	g.dispatcher, g.wakeups = d, nil
	g.mu.Lock()
	l := g.directory.fullUpdate(scheduler.CachedList)
	g.pendingList = &l
	g.mu.Unlock()
	g.wakeLoop()
}

// answerAll answers all that is open: refused where another try does no harm, as it is known never to have run or may run twice.
func (g *Gateway) answerAll(now time.Duration) {
	for _, id := range sortedKeys(g.inFlight) {
		r := g.inFlight[id]
		for i := range r.attempts {
			if run := r.attempts[i].running; run != nil {
				run.Cancel()
			}
		}
		if r.recorded {
			continue
		}
		k := Failed
		if !r.mayHaveRun() || g.cfg.Settings.Classes[r.call.Function.Class].Idempotency == scheduler.Idempotent {
			k = Rejected
		}
		if r.claim(k) {
			g.answer(id, r, Answer{Kind: k}, now)
		} else { // answered, and its event was not taken in
			g.recordAnswer(id, r, Answer{Kind: AnswerKind(r.claimed.Load())}, now)
		}
	}
}

// Stop takes nothing more, waits until all that is in hand is answered or the time is up, answers the rest, and
// ends Run.
func (g *Gateway) Stop(within time.Duration) {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	end := time.Now().Add(within)
	for g.openCount.Load() > 0 && time.Now().Before(end) {
		time.Sleep(g.cfg.Settings.Tick)
	}
	close(g.stop)
	<-g.done
}

// Kill ends Run with nobody answered, as the end of the process would.
func (g *Gateway) Kill() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.killed.Store(true)
	close(g.stop)
}

// shutDown ends the loop: what arrived last is taken in and answered too.
func (g *Gateway) shutDown() {
	now := g.cfg.Clock.Now()
	events, calls, results := g.takePending()
	for _, e := range events {
		switch e := e.(type) {
		case scheduler.Arrival:
			g.inFlight[e.Request] = &request{call: calls[e.Request], submittedAt: calls[e.Request].submittedAt}
		case scheduler.AttemptEnded:
			g.recordAttemptEnd(e, results[attemptKey{e.Request, e.Attempt}], now)
		}
	}
	g.answerAll(now)
}
