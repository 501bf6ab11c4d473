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

// A Worker is one entry of an endpoint list.
type Worker struct {
	// Name identifies the worker. The worker's id is a hash of it.
	Name string
	// Network and Addr are the address on which the worker listens, as for net.Dial.
	Network, Addr string
	// Zone, Group and Kind are compared with those of other workers and those in the settings.
	Zone, Group, Kind string
	State             scheduler.WorkerState
	// Size is the worker's weight relative to other workers; 0 means 1.
	Size float64
	// Started is the time of day at which the worker's process started; zero: long ago.
	Started time.Time
}

// UpdateWorkers applies a watch event of the endpoint list. A full or cached list replaces the
// current list; a delta changes the workers that it names. The backend is notified at once, so that
// nothing that is still unsent goes to a draining worker. The dispatcher is notified in its next
// step.
//
// It returns an error if two names have the same hash; the list is then unchanged.
func (g *Gateway) UpdateWorkers(kind scheduler.ListKind, version uint32, event []Worker) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.directory.workers
	next, removed, err := mergeWorkers(old, kind, event)
	if err != nil {
		return err
	}
	g.directory.workers = next
	g.directory.listVersion = version
	now := g.cfg.Clock.Now()
	g.directory.startTimes.observe(now, g.cfg.Clock.Wall())
	g.directory.startTimes.convertAll(next, now)
	g.updateEndpoints()
	if g.cfg.Hooks != nil {
		g.notifyHooks(old, next)
	}
	// A pending list and this one are merged into one full list: the dispatcher needs the current
	// state, not its history.
	if kind == scheduler.ListDelta || g.pendingList != nil && g.pendingList.Kind == scheduler.FullList {
		kind = scheduler.FullList
	}
	update := g.directory.fullUpdate(kind)
	update.Workers = append(update.Workers, removed...)
	g.pendingList = &update
	g.wakeLoop()
	return nil
}

// mergeWorkers returns the list after a watch event, and the workers that the event removes.
func mergeWorkers(old map[scheduler.WorkerID]Worker, kind scheduler.ListKind, event []Worker) (
	next map[scheduler.WorkerID]Worker, removed []scheduler.WorkerInfo, err error) {
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
			removed = append(removed, scheduler.WorkerInfo{ID: id, State: scheduler.Removed})
			continue
		}
		next[id] = w
	}
	return next, removed, nil
}

// updateEndpoints passes the list to the backend. The caller holds g.mu.
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

// notifyHooks posts an event for each worker that became ready or ceased to be ready, and passes
// the list to the hooks. The caller holds g.mu.
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

// advisableWorker returns the properties of a worker that advice is checked against.
func (g *Gateway) advisableWorker(w Worker) hookadvice.Worker {
	a := hookadvice.Worker{Name: w.Name, Ready: w.State == scheduler.Ready}
	memory := g.cfg.Settings.Loading.MemoryMB
	if kind, ok := g.directory.labelIndexes["kind "+w.Kind]; ok && kind < len(memory) {
		a.MemoryMB = memory[kind]
	}
	return a
}
