package registry

import (
	"fmt"
	"time"
)

// Settings bound a registry. All must be above 0, except MaxClockDrift and StaleDuration, which may
// be 0. The keys in
// the tags are a storage format; durations are stored in nanoseconds.
type Settings struct {
	// LeaseDuration is how long, by its own clock, a controller may answer after it sent the
	// request that renewed its lease.
	LeaseDuration time.Duration `json:"LeaseDuration"`
	// StaleDuration is how long after the end of its lease a controller may answer for the models
	// that permit it: see Model.AllowStale. It is 0 only in logs that earlier versions wrote: there
	// the permission had no end, and nothing waited for it.
	StaleDuration time.Duration `json:"StaleDuration,omitempty"`
	// MaxClockDrift is the largest difference between the rates of two clocks, as a fraction: at
	// least 0 and below 1.
	MaxClockDrift float64 `json:"MaxClockDrift"`
	// SettleTimeout is how long calls that already run under a superseded target may delay the
	// acknowledgement of its migration before they are abandoned.
	SettleTimeout time.Duration `json:"SettleTimeout"`
	// StagingTimeout is how long copies may take to become ready before the migration is aborted.
	StagingTimeout time.Duration `json:"StagingTimeout"`
	// Retention is how long the copies of a version that no alias names any more are kept for a
	// rollback.
	Retention time.Duration `json:"Retention"`
	// AutoRollbackWindow is how long after a migration the errors of the new version may cause an
	// automatic rollback.
	AutoRollbackWindow time.Duration `json:"AutoRollbackWindow"`
	// MinCalls is the number of calls of the new version from which its error rate is evaluated.
	MinCalls int `json:"MinCalls"`
	// MaxErrorIncrease is by how much the error rate of the new version may exceed that of the
	// previous one, as a fraction of calls.
	MaxErrorIncrease float64 `json:"MaxErrorIncrease"`

	MaxModels      int `json:"MaxModels"`      // models in the registry
	MaxVersions    int `json:"MaxVersions"`    // versions of one model
	MaxAliases     int `json:"MaxAliases"`     // aliases of one model
	MaxControllers int `json:"MaxControllers"` // controllers that hold a lease at the same time
	// MaxRemembered bounds the number of entries in each of three lists: idempotency keys, history
	// and ended migrations.
	MaxRemembered int `json:"MaxRemembered"`
}

// validate returns an error that names the first setting out of range, by the name that operators
// know.
func (s Settings) validate() error {
	for _, setting := range []struct {
		name  string
		value float64
	}{
		{"Lease", float64(s.LeaseDuration)},
		{"Settle", float64(s.SettleTimeout)},
		{"Staging", float64(s.StagingTimeout)},
		{"Keep", float64(s.Retention)},
		{"Watch", float64(s.AutoRollbackWindow)},
		{"Least", float64(s.MinCalls)},
		{"Worse", s.MaxErrorIncrease},
		{"Models", float64(s.MaxModels)},
		{"Versions", float64(s.MaxVersions)},
		{"Aliases", float64(s.MaxAliases)},
		{"Asking", float64(s.MaxControllers)},
		{"Remembered", float64(s.MaxRemembered)},
	} {
		if !(setting.value > 0) { // also rejects NaN
			return fmt.Errorf("registry: settings: %s: %v is not above 0", setting.name, setting.value)
		}
	}
	if s.StaleDuration < 0 {
		return fmt.Errorf("registry: settings: Stale: %v is below 0", s.StaleDuration)
	}
	if !(s.MaxClockDrift >= 0 && s.MaxClockDrift < 1) {
		return fmt.Errorf("registry: settings: Drift: %v is not at least 0 and below 1", s.MaxClockDrift)
	}
	return nil
}

// leaseTTL is how long a lease may last by the registry's clock.
func (s Settings) leaseTTL() time.Duration { return s.maxElapsed(s.LeaseDuration) }

// staleTTL is how long, by the registry's clock, a controller may answer with and then without a
// lease after a renewal.
func (s Settings) staleTTL() time.Duration { return s.maxElapsed(s.LeaseDuration + s.StaleDuration) }

// maxElapsed is how much time may pass by the registry's clock while d passes at a controller, if
// the registry's clock runs as fast, and the controller's as slowly, as the bound on their drift
// permits.
func (s Settings) maxElapsed(d time.Duration) time.Duration {
	drift := s.MaxClockDrift
	return time.Duration(float64(d)*(1+drift)/(1-drift)) + 1
}
