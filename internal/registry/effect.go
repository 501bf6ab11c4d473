package registry

// An Effect is what a command brought about, in the order in which it happened: one of the types below.
type Effect interface{ effect() }

// Stage requests copies of a version to be loaded. The controller that Leases.Stager names orders them, within its
// budget and its bounds.
type Stage struct {
	Model, Version string
	Copies         int
}

// Unstage says that the copies of a version need not be kept.
type Unstage struct{ Model, Version string }

// Published says that controllers must learn of a new epoch.
type Published struct{ Epoch uint64 }

// Acknowledged says that a migration has taken effect at every controller.
type Acknowledged struct{ Migration uint64 }

// Aborted ends a migration that did not take effect.
type Aborted struct {
	Migration uint64
	Reason    string
}

// MigrationStarted says which migration a command with an idempotency key started; 0: none.
type MigrationStarted struct{ Migration uint64 }

// Replayed says that a command was a repetition, and which migration the first one started; 0: none.
type Replayed struct{ Migration uint64 }

// Collected says that a version was removed. Its bytes may be deleted if no other version has the same digest.
type Collected struct{ Model, Version, Digest string }

func (Stage) effect()            {}
func (Unstage) effect()          {}
func (Published) effect()        {}
func (Acknowledged) effect()     {}
func (Aborted) effect()          {}
func (MigrationStarted) effect() {}
func (Replayed) effect()         {}
func (Collected) effect()        {}
