package agent

import (
	"slices"
	"strconv"
	"sync"

	"kitehub/internal/registry"
	"kitehub/internal/registry/wire"
)

// reports are what the controller's calls and workers say, gathered for the next poll. Calls write them on their own
// goroutines, the polling goroutine takes them.
type reports struct {
	mu           sync.Mutex // guards all but lastUseEnded
	uses         map[aliasTarget]int
	endedCalls   map[registry.VersionRef]wire.CallsEnded // not reported yet
	readyCopies  map[copiesAt]int                        // of staged versions, not reported yet
	staged       []wire.Stage                            // as the registry last said
	lastUseEnded chan struct{}                           // signals that some target has no calls left; holds one signal
}

// aliasTarget is what a running call is bound to.
type aliasTarget struct {
	registry.AliasName
	registry.Target
}

// copiesAt names the copies of a version at a worker.
type copiesAt struct{ model, version, worker string }

func newReports() reports {
	return reports{
		uses:         map[aliasTarget]int{},
		endedCalls:   map[registry.VersionRef]wire.CallsEnded{},
		readyCopies:  map[copiesAt]int{},
		lastUseEnded: make(chan struct{}, 1),
	}
}

// BeginCall counts a call that starts to run under a target, until Unuse. While it runs, the registry does not collect the
// version, and a migration away from it waits for the call until the settle time is over.
func (a *Agent) BeginCall(n registry.AliasName, t registry.Target) {
	r := &a.reports
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uses[aliasTarget{n, t}]++
}

// EndCall ends a Use. ran says that a worker answered the call, failed that the answer was an error.
func (a *Agent) EndCall(n registry.AliasName, t registry.Target, ran, failed bool) {
	r := &a.reports
	r.mu.Lock()
	defer r.mu.Unlock()
	use := aliasTarget{n, t}
	r.uses[use]--
	if r.uses[use] <= 0 {
		delete(r.uses, use)
		select {
		case r.lastUseEnded <- struct{}{}:
		default: // a signal is pending already
		}
	}
	if ran {
		r.countCall(registry.VersionRef{Model: n.Model, Version: t.Version}, failed)
	}
}

// countCall counts a call that ended. The caller holds mu.
func (r *reports) countCall(version registry.VersionRef, failed bool) {
	count := r.endedCalls[version]
	count.Model = version.Model
	count.Version = version.Version
	count.Calls++
	if failed {
		count.Errors++
	}
	r.endedCalls[version] = count
}

// ReportCopies notes how many copies of a version a worker said to have ready. It matters, and is kept, only while the
// version is staged.
func (a *Agent) ReportCopies(version registry.VersionRef, worker string, copies int) {
	r := &a.reports
	r.mu.Lock()
	defer r.mu.Unlock()
	isStaged := slices.ContainsFunc(r.staged, func(s wire.Stage) bool {
		return s.Model == version.Model && s.Version == version.Version
	})
	if isStaged {
		r.readyCopies[copiesAt{version.Model, version.Version, worker}] = copies
	}
}

// hasCallsUnder tells whether a call runs under one of the targets.
func (r *reports) hasCallsUnder(targets map[registry.AliasName][]registry.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, list := range targets {
		for _, target := range list {
			if r.uses[aliasTarget{name, target}] > 0 {
				return true
			}
		}
	}
	return false
}

// setStaged takes what the registry wants staged, and passes it on.
func (a *Agent) setStaged(staged []wire.Stage) {
	r := &a.reports
	r.mu.Lock()
	r.staged = staged
	r.mu.Unlock()
	if len(staged) > 0 && a.cfg.OnStage != nil {
		a.cfg.OnStage(staged)
	}
}

// newRequest returns a poll that confirms an epoch, with all reports since the last one: they are taken out.
func (a *Agent) newRequest(confirmed uint64, nonce string, nack *wire.ErrorDetail) *wire.DiscoveryRequest {
	request := &wire.DiscoveryRequest{
		VersionInfo:   strconv.FormatUint(confirmed, 10),
		Node:          wire.Node{ID: a.cfg.Node},
		TypeURL:       wire.TypeAlias,
		ResponseNonce: nonce,
		ErrorDetail:   nack,
	}
	r := &a.reports
	r.mu.Lock()
	defer r.mu.Unlock()
	request.VersionsInUse = r.usesBesidesAliases(&a.current.Load().view)
	for _, calls := range r.endedCalls {
		request.CallsEnded = append(request.CallsEnded, calls)
	}
	for at, copies := range r.readyCopies {
		request.CopiesReady = append(request.CopiesReady,
			wire.CopiesReady{Model: at.model, Version: at.version, Worker: at.worker, Copies: copies})
	}
	clear(r.endedCalls)
	clear(r.readyCopies)
	request.Staging = r.staged
	return request
}

// usesBesidesAliases returns the versions under which calls run although their alias does not name them any more. The
// caller holds mu.
func (r *reports) usesBesidesAliases(view *registry.View) (versions []registry.VersionRef) {
	for use := range r.uses {
		version := registry.VersionRef{Model: use.Model, Version: use.Version}
		if slices.Contains(versions, version) {
			continue
		}
		// At time 0 the lease counts as held: the question is only what the alias names.
		if view.MayAnswer(0, use.AliasName, use.Target) != registry.Allowed {
			versions = append(versions, version)
		}
	}
	return versions
}

// restore puts the reports of a poll that failed back. The registry may have received them: calls can be counted
// twice so, which distorts the judgement of a version's errors a little and breaks no guarantee.
func (r *reports) restore(request *wire.DiscoveryRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, calls := range request.CallsEnded {
		version := registry.VersionRef{Model: calls.Model, Version: calls.Version}
		newer := r.endedCalls[version]
		calls.Calls += newer.Calls
		calls.Errors += newer.Errors
		r.endedCalls[version] = calls
	}
	for _, copies := range request.CopiesReady {
		at := copiesAt{copies.Model, copies.Version, copies.Worker}
		if _, newer := r.readyCopies[at]; !newer {
			r.readyCopies[at] = copies.Copies
		}
	}
}
