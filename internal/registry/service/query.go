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

// query answers a request that changes nothing.
func (f *Handler) query(r *http1.Request) *http1.Response {
	var q wire.Query
	if err := unmarshalStrict(r.Body, &q); err != nil {
		return problem(400, "bad", err.Error())
	}
	a := wire.Response{}
	switch q.Kind {
	case "list":
		f.list(q, &a)
	case "history":
		f.history(q, &a)
	case "move":
		a.Migration = q.Migration
		a.Status, a.Reason = f.service.AwaitMigration(q.Migration, waitTime(q.WaitMS))
	case "watch":
		f.watch(q, &a)
	case "export":
		if err := f.export(&a); err != nil {
			return problem(500, "fault", err.Error())
		}
	default:
		return problem(400, "bad", fmt.Sprintf("what: %q is none of list, history, move, watch, export", q.Kind))
	}
	return answer(200, a)
}

// list answers with the models, or the one that the query names, and with who holds a lease.
func (f *Handler) list(q wire.Query, a *wire.Response) {
	f.service.Inspect(func(now time.Duration, state *registry.State, leases *registry.Leases) {
		a.Epoch = state.Epoch
		a.ConfirmedEpoch = state.ConfirmedEpoch
		a.Holders = leases.Holders(now)
		for _, m := range state.Models {
			if q.Model != "" && q.Model != m.Name {
				continue
			}
			text, _ := json.Marshal(m) // encoded here, as the state changes once the lock is given free
			a.Models = append(a.Models, text)
		}
	})
	slices.SortFunc(a.Models, func(x, y json.RawMessage) int { return strings.Compare(string(x), string(y)) })
}

// history answers with the entries of the history, or those that name the query's model.
func (f *Handler) history(q wire.Query, a *wire.Response) {
	f.service.Inspect(func(now time.Duration, state *registry.State, _ *registry.Leases) {
		wall := f.service.cfg.Clock.Wall()
		for _, h := range state.History {
			if q.Model == "" || slices.Contains(strings.Fields(h.Action), q.Model) {
				entry := wire.HistoryEntry{At: wall.Add(h.At - now), By: h.By, Action: h.Action, Reason: h.Reason}
				a.History = append(a.History, entry)
			}
		}
	})
}

// watch answers with the aliases that changed since the query's epoch, once there is a newer one or the time is up.
func (f *Handler) watch(q wire.Query, a *wire.Response) {
	end := time.Now().Add(waitTime(q.WaitMS))
	for {
		var changed chan struct{}
		f.service.Inspect(func(_ time.Duration, state *registry.State, _ *registry.Leases) {
			changed = f.service.changed
			a.Epoch = state.Epoch
			if state.Epoch > q.Since {
				a.Targets = aliasesOf(state.ViewSince(q.Since))
			}
		})
		if a.Epoch > q.Since || !f.service.waitForChange(changed, time.Until(end)) {
			return
		}
	}
}

// export answers with the complete state, as a snapshot has it.
func (f *Handler) export(a *wire.Response) (err error) {
	f.service.Inspect(func(_ time.Duration, state *registry.State, _ *registry.Leases) {
		a.State, err = json.Marshal(state)
	})
	return err
}

// aliasesOf returns the targets of an update in the form of the wire, sorted by model and alias.
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
