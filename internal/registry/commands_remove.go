package registry

import (
	"fmt"
	"slices"
	"time"
)

// Condemn permanently forbids the bytes of a version, under every name. Aliases that name such a
// version stop naming any version.
type Condemn struct {
	Model   string `json:"Model"`
	Version string `json:"Version"`
	By      string `json:"By"`
	Reason  string `json:"Why"`
}

func (c Condemn) apply(s *State, now time.Duration) ([]Effect, error) {
	_, v, err := s.lookupVersion(c.Model, c.Version)
	if err != nil {
		return nil, err
	}
	digest := v.Digest
	_, known := s.Condemned[digest]
	if !known && len(s.Condemned) >= s.Settings.MaxModels*s.Settings.MaxVersions {
		return nil, fmt.Errorf("digest: the limit of %d condemned digests is reached", len(s.Condemned))
	}
	s.Condemned[digest] = c.Reason
	s.Epoch++ // even if no alias names the version: calls may still run under it
	effects := []Effect{Published{s.Epoch}}
	s.appendHistory(now, c.By, "condemn "+c.Model+" "+c.Version+" "+digest, c.Reason)
	for _, m := range sortedByName(s.Models) {
		for _, v := range sortedByName(m.Versions) {
			if v.Digest == digest && v.Phase != Condemned {
				v.enterPhase(Condemned, now)
				effects = append(effects, Unstage{m.Name, v.Name})
			}
		}
		for _, a := range sortedByName(m.Aliases) {
			effects = append(effects, c.withdraw(s, m, a, digest, now)...)
		}
	}
	return effects, nil
}

// withdraw makes an alias name no version if it names condemned bytes, and aborts a migration of
// the alias to them.
func (c Condemn) withdraw(s *State, m *Model, a *Alias, digest string, now time.Duration) (effects []Effect) {
	condemned := func(version string) bool {
		v := m.Versions[version]
		return v != nil && v.Digest == digest
	}
	if a.staging() && condemned(a.Migration.To) {
		effects = append(effects, s.abort(m, a, "its version was condemned", now)...)
	}
	if condemned(a.Version) {
		s.startMigration(a, "", c.By, c.Reason, now)
		effects = append(effects, s.fence(m, a, now)...)
	}
	if condemned(a.PreviousVersion) {
		a.PreviousVersion = ""
	}
	return effects
}

// Collect removes the versions that are no longer referenced.
type Collect struct {
	// Except are versions under which calls may still run, as the controllers reported. They are
	// not removed.
	Except []VersionRef `json:"Except"`
	By     string       `json:"By"`
	Reason string       `json:"Why"`
}

func (c Collect) apply(s *State, now time.Duration) (effects []Effect, err error) {
	for _, m := range sortedByName(s.Models) {
		for _, v := range sortedByName(m.Versions) {
			if slices.Contains(c.Except, VersionRef{m.Name, v.Name}) || s.isRetained(m, v, now) {
				continue
			}
			delete(m.Versions, v.Name)
			s.appendHistory(now, c.By, "collect "+m.Name+" "+v.Name+" "+v.Digest, c.Reason)
			effects = append(effects, Collected{m.Name, v.Name, v.Digest})
		}
	}
	return effects, nil
}

// isRetained reports whether a version must be kept. It must be while an alias names it or would
// name it after a rollback, while a migration from or to it is not acknowledged, and until
// Settings.Retention has passed since it was retired. A version that was never used is kept until
// it is condemned, as it may be about to be used.
func (s *State) isRetained(m *Model, v *Version, now time.Duration) bool {
	for _, a := range m.Aliases {
		if a.Version == v.Name || a.PreviousVersion == v.Name {
			return true
		}
		if migration := a.Migration; migration != nil && (migration.To == v.Name || migration.From == v.Name) {
			return true
		}
	}
	unused := v.Phase == Retired || v.Phase == Condemned
	return !unused || now < v.PhaseSince+s.Settings.Retention || v.ReplacedInEpoch > s.ConfirmedEpoch
}
