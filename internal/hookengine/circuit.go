package hookengine

import (
	"fmt"
	"time"
)

// recoveryRuns times ConsecutiveFaults is how many runs with a closed circuit make up for one opening.
const recoveryRuns = 10

// circuit is the circuit breaker of a live version. It opens after several faults in a row, is open for a backoff,
// and then admits one run as a probe, which closes it or opens it again.
type circuit struct {
	consecutiveFaults int
	openings          int // in a row
	open              bool
	openUntil         time.Duration // then a probe may run
	probing           bool          // the next run is the probe
}

// recordFault counts a fault and reports whether the circuit must open because of it.
func (c *circuit) recordFault(limit int) bool {
	if c.open && !c.probing { // of a run that began before the circuit opened
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

// awaitsProbe reports whether the circuit of a version that may run waits for its probe.
func (s *Script) awaitsProbe() bool {
	return s.circuit.open && !s.circuit.probing && s.Live != nil && s.Live.QuarantineReason == ""
}

// RecordRun counts a run of the live version; fault is "" if it had none, fuel its instructions. Several faults in
// a row open the circuit, for a backoff with jitter; after several openings in a row the version is quarantined.
// The previous version then becomes live if it is not quarantined itself, else none runs until an operator acts.
func (l *Lifecycle) RecordRun(now time.Duration, name string, version uint64, fault string, fuel int64) {
	s := l.Find(name)
	if s == nil || s.Live == nil || s.Live.Number != version {
		return // of a version that is no longer live: it says nothing about the one that is
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
		l.change(s, false, "version %d runs again", s.Live.Number)
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
	l.change(s, true, "version %d: %s: not run for %v", s.Live.Number, s.LastFault, backoff.Round(time.Millisecond))
}

// quarantine stops the live version for its last fault, and goes back to the previous one if that may run.
func (l *Lifecycle) quarantine(s *Script) {
	faulty, fault := s.Live, s.LastFault
	faulty.QuarantineReason = fault
	if s.Previous != nil && s.Previous.QuarantineReason == "" {
		s.activate(s.Previous)
		l.change(s, true, "version %d is given up: %s: back to version %d", faulty.Number, fault, s.Live.Number)
		return
	}
	s.circuit.open = false
	l.change(s, true, "version %d is in quarantine: %s", faulty.Number, fault)
}

// StartProbes admits one run of the versions whose circuit has been open for its backoff.
func (l *Lifecycle) StartProbes(now time.Duration) {
	for _, s := range l.Scripts {
		if s.awaitsProbe() && now >= s.circuit.openUntil {
			s.circuit.probing = true
			text := fmt.Sprintf("version %d is tried", s.Live.Number)
			l.changes = append(l.changes, Change{Script: s.Name, Live: s.Live, Text: text}) // not stored: not dirty
		}
	}
}

// NextProbe returns when StartProbes has something to do, 0: never.
func (l *Lifecycle) NextProbe() (at time.Duration) {
	for _, s := range l.Scripts {
		if s.awaitsProbe() && (at == 0 || s.circuit.openUntil < at) {
			at = s.circuit.openUntil
		}
	}
	return at
}

// WithinRate reports whether a version may run on the engine's goroutine now: its debt is at most two seconds of
// its instruction rate. A version that exceeds its rate misses events, but its advice counts no less. This leaves
// the machine's cores to calls.
func (l *Lifecycle) WithinRate(now time.Duration, t *RunStats) bool {
	rate := l.settings.InstructionRate
	credit := int64(max(0, now-t.paidAt).Seconds() * float64(rate))
	t.debt = max(0, t.debt-credit)
	t.paidAt = now
	if t.debt > 2*rate {
		t.Skipped++
		return false
	}
	return true
}

// RecordTrial counts a run of the shadow version; same reports whether it advised what the live version did.
func (l *Lifecycle) RecordShadowRun(name string, version uint64, fault string, fuel int64, same bool) {
	s := l.Find(name)
	if s == nil || s.Shadow == nil || s.Shadow.Number != version {
		return
	}
	s.ShadowStats.Runs++
	s.ShadowStats.Fuel += fuel
	s.ShadowStats.debt += fuel
	if fault != "" {
		s.ShadowStats.Faults++
		s.LastFault = fault
	} else if !same {
		s.ShadowStats.Mismatches++
	}
}
