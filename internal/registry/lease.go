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
// hold leases of earlier processes: of the longest lease that their settings allowed. So a response
// to a controller never waits for a disk, and a full disk stops migrations but not calls.
//
// A controller is remembered beyond its lease, for as long as it may answer without one, as models
// may permit that: see Model.AllowStale.
type Leases struct {
	settings Settings
	// Until graceUntil, controllers may hold leases of earlier processes that this process does not
	// know; until staleGraceUntil they may answer without a lease.
	graceUntil      time.Duration
	staleGraceUntil time.Duration
	controllers     map[string]*knownController
}

// A knownController is a controller that holds a lease or may still answer without one.
type knownController struct {
	epoch         uint64        // confirmed
	expiresAt     time.Duration // of the lease, by the registry's clock, drift included
	staleUntil    time.Duration // when it can no longer answer without a lease either
	versionsInUse []VersionRef
}

// NewLeases returns the leases of a process that started now on a recovered state. firstStart says
// that no earlier process ran on this registry.
func NewLeases(state *State, now time.Duration, firstStart bool) *Leases {
	l := &Leases{settings: state.Settings, controllers: map[string]*knownController{}}
	if !firstStart {
		l.graceUntil = max(now+l.settings.leaseTTL(), state.EarlierLeasesUntil)
		l.staleGraceUntil = max(now+l.settings.staleTTL(), state.EarlierStaleUntil)
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
	l.forget(now)
	known := l.controllers[controller]
	if known == nil || now >= known.expiresAt {
		if holders := len(l.Holders(now)); holders >= l.settings.MaxControllers {
			return fmt.Errorf("controller: all %d leases are taken", holders)
		}
	}
	// The epoch may decrease: a controller that restarted knows less than it once confirmed.
	l.controllers[controller] = &knownController{
		epoch:         epoch,
		expiresAt:     now + l.settings.leaseTTL(),
		staleUntil:    now + l.settings.staleTTL(),
		versionsInUse: versionsInUse,
	}
	return nil
}

// forget removes the controllers that can answer neither with nor without a lease. They may request
// a new lease at any time.
func (l *Leases) forget(now time.Duration) {
	for name, known := range l.controllers {
		if now >= known.staleUntil {
			delete(l.controllers, name)
		}
	}
}

// ConfirmedEpoch returns the newest epoch such that no controller can act under an older one any
// more, unless by the policy stale: the oldest epoch that a lease holder confirmed. It is 0 while a
// lease of the previous process may still be valid, and the largest uint64 if there are no lease
// holders.
func (l *Leases) ConfirmedEpoch(now time.Duration) uint64 {
	if now < l.graceUntil {
		return 0
	}
	oldest := uint64(math.MaxUint64)
	for _, known := range l.controllers {
		if now < known.expiresAt {
			oldest = min(oldest, known.epoch)
		}
	}
	return oldest
}

// StaleConfirmedEpoch returns the newest epoch such that no controller can act under an older one
// any more, even without a lease. It is at most ConfirmedEpoch.
func (l *Leases) StaleConfirmedEpoch(now time.Duration) uint64 {
	l.forget(now)
	if now < l.staleGraceUntil {
		return 0
	}
	oldest := uint64(math.MaxUint64)
	for _, known := range l.controllers {
		oldest = min(oldest, known.epoch)
	}
	return oldest
}

// NextExpiry returns when the passage of time alone may raise ConfirmedEpoch; 0 if it cannot.
func (l *Leases) NextExpiry(now time.Duration) time.Duration {
	next := earliest{after: now}
	next.consider(l.graceUntil)
	for _, known := range l.controllers {
		next.consider(known.expiresAt)
	}
	return next.at
}

// NextStaleExpiry returns when the passage of time alone may raise StaleConfirmedEpoch; 0 if it
// cannot.
func (l *Leases) NextStaleExpiry(now time.Duration) time.Duration {
	next := earliest{after: now}
	next.consider(l.staleGraceUntil)
	for _, known := range l.controllers {
		next.consider(known.staleUntil)
	}
	return next.at
}

// earliest is the earliest of the times after a time; 0 if there is none.
type earliest struct{ after, at time.Duration }

func (e *earliest) consider(at time.Duration) {
	if at > e.after && (e.at == 0 || at < e.at) {
		e.at = at
	}
}

// VersionsInUse returns the versions under which calls may still run, except those that aliases
// name. known is false while a controller of the previous process may not have reported its
// versions yet.
func (l *Leases) VersionsInUse(now time.Duration) (versions []VersionRef, known bool) {
	l.forget(now)
	for _, controller := range l.controllers {
		versions = append(versions, controller.versionsInUse...)
	}
	return versions, now >= l.graceUntil
}

// Holders returns the controllers that hold a lease, each with the epoch that it confirmed.
func (l *Leases) Holders(now time.Duration) map[string]uint64 {
	epochs := map[string]uint64{}
	for name, known := range l.controllers {
		if now < known.expiresAt {
			epochs[name] = known.epoch
		}
	}
	return epochs
}

// WithoutLease returns the controllers that hold no lease but may still answer by the policy stale,
// each with how long that may last.
func (l *Leases) WithoutLease(now time.Duration) map[string]time.Duration {
	remaining := map[string]time.Duration{}
	for name, known := range l.controllers {
		if now >= known.expiresAt && now < known.staleUntil {
			remaining[name] = known.staleUntil - now
		}
	}
	return remaining
}

// StagingController returns the controller that orders the copies of a version to be loaded, or ""
// if no controller holds a lease. A single controller does so, so that the load budget is spent
// only once. It is chosen by rendezvous hashing: when a controller joins or leaves, only the
// versions assigned to it are reassigned.
func (l *Leases) StagingController(now time.Duration, version VersionRef) (controller string) {
	var highest uint64
	for name := range l.Holders(now) {
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
