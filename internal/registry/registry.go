// Package registry decides which version of a model an alias names, when the migration of an alias to another version
// takes effect, and when that migration may be acknowledged to the operator who asked for it.
//
// It is a deterministic state machine without I/O: a Command and the time go in, Effects come out. A State is rebuilt
// by applying the same commands at the same times, which is how package service recovers it from its log. No type of
// this package is safe for concurrent use; its owner holds a lock around it.
//
// # The guarantee
//
// Once a migration is acknowledged, no controller hands out an answer of the version that the alias named before.
//
// The argument has three parts. The fence gives the alias its new version in a new epoch. From then on, each
// controller either confirms an epoch that includes the migration, and so stops answering by the old one, or its
// lease expires. The registry counts a lease from when it received the request and adds the largest clock drift,
// while the controller counts from when it sent the request, so that the lease ends at the controller first. And a
// controller asks its View at the moment at which it hands an answer out; a View without a lease refuses. The
// migration is acknowledged when Leases.ConfirmedEpoch reaches the epoch of its fence. docs/registry.md has the
// argument in full and what it costs.
//
// # Where to read
//
// state.go has the data, commands*.go what changes it, migration.go the steps of a migration, lease.go the registry's
// side of the leases and view.go the controller's, supersede.go what becomes of calls whose alias has migrated.
package registry

import (
	"maps"
	"slices"
	"time"
)

// A Command changes a State. Its fields are what an operator, a controller or the registry's own process requests.
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

// Apply executes a command at a time, and every step of a migration that has become possible. Time never goes back:
// an earlier now counts as the time of the last command.
//
// On an error nothing has changed but the time. Errors that a caller tells apart are ErrRevisionChanged and
// ErrKeyReused; every other one says what is wrong with the command.
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
	s.EndedMigrations = newest(s.EndedMigrations, s.Settings.MaxRemembered)
	return effects, nil
}

// appendHistory adds an entry to the history and forgets the oldest ones beyond the bound.
func (s *State) appendHistory(now time.Duration, by, what, why string) {
	s.History = append(s.History, HistoryEntry{At: now, By: by, Action: what, Reason: why})
	s.History = newest(s.History, s.Settings.MaxRemembered)
}

// newest removes the first elements of a list, so that at most limit are left.
func newest[E any](list []E, limit int) []E {
	if excess := len(list) - limit; excess > 0 {
		list = slices.Delete(list, 0, excess)
	}
	return list
}

// sortedByName returns the values of a map in the order of their names: applying a command must not depend on the
// order in which Go ranges over a map.
func sortedByName[V any](m map[string]V) []V {
	values := make([]V, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[name])
	}
	return values
}
