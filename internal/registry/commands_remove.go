package registry

import (
	"fmt"
	"slices"
	"time"
)

// Condemn forbids the bytes of a version for ever, under every name. Aliases that name them name none from now on.
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
		return nil, fmt.Errorf("digest: %d are condemned, which is all that are remembered", len(s.Condemned))
	}
	s.Condemned[digest] = c.Reason
	s.Epoch++ // also where no alias names it: calls may still run under it
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

// withdraw makes an alias name no version where it names condemned bytes, and ends its migration to them.
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

// Collect removes the versions that nothing refers to any more.
type Collect struct {
	// Except are versions under which calls may still run, as the controllers reported. They stay.
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

// isRetained tells whether a version must stay. It must while an alias names it or would after a rollback, while a
// migration from or to it is not acknowledged, and until Settings.Retention is over since it was retired. A version
// that was never used stays until it is condemned: it may be about to be used.
func (s *State) isRetained(m *Model, v *Version, now time.Duration) bool {
	for _, a := range m.Aliases {
		if a.Version == v.Name || a.PreviousVersion == v.Name {
			return true
		}
		if mv := a.Migration; mv != nil && (mv.To == v.Name || mv.From == v.Name) {
			return true
		}
	}
	unused := v.Phase == Retired || v.Phase == Condemned
	return !unused || now < v.PhaseSince+s.Settings.Retention || v.ReplacedInEpoch > s.ConfirmedEpoch
}
