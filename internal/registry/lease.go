package registry

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"time"
)

// Leases are the registry's side of the controllers' permission to answer. They are not safe for
// concurrent use.
//
// They are not part of a State and are not stored. A lease lives as long as the process that
// granted it, and a new process assumes for the duration of one lease that controllers may still
// hold leases of earlier processes: of the longest lease that their settings allowed. So a response to a controller never waits for a disk, and a
// full disk stops migrations but not calls.
type Leases struct {
	settings Settings
	// Until graceUntil, controllers may hold leases of earlier processes that this process does not
	// know.
	graceUntil time.Duration
	holders    map[string]*leaseHolder
}

type leaseHolder struct {
	epoch         uint64        // confirmed
	expiresAt     time.Duration // by the registry's clock, drift included
	versionsInUse []VersionRef
}

// NewLeases returns the leases of a process that started now on a recovered state. firstStart says
// that no earlier process ran on this registry.
func NewLeases(state *State, now time.Duration, firstStart bool) *Leases {
	l := &Leases{settings: state.Settings, holders: map[string]*leaseHolder{}}
	if !firstStart {
		l.graceUntil = max(now+l.settings.leaseTTL(), state.EarlierLeasesUntil)
	}
	return l
}

// Renew grants a controller a new lease. The controller thereby confirms that it acts under an
// epoch; latest is the newest epoch of the registry. versionsInUse are the versions under which
// calls of the controller still run, except those that aliases name.
//
// The lease counts from now; the controller counts it from the time at which it sent its request,
// which is earlier. Renew fails if the name is invalid, the registry never had the epoch, or too
// many controllers hold leases.
func (l *Leases) Renew(now time.Duration, controller string, epoch, latest uint64, versionsInUse []VersionRef) error {
	if err := validateName("controller", controller); err != nil {
		return err
	}
	if epoch > latest {
		return fmt.Errorf("epoch: %d, of which %d is the last: this is another registry's", epoch, latest)
	}
	holder := l.holders[controller]
	if holder == nil {
		l.expire(now)
		if len(l.holders) >= l.settings.MaxControllers {
			return fmt.Errorf("controller: all %d leases are taken", len(l.holders))
		}
		holder = &leaseHolder{}
		l.holders[controller] = holder
	}
	// The epoch may decrease: a controller that restarted knows less than it once confirmed.
	holder.epoch = epoch
	holder.expiresAt = now + l.settings.leaseTTL()
	holder.versionsInUse = versionsInUse
	return nil
}

// expire removes the leases that have ended. Their controllers may request new ones at any time.
func (l *Leases) expire(now time.Duration) {
	for name, holder := range l.holders {
		if now >= holder.expiresAt {
			delete(l.holders, name)
		}
	}
}

// ConfirmedEpoch returns the newest epoch such that no controller can act under an older one any
// more: the oldest epoch that a lease holder confirmed. It is 0 while a lease of the previous
// process may still be valid, and the largest uint64 if there are no lease holders.
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

// NextExpiry returns when the passage of time alone may raise ConfirmedEpoch; 0 if it cannot.
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

// VersionsInUse returns the versions under which calls may still run, except those that aliases
// name. known is false while a controller of the previous process may not have reported its
// versions yet.
func (l *Leases) VersionsInUse(now time.Duration) (versions []VersionRef, known bool) {
	l.expire(now)
	for _, holder := range l.holders {
		versions = append(versions, holder.versionsInUse...)
	}
	return versions, now >= l.graceUntil
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

// StagingController returns the controller that orders the copies of a version to be loaded, or ""
// if no controller holds a lease. A single controller does so, so that the load budget is spent
// only once. It is chosen by rendezvous hashing: when a controller joins or leaves, only the
// versions assigned to it are reassigned.
func (l *Leases) StagingController(now time.Duration, version VersionRef) (controller string) {
	l.expire(now)
	var highest uint64
	for name := range l.holders {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s\x00%s\x00%s", version.Model, version.Version, name)
		weight := h.Sum64()
		if controller == "" || cmp.Or(cmp.Compare(weight, highest), cmp.Compare(name, controller)) > 0 {
			controller = name
			highest = weight
		}
	}
	return controller
}
