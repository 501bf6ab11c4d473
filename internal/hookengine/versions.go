package hookengine

import (
	"time"

	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
)

// An activeVersion is a version that is run aside, live or in the shadow. It belongs to the loop.
type activeVersion struct {
	script  string
	version uint64
	program *hooklang.Program
	state   *hooklang.State
	unsaved bool // the state is not stored yet

	timerInterval time.Duration // 0: it has no timer
	timerDue      time.Duration
	timerCount    int64
}

// compile returns a version ready to run, with its initial state.
func (e *Engine) compile(script string, v *Version) (*activeVersion, error) {
	program, err := hooklang.Compile(script+".hook", v.Text)
	if err != nil {
		return nil, err
	}
	_, interval := program.Points()
	return &activeVersion{
		script:        script,
		version:       v.Number,
		program:       program,
		state:         program.State(),
		timerInterval: interval,
		timerDue:      e.cfg.Clock.Now() + interval,
	}, nil
}

// applyChanges carries out what the lifecycle has decided, and stores it.
func (e *Engine) applyChanges() {
	changes, dirty := e.lifecycle.Take()
	for _, c := range changes {
		line := e.cfg.Log.Info()
		if c.Alarm {
			line = e.cfg.Log.Error()
		}
		line.Str("script", c.Script).Msg("hook: " + c.Text)
		if c.Live == nil {
			e.deactivate(c.Script)
		} else if err := e.activate(c.Script, c.Live); err != nil { // it was compiled when it was loaded
			e.cfg.Log.Error().Str("script", c.Script).Err(err).Msg("hook does not compile")
			continue
		}
		e.updateShadow(c.Script)
	}
	if len(changes) > 0 {
		e.publish()
	}
	if dirty {
		e.appendRecord(record{Scripts: e.lifecycle.Scripts, Last: e.lifecycle.Last})
	}
}

// deactivate has the live version of a script not run any more. Its state is kept, as it may run again.
func (e *Engine) deactivate(script string) {
	previous := e.active[script]
	if previous == nil {
		return
	}
	delete(e.active, script)
	if text, err := previous.state.MarshalJSON(); err == nil {
		e.savedStates[script] = text
	}
	e.stepTable(hookadvice.Ended{Script: script})
}

// activate has a version of a script run from now on, with the state of the version before, or the one stored last.
func (e *Engine) activate(script string, v *Version) error {
	previous := e.active[script]
	if previous != nil && previous.version == v.Number {
		return nil
	}
	next, err := e.compile(script, v)
	if err != nil {
		return err
	}
	if previous != nil {
		next.state = next.program.Take(previous.state)
	} else if text := e.savedStates[script]; text != nil {
		if state, err := next.program.Restore(text); err == nil {
			next.state = state
		}
	}
	next.unsaved = true
	e.active[script] = next
	e.stepTable(hookadvice.Live{Script: script, Version: next.version})
	return nil
}

// updateShadow has the version in the shadow of a script run from now on, beginning with the live version's state.
func (e *Engine) updateShadow(name string) {
	s := e.lifecycle.Find(name)
	if s == nil {
		delete(e.savedStates, name)
	}
	if s == nil || s.Shadow == nil {
		delete(e.shadows, name)
		return
	}
	if present := e.shadows[name]; present != nil && present.version == s.Shadow.Number {
		return
	}
	shadow, err := e.compile(name, s.Shadow)
	if err != nil {
		return
	}
	if live := e.active[name]; live != nil {
		shadow.state = shadow.program.Take(live.state)
	}
	e.shadows[name] = shadow
}

// publish sets what the goroutines of calls and events see of the versions that run.
func (e *Engine) publish() {
	var scripts []inlineScript
	points := map[string]bool{}
	for _, s := range e.lifecycle.Scripts {
		live := e.active[s.Name]
		shadow := e.shadows[s.Name]
		for _, v := range []*activeVersion{live, shadow} {
			if v == nil {
				continue
			}
			handled, _ := v.program.Points()
			for _, point := range handled {
				points[point] = true
			}
		}
		if live != nil && live.program.Has(pointArrive) {
			scripts = append(scripts, inlineScript{
				name:    s.Name,
				version: live.version,
				program: live.program,
				state:   live.state,
				shadow:  shadow != nil,
			})
		}
	}
	e.inline.Store(&scripts)
	e.points.Store(&points)
}

// stepTable steps the table of advice with events, and carries out the effects.
func (e *Engine) stepTable(events ...hookadvice.Event) {
	for _, effect := range e.table.Step(e.cfg.Clock.Now(), events) {
		switch effect := effect.(type) {
		case hookadvice.KeepWarm:
			e.cfg.Sink.KeepWarm(effect.Function, effect.Copies, effect.Until)
		case hookadvice.RankWorker:
			e.cfg.Sink.RankWorker(effect.Worker, effect.Rank, effect.Until)
		case hookadvice.Tenants:
			e.gateMu.Lock()
			e.gate.Set(effect)
			e.gateMu.Unlock()
		case hookadvice.Notice:
			e.cfg.Log.Info().Str("script", effect.Script).Str("target", effect.Target).Msg("notice")
			if e.cfg.Notify != nil {
				e.cfg.Notify(effect)
			}
		case hookadvice.Discarded:
			e.cfg.Log.Debug().Str("script", effect.Script).Str("kind", effect.Item.Kind).Str("why", effect.Why).
				Msg("advice dropped")
		}
	}
}
