package gateway

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"kitehub/internal/backend"
	"kitehub/scheduler"
)

// Run steps the dispatcher until Stop or Kill. It is the loop: call it once, on its own goroutine.
//
// The loop makes at most one step per tick, so events that arrive within a tick are decided
// together. For the rest of a tick it waits on a runtime timer, which may fire up to a millisecond
// late. A thread that sleeps in a system call would be on time, but on a machine with one processor
// it holds that processor until the runtime retakes it some milliseconds later. Readers and answers
// would then wait between any two steps.
func (g *Gateway) Run() {
	defer close(g.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	tick := g.cfg.Settings.Tick
	lastStep := g.cfg.Clock.Now() - tick
	awaitingTick := false // an event has arrived and waits for the end of the tick
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

// untilNextStep returns how long the loop waits for an event before it steps anyway.
func (g *Gateway) untilNextStep(lastStep time.Duration, awaitingTick bool) time.Duration {
	now := g.cfg.Clock.Now()
	tickEnd := lastStep + g.cfg.Settings.Tick
	switch {
	case awaitingTick:
		return max(0, tickEnd-now)
	case g.nextWake > 0:
		return max(0, max(g.nextWake, tickEnd)-now)
	}
	return time.Hour
}

// recordStepDelay records by how much a step runs later than the dispatcher asked for.
func (g *Gateway) recordStepDelay(now time.Duration) {
	if g.nextWake > 0 {
		storeMax(&g.Counts.MaxStepDelayNanos, int64(now-g.nextWake))
	}
}

// recordStep counts a step of the dispatcher.
func (g *Gateway) recordStep(took time.Duration, events int) {
	counts := &g.Counts
	counts.Steps.Add(1)
	counts.StepNanos.Add(int64(took))
	storeMax(&counts.MaxStepNanos, int64(took))
	storeMax(&counts.MaxStepEvents, int64(events))
}

// storeMax raises a counter that only the loop writes to a value, if it is lower.
func storeMax(counter *atomic.Int64, value int64) {
	if value > counter.Load() {
		counter.Store(value)
	}
}

// step runs one iteration of the loop: it takes events in, steps the dispatcher and executes its
// actions.
func (g *Gateway) step(now time.Duration) {
	events, calls, results := g.takePending()
	for i := range events {
		events[i] = g.applyEvent(events[i], calls, results, now)
	}
	if g.takeRecheckPending() {
		events = append(events, g.supersedeStale(now)...)
	}
	events = append(events, g.dueTimers(now)...)
	start := g.cfg.Clock.Now()
	actions, err := g.stepDispatcher(now, events)
	g.recordStep(g.cfg.Clock.Now()-start, len(events))
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

// takePending removes and returns all pending events, with their calls and results.
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
	if g.pendingList != nil { // goes first, as the events after it may concern its workers
		events = append([]scheduler.Event{*g.pendingList}, events...)
		g.pendingList = nil
	}
	return events, calls, results
}

// applyEvent updates the loop's state for an event, and returns the event to hand to the
// dispatcher.
func (g *Gateway) applyEvent(e scheduler.Event, calls map[scheduler.RequestID]*Call,
	results map[attemptKey]backend.Result, now time.Duration) scheduler.Event {
	switch e := e.(type) {
	case scheduler.Arrival:
		c := calls[e.Request]
		g.inFlight[e.Request] = newRequest(c)
		e.TimeLeft -= now - c.submittedAt // time spent waiting for the loop
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

// dueTimers removes the wakeups that are due and returns their timer events. It sets nextWake to 0:
// step recomputes it.
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

// stepDispatcher steps the dispatcher and turns a panic into an error.
func (g *Gateway) stepDispatcher(now time.Duration, events []scheduler.Event) (actions []scheduler.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("dispatcher panicked: %v", p)
		}
	}()
	return g.dispatcher.Step(now, events), nil
}

// errStopped means that the loop has ended.
var errStopped = errors.New("gateway: stopped")

// runOnLoop has the loop run a task between two steps, and waits until the task has finished. It
// returns errStopped if the loop ends first.
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

// Alive waits until the loop has run an empty task. It returns an error if the loop has ended.
func (g *Gateway) Alive() error { return g.runOnLoop(func() {}) }
