package registry

import (
	"fmt"
	"time"
)

// State is a complete registry. Its JSON is what snapshots and exports hold: the keys in the tags are a format, also
// where they differ from the names of the fields. Durations in it are in nanoseconds, and times count from when the
// registry was first started.
type State struct {
	Settings        Settings          `json:"-"`
	Epoch           uint64            `json:"Epoch"`    // grows with every change that controllers must learn of
	LastMigration   uint64            `json:"NextMove"` // id of the newest migration
	Models          map[string]*Model `json:"Models"`   // by name
	Fences          []Fence           `json:"Fences"`   // not acknowledged, oldest first
	ConfirmedEpoch  uint64            `json:"Confirmed"`
	IdempotencyKeys []KeyResult       `json:"Keys"`      // idempotency keys, oldest first
	History         []HistoryEntry    `json:"History"`   // oldest first
	Condemned       map[string]string `json:"Condemned"` // the reason by digest; never removed
	// EndedMigrations are the newest migrations that have ended, oldest first.
	EndedMigrations []MigrationEnd `json:"Moves"`
	Now             time.Duration  `json:"Now"` // time of the last command
}

// A Model has versions and aliases, each by name.
type Model struct {
	Name string `json:"Name"`
	// AllowStale permits answers while a controller has no lease: for this model, one by an alias that may have migrated
	// is better than none.
	AllowStale bool                `json:"Stale"`
	Versions   map[string]*Version `json:"Versions"`
	Aliases    map[string]*Alias   `json:"Aliases"`
}

// Phase is a version's stage of life. The numbers are stored.
type Phase int

// The phases of a version.
const (
	Proposed  Phase = iota + 1 // known by its digest
	Staged                     // copies of it are ready or are being loaded
	Live                       // an alias names it
	Retired                    // no alias names it any more
	Condemned                  // never to be used again
)

// String returns the phase's name in lower case.
func (p Phase) String() string {
	return [...]string{"", "proposed", "staged", "live", "retired", "condemned"}[p]
}

// A Version of a model. What a push says of it never changes; its phase and its counters do.
type Version struct {
	Name     string        `json:"Name"`
	Digest   string        `json:"Digest"` // "sha256:" and 64 hexadecimal digits, as in the OCI image specification
	Size     int64         `json:"Size"`   // bytes
	MemoryMB float64       `json:"MemoryMB"`
	Lanes    int           `json:"Lanes"` // calls that one copy runs at once
	LoadTime time.Duration `json:"Load"`

	Phase      Phase          `json:"Phase"`
	PhaseSince time.Duration  `json:"Since"`  // time at which the phase began
	Copies     map[string]int `json:"Copies"` // ready copies by worker
	Calls      int            `json:"Calls"`  // calls that ended since it became live
	Errors     int            `json:"Errors"` // how many of them failed
	// ReplacedInEpoch is the epoch in which an alias last stopped naming it; 0: never.
	ReplacedInEpoch uint64 `json:"Left"`
}

// An Alias names a version of its model.
type Alias struct {
	Name    string `json:"Name"`
	Version string `json:"Version"` // "": calls are refused
	// Revision grows by one with every migration that took effect. A migration from A to B and back gives three
	// revisions, so that an answer of the first A is told from one of the second.
	Revision        uint64     `json:"Revision"`
	PreviousVersion string     `json:"Before"` // the target of a rollback; "": none
	Epoch           uint64     `json:"Epoch"`  // in which it last changed
	Migration       *Migration `json:"Move"`   // in progress; nil: none
}

// A Migration of an alias from one version to another has two steps: staging, until enough copies are ready, then the
// fence, until no controller can answer by the old version any more.
type Migration struct {
	ID          uint64        `json:"ID"`
	From        string        `json:"From"` // "": the alias is new
	To          string        `json:"To"`   // "": the alias's version was condemned
	By          string        `json:"By"`   // operator, or "registry"
	Reason      string        `json:"Why"`
	Copies      int           `json:"Copies"` // that must be ready before the fence
	RequestedAt time.Duration `json:"Asked"`
	Fenced      bool          `json:"Fenced"` // the alias names To; the acknowledgement waits for controllers
	Epoch       uint64        `json:"Epoch"`  // of the fence, once Fenced
}

// A Fence is a migration that has changed its alias and is not acknowledged yet.
type Fence struct {
	Migration uint64 `json:"Move"`
	Model     string `json:"Model"`
	Alias     string `json:"Alias"`
	Epoch     uint64 `json:"Epoch"`
}

// A MigrationEnd is the result of a migration.
type MigrationEnd struct {
	Migration    uint64 `json:"Move"`
	Acknowledged bool   `json:"Acknowledged"` // else it was aborted
	Reason       string `json:"Why"`          // it was aborted
}

// A HistoryEntry says who did what, when and why.
type HistoryEntry struct {
	At     time.Duration `json:"At"`
	By     string        `json:"By"`
	Action string        `json:"What"`
	Reason string        `json:"Why"`
}

// A KeyResult is the result of a command that carried an idempotency key.
type KeyResult struct {
	Key       string `json:"Key"`
	Checksum  string `json:"Sum"`  // of the command's text
	Migration uint64 `json:"Move"` // that the command started; 0: none
}

// VersionRef names a version of a model.
type VersionRef struct {
	Model   string `json:"Model"`
	Version string `json:"Version"`
}

// lookupVersion returns a version with its model, or an error that says which of the two is not known.
func (s *State) lookupVersion(model, version string) (*Model, *Version, error) {
	m := s.Models[model]
	if m == nil {
		return nil, nil, fmt.Errorf("model: %q is not known", model)
	}
	v := m.Versions[version]
	if v == nil {
		return nil, nil, fmt.Errorf("version: %q of %s is not known", version, model)
	}
	return m, v, nil
}

// enterPhase puts a version into a phase as of now.
func (v *Version) enterPhase(phase Phase, now time.Duration) {
	v.Phase = phase
	v.PhaseSince = now
}

// readyCopies returns the number of ready copies at all workers.
func (v *Version) readyCopies() int {
	ready := 0
	for _, copies := range v.Copies {
		ready += copies
	}
	return ready
}

// errorRate returns the fraction of calls that failed.
func (v *Version) errorRate() float64 { return float64(v.Errors) / float64(max(1, v.Calls)) }

// staging tells whether a migration of the alias waits for copies: the alias still names its old version.
func (a *Alias) staging() bool { return a.Migration != nil && !a.Migration.Fenced }

// revisionOf returns the revision of an alias, 0 for one that does not exist.
func revisionOf(a *Alias) uint64 {
	if a == nil {
		return 0
	}
	return a.Revision
}
