package scalebench

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"kitehub/internal/registry"
	"kitehub/internal/registry/wire"
)

// ModelsCost is what a registry's state costs by the models it holds, and what one controller's view of them does, with no network.
// Processor time is of one of each.
type ModelsCost struct {
	Command    time.Duration // a move that names an alias anew: applied by the registry
	SendFull   time.Duration // what holds, for a controller that joins
	SendDelta  time.Duration // what is new, for one that holds the last epoch: at each question
	AllBytes   int           // of the aliases for one that joins, as JSON
	ApplyFull  time.Duration // by a controller that joins
	ApplyDelta time.Duration // by a controller, one alias moved
	ViewBytes  float64       // of memory, a controller's view
	Snapshot   time.Duration // the state as JSON, while nothing else can be done
}

// filledRegistry returns a registry's state with so many models of one version and one alias, as their commands would leave it.
// It is built at once: by commands it takes the square of the models.
func filledRegistry(models int) (*registry.State, error) {
	s, err := registry.New(registry.Settings{LeaseDuration: time.Minute, MaxClockDrift: 0.01, SettleTimeout: time.Second, StagingTimeout: time.Second, Retention: time.Minute, AutoRollbackWindow: time.Minute,
		MinCalls: 100, MaxErrorIncrease: 0.2, MaxModels: models, MaxVersions: 20, MaxAliases: 5, MaxControllers: 1000, MaxRemembered: 1000})
	if err != nil {
		return nil, err
	}
	for i := range models {
		v := scaleVersion("v1", 2*i)
		v.Phase, v.Copies = registry.Live, map[string]int{}
		s.Epoch++
		s.Models[modelName(i)] = &registry.Model{Name: modelName(i), Versions: map[string]*registry.Version{"v1": &v},
			Aliases: map[string]*registry.Alias{scaleAlias: {Name: scaleAlias, Version: "v1", Revision: 1, Epoch: s.Epoch}}}
	}
	s.ConfirmedEpoch, s.LastMigration = s.Epoch, s.Epoch
	return s, nil
}

// heapInUse returns the bytes that are held, once what is not has been collected.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // finalizers and pools let go of the rest
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// timed returns the processor time of f, the mean of several.
func timed(times int, f func()) time.Duration {
	began := processTime()
	for range times {
		f()
	}
	return (processTime() - began) / time.Duration(times)
}

// wireBytes returns the length of what is told, as it goes over the wire.
func wireBytes(told registry.ViewUpdate) int {
	var r wire.DiscoveryResponse
	for n, t := range told.Targets {
		r.Resources = append(r.Resources, wire.Alias{Type: wire.TypeAlias, Model: n.Model, Alias: n.Alias, Version: t.Version, Digest: t.Digest, Revision: t.Revision})
	}
	text, err := json.Marshal(r)
	if err != nil {
		return 0
	}
	return len(text)
}

// RunModels measures a state of so many models.
func RunModels(models int) (c ModelsCost, err error) {
	const times = 10
	s, err := filledRegistry(models)
	if err != nil {
		return c, err
	}
	if _, err := s.Apply(0, registry.Push{Model: modelName(0), Version: scaleVersion("v2", 2*models+1)}); err != nil {
		return c, err
	}
	revision := uint64(0)
	move := func() {
		revision++
		_, failed := s.Apply(0, registry.Promote{Model: modelName(0), Alias: scaleAlias, To: []string{"v1", "v2"}[revision%2], IfRevision: revision})
		if err == nil && failed != nil {
			err = fmt.Errorf("move %d: %w", revision, failed)
		}
	}
	c.Command = timed(times, move)
	var told registry.ViewUpdate
	c.SendFull = timed(times, func() { told = s.ViewSince(0) })
	c.AllBytes = wireBytes(told)
	told = registry.ViewUpdate{}
	before := heapInUse()
	var view registry.View
	told = s.ViewSince(0)
	c.ApplyFull = timed(1, func() { view.Update(0, told) })
	told = registry.ViewUpdate{}
	c.ViewBytes = heapInUse() - before
	move()
	news := s.ViewSince(view.Epoch())
	c.ApplyDelta = timed(1, func() { view.Update(0, news) })
	if _, verdict := view.Resolve(0, registry.AliasName{Model: modelName(models - 1), Alias: scaleAlias}); err == nil && verdict != registry.Allowed {
		err = fmt.Errorf("the view does not resolve its last alias: verdict %d", verdict)
	}
	c.SendDelta = timed(times, func() { told = s.ViewSince(s.Epoch) })
	c.Snapshot = timed(1, func() { _, _ = json.Marshal(s) })
	runtime.KeepAlive(&view)
	return c, err
}
