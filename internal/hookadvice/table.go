package hookadvice

import (
	"cmp"
	"slices"
	"time"

	"kitehub/internal/hooklang"
)

// Facts is what advice is checked against.
type Facts interface {
	// Function returns the memory that a copy takes, in MB, and whether there is such a function.
	Function(name string) (mb float64, ok bool)
	Tenant(name string) bool
}

// A Table holds all advice that stands for a time. It is not safe for concurrent use.
type Table struct {
	Counts Counts

	settings Settings
	facts    Facts
	now      time.Duration
	scripts  []*script // by name

	workers  []Worker // by name
	memoryMB float64  // of the ready workers
	ready    int      // workers

	effects []Effect // of the present step

	// What holds, as the last effects said.
	warm    map[string]KeepWarm
	ranks   map[string]RankWorker
	tenants map[string]Tenant
}

// Counts of pieces of advice, by what became of them.
type Counts struct {
	Taken   int // followed
	Stale   int // of a version that is not followed
	Unknown int // of an unknown kind, or about something unknown
	Limited int // over a bound
	Aside   int // suspended for flapping
}

// A script is what is known of one script.
type script struct {
	name     string
	live     bool // the advice of version is followed
	version  uint64
	standing []*standing     // by subject
	notices  []time.Duration // when they were sent, within the window
}

// A subject is what a piece of advice is about: advice on the same subject replaces it.
type subject struct{ kind, name string }

func (s subject) compare(other subject) int {
	return cmp.Or(cmp.Compare(s.kind, other.kind), cmp.Compare(s.name, other.name))
}

// Kinds of subjects.
const (
	kindWarm   = "warm"
	kindWeight = "weight"
	kindCap    = "cap"
	kindRank   = "rank"
)

// subjectKinds are the kinds of advice that stand for a time, with the kind of their subject. prefer and avoid have
// one: a script that says both of a worker has changed its mind.
var subjectKinds = map[string]string{
	"keep_warm":     kindWarm,
	"tenant_weight": kindWeight,
	"tenant_cap":    kindCap,
	"prefer":        kindRank,
	"avoid":         kindRank,
}

// A standing is what one script last said on one subject, while that holds or is remembered for its changes.
type standing struct {
	subject
	value          float64 // copies, weight, cap or rank; 0: withdrawn or suspended
	until          time.Duration
	changes        []time.Duration // when the value changed, within the window
	suspensions    int             // for flapping, less those that quiet times have made up for
	suspendedUntil time.Duration
}

// New returns an empty table.
func New(settings Settings, facts Facts) (*Table, error) {
	settings = settings.filled()
	if err := settings.check(); err != nil {
		return nil, err
	}
	return &Table{
		settings: settings,
		facts:    facts,
		warm:     map[string]KeepWarm{},
		ranks:    map[string]RankWorker{},
		tenants:  map[string]Tenant{},
	}, nil
}

// Step applies what has happened since the last step, and returns what changes by it and by time alone. now is the
// caller's clock.
func (t *Table) Step(now time.Duration, events []Event) []Effect {
	t.now = max(t.now, now)
	t.effects = nil
	for _, e := range events {
		switch e := e.(type) {
		case Offered:
			t.offered(e)
		case Live:
			s := t.script(e.Script)
			s.live = true
			s.version = e.Version
		case Ended:
			s := t.script(e.Script)
			s.live = false
			s.standing = nil
		case Workers:
			t.setWorkers(e.List)
		}
	}
	t.forgetExpired()
	t.update(t.mergeWarm(), t.mergeRanks(), t.mergeTenants())
	return t.effects
}

func (t *Table) setWorkers(list []Worker) {
	byName := func(a, b Worker) int { return cmp.Compare(a.Name, b.Name) }
	t.workers = slices.SortedFunc(slices.Values(list), byName)
	t.memoryMB = 0
	t.ready = 0
	for _, w := range t.workers {
		if w.Ready {
			t.memoryMB += w.MemoryMB
			t.ready++
		}
	}
}

// worker returns a worker of the list.
func (t *Table) worker(name string) (w Worker, ok bool) {
	i, ok := slices.BinarySearchFunc(t.workers, name, func(w Worker, name string) int {
		return cmp.Compare(w.Name, name)
	})
	if !ok {
		return w, false
	}
	return t.workers[i], true
}

// Next returns when Step is due without an event, because something expires; 0: never.
func (t *Table) Next() (due time.Duration) {
	for _, s := range t.scripts {
		for _, st := range s.standing {
			for _, at := range []time.Duration{st.until, st.suspendedUntil} {
				if at > t.now && (due == 0 || at < due) {
					due = at
				}
			}
		}
	}
	return due
}

// script returns a script, which is added if it is new.
func (t *Table) script(name string) *script {
	i, ok := slices.BinarySearchFunc(t.scripts, name, func(s *script, name string) int {
		return cmp.Compare(s.name, name)
	})
	if !ok {
		t.scripts = slices.Insert(t.scripts, i, &script{name: name})
	}
	return t.scripts[i]
}

// withinWindow returns the times that lie in the window which ends now.
func (t *Table) withinWindow(times []time.Duration) []time.Duration {
	return slices.DeleteFunc(times, func(at time.Duration) bool { return at <= t.now-t.settings.Window })
}

// Standing returns what holds, for operators, sorted.
func (t *Table) Standing() (effects []Effect) {
	for _, name := range sortedKeys(t.warm, nil) {
		effects = append(effects, t.warm[name])
	}
	for _, name := range sortedKeys(t.ranks, nil) {
		effects = append(effects, t.ranks[name])
	}
	if len(t.tenants) > 0 {
		effects = append(effects, Tenants{t.tenants})
	}
	return effects
}

// A rejection says why a piece of advice is not followed.
type rejection struct {
	count  *int // that it goes into
	reason string
}

func (t *Table) discard(s *script, item hooklang.Advice, r *rejection) {
	*r.count++
	t.effects = append(t.effects, Discarded{Script: s.name, Item: item, Why: r.reason})
}
