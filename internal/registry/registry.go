// Package registry decides which version of a model an alias names, when a move of an alias takes effect, and when it
// may be acknowledged. It is pure, like choice: commands in, effects out, time as an argument; a State is rebuilt by
// applying the same commands at the same times.
//
// The guarantee. A move is acknowledged only when no controller can hand out an answer of the version that was left:
// each controller has confirmed an epoch that knows the move, or its lease has run out by the registry's clock, which
// waits longer than the controller's own by the greatest drift of clocks. A controller asks its View at the moment of
// handing an answer out, and a View without a lease says no. docs/registry.md has the argument and what it costs.
package registry

import (
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Settings bound a registry. All must be above 0, but for Drift.
type Settings struct {
	LeaseDuration    time.Duration // how long a controller may answer after it asked, by its own clock
	MaxClockDrift    float64       // greatest difference between the rates of two clocks, as a part
	SettleTimeout    time.Duration // how long running calls may hold up a move before they are given up
	StagingTimeout   time.Duration // how long copies may take to stand before a move is given up
	Retention        time.Duration // how long the copies of a version that was left are kept for a move back
	ErrorWatch       time.Duration // how long a move is watched for errors
	MinCalls         int           // calls of the new version before its errors are judged
	MaxErrorIncrease float64       // part of calls that may fail beyond the part of the version before
	MaxModels        int           // bounds on what is held
	MaxVersions      int           // of one model
	MaxAliases       int           // of one model
	MaxControllers   int           // controllers with a lease at once
	MaxRemembered    int           // keys of commands, and lines of history
}

// Phase is how far a version is in its life.
type Phase int

const (
	Proposed  Phase = iota + 1 // known by digest
	Staged                     // copies of it stand, or are being loaded
	Live                       // an alias names it
	Retired                    // no alias names it any more
	Condemned                  // never to be used again
)

func (p Phase) String() string {
	return [...]string{"", "proposed", "staged", "live", "retired", "condemned"}[p]
}

// A Version is immutable but for its phase.
type Version struct {
	Name             string         `json:"Name"`
	Digest           string         `json:"Digest"` // "sha256:" and 64 hexadecimal digits, as the OCI image specification has it
	Size             int64          `json:"Size"`   // bytes
	MemoryMB         float64        `json:"MemoryMB"`
	Lanes            int            `json:"Lanes"`
	LoadTime         time.Duration  `json:"Load"`
	Phase            Phase          `json:"Phase"`
	Since            time.Duration  `json:"Since"`  // in this phase
	Copies           map[string]int `json:"Copies"` // that stand, by worker
	Calls            int            `json:"Calls"`  // watched, since it became live
	Errors           int            `json:"Errors"`
	AbandonedInEpoch uint64         `json:"Left"` // epoch in which the last alias left it
}

// An Alias names a version of its model. Revision grows with every move, so that A, B, A are three.
type Alias struct {
	Name            string     `json:"Name"`
	Version         string     `json:"Version"` // "": none may be used
	Revision        uint64     `json:"Revision"`
	PreviousVersion string     `json:"Before"` // the version before, for a move back; "" for none
	Epoch           uint64     `json:"Epoch"`  // in which it last changed
	Migration       *Migration `json:"Move"`   // under way
}

// A Migration goes through two steps: copies are made to stand, then the controllers are fenced.
type Migration struct {
	ID          uint64        `json:"ID"`
	From        string        `json:"From"`
	To          string        `json:"To"`
	By          string        `json:"By"`
	Why         string        `json:"Why"`
	Copies      int           `json:"Copies"` // that must stand
	RequestedAt time.Duration `json:"Asked"`
	Fenced      bool          `json:"Fenced"` // the alias names the new version; the acknowledgement waits for controllers
	Epoch       uint64        `json:"Epoch"`  // that knows the move, once fenced
}

// A Model has versions and aliases.
type Model struct {
	Name     string              `json:"Name"`
	Stale    bool                `json:"Stale"` // an answer without a lease is better than none
	Versions map[string]*Version `json:"Versions"`
	Aliases  map[string]*Alias   `json:"Aliases"`
}

// A MigrationEnd is how a move ended.
type MigrationEnd struct {
	Migration    uint64 `json:"Move"`
	Acknowledged bool   `json:"Acknowledged"`
	Why          string `json:"Why"` // it was given up
}

// A HistoryEntry of the history: who did what, when and why.
type HistoryEntry struct {
	At   time.Duration `json:"At"`
	By   string        `json:"By"`
	What string        `json:"What"`
	Why  string        `json:"Why"`
}

// State is a whole registry.
type State struct {
	Settings        Settings          `json:"-"`
	Epoch           uint64            `json:"Epoch"`
	LastMigration   uint64            `json:"NextMove"`
	Models          map[string]*Model `json:"Models"`
	Fences          []Fence           `json:"Fences"`    // moves that wait for controllers, oldest first
	Confirmed       uint64            `json:"Confirmed"` // epoch that no controller can act against any more
	Keys            []KeyResult       `json:"Keys"`
	History         []HistoryEntry    `json:"History"`
	Condemned       map[string]string `json:"Condemned"` // digests, each with why: never collected
	EndedMigrations []MigrationEnd    `json:"Moves"`     // that have ended, oldest first
	Now             time.Duration     `json:"Now"`       // of the last command
}

// A Fence is a move whose alias has changed and whose acknowledgement is open.
type Fence struct {
	Migration uint64 `json:"Move"`
	Model     string `json:"Model"`
	Alias     string `json:"Alias"`
	Epoch     uint64 `json:"Epoch"`
}

// A KeyResult is the answer to a command that carried a key: the same command again gets it again.
type KeyResult struct {
	Key       string `json:"Key"`
	Sum       string `json:"Sum"`  // of the command's text
	Migration uint64 `json:"Move"` // that it began; 0: none
}

// An Effect is one of Stage, Unstage, Published, Acknowledged, Aborted, Began, Again and Collected.
type Effect interface{ effect() }

// Stage asks for copies of a version to stand: the module orders them by Hold, within its budget and its bounds.
type Stage struct {
	Model, Version string
	Copies         int
}

// Unstage says that copies of a version need not be kept.
type Unstage struct{ Model, Version string }

// Published says that a new epoch is to be told to controllers.
type Published struct{ Epoch uint64 }

// Acknowledged says that a move has taken effect everywhere.
type Acknowledged struct{ Migration uint64 }

// Aborted ends a move that did not take effect.
type Aborted struct {
	Migration uint64
	Why       string
}

// Began says which move a command began, 0 for none; Again, which one the same command began before.
type (
	MigrationStarted struct{ Migration uint64 }
	Replayed         struct{ Migration uint64 }
)

// Collected says that a version is forgotten. Its bytes may be removed if no other version has them.
type Collected struct{ Model, Version, Digest string }

func (MigrationStarted) effect() {}
func (Replayed) effect()         {}
func (Collected) effect()        {}
func (Stage) effect()            {}
func (Unstage) effect()          {}
func (Published) effect()        {}
func (Acknowledged) effect()     {}
func (Aborted) effect()          {}

// ErrRevisionChanged is a move that names another revision than the alias has: somebody else moved it.
var ErrRevisionChanged = errors.New("the alias has moved since")

// ErrKeyReused is a key that was used for another command.
var ErrKeyReused = errors.New("key: used for another command")

// New returns an empty registry.
func New(s Settings) (*State, error) {
	for _, f := range []struct {
		name string
		v    float64
	}{{"Lease", float64(s.LeaseDuration)}, {"Settle", float64(s.SettleTimeout)}, {"Staging", float64(s.StagingTimeout)}, {"Keep", float64(s.Retention)}, {"Watch", float64(s.ErrorWatch)}, {"Least", float64(s.MinCalls)},
		{"Worse", s.MaxErrorIncrease}, {"Models", float64(s.MaxModels)}, {"Versions", float64(s.MaxVersions)}, {"Aliases", float64(s.MaxAliases)}, {"Asking", float64(s.MaxControllers)}, {"Remembered", float64(s.MaxRemembered)}} {
		if !(f.v > 0) {
			return nil, fmt.Errorf("registry: settings: %s: %v is not above 0", f.name, f.v)
		}
	}
	if !(s.MaxClockDrift >= 0 && s.MaxClockDrift < 1) {
		return nil, fmt.Errorf("registry: settings: Drift: %v is not from 0 to 1", s.MaxClockDrift)
	}
	return &State{Settings: s, Models: map[string]*Model{}, Condemned: map[string]string{}}, nil
}

// A Command changes a State. Its fields are what an operator, a controller or a worker says.
type Command interface {
	apply(s *State, now time.Duration) ([]Effect, error)
}

// Apply carries a command out. On an error nothing has changed. Time never goes back: an earlier now counts as the last.
func (s *State) Apply(now time.Duration, c Command) ([]Effect, error) {
	s.Now = max(s.Now, now)
	effects, err := c.apply(s, s.Now)
	if err != nil {
		return nil, err
	}
	effects = append(effects, s.advance(s.Now)...)
	for _, e := range effects {
		switch e := e.(type) {
		case Acknowledged:
			s.EndedMigrations = append(s.EndedMigrations, MigrationEnd{Migration: e.Migration, Acknowledged: true})
		case Aborted:
			s.EndedMigrations = append(s.EndedMigrations, MigrationEnd{Migration: e.Migration, Why: e.Why})
		}
	}
	if over := len(s.EndedMigrations) - s.Settings.MaxRemembered; over > 0 {
		s.EndedMigrations = slices.Delete(s.EndedMigrations, 0, over)
	}
	return effects, nil
}

// Status returns how far a move is: staging, fenced, acknowledged, given up (with why), or forgotten.
func (s *State) Status(move uint64) (status, why string) {
	for _, e := range s.EndedMigrations {
		if e.Migration == move {
			if e.Acknowledged {
				return "acknowledged", ""
			}
			return "given up", e.Why
		}
	}
	for _, f := range s.Fences {
		if f.Migration == move {
			return "fenced", ""
		}
	}
	for _, m := range s.Models {
		for _, a := range m.Aliases {
			if a.Migration != nil && a.Migration.ID == move {
				return "staging", ""
			}
		}
	}
	return "forgotten", ""
}

func (s *State) appendHistory(now time.Duration, by, what, why string) {
	s.History = append(s.History, HistoryEntry{now, by, what, why})
	if over := len(s.History) - s.Settings.MaxRemembered; over > 0 {
		s.History = slices.Delete(s.History, 0, over)
	}
}

func validateName(kind, s string) error {
	if s == "" || len(s) > 128 {
		return fmt.Errorf("%s: %d bytes, want 1 to 128", kind, len(s))
	}
	for i, c := range []byte(s) {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || i > 0 && strings.IndexByte("._-", c) >= 0) {
			return fmt.Errorf("%s: %q has %q at byte %d", kind, s, c, i)
		}
	}
	return nil
}

func validateDigest(s string) error {
	hexa, ok := strings.CutPrefix(s, "sha256:")
	if b, err := hex.DecodeString(hexa); !ok || err != nil || len(b) != 32 || strings.ToLower(hexa) != hexa {
		return fmt.Errorf("digest: %q is not sha256: and 64 small hexadecimal digits", s)
	}
	return nil
}

// sortedByName returns the values of a map in the order of their names.
func sortedByName[V any](m map[string]V) []V {
	l := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		l = append(l, m[k])
	}
	return l
}
