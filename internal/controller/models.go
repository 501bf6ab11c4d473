package controller

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/internal/hooklang"
	"kitehub/internal/registry"
	"kitehub/internal/registry/agent"
	"kitehub/internal/registry/wire"
)

// maxTrackedAliases bounds the number of aliases whose migrations are posted as events, as clients
// choose the aliases in their calls.
const maxTrackedAliases = 10_000

// modelVersions connects the registry agent with the gateway's functions: it resolves the versions
// of models for the ingresses and the gateway. It implements ingress.Models and gateway.Versions,
// and is safe for concurrent use.
type modelVersions struct {
	// agent is nil until it is started, which after a handover is when the predecessor is done.
	agent     atomic.Pointer[agent.Agent]
	functions *gateway.Functions
	gateway   *gateway.Gateway
	clock     clock.Clock
	events    *eventFanout

	mu        sync.Mutex                    // guards revisions
	revisions map[registry.AliasName]uint64 // the latest revision at which a call resolved the alias
}

// postMigration posts an event if a call resolves an alias at a later revision than earlier calls
// did.
func (m *modelVersions) postMigration(n registry.AliasName, t registry.Target) {
	m.mu.Lock()
	old, known := m.revisions[n]
	if m.revisions == nil {
		m.revisions = map[registry.AliasName]uint64{}
	}
	if known || len(m.revisions) < maxTrackedAliases {
		m.revisions[n] = max(old, t.Revision)
	}
	m.mu.Unlock()
	if known && t.Revision > old {
		m.events.Post("moved", hooklang.Move{
			Model: n.Model, Alias: n.Alias, Version: t.Version, Revision: int64(t.Revision),
		})
	}
}

// Bind implements ingress.Models: it resolves an alias to a version, and counts a call under it.
func (m *modelVersions) Bind(model *gateway.Function, alias string) (*gateway.Function, gateway.VersionBinding, registry.Verdict) {
	b := gateway.VersionBinding{Name: registry.AliasName{Model: model.Name, Alias: alias}}
	a := m.agent.Load()
	if a == nil {
		return nil, b, registry.NoLease
	}
	t, v := a.Resolve(b.Name)
	if v != registry.Allowed {
		return nil, b, v
	}
	fn, err := m.functions.Version(model, t.Version, t.Digest)
	if err != nil {
		return nil, b, registry.Unknown
	}
	b.Target = t
	a.BeginCall(b.Name, t)
	if m.events != nil {
		m.postMigration(b.Name, t)
	}
	return fn, b, v
}

// currentVersion returns the version that a model's alias "current" names, as a function. It
// returns false if no version may be used now.
func (m *modelVersions) currentVersion(model *gateway.Function) (*gateway.Function, registry.Target, bool) {
	a := m.agent.Load()
	if a == nil {
		return nil, registry.Target{}, false
	}
	t, v := a.Resolve(registry.AliasName{Model: model.Name, Alias: "current"})
	if v != registry.Allowed {
		return nil, t, false
	}
	fn, err := m.functions.Version(model, t.Version, t.Digest)
	return fn, t, err == nil
}

// Unbind implements ingress.Models: it ends the call that Bind has counted.
func (m *modelVersions) Unbind(b gateway.VersionBinding, ran, failed bool) {
	m.agent.Load().EndCall(b.Name, b.Target, ran, failed)
}

// BeginAnswer implements ingress.Models: it asks whether an answer may be written. The duration is
// the maximum time for writing it; 0: no limit.
func (m *modelVersions) BeginAnswer(b gateway.VersionBinding) (func(), time.Duration, registry.Verdict) {
	t, until, v := m.agent.Load().BeginAnswer(b.Name, b.Target)
	if v != registry.Allowed {
		return nil, 0, v
	}
	within := time.Duration(0)
	if until > 0 {
		within = max(1, until-m.clock.Now())
	}
	return func() { m.agent.Load().EndAnswer(t) }, within, v
}

// MayAnswer implements gateway.Versions.
func (m *modelVersions) MayAnswer(n registry.AliasName, t registry.Target) registry.Verdict {
	return m.agent.Load().MayAnswer(n, t)
}

// CopiesReady implements gateway.Versions.
func (m *modelVersions) CopiesReady(function, worker string, copies int) {
	if model, version, ok := strings.Cut(function, "@"); ok {
		m.agent.Load().ReportCopies(registry.VersionRef{Model: model, Version: version}, worker, copies)
	}
}

// stageCopies passes the copies that the registry wants to be loaded ahead of calls to the
// dispatcher, which orders them within its load budget.
func (m *modelVersions) stageCopies(l []wire.Stage) {
	for _, s := range l {
		model := m.functions.Find(s.Model)
		if model == nil || !model.IsModel {
			continue // this controller does not serve the model
		}
		if fn, err := m.functions.Version(model, s.Version, s.Digest); err == nil {
			m.gateway.StageCopies(fn, s.Copies)
		}
	}
}

// status returns the counters of the registry agent, for operators; nil before the agent is started.
func (m *modelVersions) status() map[string]int64 {
	a := m.agent.Load()
	if a == nil {
		return nil
	}
	epoch, withoutLease := a.Knowledge()
	return map[string]int64{
		"epoch":            int64(epoch),
		"without_lease_ms": withoutLease.Milliseconds(),
		"unheard_polls":    a.PollsWithoutLease.Load(),
		"rejected":         a.Nacks.Load(),
		"stale_answers":    a.StaleAnswers.Load(),
	}
}
