package hookadvice

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kitehub/internal/hooklang"
)

// accept processes the advice of one run of a script.
func (t *Table) accept(advice AdviceGiven) {
	s := t.findOrAddScript(advice.Script)
	for _, item := range advice.Items {
		if !s.active || advice.Version != s.version {
			t.discard(s, item, &t.Counts.Stale, "version %d is not active", advice.Version)
			continue
		}
		switch item.Kind {
		case "notify":
			t.acceptNotification(s, item)
		default:
			t.acceptEntry(s, item)
		}
	}
}

func (t *Table) acceptNotification(s *script, item hooklang.Advice) {
	window := t.settings.Window
	s.notifications = slices.DeleteFunc(s.notifications, func(at time.Duration) bool { return at <= t.now-window })
	if len(s.notifications) >= t.settings.MaxNotifications {
		t.discard(s, item, &t.Counts.Limited, "more than %d notifications in %v", t.settings.MaxNotifications, window)
		return
	}
	s.notifications = append(s.notifications, t.now)
	t.Counts.Accepted++
	t.effects = append(t.effects, Notification{s.name, item.Key, item.Text})
}

// acceptEntry adds, updates or withdraws the entry that an item advises on.
func (t *Table) acceptEntry(s *script, item hooklang.Advice) {
	advised, ok := subjectByKind[item.Kind]
	if !ok {
		t.discard(s, item, &t.Counts.Unknown, "kind %q is not supported for this event", item.Kind)
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
	key := entryKey{advised, cmp.Or(item.Function, item.Tenant, item.Worker)}
	byKey := func(e *entry, key entryKey) int { return e.compare(key) }
	i, found := slices.BinarySearchFunc(s.entries, key, byKey)
	if !found {
		if value == 0 {
			return
		}
		if len(s.entries) >= t.settings.MaxEntries {
			t.discard(s, item, &t.Counts.Limited, "more than %d entries of one script",
				t.settings.MaxEntries)
			return
		}
		s.entries = slices.Insert(s.entries, i, &entry{entryKey: key})
	}
	t.update(s, s.entries[i], item, value, expiresAt)
}

// boundedValue returns the value of an item, clamped to the limits of the settings. It discards the
// item if the function, tenant or worker does not exist.
func (t *Table) boundedValue(s *script, item hooklang.Advice) (value float64, ok bool) {
	switch item.Kind {
	case "keep_warm":
		if _, exists := t.catalog.FunctionMemoryMB(item.Function); !exists {
			t.discard(s, item, &t.Counts.Unknown, "function %q does not exist", item.Function)
			return 0, false
		}
		return float64(max(0, min(item.Copies, int64(t.settings.MaxCopies)))), true
	case "tenant_weight", "tenant_cap":
		return t.boundedFactor(s, item)
	case "prefer", "avoid":
		return t.boundedRank(s, item)
	}
	return 0, false
}

func (t *Table) boundedFactor(s *script, item hooklang.Advice) (factor float64, ok bool) {
	if !t.catalog.HasTenant(item.Tenant) {
		t.discard(s, item, &t.Counts.Unknown, "tenant %q does not exist", item.Tenant)
		return 0, false
	}
	if !(item.Factor > 0) || math.IsInf(item.Factor, 0) { // also true for NaN
		t.discard(s, item, &t.Counts.Limited, "factor %v is not a positive number", item.Factor)
		return 0, false
	}
	if item.Kind == "tenant_cap" {
		return min(item.Factor, 1), true
	}
	limit := t.settings.MaxWeight
	return min(max(item.Factor, 1/limit), limit), true
}

func (t *Table) boundedRank(s *script, item hooklang.Advice) (rank float64, ok bool) {
	w, exists := t.findWorker(item.Worker)
	if !exists {
		t.discard(s, item, &t.Counts.Unknown, "worker %q does not exist", item.Worker)
		return 0, false
	}
	if item.Kind == "avoid" {
		return -1, true
	}
	if !w.Ready {
		t.discard(s, item, &t.Counts.Unknown, "worker %q is not ready", item.Worker)
		return 0, false
	}
	return 1, true
}

// update sets an entry unless it is suppressed. A suppressed entry has no effect.
func (t *Table) update(s *script, e *entry, item hooklang.Advice, value float64, expiresAt time.Duration) {
	if remaining := e.damping.suppressedUntil - t.now; remaining > 0 {
		t.discard(s, item, &t.Counts.Suppressed, "changed too often: suppressed for another %v",
			remaining.Round(time.Millisecond))
		return
	}
	if e.value != value {
		window, limit := t.settings.Window, t.settings.MaxChanges
		if suppressed := e.damping.recordChange(t.now, window, limit); suppressed > 0 {
			e.value = 0
			e.expiresAt = 0
			t.discard(s, item, &t.Counts.Suppressed, "changed %d times in %v: suppressed for %v",
				limit+1, window, suppressed)
			return
		}
	}
	t.Counts.Accepted++
	e.value = value
	e.expiresAt = expiresAt
}
