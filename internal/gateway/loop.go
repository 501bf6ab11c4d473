package gateway

import (
	"errors"
	"fmt"
	"time"

	"kitehub/internal/backend"
	"kitehub/scheduler"
)

// Run steps the dispatcher until Stop or Kill. It is the loop: it must be called once, on a goroutine of its own.
//
// It makes at most one step a tick: what comes meanwhile is decided together. The rest of a tick is waited for by the
// runtime's timer, which may come up to a millisecond late. A thread that sleeps by itself would be on time, but where
// there is one processor it holds that processor until the runtime takes it away some milliseconds later: readers and
// answers would then wait between all steps.
func (g *Gateway) Run() {
	defer close(g.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	tick := g.cfg.Settings.Tick
	lastStep := g.cfg.Clock.Now() - tick
	awaitingTick := false // events have come, and wait for the tick to be over
	for {
		wake := g.wake
		if awaitingTick {
			wake = nil
		}
		timer.Reset(g.untilNextStep(lastStep, awaitingTick))
		select {
		case <-g.stop:
			if !g.killed.Load() {
				g.shutDown()
			}
			return
		case task := <-g.loopTasks:
			task()
			continue
		case <-wake:
			awaitingTick = g.cfg.Clock.Now() < lastStep+tick
			if awaitingTick {
				continue
			}
		case <-timer.C:
		}
		awaitingTick = false
		lastStep = g.cfg.Clock.Now()
		g.recordStepDelay(lastStep)
		g.step(lastStep)
	}
}

// untilNextStep returns how long the loop waits for something to come before it steps anyway.
func (g *Gateway) untilNextStep(lastStep time.Duration, awaitingTick bool) time.Duration {
	now := g.cfg.Clock.Now()
	tickOver := lastStep + g.cfg.Settings.Tick
	switch {
	case awaitingTick:
		return max(0, tickOver-now)
	case g.nextWake > 0:
		return max(0, max(g.nextWake, tickOver)-now)
	}
	return time.Hour
}

// recordStepDelay notes how much later than the dispatcher asked for a step comes.
func (g *Gateway) recordStepDelay(now time.Duration) {
	if delay := int64(now - g.nextWake); g.nextWake > 0 && delay > g.Counts.MaxStepDelayNanos.Load() {
		g.Counts.MaxStepDelayNanos.Store(delay)
	}
}

// step is one turn of the loop: events in, actions out.
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

// takePending empties the queue of events.
func (g *Gateway) takePending() ([]scheduler.Event, map[scheduler.RequestID]*Call, map[attemptKey]backend.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	events := g.pendingEvents
	calls := g.pendingCalls
	results := g.pendingResults
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

// receive notes an event that has come, and returns it as the dispatcher is to have it.
func (g *Gateway) receive(e scheduler.Event, calls map[scheduler.RequestID]*Call,
	results map[attemptKey]backend.Result, now time.Duration) scheduler.Event {
	switch e := e.(type) {
	case scheduler.Arrival:
		c := calls[e.Request]
		g.inFlight[e.Request] = &request{call: c, submittedAt: c.submittedAt}
		e.TimeLeft -= now - c.submittedAt // it has waited for the loop
		return e
	case scheduler.ClientClosed:
		if r := g.inFlight[e.Request]; r != nil && r.claim(ClientClosed) {
			g.answer(e.Request, r, Answer{Kind: ClientClosed}, now)
		}
	case scheduler.AttemptEnded:
		g.recordAttemptEnd(e, results[attemptKey{e.Request, e.Attempt}], now)
	case scheduler.ListUpdate:
		g.cfg.Log.Info().Int("workers", len(e.Workers)).Uint32("version", e.Version).Int("kind", int(e.Kind)).
			Msg("endpoint list applied")
	}
	return e
}

// dueTimers returns the timers that have come due, and forgets them.
func (g *Gateway) dueTimers(now time.Duration) (due []scheduler.Event) {
	g.nextWake = 0
	later := g.wakeups[:0]
	for _, w := range g.wakeups {
		if w.At <= now {
			due = append(due, scheduler.Timer{Token: w.Token})
		} else {
			later = append(later, w)
		}
	}
	g.wakeups = later
	return due
}

// decide steps the dispatcher. A panic of it is an error.
func (g *Gateway) decide(now time.Duration, events []scheduler.Event) (actions []scheduler.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("dispatcher crashed: %v", p)
		}
	}()
	return g.dispatcher.Step(now, events), nil
}

// errStopped is that the loop has ended.
var errStopped = errors.New("gateway: stopped")

// runOnLoop has the loop run a task between two steps, and waits for its end. It returns errStopped if the loop ends
// first.
func (g *Gateway) runOnLoop(task func()) error {
	finished := make(chan struct{})
	select {
	case g.loopTasks <- func() { task(); close(finished) }:
	case <-g.done:
		return errStopped
	}
	select {
	case <-finished:
		return nil
	case <-g.done:
		return errStopped
	}
}

// Alive returns once the loop has taken a turn, or an error if it has ended.
func (g *Gateway) Alive() error { return g.runOnLoop(func() {}) }
