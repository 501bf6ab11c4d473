package hookengine

import (
	"fmt"
	"time"
)

// Ran notes one run of a version; fault is "" for a good one. Runs of a version that is no longer live are ignored.
//
// A version that makes several faults in a row is not run for a time, with jitter, and then probed by one run. After
// several such times it is quarantined: the version before takes over if it was not quarantined itself, otherwise
// nothing runs until an operator acts.
func (l *Lifecycle) Ran(now time.Duration, name string, version uint64, fault string, fuel int64) {
	s := l.Find(name)
	if s == nil || s.Live == nil || s.Live.Number != version {
		return
	}
	s.Tally.Runs++
	s.Tally.Fuel += fuel
	if fault == "" {
		l.ranWell(s)
		return
	}
	s.Tally.Faults++
	s.Fault = fault
	if s.open && !s.probing { // the run began before the circuit opened
		return
	}
	if s.consecutiveFaults++; s.consecutiveFaults < l.settings.ConsecutiveFaults && !s.probing {
		return
	}
	s.consecutiveFaults = 0
	s.probing = false
	s.openings++
	if s.openings <= l.settings.Openings {
		l.openCircuit(s, now)
	} else {
		l.quarantine(s)
	}
}

// ranWell notes a run without a fault. Many of them make up for one opening of the circuit.
func (l *Lifecycle) ranWell(s *Script) {
	s.consecutiveFaults = 0
	makesUp := s.Tally.Runs%int64(10*l.settings.ConsecutiveFaults) == 0
	if s.open && s.probing {
		s.open = false
		s.probing = false
		l.change(s, false, "version %d runs again", s.Live.Number)
	} else if !s.open && s.openings > 0 && makesUp {
		s.openings--
	}
}

// openCircuit has the live version not run for a time.
func (l *Lifecycle) openCircuit(s *Script, now time.Duration) {
	back := min(l.settings.Longest, l.settings.Back<<(s.openings-1))
	back += time.Duration(l.rng.Float64() * 0.5 * float64(back))
	s.open = true
	s.openUntil = now + back
	l.change(s, true, "version %d: %s: not run for %v", s.Live.Number, s.Fault, back.Round(time.Millisecond))
}

// quarantine has the live version not run again, and reverts to the one before if that is not quarantined.
func (l *Lifecycle) quarantine(s *Script) {
	bad := s.Live
	bad.Bad = s.Fault
	if s.Before != nil && s.Before.Bad == "" {
		s.revert()
		l.change(s, true, "version %d is given up: %s: back to version %d", bad.Number, bad.Bad, s.Live.Number)
		return
	}
	s.open = false
	l.change(s, true, "version %d is in quarantine: %s", bad.Number, bad.Bad)
}

const maxDebtSeconds = 2 // of a version's rate

// Affords reports whether a version may run aside now: it may be at most some seconds of its rate in debt. One that
// costs more misses events, but its advice counts no less; the machine's other cores are for calls.
func (l *Lifecycle) Affords(now time.Duration, t *Tally) bool {
	elapsed := max(0, now-t.debtAt)
	t.debt = max(0, t.debt-int64(elapsed.Seconds()*float64(l.settings.Rate)))
	t.debtAt = now
	if t.debt > maxDebtSeconds*l.settings.Rate {
		t.Skipped++
		return false
	}
	return true
}

// Tried notes one run of a version in the shadow; same says whether it advised what the live version did. Runs of a
// version that is no longer in the shadow are ignored.
func (l *Lifecycle) Tried(name string, version uint64, fault string, fuel int64, same bool) {
	s := l.Find(name)
	if s == nil || s.Shadow == nil || s.Shadow.Number != version {
		return
	}
	s.Trial.Runs++
	s.Trial.Fuel += fuel
	s.Trial.debt += fuel
	if fault != "" {
		s.Trial.Faults++
		s.Fault = fault
	} else if !same {
		s.Trial.Differ++
	}
}

// Due lets the versions be probed whose time off is over.
func (l *Lifecycle) Due(now time.Duration) {
	for _, s := range l.Scripts {
		if s.waits() && now >= s.openUntil {
			s.probing = true
			text := fmt.Sprintf("version %d is tried", s.Live.Number)
			l.changes = append(l.changes, Change{Script: s.Name, Live: s.Live, Text: text})
		}
	}
}

// Next returns when Due has something to do; 0: never.
func (l *Lifecycle) Next() (due time.Duration) {
	for _, s := range l.Scripts {
		if s.waits() && (due == 0 || s.openUntil < due) {
			due = s.openUntil
		}
	}
	return due
}
