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
		case g.timer > 0:
			wait = max(g.timer, last+tick) - now
		}
		timer.Reset(max(0, wait))
		select {
		case <-g.halt:
			if !g.killed.Load() {
				g.rest()
			}
			return
		case f := <-g.asked:
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
		if late := int64(last - g.timer); g.timer > 0 && late > g.Counts.MaxStepDelayNanos.Load() {
			g.Counts.MaxStepDelayNanos.Store(late)
		}
		g.step(last)
	}
}

// step is one turn: events in, actions out.
func (g *Gateway) step(now time.Duration) {
	events, calls, results := g.take()
	for i := range events {
		events[i] = g.receive(events[i], calls, results, now)
	}
	if g.takeMoved() {
		events = append(events, g.sweep(now)...)
	}
	events = append(events, g.dueTimers(now)...)
	start := g.cfg.Clock.Now()
	actions, err := g.decide(now, events)
	g.Counts.StepNanos.Add(int64(g.cfg.Clock.Now() - start))
	g.Counts.Steps.Add(1)
	if err != nil {
		g.crashed(err, now)
		return
	}
	for _, a := range actions {
		g.carry(a, now)
	}
	for _, w := range g.tokens {
		if g.timer == 0 || w.At < g.timer {
			g.timer = w.At
		}
	}
}

// receive notes an event that has come, and returns it as the module is to have it.
func (g *Gateway) receive(e scheduler.Event, calls map[scheduler.RequestID]*Call, results map[result]backend.Result, now time.Duration) scheduler.Event {
	switch e := e.(type) {
	case scheduler.Arrival:
		c := calls[e.Request]
		g.table[e.Request] = &entry{call: c, at: c.at}
		e.TimeLeft -= now - c.at // it has waited for the loop
		return e
	case scheduler.ClientGone:
		if r := g.table[e.Request]; r != nil && r.claim(ClientClosed) {
			g.answer(e.Request, r, Answer{Kind: ClientClosed}, now)
		}
	case scheduler.AttemptEnded:
		g.returned(e, results[result{e.Request, e.Attempt}], now)
	case scheduler.ListUpdate:
		g.cfg.Log.Info().Int("workers", len(e.Workers)).Uint32("version", e.Version).Int("kind", int(e.Kind)).Msg("list")
	}
	return e
}

// takeMoved tells whether aliases have moved since it was asked last.
func (g *Gateway) takeMoved() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	moved := g.moved
	g.moved = false
	return moved
}

// dueTimers returns the timers that have come due, and forgets them.
func (g *Gateway) dueTimers(now time.Duration) (due []scheduler.Event) {
	g.timer = 0
	for _, w := range g.tokens {
		if w.At <= now {
			due = append(due, scheduler.Timer{Token: w.Token})
		}
	}
	g.tokens = keep(g.tokens, func(w scheduler.Wake) bool { return w.At > now })
	return due
}

func keep[T any](l []T, f func(T) bool) []T {
	kept := l[:0]
	for _, v := range l {
		if f(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

func (g *Gateway) take() ([]scheduler.Event, map[scheduler.RequestID]*Call, map[result]backend.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	events, calls, results := g.in, g.calls, g.results
	g.in = nil
	if len(calls) > 0 {
		g.calls = make(map[scheduler.RequestID]*Call, len(calls))
	}
	if len(results) > 0 {
		g.results = make(map[result]backend.Result, len(results))
	}
	if g.list != nil { // first, as the events that follow may be of its workers
		events = append([]scheduler.Event{*g.list}, events...)
		g.list = nil
	}
	return events, calls, results
}

func (g *Gateway) decide(now time.Duration, events []scheduler.Event) (a []scheduler.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("module crashed: %v", p)
		}
	}()
	return g.d.Step(now, events), nil
}

// Sweep looks for calls whose version was left while they wait. It is called when aliases have moved.
func (g *Gateway) Sweep() {
	g.mu.Lock()
	g.moved = true
	g.mu.Unlock()
	g.poke()
}

// sweep hands back the calls that have been left, and returns what the module is to be told.
func (g *Gateway) sweep(now time.Duration) (events []scheduler.Event) {
	for _, id := range sortedKeys(g.table) {
		r := g.table[id]
		if r.noted || r.claimed.Load() != 0 {
			continue
		}
		v := g.verdict(r.call)
		// While the move is not acknowledged, what runs goes on, and what does not run begins anew.
		leave := v == registry.Superseded || v == registry.BeingSuperseded && !r.mayHaveRun() && r.out == 0 && r.call.Binding.Restarts < registry.MaxRestarts
		if leave && g.leave(id, r, v, now) {
			events = append(events, scheduler.ClientGone{Request: id})
		}
	}
	return events
}

// crashed answers all that is open and begins anew: a fault in the module costs what it knew, not the process.
func (g *Gateway) crashed(err error, now time.Duration) {
	g.Counts.Crashes.Add(1)
	g.cfg.Log.Error().Err(err).Int("open", g.Open()).Msg("all open requests are answered, the module starts anew")
	g.answerAll(now)
	g.crash++
	d, err := scheduler.New(g.cfg.Settings, g.cfg.Seed+g.crash)
	if err != nil {
		panic(err) // it took these settings before
	}
	g.d, g.tokens = d, nil
	g.mu.Lock()
	l := g.names.whole(scheduler.CachedList)
	g.list = &l
	g.mu.Unlock()
	g.poke()
}

// answerAll answers all that is open: refused where another try does no harm, as it is known never to have run or may run twice.
func (g *Gateway) answerAll(now time.Duration) {
	for _, id := range sortedKeys(g.table) {
		r := g.table[id]
		for i := range r.tries {
			if run := r.tries[i].run; run != nil {
				run.Cancel()
			}
		}
		if r.noted {
			continue
		}
		k := Failed
		if !r.mayHaveRun() || g.cfg.Settings.Classes[r.call.Function.Class].Idempotency == scheduler.Idempotent {
			k = Rejected
		}
		if r.claim(k) {
			g.answer(id, r, Answer{Kind: k}, now)
		} else { // answered, and its event was not taken in
			g.note(id, r, Answer{Kind: AnswerKind(r.claimed.Load())}, now)
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
	for g.open.Load() > 0 && time.Now().Before(end) {
		time.Sleep(g.cfg.Settings.Tick)
	}
	close(g.halt)
	<-g.done
}

// Kill ends Run with nobody answered, as the end of the process would.
func (g *Gateway) Kill() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.killed.Store(true)
	close(g.halt)
}

// rest ends the loop: what arrived last is taken in and answered too.
func (g *Gateway) rest() {
	now := g.cfg.Clock.Now()
	events, calls, results := g.take()
	for _, e := range events {
		switch e := e.(type) {
		case scheduler.Arrival:
			g.table[e.Request] = &entry{call: calls[e.Request], at: calls[e.Request].at}
		case scheduler.AttemptEnded:
			g.returned(e, results[result{e.Request, e.Attempt}], now)
		}
	}
	g.answerAll(now)
}
