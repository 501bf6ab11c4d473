package hookengine

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"time"
)

// LifecycleSettings bound what scripts may go through. A zero field has the default named beside it.
type LifecycleSettings struct {
	Scripts           int           // at once: 32
	ConsecutiveFaults int           // that open a script's circuit: 3
	Back              time.Duration // for which the circuit is open at first, doubled for each further time: 1 s
	Longest           time.Duration // for which it is open at most, but for jitter: 5 min
	Openings          int           // of the circuit after which the version is quarantined: 4
	Trial             int           // runs of a shadow before it may be promoted without force: 20
	Rate              int64         // instructions a second that a version may use aside: 1,000,000, about 1% of a core
}

// filled returns the settings with defaults in place of zero values.
func (s LifecycleSettings) filled() LifecycleSettings {
	s.Scripts = cmp.Or(s.Scripts, 32)
	s.ConsecutiveFaults = cmp.Or(s.ConsecutiveFaults, 3)
	s.Back = cmp.Or(s.Back, time.Second)
	s.Longest = cmp.Or(s.Longest, 5*time.Minute)
	s.Openings = cmp.Or(s.Openings, 4)
	s.Trial = cmp.Or(s.Trial, 20)
	s.Rate = cmp.Or(s.Rate, 1_000_000)
	return s
}

// A Change is something that the engine must carry out.
type Change struct {
	Script string
	Live   *Version // runs from now on; nil: none does
	Text   string   // for the log
	Alarm  bool     // it needs an operator's attention
}

// A Lifecycle decides which versions of scripts run. It is not safe for concurrent use.
type Lifecycle struct {
	Scripts []*Script // by name
	Last    uint64    // number of the last version loaded

	settings LifecycleSettings
	rng      *rand.Rand // for jitter
	changes  []Change
	dirty    bool // scripts or versions are to be stored
}

// NewLifecycle returns one with no scripts. Equal seeds make equal jitter.
func NewLifecycle(s LifecycleSettings, seed uint64) *Lifecycle {
	return &Lifecycle{settings: s.filled(), rng: rand.New(rand.NewPCG(seed, 15))}
}

// Errors of operators' requests.
var (
	ErrUnknown       = errors.New("hooks: no such script")
	ErrTrialTooShort = errors.New("hooks: the shadow has not been tried enough")
	ErrNothing       = errors.New("hooks: nothing to go to")
	ErrQuarantined   = errors.New("hooks: this very text was given up, change it")
)

var scriptName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// Find returns a script, or nil.
func (l *Lifecycle) Find(name string) *Script {
	i, ok := slices.BinarySearchFunc(l.Scripts, name, func(s *Script, name string) int {
		return cmp.Compare(s.Name, name)
	})
	if !ok {
		return nil
	}
	return l.Scripts[i]
}

func (l *Lifecycle) findOrAdd(name string) (*Script, error) {
	if s := l.Find(name); s != nil {
		return s, nil
	}
	if len(l.Scripts) >= l.settings.Scripts {
		return nil, fmt.Errorf("hooks: %d scripts stand, and no more may", len(l.Scripts))
	}
	s := &Script{Name: name}
	l.Scripts = append(l.Scripts, s)
	slices.SortFunc(l.Scripts, func(a, b *Script) int { return cmp.Compare(a.Name, b.Name) })
	return s, nil
}

// change notes a change of a script, which is to be stored.
func (l *Lifecycle) change(s *Script, alarm bool, format string, args ...any) {
	c := Change{Script: s.Name, Text: fmt.Sprintf(format, args...), Alarm: alarm}
	if s.runs() {
		c.Live = s.Live
	}
	l.changes = append(l.changes, c)
	l.dirty = true
}

// Take returns what has changed since the last Take, and whether scripts or versions are to be stored.
func (l *Lifecycle) Take() (changes []Change, dirty bool) {
	changes = l.changes
	dirty = l.dirty
	l.changes = nil
	l.dirty = false
	return changes, dirty
}

// Load adds a version, whose text compiles, and returns its number. With shadow set it runs in the shadow until it is
// promoted; otherwise it is live at once. A text that is live, or in the shadow, already changes nothing; one that
// was quarantined is rejected with ErrQuarantined.
func (l *Lifecycle) Load(name, text, from string, shadow bool) (uint64, error) {
	if !scriptName.MatchString(name) {
		return 0, fmt.Errorf("hooks: %q is no name of a script: "+
			"lower case letters, digits, dots, dashes, at most 64", name)
	}
	s, err := l.findOrAdd(name)
	if err != nil {
		return 0, err
	}
	digest := Digest(text)
	switch same := func(v *Version) bool { return v != nil && v.Digest == digest }; {
	case same(s.Live):
		return s.Live.Number, nil
	case shadow && same(s.Shadow):
		return s.Shadow.Number, nil
	case same(s.Before) && s.Before.Bad != "": // reading a file again must not bring it back
		return 0, fmt.Errorf("%w: %s", ErrQuarantined, s.Before.Bad)
	}
	l.Last++
	v := &Version{Number: l.Last, Digest: digest, Text: text, From: from}
	if shadow {
		s.Shadow = v
		s.Trial = Tally{}
		l.change(s, false, "version %d runs in the shadow", v.Number)
		return v.Number, nil
	}
	s.replace(v)
	l.change(s, false, "version %d is live", v.Number)
	return v.Number, nil
}

// Promote makes the shadow live, if it has run often enough without a fault, or by force. Its errors wrap ErrUnknown,
// ErrNothing and ErrTrialTooShort.
func (l *Lifecycle) Promote(name string, force bool) error {
	s := l.Find(name)
	if s == nil {
		return ErrUnknown
	}
	if s.Shadow == nil {
		return fmt.Errorf("%w: %s has no shadow", ErrNothing, name)
	}
	if !force && (s.Trial.Runs < int64(l.settings.Trial) || s.Trial.Faults > 0) {
		return fmt.Errorf("%w: %d runs of %d, %d faults, %d differ from the live version",
			ErrTrialTooShort, s.Trial.Runs, l.settings.Trial, s.Trial.Faults, s.Trial.Differ)
	}
	s.replace(s.Shadow)
	s.Shadow = nil
	l.change(s, false, "version %d is promoted", s.Live.Number)
	return nil
}

// Rollback makes the version before the live one live again. Its errors wrap ErrUnknown and ErrNothing.
func (l *Lifecycle) Rollback(name string) error {
	s := l.Find(name)
	if s == nil {
		return ErrUnknown
	}
	if s.Before == nil || s.Before.Bad != "" {
		return fmt.Errorf("%w: %s has no version before that was not given up", ErrNothing, name)
	}
	s.revert()
	l.change(s, false, "back to version %d", s.Live.Number)
	return nil
}

// Release lets a version run again that is quarantined, or whose circuit is open. Its errors wrap ErrUnknown and
// ErrNothing.
func (l *Lifecycle) Release(name string) error {
	s := l.Find(name)
	if s == nil {
		return ErrUnknown
	}
	if s.Live == nil || s.Live.Bad == "" && !s.open {
		return fmt.Errorf("%w: %s is not held back", ErrNothing, name)
	}
	s.Live.Bad = ""
	s.resetCircuit()
	l.change(s, false, "version %d is released", s.Live.Number)
	return nil
}

// Remove removes a script with all its versions. Its error is ErrUnknown.
func (l *Lifecycle) Remove(name string) error {
	s := l.Find(name)
	if s == nil {
		return ErrUnknown
	}
	l.Scripts = slices.DeleteFunc(l.Scripts, func(o *Script) bool { return o == s })
	s.Live = nil
	s.Shadow = nil
	l.change(s, false, "removed")
	return nil
}
