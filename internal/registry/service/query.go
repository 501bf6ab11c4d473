package service

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"kitehub/internal/http1"
	"kitehub/internal/registry"
	"kitehub/internal/registry/wire"
)

// query serves a request that changes nothing.
func (h *Handler) query(r *http1.Request) *http1.Response {
	var q wire.Query
	if err := unmarshalStrict(r.Body, &q); err != nil {
		return problem(400, "bad", err.Error())
	}
	resp := wire.Response{}
	switch q.Kind {
	case "list":
		h.list(q, &resp)
	case "history":
		h.history(q, &resp)
	case "move":
		resp.Migration = q.Migration
		resp.Status, resp.Reason = h.service.AwaitMigration(q.Migration, waitTime(q.WaitMS))
	case "watch":
		h.watch(q, &resp)
	case "export":
		if err := h.export(&resp); err != nil {
			return problem(500, "fault", err.Error())
		}
	default:
		return problem(400, "bad", fmt.Sprintf("what: %q is none of list, history, move, watch, export", q.Kind))
	}
	return success(200, resp)
}

// list returns the models, or only the one that the query names, and the controllers: those that
// hold a lease, and those that may answer without one.
func (h *Handler) list(q wire.Query, resp *wire.Response) {
	h.service.Inspect(func(now time.Duration, state *registry.State, leases *registry.Leases) {
		resp.Epoch = state.Epoch
		resp.ConfirmedEpoch = state.ConfirmedEpoch
		resp.Holders = leases.Holders(now)
		for name, remaining := range leases.WithoutLease(now) {
			if resp.WithoutLease == nil {
				resp.WithoutLease = map[string]int64{}
			}
			resp.WithoutLease[name] = remaining.Milliseconds()
		}
		for _, m := range state.Models {
			if q.Model != "" && q.Model != m.Name {
				continue
			}
			text, _ := json.Marshal(m) // encoded under the lock, as the state changes afterwards
			resp.Models = append(resp.Models, text)
		}
	})
	slices.SortFunc(resp.Models, func(x, y json.RawMessage) int { return strings.Compare(string(x), string(y)) })
}

// history returns the entries of the history, or only those that name the query's model.
func (h *Handler) history(q wire.Query, resp *wire.Response) {
	h.service.Inspect(func(now time.Duration, state *registry.State, _ *registry.Leases) {
		wall := h.service.cfg.Clock.Wall()
		for _, entry := range state.History {
			if q.Model == "" || slices.Contains(strings.Fields(entry.Action), q.Model) {
				out := wire.HistoryEntry{At: wall.Add(entry.At - now), By: entry.By, Action: entry.Action, Reason: entry.Reason}
				resp.History = append(resp.History, out)
			}
		}
	})
}

// watch returns the aliases that changed since the query's epoch, once there is a newer epoch or
// the wait is over.
func (h *Handler) watch(q wire.Query, resp *wire.Response) {
	deadline := time.Now().Add(waitTime(q.WaitMS))
	for {
		var changed chan struct{}
		h.service.Inspect(func(_ time.Duration, state *registry.State, _ *registry.Leases) {
			changed = h.service.changed
			resp.Epoch = state.Epoch
			if state.Epoch > q.Since {
				resp.Targets = aliasesOf(state.ViewSince(q.Since))
			}
		})
		if resp.Epoch > q.Since || !h.service.waitForChange(changed, time.Until(deadline)) {
			return
		}
	}
}

// export returns the complete state, in the form of a snapshot.
func (h *Handler) export(resp *wire.Response) (err error) {
	h.service.Inspect(func(_ time.Duration, state *registry.State, _ *registry.Leases) {
		resp.State, err = json.Marshal(state)
	})
	return err
}

// aliasesOf returns the targets of an update in their wire form, sorted by model and alias.
func aliasesOf(update registry.ViewUpdate) (aliases []wire.Alias) {
	for name, target := range update.Targets {
		aliases = append(aliases, wire.Alias{
			Type:     wire.TypeAlias,
			Model:    name.Model,
			Alias:    name.Alias,
			Version:  target.Version,
			Digest:   target.Digest,
			Revision: target.Revision,
		})
	}
	slices.SortFunc(aliases, func(a, b wire.Alias) int {
		return strings.Compare(a.Model+"\x00"+a.Alias, b.Model+"\x00"+b.Alias)
	})
	return aliases
}
