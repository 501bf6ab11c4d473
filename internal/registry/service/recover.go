package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"kitehub/internal/registry"
	"kitehub/internal/store"
)

// snapshotFormat is the number of the format of snapshots. Those of format 1 have neither a number
// nor settings.
const snapshotFormat = 3

// snapshotFormat2 has settings without Settings.StaleDuration.
const snapshotFormat2 = 2

// A snapshot is the stored form of a state with its settings. Its JSON is a storage format.
type snapshot struct {
	Format   int                `json:"Format,omitempty"`
	Settings *registry.Settings `json:"Settings,omitempty"`
	// EarlierLeasesUntil and EarlierStaleUntil are those of the state.
	EarlierLeasesUntil time.Duration `json:"EarlierLeasesUntil,omitempty"`
	EarlierStaleUntil  time.Duration `json:"EarlierStaleUntil,omitempty"`
	*registry.State
}

func marshalSnapshot(state *registry.State) ([]byte, error) {
	return json.Marshal(snapshot{
		Format:             snapshotFormat,
		Settings:           &state.Settings,
		EarlierLeasesUntil: state.EarlierLeasesUntil,
		EarlierStaleUntil:  state.EarlierStaleUntil,
		State:              state,
	})
}

// ErrOtherSettings is wrapped by the error of Open for a log that cannot have been written under
// the settings that apply to it. Logs and snapshots of earlier versions of this program do not
// contain their settings, so the settings must be unchanged when such a log is first opened.
var ErrOtherSettings = errors.New("the log was written under other settings: start once with the settings under which it was written")

// A recovery rebuilds a state from the newest snapshot and the records after it. Each record is
// applied under the settings that the log contains before it, as it was when it was written.
//
// Records that earlier versions wrote precede all settings in the log. They are applied under the
// first settings after them, which a start wrote that had applied them so, or under the configured
// ones if there are none.
type recovery struct {
	state       *registry.State
	hasSettings bool            // the settings of state come from the log
	pending     []pendingRecord // read while hasSettings is false, and not applied yet
}

// A pendingRecord is a record that is to be applied later, with its sequence number.
type pendingRecord struct {
	seq uint64
	record
}

// restore restores the state from a snapshot.
func (r *recovery) restore(_ uint64, text []byte) error {
	settings := withoutStaleEnd(r.state.Settings)
	decoded := snapshot{Settings: &settings, State: r.state}
	if err := json.Unmarshal(text, &decoded); err != nil {
		return err
	}
	switch decoded.Format {
	case 0: // format 1
	case snapshotFormat2, snapshotFormat:
		r.state.Settings = settings
		r.state.EarlierLeasesUntil = decoded.EarlierLeasesUntil
		r.state.EarlierStaleUntil = decoded.EarlierStaleUntil
		r.hasSettings = true
	default:
		return fmt.Errorf("snapshot: format %d is not known, the newest known one is %d", decoded.Format, snapshotFormat)
	}
	return nil
}

// replay applies a record, or keeps it until its settings are known.
func (r *recovery) replay(seq uint64, text []byte) error {
	p := pendingRecord{seq: seq}
	if err := unmarshalStrict(text, &p.record); err != nil {
		return fmt.Errorf("record %d: %w", seq, err)
	}
	switch {
	case r.hasSettings:
		return r.apply(p)
	case p.ChangeSettings == nil:
		r.pending = append(r.pending, p)
		return nil
	}
	r.state.Settings = withoutStaleEnd(p.ChangeSettings.Settings)
	r.hasSettings = true
	if err := r.applyPending(); err != nil {
		return err
	}
	return r.apply(p)
}

// applyPending applies the records that were kept, under the current settings of the state.
func (r *recovery) applyPending() error {
	for _, p := range r.pending {
		if err := r.apply(p); err != nil {
			return err
		}
	}
	r.pending = nil
	return nil
}

// apply applies a record. A command that was rejected when it was written is rejected again.
func (r *recovery) apply(p pendingRecord) error {
	command, err := p.command()
	if err != nil {
		return fmt.Errorf("record %d: %w", p.seq, err)
	}
	if _, err := r.state.Apply(p.At, command); err != nil && neverRejected(command) {
		return fmt.Errorf("record %d: %w (%w)", p.seq, ErrOtherSettings, err)
	}
	return nil
}

// neverRejected reports whether a command is committed only if it will be accepted. Its rejection
// at recovery shows that the recovered state is not the one that it was committed to.
func neverRejected(command registry.Command) bool {
	switch command.(type) {
	case registry.EpochConfirmed, registry.StaleEnded, registry.ChangeSettings:
		return true
	}
	return false
}

// withoutStaleEnd returns the settings as they apply to records of earlier versions, which did not
// wait for answers without a lease.
func withoutStaleEnd(settings registry.Settings) registry.Settings {
	settings.StaleDuration = 0
	return settings
}

// recoverState opens the log and restores the state from it.
func recoverState(cfg Config) (*recovery, *store.Log, *store.Recovered, error) {
	state, err := registry.New(withoutStaleEnd(cfg.Settings))
	if err != nil {
		return nil, nil, nil, err
	}
	r := &recovery{state: state}
	log, recovered, err := store.Open(cfg.FS, store.Options{}, r.restore, r.replay)
	if err != nil {
		return nil, nil, nil, err
	}
	if err := r.applyPending(); err != nil {
		return nil, nil, nil, errors.Join(err, log.Close())
	}
	return r, log, recovered, nil
}
