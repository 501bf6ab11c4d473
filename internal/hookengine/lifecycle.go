// Package hookengine runs operators' scripts beside the gateway: it loads, checks, shadows, promotes and withdraws them, runs their
// handlers, and hands what they advise to package hookadvice. Lifecycle and hookadvice.Table decide, without I/O; Engine carries out.
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

// LifecycleSettings bound what scripts may go through. A zero field has the default named beside it.
type LifecycleSettings struct {
	Scripts           int           // at once: 32
	ConsecutiveFaults int           // faults in a row that open a script's circuit: 3
	Back              time.Duration // it is open at first, doubled for each further time: 1 s
	Longest           time.Duration // it is open at most: 5 min
	Openings          int           // of the circuit in a row after which the version is given up: 4
	Trial             int           // runs of a shadow before it may be promoted without force: 20
	Rate              int64         // instructions a second that a version may take aside: 1,000,000; some 1% of a core
}

func (s LifecycleSettings) filled() LifecycleSettings {
	s.Scripts, s.ConsecutiveFaults, s.Openings = cmp.Or(s.Scripts, 32), cmp.Or(s.ConsecutiveFaults, 3), cmp.Or(s.Openings, 4)
	s.Rate = cmp.Or(s.Rate, 1_000_000)
	s.Back, s.Longest, s.Trial = cmp.Or(s.Back, time.Second), cmp.Or(s.Longest, 5*time.Minute), cmp.Or(s.Trial, 20)
	return s
}

// A Version is one text of a script.
type Version struct {
	Number uint64 `json:"number"` // grows with each text that is loaded, over all scripts
	Digest string `json:"digest"` // sha256: of the text
	Text   string `json:"text"`
	From   string `json:"from,omitempty"` // who brought it, for operators
	Bad    string `json:"bad,omitempty"`  // why it was given up; it is not run again unless released
}

// Tally counts the runs of one version.
type Tally struct {
	Runs   int64 `json:"runs"`
	Faults int64 `json:"faults"`
	Fuel   int64 `json:"fuel"`
	Differ int64 `json:"differ,omitempty"` // of a shadow: runs that advised something else
	// Skipped counts events that it did not see, as it had taken more than its rate.
	Skipped int64         `json:"skipped,omitempty"`
	debt    int64         // instructions taken that its rate has not made up for
	at      time.Duration // when debt was last looked at
}

// A Script with its versions.
type Script struct {
	Name    string   `json:"name"`
	Live    *Version `json:"live,omitempty"`
	Before  *Version `json:"before,omitempty"`
	Shadow  *Version `json:"shadow,omitempty"`
	Tally   Tally    `json:"tally"`
	Trial   Tally    `json:"trial"`
	Fault   string   `json:"fault,omitempty"` // the last one
	strikes int
	opens   int
	open    bool
	until   time.Duration // open until then; then one run is let through
	probing bool
}

// Status says how a script is, in a word.
func (s *Script) Status(now time.Duration) string {
	switch {
	case s.Live == nil && s.Shadow != nil:
		return "shadow"
	case s.Live == nil:
		return "empty"
	case s.Live.Bad != "":
		return "quarantined"
	case s.open && now < s.until:
		return "open"
	case s.open:
		return "trying"
	}
	return "live"
}

// A Change is something that the engine must follow.
type Change struct {
	Script string
	Live   *Version // runs from now on; nil: none does
	Text   string   // for the log
	Alarm  bool
}

// A Lifecycle decides which versions of scripts run. It is not safe for concurrent use.
type Lifecycle struct {
	s       LifecycleSettings
	rng     *rand.Rand
	Scripts []*Script // by name
	Last    uint64    // number of the last version
	changes []Change
	dirty   bool
}

// NewLifecycle returns one with no scripts.
func NewLifecycle(s LifecycleSettings, seed uint64) *Lifecycle {
	return &Lifecycle{s: s.filled(), rng: rand.New(rand.NewPCG(seed, 15))}
}

// Errors that operators meet.
var (
	ErrUnknown       = errors.New("hooks: no such script")
	ErrTrialTooShort = errors.New("hooks: the shadow has not been tried enough")
	ErrNothing       = errors.New("hooks: nothing to go to")
	ErrQuarantined   = errors.New("hooks: this very text was given up, change it")
)

var scriptName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// Digest returns the digest of a text.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Find returns a script, or nil.
func (l *Lifecycle) Find(name string) *Script {
	i, ok := slices.BinarySearchFunc(l.Scripts, name, func(s *Script, n string) int { return cmp.Compare(s.Name, n) })
	if !ok {
		return nil
	}
	return l.Scripts[i]
}

func (l *Lifecycle) change(s *Script, alarm bool, format string, args ...any) {
	c := Change{Script: s.Name, Text: fmt.Sprintf(format, args...), Alarm: alarm}
	if s.runs() {
		c.Live = s.Live
	}
	l.changes, l.dirty = append(l.changes, c), true
}

func (s *Script) runs() bool { return s.Live != nil && s.Live.Bad == "" && !s.open }

// Take returns what has changed since the last Take, and whether scripts or versions are to be stored.
func (l *Lifecycle) Take() (c []Change, dirty bool) {
	c, dirty = l.changes, l.dirty
	l.changes, l.dirty = nil, false
	return c, dirty
}

// Load takes a text that compiles. With shadow set it runs beside the live version until it is promoted; else it is live at
// once. The text that is live, or in the shadow already, changes nothing; one that was given up is not taken.
func (l *Lifecycle) Load(name, text, from string, shadow bool) (uint64, error) {
	if !scriptName.MatchString(name) {
		return 0, fmt.Errorf("hooks: %q is no name of a script: lower case letters, digits, dots, dashes, at most 64", name)
	}
	s := l.Find(name)
	if s == nil {
		if len(l.Scripts) >= l.s.Scripts {
			return 0, fmt.Errorf("hooks: %d scripts stand, and no more may", len(l.Scripts))
		}
		s = &Script{Name: name}
		l.Scripts = append(l.Scripts, s)
		slices.SortFunc(l.Scripts, func(a, b *Script) int { return cmp.Compare(a.Name, b.Name) })
	}
	digest := Digest(text)
	switch same := func(v *Version) bool { return v != nil && v.Digest == digest }; {
	case same(s.Live):
		return s.Live.Number, nil // nothing is to be tried that runs already
	case shadow && same(s.Shadow):
		return s.Shadow.Number, nil
	case same(s.Before) && s.Before.Bad != "": // a file that is read again must not bring it back
		return 0, fmt.Errorf("%w: %s", ErrQuarantined, s.Before.Bad)
	}
	l.Last++
	v := &Version{Number: l.Last, Digest: digest, Text: text, From: from}
	if shadow {
		s.Shadow, s.Trial = v, Tally{}
		l.change(s, false, "version %d runs in the shadow", v.Number)
		return v.Number, nil
	}
	l.replace(s, v)
	l.change(s, false, "version %d is live", v.Number)
	return v.Number, nil
}

func (l *Lifecycle) replace(s *Script, v *Version) {
	if s.Live != nil {
		s.Before = s.Live
	}
	s.Live, s.Tally, s.Fault = v, Tally{}, ""
	s.strikes, s.opens, s.open, s.probing = 0, 0, false, false
}

// Promote makes the shadow live, if it was tried enough and made no fault, or by force.
func (l *Lifecycle) Promote(name string, force bool) error {
	s := l.Find(name)
	if s == nil {
		return ErrUnknown
	}
	if s.Shadow == nil {
		return fmt.Errorf("%w: %s has no shadow", ErrNothing, name)
	}
	if !force && (s.Trial.Runs < int64(l.s.Trial) || s.Trial.Faults > 0) {
		return fmt.Errorf("%w: %d runs of %d, %d faults, %d differ from the live version", ErrTrialTooShort, s.Trial.Runs, l.s.Trial, s.Trial.Faults, s.Trial.Differ)
	}
	l.replace(s, s.Shadow)
	s.Shadow = nil
	l.change(s, false, "version %d is promoted", s.Live.Number)
	return nil
}

// Rollback makes the version before the live one live again.
func (l *Lifecycle) Rollback(name string) error {
	s := l.Find(name)
	if s == nil {
		return ErrUnknown
	}
	if s.Before == nil || s.Before.Bad != "" {
		return fmt.Errorf("%w: %s has no version before that was not given up", ErrNothing, name)
	}
	old := s.Live
	l.replace(s, s.Before)
	s.Before = old
	l.change(s, false, "back to version %d", s.Live.Number)
	return nil
}

// Release lets a version that was given up run again.
func (l *Lifecycle) Release(name string) error {
	s := l.Find(name)
	if s == nil {
		return ErrUnknown
	}
	if s.Live == nil || s.Live.Bad == "" && !s.open {
		return fmt.Errorf("%w: %s is not held back", ErrNothing, name)
	}
	s.Live.Bad, s.strikes, s.opens, s.open, s.probing = "", 0, 0, false, false
	l.change(s, false, "version %d is released", s.Live.Number)
	return nil
}

// Remove forgets a script with all its versions.
func (l *Lifecycle) Remove(name string) error {
	s := l.Find(name)
	if s == nil {
		return ErrUnknown
	}
	l.Scripts = slices.DeleteFunc(l.Scripts, func(o *Script) bool { return o == s })
	s.Live, s.Shadow = nil, nil
	l.change(s, false, "removed")
	return nil
}

// Ran follows one run of the live version; fault is "" for a good one. A version that makes several faults in a row is not run
// for a time, with jitter, and then tried by one run; after several such times in a row it is given up: the version before
// takes over if it was not given up itself, else nothing runs until an operator acts.
func (l *Lifecycle) Ran(now time.Duration, name string, version uint64, fault string, fuel int64) {
	s := l.Find(name)
	if s == nil || s.Live == nil || s.Live.Number != version {
		return // of a version that is no longer live: it says nothing of the one that is
	}
	s.Tally.Runs++
	s.Tally.Fuel += fuel
	if fault == "" {
		s.strikes = 0
		if s.open && s.probing {
			s.open, s.probing = false, false
			l.change(s, false, "version %d runs again", version)
		} else if !s.open && s.opens > 0 && s.Tally.Runs%int64(10*l.s.ConsecutiveFaults) == 0 {
			s.opens-- // long good runs make up for it
		}
		return
	}
	s.Tally.Faults++
	s.Fault = fault
	if s.open && !s.probing { // a run that had begun before
		return
	}
	if s.strikes++; s.strikes < l.s.ConsecutiveFaults && !s.probing {
		return
	}
	s.strikes, s.probing = 0, false
	if s.opens++; s.opens <= l.s.Openings {
		back := min(l.s.Longest, l.s.Back<<(s.opens-1))
		back += time.Duration(l.rng.Float64() * 0.5 * float64(back))
		s.open, s.until = true, now+back
		l.change(s, true, "version %d: %s: not run for %v", version, fault, back.Round(time.Millisecond))
		return
	}
	s.Live.Bad = fault
	if s.Before != nil && s.Before.Bad == "" {
		given := s.Live
		l.replace(s, s.Before)
		s.Before = given
		l.change(s, true, "version %d is given up: %s: back to version %d", given.Number, fault, s.Live.Number)
		return
	}
	s.open = false
	l.change(s, true, "version %d is in quarantine: %s", version, fault)
}

// Affords tells whether a version may run aside now: it has at most two seconds of its rate behind. One that costs more misses
// events, and is no less heard for it; the machine's other cores are for calls.
func (l *Lifecycle) Affords(now time.Duration, t *Tally) bool {
	t.debt = max(0, t.debt-int64(max(0, now-t.at).Seconds()*float64(l.s.Rate)))
	t.at = now
	if t.debt > 2*l.s.Rate {
		t.Skipped++
		return false
	}
	return true
}

// Tried follows one run of the shadow.
func (l *Lifecycle) Tried(name string, version uint64, fault string, fuel int64, same bool) {
	s := l.Find(name)
	if s == nil || s.Shadow == nil || s.Shadow.Number != version {
		return
	}
	s.Trial.Runs++
	s.Trial.Fuel += fuel
	s.Trial.debt += fuel
	if fault != "" {
		s.Trial.Faults++
		s.Fault = fault
	} else if !same {
		s.Trial.Differ++
	}
}

// Due lets the versions be tried whose time off is over.
func (l *Lifecycle) Due(now time.Duration) {
	for _, s := range l.Scripts {
		if s.open && !s.probing && s.Live != nil && s.Live.Bad == "" && now >= s.until {
			s.probing = true
			l.changes = append(l.changes, Change{Script: s.Name, Live: s.Live, Text: fmt.Sprintf("version %d is tried", s.Live.Number)})
		}
	}
}

// Next returns when Due has something to do, or 0.
func (l *Lifecycle) Next() (at time.Duration) {
	for _, s := range l.Scripts {
		if s.open && !s.probing && s.Live != nil && s.Live.Bad == "" && (at == 0 || s.until < at) {
			at = s.until
		}
	}
	return at
}
