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

// LifecycleSettings limit the scripts and their runs. A field that is zero has the default named in
// its comment.
type LifecycleSettings struct {
	MaxScripts        int           // scripts loaded at a time; default 32
	ConsecutiveFaults int           // consecutive faults that open a circuit; default 3
	InitialBackoff    time.Duration // of a circuit, doubled by each consecutive opening; default 1 s
	MaxBackoff        time.Duration // of a circuit, without jitter; default 5 min
	MaxOpenings       int           // consecutive openings; one more quarantines the version; default 4
	MinShadowRuns     int           // runs of a shadow before a promotion without force; default 20
	// InstructionRate is the number of instructions per second that a version may run on the
	// engine's goroutine; default 1,000,000, which is about 1% of a core.
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
	ErrQuarantined   = errors.New("hooks: this text is quarantined and must be changed first")
)

// Change is a decision of the lifecycle that the engine must apply.
type Change struct {
	Script string
	Live   *Version // the version to run from now on; nil: none
	Text   string   // log message
	Alarm  bool     // log it as an error
}

// Lifecycle decides which versions of scripts run. It has no clock and no I/O: the engine applies
// its changes. It is not safe for concurrent use; the engine's goroutine owns it.
type Lifecycle struct {
	// Scripts is sorted by name.
	Scripts []*Script
	// LastVersion is the number of the version that was loaded last, over all scripts.
	LastVersion uint64

	settings LifecycleSettings
	rng      *rand.Rand // for the backoff jitter
	changes  []Change
	dirty    bool // scripts or versions differ from the stored ones
}

// NewLifecycle returns a lifecycle without scripts. The seed determines the jitter of the backoff.
func NewLifecycle(s LifecycleSettings, seed uint64) *Lifecycle {
	return &Lifecycle{settings: s.withDefaults(), rng: rand.New(rand.NewPCG(seed, 15))}
}

var scriptName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// Digest returns the SHA-256 digest of a script's text as "sha256:" followed by hexadecimal digits.
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

// TakeChanges returns the changes since the last call, and whether scripts or versions must be
// stored.
func (l *Lifecycle) TakeChanges() (changes []Change, dirty bool) {
	changes, dirty = l.changes, l.dirty
	l.changes = nil
	l.dirty = false
	return changes, dirty
}

// recordChange records a decision on a script, with the text to log.
func (l *Lifecycle) recordChange(s *Script, alarm bool, format string, args ...any) {
	c := Change{Script: s.Name, Text: fmt.Sprintf(format, args...), Alarm: alarm}
	if s.isRunning() {
		c.Live = s.Live
	}
	l.changes = append(l.changes, c)
	l.dirty = true
}

// Load adds a text that compiles as a version of a script. With shadow set it runs as the shadow
// version until it is promoted; otherwise it becomes live at once. Loading the text of the live
// version again changes nothing, nor does loading that of the shadow as a shadow. If the previous
// version has this text and is quarantined, the error is ErrQuarantined.
func (l *Lifecycle) Load(name, text, source string, shadow bool) (version uint64, err error) {
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
	case same(s.Previous) && s.Previous.QuarantineReason != "":
		// Reloading the script's file must not make the quarantined text live again.
		return 0, fmt.Errorf("%w: %s", ErrQuarantined, s.Previous.QuarantineReason)
	}
	l.LastVersion++
	v := &Version{Number: l.LastVersion, Digest: digest, Text: text, Source: source}
	if shadow {
		s.Shadow = v
		s.ShadowStats = RunStats{}
		l.recordChange(s, false, "version %d runs as shadow", v.Number)
		return v.Number, nil
	}
	s.activate(v)
	l.recordChange(s, false, "version %d is live", v.Number)
	return v.Number, nil
}

func (l *Lifecycle) findOrAdd(name string) (*Script, error) {
	if !scriptName.MatchString(name) {
		return nil, fmt.Errorf(
			"hooks: invalid script name %q: use at most 64 lower case letters, digits, dots, dashes and underscores", name)
	}
	if s := l.Find(name); s != nil {
		return s, nil
	}
	if len(l.Scripts) >= l.settings.MaxScripts {
		return nil, fmt.Errorf("hooks: %d scripts are loaded, which is the limit", len(l.Scripts))
	}
	s := &Script{Name: name}
	l.Scripts = append(l.Scripts, s)
	slices.SortFunc(l.Scripts, func(a, b *Script) int { return cmp.Compare(a.Name, b.Name) })
	return s, nil
}

// Promote makes the shadow version live. Unless force is set it must have run at least
// MinShadowRuns times and without a fault, otherwise the error is ErrNotPromotable.
func (l *Lifecycle) Promote(name string, force bool) error {
	s := l.Find(name)
	if s == nil {
		return ErrUnknownScript
	}
	if s.Shadow == nil {
		return fmt.Errorf("%w: script %s has no shadow version", ErrNotApplicable, name)
	}
	if !force && (s.ShadowStats.Runs < int64(l.settings.MinShadowRuns) || s.ShadowStats.Faults > 0) {
		return fmt.Errorf("%w: %d runs of %d, %d faults, %d differ from the live version",
			ErrNotPromotable, s.ShadowStats.Runs, l.settings.MinShadowRuns, s.ShadowStats.Faults, s.ShadowStats.Mismatches)
	}
	s.activate(s.Shadow)
	s.Shadow = nil
	l.recordChange(s, false, "version %d promoted, now live", s.Live.Number)
	return nil
}

// Rollback makes the previous version live again. The error is ErrNotApplicable if there is none or
// if it is quarantined.
func (l *Lifecycle) Rollback(name string) error {
	s := l.Find(name)
	if s == nil {
		return ErrUnknownScript
	}
	if s.Previous == nil || s.Previous.QuarantineReason != "" {
		return fmt.Errorf("%w: script %s has no previous version that is not quarantined", ErrNotApplicable, name)
	}
	old := s.Live
	s.activate(s.Previous)
	s.Previous = old
	l.recordChange(s, false, "rolled back to version %d", s.Live.Number)
	return nil
}

// Release ends the quarantine of the live version, or closes its circuit. The error is
// ErrNotApplicable if the version is not quarantined and its circuit is closed.
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
	l.recordChange(s, false, "version %d released", s.Live.Number)
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
	l.recordChange(s, false, "removed")
	return nil
}
