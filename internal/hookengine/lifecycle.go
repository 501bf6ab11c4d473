package hookengine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"time"
)

// LifecycleSettings bound what scripts may use. A zero field has the default named beside it.
type LifecycleSettings struct {
	MaxScripts        int           // loaded at once: 32
	ConsecutiveFaults int           // faults in a row that open a script's circuit: 3
	InitialBackoff    time.Duration // how long a circuit is open at first, doubled each further time in a row: 1 s
	MaxBackoff        time.Duration // how long a circuit is open at most: 5 min
	MaxOpenings       int           // openings of the circuit in a row; after these the version is quarantined: 4
	MinShadowRuns     int           // runs of a shadow before it may be promoted without force: 20
	// InstructionRate is how many instructions a second a version may run on the engine's goroutine: 1,000,000, which
	// is some 1% of a core.
	InstructionRate int64
}

func (s LifecycleSettings) withDefaults() LifecycleSettings {
	s.MaxScripts = cmp.Or(s.MaxScripts, 32)
	s.ConsecutiveFaults = cmp.Or(s.ConsecutiveFaults, 3)
	s.InitialBackoff = cmp.Or(s.InitialBackoff, time.Second)
	s.MaxBackoff = cmp.Or(s.MaxBackoff, 5*time.Minute)
	s.MaxOpenings = cmp.Or(s.MaxOpenings, 4)
	s.MinShadowRuns = cmp.Or(s.MinShadowRuns, 20)
	s.InstructionRate = cmp.Or(s.InstructionRate, 1_000_000)
	return s
}

// Errors that operators' commands return, wrapped with details.
var (
	ErrUnknownScript = errors.New("hooks: no such script")
	ErrNotPromotable = errors.New("hooks: the shadow has not been tried enough")
	ErrNotApplicable = errors.New("hooks: nothing to go to")
	ErrQuarantined   = errors.New("hooks: this very text was given up, change it")
)

// Change is a decision of the lifecycle that the engine must carry out.
type Change struct {
	Script string
	Live   *Version // runs from now on; nil: none does
	Text   string   // for the log
	Alarm  bool     // to be logged as an error
}

// Lifecycle decides which versions of scripts run. It has no clock and no I/O: the engine carries out its changes.
// It is not safe for concurrent use; the engine's goroutine owns it.
type Lifecycle struct {
	// Scripts is sorted by name.
	Scripts []*Script
	// Last is the number of the version loaded last.
	LastVersion uint64

	settings LifecycleSettings
	rng      *rand.Rand // jitter of the backoff
	changes  []Change
	dirty    bool // scripts or versions differ from what is stored
}

// NewLifecycle returns a lifecycle with no scripts. The seed determines the jitter of its backoff.
func NewLifecycle(s LifecycleSettings, seed uint64) *Lifecycle {
	return &Lifecycle{settings: s.withDefaults(), rng: rand.New(rand.NewPCG(seed, 15))}
}

var scriptName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// Digest returns the SHA-256 digest of a script's text as "sha256:" and hexadecimal digits.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Find returns the script of that name, or nil.
func (l *Lifecycle) Find(name string) *Script {
	byName := func(s *Script, name string) int { return cmp.Compare(s.Name, name) }
	i, ok := slices.BinarySearchFunc(l.Scripts, name, byName)
	if !ok {
		return nil
	}
	return l.Scripts[i]
}

// TakeChanges returns what has changed since the last call, and whether scripts or versions are to be stored.
func (l *Lifecycle) TakeChanges() (changes []Change, dirty bool) {
	changes, dirty = l.changes, l.dirty
	l.changes = nil
	l.dirty = false
	return changes, dirty
}

// change records a decision on a script.
func (l *Lifecycle) change(s *Script, alarm bool, format string, args ...any) {
	c := Change{Script: s.Name, Text: fmt.Sprintf(format, args...), Alarm: alarm}
	if s.runs() {
		c.Live = s.Live
	}
	l.changes = append(l.changes, c)
	l.dirty = true
}

// Load takes a text that compiles. With shadow set it runs as the shadow version until it is promoted; otherwise it
// is live at once. A text that already is live, or the shadow, changes nothing. One that was quarantined is
// rejected with ErrQuarantined.
func (l *Lifecycle) Load(name, text, from string, shadow bool) (version uint64, err error) {
	s, err := l.findOrAdd(name)
	if err != nil {
		return 0, err
	}
	digest := Digest(text)
	same := func(v *Version) bool { return v != nil && v.Digest == digest }
	switch {
	case same(s.Live):
		return s.Live.Number, nil
	case shadow && same(s.Shadow):
		return s.Shadow.Number, nil
	case same(s.Previous) && s.Previous.QuarantineReason != "": // reading a script's file again must not bring it back
		return 0, fmt.Errorf("%w: %s", ErrQuarantined, s.Previous.QuarantineReason)
	}
	l.LastVersion++
	v := &Version{Number: l.LastVersion, Digest: digest, Text: text, Source: from}
	if shadow {
		s.Shadow = v
		s.ShadowStats = RunStats{}
		l.change(s, false, "version %d runs in the shadow", v.Number)
		return v.Number, nil
	}
	s.activate(v)
	l.change(s, false, "version %d is live", v.Number)
	return v.Number, nil
}

func (l *Lifecycle) findOrAdd(name string) (*Script, error) {
	if !scriptName.MatchString(name) {
		return nil, fmt.Errorf(
			"hooks: %q is no name of a script: lower case letters, digits, dots, dashes, at most 64", name)
	}
	if s := l.Find(name); s != nil {
		return s, nil
	}
	if len(l.Scripts) >= l.settings.MaxScripts {
		return nil, fmt.Errorf("hooks: %d scripts stand, and no more may", len(l.Scripts))
	}
	s := &Script{Name: name}
	l.Scripts = append(l.Scripts, s)
	slices.SortFunc(l.Scripts, func(a, b *Script) int { return cmp.Compare(a.Name, b.Name) })
	return s, nil
}

// Promote makes the shadow version live. Without force it must have run often enough and without a fault, otherwise
// the error is ErrTrialTooShort.
func (l *Lifecycle) Promote(name string, force bool) error {
	s := l.Find(name)
	if s == nil {
		return ErrUnknownScript
	}
	if s.Shadow == nil {
		return fmt.Errorf("%w: %s has no shadow", ErrNotApplicable, name)
	}
	if !force && (s.ShadowStats.Runs < int64(l.settings.MinShadowRuns) || s.ShadowStats.Faults > 0) {
		return fmt.Errorf("%w: %d runs of %d, %d faults, %d differ from the live version",
			ErrNotPromotable, s.ShadowStats.Runs, l.settings.MinShadowRuns, s.ShadowStats.Faults, s.ShadowStats.Mismatches)
	}
	s.activate(s.Shadow)
	s.Shadow = nil
	l.change(s, false, "version %d is promoted", s.Live.Number)
	return nil
}

// Rollback makes the previous version live again. The error is ErrNotApplicable if there is none, or if it was
// quarantined.
func (l *Lifecycle) Rollback(name string) error {
	s := l.Find(name)
	if s == nil {
		return ErrUnknownScript
	}
	if s.Previous == nil || s.Previous.QuarantineReason != "" {
		return fmt.Errorf("%w: %s has no version before that was not given up", ErrNotApplicable, name)
	}
	old := s.Live
	s.activate(s.Previous)
	s.Previous = old
	l.change(s, false, "back to version %d", s.Live.Number)
	return nil
}

// Release ends the quarantine of the live version, or closes its circuit. The error is ErrNotApplicable if neither
// is the case.
func (l *Lifecycle) Release(name string) error {
	s := l.Find(name)
	if s == nil {
		return ErrUnknownScript
	}
	if s.Live == nil || s.Live.QuarantineReason == "" && !s.circuit.open {
		return fmt.Errorf("%w: %s is not held back", ErrNotApplicable, name)
	}
	s.Live.QuarantineReason = ""
	s.circuit = circuit{}
	l.change(s, false, "version %d is released", s.Live.Number)
	return nil
}

// Remove deletes a script with all its versions.
func (l *Lifecycle) Remove(name string) error {
	s := l.Find(name)
	if s == nil {
		return ErrUnknownScript
	}
	l.Scripts = slices.DeleteFunc(l.Scripts, func(o *Script) bool { return o == s })
	s.Live = nil
	s.Shadow = nil
	l.change(s, false, "removed")
	return nil
}
