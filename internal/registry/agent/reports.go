package agent

import (
	"slices"
	"strconv"
	"sync"

	"kitehub/internal/registry"
	"kitehub/internal/registry/wire"
)

// reports are what calls and workers of the controller report, collected for the next poll. Calls
// add to them on their own goroutines, and the polling goroutine takes them.
type reports struct {
	mu          sync.Mutex // guards all but lastUseEnded
	uses        map[aliasTarget]int
	endedCalls  map[registry.VersionRef]wire.CallsEnded // not yet reported
	readyCopies map[copiesAt]int                        // of staged versions, not yet reported
	staged      []wire.Stage                            // as in the last response of the registry
	// lastUseEnded buffers a signal that some target has no calls left.
	lastUseEnded chan struct{}
}

// aliasTarget identifies what a running call is bound to.
type aliasTarget struct {
	registry.AliasName
	registry.Target
}

// copiesAt identifies the copies of a version at a worker.
type copiesAt struct{ model, version, worker string }

func newReports() reports {
	return reports{
		uses:         map[aliasTarget]int{},
		endedCalls:   map[registry.VersionRef]wire.CallsEnded{},
		readyCopies:  map[copiesAt]int{},
		lastUseEnded: make(chan struct{}, 1),
	}
}

// BeginCall counts a call that starts to run under a target, until EndCall. While the call runs,
// the registry does not collect the version, and a migration away from the version waits for the
// call until the settle timeout.
func (a *Agent) BeginCall(alias registry.AliasName, target registry.Target) {
	r := &a.reports
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uses[aliasTarget{alias, target}]++
}

// EndCall ends the count of a BeginCall. ran says that a worker answered the call, and failed that
// the answer was an error.
func (a *Agent) EndCall(alias registry.AliasName, target registry.Target, ran, failed bool) {
	r := &a.reports
	r.mu.Lock()
	defer r.mu.Unlock()
	use := aliasTarget{alias, target}
	r.uses[use]--
	if r.uses[use] <= 0 {
		delete(r.uses, use)
		select {
		case r.lastUseEnded <- struct{}{}:
		default: // a signal is already pending
		}
	}
	if ran {
		r.countCall(registry.VersionRef{Model: alias.Model, Version: target.Version}, failed)
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

// ReportCopies records how many copies of a version a worker reported as ready. The number matters,
// and is stored, only while the version is staged.
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

// hasCallsUnder reports whether a call runs under one of the targets.
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

// setStaged stores which versions the registry wants staged and passes them to Config.OnStage.
func (a *Agent) setStaged(staged []wire.Stage) {
	r := &a.reports
	r.mu.Lock()
	r.staged = staged
	r.mu.Unlock()
	if len(staged) > 0 && a.cfg.OnStage != nil {
		a.cfg.OnStage(staged)
	}
}

// newRequest returns a poll that confirms an epoch and carries all reports since the last poll,
// which are removed here.
func (a *Agent) newRequest(confirmed uint64, nonce string, nack *wire.ErrorDetail) *wire.DiscoveryRequest {
	request := &wire.DiscoveryRequest{
		VersionInfo:   strconv.FormatUint(confirmed, 10),
		EndsStale:     true,
		Node:          wire.Node{ID: a.cfg.Node},
		TypeURL:       wire.TypeAlias,
		ResponseNonce: nonce,
		ErrorDetail:   nack,
	}
	r := &a.reports
	r.mu.Lock()
	defer r.mu.Unlock()
	request.VersionsInUse = r.supersededInUse(&a.current.Load().view)
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

// supersededInUse returns the versions under which calls run although their alias no longer names
// them. The caller holds mu.
func (r *reports) supersededInUse(view *registry.View) (versions []registry.VersionRef) {
	for use := range r.uses {
		version := registry.VersionRef{Model: use.Model, Version: use.Version}
		if slices.Contains(versions, version) {
			continue
		}
		// At time 0 no lease has expired, so that only the target of the alias decides.
		if view.MayAnswer(0, use.AliasName, use.Target) != registry.Allowed {
			versions = append(versions, version)
		}
	}
	return versions
}

// restore puts the reports of a failed poll back. The registry may have received them, so calls can
// be counted twice. That distorts the error rate of a version slightly and breaks no guarantee.
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
