package hookadvice

import (
	"cmp"
	"slices"
	"time"
)

// subject is what an entry advises on.
type subject string

const (
	subjectCap    subject = "cap"    // a tenant's cap
	subjectRank   subject = "rank"   // a worker's rank
	subjectWarm   subject = "warm"   // a function's warm copies
	subjectWeight subject = "weight" // a tenant's weight
)

// subjects are the subjects of the kinds of advice that are in force for a time. To prefer and to avoid have the
// same one: a script that gives both for one worker has changed its mind.
var subjectByKind = map[string]subject{
	"keep_warm":     subjectWarm,
	"tenant_weight": subjectWeight,
	"tenant_cap":    subjectCap,
	"prefer":        subjectRank,
	"avoid":         subjectRank,
}

// entryKey says on what an entry advises: name is that of the function, tenant or worker.
type entryKey struct {
	subject subject
	name    string
}

func (k entryKey) compare(o entryKey) int {
	return cmp.Or(cmp.Compare(k.subject, o.subject), cmp.Compare(k.name, o.name))
}

// entry is what one script last advised on one subject.
type entry struct {
	entryKey
	value     float64 // copies, weight, cap or rank; 0: withdrawn
	expiresAt time.Duration
	damping   flapDamping
}

// maxSuppressions bounds the backoff: the longest suppression is 2^maxSuppressions windows.
const maxSuppressions = 6

// flapDamping suppresses an entry whose value changes too often, for longer each time in a row: following it would
// load and evict copies, or migrate functions, over and over.
type flapDamping struct {
	changes         []time.Duration // when the value changed, within the last window
	suppressions    int             // in a row
	suppressedUntil time.Duration
}

// recordChange counts a change of the value. It returns for how long the entry is suppressed now, 0 if it is not.
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

// idle reports whether nothing of the last window has to be remembered.
func (d *flapDamping) expired(now, window time.Duration) bool {
	changed := len(d.changes) > 0 && d.changes[len(d.changes)-1] > now-window
	return !changed && d.suppressedUntil <= now-window
}
