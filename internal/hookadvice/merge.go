package hookadvice

import (
	"cmp"
	"maps"
	"slices"
)

// forgetExpired forgets what holds no more, unless it is remembered for its changes.
func (t *Table) forgetExpired() {
	windowStart := t.now - t.settings.Window
	for _, s := range t.scripts {
		s.standing = slices.DeleteFunc(s.standing, func(st *standing) bool {
			changed := len(st.changes) > 0 && st.changes[len(st.changes)-1] > windowStart
			return st.until <= t.now && st.suspendedUntil <= windowStart && !changed
		})
	}
}

// holding returns what holds on subjects of a kind, of all scripts, by the subject's name and then by script.
func (t *Table) holding(kind string) (all []*standing) {
	for _, s := range t.scripts {
		for _, st := range s.standing {
			if st.kind == kind && st.value != 0 && st.until > t.now {
				all = append(all, st)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b *standing) int { return cmp.Compare(a.name, b.name) })
	return all
}

// mergeWarm takes of several scripts the most copies, until the latest time. Functions are taken by name as far as
// the bounds allow: that order is no better than another, but it is the same at each step, so the bounds do not make
// copies come and go.
func (t *Table) mergeWarm() map[string]KeepWarm {
	warm := map[string]KeepWarm{}
	memoryLeft := t.settings.MemoryShare * t.memoryMB
	for _, st := range t.holding(kindWarm) {
		known, ok := warm[st.name]
		if !ok && len(warm) >= t.settings.Functions {
			continue
		}
		mb, exists := t.facts.Function(st.name)
		if !exists {
			continue
		}
		further := min(int(st.value), t.ready) - known.Copies
		if t.memoryMB > 0 && mb > 0 {
			further = min(further, int(memoryLeft/mb))
		}
		further = max(0, further)
		if further == 0 && !ok {
			continue
		}
		memoryLeft -= float64(further) * mb
		warm[st.name] = KeepWarm{
			Function: st.name,
			Copies:   known.Copies + further,
			Until:    max(known.Until, st.until),
		}
	}
	return warm
}

// mergeRanks avoids a worker that one script avoids, even if another prefers it. At most a fraction of the workers is
// preferred, and at most as many are avoided; none that drains is preferred.
func (t *Table) mergeRanks() map[string]RankWorker {
	advised := map[string]RankWorker{}
	for _, st := range t.holding(kindRank) {
		known, ok := advised[st.name]
		rank := int(st.value)
		switch {
		case !ok || rank < known.Rank:
			advised[st.name] = RankWorker{Worker: st.name, Rank: rank, Until: st.until}
		case rank == known.Rank:
			advised[st.name] = RankWorker{Worker: st.name, Rank: rank, Until: max(known.Until, st.until)}
		}
	}
	limit := int(t.settings.Workers * float64(len(t.workers)))
	counts := map[int]int{} // by rank
	ranks := map[string]RankWorker{}
	for _, w := range t.workers {
		r, ok := advised[w.Name]
		if !ok || r.Rank > 0 && !w.Ready {
			continue
		}
		if counts[r.Rank]++; counts[r.Rank] <= limit {
			ranks[w.Name] = r
		}
	}
	return ranks
}

// mergeTenants takes of several scripts the lowest weight and the lowest cap.
func (t *Table) mergeTenants() map[string]Tenant {
	tenants := map[string]Tenant{}
	for _, st := range t.holding(kindWeight) {
		tenant := tenants[st.name]
		if tenant.Weight == 0 || st.value < tenant.Weight {
			tenant.Weight = st.value
		}
		tenants[st.name] = tenant
	}
	for _, st := range t.holding(kindCap) {
		tenant := tenants[st.name]
		calls := max(1, int(st.value*float64(t.settings.Cap)))
		if tenant.MaxOpenCalls == 0 || calls < tenant.MaxOpenCalls {
			tenant.MaxOpenCalls = calls
		}
		tenants[st.name] = tenant
	}
	return tenants
}

// update sets what holds, and adds an effect for each change.
func (t *Table) update(warm map[string]KeepWarm, ranks map[string]RankWorker, tenants map[string]Tenant) {
	for _, name := range sortedKeys(t.warm, warm) {
		if next := warm[name]; next != t.warm[name] {
			next.Function = name
			t.effects = append(t.effects, next)
		}
	}
	for _, name := range sortedKeys(t.ranks, ranks) {
		if next := ranks[name]; next != t.ranks[name] {
			next.Worker = name
			t.effects = append(t.effects, next)
		}
	}
	if !maps.Equal(tenants, t.tenants) {
		t.effects = append(t.effects, Tenants{tenants})
	}
	t.warm = warm
	t.ranks = ranks
	t.tenants = tenants
}

// sortedKeys returns the keys of two maps, each once.
func sortedKeys[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}
