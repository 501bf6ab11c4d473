package hookengine

import (
	"slices"
	"time"

	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
)

// maxIdle is the longest time that the engine's goroutine waits when nothing is due.
const maxIdle = time.Hour

// run is the main loop of the engine's goroutine.
func (e *Engine) run() {
	defer close(e.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.stop:
			e.shutDown()
			return
		case <-e.workersChanged:
		case command := <-e.commands:
			command()
		case j := <-e.queue:
			e.processJob(j)
		case <-timer.C:
		}
		if workers := e.workers.Swap(nil); workers != nil {
			e.stepAdvice(hookadvice.WorkerList{Workers: *workers})
		}
		e.applyChanges()
		now := e.config.Clock.Now()
		e.runTimers(now)
		e.lifecycle.StartProbes(now)
		e.stepAdvice()
		e.applyChanges()
		e.saveStates(false)
		timer.Reset(max(time.Millisecond, min(e.nextDue(now)-now, maxIdle)))
	}
}

func (e *Engine) shutDown() {
	if !e.killed.Load() {
		e.saveStates(true)
	}
	if e.log != nil {
		e.log.Close()
	}
}

// nextDue returns the time at which the engine's goroutine must act next, even without new input.
func (e *Engine) nextDue(now time.Duration) time.Duration {
	due := now + maxIdle
	consider := func(at time.Duration) {
		if at > 0 {
			due = min(due, at)
		}
	}
	consider(e.lifecycle.NextProbe())
	consider(e.table.NextExpiry())
	for _, loaded := range e.live {
		if loaded.interval > 0 {
			consider(loaded.nextTick)
		}
		if loaded.unsaved {
			consider(e.lastSaved + e.config.SaveInterval)
		}
	}
	return due
}

// runTimers runs the timer handlers that are due. Missed ticks are skipped.
func (e *Engine) runTimers(now time.Duration) {
	for _, s := range e.lifecycle.Scripts {
		loaded := e.live[s.Name]
		if loaded == nil || loaded.interval == 0 || now < loaded.nextTick {
			continue
		}
		loaded.ticks++
		loaded.nextTick += loaded.interval
		if loaded.nextTick <= now {
			loaded.nextTick = now + loaded.interval
		}
		inFlight := 0
		if e.config.CallsInFlight != nil {
			inFlight = e.config.CallsInFlight()
		}
		e.handleEvent(s, "timer", hooklang.Tick{Count: loaded.ticks, Open: inFlight}, now)
	}
}

// processJob handles a job from the queue.
func (e *Engine) processJob(j job) {
	if j.run != nil {
		e.recordInlineRun(j)
		return
	}
	for _, s := range slices.Clone(e.lifecycle.Scripts) {
		e.handleEvent(s, j.point, j.event, e.config.Clock.Now())
	}
}

// recordInlineRun records a run that took place on the goroutine of a call, and runs the shadow for
// the same event.
func (e *Engine) recordInlineRun(j job) {
	run := j.run
	e.lifecycle.RecordRun(j.at, run.script, run.version, run.fault, run.fuel)
	if run.fault != "" {
		e.Counts.Faults.Add(1)
	}
	e.writeLogLines(run.script, run.advice)
	if shadow := e.shadows[run.script]; shadow != nil && j.event != nil {
		e.runShadow(shadow, j.point, j.event, run.advice, run.fault)
	}
}

// handleEvent runs a script's handler for an event, and then that of its shadow.
func (e *Engine) handleEvent(s *Script, point string, event hooklang.Event, now time.Duration) {
	live, shadow := e.live[s.Name], e.shadows[s.Name]
	if live == nil || !live.program.HasHandler(point) {
		if live != nil && shadow != nil && shadow.program.HasHandler(point) {
			e.runShadow(shadow, point, event, nil, "")
		}
		return
	}
	if !e.lifecycle.WithinRate(now, &s.LiveStats) {
		return // the shadow skips the event too, as there is no run to compare it with
	}
	result, err := e.runInBackground(live, point, event)
	s.LiveStats.instructionDebt += result.Fuel
	fault := ""
	if err != nil {
		fault = err.Error()
		e.Counts.Faults.Add(1)
	} else if result.State != live.state {
		live.state = result.State
		live.unsaved = true
		if live.program.HasHandler("arrive") {
			e.publishHandlers()
		}
	}
	e.lifecycle.RecordRun(now, s.Name, live.version, fault, result.Fuel)
	if len(result.Advice) > 0 {
		items := e.writeLogLines(s.Name, result.Advice)
		e.stepAdvice(hookadvice.AdviceGiven{Script: s.Name, Version: live.version, Items: items})
	}
	if shadow := e.shadows[s.Name]; shadow != nil {
		e.runShadow(shadow, point, event, result.Advice, fault)
	}
}

// writeLogLines writes the items of advice that are log lines to the log, and returns the others.
func (e *Engine) writeLogLines(script string, advice []hooklang.Advice) (rest []hooklang.Advice) {
	for _, item := range advice {
		if item.Kind == "log" {
			e.config.Log.Info().Str("script", script).Msg(item.Text)
		} else {
			rest = append(rest, item)
		}
	}
	return rest
}

// runInBackground runs a handler on the engine's goroutine.
func (e *Engine) runInBackground(loaded *loadedVersion, point string, event hooklang.Event) (hooklang.Result, error) {
	start := time.Now()
	limits := e.config.BackgroundLimits
	if point == "arrive" {
		limits = e.config.InlineLimits
	}
	configuredStop := limits.Stop
	limits.Stop = func() bool {
		return time.Since(start) > e.config.RunTimeout || configuredStop != nil && configuredStop()
	}
	env := hooklang.Env{Now: int64(e.config.Clock.Now()), Wall: e.config.Clock.Wall().Unix()}
	monitored := e.monitor.begin(loaded.script, loaded.version, point)
	result, err := e.vm.Run(loaded.program, point, event, loaded.state, env, limits)
	e.monitor.end(monitored)
	e.Counts.BackgroundRuns.Add(1)
	e.Counts.BackgroundNanos.Add(int64(time.Since(start)))
	return result, err
}

// runShadow runs the handler of a shadow for an event that the live version has handled, and
// compares the outcomes: liveAdvice and liveFault are those of the live version. The advice of the
// shadow is not followed.
func (e *Engine) runShadow(
	shadow *loadedVersion, point string, event hooklang.Event, liveAdvice []hooklang.Advice, liveFault string,
) {
	if !shadow.program.HasHandler(point) {
		e.lifecycle.RecordShadowRun(shadow.script, shadow.version, "", 0, len(liveAdvice) == 0)
		return
	}
	s := e.lifecycle.Find(shadow.script)
	if s == nil || !e.lifecycle.WithinRate(e.config.Clock.Now(), &s.ShadowStats) {
		return
	}
	result, err := e.runInBackground(shadow, point, event)
	if err != nil {
		e.lifecycle.RecordShadowRun(shadow.script, shadow.version, err.Error(), result.Fuel, false)
		return
	}
	shadow.state = result.State
	same := liveFault == "" && slices.Equal(result.Advice, liveAdvice)
	e.lifecycle.RecordShadowRun(shadow.script, shadow.version, "", result.Fuel, same)
}
