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

// A WatchEvent is what an update changes.
type WatchEvent struct {
	Kind    scheduler.ListKind // FullList or ListDelta
	Version uint32             // counts the events of one State, from 1
	Workers []gateway.Worker   // all workers, or those that a delta changes; removed ones are Gone
}

// A State is the list in force. It does no input or output, and is not safe for concurrent use. The zero value, with
// Cluster set, is ready for use. A copy is a snapshot: Apply replaces the list, and never changes it in place.
type State struct {
	Cluster string // the name that complete lists must have; "" for any
	Version string // of the last update applied

	number  uint64 // Version, if it is a number that may be compared; else 0
	workers map[string]gateway.Worker
	events  uint32 // watch events returned
}

// Apply applies an update and returns what it changes: nil if the update is not newer than the list in force. On an
// error, which names the field at fault, nothing has changed.
func (s *State) Apply(u Update) (*WatchEvent, error) {
	version, err := u.version()
	if err != nil {
		return nil, err
	}
	number, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		number = 0 // an opaque version, as xDS allows: it can only be compared for equality
	}
	if version == s.Version || number > 0 && number < s.number {
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
	s.events++
	event.Version = s.events
	s.workers = next
	s.Version = version
	s.number = number
	return event, nil
}

func (u *Update) isDelta() bool { return u.TypeURL == TypeEndpoint }

func (u *Update) version() (string, error) {
	version := u.VersionInfo
	if u.isDelta() {
		version = u.SystemVersionInfo
	} else if u.TypeURL != TypeAssignment {
		return "", fmt.Errorf("typeUrl: %q is neither of assignments nor of endpoints", u.TypeURL)
	}
	if version == "" {
		return "", errors.New("versionInfo: empty")
	}
	return version, nil
}

// applyFull reads a complete list.
func (s *State) applyFull(u Update) (changed []gateway.Worker, next map[string]gateway.Worker, err error) {
	if len(u.Resources) != 1 {
		return nil, nil, fmt.Errorf("resources: %d, want the one of the cluster", len(u.Resources))
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

// applyDelta applies changed and removed workers to a copy of the list in force.
func (s *State) applyDelta(u Update) (changed []gateway.Worker, next map[string]gateway.Worker, err error) {
	if s.workers == nil {
		return nil, nil, errors.New("resources: a delta before any whole list")
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
			continue // as xDS asks: it is no error to remove what is not known
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

// parseResource reads one changed endpoint of a delta. The error begins with the path of the field at fault below the
// resource, or with a colon if it is the resource itself.
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
		return gateway.Worker{}, fmt.Errorf(".name: %q, its endpoint is %q", resource.Name, w.Name)
	}
	return w, nil
}

// Reconnected must be called when a new connection to the server begins. xDS versions are compared only within one
// stream: a server that began to count anew would otherwise be ignored for good.
func (s *State) Reconnected() { s.number = 0 }

// Workers returns the list in force, by name.
func (s *State) Workers() []gateway.Worker { return sortedByName(s.workers) }

func sortedByName(workers map[string]gateway.Worker) []gateway.Worker {
	sorted := make([]gateway.Worker, 0, len(workers))
	for _, w := range workers {
		sorted = append(sorted, w)
	}
	slices.SortFunc(sorted, func(a, b gateway.Worker) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}
