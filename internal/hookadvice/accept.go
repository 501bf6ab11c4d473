package hookadvice

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kitehub/internal/hooklang"
)

// accept takes the advice of one run, item by item.
func (t *Table) accept(given AdviceGiven) {
	s := t.script(given.Script)
	for _, item := range given.Items {
		if !s.active || given.Version != s.version {
			t.discard(s, item, &t.Counts.Stale, "of version %d, which is not heard", given.Version)
			continue
		}
		switch item.Kind {
		case "notify":
			t.acceptNotice(s, item)
		default:
			t.acceptEntry(s, item)
		}
	}
}

func (t *Table) acceptNotice(s *script, item hooklang.Advice) {
	window := t.settings.Window
	s.notices = slices.DeleteFunc(s.notices, func(at time.Duration) bool { return at <= t.now-window })
	if len(s.notices) >= t.settings.MaxNotifications {
		t.discard(s, item, &t.Counts.Limited, "more than %d notices in %v", t.settings.MaxNotifications, window)
		return
	}
	s.notices = append(s.notices, t.now)
	t.Counts.Accepted++
	t.effects = append(t.effects, Notification{s.name, item.Key, item.Text})
}

// acceptEntry takes advice that is in force for a time.
func (t *Table) acceptEntry(s *script, item hooklang.Advice) {
	on, ok := subjects[item.Kind]
	if !ok {
		t.discard(s, item, &t.Counts.Unknown, "%s does not stand", item.Kind)
		return
	}
	value, ok := t.boundedValue(s, item)
	if !ok {
		return
	}
	duration := min(item.Lifetime, t.settings.MaxDuration)
	expiresAt := t.now + duration
	if withdrawn := duration <= 0 || value == 0; withdrawn {
		value = 0
		expiresAt = 0
	}
	key := entryKey{on, cmp.Or(item.Function, item.Tenant, item.Worker)}
	byKey := func(e *entry, key entryKey) int { return e.compare(key) }
	i, found := slices.BinarySearchFunc(s.entries, key, byKey)
	if !found {
		if value == 0 {
			return
		}
		if len(s.entries) >= t.settings.MaxEntries {
			t.discard(s, item, &t.Counts.Limited, "more than %d pieces of one script",
				t.settings.MaxEntries)
			return
		}
		s.entries = slices.Insert(s.entries, i, &entry{entryKey: key})
	}
	t.update(s, s.entries[i], item, value, expiresAt)
}

// boundedValue returns the value of an item within the bounds of the settings. It discards an item on what does not
// exist.
func (t *Table) boundedValue(s *script, item hooklang.Advice) (value float64, ok bool) {
	switch item.Kind {
	case "keep_warm":
		if _, exists := t.facts.FunctionMemoryMB(item.Function); !exists {
			t.discard(s, item, &t.Counts.Unknown, "no such function")
			return 0, false
		}
		return float64(max(0, min(item.Copies, int64(t.settings.MaxCopies)))), true
	case "tenant_weight", "tenant_cap":
		return t.boundedFactor(s, item)
	case "prefer", "avoid":
		return t.rank(s, item)
	}
	return 0, false
}

func (t *Table) boundedFactor(s *script, item hooklang.Advice) (factor float64, ok bool) {
	if !t.facts.HasTenant(item.Tenant) {
		t.discard(s, item, &t.Counts.Unknown, "no such tenant")
		return 0, false
	}
	if !(item.Factor > 0) || math.IsInf(item.Factor, 0) { // written so that NaN fails too
		t.discard(s, item, &t.Counts.Limited, "%v is not above 0", item.Factor)
		return 0, false
	}
	if item.Kind == "tenant_cap" {
		return min(item.Factor, 1), true
	}
	limit := t.settings.MaxWeight
	return min(max(item.Factor, 1/limit), limit), true
}

func (t *Table) rank(s *script, item hooklang.Advice) (rank float64, ok bool) {
	w, exists := t.findWorker(item.Worker)
	if !exists {
		t.discard(s, item, &t.Counts.Unknown, "no such worker")
		return 0, false
	}
	if item.Kind == "avoid" {
		return -1, true
	}
	if !w.Ready {
		t.discard(s, item, &t.Counts.Unknown, "the worker drains")
		return 0, false
	}
	return 1, true
}

// update sets an entry, unless it is suppressed. A suppressed entry is as if it were not advised.
func (t *Table) update(s *script, e *entry, item hooklang.Advice, value float64, expiresAt time.Duration) {
	if remaining := e.damping.suppressedUntil - t.now; remaining > 0 {
		t.discard(s, item, &t.Counts.Suppressed, "it flips: not heard for another %v",
			remaining.Round(time.Millisecond))
		return
	}
	if e.value != value {
		window, limit := t.settings.Window, t.settings.MaxChanges
		if suppressed := e.damping.recordChange(t.now, window, limit); suppressed > 0 {
			e.value = 0
			e.expiresAt = 0
			t.discard(s, item, &t.Counts.Suppressed, "it changed %d times in %v: not heard for %v",
				limit+1, window, suppressed)
			return
		}
	}
	t.Counts.Accepted++
	e.value = value
	e.expiresAt = expiresAt
}
