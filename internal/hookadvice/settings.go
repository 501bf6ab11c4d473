package hookadvice

import (
	"cmp"
	"fmt"
	"time"
)

// Settings bound what hooks can bring about. A zero field has the default named beside it.
type Settings struct {
	MaxFunctions      int     // functions kept warm at once: 64
	MaxCopies         int     // copies of one function: 4
	MaxMemoryFraction float64 // fraction of the ready workers' memory that copies kept warm may take: 0.25
	// MaxDuration is how long one piece of advice is in force at most: 1 h.
	MaxDuration       time.Duration
	MaxRankedFraction float64 // fraction of the workers that may be preferred, and that may be avoided, at once: 0.25
	MaxWeight         float64 // a tenant's weight is between this and its inverse: 4
	// MaxRejectedFraction is the fraction of the calls in a window that hooks may have rejected: 0.5.
	MaxRejectedFraction float64
	CallLimit           int // calls in flight of which a tenant's cap is a fraction; must be given
	// Flips is how often one script may change its advice on one subject in a window before it is suppressed: 6.
	MaxChanges       int
	Window           time.Duration // over which changes, notices and rejections are counted: 1 min
	MaxNotifications int           // notices of one script in a window: 10
	MaxEntries       int           // subjects on which one script may have advice in force: 256
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

// validate checks settings whose defaults are filled in.
func (s Settings) validate() error {
	for _, fraction := range []struct {
		name  string
		value float64
	}{{"MemoryShare", s.MaxMemoryFraction}, {"Workers", s.MaxRankedFraction}, {"Refuse", s.MaxRejectedFraction}} {
		if !(fraction.value >= 0 && fraction.value <= 1) { // written so that NaN fails too
			return fmt.Errorf("advice: %s: %v is not from 0 to 1", fraction.name, fraction.value)
		}
	}
	negative := s.MaxFunctions < 0 || s.MaxCopies < 0 || s.MaxDuration < 0 || s.MaxNotifications < 0
	tooSmall := s.Window <= 0 || s.MaxChanges < 1 || s.MaxEntries < 1
	if !(s.MaxWeight >= 1) || negative || tooSmall {
		return fmt.Errorf("advice: Weight is under 1, or a bound is below zero: %+v", s)
	}
	return nil
}
