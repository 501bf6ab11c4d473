package agent

import (
	"testing"
	"time"

	"kitehub/internal/clock"
	"kitehub/internal/registry"
	"kitehub/internal/registry/wire"
)

// What a response must not hold: it is refused whole.
func TestRead(t *testing.T) {
	alias := wire.Alias{Type: wire.TypeAlias, Model: "m", Alias: "current", Version: "v", Revision: 1}
	other := alias
	other.Type = "type.googleapis.com/other"
	none := alias
	none.Revision = 0
	for name, r := range map[string]wire.Response{
		"no epoch":    {VersionInfo: "x", TypeURL: wire.TypeAlias, LeaseMS: 1},
		"other type":  {VersionInfo: "1", TypeURL: "other", LeaseMS: 1},
		"no lease":    {VersionInfo: "1", TypeURL: wire.TypeAlias},
		"twice":       {VersionInfo: "1", TypeURL: wire.TypeAlias, LeaseMS: 1, Resources: []wire.Alias{alias, alias}},
		"a stranger":  {VersionInfo: "1", TypeURL: wire.TypeAlias, LeaseMS: 1, Resources: []wire.Alias{other}},
		"no revision": {VersionInfo: "1", TypeURL: wire.TypeAlias, LeaseMS: 1, Resources: []wire.Alias{none}},
	} {
		if _, err := parseResponse(&r); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	told, err := parseResponse(&wire.Response{VersionInfo: "7", TypeURL: wire.TypeAlias, LeaseMS: 1500, Resources: []wire.Alias{alias}, Stale: []string{"m"}})
	if err != nil || told.Epoch != 7 || told.Lease != 1500*time.Millisecond || !told.Stale["m"] || len(told.Targets) != 1 {
		t.Errorf("%+v, %v", told, err)
	}
}

// BenchmarkPath is what versions cost a call: bound, checked at send and answer, let out at the door, unbound.
func BenchmarkPath(b *testing.B) {
	a := &Agent{cfg: Config{Clock: clock.System()}, reports: newReports()}
	told := registry.ViewUpdate{Epoch: 1, Targets: map[registry.AliasName]registry.Target{}, Lease: time.Hour}
	n := registry.AliasName{Model: "model-500", Alias: "current"}
	for i := range 1000 {
		told.Targets[registry.AliasName{Model: "model-" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676)), Alias: "current"}] = registry.Target{Version: "v", Revision: 1}
	}
	told.Targets[n] = registry.Target{Version: "v1", Digest: "sha256:1", Revision: 1}
	var v registry.View
	v.Update(a.cfg.Clock.Now(), told)
	a.current.Store(newGeneration(v))
	b.ReportAllocs()
	for b.Loop() {
		t, _ := a.Resolve(n)
		a.Use(n, t)
		a.MayAnswer(n, t)
		a.MayAnswer(n, t)
		ticket, _, verdict := a.Begin(n, t)
		if verdict != registry.Allowed {
			b.Fatal(verdict)
		}
		a.End(ticket)
		a.Unuse(n, t, true, false)
	}
}
