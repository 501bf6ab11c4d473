package registry

import (
	"fmt"
	"slices"
	"time"
)

// advance lets every move go as far as it may: staged ones to their fence, fenced ones to their acknowledgement, those
// that took too long to their end, and versions that are worse than the one before back.
func (s *State) advance(now time.Duration) (out []Effect) {
	for _, m := range sortedByName(s.Models) {
		for _, a := range sortedByName(m.Aliases) {
			out = append(out, s.advanceStaging(m, a, now)...)
			out = append(out, s.revertOnErrors(m, a, now)...)
		}
	}
	out = append(out, s.acknowledgeFences()...)
	for _, m := range sortedByName(s.Models) {
		for _, v := range sortedByName(m.Versions) {
			if v.Phase == Retired && len(v.Copies) > 0 && now >= v.Since+s.Settings.Retention {
				clear(v.Copies)
				out = append(out, Unstage{m.Name, v.Name})
			}
		}
	}
	return out
}

// advanceStaging takes a move to its fence once enough copies stand, or gives it up. While the old and the new version cannot
// both be held, the copies never stand: the move ends with the alias as it was.
func (s *State) advanceStaging(m *Model, a *Alias, now time.Duration) []Effect {
	mv := a.Migration
	if mv == nil || mv.Fenced {
		return nil
	}
	n := 0
	for _, c := range m.Versions[mv.To].Copies {
		n += c
	}
	switch {
	case n >= mv.Copies:
		return s.fence(m, a, now)
	case now >= mv.RequestedAt+s.Settings.StagingTimeout:
		return s.abort(m, a, fmt.Sprintf("%d of %d copies stood after %v", n, mv.Copies, s.Settings.StagingTimeout), now)
	}
	return nil
}

// abort ends a move that has not been fenced. The alias was never touched.
func (s *State) abort(m *Model, a *Alias, why string, now time.Duration) []Effect {
	mv := a.Migration
	a.Migration = nil
	out := []Effect{Aborted{mv.ID, why}}
	if v := m.Versions[mv.To]; v.Phase == Staged && !s.isReferenced(m, mv.To) {
		v.Phase, v.Since = Proposed, now
		clear(v.Copies)
		out = append(out, Unstage{m.Name, mv.To})
	}
	if a.Revision == 0 {
		delete(m.Aliases, a.Name)
	}
	return out
}

// isReferenced tells whether an alias names a version, or a move goes to it.
func (s *State) isReferenced(m *Model, version string) bool {
	for _, a := range m.Aliases {
		if a.Version == version || a.Migration != nil && a.Migration.To == version && !a.Migration.Fenced {
			return true
		}
	}
	return false
}

// fence makes the alias name its new version in a new epoch. From here on the move takes effect, controller by
// controller; the operator hears of it when it has done so everywhere.
func (s *State) fence(m *Model, a *Alias, now time.Duration) []Effect {
	mv := a.Migration
	s.Epoch++
	mv.Fenced, mv.Epoch = true, s.Epoch
	old := a.Version
	a.Version, a.Revision, a.Epoch = mv.To, a.Revision+1, s.Epoch
	if old != "" && old != mv.To {
		a.PreviousVersion = old
	}
	if v := m.Versions[old]; v != nil && !s.isReferenced(m, old) && v.Phase == Live {
		v.Phase, v.Since = Retired, now
	}
	if v := m.Versions[old]; v != nil {
		v.AbandonedInEpoch = s.Epoch
	}
	if v := m.Versions[mv.To]; v != nil && v.Phase != Condemned {
		v.Phase, v.Since, v.Calls, v.Errors = Live, now, 0, 0
	}
	s.Fences = append(s.Fences, Fence{mv.ID, m.Name, a.Name, s.Epoch})
	return []Effect{Published{s.Epoch}}
}

// acknowledgeFences acknowledges the moves that no controller can act against any more.
func (s *State) acknowledgeFences() (out []Effect) {
	s.Fences = slices.DeleteFunc(s.Fences, func(f Fence) bool {
		if f.Epoch > s.Confirmed {
			return false
		}
		out = append(out, Acknowledged{f.Migration})
		if a := s.Models[f.Model].Aliases[f.Alias]; a != nil && a.Migration != nil && a.Migration.ID == f.Migration {
			a.Migration = nil
		}
		return true
	})
	return out
}

// NextDeadline returns when time alone will change something: a move that takes too long, copies that need not be kept. 0: never.
func (s *State) NextDeadline() (due time.Duration) {
	note := func(at time.Duration) {
		if due == 0 || at < due {
			due = at
		}
	}
	for _, m := range s.Models {
		for _, a := range m.Aliases {
			if a.Migration != nil && !a.Migration.Fenced {
				note(a.Migration.RequestedAt + s.Settings.StagingTimeout)
			}
		}
		for _, v := range m.Versions {
			if v.Phase == Retired && len(v.Copies) > 0 {
				note(v.Since + s.Settings.Retention)
			}
		}
	}
	return due
}

// revertOnErrors moves an alias back where its new version fails clearly more often than the one before did. It acts once a
// move, within Watch, on at least Least calls; it could hurt where the calls themselves changed with the move.
func (s *State) revertOnErrors(m *Model, a *Alias, now time.Duration) []Effect {
	v, before := m.Versions[a.Version], m.Versions[a.PreviousVersion]
	if v == nil || before == nil || before.Phase != Retired || a.Migration != nil && !a.Migration.Fenced || now >= v.Since+s.Settings.ErrorWatch ||
		v.Calls < s.Settings.MinCalls || before.Calls == 0 {
		return nil
	}
	if errorRate(v) <= errorRate(before)+s.Settings.MaxErrorIncrease {
		return nil
	}
	why := fmt.Sprintf("%s fails in %d of %d calls, %s failed in %d of %d", v.Name, v.Errors, v.Calls, before.Name, before.Errors, before.Calls)
	s.appendHistory(now, "registry", fmt.Sprintf("move %s %s back to %s", m.Name, a.Name, before.Name), why)
	s.LastMigration++
	a.Migration = &Migration{ID: s.LastMigration, From: a.Version, To: a.PreviousVersion, By: "registry", Why: why, RequestedAt: now}
	out := s.fence(m, a, now)
	a.PreviousVersion = "" // not forth again by itself
	return out
}

func errorRate(v *Version) float64 { return float64(v.Errors) / float64(max(1, v.Calls)) }
