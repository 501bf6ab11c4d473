package hookadvice

import (
	"cmp"
	"slices"
	"time"
)

// subject is the property that an entry advises on.
type subject string

const (
	subjectCap    subject = "cap"    // limit on a tenant's calls in flight
	subjectRank   subject = "rank"   // preference for a worker
	subjectWarm   subject = "warm"   // copies of a function that stay loaded
	subjectWeight subject = "weight" // weight of a tenant
)

// subjectByKind maps each kind of advice that stays in force to its subject. "prefer" and "avoid"
// share a subject, so that the later one replaces the earlier one of the same script.
var subjectByKind = map[string]subject{
	"keep_warm":     subjectWarm,
	"tenant_weight": subjectWeight,
	"tenant_cap":    subjectCap,
	"prefer":        subjectRank,
	"avoid":         subjectRank,
}

// entryKey identifies an entry of a script. The name is that of a function, tenant or worker.
type entryKey struct {
	subject subject
	name    string
}

func (k entryKey) compare(o entryKey) int {
	return cmp.Or(cmp.Compare(k.subject, o.subject), cmp.Compare(k.name, o.name))
}

// entry is the latest advice of one script on one subject.
type entry struct {
	entryKey
	value     float64 // copies, weight, cap or rank; 0 if withdrawn
	expiresAt time.Duration
	damping   flapDamping
}

// maxSuppressions limits the backoff: the longest suppression is 2^maxSuppressions windows.
const maxSuppressions = 6

// flapDamping suppresses an entry whose value changes too often, because following it would load
// and evict copies, or migrate functions between workers, again and again. Consecutive suppressions
// double in length.
type flapDamping struct {
	changes         []time.Duration // times of the changes within the last window
	suppressions    int             // consecutive suppressions
	suppressedUntil time.Duration
}

// recordChange records a change of the value. It returns how long the entry is suppressed from now
// on, or 0 if it is not.
func (d *flapDamping) recordChange(now, window time.Duration, limit int) time.Duration {
	d.changes = slices.DeleteFunc(d.changes, func(at time.Duration) bool { return at <= now-window })
	if quiet := len(d.changes) == 0 && now > d.suppressedUntil+window; quiet {
		d.suppressions = max(0, d.suppressions-1)
	}
	d.changes = append(d.changes, now)
	if len(d.changes) <= limit {
		return 0
	}
	d.suppressions = min(d.suppressions+1, maxSuppressions)
	d.suppressedUntil = now + window<<d.suppressions
	d.changes = nil
	return window << d.suppressions
}

// expired reports whether neither a change nor a suppression falls within the last window.
func (d *flapDamping) expired(now, window time.Duration) bool {
	changed := len(d.changes) > 0 && d.changes[len(d.changes)-1] > now-window
	return !changed && d.suppressedUntil <= now-window
}
