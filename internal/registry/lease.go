package registry

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"time"
)

// Leases are the registry's side of the controllers' permission to answer. Not safe for concurrent use.
//
// They are no part of a State and are not stored: a lease lives as long as the process that granted it, and a new
// process waits for the time of one lease before it assumes that no earlier one is left. So no answer to a controller
// waits for a disk, and a full disk stops migrations but not calls.
type Leases struct {
	settings   Settings
	graceUntil time.Duration // until then an unknown controller may hold a lease of the previous process
	holders    map[string]*leaseHolder
}

type leaseHolder struct {
	epoch     uint64        // confirmed
	expiresAt time.Duration // by the registry's clock, drift included
	uses      []VersionRef
}

// NewLeases returns the leases of a process that started now. fresh says that no process ran on this registry before.
func NewLeases(settings Settings, now time.Duration, fresh bool) *Leases {
	l := &Leases{settings: settings, holders: map[string]*leaseHolder{}}
	if !fresh {
		l.graceUntil = now + l.ttlWithDrift()
	}
	return l
}

// ttlWithDrift is how long a lease may last by the registry's clock, if that clock runs as fast and the
// controller's as slowly as the bound on their drift permits.
func (l *Leases) ttlWithDrift() time.Duration {
	drift := l.settings.MaxClockDrift
	return time.Duration(float64(l.settings.LeaseDuration)*(1+drift)/(1-drift)) + 1
}

// Renew grants a controller a new lease. The controller confirms by it that it acts by an epoch, of which last is the
// newest there is. uses are the versions under which its calls still run, other than those that aliases name.
//
// The lease counts from now; the controller counts it from when it sent its request, which is earlier. Errors are a
// bad name, an epoch that this registry never had, and too many controllers.
func (l *Leases) Renew(now time.Duration, controller string, epoch, last uint64, uses []VersionRef) error {
	if err := validateName("controller", controller); err != nil {
		return err
	}
	if epoch > last {
		return fmt.Errorf("epoch: %d, of which %d is the last: this is another registry's", epoch, last)
	}
	holder := l.holders[controller]
	if holder == nil {
		l.expire(now)
		if len(l.holders) >= l.settings.MaxControllers {
			return fmt.Errorf("controller: %d have a lease, which is all", len(l.holders))
		}
		holder = &leaseHolder{}
		l.holders[controller] = holder
	}
	holder.epoch = epoch // may go back: a controller that restarted knows less than it once confirmed
	holder.expiresAt = now + l.ttlWithDrift()
	holder.uses = uses
	return nil
}

// expire removes the leases that have ended. Their controllers may ask for new ones at any time.
func (l *Leases) expire(now time.Duration) {
	for name, holder := range l.holders {
		if now >= holder.expiresAt {
			delete(l.holders, name)
		}
	}
}

// ConfirmedEpoch returns the newest epoch such that no controller can act by an older one any more: the oldest one
// that a lease holder confirmed. It is 0 while a lease of the previous process may be left, and the largest uint64
// when nobody holds a lease.
func (l *Leases) ConfirmedEpoch(now time.Duration) uint64 {
	l.expire(now)
	if now < l.graceUntil {
		return 0
	}
	oldest := uint64(math.MaxUint64)
	for _, holder := range l.holders {
		oldest = min(oldest, holder.epoch)
	}
	return oldest
}

// NextExpiry returns when time alone may raise ConfirmedEpoch; 0: never.
func (l *Leases) NextExpiry(now time.Duration) (next time.Duration) {
	if now < l.graceUntil {
		next = l.graceUntil
	}
	for _, holder := range l.holders {
		if next == 0 || holder.expiresAt < next {
			next = holder.expiresAt
		}
	}
	return next
}

// VersionsInUse returns the versions, other than those that aliases name, under which calls may still run. known is false
// while a controller of the previous process may not have reported its own.
func (l *Leases) VersionsInUse(now time.Duration) (uses []VersionRef, known bool) {
	l.expire(now)
	for _, holder := range l.holders {
		uses = append(uses, holder.uses...)
	}
	return uses, now >= l.graceUntil
}

// Holders returns the controllers that hold a lease, each with the epoch that it confirmed.
func (l *Leases) Holders(now time.Duration) map[string]uint64 {
	l.expire(now)
	epochs := map[string]uint64{}
	for name, holder := range l.holders {
		epochs[name] = holder.epoch
	}
	return epochs
}

// StagingController returns the controller that orders the copies of a version, "" where none holds a lease. It is one alone,
// so that the budget of loads is spent once. It is chosen by rendezvous hashing: when a controller comes or goes,
// only the versions that are or were its own change hands.
func (l *Leases) StagingController(now time.Duration, version VersionRef) (stager string) {
	l.expire(now)
	var highest uint64
	for name := range l.holders {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s\x00%s\x00%s", version.Model, version.Version, name)
		weight := h.Sum64()
		if stager == "" || cmp.Or(cmp.Compare(weight, highest), cmp.Compare(name, stager)) > 0 {
			stager = name
			highest = weight
		}
	}
	return stager
}
