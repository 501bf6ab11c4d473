package hookadvice

import (
	"cmp"
	"fmt"
	"time"
)

// Settings limit the effects of hooks. A field that is zero has the default named in its comment.
type Settings struct {
	MaxFunctions      int     // functions kept warm at a time; default 64
	MaxCopies         int     // warm copies per function; default 4
	MaxMemoryFraction float64 // fraction of the ready workers' memory for warm copies; default 0.25
	// MaxDuration is the longest time that advice stays in force without renewal; default 1 h.
	MaxDuration time.Duration
	// MaxRankedFraction is the fraction of the workers that may be preferred at a time, and
	// likewise the fraction that may be avoided; default 0.25.
	MaxRankedFraction float64
	// MaxWeight limits a tenant's weight to the range from 1/MaxWeight to MaxWeight; default 4.
	MaxWeight float64
	// MaxRejectedFraction is the fraction of a window's calls that hooks may reject; default 0.5.
	MaxRejectedFraction float64
	// CallLimit is the controller's limit on calls in flight; a tenant's cap is a fraction of it.
	// It has no default.
	CallLimit int
	// MaxChanges is how often one script may change one entry within a window before the entry is
	// suppressed; default 6.
	MaxChanges int
	// Window is the period for counting changes, notifications and rejections; default 1 min.
	Window           time.Duration
	MaxNotifications int // notifications of one script per window; default 10
	MaxEntries       int // entries per script; default 256
}

func (s Settings) withDefaults() Settings {
	s.MaxFunctions = cmp.Or(s.MaxFunctions, 64)
	s.MaxCopies = cmp.Or(s.MaxCopies, 4)
	s.MaxMemoryFraction = cmp.Or(s.MaxMemoryFraction, 0.25)
	s.MaxDuration = cmp.Or(s.MaxDuration, time.Hour)
	s.MaxRankedFraction = cmp.Or(s.MaxRankedFraction, 0.25)
	s.MaxWeight = cmp.Or(s.MaxWeight, 4)
	s.MaxRejectedFraction = cmp.Or(s.MaxRejectedFraction, 0.5)
	s.MaxChanges = cmp.Or(s.MaxChanges, 6)
	s.Window = cmp.Or(s.Window, time.Minute)
	s.MaxNotifications = cmp.Or(s.MaxNotifications, 10)
	s.MaxEntries = cmp.Or(s.MaxEntries, 256)
	return s
}

// validate checks settings after withDefaults.
func (s Settings) validate() error {
	for _, fraction := range []struct {
		name  string
		value float64
	}{{"MemoryShare", s.MaxMemoryFraction}, {"Workers", s.MaxRankedFraction}, {"Refuse", s.MaxRejectedFraction}} {
		if !(fraction.value >= 0 && fraction.value <= 1) { // also true for NaN
			return fmt.Errorf("advice: %s: %v is not between 0 and 1", fraction.name, fraction.value)
		}
	}
	negative := s.MaxFunctions < 0 || s.MaxCopies < 0 || s.MaxDuration < 0 || s.MaxNotifications < 0
	tooSmall := s.Window <= 0 || s.MaxChanges < 1 || s.MaxEntries < 1
	if !(s.MaxWeight >= 1) || negative || tooSmall {
		return fmt.Errorf("advice: weight is less than 1, or a limit is out of range: %+v", s)
	}
	return nil
}
