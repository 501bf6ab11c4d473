package hookadvice

import (
	"cmp"
	"maps"
	"slices"
)

// dropExpired removes entries that are neither in force nor needed for flap damping.
func (t *Table) dropExpired() {
	for _, s := range t.scripts {
		s.entries = slices.DeleteFunc(s.entries, func(e *entry) bool {
			return e.expiresAt <= t.now && e.damping.expired(t.now, t.settings.Window)
		})
	}
}

// inForce returns the entries of all scripts on a subject that are in force, sorted by entry name
// and then by script.
func (t *Table) inForce(wanted subject) (entries []*entry) {
	for _, s := range t.scripts {
		for _, e := range s.entries {
			if e.subject == wanted && e.value != 0 && e.expiresAt > t.now {
				entries = append(entries, e)
			}
		}
	}
	slices.SortStableFunc(entries, func(a, b *entry) int { return cmp.Compare(a.name, b.name) })
	return entries
}

// mergeCopies merges the advice on warm copies: for each function the highest number of copies and
// the latest expiry that any script advises. Functions are admitted in the order of their names
// until the limits on functions and memory are reached. A fixed order keeps those limits from
// causing copies to be loaded and evicted in turn.
func (t *Table) mergeCopies() map[string]KeepWarm {
	merged := map[string]KeepWarm{}
	availableMB := t.settings.MaxMemoryFraction * t.memoryMB
	for _, e := range t.inForce(subjectWarm) {
		current, exists := merged[e.name]
		if !exists && len(merged) >= t.settings.MaxFunctions {
			continue
		}
		copyMB, ok := t.catalog.FunctionMemoryMB(e.name)
		if !ok {
			continue
		}
		added := min(int(e.value), t.ready) - current.Copies
		if t.memoryMB > 0 && copyMB > 0 {
			added = min(added, int(availableMB/copyMB))
		}
		added = max(0, added)
		if added == 0 && !exists {
			continue
		}
		availableMB -= float64(added) * copyMB
		merged[e.name] = KeepWarm{e.name, current.Copies + added, max(current.Until, e.expiresAt)}
	}
	return merged
}

// mergeRanks merges the advice on workers: the lowest rank wins, so "avoid" overrides "prefer".
// Only ready workers are preferred. The settings limit which fraction of the workers may be
// preferred and which may be avoided.
func (t *Table) mergeRanks() map[string]RankWorker {
	lowest := map[string]RankWorker{}
	for _, e := range t.inForce(subjectRank) {
		current, exists := lowest[e.name]
		rank := int(e.value)
		switch {
		case !exists || rank < current.Rank:
			lowest[e.name] = RankWorker{e.name, rank, e.expiresAt}
		case rank == current.Rank:
			lowest[e.name] = RankWorker{e.name, rank, max(current.Until, e.expiresAt)}
		}
	}
	limit := int(t.settings.MaxRankedFraction * float64(len(t.workers)))
	workersByRank := map[int]int{}
	merged := map[string]RankWorker{}
	for _, w := range t.workers {
		ranked, exists := lowest[w.Name]
		if !exists || ranked.Rank > 0 && !w.Ready {
			continue
		}
		workersByRank[ranked.Rank]++
		if workersByRank[ranked.Rank] <= limit {
			merged[w.Name] = ranked
		}
	}
	return merged
}

// mergeTenants merges the advice on tenants: the lowest weight and the lowest cap of any script
// win.
func (t *Table) mergeTenants() map[string]Tenant {
	merged := map[string]Tenant{}
	for _, e := range t.inForce(subjectWeight) {
		tenant := merged[e.name]
		if tenant.Weight == 0 || e.value < tenant.Weight {
			tenant.Weight = e.value
		}
		merged[e.name] = tenant
	}
	for _, e := range t.inForce(subjectCap) {
		tenant := merged[e.name]
		limit := max(1, int(e.value*float64(t.settings.CallLimit)))
		if tenant.MaxInFlight == 0 || limit < tenant.MaxInFlight {
			tenant.MaxInFlight = limit
		}
		merged[e.name] = tenant
	}
	return merged
}

// emitChanges adds an effect for each difference between the advice in force before and now, and
// makes the new advice the current one.
func (t *Table) emitChanges(warm map[string]KeepWarm, ranks map[string]RankWorker, tenants map[string]Tenant) {
	for _, name := range sortedKeys(t.warm, warm) {
		if now := warm[name]; now != t.warm[name] {
			now.Function = name // unset if the advice has ended
			t.effects = append(t.effects, now)
		}
	}
	for _, name := range sortedKeys(t.ranks, ranks) {
		if now := ranks[name]; now != t.ranks[name] {
			now.Worker = name // unset if the advice has ended
			t.effects = append(t.effects, now)
		}
	}
	if !maps.Equal(tenants, t.tenants) {
		t.effects = append(t.effects, Tenants{tenants})
	}
	t.warm = warm
	t.ranks = ranks
	t.tenants = tenants
}

// sortedKeys returns the distinct keys of both maps in order.
func sortedKeys[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}
