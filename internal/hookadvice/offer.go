package hookadvice

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"kitehub/internal/hooklang"
)

// offered applies what one run of a script advises.
func (t *Table) offered(e Offered) {
	s := t.script(e.Script)
	for _, item := range e.Items {
		if r := t.apply(s, e.Version, item); r != nil {
			t.discard(s, item, r)
		}
	}
}

// apply applies one piece of advice, or returns why it is not followed.
func (t *Table) apply(s *script, version uint64, item hooklang.Advice) *rejection {
	if !s.live || version != s.version {
		return reject(&t.Counts.Stale, "of version %d, which is not heard", version)
	}
	if item.Kind == "notify" {
		return t.notify(s, item)
	}
	kind, ok := subjectKinds[item.Kind]
	if !ok {
		return reject(&t.Counts.Unknown, "%s does not stand", item.Kind)
	}
	about := subject{kind, cmp.Or(item.Function, item.Tenant, item.Worker)}
	value, r := t.value(item)
	if r != nil {
		return r
	}
	return t.stand(s, about, value, item.For)
}

func reject(count *int, format string, args ...any) *rejection {
	return &rejection{count, fmt.Sprintf(format, args...)}
}

func (t *Table) notify(s *script, item hooklang.Advice) *rejection {
	s.notices = t.withinWindow(s.notices)
	if len(s.notices) >= t.settings.MaxNotices {
		return reject(&t.Counts.Limited, "more than %d notices in %v", t.settings.MaxNotices, t.settings.Window)
	}
	s.notices = append(s.notices, t.now)
	t.Counts.Taken++
	t.effects = append(t.effects, Notice{Script: s.name, Target: item.Key, Text: item.Text})
	return nil
}

// value returns the value of a piece of advice that stands, within its bounds, or why it is not followed.
func (t *Table) value(item hooklang.Advice) (float64, *rejection) {
	switch item.Kind {
	case "keep_warm":
		if _, ok := t.facts.Function(item.Function); !ok {
			return 0, reject(&t.Counts.Unknown, "no such function")
		}
		return float64(max(0, min(item.Copies, int64(t.settings.Copies)))), nil
	case "tenant_weight", "tenant_cap":
		if !t.facts.Tenant(item.Tenant) {
			return 0, reject(&t.Counts.Unknown, "no such tenant")
		}
		if !(item.Factor > 0) || math.IsInf(item.Factor, 0) {
			return 0, reject(&t.Counts.Limited, "%v is not above 0", item.Factor)
		}
		if item.Kind == "tenant_cap" {
			return min(item.Factor, 1), nil
		}
		return min(max(item.Factor, 1/t.settings.Weight), t.settings.Weight), nil
	}
	w, ok := t.worker(item.Worker) // prefer or avoid
	switch {
	case !ok:
		return 0, reject(&t.Counts.Unknown, "no such worker")
	case item.Kind == "avoid":
		return -1, nil
	case !w.Ready:
		return 0, reject(&t.Counts.Unknown, "the worker drains")
	}
	return 1, nil
}

// stand notes what a script says on a subject. The value 0, or no time, withdraws what it said before.
func (t *Table) stand(s *script, about subject, value float64, duration time.Duration) *rejection {
	duration = min(duration, t.settings.MaxDuration)
	until := t.now + duration
	if duration <= 0 || value == 0 {
		value = 0
		until = 0
	}
	i, found := slices.BinarySearchFunc(s.standing, about, func(st *standing, about subject) int {
		return st.compare(about)
	})
	if !found {
		if value == 0 {
			return nil
		}
		if len(s.standing) >= t.settings.Pieces {
			return reject(&t.Counts.Limited, "more than %d pieces of one script", t.settings.Pieces)
		}
		s.standing = slices.Insert(s.standing, i, &standing{subject: about})
	}
	return t.change(s.standing[i], value, until)
}

const maxSuspensions = 6 // beyond which a suspension is not doubled again

// change changes what a script says on a subject. Advice that flaps is suspended, for longer each time: copies would
// be loaded and dropped, or functions moved, to and fro. While it is suspended it counts as not given.
func (t *Table) change(st *standing, value float64, until time.Duration) *rejection {
	window := t.settings.Window
	if st.suspendedUntil > t.now {
		left := (st.suspendedUntil - t.now).Round(time.Millisecond)
		return reject(&t.Counts.Aside, "it flips: not heard for another %v", left)
	}
	if st.value != value {
		st.changes = t.withinWindow(st.changes)
		if len(st.changes) == 0 && t.now > st.suspendedUntil+window { // it has been quiet
			st.suspensions = max(0, st.suspensions-1)
		}
		st.changes = append(st.changes, t.now)
		if len(st.changes) > t.settings.Flips {
			suspension := t.suspend(st)
			return reject(&t.Counts.Aside, "it changed %d times in %v: not heard for %v",
				t.settings.Flips+1, window, suspension)
		}
	}
	t.Counts.Taken++
	st.value = value
	st.until = until
	return nil
}

// suspend suspends what a script says on a subject, and returns for how long.
func (t *Table) suspend(st *standing) time.Duration {
	st.suspensions = min(st.suspensions+1, maxSuspensions)
	suspension := t.settings.Window << st.suspensions
	st.suspendedUntil = t.now + suspension
	st.value = 0
	st.until = 0
	st.changes = nil
	return suspension
}
