package hookadvice

import (
	"cmp"
	"fmt"
	"time"
)

// Settings bound what hooks can bring about. A zero field has the default named beside it.
type Settings struct {
	Functions   int     // functions kept warm at once: 64
	Copies      int     // copies of one function: 4
	MemoryShare float64 // fraction of the ready workers' memory that copies kept warm may take: 0.25
	// MaxDuration is how long one piece of advice is in force at most: 1 h.
	MaxDuration time.Duration
	Workers     float64 // fraction of the workers that may be preferred, and that may be avoided, at once: 0.25
	Weight      float64 // a tenant's weight is between this and its inverse: 4
	// MaxRejectedFraction is the fraction of the calls in a window that hooks may have rejected: 0.5.
	MaxRejectedFraction float64
	Cap                 int // calls in flight of which a tenant's cap is a fraction; must be given
	// Flips is how often one script may change its advice on one subject in a window before it is suppressed: 6.
	Flips      int
	Window     time.Duration // over which changes, notices and rejections are counted: 1 min
	MaxNotices int           // notices of one script in a window: 10
	Pieces     int           // subjects on which one script may have advice in force: 256
}

func (s Settings) withDefaults() Settings {
	s.Functions = cmp.Or(s.Functions, 64)
	s.Copies = cmp.Or(s.Copies, 4)
	s.MemoryShare = cmp.Or(s.MemoryShare, 0.25)
	s.MaxDuration = cmp.Or(s.MaxDuration, time.Hour)
	s.Workers = cmp.Or(s.Workers, 0.25)
	s.Weight = cmp.Or(s.Weight, 4)
	s.MaxRejectedFraction = cmp.Or(s.MaxRejectedFraction, 0.5)
	s.Flips = cmp.Or(s.Flips, 6)
	s.Window = cmp.Or(s.Window, time.Minute)
	s.MaxNotices = cmp.Or(s.MaxNotices, 10)
	s.Pieces = cmp.Or(s.Pieces, 256)
	return s
}

// validate checks settings whose defaults are filled in.
func (s Settings) validate() error {
	for _, fraction := range []struct {
		name  string
		value float64
	}{{"MemoryShare", s.MemoryShare}, {"Workers", s.Workers}, {"Refuse", s.MaxRejectedFraction}} {
		if !(fraction.value >= 0 && fraction.value <= 1) { // written so that NaN fails too
			return fmt.Errorf("advice: %s: %v is not from 0 to 1", fraction.name, fraction.value)
		}
	}
	negative := s.Functions < 0 || s.Copies < 0 || s.MaxDuration < 0 || s.MaxNotices < 0
	tooSmall := s.Window <= 0 || s.Flips < 1 || s.Pieces < 1
	if !(s.Weight >= 1) || negative || tooSmall {
		return fmt.Errorf("advice: Weight is under 1, or a bound is below zero: %+v", s)
	}
	return nil
}
