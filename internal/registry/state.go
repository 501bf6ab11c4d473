package registry

import (
	"fmt"
	"time"
)

// State is a complete registry. Snapshots and exports hold its JSON: the keys in the tags are a
// storage format, also where they differ from the names of the fields. Durations are in
// nanoseconds, and times count from the first start of the registry.
type State struct {
	Settings Settings `json:"-"` // stored beside the state
	// Epoch grows by one with every change that controllers must learn.
	Epoch           uint64            `json:"Epoch"`
	LastMigration   uint64            `json:"NextMove"`  // ID of the newest migration
	Models          map[string]*Model `json:"Models"`    // by name
	Fences          []Fence           `json:"Fences"`    // not yet acknowledged, oldest first
	ConfirmedEpoch  uint64            `json:"Confirmed"` // no controller acts under an older epoch
	IdempotencyKeys []KeyResult       `json:"Keys"`      // oldest first
	History         []HistoryEntry    `json:"History"`   // oldest first
	Condemned       map[string]string `json:"Condemned"` // reason by digest; entries are never removed
	// EndedMigrations are the most recently ended migrations, oldest first.
	EndedMigrations []MigrationEnd `json:"Moves"`
	Now             time.Duration  `json:"Now"` // time of the last command
	// EarlierLeasesUntil is how long controllers may hold leases that were granted under earlier
	// settings, if these leases were longer; 0 if they never were. It is stored beside the state.
	EarlierLeasesUntil time.Duration `json:"-"`
	// EarlierStaleUntil is the same for answers without a lease, by the policy stale.
	EarlierStaleUntil time.Duration `json:"-"`
}

// A Model has versions and aliases, each indexed by name.
type Model struct {
	Name string `json:"Name"`
	// AllowStale permits answers while a controller has no lease: for this model an answer under an
	// alias that may have migrated is better than none. The permission ends Settings.StaleDuration
	// after the lease.
	AllowStale bool                `json:"Stale"`
	Versions   map[string]*Version `json:"Versions"`
	Aliases    map[string]*Alias   `json:"Aliases"`
	// FreshEpoch is the epoch in which AllowStale was last taken back, as long as a controller may
	// still answer by the earlier policy, and 0 otherwise. No migration is acknowledged meanwhile.
	FreshEpoch uint64 `json:"FreshEpoch,omitempty"`
}

// Phase is the stage of a version's life cycle. The numbers are stored in snapshots.
type Phase int

// The phases of a version.
const (
	Proposed  Phase = iota + 1 // known by its digest
	Staged                     // its copies are ready or being loaded
	Live                       // named by an alias
	Retired                    // no longer named by any alias
	Condemned                  // never to be used again
)

// String returns the name of the phase in lower case.
func (p Phase) String() string {
	return [...]string{"", "proposed", "staged", "live", "retired", "condemned"}[p]
}

// A Version of a model. The properties that a push sets never change; the phase and the counters
// do.
type Version struct {
	Name string `json:"Name"`
	// Digest is "sha256:" and 64 hexadecimal digits, as in the OCI image specification.
	Digest   string        `json:"Digest"`
	Size     int64         `json:"Size"` // bytes
	MemoryMB float64       `json:"MemoryMB"`
	Lanes    int           `json:"Lanes"` // calls that one copy runs at a time
	LoadTime time.Duration `json:"Load"`

	Phase      Phase          `json:"Phase"`
	PhaseSince time.Duration  `json:"Since"`  // time at which the phase began
	Copies     map[string]int `json:"Copies"` // ready copies by worker
	Calls      int            `json:"Calls"`  // calls that ended since the version became live
	Errors     int            `json:"Errors"` // how many of these calls failed
	// ReplacedInEpoch is the epoch in which an alias last stopped naming the version; 0 if that
	// never happened.
	ReplacedInEpoch uint64 `json:"Left"`
}

// An Alias names a version of its model.
type Alias struct {
	Name    string `json:"Name"`
	Version string `json:"Version"` // if empty, calls are rejected
	// Revision grows by one with every migration that takes effect. A migration from A to B and
	// back yields three revisions, so an answer of the first A can be told from one of the second.
	Revision        uint64     `json:"Revision"`
	PreviousVersion string     `json:"Before"` // target of a rollback; empty if there is none
	Epoch           uint64     `json:"Epoch"`  // in which the alias last changed
	Migration       *Migration `json:"Move"`   // in progress; nil if there is none
}

// A Migration of an alias from one version to another has two steps: staging, until enough copies
// are ready, and then the fence, until no controller can answer under the old version any more.
type Migration struct {
	ID          uint64        `json:"ID"`
	From        string        `json:"From"` // empty if the alias is new
	To          string        `json:"To"`   // empty if the version of the alias was condemned
	By          string        `json:"By"`   // operator, or registryActor
	Reason      string        `json:"Why"`
	Copies      int           `json:"Copies"` // number that must be ready before the fence
	RequestedAt time.Duration `json:"Asked"`
	// Fenced says that the alias names To; the acknowledgement then waits for controllers.
	Fenced bool   `json:"Fenced"`
	Epoch  uint64 `json:"Epoch"` // of the fence, once Fenced
}

// A Fence is a migration that has changed its alias and is not acknowledged yet.
type Fence struct {
	Migration uint64 `json:"Move"`
	Model     string `json:"Model"`
	Alias     string `json:"Alias"`
	Epoch     uint64 `json:"Epoch"`
	// AwaitsStale says that controllers without a lease are waited for too, although the policy is
	// stale: they may answer with bytes that are condemned.
	AwaitsStale bool `json:"AwaitsStale,omitempty"`
}

// A MigrationEnd is the result of a migration.
type MigrationEnd struct {
	Migration    uint64 `json:"Move"`
	Acknowledged bool   `json:"Acknowledged"` // false if it was aborted
	Reason       string `json:"Why"`          // why it was aborted
}

// A HistoryEntry records who did what, when and why.
type HistoryEntry struct {
	At     time.Duration `json:"At"`
	By     string        `json:"By"`
	Action string        `json:"What"`
	Reason string        `json:"Why"`
}

// A KeyResult is the result of a command that carried an idempotency key.
type KeyResult struct {
	Key       string `json:"Key"`
	Checksum  string `json:"Sum"`  // of the text of the command
	Migration uint64 `json:"Move"` // started by the command; 0 if none
}

// VersionRef names a version of a model.
type VersionRef struct {
	Model   string `json:"Model"`
	Version string `json:"Version"`
}

// lookupVersion returns a version and its model, or an error that says which of the two is not
// known.
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

// enterPhase puts the version into a phase that begins now.
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

// staging reports whether a migration of the alias waits for copies. The alias still names its old
// version.
func (a *Alias) staging() bool { return a.Migration != nil && !a.Migration.Fenced }

// revisionOf returns the revision of an alias, or 0 if the alias does not exist.
func revisionOf(a *Alias) uint64 {
	if a == nil {
		return 0
	}
	return a.Revision
}
