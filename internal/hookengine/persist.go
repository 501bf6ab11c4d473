package hookengine

import (
	"context"
	"encoding/json"
	"fmt"

	"kitehub/internal/hookadvice"
	"kitehub/internal/store"
)

// Bounds of the log, in bytes.
const (
	maxRecordBytes = 16 << 20
	maxGroupBytes  = 32 << 20
)

// recordsPerSnapshot is how many records the log may have before a snapshot of all is written.
const recordsPerSnapshot = 200

// A record is one change in the log: of the scripts, or of one script's state.
type record struct {
	Scripts []*Script       `json:"scripts,omitempty"`
	Last    uint64          `json:"last,omitempty"`
	State   string          `json:"state,omitempty"` // name of the script
	Value   json.RawMessage `json:"value,omitempty"`
}

// A snapshot is all that is stored.
type snapshot struct {
	Scripts []*Script                  `json:"scripts"`
	Last    uint64                     `json:"last"`
	States  map[string]json.RawMessage `json:"states"` // by script
}

func (s *snapshot) apply(r record) {
	if r.State != "" {
		s.States[r.State] = r.Value
		return
	}
	s.Scripts = r.Scripts
	s.Last = r.Last
}

// recover opens the log and restores the scripts and their states.
func (e *Engine) recover() error {
	restored := snapshot{States: map[string]json.RawMessage{}}
	log, recovered, err := store.Open(e.cfg.FS, store.Options{MaxRecord: maxRecordBytes, MaxGroup: maxGroupBytes},
		func(_ uint64, text []byte) error { return json.Unmarshal(text, &restored) },
		func(sequence uint64, text []byte) error {
			var r record
			if err := json.Unmarshal(text, &r); err != nil {
				return fmt.Errorf("record %d: %w", sequence, err)
			}
			restored.apply(r)
			return nil
		})
	if err != nil {
		return err
	}
	e.log = log
	e.lastRecord = recovered.Last
	e.lifecycle.Scripts = restored.Scripts
	e.lifecycle.Last = restored.Last
	e.savedStates = restored.States
	for _, s := range e.lifecycle.Scripts {
		e.restore(s)
	}
	return nil
}

// restore runs the versions of a script that was stored.
func (e *Engine) restore(s *Script) {
	if s.Live != nil && s.Live.Bad == "" {
		live, err := e.compile(s.Name, s.Live)
		if err != nil { // it did in the program that stored it
			s.Live.Bad = err.Error()
			e.cfg.Log.Error().Str("script", s.Name).Err(err).Msg("hook quarantined: it does not compile any more")
			return
		}
		if text := e.savedStates[s.Name]; text != nil {
			if state, err := live.program.Restore(text); err == nil {
				live.state = state
			} else {
				e.cfg.Log.Error().Str("script", s.Name).Err(err).Msg("hook state not restored, starting afresh")
			}
		}
		e.active[s.Name] = live
		e.stepTable(hookadvice.Live{Script: s.Name, Version: s.Live.Number})
	}
	if s.Shadow != nil {
		if shadow, err := e.compile(s.Name, s.Shadow); err == nil {
			e.shadows[s.Name] = shadow
		} else {
			s.Shadow = nil
		}
	}
}

// appendRecord appends to the log, and now and then replaces it by a snapshot. After a failure hooks go on, but
// nothing is stored any more.
func (e *Engine) appendRecord(r record) {
	if e.log == nil || e.storeErr != nil {
		return
	}
	text, err := json.Marshal(r)
	if err == nil {
		e.lastRecord, err = e.log.Append(context.Background(), text)
	}
	if err != nil {
		e.storeErr = err
		e.cfg.Log.Error().Err(err).Msg("hooks: scripts and states are not stored any more: start anew")
		return
	}
	if e.recordsSinceSnapshot++; e.recordsSinceSnapshot >= recordsPerSnapshot {
		e.recordsSinceSnapshot = 0
		if err := e.writeSnapshot(); err != nil {
			e.cfg.Log.Warn().Err(err).Msg("hooks: snapshot failed, the log grows")
		}
	}
}

func (e *Engine) writeSnapshot() error {
	all := snapshot{Scripts: e.lifecycle.Scripts, Last: e.lifecycle.Last, States: map[string]json.RawMessage{}}
	for _, s := range e.lifecycle.Scripts {
		if text := e.savedStates[s.Name]; text != nil { // of a quarantined script too
			all.States[s.Name] = text
		}
	}
	text, err := json.Marshal(all)
	if err != nil {
		return err
	}
	return e.log.Snapshot(e.lastRecord, text)
}

// saveStates stores the states that have changed: not too often, unless force is set.
func (e *Engine) saveStates(force bool) {
	now := e.cfg.Clock.Now()
	if !force && now < e.savedAt+e.cfg.SaveInterval {
		return
	}
	for _, s := range e.lifecycle.Scripts {
		v := e.active[s.Name]
		if v == nil || !v.unsaved {
			continue
		}
		v.unsaved = false
		e.savedAt = now
		if text, err := v.state.MarshalJSON(); err == nil {
			e.appendRecord(record{State: s.Name, Value: text})
			e.savedStates[s.Name] = text
		}
	}
}
