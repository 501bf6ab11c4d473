package hookengine

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"kitehub/internal/hookadvice"
	"kitehub/internal/store"
)

// recordsPerSnapshot is the number of records in the log after which a snapshot replaces them.
const recordsPerSnapshot = 200

// storage holds the log of the engine and its state. The engine's goroutine owns it.
type storage struct {
	log                  *store.Log // nil if nothing is stored
	sequence             uint64     // of the last record
	recordsSinceSnapshot int        // records
	lastSaved            time.Duration
	storeErr             error                      // the first error; nothing is stored after it
	savedStates          map[string]json.RawMessage // last stored states, by script
}

// record is an entry of the log: either all scripts with their versions, or the state of one
// script.
type record struct {
	Scripts     []*Script       `json:"scripts,omitempty"`
	LastVersion uint64          `json:"last,omitempty"`
	State       string          `json:"state,omitempty"` // name of the script
	Value       json.RawMessage `json:"value,omitempty"`
}

// snapshot holds everything that is stored. It replaces all earlier records.
type snapshot struct {
	Scripts     []*Script                  `json:"scripts"`
	LastVersion uint64                     `json:"last"`
	States      map[string]json.RawMessage `json:"states"`
}

// restore opens the log and prepares the stored scripts to run.
func (e *Engine) restore() error {
	stored := snapshot{States: map[string]json.RawMessage{}}
	options := store.Options{MaxRecordBytes: 16 << 20, MaxGroupBytes: 32 << 20}
	log, recovered, err := store.Open(e.config.FS, options,
		func(_ uint64, text []byte) error { return json.Unmarshal(text, &stored) },
		func(sequence uint64, text []byte) error {
			var r record
			if err := json.Unmarshal(text, &r); err != nil {
				return fmt.Errorf("record %d: %w", sequence, err)
			}
			if r.State != "" {
				stored.States[r.State] = r.Value
			} else {
				stored.Scripts = r.Scripts
				stored.LastVersion = r.LastVersion
			}
			return nil
		})
	if err != nil {
		return err
	}
	e.log = log
	e.sequence = recovered.LastSeq
	e.savedStates = stored.States
	e.lifecycle.Scripts = stored.Scripts
	e.lifecycle.LastVersion = stored.LastVersion
	for _, s := range e.lifecycle.Scripts {
		e.restoreScript(s)
	}
	return nil
}

// restoreScript prepares the live and the shadow version of a script to run. A text that compiled
// in the release that stored it may not compile in this one.
func (e *Engine) restoreScript(s *Script) {
	if s.Live != nil && s.Live.QuarantineReason == "" {
		loaded, err := e.compile(s.Name, s.Live)
		if err != nil {
			s.Live.QuarantineReason = err.Error()
			e.config.Log.Error().Str("script", s.Name).Err(err).Msg("hook quarantined: it no longer compiles")
			return
		}
		if saved := e.savedStates[s.Name]; saved != nil {
			if state, err := loaded.program.RestoreState(saved); err != nil {
				e.config.Log.Error().Str("script", s.Name).Err(err).Msg("hook state not restored: starting with the initial state")
			} else {
				loaded.state = state
			}
		}
		e.live[s.Name] = loaded
		e.stepAdvice(hookadvice.VersionActivated{Script: s.Name, Version: s.Live.Number})
	}
	if s.Shadow == nil {
		return
	}
	if loaded, err := e.compile(s.Name, s.Shadow); err == nil {
		e.shadows[s.Name] = loaded
	} else {
		s.Shadow = nil
	}
}

// appendRecord stores a record, and a snapshot if one is due. After an error hooks continue to run,
// but nothing more is stored.
func (e *Engine) appendRecord(r record) {
	if e.log == nil || e.storeErr != nil || e.killed.Load() {
		return
	}
	text, err := json.Marshal(r)
	if err == nil {
		e.sequence, err = e.log.Append(context.Background(), text)
	}
	if err != nil {
		e.storeErr = err
		e.config.Log.Error().Err(err).Msg("hooks: scripts and states are no longer stored: restart the controller")
		return
	}
	e.recordsSinceSnapshot++
	if e.recordsSinceSnapshot < recordsPerSnapshot {
		return
	}
	e.recordsSinceSnapshot = 0
	if err := e.writeSnapshot(); err != nil {
		e.config.Log.Warn().Err(err).Msg("hooks: snapshot failed: the log keeps growing")
	}
}

func (e *Engine) writeSnapshot() error {
	all := snapshot{
		Scripts:     e.lifecycle.Scripts,
		LastVersion: e.lifecycle.LastVersion,
		States:      map[string]json.RawMessage{},
	}
	for _, s := range e.lifecycle.Scripts {
		if state := e.savedStates[s.Name]; state != nil { // including those of quarantined scripts
			all.States[s.Name] = state
		}
	}
	text, err := json.Marshal(all)
	if err != nil {
		return err
	}
	return e.log.Snapshot(e.sequence, text)
}

// saveStates stores the states that have changed, at most once per SaveInterval unless force is
// set.
func (e *Engine) saveStates(force bool) {
	now := e.config.Clock.Now()
	if !force && now < e.lastSaved+e.config.SaveInterval {
		return
	}
	for _, s := range e.lifecycle.Scripts {
		loaded := e.live[s.Name]
		if loaded == nil || !loaded.unsaved {
			continue
		}
		loaded.unsaved = false
		e.lastSaved = now
		text, err := loaded.state.MarshalJSON()
		if err == nil {
			e.appendRecord(record{State: s.Name, Value: text})
			e.savedStates[s.Name] = text
		}
	}
}
