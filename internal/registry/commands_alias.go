package registry

import (
	"fmt"
	"time"
)

// Promote starts the migration of an alias to a version, or creates the alias if IfRevision is 0.
// The migration begins with staging if Copies is above 0, and otherwise with the fence.
type Promote struct {
	Model string `json:"Model"`
	Alias string `json:"Alias"`
	To    string `json:"To"` // version
	// IfRevision is the revision that the alias must have; otherwise the command fails with
	// ErrRevisionChanged.
	IfRevision uint64 `json:"IfRevision"`
	Copies     int    `json:"Copies"` // number that must be ready before the alias names the version
	By         string `json:"By"`
	Reason     string `json:"Why"`
}

func (p Promote) apply(s *State, now time.Duration) ([]Effect, error) {
	if err := validateName("alias", p.Alias); err != nil {
		return nil, err
	}
	m, v, err := s.lookupVersion(p.Model, p.To)
	if err != nil {
		return nil, err
	}
	a := m.Aliases[p.Alias]
	if err := p.checkPreconditions(s, m, v, a); err != nil {
		return nil, err
	}
	if a == nil {
		a = &Alias{Name: p.Alias}
		m.Aliases[p.Alias] = a
	}
	migration := s.startMigration(a, p.To, p.By, p.Reason, now)
	migration.Copies = p.Copies
	s.appendHistory(now, p.By, fmt.Sprintf("promote %s %s to %s, move %d", p.Model, p.Alias, p.To, migration.ID), p.Reason)
	if v.Phase == Proposed || v.Phase == Retired {
		v.enterPhase(Staged, now)
	}
	if p.Copies > 0 {
		return []Effect{Stage{p.Model, p.To, p.Copies}}, nil
	}
	return nil, nil
}

// checkPreconditions returns an error if the promotion is not possible. The alias is nil if it does
// not exist yet.
func (p Promote) checkPreconditions(s *State, m *Model, v *Version, a *Alias) error {
	switch {
	case v.Phase == Condemned:
		return fmt.Errorf("version: %s of %s is condemned", p.To, p.Model)
	case p.Copies < 0:
		return fmt.Errorf("copies: %d is below 0", p.Copies)
	case revisionOf(a) != p.IfRevision:
		return revisionMismatch(p.Model, p.Alias, revisionOf(a), p.IfRevision)
	case a != nil && a.staging():
		return fmt.Errorf("%w: %s of %s is migrating to %s: roll that back first",
			ErrRevisionChanged, p.Alias, p.Model, a.Migration.To)
	case a == nil && len(m.Aliases) >= s.Settings.MaxAliases:
		return fmt.Errorf("alias: the limit of %d aliases of %s is reached", len(m.Aliases), p.Model)
	}
	return nil
}

// revisionMismatch returns the error of a command that requires another revision than the alias
// has.
func revisionMismatch(model, alias string, have, want uint64) error {
	return fmt.Errorf("%w: %s of %s is at revision %d, not %d", ErrRevisionChanged, alias, model, have, want)
}

// Rollback aborts a migration that is still staging; otherwise it migrates an alias back to the
// version that it named before.
type Rollback struct {
	Model string `json:"Model"`
	Alias string `json:"Alias"`
	// IfRevision is the revision that the alias must have; otherwise the command fails with
	// ErrRevisionChanged.
	IfRevision uint64 `json:"IfRevision"`
	By         string `json:"By"`
	Reason     string `json:"Why"`
}

func (r Rollback) apply(s *State, now time.Duration) ([]Effect, error) {
	m := s.Models[r.Model]
	if m == nil || m.Aliases[r.Alias] == nil {
		return nil, fmt.Errorf("alias: %q of %s is not known", r.Alias, r.Model)
	}
	a := m.Aliases[r.Alias]
	if a.Revision != r.IfRevision {
		return nil, revisionMismatch(r.Model, r.Alias, a.Revision, r.IfRevision)
	}
	if a.staging() {
		s.appendHistory(now, r.By, fmt.Sprintf("give up move %d", a.Migration.ID), r.Reason)
		return s.abort(m, a, "rolled back: "+r.Reason, now), nil
	}
	if a.PreviousVersion == "" {
		return nil, fmt.Errorf("alias: %s of %s has no previous version", r.Alias, r.Model)
	}
	return Promote{
		Model:      r.Model,
		Alias:      r.Alias,
		To:         a.PreviousVersion,
		IfRevision: r.IfRevision,
		By:         r.By,
		Reason:     "rollback: " + r.Reason,
	}.apply(s, now)
}
