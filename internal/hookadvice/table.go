// Package hookadvice decides what becomes of the advice that operators' hook scripts give: it validates, bounds,
// expires and merges the advice of all scripts, and suppresses advice that changes too often. The scheduler weighs
// what remains. The package exists so that a faulty script can at worst make the gateway slower: a hook cannot
// itself send, answer or cancel a call.
//
// [Table] handles advice that is in force for a time, [AdmissionGate] the arrival of each call. Both are pure: they
// have no clock, I/O, goroutines or dependence on map order, and the same inputs give the same outputs.
package hookadvice

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"kitehub/internal/hooklang"
)

// Table holds the advice that is in force, of all scripts. It is not safe for concurrent use; the hook engine's
// goroutine owns it.
type Table struct {
	settings Settings
	facts    Catalog
	now      time.Duration // of the last step
	scripts  []*script     // sorted by name
	workers  []Worker      // sorted by name
	memoryMB float64       // of all ready workers
	ready    int           // number of ready workers
	effects  []Effect      // of the current step

	// What the effects returned so far add up to.
	warm    map[string]KeepWarm
	ranks   map[string]RankWorker
	tenants map[string]Tenant

	// Counts says what became of the advice so far.
	Counts Counts
}

// Counts is how many items of advice had which outcome.
type Counts struct {
	Accepted   int
	Stale      int // of a version that is not active
	Unknown    int // on a function, tenant, worker or kind that does not exist
	Limited    int // beyond a bound of the settings
	Suppressed int // changed too often
}

// script is the advice of one script.
type script struct {
	name    string
	version uint64 // whose advice is accepted, if active
	active  bool
	entries []*entry        // sorted by key
	notices []time.Duration // when notices were accepted, within the last window
}

// New returns an empty table. It returns an error if a setting is out of range.
func NewTable(s Settings, f Catalog) (*Table, error) {
	if s.CallLimit < 1 {
		return nil, fmt.Errorf("advice: Cap: %d is under 1", s.CallLimit)
	}
	s = s.withDefaults()
	if err := s.validate(); err != nil {
		return nil, err
	}
	return &Table{
		settings: s,
		facts:    f,
		warm:     map[string]KeepWarm{},
		ranks:    map[string]RankWorker{},
		tenants:  map[string]Tenant{},
	}, nil
}

// Step applies the events since the last step and returns what changes because of them or because time has passed.
// A time before that of the last step counts as that time.
func (t *Table) Step(now time.Duration, events []Event) []Effect {
	t.now = max(t.now, now)
	t.effects = nil
	for _, e := range events {
		switch e := e.(type) {
		case AdviceGiven:
			t.accept(e)
		case VersionActivated:
			s := t.script(e.Script)
			s.active = true
			s.version = e.Version
		case ScriptStopped:
			s := t.script(e.Script)
			s.active = false
			s.entries = nil
		case WorkerList:
			t.setWorkers(e.Workers)
		}
	}
	t.forgetExpired()
	t.publish(t.mergeCopies(), t.mergeRanks(), t.mergeTenants())
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

// NextExpiry returns when Step is due at the latest if no event comes: when the next advice or suppression ends. 0:
// never.
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

// InForce returns what is in force, for operators: copies by function, ranks by worker, then tenants.
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

// script returns the script of that name, which it adds if need be.
func (t *Table) script(name string) *script {
	byName := func(s *script, name string) int { return cmp.Compare(s.name, name) }
	i, ok := slices.BinarySearchFunc(t.scripts, name, byName)
	if !ok {
		t.scripts = slices.Insert(t.scripts, i, &script{name: name})
	}
	return t.scripts[i]
}

// discard counts and reports an item that is not followed.
func (t *Table) discard(s *script, item hooklang.Advice, count *int, format string, args ...any) {
	*count++
	t.effects = append(t.effects, Discarded{s.name, item, fmt.Sprintf(format, args...)})
}
