package hookengine

import (
	"fmt"
	"time"
)

// recoveryRuns times ConsecutiveFaults is the number of runs with a closed circuit after which one
// opening is no longer counted.
const recoveryRuns = 10

// circuit is the circuit breaker of a live version. It opens after several consecutive faults,
// stays open for a backoff, and then admits one run as a probe, which closes it or opens it again.
type circuit struct {
	consecutiveFaults int
	openings          int // consecutive
	open              bool
	openUntil         time.Duration // when a probe may run
	probing           bool          // the next run is the probe
}

// recordFault counts a fault and reports whether it opens the circuit.
func (c *circuit) recordFault(limit int) bool {
	if c.open && !c.probing { // the run began before the circuit opened
		return false
	}
	c.consecutiveFaults++
	if c.consecutiveFaults < limit && !c.probing {
		return false
	}
	c.consecutiveFaults = 0
	c.probing = false
	c.openings++
	return true
}

// awaitsProbe reports whether the circuit is open, its probe has not started, and the version is
// not quarantined.
func (s *Script) awaitsProbe() bool {
	return s.circuit.open && !s.circuit.probing && s.Live != nil && s.Live.QuarantineReason == ""
}

// RecordRun records a run of the live version: its fault, "" if it had none, and the instructions
// it took. Several consecutive faults open the circuit for a backoff with jitter. After several
// consecutive openings the version is quarantined: the previous version becomes live, unless it is
// quarantined too, in which case no version runs until an operator intervenes.
func (l *Lifecycle) RecordRun(now time.Duration, name string, version uint64, fault string, fuel int64) {
	s := l.Find(name)
	if s == nil || s.Live == nil || s.Live.Number != version {
		return // the run of a version that is no longer live
	}
	s.LiveStats.Runs++
	s.LiveStats.Fuel += fuel
	if fault == "" {
		l.recordSuccess(s)
		return
	}
	s.LiveStats.Faults++
	s.LastFault = fault
	if !s.circuit.recordFault(l.settings.ConsecutiveFaults) {
		return
	}
	if s.circuit.openings <= l.settings.MaxOpenings {
		l.openCircuit(now, s)
	} else {
		l.quarantine(s)
	}
}

func (l *Lifecycle) recordSuccess(s *Script) {
	c := &s.circuit
	c.consecutiveFaults = 0
	if c.open && c.probing {
		c.open = false
		c.probing = false
		l.recordChange(s, false, "version %d: probe succeeded, circuit closed", s.Live.Number)
		return
	}
	if !c.open && c.openings > 0 && s.LiveStats.Runs%int64(recoveryRuns*l.settings.ConsecutiveFaults) == 0 {
		c.openings--
	}
}

func (l *Lifecycle) openCircuit(now time.Duration, s *Script) {
	backoff := min(l.settings.MaxBackoff, l.settings.InitialBackoff<<(s.circuit.openings-1))
	backoff += time.Duration(l.rng.Float64() * 0.5 * float64(backoff)) // jitter
	s.circuit.open = true
	s.circuit.openUntil = now + backoff
	l.recordChange(s, true, "version %d: %s: circuit open for %v", s.Live.Number, s.LastFault, backoff.Round(time.Millisecond))
}

// quarantine stops the live version because of its last fault, and reverts to the previous version
// unless that is quarantined too.
func (l *Lifecycle) quarantine(s *Script) {
	faulty, fault := s.Live, s.LastFault
	faulty.QuarantineReason = fault
	if s.Previous != nil && s.Previous.QuarantineReason == "" {
		s.activate(s.Previous)
		l.recordChange(s, true, "version %d quarantined: %s: rolled back to version %d", faulty.Number, fault, s.Live.Number)
		return
	}
	s.circuit.open = false
	l.recordChange(s, true, "version %d quarantined: %s", faulty.Number, fault)
}

// StartProbes admits one run of each version whose circuit has been open for its backoff.
func (l *Lifecycle) StartProbes(now time.Duration) {
	for _, s := range l.Scripts {
		if s.awaitsProbe() && now >= s.circuit.openUntil {
			s.circuit.probing = true
			text := fmt.Sprintf("version %d: probing with one run", s.Live.Number)
			// Nothing that is stored changes, so the lifecycle does not become dirty.
			l.changes = append(l.changes, Change{Script: s.Name, Live: s.Live, Text: text})
		}
	}
}

// NextProbe returns the time of the next probe that StartProbes can admit, or 0 if there is none.
func (l *Lifecycle) NextProbe() (at time.Duration) {
	for _, s := range l.Scripts {
		if s.awaitsProbe() && (at == 0 || s.circuit.openUntil < at) {
			at = s.circuit.openUntil
		}
	}
	return at
}

// WithinRate reports whether a version may run on the engine's goroutine now: it may be ahead of
// its instruction rate by at most two seconds. A version that exceeds the rate misses events, but
// its advice is treated as before. The rate leaves the machine's cores to calls.
func (l *Lifecycle) WithinRate(now time.Duration, stats *RunStats) bool {
	rate := l.settings.InstructionRate
	credit := int64(max(0, now-stats.creditedAt).Seconds() * float64(rate))
	stats.instructionDebt = max(0, stats.instructionDebt-credit)
	stats.creditedAt = now
	if stats.instructionDebt > 2*rate {
		stats.Skipped++
		return false
	}
	return true
}

// RecordShadowRun records a run of the shadow version. The argument same tells whether its advice
// equals that of the live version.
func (l *Lifecycle) RecordShadowRun(name string, version uint64, fault string, fuel int64, same bool) {
	s := l.Find(name)
	if s == nil || s.Shadow == nil || s.Shadow.Number != version {
		return
	}
	s.ShadowStats.Runs++
	s.ShadowStats.Fuel += fuel
	s.ShadowStats.instructionDebt += fuel
	if fault != "" {
		s.ShadowStats.Faults++
		s.LastFault = fault
	} else if !same {
		s.ShadowStats.Mismatches++
	}
}
