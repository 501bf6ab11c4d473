package hookengine

import (
	"slices"
	"time"

	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
)

// maxIdle is how long the engine's goroutine waits at most when nothing is due.
const maxIdle = time.Hour

// run is the engine's goroutine.
func (e *Engine) run() {
	defer close(e.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.stop:
			e.shutDown()
			return
		case <-e.wake:
		case request := <-e.requests:
			request()
		case j := <-e.queue:
			e.process(j)
		case <-timer.C:
		}
		if workers := e.workers.Swap(nil); workers != nil {
			e.advise(hookadvice.WorkerList{Workers: *workers})
		}
		e.applyChanges()
		now := e.config.Clock.Now()
		e.runTimers(now)
		e.lifecycle.StartProbes(now)
		e.advise()
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

// nextDue returns when the engine's goroutine has something to do next if nothing comes.
func (e *Engine) nextDue(now time.Duration) time.Duration {
	due := now + maxIdle
	consider := func(at time.Duration) {
		if at > 0 {
			due = min(due, at)
		}
	}
	consider(e.lifecycle.NextProbe())
	consider(e.table.NextExpiry())
	for _, loaded := range e.active {
		if loaded.interval > 0 {
			consider(loaded.nextTick)
		}
		if loaded.unsaved {
			consider(e.lastSaved + e.config.SaveInterval)
		}
	}
	return due
}

// runTimers runs the handlers of timers that are due. Ticks that were missed are not made up for.
func (e *Engine) runTimers(now time.Duration) {
	for _, s := range e.lifecycle.Scripts {
		loaded := e.active[s.Name]
		if loaded == nil || loaded.interval == 0 || now < loaded.nextTick {
			continue
		}
		loaded.ticks++
		loaded.nextTick += loaded.interval
		if loaded.nextTick <= now {
			loaded.nextTick = now + loaded.interval
		}
		open := 0
		if e.config.CallsInFlight != nil {
			open = e.config.CallsInFlight()
		}
		e.handle(s, "timer", hooklang.Tick{Count: loaded.ticks, Open: open}, now)
	}
}

// process takes a job from the queue.
func (e *Engine) process(j job) {
	if j.run != nil {
		e.recordInline(j)
		return
	}
	for _, s := range slices.Clone(e.lifecycle.Scripts) {
		e.handle(s, j.point, j.event, e.config.Clock.Now())
	}
}

// recordInline counts a run that was made on the goroutine of a call, and has the shadow see its event.
func (e *Engine) recordInline(j job) {
	run := j.run
	e.lifecycle.RecordRun(j.at, run.script, run.version, run.fault, run.fuel)
	if run.fault != "" {
		e.Counts.Faults.Add(1)
	}
	e.logLines(run.script, run.advice)
	if shadow := e.shadows[run.script]; shadow != nil && j.event != nil {
		e.runShadow(shadow, j.point, j.event, run.advice, run.fault)
	}
}

// handle runs a script's handler of an event, and then its shadow's.
func (e *Engine) handle(s *Script, point string, event hooklang.Event, now time.Duration) {
	live, shadow := e.active[s.Name], e.shadows[s.Name]
	if live == nil || !live.program.HasHandler(point) {
		if live != nil && shadow != nil && shadow.program.HasHandler(point) {
			e.runShadow(shadow, point, event, nil, "")
		}
		return
	}
	if !e.lifecycle.WithinRate(now, &s.LiveStats) {
		return // the shadow does not see it either, as there is nothing to compare it with
	}
	result, err := e.runAside(live, point, event)
	s.LiveStats.debt += result.Fuel
	fault := ""
	if err != nil {
		fault = err.Error()
		e.Counts.Faults.Add(1)
	} else if result.State != live.state {
		live.state = result.State
		live.unsaved = true
		if live.program.HasHandler("arrive") {
			e.publish()
		}
	}
	e.lifecycle.RecordRun(now, s.Name, live.version, fault, result.Fuel)
	if len(result.Advice) > 0 {
		items := e.logLines(s.Name, result.Advice)
		e.advise(hookadvice.AdviceGiven{Script: s.Name, Version: live.version, Items: items})
	}
	if shadow := e.shadows[s.Name]; shadow != nil {
		e.runShadow(shadow, point, event, result.Advice, fault)
	}
}

// logLines writes the lines that a run logs, and returns the rest of its advice.
func (e *Engine) logLines(script string, advice []hooklang.Advice) (rest []hooklang.Advice) {
	for _, item := range advice {
		if item.Kind == "log" {
			e.config.Log.Info().Str("script", script).Msg(item.Text)
		} else {
			rest = append(rest, item)
		}
	}
	return rest
}

// runAside runs a handler on the engine's goroutine.
func (e *Engine) runAside(loaded *loadedVersion, point string, event hooklang.Event) (hooklang.Result, error) {
	begin := time.Now()
	limits := e.config.BackgroundLimits
	if point == "arrive" {
		limits = e.config.InlineLimits
	}
	limits.Stop = func() bool { return time.Since(begin) > e.config.RunTimeout }
	env := hooklang.Env{Now: int64(e.config.Clock.Now()), Wall: e.config.Clock.Wall().Unix()}
	result, err := e.vm.Run(loaded.program, point, event, loaded.state, env, limits)
	e.Counts.BackgroundRuns.Add(1)
	e.Counts.BackgroundNanos.Add(int64(time.Since(begin)))
	return result, err
}

// runShadow runs a shadow's handler of an event that the live version has seen, and compares the two: liveAdvice
// and liveFault are the outcome of the live version. The shadow's advice is not followed.
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
	result, err := e.runAside(shadow, point, event)
	if err != nil {
		e.lifecycle.RecordShadowRun(shadow.script, shadow.version, err.Error(), result.Fuel, false)
		return
	}
	shadow.state = result.State
	same := liveFault == "" && slices.Equal(result.Advice, liveAdvice)
	e.lifecycle.RecordShadowRun(shadow.script, shadow.version, "", result.Fuel, same)
}
