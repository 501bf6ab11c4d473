package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/registry"
	"kitehub/internal/registry/wire"
)

// A response with an invalid part is rejected as a whole.
func TestInvalidResponse(t *testing.T) {
	alias := wire.Alias{Type: wire.TypeAlias, Model: "m", Alias: "current", Version: "v", Revision: 1}
	otherType := alias
	otherType.Type = "type.googleapis.com/other"
	noRevision := alias
	noRevision.Revision = 0
	withResources := func(aliases ...wire.Alias) wire.DiscoveryResponse {
		return wire.DiscoveryResponse{VersionInfo: "1", TypeURL: wire.TypeAlias, LeaseMS: 1, Resources: aliases}
	}
	for name, resp := range map[string]wire.DiscoveryResponse{
		"no epoch":                   {VersionInfo: "x", TypeURL: wire.TypeAlias, LeaseMS: 1},
		"another type":               {VersionInfo: "1", TypeURL: "other", LeaseMS: 1},
		"no lease":                   {VersionInfo: "1", TypeURL: wire.TypeAlias},
		"an alias twice":             withResources(alias, alias),
		"a resource of another type": withResources(otherType),
		"an alias without revision":  withResources(noRevision),
	} {
		if _, err := parseResponse(&resp); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	valid := withResources(alias)
	valid.VersionInfo = "7"
	valid.LeaseMS = 1500
	valid.AllowStale = []string{"m"}
	update, err := parseResponse(&valid)
	if err != nil {
		t.Fatal(err)
	}
	if update.Epoch != 7 || update.LeaseDuration != 1500*time.Millisecond || !update.AllowStale["m"] || len(update.Targets) != 1 {
		t.Errorf("%+v", update)
	}
}

// A controller took the response to a poll that rejected an update for a lease, which the registry
// does not grant by such a poll: it could answer after a migration that did not wait for it.
func TestRejectionRenewsNoLease(t *testing.T) {
	manual := clock.NewManual(time.Unix(1_800_000_000, 0))
	a := &Agent{cfg: Config{Clock: manual, Log: zerolog.Nop()}, stop: make(chan struct{}), reports: newReports()}
	a.current.Store(newGeneration(registry.View{}))
	p := &poller{agent: a, nack: &wire.ErrorDetail{Message: "rejected"}}
	alias := registry.AliasName{Model: "m", Alias: "current"}
	target := registry.Target{Version: "v", Revision: 1}
	update := registry.ViewUpdate{
		Epoch:         1,
		Targets:       map[registry.AliasName]registry.Target{alias: target},
		AllowStale:    map[string]bool{"m": true},
		LeaseDuration: time.Second,
		StaleDuration: time.Second,
	}
	p.accept(manual.Now(), update, &wire.DiscoveryResponse{})
	if v := a.MayAnswer(alias, target); v != registry.NoLease {
		t.Errorf("after the response to a rejection: %v", v)
	}
	p.accept(manual.Now(), update, &wire.DiscoveryResponse{})
	if v := a.MayAnswer(alias, target); v != registry.Allowed {
		t.Errorf("after the next response: %v", v)
	}
}

// A generation becomes idle once it was replaced and the answers that it admitted are written. It
// admits no answers afterwards.
func TestGenerationBecomesIdle(t *testing.T) {
	g := newGeneration(registry.View{})
	if !g.acquire() {
		t.Fatal("the current generation admits no answer")
	}
	g.release() // as if replaced
	if g.isIdle() {
		t.Error("idle while an answer is being written")
	}
	if !g.acquire() {
		t.Error("a replaced generation that is not idle admits no answer")
	}
	g.release()
	g.release()
	if !g.isIdle() || g.acquire() {
		t.Error("not idle after all answers are written")
	}
}

// A poll takes the reports, and they are restored if it fails. Newer reports of ready copies are
// not overwritten.
func TestReportsOfFailedPoll(t *testing.T) {
	a := &Agent{cfg: Config{Clock: clock.System()}, reports: newReports()}
	a.current.Store(newGeneration(registry.View{}))
	alias := registry.AliasName{Model: "m", Alias: "current"}
	target := registry.Target{Version: "v", Revision: 1}
	version := registry.VersionRef{Model: "m", Version: "v"}
	a.setStaged([]wire.Stage{{Model: "m", Version: "v"}})
	call := func(failed bool) {
		a.BeginCall(alias, target)
		a.EndCall(alias, target, true, failed)
	}
	call(true)
	a.ReportCopies(version, "w1", 1)
	a.ReportCopies(version, "w2", 1)
	lost := a.newRequest(0, "", nil)
	call(false)
	a.ReportCopies(version, "w1", 2)
	a.reports.restore(lost)
	request := a.newRequest(0, "", nil)
	if want := []wire.CallsEnded{{Model: "m", Version: "v", Calls: 2, Errors: 1}}; fmt.Sprint(request.CallsEnded) != fmt.Sprint(want) {
		t.Errorf("calls %v, want %v", request.CallsEnded, want)
	}
	copies := map[string]int{}
	for _, report := range request.CopiesReady {
		copies[report.Worker] = report.Copies
	}
	if want := map[string]int{"w1": 2, "w2": 1}; fmt.Sprint(copies) != fmt.Sprint(want) {
		t.Errorf("copies %v, want %v", copies, want)
	}
	if again := a.newRequest(0, "", nil); len(again.CallsEnded)+len(again.CopiesReady) > 0 {
		t.Errorf("reported twice: %+v", again)
	}
}

// BenchmarkPath measures the cost of versions for each call: its alias is resolved, its target is
// checked when the call is sent and when it is answered, and its answer is admitted.
func BenchmarkPath(b *testing.B) {
	a := &Agent{cfg: Config{Clock: clock.System()}, reports: newReports()}
	alias := registry.AliasName{Model: "model-500", Alias: "current"}
	update := registry.ViewUpdate{Epoch: 1, Targets: map[registry.AliasName]registry.Target{}, LeaseDuration: time.Hour}
	for i := range 1000 {
		other := "model-" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		update.Targets[registry.AliasName{Model: other, Alias: "current"}] = registry.Target{Version: "v", Revision: 1}
	}
	update.Targets[alias] = registry.Target{Version: "v1", Digest: "sha256:1", Revision: 1}
	var view registry.View
	now := a.cfg.Clock.Now()
	view.Update(now, now, update)
	a.current.Store(newGeneration(view))
	b.ReportAllocs()
	for b.Loop() {
		target, _ := a.Resolve(alias)
		a.BeginCall(alias, target)
		a.MayAnswer(alias, target)
		a.MayAnswer(alias, target)
		ticket, _, verdict := a.BeginAnswer(alias, target)
		if verdict != registry.Allowed {
			b.Fatal(verdict)
		}
		a.EndAnswer(ticket)
		a.EndCall(alias, target, true, false)
	}
}
