// Package registry decides which version of a model an alias names, when a migration of the alias
// to another version takes effect, and when that migration may be acknowledged to the operator who
// requested it.
//
// It is a deterministic state machine without I/O: a Command and the current time go in, Effects
// come out. Applying the same commands at the same times rebuilds the same State, which is how
// package service recovers it from its log. The types of this package are not safe for concurrent
// use unless they say so; their owner guards them with a lock.
//
// # The guarantee
//
// Once a migration is acknowledged, no controller returns an answer that was computed by the
// version that the alias named before.
//
// The argument has three parts. First, the fence switches the alias to its new version in a new
// epoch. Second, each controller from then on either confirms an epoch that includes the migration,
// and so stops answering under the old version, or loses its lease. The registry counts a lease
// from the time at which it received the request and adds the largest clock drift, while the
// controller counts from the time at which it sent the request, so the lease ends at the controller
// first. Third, a controller consults its View at the moment at which it returns an answer, and a
// View without a lease rejects the answer. The migration is acknowledged when Leases.ConfirmedEpoch
// reaches the epoch of its fence. docs/registry.md has the complete argument and its costs.
//
// A model whose policy is stale may be answered without a lease, for Settings.StaleDuration. While
// the policy is stale nothing is promised of controllers without a lease; after it was taken back, a
// migration also waits until Leases.StaleConfirmedEpoch reaches the epoch of that change.
//
// # Files
//
// state.go defines the data, and commands*.go the commands that change it. migration.go has the
// steps of a migration, lease.go the registry's side of the leases, view.go the controller's side,
// and supersede.go the handling of calls whose alias has migrated.
package registry

import (
	"maps"
	"slices"
	"time"
)

// A Command changes a State. Its fields hold what an operator, a controller or the registry's own
// process requests.
type Command interface {
	apply(s *State, now time.Duration) ([]Effect, error)
}

// New returns an empty registry, or an error that names the setting that is out of range.
func New(settings Settings) (*State, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return &State{Settings: settings, Models: map[string]*Model{}, Condemned: map[string]string{}}, nil
}

// Apply executes a command at a time, and then every step of a migration that has become possible.
// Time never goes backwards: a now before the time of the last command counts as that time.
//
// After an error only the time has changed. Errors that callers distinguish wrap ErrRevisionChanged
// or ErrKeyReused; every other error says what is wrong with the command.
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
			s.EndedMigrations = append(s.EndedMigrations, MigrationEnd{Migration: e.Migration, Reason: e.Reason})
		}
	}
	s.EndedMigrations = keepNewest(s.EndedMigrations, s.Settings.MaxRemembered)
	return effects, nil
}

// appendHistory adds an entry to the history and drops the oldest entries beyond
// Settings.MaxRemembered.
func (s *State) appendHistory(now time.Duration, by, action, reason string) {
	s.History = append(s.History, HistoryEntry{At: now, By: by, Action: action, Reason: reason})
	s.History = keepNewest(s.History, s.Settings.MaxRemembered)
}

// keepNewest removes the first elements of a list so that at most limit remain.
func keepNewest[E any](list []E, limit int) []E {
	if excess := len(list) - limit; excess > 0 {
		list = slices.Delete(list, 0, excess)
	}
	return list
}

// sortedByName returns the values of a map in the order of their names. Applying a command must not
// depend on the iteration order of Go's maps, which is random.
func sortedByName[V any](m map[string]V) []V {
	values := make([]V, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[name])
	}
	return values
}
