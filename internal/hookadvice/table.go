// Package hookadvice processes the advice that operators' hook scripts give. It validates, limits,
// expires and merges the advice of all scripts, and suppresses advice that changes too often. The
// scheduler takes the result into account. The package keeps a faulty script from doing worse than
// slowing the gateway down: a hook cannot itself send, answer or cancel a call.
//
// [Table] handles advice that stays in force for a time, [AdmissionGate] decides on calls as they
// arrive. Both are pure: they have no clock, I/O or goroutines and do not depend on map order, so
// the same inputs give the same outputs.
package hookadvice

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"kitehub/internal/hooklang"
)

// Table holds the advice of all scripts that is in force. It is not safe for concurrent use; the
// hook engine's goroutine owns it.
type Table struct {
	settings Settings
	catalog  Catalog
	now      time.Duration // time of the last step
	scripts  []*script     // sorted by name
	workers  []Worker      // sorted by name
	memoryMB float64       // total of the ready workers
	ready    int           // number of ready workers
	effects  []Effect      // output of the current step

	// Advice in force, as published by the effects so far.
	warm    map[string]KeepWarm
	ranks   map[string]RankWorker
	tenants map[string]Tenant

	// Counts holds the number of items by outcome.
	Counts Counts
}

// Counts is the number of items of advice by outcome.
type Counts struct {
	Accepted   int
	Stale      int // given by a version that is not active
	Unknown    int // names a function, tenant, worker or kind that does not exist or is not ready
	Limited    int // exceeds a limit of the settings
	Suppressed int // suppressed by flap damping
}

// script holds the advice of one script.
type script struct {
	name          string
	version       uint64 // the version whose advice is accepted, if active
	active        bool
	entries       []*entry        // sorted by key
	notifications []time.Duration // times of those accepted within the last window
}

// NewTable returns an empty table, or an error if a setting is out of range.
func NewTable(s Settings, catalog Catalog) (*Table, error) {
	if s.CallLimit < 1 {
		return nil, fmt.Errorf("advice: call limit %d is less than 1", s.CallLimit)
	}
	s = s.withDefaults()
	if err := s.validate(); err != nil {
		return nil, err
	}
	return &Table{
		settings: s,
		catalog:  catalog,
		warm:     map[string]KeepWarm{},
		ranks:    map[string]RankWorker{},
		tenants:  map[string]Tenant{},
	}, nil
}

// Step applies the events since the last step. It returns the changes that follow from them and
// from the expiry of advice. A time before that of the last step is treated as that of the last
// step.
func (t *Table) Step(now time.Duration, events []Event) []Effect {
	t.now = max(t.now, now)
	t.effects = nil
	for _, e := range events {
		switch e := e.(type) {
		case AdviceGiven:
			t.accept(e)
		case VersionActivated:
			s := t.findOrAddScript(e.Script)
			s.active = true
			s.version = e.Version
		case ScriptStopped:
			s := t.findOrAddScript(e.Script)
			s.active = false
			s.entries = nil
		case WorkerList:
			t.setWorkers(e.Workers)
		}
	}
	t.dropExpired()
	t.emitChanges(t.mergeCopies(), t.mergeRanks(), t.mergeTenants())
	return t.effects
}

func (t *Table) setWorkers(workers []Worker) {
	byName := func(a, b Worker) int { return cmp.Compare(a.Name, b.Name) }
	t.workers = slices.SortedFunc(slices.Values(workers), byName)
	t.memoryMB = 0
	t.ready = 0
	for _, w := range t.workers {
		if w.Ready {
			t.memoryMB += w.MemoryMB
			t.ready++
		}
	}
}

func (t *Table) findWorker(name string) (Worker, bool) {
	byName := func(w Worker, name string) int { return cmp.Compare(w.Name, name) }
	i, ok := slices.BinarySearchFunc(t.workers, name, byName)
	if !ok {
		return Worker{}, false
	}
	return t.workers[i], true
}

// NextExpiry returns the time at which the next advice or suppression ends, when Step is due even
// without events. It returns 0 if there is none.
func (t *Table) NextExpiry() (at time.Duration) {
	for _, s := range t.scripts {
		for _, e := range s.entries {
			for _, end := range []time.Duration{e.expiresAt, e.damping.suppressedUntil} {
				if end > t.now && (at == 0 || end < at) {
					at = end
				}
			}
		}
	}
	return at
}

// InForce returns the advice in force, for operators: warm copies sorted by function, ranks sorted
// by worker, then the tenants.
func (t *Table) InForce() (inForce []Effect) {
	for _, name := range sortedKeys(t.warm, nil) {
		inForce = append(inForce, t.warm[name])
	}
	for _, name := range sortedKeys(t.ranks, nil) {
		inForce = append(inForce, t.ranks[name])
	}
	if len(t.tenants) > 0 {
		inForce = append(inForce, Tenants{t.tenants})
	}
	return inForce
}

// findOrAddScript returns the script of that name, and adds it if it is missing.
func (t *Table) findOrAddScript(name string) *script {
	byName := func(s *script, name string) int { return cmp.Compare(s.name, name) }
	i, ok := slices.BinarySearchFunc(t.scripts, name, byName)
	if !ok {
		t.scripts = slices.Insert(t.scripts, i, &script{name: name})
	}
	return t.scripts[i]
}

// discard counts and reports an item that was not accepted.
func (t *Table) discard(s *script, item hooklang.Advice, count *int, format string, args ...any) {
	*count++
	t.effects = append(t.effects, Discarded{s.name, item, fmt.Sprintf(format, args...)})
}
