package scalebench

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"kitehub/internal/registry"
	"kitehub/internal/registry/wire"
)

// ModelsCost is the cost of a registry's state with a number of models, and of a controller's view
// of them, without a network. Durations are processor times of one operation.
type ModelsCost struct {
	Command    time.Duration // the registry applies a command that migrates an alias
	SendFull   time.Duration // the registry makes the full update for a controller that joins
	SendDelta  time.Duration // the registry makes the update for a controller that has the last epoch, as for each of its requests
	AllBytes   int           // size of the full update as JSON
	ApplyFull  time.Duration // a controller that joins applies the full update
	ApplyDelta time.Duration // a controller applies the migration of one alias
	ViewBytes  float64       // memory of a controller's view
	Snapshot   time.Duration // the state is encoded as JSON, which blocks all other operations
}

// filledRegistry returns a registry's state with the given number of models, each with one version
// and one alias, as commands would create it. It sets the state directly, as the time for commands
// grows with the square of the number of models.
func filledRegistry(models int) (*registry.State, error) {
	s, err := registry.New(registry.Settings{LeaseDuration: time.Minute, StaleDuration: time.Minute, MaxClockDrift: 0.01, SettleTimeout: time.Second, StagingTimeout: time.Second, Retention: time.Minute, AutoRollbackWindow: time.Minute,
		MinCalls: 100, MaxErrorIncrease: 0.2, MaxModels: models, MaxVersions: 20, MaxAliases: 5, MaxControllers: 1000, MaxRemembered: 1000})
	if err != nil {
		return nil, err
	}
	for i := range models {
		v := modelVersion("v1", 2*i)
		v.Phase, v.Copies = registry.Live, map[string]int{}
		s.Epoch++
		s.Models[modelName(i)] = &registry.Model{Name: modelName(i), Versions: map[string]*registry.Version{"v1": &v},
			Aliases: map[string]*registry.Alias{aliasName: {Name: aliasName, Version: "v1", Revision: 1, Epoch: s.Epoch}}}
	}
	s.ConfirmedEpoch, s.LastMigration = s.Epoch, s.Epoch
	return s, nil
}

// liveHeap returns the size of the heap after unreachable objects have been freed.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // the second run frees what finalizers and pools still held
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// meanCPUTime returns the mean processor time of f over several calls.
func meanCPUTime(times int, f func()) time.Duration {
	began := processCPUTime()
	for range times {
		f()
	}
	return (processCPUTime() - began) / time.Duration(times)
}

// wireBytes returns the size of an update on the wire.
func wireBytes(update registry.ViewUpdate) int {
	var r wire.DiscoveryResponse
	for n, t := range update.Targets {
		r.Resources = append(r.Resources, wire.Alias{Type: wire.TypeAlias, Model: n.Model, Alias: n.Alias, Version: t.Version, Digest: t.Digest, Revision: t.Revision})
	}
	text, err := json.Marshal(r)
	if err != nil {
		return 0
	}
	return len(text)
}

// RunModels measures a state with the given number of models.
func RunModels(models int) (c ModelsCost, err error) {
	const times = 10
	s, err := filledRegistry(models)
	if err != nil {
		return c, err
	}
	if _, err := s.Apply(0, registry.Push{Model: modelName(0), Version: modelVersion("v2", 2*models+1)}); err != nil {
		return c, err
	}
	revision := uint64(0)
	migrate := func() {
		revision++
		_, failed := s.Apply(0, registry.Promote{Model: modelName(0), Alias: aliasName, To: []string{"v1", "v2"}[revision%2], IfRevision: revision})
		if err == nil && failed != nil {
			err = fmt.Errorf("migration %d: %w", revision, failed)
		}
	}
	c.Command = meanCPUTime(times, migrate)
	var update registry.ViewUpdate
	c.SendFull = meanCPUTime(times, func() { update = s.ViewSince(0) })
	c.AllBytes = wireBytes(update)
	update = registry.ViewUpdate{}
	before := liveHeap()
	var view registry.View
	update = s.ViewSince(0)
	c.ApplyFull = meanCPUTime(1, func() { view.Update(0, 0, update) })
	update = registry.ViewUpdate{}
	c.ViewBytes = liveHeap() - before
	migrate()
	delta := s.ViewSince(view.Epoch())
	c.ApplyDelta = meanCPUTime(1, func() { view.Update(0, 0, delta) })
	if _, verdict := view.Resolve(0, registry.AliasName{Model: modelName(models - 1), Alias: aliasName}); err == nil && verdict != registry.Allowed {
		err = fmt.Errorf("the view does not resolve its last alias: verdict %d", verdict)
	}
	c.SendDelta = meanCPUTime(times, func() { update = s.ViewSince(s.Epoch) })
	c.Snapshot = meanCPUTime(1, func() { _, _ = json.Marshal(s) })
	runtime.KeepAlive(&view)
	return c, err
}
