package hookengine

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"kitehub/internal/hookadvice"
	"kitehub/internal/store"
)

// recordsPerSnapshot is how many records the log may have before a snapshot replaces them.
const recordsPerSnapshot = 200

// storage is what the engine knows of its log. The engine's goroutine owns it.
type storage struct {
	log           *store.Log // nil: nothing is stored
	sequence      uint64     // of the last record
	sinceSnapshot int        // records
	lastSaved     time.Duration
	storeErr      error                      // nothing is stored after an error
	states        map[string]json.RawMessage // as stored last, by script
}

// record is one entry of the log: all scripts with their versions, or the state of one script.
type record struct {
	Scripts []*Script       `json:"scripts,omitempty"`
	Last    uint64          `json:"last,omitempty"`
	State   string          `json:"state,omitempty"` // name of the script
	Value   json.RawMessage `json:"value,omitempty"`
}

// snapshot replaces all records before it.
type snapshot struct {
	Scripts []*Script                  `json:"scripts"`
	Last    uint64                     `json:"last"`
	States  map[string]json.RawMessage `json:"states"`
}

// restore opens the log, and runs the scripts that it holds.
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
				stored.Last = r.Last
			}
			return nil
		})
	if err != nil {
		return err
	}
	e.log = log
	e.sequence = recovered.LastSeq
	e.states = stored.States
	e.lifecycle.Scripts = stored.Scripts
	e.lifecycle.LastVersion = stored.Last
	for _, s := range e.lifecycle.Scripts {
		e.restoreScript(s)
	}
	return nil
}

// restoreScript runs the live and the shadow version of a script. What compiled in the program that stored it need not
// compile in this one.
func (e *Engine) restoreScript(s *Script) {
	if s.Live != nil && s.Live.QuarantineReason == "" {
		loaded, err := e.compile(s.Name, s.Live)
		if err != nil {
			s.Live.QuarantineReason = err.Error()
			e.config.Log.Error().Str("script", s.Name).Err(err).Msg("hook in quarantine: it does not compile any more")
			return
		}
		if saved := e.states[s.Name]; saved != nil {
			if state, err := loaded.program.RestoreState(saved); err != nil {
				e.config.Log.Error().Str("script", s.Name).Err(err).Msg("hook's state not restored: it begins anew")
			} else {
				loaded.state = state
			}
		}
		e.active[s.Name] = loaded
		e.advise(hookadvice.VersionActivated{Script: s.Name, Version: s.Live.Number})
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

// appendRecord stores a record, and a snapshot if it is due. After an error hooks go on, but nothing is stored any
// more.
func (e *Engine) appendRecord(r record) {
	if e.log == nil || e.storeErr != nil {
		return
	}
	text, err := json.Marshal(r)
	if err == nil {
		e.sequence, err = e.log.Append(context.Background(), text)
	}
	if err != nil {
		e.storeErr = err
		e.config.Log.Error().Err(err).Msg("hooks: scripts and states are not stored any more: start anew")
		return
	}
	e.sinceSnapshot++
	if e.sinceSnapshot < recordsPerSnapshot {
		return
	}
	e.sinceSnapshot = 0
	if err := e.writeSnapshot(); err != nil {
		e.config.Log.Warn().Err(err).Msg("hooks: no snapshot: the log grows")
	}
}

func (e *Engine) writeSnapshot() error {
	all := snapshot{
		Scripts: e.lifecycle.Scripts,
		Last:    e.lifecycle.LastVersion,
		States:  map[string]json.RawMessage{},
	}
	for _, s := range e.lifecycle.Scripts {
		if state := e.states[s.Name]; state != nil { // also of a script in quarantine
			all.States[s.Name] = state
		}
	}
	text, err := json.Marshal(all)
	if err != nil {
		return err
	}
	return e.log.Snapshot(e.sequence, text)
}

// saveStates stores the states that have changed: at most once per SaveInterval, unless force is set.
func (e *Engine) saveStates(force bool) {
	now := e.config.Clock.Now()
	if !force && now < e.lastSaved+e.config.SaveInterval {
		return
	}
	for _, s := range e.lifecycle.Scripts {
		loaded := e.active[s.Name]
		if loaded == nil || !loaded.unsaved {
			continue
		}
		loaded.unsaved = false
		e.lastSaved = now
		text, err := loaded.state.MarshalJSON()
		if err == nil {
			e.appendRecord(record{State: s.Name, Value: text})
			e.states[s.Name] = text
		}
	}
}
