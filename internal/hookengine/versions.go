package hookengine

import (
	"time"

	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
)

// loadedVersion is a compiled version with its state.
type loadedVersion struct {
	script   string
	version  uint64
	program  *hooklang.Program
	state    *hooklang.State
	unsaved  bool          // the state has changed since it was stored
	interval time.Duration // of its timer; 0 if it has none
	nextTick time.Duration
	ticks    int64 // timer runs so far
}

// compile prepares a version to run, with its initial state.
func (e *Engine) compile(script string, v *Version) (*loadedVersion, error) {
	program, err := hooklang.Compile(script+".hook", v.Text)
	if err != nil {
		return nil, err
	}
	_, interval := program.Points()
	return &loadedVersion{
		script:   script,
		version:  v.Number,
		program:  program,
		state:    program.InitialState(),
		interval: interval,
		nextTick: e.config.Clock.Now() + interval,
	}, nil
}

// applyChanges applies the pending decisions of the lifecycle.
func (e *Engine) applyChanges() {
	changes, dirty := e.lifecycle.TakeChanges()
	for _, c := range changes {
		e.applyChange(c)
	}
	if len(changes) > 0 {
		e.publishHandlers()
	}
	if dirty {
		e.appendRecord(record{Scripts: e.lifecycle.Scripts, LastVersion: e.lifecycle.LastVersion})
	}
}

func (e *Engine) applyChange(c Change) {
	event := e.config.Log.Info()
	if c.Alarm {
		event = e.config.Log.Error()
	}
	event.Str("script", c.Script).Msg("hook: " + c.Text)

	old := e.live[c.Script]
	if c.Live == nil {
		e.deactivate(c.Script)
	} else if old == nil || old.version != c.Live.Number {
		if err := e.activate(c.Script, c.Live); err != nil { // unexpected, as it compiled when it was loaded
			e.config.Log.Error().Str("script", c.Script).Err(err).Msg("hook does not compile")
			return
		}
	}

	script := e.lifecycle.Find(c.Script)
	if script == nil {
		delete(e.savedStates, c.Script)
	}
	e.updateShadow(c.Script, script)
}

// deactivate stops the live version of a script. Its state is retained because the version may run
// again.
func (e *Engine) deactivate(script string) {
	old := e.live[script]
	delete(e.live, script)
	if old == nil {
		return
	}
	if text, err := old.state.MarshalJSON(); err == nil {
		e.savedStates[script] = text
	}
	e.stepAdvice(hookadvice.ScriptStopped{Script: script})
}

// activate starts to run a version. It takes over the state of the previous version as far as their
// declarations agree.
func (e *Engine) activate(script string, v *Version) error {
	loaded, err := e.compile(script, v)
	if err != nil {
		return err
	}
	if old := e.live[script]; old != nil {
		loaded.state = loaded.program.InheritState(old.state)
	} else if saved := e.savedStates[script]; saved != nil {
		if state, err := loaded.program.RestoreState(saved); err == nil {
			loaded.state = state
		}
	}
	loaded.unsaved = true
	e.live[script] = loaded
	e.stepAdvice(hookadvice.VersionActivated{Script: script, Version: loaded.version})
	return nil
}

// updateShadow starts or stops the shadow of a script as the lifecycle has decided. The script is
// nil if it was removed.
func (e *Engine) updateShadow(name string, s *Script) {
	if s == nil || s.Shadow == nil {
		delete(e.shadows, name)
		return
	}
	if current := e.shadows[name]; current != nil && current.version == s.Shadow.Number {
		return
	}
	loaded, err := e.compile(name, s.Shadow)
	if err != nil {
		return
	}
	if live := e.live[name]; live != nil {
		loaded.state = loaded.program.InheritState(live.state)
	}
	e.shadows[name] = loaded
}

// publishHandlers makes the current arrival handlers, and the points that have handlers, visible to
// the goroutines of calls.
func (e *Engine) publishHandlers() {
	var handlers []inlineHandler
	points := map[string]bool{}
	for _, s := range e.lifecycle.Scripts {
		live, shadow := e.live[s.Name], e.shadows[s.Name]
		for _, loaded := range []*loadedVersion{live, shadow} {
			if loaded == nil {
				continue
			}
			handled, _ := loaded.program.Points()
			for _, point := range handled {
				points[point] = true
			}
		}
		if live != nil && live.program.HasHandler("arrive") {
			handlers = append(handlers, inlineHandler{
				script:  s.Name,
				version: live.version,
				program: live.program,
				state:   live.state,
				shadow:  shadow != nil,
			})
		}
	}
	e.arrivalHandlers.Store(&handlers)
	e.handledPoints.Store(&points)
}

// stepAdvice passes events to the advice table and applies the effects. Without events it only
// expires advice.
func (e *Engine) stepAdvice(events ...hookadvice.Event) {
	for _, effect := range e.table.Step(e.config.Clock.Now(), events) {
		switch effect := effect.(type) {
		case hookadvice.KeepWarm:
			e.config.Sink.KeepWarm(effect.Function, effect.Copies, effect.Until)
		case hookadvice.RankWorker:
			e.config.Sink.RankWorker(effect.Worker, effect.Rank, effect.Until)
		case hookadvice.Tenants:
			e.gateMutex.Lock()
			e.gate.SetTenants(effect)
			e.gateMutex.Unlock()
		case hookadvice.Notification:
			e.config.Log.Info().Str("script", effect.Script).Str("target", effect.Target).Msg("notification")
			if e.config.Notify != nil {
				e.config.Notify(effect)
			}
		case hookadvice.Discarded:
			e.config.Log.Debug().Str("script", effect.Script).Str("kind", effect.Item.Kind).Str("why", effect.Reason).
				Msg("advice discarded")
		}
	}
}
