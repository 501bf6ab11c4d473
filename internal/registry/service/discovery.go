package service

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"kitehub/internal/http1"
	"kitehub/internal/registry"
	"kitehub/internal/registry/wire"
)

// discovery serves a controller's long poll. It renews the lease before it reads the state, so that
// a migration that is fenced in between waits for this controller.
func (h *Handler) discovery(r *http1.Request, client *Client) *http1.Response {
	var q wire.DiscoveryRequest
	// Unknown fields are accepted, as they may belong to a later version of the protocol.
	if err := json.Unmarshal(r.Body, &q); err != nil {
		return problem(400, "bad", err.Error())
	}
	epoch, resp := checkDiscovery(&q, client)
	if resp != nil {
		return resp
	}
	renewedAt, err := h.service.renewLease(client.Name, epoch, &q)
	if err != nil {
		return problem(409, "lease", err.Error())
	}
	h.service.wakeDeadlineLoop()
	h.service.commitReports(&q)
	deadline := time.Now().Add(h.service.cfg.LongPoll)
	for {
		update, stage, changed := h.service.updateFor(client.Name, epoch, &q)
		hasChanges := q.ResponseNonce == "" || update.Epoch != epoch || !slices.Equal(stage, q.Staging)
		if hasChanges || !h.service.waitForChange(changed, time.Until(deadline)) {
			return success(200, discoveryResponse(update, stage, renewedAt))
		}
	}
}

// checkDiscovery returns the epoch that a controller confirms, or a problem with its request.
func checkDiscovery(q *wire.DiscoveryRequest, client *Client) (epoch uint64, _ *http1.Response) {
	if q.TypeURL != wire.TypeAlias {
		return 0, problem(400, "bad", fmt.Sprintf("type_url: %q is not %s", q.TypeURL, wire.TypeAlias))
	}
	if q.Node.ID != client.Name {
		return 0, problem(403, "forbidden", fmt.Sprintf("node.id: %q speaks with the key of %q", q.Node.ID, client.Name))
	}
	if q.VersionInfo == "" {
		return 0, nil
	}
	epoch, err := strconv.ParseUint(q.VersionInfo, 10, 64)
	if err != nil {
		return 0, problem(400, "bad", fmt.Sprintf("version_info: %q is not an epoch", q.VersionInfo))
	}
	return epoch, nil
}

// renewLease renews the lease of a controller that accepted the last update, and returns the
// registry's time. The lease of a controller that rejected the update is not renewed, as such a
// controller must not delay migrations indefinitely.
func (s *Service) renewLease(controller string, epoch uint64, q *wire.DiscoveryRequest) (now time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.now()
	if q.ErrorDetail == nil {
		if err := s.leases.Renew(now, controller, epoch, s.state.Epoch, q.VersionsInUse); err != nil {
			return now, err
		}
		delete(s.lastNack, controller)
	} else if reason := q.ErrorDetail.Message; s.lastNack[controller] != reason {
		// Each reason is logged once.
		s.lastNack[controller] = reason
		s.cfg.Log.Warn().Str("from", controller).Str("why", reason).Msg("update rejected by controller, lease not renewed")
	}
	return now, nil
}

// updateFor returns the update for a controller that confirms an epoch, the versions of which it
// must have copies loaded, and the channel that is closed when either may change.
func (s *Service) updateFor(controller string, epoch uint64, q *wire.DiscoveryRequest) (
	update registry.ViewUpdate, stage []wire.Stage, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := epoch
	if q.ResponseNonce == "" {
		since = 0 // the controller has just connected: send everything
	}
	update = s.state.ViewSince(since)
	if !q.EndsStale {
		update.AllowStale = nil // the controller would answer without an end
	}
	return update, s.stagedFor(controller), s.changed
}

// stagedFor returns the versions of which a controller must have copies loaded, sorted. The caller
// holds mu.
func (s *Service) stagedFor(controller string) (stages []wire.Stage) {
	now := s.now()
	for _, m := range s.state.Models {
		for _, a := range m.Aliases {
			migration := a.Migration
			if migration == nil || migration.Fenced {
				continue
			}
			version := registry.VersionRef{Model: m.Name, Version: migration.To}
			if s.leases.StagingController(now, version) != controller {
				continue
			}
			stages = append(stages, wire.Stage{
				Model:   m.Name,
				Version: migration.To,
				Digest:  m.Versions[migration.To].Digest,
				Copies:  migration.Copies,
				Alias:   a.Name,
			})
		}
	}
	slices.SortFunc(stages, func(a, b wire.Stage) int {
		return strings.Compare(a.Model+"\x00"+a.Version, b.Model+"\x00"+b.Version)
	})
	return slices.Compact(stages)
}

// discoveryResponse returns the response to a controller. Its nonce distinguishes responses of the
// same epoch.
func discoveryResponse(update registry.ViewUpdate, stage []wire.Stage, renewedAt time.Duration) wire.DiscoveryResponse {
	epoch := strconv.FormatUint(update.Epoch, 10)
	return wire.DiscoveryResponse{
		VersionInfo: epoch,
		TypeURL:     wire.TypeAlias,
		Nonce:       epoch + "-" + strconv.FormatInt(int64(renewedAt), 36),
		Since:       update.Since,
		Resources:   aliasesOf(update),
		LeaseMS:     milliseconds(update.LeaseDuration),
		StaleMS:     milliseconds(update.StaleDuration),
		SettleMS:    milliseconds(update.SettleTimeout),
		Condemned:   update.Condemned,
		AllowStale:  slices.Sorted(maps.Keys(update.AllowStale)),
		Stage:       stage,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// commitReports commits the ready copies and ended calls that a controller reports, if they matter
// to a migration. A report that cannot be committed is dropped: copies are reported again while
// they are staged, and lost calls only delay the evaluation of the error rate of a version.
func (s *Service) commitReports(q *wire.DiscoveryRequest) {
	for _, report := range q.CopiesReady {
		if s.changesCopies(report) {
			s.Commit(registry.CopiesReady{
				Model:   report.Model,
				Version: report.Version,
				Worker:  report.Worker,
				Copies:  report.Copies,
			})
		}
	}
	for _, report := range q.CallsEnded {
		if s.countsErrors(report) {
			s.Commit(registry.CallsEnded{
				Model:   report.Model,
				Version: report.Version,
				Calls:   report.Calls,
				Errors:  report.Errors,
			})
		}
	}
}

// changesCopies reports whether a report changes the known copies of a version that is not
// condemned.
func (s *Service) changesCopies(report wire.CopiesReady) (changes bool) {
	s.Inspect(func(_ time.Duration, state *registry.State, _ *registry.Leases) {
		if v := versionOf(state, report.Model, report.Version); v != nil {
			changes = v.Copies[report.Worker] != report.Copies && v.Phase != registry.Condemned
		}
	})
	return changes
}

// countsErrors reports whether calls of a version are still counted. They are until the error rate
// of the version has been or could have been evaluated.
func (s *Service) countsErrors(report wire.CallsEnded) (counts bool) {
	s.Inspect(func(now time.Duration, state *registry.State, _ *registry.Leases) {
		if v := versionOf(state, report.Model, report.Version); v != nil {
			inWindow := now < v.PhaseSince+state.Settings.AutoRollbackWindow
			counts = v.Phase == registry.Live && (inWindow || v.Calls < state.Settings.MinCalls)
		}
	})
	return counts
}

// versionOf returns a version of a model, or nil if it is not known.
func versionOf(state *registry.State, model, version string) *registry.Version {
	if m := state.Models[model]; m != nil {
		return m.Versions[version]
	}
	return nil
}
