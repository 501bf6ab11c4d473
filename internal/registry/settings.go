package registry

import (
	"fmt"
	"time"
)

// Settings bound a registry. All must be above 0, but for MaxClockDrift, which may be 0.
type Settings struct {
	// LeaseDuration is how long a controller may answer after it sent the request that renewed its lease, by its own
	// clock.
	LeaseDuration time.Duration
	// MaxClockDrift is the largest difference between the rates of two clocks, as a fraction from 0 to under 1.
	MaxClockDrift float64
	// SettleTimeout is how long calls that already run under a superseded target may delay the acknowledgement of its
	// migration, before they are abandoned.
	SettleTimeout time.Duration
	// StagingTimeout is how long copies may take to become ready before a migration is aborted.
	StagingTimeout time.Duration
	// Retention is how long the copies of a version that no alias names any more are kept for a rollback.
	Retention time.Duration
	// AutoRollbackWindow is how long after a migration the errors of the new version may cause an automatic rollback.
	AutoRollbackWindow time.Duration
	// MinCalls is the number of calls of the new version from which its errors are judged.
	MinCalls int
	// MaxErrorIncrease is by how much the error rate of the new version may exceed that of the previous one, as a
	// fraction of calls.
	MaxErrorIncrease float64

	MaxModels      int // models known
	MaxVersions    int // versions of one model
	MaxAliases     int // aliases of one model
	MaxControllers int // controllers that hold a lease at the same time
	// MaxRemembered bounds each of three lists by number of entries: idempotency keys, history, ended migrations.
	MaxRemembered int
}

// validate returns an error that names the first setting out of range, by the names that operators know.
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
		if !(setting.value > 0) { // also refuses NaN
			return fmt.Errorf("registry: settings: %s: %v is not above 0", setting.name, setting.value)
		}
	}
	if !(s.MaxClockDrift >= 0 && s.MaxClockDrift < 1) {
		return fmt.Errorf("registry: settings: Drift: %v is not from 0 to 1", s.MaxClockDrift)
	}
	return nil
}
