package registry

import (
	"maps"
	"slices"
	"time"

	"kitehub/scheduler"
)

// A AliasName is what a call asks for.
type AliasName struct{ Model, Alias string }

// A Target is what an alias named at some time. Two targets with the same version may differ in revision: the alias was
// moved away and back, and the answer of the earlier time is one of a version that was left.
type Target struct {
	Version  string
	Digest   string
	Revision uint64
}

// ViewUpdate is what the registry tells a controller: all aliases at an epoch, or those that changed since another.
type ViewUpdate struct {
	Epoch     uint64
	Since     uint64 // 0: all are told, and what is not told is no alias
	Targets   map[AliasName]Target
	Stale     map[string]bool // all models for which an answer without a lease is better than none
	Condemned []string        // digests that are condemned
	Lease     time.Duration
	Settle    time.Duration // how long calls that run under a target that was left may go on to their answer
}

// Send returns what a controller is to know now that holds an epoch; 0: nothing. An alias that names no version is told
// as an empty target.
func (s *State) Send(since uint64) ViewUpdate {
	if since > s.Epoch {
		since = 0
	}
	t := ViewUpdate{Epoch: s.Epoch, Since: since, Targets: map[AliasName]Target{}, Lease: s.Settings.LeaseDuration, Settle: s.Settings.SettleTimeout}
	t.Condemned = slices.Sorted(maps.Keys(s.Condemned))
	for _, m := range s.Models {
		if m.Stale {
			if t.Stale == nil {
				t.Stale = map[string]bool{}
			}
			t.Stale[m.Name] = true
		}
		for _, a := range m.Aliases {
			if a.Revision == 0 || a.Epoch <= since && since > 0 {
				continue
			}
			target := Target{Revision: a.Revision}
			if v := m.Versions[a.Version]; v != nil {
				target.Version, target.Digest = v.Name, v.Digest
			}
			t.Targets[AliasName{m.Name, a.Name}] = target
		}
	}
	return t
}

// A View is what one controller knows of the registry. The zero value knows nothing.
type View struct {
	current  ViewUpdate
	leaseEnd time.Duration // by the controller's own clock
	// superseded are targets that were left by moves which this controller has not confirmed: no such move is acknowledged
	// yet, so calls that run under them may still be answered, but no new ones begin. It is never changed in place.
	superseded map[AliasName][]Target
}

// Update takes in what the registry told and tells whether it fits. asked is when the controller asked, by its own clock:
// the lease counts from there, as the registry counts it from when it heard, which is later. An older epoch than the one
// held is passed over; so are changes since a newer one: all is to be asked for then.
func (v *View) Update(asked time.Duration, t ViewUpdate) bool {
	if t.Epoch < v.current.Epoch || t.Since > v.current.Epoch {
		return false
	}
	if t.Since > 0 {
		all := v.current.Targets
		if len(t.Targets) > 0 { // changes since an older epoch hold those since the one held
			all = maps.Clone(all)
			maps.Copy(all, t.Targets)
		}
		t.Targets = all
	}
	leaving := map[AliasName][]Target{}
	for n, l := range v.superseded {
		leaving[n] = slices.Clone(l)
	}
	if t.Epoch > v.current.Epoch {
		for n, old := range v.current.Targets {
			if held := t.Targets[n]; held != old && old.Version != "" {
				leaving[n] = append(leaving[n], old)
			}
		}
	}
	for n, l := range leaving { // an alias that names nothing, and bytes that are barred, leave at once
		l = slices.DeleteFunc(l, func(x Target) bool { return t.Targets[n].Version == "" || slices.Contains(t.Condemned, x.Digest) })
		if leaving[n] = l; len(l) == 0 {
			delete(leaving, n)
		}
	}
	v.superseded = leaving
	t.Since = 0
	v.leaseEnd = max(v.leaseEnd, asked+t.Lease)
	v.current = t
	return true
}

// Epoch is what to confirm with the next Renew.
func (v *View) Epoch() uint64 { return v.current.Epoch }

// Verdict says whether something may be done under an alias.
type Verdict int

const (
	Allowed         Verdict = iota + 1
	Superseded              // the alias has left that target: the answer is not handed out
	NoLease                 // the registry was not heard for too long: the alias may have moved
	Unknown                 // no such alias
	BeingSuperseded         // the alias has left that target, and no move is acknowledged: answered if it runs, not begun
)

// BeingSuperseded returns the targets that may still be answered and no longer begun.
func (v *View) BeingSuperseded() map[AliasName][]Target { return v.superseded }

// Settled returns the view in which nothing is leaving any more. A controller that acts by it may confirm its epoch.
func (v *View) Settled() View {
	s := *v
	s.superseded = nil
	return s
}

// SettleWithin returns how long the registry lets calls go on under targets that were left.
func (v *View) SettleWithin() time.Duration { return v.current.Settle }

// Resolve returns what an alias names now. A call keeps its target to the end.
func (v *View) Resolve(now time.Duration, n AliasName) (Target, Verdict) {
	t, ok := v.current.Targets[n]
	switch {
	case now >= v.leaseEnd && !v.current.Stale[n.Model]:
		return Target{}, NoLease
	case !ok || t.Version == "":
		return Target{}, Unknown
	}
	return t, Allowed
}

// LeaseEnd returns when the lease ends, by the controller's own clock.
func (v *View) LeaseEnd() time.Duration { return v.leaseEnd }

// Stale tells whether a model's answers are better than none while there is no lease.
func (v *View) Stale(model string) bool { return v.current.Stale[model] }

// MayAnswer tells whether an answer of a target may be handed out at this very moment. An answer known to be left is
// never handed out, also where stale is fine.
func (v *View) MayAnswer(now time.Duration, n AliasName, t Target) Verdict {
	switch held, ok := v.current.Targets[n]; {
	case (!ok || held != t) && now < v.leaseEnd && slices.Contains(v.superseded[n], t):
		return BeingSuperseded // also where stale is fine: once the lease is over, the move may be acknowledged
	case !ok || held != t:
		return Superseded
	case now >= v.leaseEnd && !v.current.Stale[n.Model]:
		return NoLease
	}
	return Allowed
}

// A NextStep is what becomes of a call whose target was left, or may have been.
type NextStep int

const (
	Wait    NextStep = iota + 1 // an attempt is out: its outcome decides
	Restart                     // again from the start, under the alias's new target
	Reject                      // trying again does no harm
	Fail                        // it may have run, and must not twice
)

// MaxRestarts is how often one call may begin anew: an alias that moves faster than calls run would keep it for ever.
const MaxRestarts = 3

// AfterSuperseded decides what becomes of a call that its alias has left: a question of its effect and of what may have run.
//
// A safe call begins anew at once, and what is out is withdrawn. One that certainly never ran begins anew too. A keyed
// or unsafe one that may have run is neither repeated nor refused: its key guards it under the version that was left
// only, and under the new one it would be a second effect. While an attempt of it is out, its outcome is waited for: it
// may prove that nothing ran.
func AfterSuperseded(e scheduler.Idempotency, out, mayHaveRun bool, times int) NextStep {
	switch {
	case e != scheduler.Idempotent && out:
		return Wait
	case e != scheduler.Idempotent && mayHaveRun:
		return Fail
	case times >= MaxRestarts:
		return Reject
	}
	return Restart
}

// WithoutLease decides what becomes of a call that may neither go on nor be answered, as the registry was not heard for
// too long.
func WithoutLease(e scheduler.Idempotency, out, mayHaveRun bool) NextStep {
	if n := AfterSuperseded(e, out, mayHaveRun, MaxRestarts); n == Fail || n == Wait {
		return n
	}
	return Reject
}
