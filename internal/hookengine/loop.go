package hookengine

import (
	"slices"
	"time"

	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
)

// Points that the engine treats apart from others.
const (
	pointArrive = "arrive"
	pointTimer  = "timer"
)

const maxSleep = time.Hour // of the loop

// loop carries out all that does not run on the goroutines of calls, until Close or Kill.
func (e *Engine) loop() {
	defer close(e.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.stop:
			if !e.killed.Load() {
				e.saveStates(true)
			}
			if e.log != nil {
				e.log.Close()
			}
			return
		case <-e.wake:
		case command := <-e.commands:
			command()
		case p := <-e.queue:
			e.handle(p)
		case <-timer.C:
		}
		if list := e.newWorkers.Swap(nil); list != nil {
			e.stepTable(hookadvice.Workers{List: *list})
		}
		e.applyChanges()
		now := e.cfg.Clock.Now()
		e.runTimers(now)
		e.lifecycle.Due(now)
		e.stepTable()
		e.applyChanges()
		e.saveStates(false)
		timer.Reset(max(time.Millisecond, e.nextDue(now)-now))
	}
}

// nextDue returns when the loop has something to do without being woken.
func (e *Engine) nextDue(now time.Duration) time.Duration {
	due := now + maxSleep
	atLatest := func(at time.Duration) {
		if at > 0 {
			due = min(due, at)
		}
	}
	atLatest(e.lifecycle.Next())
	atLatest(e.table.Next())
	for _, v := range e.active {
		if v.timerInterval > 0 {
			atLatest(v.timerDue)
		}
		if v.unsaved {
			atLatest(e.savedAt + e.cfg.SaveInterval)
		}
	}
	return due
}

// runTimers runs the timers that are due. Times that were missed are not made up for.
func (e *Engine) runTimers(now time.Duration) {
	for _, s := range e.lifecycle.Scripts {
		v := e.active[s.Name]
		if v == nil || v.timerInterval == 0 || now < v.timerDue {
			continue
		}
		v.timerCount++
		v.timerDue += v.timerInterval
		if v.timerDue <= now {
			v.timerDue = now + v.timerInterval
		}
		open := 0
		if e.cfg.Open != nil {
			open = e.cfg.Open()
		}
		e.runHandler(s, pointTimer, hooklang.Tick{Count: v.timerCount, Open: open}, now)
	}
}

// handle carries out what was posted.
func (e *Engine) handle(p posted) {
	if p.ranInline {
		e.noteInlineRun(p)
		return
	}
	for _, s := range slices.Clone(e.lifecycle.Scripts) {
		e.runHandler(s, p.point, p.event, e.cfg.Clock.Now())
	}
}

// noteInlineRun notes how an inline run ended, and runs the shadow on its event.
func (e *Engine) noteInlineRun(p posted) {
	e.lifecycle.Ran(p.postedAt, p.script, p.version, p.fault, p.fuel)
	if p.fault != "" {
		e.Counts.Faults.Add(1)
	}
	e.logAdvice(p.script, p.advice)
	if shadow := e.shadows[p.script]; shadow != nil && p.event != nil {
		e.runShadow(shadow, p.point, p.event, p.advice, p.fault)
	}
}

// logAdvice writes the log lines among advice, and returns the rest.
func (e *Engine) logAdvice(script string, advice []hooklang.Advice) (rest []hooklang.Advice) {
	for _, item := range advice {
		if item.Kind == "log" {
			e.cfg.Log.Info().Str("script", script).Msg(item.Text)
		} else {
			rest = append(rest, item)
		}
	}
	return rest
}

// runHandler runs a script's handler of an event aside, and then its shadow's. If the live version has used more than
// its rate neither is run: the shadow is to be compared on the same events.
func (e *Engine) runHandler(s *Script, point string, event hooklang.Event, now time.Duration) {
	live := e.active[s.Name]
	shadow := e.shadows[s.Name]
	if live == nil {
		return
	}
	if !live.program.Has(point) {
		if shadow != nil && shadow.program.Has(point) {
			e.runShadow(shadow, point, event, nil, "")
		}
		return
	}
	if !e.lifecycle.Affords(now, &s.Tally) {
		return
	}
	result, err := e.runAside(live, point, event)
	s.Tally.debt += result.Fuel
	fault := ""
	if err != nil {
		fault = err.Error()
		e.Counts.Faults.Add(1)
	} else if result.State != live.state {
		live.state = result.State
		live.unsaved = true
		if live.program.Has(pointArrive) {
			e.publish()
		}
	}
	e.lifecycle.Ran(now, s.Name, live.version, fault, result.Fuel)
	if len(result.Advice) > 0 {
		items := e.logAdvice(s.Name, result.Advice)
		e.stepTable(hookadvice.Offered{Script: s.Name, Version: live.version, Items: items})
	}
	if shadow := e.shadows[s.Name]; shadow != nil {
		e.runShadow(shadow, point, event, result.Advice, fault)
	}
}

// runAside runs a version's handler on the loop's goroutine.
func (e *Engine) runAside(v *activeVersion, point string, event hooklang.Event) (hooklang.Result, error) {
	begin := time.Now()
	limits := e.cfg.Aside
	if point == pointArrive { // of a shadow, to be compared with an inline run
		limits = e.cfg.Inline
	}
	limits.Stop = func() bool { return time.Since(begin) > e.cfg.RunTimeout }
	env := hooklang.Env{Now: int64(e.cfg.Clock.Now()), Wall: e.cfg.Clock.Wall().Unix()}
	result, err := e.asideVM.Run(v.program, point, event, v.state, env, limits)
	e.Counts.Aside.Add(1)
	e.Counts.AsideNanos.Add(int64(time.Since(begin)))
	return result, err
}

// runShadow runs a version in the shadow on an event that the live version was run on, and compares what they advise.
// What the shadow advises has no effect. live and liveFault are how the live version's run ended.
func (e *Engine) runShadow(
	shadow *activeVersion, point string, event hooklang.Event, live []hooklang.Advice, liveFault string,
) {
	if !shadow.program.Has(point) {
		e.lifecycle.Tried(shadow.script, shadow.version, "", 0, len(live) == 0)
		return
	}
	s := e.lifecycle.Find(shadow.script)
	if s == nil || !e.lifecycle.Affords(e.cfg.Clock.Now(), &s.Trial) {
		return
	}
	result, err := e.runAside(shadow, point, event)
	if err != nil {
		e.lifecycle.Tried(shadow.script, shadow.version, err.Error(), result.Fuel, false)
		return
	}
	shadow.state = result.State
	same := liveFault == "" && slices.Equal(result.Advice, live)
	e.lifecycle.Tried(shadow.script, shadow.version, "", result.Fuel, same)
}
