package hookadvice

import (
	"cmp"
	"maps"
	"slices"
)

// forgetExpired drops entries that are not in force and need not be remembered for their changes.
func (t *Table) forgetExpired() {
	for _, s := range t.scripts {
		s.entries = slices.DeleteFunc(s.entries, func(e *entry) bool {
			return e.expiresAt <= t.now && e.damping.idle(t.now, t.settings.Window)
		})
	}
}

// inForce returns the entries on a subject that are in force, of all scripts, by name and then by script.
func (t *Table) inForce(on subject) (entries []*entry) {
	for _, s := range t.scripts {
		for _, e := range s.entries {
			if e.subject == on && e.value != 0 && e.expiresAt > t.now {
				entries = append(entries, e)
			}
		}
	}
	slices.SortStableFunc(entries, func(a, b *entry) int { return cmp.Compare(a.name, b.name) })
	return entries
}

// mergeCopies takes the most copies and the latest end that any script advises for a function. The bounds on
// functions and memory admit functions in the order of their names: that order is as good as any other, and being
// the same at each step it keeps the bounds from having copies loaded and evicted in turn.
func (t *Table) mergeCopies() map[string]KeepWarm {
	merged := map[string]KeepWarm{}
	availableMB := t.settings.MaxMemoryFraction * t.memoryMB
	for _, e := range t.inForce(subjectWarm) {
		known, exists := merged[e.name]
		if !exists && len(merged) >= t.settings.MaxFunctions {
			continue
		}
		copyMB, ok := t.facts.FunctionMemoryMB(e.name)
		if !ok {
			continue
		}
		added := min(int(e.value), t.ready) - known.Copies
		if t.memoryMB > 0 && copyMB > 0 {
			added = min(added, int(availableMB/copyMB))
		}
		added = max(0, added)
		if added == 0 && !exists {
			continue
		}
		availableMB -= float64(added) * copyMB
		merged[e.name] = KeepWarm{e.name, known.Copies + added, max(known.Until, e.expiresAt)}
	}
	return merged
}

// mergeRanks takes the lowest rank that any script advises for a worker: to avoid wins over to prefer. At most a
// fraction of the workers is preferred, and avoided, and only workers that are ready are preferred.
func (t *Table) mergeRanks() map[string]RankWorker {
	lowest := map[string]RankWorker{}
	for _, e := range t.inForce(subjectRank) {
		known, exists := lowest[e.name]
		rank := int(e.value)
		switch {
		case !exists || rank < known.Rank:
			lowest[e.name] = RankWorker{e.name, rank, e.expiresAt}
		case rank == known.Rank:
			lowest[e.name] = RankWorker{e.name, rank, max(known.Until, e.expiresAt)}
		}
	}
	limit := int(t.settings.MaxRankedFraction * float64(len(t.workers)))
	byRank := map[int]int{} // number of workers
	merged := map[string]RankWorker{}
	for _, w := range t.workers {
		ranked, exists := lowest[w.Name]
		if !exists || ranked.Rank > 0 && !w.Ready {
			continue
		}
		byRank[ranked.Rank]++
		if byRank[ranked.Rank] <= limit {
			merged[w.Name] = ranked
		}
	}
	return merged
}

// mergeTenants takes the lowest weight and the lowest cap that any script advises for a tenant.
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

// publish adds the effects that lead from what was in force before to what is now.
func (t *Table) publish(warm map[string]KeepWarm, ranks map[string]RankWorker, tenants map[string]Tenant) {
	for _, name := range sortedKeys(t.warm, warm) {
		if now := warm[name]; now != t.warm[name] {
			now.Function = name // not set in one that has ended
			t.effects = append(t.effects, now)
		}
	}
	for _, name := range sortedKeys(t.ranks, ranks) {
		if now := ranks[name]; now != t.ranks[name] {
			now.Worker = name // not set in one that has ended
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

// sortedKeys returns the keys of both maps, each once.
func sortedKeys[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}
