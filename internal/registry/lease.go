package registry

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"time"
)

// Leases are what the registry's process knows of the controllers that may act. They are not part of a State: a lease
// lives as long as the process that gave it, and a new process waits a whole one before it believes that there are none.
// So no answer to a controller waits for a disk, and a full disk stops moves, not answers.
type Leases struct {
	settings   Settings
	graceUntil time.Duration // until then a controller that is not known may hold a lease of the process before
	holders    map[string]*leaseHolder
}

type leaseHolder struct {
	epoch uint64        // confirmed
	until time.Duration // by the registry's clock, drift included
	uses  []VersionRef
}

// NewLeases returns the leases of a process that started now. fresh says that there was none before it.
func NewLeases(s Settings, now time.Duration, fresh bool) *Leases {
	l := &Leases{settings: s, holders: map[string]*leaseHolder{}}
	if !fresh {
		l.graceUntil = now + l.ttlWithDrift()
	}
	return l
}

// ttlWithDrift is how long the registry waits for a lease to run out by the controller's clock, however slow that runs.
func (l *Leases) ttlWithDrift() time.Duration {
	return time.Duration(float64(l.settings.LeaseDuration)*(1+l.settings.MaxClockDrift)/(1-l.settings.MaxClockDrift)) + 1
}

// Renew is a controller's word that it acts by an epoch, of which last is the newest. It begins a new lease; a controller
// counts it from the moment at which it asked, which is before the registry hears of it. uses are the versions, other
// than those that aliases name, which its running calls still name.
func (l *Leases) Renew(now time.Duration, controller string, epoch, last uint64, uses []VersionRef) error {
	if err := validateName("controller", controller); err != nil {
		return err
	}
	if epoch > last {
		return fmt.Errorf("epoch: %d, of which %d is the last: this is another registry's", epoch, last)
	}
	h := l.holders[controller]
	if h == nil {
		l.expire(now)
		if len(l.holders) >= l.settings.MaxControllers {
			return fmt.Errorf("controller: %d have a lease, which is all", len(l.holders))
		}
		h = &leaseHolder{}
		l.holders[controller] = h
	}
	// One that started anew may hold less than it once confirmed.
	h.epoch, h.until, h.uses = epoch, now+l.ttlWithDrift(), uses
	return nil
}

func (l *Leases) expire(now time.Duration) {
	for name, h := range l.holders {
		if now >= h.until {
			delete(l.holders, name) // it comes back by asking, and is told all
		}
	}
}

// ConfirmedEpoch returns the newest epoch that no controller can act against any more.
func (l *Leases) ConfirmedEpoch(now time.Duration) uint64 {
	l.expire(now)
	if now < l.graceUntil {
		return 0
	}
	least := uint64(math.MaxUint64)
	for _, h := range l.holders {
		least = min(least, h.epoch)
	}
	return least
}

// NextExpiry returns when time alone may raise Least; 0: never.
func (l *Leases) NextExpiry(now time.Duration) (next time.Duration) {
	if now < l.graceUntil {
		next = l.graceUntil
	}
	for _, h := range l.holders {
		if next == 0 || h.until < next {
			next = h.until
		}
	}
	return next
}

// Uses returns the versions that running calls may still name. known is false while a controller may not have told.
func (l *Leases) Uses(now time.Duration) (uses []VersionRef, known bool) {
	l.expire(now)
	for _, h := range l.holders {
		uses = append(uses, h.uses...)
	}
	return uses, now >= l.graceUntil
}

// Holders returns the controllers with a lease, each with the epoch that it confirmed.
func (l *Leases) Holders(now time.Duration) map[string]uint64 {
	l.expire(now)
	m := map[string]uint64{}
	for name, h := range l.holders {
		m[name] = h.epoch
	}
	return m
}

// Stager returns the controller that is to have copies of a version loaded: one alone, so that a budget is spent once;
// "" where none has a lease. It is the highest by a hash of both, so that few change when one comes or goes.
func (l *Leases) Stager(now time.Duration, b VersionRef) (best string) {
	l.expire(now)
	var most uint64
	for name := range l.holders {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s\x00%s\x00%s", b.Model, b.Version, name)
		if sum := h.Sum64(); best == "" || cmp.Or(cmp.Compare(sum, most), cmp.Compare(name, best)) > 0 {
			best, most = name, sum
		}
	}
	return best
}
