package registry

import (
	"maps"
	"slices"
	"time"
)

// AliasName identifies an alias of a model. Calls name their version by it.
type AliasName struct{ Model, Alias string }

// A Target is what an alias names at some time. Two targets of the same version can differ in their
// revision: the alias migrated to another version and back in between, so the earlier target is
// superseded.
type Target struct {
	Version  string // empty if the alias names no version
	Digest   string
	Revision uint64
}

// A ViewUpdate is what the registry sends to a controller: all aliases as of an epoch, or those
// that changed since an earlier epoch.
type ViewUpdate struct {
	Epoch         uint64
	Since         uint64 // Targets are the changes since this epoch; 0 if they are complete
	Targets       map[AliasName]Target
	AllowStale    map[string]bool // every model that permits answers without a lease; nil if none
	StaleDuration time.Duration   // how long after the lease AllowStale permits answers
	Condemned     []string        // every condemned digest, sorted
	LeaseDuration time.Duration   // counted from the time at which the controller sent its request
	SettleTimeout time.Duration   // how long calls under a superseded target may continue
}

// ViewSince returns the update for a controller that has the given epoch, or 0 if it has none. An
// alias that names no version is included as a target that has only a revision.
func (s *State) ViewSince(since uint64) ViewUpdate {
	if since > s.Epoch { // from another registry: send everything
		since = 0
	}
	update := ViewUpdate{
		Epoch:         s.Epoch,
		Since:         since,
		Targets:       map[AliasName]Target{},
		Condemned:     slices.Sorted(maps.Keys(s.Condemned)),
		LeaseDuration: s.Settings.LeaseDuration,
		StaleDuration: s.Settings.StaleDuration,
		SettleTimeout: s.Settings.SettleTimeout,
	}
	for _, m := range s.Models {
		if m.AllowStale {
			if update.AllowStale == nil {
				update.AllowStale = map[string]bool{}
			}
			update.AllowStale[m.Name] = true
		}
		for _, a := range m.Aliases {
			neverFenced := a.Revision == 0
			known := since > 0 && a.Epoch <= since
			if !neverFenced && !known {
				update.Targets[AliasName{m.Name, a.Name}] = m.target(a)
			}
		}
	}
	return update
}

// target returns what an alias of the model names now.
func (m *Model) target(a *Alias) Target {
	target := Target{Revision: a.Revision}
	if v := m.Versions[a.Version]; v != nil {
		target.Version = v.Name
		target.Digest = v.Digest
	}
	return target
}

// A View is what one controller knows of the registry. The zero value knows no alias and permits
// nothing.
//
// Its methods may be called concurrently, except Update. A copy of a View is independent of the
// original: Update replaces the maps that the two share and never changes them.
type View struct {
	current  ViewUpdate    // complete: Since is 0
	leaseEnd time.Duration // by the controller's own clock
	staleEnd time.Duration // of answers without a lease; 0 if there never were any
	// superseded are the targets of migrations that this controller has not confirmed yet and learnt
	// of within its lease. These migrations are not acknowledged, so calls that already run under
	// the targets may still be answered, but no new calls start under them.
	superseded map[AliasName][]Target
}

// Update applies an update from the registry and reports whether it fits the View. It does not fit
// if its epoch is older than that of the View, or if it holds changes since a newer epoch; the
// controller then requests everything.
//
// sentAt is when the controller sent its request, and receivedAt when it received the response, by its
// own clock. The lease counts from sentAt; the registry counts it from the time at which the request
// arrived, which is later. If the previous lease had ended by receivedAt, the registry may have
// acknowledged the migrations of the update already, so calls under the replaced targets may not
// finish.
func (v *View) Update(sentAt, receivedAt time.Duration, update ViewUpdate) bool {
	if update.Epoch < v.current.Epoch || update.Since > v.current.Epoch {
		return false
	}
	if update.Since > 0 {
		targets := v.current.Targets
		if len(update.Targets) > 0 { // changes since an older epoch include those since the View's
			targets = maps.Clone(targets)
			maps.Copy(targets, update.Targets)
		}
		update.Targets = targets
		update.Since = 0
	}
	if receivedAt < v.leaseEnd {
		v.superseded = v.supersededAfter(update)
	} else {
		v.superseded = nil
	}
	v.leaseEnd = max(v.leaseEnd, sentAt+update.LeaseDuration)
	if update.StaleDuration > 0 {
		v.staleEnd = max(v.staleEnd, sentAt+update.LeaseDuration+update.StaleDuration)
	}
	v.current = update
	return true
}

// supersededAfter returns the targets under which calls may still finish once a complete update is
// in effect: those under which they may finish now, and those that the update replaces. Targets
// with condemned bytes, and targets of an alias that no longer names a version, are excluded: their
// calls get no time to finish.
func (v *View) supersededAfter(update ViewUpdate) map[AliasName][]Target {
	superseded := map[AliasName][]Target{}
	for name, targets := range v.superseded {
		superseded[name] = slices.Clone(targets)
	}
	if update.Epoch > v.current.Epoch {
		for name, previous := range v.current.Targets {
			if update.Targets[name] != previous && previous.Version != "" {
				superseded[name] = append(superseded[name], previous)
			}
		}
	}
	for name, targets := range superseded {
		targets = slices.DeleteFunc(targets, func(t Target) bool {
			return update.Targets[name].Version == "" || slices.Contains(update.Condemned, t.Digest)
		})
		if len(targets) == 0 {
			delete(superseded, name)
		} else {
			superseded[name] = targets
		}
	}
	return superseded
}

// Epoch returns the epoch of the view. The controller confirms it with its next request once
// nothing acts under an older epoch.
func (v *View) Epoch() uint64 { return v.current.Epoch }

// Verdict says whether a call may start or be answered under an alias.
type Verdict int

// The verdicts of Resolve and MayAnswer.
const (
	// Allowed means that the alias names the target.
	Allowed Verdict = iota + 1
	// Superseded means that the alias has migrated: an answer of the target must not be returned.
	Superseded
	// NoLease means that the lease has expired, so the alias may have migrated.
	NoLease
	// Unknown means that the alias does not exist or names no version.
	Unknown
	// BeingSuperseded means that the alias has migrated and the migration is not acknowledged yet:
	// a call that already runs may be answered, but a new one may not start.
	BeingSuperseded
)

// BeingSuperseded returns the targets under which calls may still be answered but not started. The
// caller must not change the map.
func (v *View) BeingSuperseded() map[AliasName][]Target { return v.superseded }

// Settled returns the view without the targets that are being superseded. A controller that acts
// under it may confirm its epoch.
func (v *View) Settled() View {
	settled := *v
	settled.superseded = nil
	return settled
}

// SettleTimeout returns how long the registry lets calls under superseded targets continue.
func (v *View) SettleTimeout() time.Duration { return v.current.SettleTimeout }

// Resolve returns what an alias names now, with Allowed, NoLease or Unknown. A call keeps its
// target until it ends.
func (v *View) Resolve(now time.Duration, alias AliasName) (Target, Verdict) {
	target, ok := v.current.Targets[alias]
	switch {
	case now >= v.answerEnd(alias.Model):
		return Target{}, NoLease
	case !ok || target.Version == "":
		return Target{}, Unknown
	}
	return target, Allowed
}

// LeaseEnd returns when the lease ends, by the controller's own clock.
func (v *View) LeaseEnd() time.Duration { return v.leaseEnd }

// StaleModels returns the models that permit answers without a lease, sorted.
func (v *View) StaleModels() []string { return slices.Sorted(maps.Keys(v.current.AllowStale)) }

// AnswerEnd returns when answers of a target must have been written, by the controller's own clock:
// at the end of the lease, or later if the model permits answers without one and the target is not
// superseded.
func (v *View) AnswerEnd(alias AliasName, target Target) time.Duration {
	if v.current.Targets[alias] != target {
		return v.leaseEnd
	}
	return v.answerEnd(alias.Model)
}

// answerEnd returns when the permission to answer under the aliases of a model ends.
func (v *View) answerEnd(model string) time.Duration {
	if v.current.AllowStale[model] {
		return max(v.leaseEnd, v.staleEnd)
	}
	return v.leaseEnd
}

// MayAnswer reports whether an answer of a target may be returned at this moment. An answer of a
// target that is known to be superseded may not, even if the model permits answers without a lease.
func (v *View) MayAnswer(now time.Duration, alias AliasName, target Target) Verdict {
	named, known := v.current.Targets[alias]
	isCurrent := known && named == target
	hasLease := now < v.leaseEnd
	switch {
	case !isCurrent && hasLease && slices.Contains(v.superseded[alias], target):
		return BeingSuperseded // requires a lease: without one the migration may already be acknowledged
	case !isCurrent:
		return Superseded
	case now >= v.answerEnd(alias.Model):
		return NoLease
	}
	return Allowed
}
