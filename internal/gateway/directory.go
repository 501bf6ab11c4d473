package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kitehub/scheduler"
)

// FunctionID returns the id for a function's name. It is a hash of the name, so all controllers
// place the function alike.
func FunctionID(name string) scheduler.FunctionID {
	return scheduler.FunctionID(max(1, xxhash.Sum64String("function "+name)))
}

// WorkerID returns the id for a worker's name, which is a hash of the name as well.
func WorkerID(name string) scheduler.WorkerID {
	return scheduler.WorkerID(max(1, xxhash.Sum64String("worker "+name)))
}

// A directory maps the names in the endpoint list and the configuration to the ids that the
// dispatcher uses. It is guarded by Gateway.mu.
type directory struct {
	functions    map[scheduler.FunctionID]string
	digests      map[scheduler.FunctionID]string // digests of the versions of models
	adviceOnly   map[scheduler.FunctionID]bool   // functions known through advice alone
	workers      map[scheduler.WorkerID]Worker   // the endpoint list
	listVersion  uint32
	labelIndexes map[string]int // keys are "zone name", "group name" and "kind name"
	startTimes   startTimes
}

func newDirectory(s scheduler.Settings) directory {
	d := directory{
		functions:    map[scheduler.FunctionID]string{},
		digests:      map[scheduler.FunctionID]string{},
		adviceOnly:   map[scheduler.FunctionID]bool{},
		workers:      map[scheduler.WorkerID]Worker{},
		labelIndexes: map[string]int{},
	}
	for i, zone := range s.Zones {
		d.labelIndexes["zone "+zone] = i
	}
	for i, kind := range s.Kinds {
		d.labelIndexes["kind "+kind] = i
	}
	return d
}

// firstUnknownLabel is the lowest index for labels that the settings do not name. It is above the
// index of every label in the settings.
const firstUnknownLabel = 1 << 20

// labelIndex returns the index of a zone, group or kind. A name that the settings do not contain
// gets an index of its own, which equals no other.
func (d *directory) labelIndex(label, name string) int {
	key := label + " " + name
	i, ok := d.labelIndexes[key]
	if !ok {
		i = firstUnknownLabel + len(d.labelIndexes)
		d.labelIndexes[key] = i
	}
	return i
}

// fullUpdate returns the endpoint list in the dispatcher's form, sorted by id.
func (d *directory) fullUpdate(kind scheduler.ListKind) scheduler.ListUpdate {
	update := scheduler.ListUpdate{Kind: kind, Version: d.listVersion}
	for _, id := range sortedKeys(d.workers) {
		w := d.workers[id]
		info := scheduler.WorkerInfo{
			ID:    id,
			Size:  cmp.Or(w.Size, 1),
			State: w.State,
			Zone:  d.labelIndex("zone", w.Zone),
			Group: d.labelIndex("group", w.Group),
			Kind:  d.labelIndex("kind", w.Kind),
		}
		info.StartedAt = d.startTimes.at(id)
		update.Workers = append(update.Workers, info)
	}
	return update
}

// AddFunction makes a function known, so that load orders can name it. Two names with the same hash
// are an error.
func (g *Gateway) AddFunction(name string) (scheduler.FunctionID, error) {
	id := FunctionID(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	if old, ok := g.directory.functions[id]; ok && old != name {
		return 0, fmt.Errorf("functions %q and %q have the same hash: rename one", old, name)
	}
	g.directory.functions[id] = name
	delete(g.directory.adviceOnly, id)
	return id, nil
}

// addVersion makes a version of a model known.
func (g *Gateway) addVersion(name, digest string) (scheduler.FunctionID, error) {
	id, err := g.AddFunction(name)
	if err == nil {
		g.mu.Lock()
		g.directory.digests[id] = digest
		g.mu.Unlock()
	}
	return id, err
}

// dropVersion makes a version unknown again. Load orders that the dispatcher still issues for it
// are not sent.
func (g *Gateway) dropVersion(id scheduler.FunctionID) {
	g.mu.Lock()
	delete(g.directory.functions, id)
	delete(g.directory.digests, id)
	g.mu.Unlock()
}

func (g *Gateway) functionName(id scheduler.FunctionID) (name, digest string, ok bool) {
	if g.cfg.FunctionName != nil {
		return g.cfg.FunctionName(id), "", true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	name, ok = g.directory.functions[id]
	return name, g.directory.digests[id], ok
}

func (g *Gateway) workerName(id scheduler.WorkerID) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.workers[id].Name
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
