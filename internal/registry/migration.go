package registry

import (
	"fmt"
	"slices"
	"time"
)

// registryActor stands for the registry itself, where history entries and migrations name an
// operator.
const registryActor = "registry"

// awaitsStaleReason says why a fenced migration waits for longer than a lease.
const awaitsStaleReason = "controllers that are not heard may answer by the policy stale until it ends there"

// startMigration begins a migration of an alias to a version, or to none if to is empty, and
// returns it.
func (s *State) startMigration(a *Alias, to, by, reason string, now time.Duration) *Migration {
	s.LastMigration++
	a.Migration = &Migration{ID: s.LastMigration, From: a.Version, To: to, By: by, Reason: reason, RequestedAt: now}
	return a.Migration
}

// advance takes every step that is possible now. It fences migrations with enough ready copies,
// acknowledges fenced migrations that every controller has confirmed, aborts staging migrations
// past their timeout, and rolls back aliases whose new version fails too often. It also releases
// the copies of versions past their retention.
func (s *State) advance(now time.Duration) (effects []Effect) {
	for _, m := range sortedByName(s.Models) {
		for _, a := range sortedByName(m.Aliases) {
			effects = append(effects, s.advanceStaging(m, a, now)...)
			effects = append(effects, s.revertOnErrors(m, a, now)...)
		}
	}
	effects = append(effects, s.acknowledgeFences()...)
	return append(effects, s.unstageRetired(now)...)
}

// advanceStaging fences a migration once enough copies are ready, or aborts it at its timeout.
// Where memory cannot hold the old and the new version at the same time, that many copies never
// become ready, and the migration ends with the alias unchanged.
func (s *State) advanceStaging(m *Model, a *Alias, now time.Duration) []Effect {
	if !a.staging() {
		return nil
	}
	migration := a.Migration
	ready := m.Versions[migration.To].readyCopies()
	switch {
	case ready >= migration.Copies:
		return s.fence(m, a, now)
	case now >= migration.RequestedAt+s.Settings.StagingTimeout:
		reason := fmt.Sprintf("%d of %d copies stood after %v", ready, migration.Copies, s.Settings.StagingTimeout)
		return s.abort(m, a, reason, now)
	}
	return nil
}

// abort ends a migration that is staging. The alias has not changed yet; an alias that the
// migration was to create is removed.
func (s *State) abort(m *Model, a *Alias, reason string, now time.Duration) []Effect {
	migration := a.Migration
	a.Migration = nil
	effects := []Effect{Aborted{migration.ID, reason}}
	if v := m.Versions[migration.To]; v.Phase == Staged && !isReferenced(m, migration.To) {
		v.enterPhase(Proposed, now)
		clear(v.Copies)
		effects = append(effects, Unstage{m.Name, migration.To})
	}
	if a.Revision == 0 {
		delete(m.Aliases, a.Name)
	}
	return effects
}

// isReferenced reports whether an alias names a version or a migration to it is staging.
func isReferenced(m *Model, version string) bool {
	for _, a := range m.Aliases {
		if a.Version == version || a.staging() && a.Migration.To == version {
			return true
		}
	}
	return false
}

// fence makes the alias name its new version in a new epoch. From then on the migration takes
// effect at one controller after the other; it is acknowledged once it has taken effect at all of
// them.
func (s *State) fence(m *Model, a *Alias, now time.Duration) []Effect {
	migration := a.Migration
	s.Epoch++
	migration.Fenced = true
	migration.Epoch = s.Epoch
	previous := a.Version
	a.Version = migration.To
	a.Revision++
	a.Epoch = s.Epoch
	if previous != "" && previous != migration.To {
		a.PreviousVersion = previous
	}
	if v := m.Versions[previous]; v != nil {
		if !isReferenced(m, previous) && v.Phase == Live {
			v.enterPhase(Retired, now)
		}
		v.ReplacedInEpoch = s.Epoch
	}
	if v := m.Versions[migration.To]; v != nil && v.Phase != Condemned {
		v.enterPhase(Live, now)
		v.Calls = 0
		v.Errors = 0
	}
	s.Fences = append(s.Fences, Fence{
		Migration:   migration.ID,
		Model:       m.Name,
		Alias:       a.Name,
		Epoch:       s.Epoch,
		AwaitsStale: migration.To == "" && s.mayBeStale(m),
	})
	return []Effect{Published{s.Epoch}}
}

// acknowledgeFences acknowledges the migrations whose epoch is confirmed, once no controller without
// a lease may answer for their model unless its policy permits that.
func (s *State) acknowledgeFences() (effects []Effect) {
	s.Fences = slices.DeleteFunc(s.Fences, func(f Fence) bool {
		if f.Epoch > s.ConfirmedEpoch || s.awaitsControllersWithoutLease(f) {
			return false
		}
		effects = append(effects, Acknowledged{f.Migration})
		a := s.Models[f.Model].Aliases[f.Alias]
		if a != nil && a.Migration != nil && a.Migration.ID == f.Migration {
			a.Migration = nil
		}
		return true
	})
	return effects
}

// unstageRetired releases the copies of versions that have been retired for at least the retention.
func (s *State) unstageRetired(now time.Duration) (effects []Effect) {
	for _, m := range sortedByName(s.Models) {
		for _, v := range sortedByName(m.Versions) {
			if v.Phase == Retired && len(v.Copies) > 0 && now >= v.PhaseSince+s.Settings.Retention {
				clear(v.Copies)
				effects = append(effects, Unstage{m.Name, v.Name})
			}
		}
	}
	return effects
}

// revertOnErrors migrates an alias back if the error rate of its new version exceeds that of the
// previous version by more than Settings.MaxErrorIncrease. It acts once per migration, within
// Settings.AutoRollbackWindow and on at least Settings.MinCalls calls. The decision can be wrong if
// the calls themselves changed at the same time.
func (s *State) revertOnErrors(m *Model, a *Alias, now time.Duration) []Effect {
	v := m.Versions[a.Version]
	previous := m.Versions[a.PreviousVersion]
	switch {
	case v == nil || previous == nil || previous.Phase != Retired:
		return nil // no version to roll back to
	case a.staging():
		return nil // an operator is already changing it
	case now >= v.PhaseSince+s.Settings.AutoRollbackWindow:
		return nil
	case v.Calls < s.Settings.MinCalls || previous.Calls == 0:
		return nil // no error rates to compare
	case v.errorRate() <= previous.errorRate()+s.Settings.MaxErrorIncrease:
		return nil
	}
	reason := fmt.Sprintf("%s fails in %d of %d calls, %s failed in %d of %d",
		v.Name, v.Errors, v.Calls, previous.Name, previous.Errors, previous.Calls)
	s.appendHistory(now, registryActor, fmt.Sprintf("move %s %s back to %s", m.Name, a.Name, previous.Name), reason)
	s.startMigration(a, a.PreviousVersion, registryActor, reason, now)
	effects := s.fence(m, a, now)
	a.PreviousVersion = "" // the registry must not migrate forward again by itself
	return effects
}

// NextDeadline returns when the passage of time alone will change something: a migration reaches
// its staging timeout, or a retired version the end of its retention. It returns 0 if nothing is
// due. A Tick applied at that time takes the step.
func (s *State) NextDeadline() (next time.Duration) {
	consider := func(deadline time.Duration) {
		if next == 0 || deadline < next {
			next = deadline
		}
	}
	for _, m := range s.Models {
		for _, a := range m.Aliases {
			if a.staging() {
				consider(a.Migration.RequestedAt + s.Settings.StagingTimeout)
			}
		}
		for _, v := range m.Versions {
			if v.Phase == Retired && len(v.Copies) > 0 {
				consider(v.PhaseSince + s.Settings.Retention)
			}
		}
	}
	return next
}

// Status returns the progress of a migration: "staging", "fenced", with a reason if it waits for
// controllers that have no lease, "acknowledged", "given up" with the reason, or "forgotten" if the migration never existed or is no longer remembered. The texts
// are part of the interface to operators.
func (s *State) Status(migration uint64) (status, reason string) {
	for _, end := range s.EndedMigrations {
		if end.Migration == migration {
			if end.Acknowledged {
				return "acknowledged", ""
			}
			return "given up", end.Reason
		}
	}
	for _, f := range s.Fences {
		if f.Migration != migration {
			continue
		}
		if s.awaitsControllersWithoutLease(f) {
			return "fenced", awaitsStaleReason
		}
		return "fenced", ""
	}
	for _, m := range s.Models {
		for _, a := range m.Aliases {
			if a.Migration != nil && a.Migration.ID == migration {
				return "staging", ""
			}
		}
	}
	return "forgotten", ""
}
