package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// A WatchEvent describes what an update changes.
type WatchEvent struct {
	Kind    scheduler.ListKind // FullList or ListDelta
	Version uint32             // number of the event within its State, from 1
	Workers []gateway.Worker   // complete list, or the changed and removed workers of a delta
}

// A State holds the endpoint list in force. It does no I/O and is not safe for concurrent use. The
// zero value with Cluster set is ready for use. A copy is a snapshot, as Apply replaces the list
// and never changes it in place.
type State struct {
	Cluster string // cluster name required in complete lists; "" for any
	Version string // of the last update applied

	versionNumber uint64 // Version as a number, or 0 if it cannot be compared
	workers       map[string]gateway.Worker
	eventCount    uint32 // number of watch events returned
}

// Apply applies an update and returns what it changes, or nil if the update is not newer than the
// list in force. If it returns an error, which names the invalid field, the list is unchanged.
func (s *State) Apply(u Update) (*WatchEvent, error) {
	version, err := u.version()
	if err != nil {
		return nil, err
	}
	number, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		number = 0 // xDS allows opaque versions, which can only be compared for equality
	}
	if version == s.Version || number > 0 && number < s.versionNumber {
		return nil, nil
	}
	event := &WatchEvent{Kind: scheduler.FullList}
	var next map[string]gateway.Worker
	if u.isDelta() {
		event.Kind = scheduler.ListDelta
		event.Workers, next, err = s.applyDelta(u)
	} else {
		event.Workers, next, err = s.applyFull(u)
	}
	if err != nil {
		return nil, err
	}
	s.eventCount++
	event.Version = s.eventCount
	s.workers = next
	s.Version = version
	s.versionNumber = number
	return event, nil
}

func (u *Update) isDelta() bool { return u.TypeURL == TypeEndpoint }

func (u *Update) version() (string, error) {
	version := u.VersionInfo
	if u.isDelta() {
		version = u.SystemVersionInfo
	} else if u.TypeURL != TypeAssignment {
		return "", fmt.Errorf("typeUrl: %q is neither an assignment nor an endpoint", u.TypeURL)
	}
	if version == "" {
		return "", errors.New("versionInfo: empty")
	}
	return version, nil
}

// applyFull returns the workers of a complete list, as a slice and by name.
func (s *State) applyFull(u Update) (changed []gateway.Worker, next map[string]gateway.Worker, err error) {
	if len(u.Resources) != 1 {
		return nil, nil, fmt.Errorf("resources: got %d, want 1 in a complete list", len(u.Resources))
	}
	changed, err = ParseAssignment(u.Resources[0], s.Cluster)
	if err != nil {
		return nil, nil, fmt.Errorf("resources[0].%w", err)
	}
	next = make(map[string]gateway.Worker, len(changed))
	for _, w := range changed {
		next[w.Name] = w
	}
	return changed, next, nil
}

// applyDelta applies a delta to a copy of the list in force. It returns the changed and removed
// workers and the new list.
func (s *State) applyDelta(u Update) (changed []gateway.Worker, next map[string]gateway.Worker, err error) {
	if s.workers == nil {
		return nil, nil, errors.New("resources: delta before the first complete list")
	}
	next = maps.Clone(s.workers)
	for i, text := range u.Resources {
		w, err := parseResource(text)
		if err != nil {
			return nil, nil, fmt.Errorf("resources[%d]%w", i, err)
		}
		next[w.Name] = w
		changed = append(changed, w)
	}
	for i, name := range u.RemovedResources {
		w, known := next[name]
		if !known {
			continue // xDS requires that removals of unknown resources are ignored
		}
		if slices.ContainsFunc(changed, func(other gateway.Worker) bool { return other.Name == name }) {
			return nil, nil, fmt.Errorf("removedResources[%d]: %q is changed by the same update", i, name)
		}
		delete(next, name)
		w.State = scheduler.Removed
		changed = append(changed, w)
	}
	return changed, next, checkUnique(sortedByName(next))
}

// parseResource parses a changed endpoint of a delta. The error begins with the path of the invalid
// field relative to the resource, or with a colon if the resource itself is invalid.
func parseResource(text json.RawMessage) (gateway.Worker, error) {
	var resource Resource
	if err := json.Unmarshal(text, &resource); err != nil {
		return gateway.Worker{}, fmt.Errorf(": %w", err)
	}
	var endpoint Endpoint
	if err := json.Unmarshal(resource.Resource, &endpoint); err != nil {
		return gateway.Worker{}, fmt.Errorf(".resource: %w", err)
	}
	w, err := endpoint.worker("")
	if err != nil {
		return gateway.Worker{}, fmt.Errorf(".resource.%w", err)
	}
	if resource.Name != w.Name {
		return gateway.Worker{}, fmt.Errorf(".name: %q differs from hostname %q", resource.Name, w.Name)
	}
	return w, nil
}

// Reconnected must be called when a new connection to the server is opened. xDS versions can only
// be compared within one stream: without this, the updates of a server that restarts its numbering
// would be ignored forever.
func (s *State) Reconnected() { s.versionNumber = 0 }

// Workers returns the list in force, ordered by name.
func (s *State) Workers() []gateway.Worker { return sortedByName(s.workers) }

func sortedByName(workers map[string]gateway.Worker) []gateway.Worker {
	sorted := make([]gateway.Worker, 0, len(workers))
	for _, w := range workers {
		sorted = append(sorted, w)
	}
	slices.SortFunc(sorted, func(a, b gateway.Worker) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}
