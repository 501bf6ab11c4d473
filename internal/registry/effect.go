package registry

// An Effect is a result of a command: one of the types below. Effects are listed in the order in
// which they happened.
type Effect interface{ effect() }

// Stage requests that copies of a version be loaded. The controller that Leases.StagingController
// names orders the loads, within its load budget and its other limits.
type Stage struct {
	Model, Version string
	Copies         int
}

// Unstage says that the copies of a version are no longer needed.
type Unstage struct{ Model, Version string }

// Published announces a new epoch that controllers must learn.
type Published struct{ Epoch uint64 }

// Acknowledged says that a migration has taken effect at every controller.
type Acknowledged struct{ Migration uint64 }

// Aborted says that a migration ended without taking effect.
type Aborted struct {
	Migration uint64
	Reason    string
}

// PolicyInForce says that no controller answers for a model by the policy stale any more.
type PolicyInForce struct{ Model string }

// MigrationStarted names the migration that a command with an idempotency key started; 0 if it
// started none.
type MigrationStarted struct{ Migration uint64 }

// Replayed says that a command repeats an earlier one, and names the migration that the earlier one
// started; 0 if it started none.
type Replayed struct{ Migration uint64 }

// Collected says that a version was removed. Its bytes may be deleted if no other version has the
// same digest.
type Collected struct{ Model, Version, Digest string }

func (Stage) effect()            {}
func (Unstage) effect()          {}
func (Published) effect()        {}
func (Acknowledged) effect()     {}
func (Aborted) effect()          {}
func (PolicyInForce) effect()    {}
func (MigrationStarted) effect() {}
func (Replayed) effect()         {}
func (Collected) effect()        {}
