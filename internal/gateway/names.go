package gateway

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitehub/internal/backend"
	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
	"kitehub/scheduler"
)

// A Function is what calls name.
type Function struct {
	Name     string
	Digest   string // of the bytes, where the registry names them
	Versions bool   // it names a model: its versions are called, not it
	ID       scheduler.FunctionID
	Class    int
	MemoryMB float64
	Lanes    float64
	LoadTime time.Duration
}

// FunctionID returns the id of a function's name. It is a hash, so that all controllers place a function alike.
func FunctionID(name string) scheduler.FunctionID {
	return scheduler.FunctionID(max(1, xxhash.Sum64String("function "+name)))
}

// WorkerID returns the id of a worker's name.
func WorkerID(name string) scheduler.WorkerID {
	return scheduler.WorkerID(max(1, xxhash.Sum64String("worker "+name)))
}

// A Worker is one line of a list as discovery gives it.
type Worker struct {
	Name, Network, Addr string
	Zone, Group, Kind   string
	State               scheduler.WorkerState
	Size                float64
	Started             time.Time // zero: long ago
}

// directory maps what the list and the configuration name to the module's numbers. It is guarded by Gateway.mu.
type directory struct {
	functions    map[scheduler.FunctionID]string
	digests      map[scheduler.FunctionID]string // of those that the registry names
	adviceOnly   map[scheduler.FunctionID]bool   // known by advice alone: forgotten with it
	workers      map[scheduler.WorkerID]Worker
	labelIndexes map[string]int // zones, groups and kinds seen, each with its kind of name in front
	settings     scheduler.Settings
	clockOffset  time.Duration // of the clock over the time of day
	listVersion  uint32
}

func newDirectory(s scheduler.Settings) directory {
	n := directory{functions: map[scheduler.FunctionID]string{}, digests: map[scheduler.FunctionID]string{}, adviceOnly: map[scheduler.FunctionID]bool{}, workers: map[scheduler.WorkerID]Worker{}, labelIndexes: map[string]int{}, settings: s}
	for i, z := range s.Zones {
		n.labelIndexes["zone "+z] = i
	}
	for i, k := range s.Kinds {
		n.labelIndexes["kind "+k] = i
	}
	return n
}

// labelIndex numbers a name that the settings do not know past all that they do: it equals itself and nothing else.
func (n *directory) labelIndex(kind, name string) int {
	key := kind + " " + name
	i, ok := n.labelIndexes[key]
	if !ok {
		i = 1<<20 + len(n.labelIndexes)
		n.labelIndexes[key] = i
	}
	return i
}

// AddFunction makes a function known, so that orders to load can name it. Two names with one hash are an error.
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

func (g *Gateway) functionName(id scheduler.FunctionID) (name, digest string, ok bool) {
	if g.cfg.NameOf != nil {
		return g.cfg.NameOf(id), "", true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	name, ok = g.directory.functions[id]
	return name, g.directory.digests[id], ok
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

// dropVersion forgets one. Orders that the module still makes for it are not sent.
func (g *Gateway) dropVersion(id scheduler.FunctionID) {
	g.mu.Lock()
	delete(g.directory.functions, id)
	delete(g.directory.digests, id)
	g.mu.Unlock()
}

// StageCopies says that copies of a function are wanted before it is called.
func (g *Gateway) StageCopies(f *Function, copies int) {
	g.enqueue(scheduler.StagedCopies{Function: f.ID, Copies: copies})
}

func (g *Gateway) workerName(id scheduler.WorkerID) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.workers[id].Name
}

// Workers takes news of the list: Whole or Cached replaces it, Delta changes the workers that it names. The back
// end is told at once, so that nothing which is still unsent goes to a worker that drains; the module hears of it
// in its next step. An error leaves the list as it was.
func (g *Gateway) Workers(kind scheduler.ListKind, version uint32, news []Worker) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := map[scheduler.WorkerID]Worker{}
	if kind == scheduler.ListDelta {
		next = maps.Clone(g.directory.workers)
	}
	var gone []scheduler.WorkerInfo
	for _, w := range news {
		id := WorkerID(w.Name)
		if old, ok := next[id]; ok && old.Name != w.Name {
			return fmt.Errorf("workers %q and %q have the same hash: rename one", old.Name, w.Name)
		}
		if w.State == scheduler.Gone {
			delete(next, id)
			gone = append(gone, scheduler.WorkerInfo{ID: id, State: scheduler.Gone})
			continue
		}
		next[id] = w
	}
	was := g.directory.workers
	g.directory.workers, g.directory.listVersion = next, version
	g.directory.clockOffset = g.cfg.Clock.Now() - time.Duration(g.cfg.Clock.Wall().UnixNano())
	g.endpoints = g.endpoints[:0]
	for _, id := range sortedKeys(next) {
		w := next[id]
		g.endpoints = append(g.endpoints, backend.Endpoint{ID: id, Name: w.Name, Network: w.Network, Addr: w.Addr, Ready: w.State == scheduler.Ready})
	}
	g.cfg.Transport.Update(g.endpoints)
	if g.cfg.Hooks != nil {
		g.notifyHooks(was, next)
	}
	// A list that waits and this one become one whole list: the module is told what holds, not how it came.
	if kind == scheduler.ListDelta {
		kind = scheduler.FullList
	}
	if g.pendingList != nil && g.pendingList.Kind == scheduler.FullList {
		kind = scheduler.FullList
	}
	l := g.directory.fullUpdate(kind)
	l.Workers = append(l.Workers, gone...)
	g.pendingList = &l
	g.wakeLoop()
	return nil
}

var stateNames = map[scheduler.WorkerState]string{scheduler.Ready: "ready", scheduler.Draining: "draining", scheduler.Gone: "gone"}

// notifyHooks tells who joined and who left.
func (g *Gateway) notifyHooks(was, is map[scheduler.WorkerID]Worker) {
	var l []hookadvice.Worker
	tell := func(point string, w Worker, state scheduler.WorkerState) {
		g.cfg.Hooks.Post(point, hooklang.Worker{Name: w.Name, Group: w.Group, Zone: w.Zone, State: stateNames[state]})
	}
	for _, id := range sortedKeys(is) {
		w, old := is[id], was[id]
		ready := w.State == scheduler.Ready
		a := hookadvice.Worker{Name: w.Name, Ready: ready}
		if k, ok := g.directory.labelIndexes["kind "+w.Kind]; ok && k < len(g.cfg.Settings.Loading.MemoryMB) {
			a.MemoryMB = g.cfg.Settings.Loading.MemoryMB[k]
		}
		l = append(l, a)
		switch wasReady := old.State == scheduler.Ready; {
		case ready && !wasReady:
			tell("joined", w, w.State)
		case !ready && wasReady:
			tell("left", w, w.State)
		}
	}
	for _, id := range sortedKeys(was) {
		if _, ok := is[id]; !ok && was[id].State == scheduler.Ready {
			tell("left", was[id], scheduler.Gone)
		}
	}
	g.cfg.Hooks.Workers(l)
}

// fullUpdate returns the list as it stands, sorted by id.
func (n *directory) fullUpdate(kind scheduler.ListKind) scheduler.ListUpdate {
	l := scheduler.ListUpdate{Kind: kind, Version: n.listVersion}
	for _, id := range sortedKeys(n.workers) {
		w := n.workers[id]
		i := scheduler.WorkerInfo{ID: id, Size: cmp.Or(w.Size, 1), State: w.State, Zone: n.labelIndex("zone", w.Zone),
			Group: n.labelIndex("group", w.Group), Kind: n.labelIndex("kind", w.Kind)}
		if !w.Started.IsZero() {
			i.StartedAt = max(1, time.Duration(w.Started.UnixNano())+n.clockOffset)
		}
		l.Workers = append(l.Workers, i)
	}
	return l
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// traceparent is a W3C Trace Context header: the request's trace id with an id of the attempt.
func traceparent(trace [16]byte, span uint64) string {
	var b [55]byte
	copy(b[:], "00-")
	hex.Encode(b[3:], trace[:])
	b[35] = '-'
	var s [8]byte
	for i := range s {
		s[i] = byte(max(1, span) >> (56 - 8*i))
	}
	hex.Encode(b[36:], s[:])
	copy(b[52:], "-01")
	return string(b[:])
}
