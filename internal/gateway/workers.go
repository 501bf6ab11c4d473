package gateway

import (
	"fmt"
	"maps"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
	"kitehub/scheduler"
)

// A Worker is one entry of an endpoint list as discovery gives it.
type Worker struct {
	// Name identifies the worker: its id is a hash of it.
	Name string
	// Network and Addr are where it listens, as for net.Dial.
	Network, Addr string
	// Zone, Group and Kind are compared with those of other workers and of the settings.
	Zone, Group, Kind string
	State             scheduler.WorkerState
	// Size is its weight relative to other workers; 0: 1.
	Size float64
	// Started is when its process started, by the time of day; zero: long ago.
	Started time.Time
}

// UpdateWorkers takes a watch event of the endpoint list: a full or cached list replaces the one known, a delta changes the
// workers that it names. The back end is notified at once, so that nothing which is still unsent goes to a draining
// worker; the dispatcher learns of it in its next step. On an error, which is that two names have one hash, the list
// stays as it was.
func (g *Gateway) UpdateWorkers(kind scheduler.ListKind, version uint32, event []Worker) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.directory.workers
	next, gone, err := mergeWorkers(old, kind, event)
	if err != nil {
		return err
	}
	g.directory.workers = next
	g.directory.listVersion = version
	g.directory.clockOffset = g.cfg.Clock.Now() - time.Duration(g.cfg.Clock.Wall().UnixNano())
	g.updateEndpoints()
	if g.cfg.Hooks != nil {
		g.notifyHooks(old, next)
	}
	// A pending list and this one become one full list: the dispatcher gets what holds, not how it came.
	if kind == scheduler.ListDelta || g.pendingList != nil && g.pendingList.Kind == scheduler.FullList {
		kind = scheduler.FullList
	}
	update := g.directory.fullUpdate(kind)
	update.Workers = append(update.Workers, gone...)
	g.pendingList = &update
	g.wakeLoop()
	return nil
}

// mergeWorkers returns the list that holds after a watch event, and the workers that the event says are gone.
func mergeWorkers(old map[scheduler.WorkerID]Worker, kind scheduler.ListKind, event []Worker) (
	next map[scheduler.WorkerID]Worker, gone []scheduler.WorkerInfo, err error) {
	next = map[scheduler.WorkerID]Worker{}
	if kind == scheduler.ListDelta {
		next = maps.Clone(old)
	}
	for _, w := range event {
		id := WorkerID(w.Name)
		if other, ok := next[id]; ok && other.Name != w.Name {
			return nil, nil, fmt.Errorf("workers %q and %q have the same hash: rename one", other.Name, w.Name)
		}
		if w.State == scheduler.Removed {
			delete(next, id)
			gone = append(gone, scheduler.WorkerInfo{ID: id, State: scheduler.Removed})
			continue
		}
		next[id] = w
	}
	return next, gone, nil
}

// updateEndpoints notifies the back end of the list. The caller holds g.mu.
func (g *Gateway) updateEndpoints() {
	g.endpoints = g.endpoints[:0]
	for _, id := range sortedKeys(g.directory.workers) {
		w := g.directory.workers[id]
		g.endpoints = append(g.endpoints, backend.Endpoint{
			ID: id, Name: w.Name, Network: w.Network, Addr: w.Addr, Ready: w.State == scheduler.Ready,
		})
	}
	g.cfg.Transport.Update(g.endpoints)
}

var stateNames = map[scheduler.WorkerState]string{
	scheduler.Ready:    "ready",
	scheduler.Draining: "draining",
	scheduler.Removed:  "gone",
}

// notifyHooks posts which workers became ready or ceased to be, and hands over the list. The caller holds g.mu.
func (g *Gateway) notifyHooks(old, next map[scheduler.WorkerID]Worker) {
	post := func(point string, w Worker, state scheduler.WorkerState) {
		g.cfg.Hooks.Post(point, hooklang.Worker{Name: w.Name, Group: w.Group, Zone: w.Zone, State: stateNames[state]})
	}
	var advisable []hookadvice.Worker
	for _, id := range sortedKeys(next) {
		w := next[id]
		advisable = append(advisable, g.advisableWorker(w))
		wasReady := old[id].State == scheduler.Ready
		ready := w.State == scheduler.Ready
		switch {
		case ready && !wasReady:
			post("joined", w, w.State)
		case !ready && wasReady:
			post("left", w, w.State)
		}
	}
	for _, id := range sortedKeys(old) {
		if _, ok := next[id]; !ok && old[id].State == scheduler.Ready {
			post("left", old[id], scheduler.Removed)
		}
	}
	g.cfg.Hooks.SetWorkers(advisable)
}

// advisableWorker returns what advice on a worker is checked against.
func (g *Gateway) advisableWorker(w Worker) hookadvice.Worker {
	a := hookadvice.Worker{Name: w.Name, Ready: w.State == scheduler.Ready}
	memory := g.cfg.Settings.Loading.MemoryMB
	if kind, ok := g.directory.labelIndexes["kind "+w.Kind]; ok && kind < len(memory) {
		a.MemoryMB = memory[kind]
	}
	return a
}
