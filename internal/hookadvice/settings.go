package hookadvice

import (
	"cmp"
	"fmt"
	"time"
)

// Settings bound what hooks can bring about. A zero field has the default named beside it.
type Settings struct {
	Functions           int           // kept warm at once: 64
	Copies              int           // kept warm of one function: 4
	MemoryShare         float64       // fraction of the ready workers' memory that copies kept warm may take: 0.25
	MaxDuration         time.Duration // for which one piece of advice holds: 1 h
	Workers             float64       // fraction of the workers that may be preferred, and that may be avoided: 0.25
	Weight              float64       // a tenant's weight lies between this and its inverse: 4
	MaxRejectedFraction float64       // of the calls in a window, those that hooks may have rejected: 0.5
	Cap                 int           // calls in flight that a tenant's cap is a fraction of; has no default
	Flips               int           // changes of one piece of advice in a window, beyond which it is suspended: 6
	Window              time.Duration // 1 min
	MaxNotices          int           // notices of one script in a window: 10
	Pieces              int           // pieces of advice of one script that may hold at once: 256
}

// filled returns the settings with defaults in place of zero values.
func (s Settings) filled() Settings {
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

// check checks filled settings.
func (s Settings) check() error {
	if s.Cap < 1 {
		return fmt.Errorf("advice: Cap: %d is under 1", s.Cap)
	}
	fractions := []struct {
		name  string
		value float64
	}{
		{"MemoryShare", s.MemoryShare},
		{"Workers", s.Workers},
		{"Refuse", s.MaxRejectedFraction},
	}
	for _, f := range fractions {
		if !(f.value >= 0 && f.value <= 1) { // so is NaN
			return fmt.Errorf("advice: %s: %v is not from 0 to 1", f.name, f.value)
		}
	}
	if !(s.Weight >= 1) || s.Functions < 0 || s.Copies < 0 || s.MaxDuration < 0 || s.Window <= 0 ||
		s.Flips < 1 || s.MaxNotices < 0 || s.Pieces < 1 {
		return fmt.Errorf("advice: Weight is under 1, or a bound is below zero: %+v", s)
	}
	return nil
}
