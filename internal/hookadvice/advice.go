// Package hookadvice decides what becomes of the advice that hooks give: it checks, limits, expires and merges it, and sets aside
// what flips. What is left goes to the module, which weighs it; a hook itself can send, answer, cancel or order nothing.
//
// Like choice it is pure: events in, effects out, no clock, I/O, goroutine or map order.
package hookadvice

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"kitehub/internal/hooklang"
)

// Settings bound what hooks can bring about. A zero field has the default named beside it.
type Settings struct {
	Functions           int           // kept warm at once: 64
	Copies              int           // of one function: 4
	MemoryShare         float64       // of the ready workers' memory that copies kept warm may take: 0.25
	MaxDuration         time.Duration // that one piece of advice holds: 1 h
	Workers             float64       // share of the workers that are preferred, and that are avoided, at once: 0.25
	Weight              float64       // a tenant's weight lies between this and its inverse: 4
	MaxRejectedFraction float64       // share of the calls in a window that hooks may have refused: 0.5
	Cap                 int           // calls in hand that a tenant's cap is a share of; must be given
	Flips               int           // changes of one piece by one script in a window, beyond which it is set aside: 6
	Window              time.Duration // 1 min
	MaxNotices          int           // notices of one script in a window: 10
	Pieces              int           // that one script may have standing: 256
}

func (s Settings) filled() Settings {
	s.Functions, s.Copies = cmp.Or(s.Functions, 64), cmp.Or(s.Copies, 4)
	s.MemoryShare, s.MaxDuration = cmp.Or(s.MemoryShare, 0.25), cmp.Or(s.MaxDuration, time.Hour)
	s.Workers, s.Weight, s.MaxRejectedFraction = cmp.Or(s.Workers, 0.25), cmp.Or(s.Weight, 4), cmp.Or(s.MaxRejectedFraction, 0.5)
	s.Flips, s.Window = cmp.Or(s.Flips, 6), cmp.Or(s.Window, time.Minute)
	s.MaxNotices, s.Pieces = cmp.Or(s.MaxNotices, 10), cmp.Or(s.Pieces, 256)
	return s
}

// Facts is what advice is checked against.
type Facts interface {
	// Function returns the memory that a copy takes, and whether there is such a function.
	Function(name string) (mb float64, ok bool)
	Tenant(name string) bool
}

// A Worker as the list has it.
type Worker struct {
	Name     string
	Ready    bool
	MemoryMB float64 // 0: not known
}

// An Event is one of Offered, Live, Ended and Workers.
type Event interface{ event() }

type (
	// Offered is what one run advises, all of it.
	Offered struct {
		Script  string
		Version uint64
		Items   []hooklang.Advice
	}
	// Live says which version of a script is heard from now on. What an earlier one advised stands until it expires or is
	// replaced; what still comes from it is dropped.
	Live struct {
		Script  string
		Version uint64
	}
	// Ended says that a script is heard no more: all that it advised is withdrawn.
	Ended struct{ Script string }
	// Workers is the list as it stands.
	Workers struct{ List []Worker }
)

func (Offered) event() {}
func (Live) event()    {}
func (Ended) event()   {}
func (Workers) event() {}

// An Effect is one of Warm, Regard, Tenants, Notice and Dropped.
type Effect interface{ effect() }

type (
	// KeepWarm has copies of a function kept; Copies 0: no longer.
	KeepWarm struct {
		Function string
		Copies   int
		Until    time.Duration
	}
	// RankWorker has a worker preferred (1), avoided (-1) or looked at as any (0).
	RankWorker struct {
		Worker string
		Rank   int
		Until  time.Duration
	}
	// Tenants is what holds for tenants now, all of it. It is not to be changed.
	Tenants struct {
		By map[string]Tenant `json:"By"`
	}
	// Notice is to be sent.
	Notice struct{ Script, Target, Text string }
	// Discarded tells operators what was not followed, and why.
	Discarded struct {
		Script string
		Item   hooklang.Advice
		Why    string
	}
)

func (KeepWarm) effect()   {}
func (RankWorker) effect() {}
func (Tenants) effect()    {}
func (Notice) effect()     {}
func (Discarded) effect()  {}

// Tenant is what holds for one: a weight where fewer than all calls pass (0: 1), and at most so many calls in hand (0: any).
type Tenant struct {
	Weight       float64 `json:"Weight"`
	MaxOpenCalls int     `json:"Most"`
}

type key struct{ kind, name string }

func (k key) compare(o key) int {
	return cmp.Or(cmp.Compare(k.kind, o.kind), cmp.Compare(k.name, o.name))
}

// kinds of standing advice. prefer and avoid are one: a script that says both of a worker has changed its mind.
var standing = map[string]string{"keep_warm": "warm", "tenant_weight": "weight", "tenant_cap": "cap", "prefer": "rank", "avoid": "rank"}

// A piece is what one script last said of one thing.
type piece struct {
	key
	item  hooklang.Advice
	value float64 // copies, weight, cap or rank
	until time.Duration
	flips []time.Duration // when it changed its value
	times int             // it was set aside, in a row
	aside time.Duration   // until then it is not heard
}

type script struct {
	name    string
	version uint64
	live    bool
	pieces  []*piece // by key
	notices []time.Duration
}

// A Table holds all that is advised. It is not safe for concurrent use.
type Table struct {
	s       Settings
	facts   Facts
	now     time.Duration
	scripts []*script // by name
	workers []Worker  // by name
	memory  float64   // of the ready ones
	ready   int
	out     []Effect
	warm    map[string]KeepWarm
	regard  map[string]RankWorker
	tenants map[string]Tenant
	Counts  Counts
}

// Counts of what became of advice.
type Counts struct{ Taken, Stale, Unknown, Limited, Aside int }

// New returns an empty table.
func New(s Settings, f Facts) (*Table, error) {
	if s.Cap < 1 {
		return nil, fmt.Errorf("advice: Cap: %d is under 1", s.Cap)
	}
	s = s.filled()
	for _, v := range []struct {
		name string
		x    float64
	}{{"MemoryShare", s.MemoryShare}, {"Workers", s.Workers}, {"Refuse", s.MaxRejectedFraction}} {
		if !(v.x >= 0 && v.x <= 1) {
			return nil, fmt.Errorf("advice: %s: %v is not from 0 to 1", v.name, v.x)
		}
	}
	if !(s.Weight >= 1) || s.Functions < 0 || s.Copies < 0 || s.MaxDuration < 0 || s.Window <= 0 || s.Flips < 1 || s.MaxNotices < 0 || s.Pieces < 1 {
		return nil, fmt.Errorf("advice: Weight is under 1, or a bound is below zero: %+v", s)
	}
	return &Table{s: s, facts: f, warm: map[string]KeepWarm{}, regard: map[string]RankWorker{}, tenants: map[string]Tenant{}}, nil
}

// Step takes what has come since the last step and returns what changes by it, and by time alone.
func (t *Table) Step(now time.Duration, events []Event) []Effect {
	t.now, t.out = max(t.now, now), nil
	for _, e := range events {
		switch e := e.(type) {
		case Offered:
			t.offered(e)
		case Live:
			s := t.script(e.Script)
			s.live, s.version = true, e.Version
		case Ended:
			s := t.script(e.Script)
			s.live, s.pieces = false, nil
		case Workers:
			t.workers = slices.SortedFunc(slices.Values(e.List), func(a, b Worker) int { return cmp.Compare(a.Name, b.Name) })
			t.memory, t.ready = 0, 0
			for _, w := range t.workers {
				if w.Ready {
					t.memory += w.MemoryMB
					t.ready++
				}
			}
		}
	}
	t.merge()
	return t.out
}

// Next returns when Step is due at the latest, with no event: when something expires. 0: never.
func (t *Table) Next() (at time.Duration) {
	for _, s := range t.scripts {
		for _, p := range s.pieces {
			for _, x := range []time.Duration{p.until, p.aside} {
				if x > t.now && (at == 0 || x < at) {
					at = x
				}
			}
		}
	}
	return at
}

func (t *Table) script(name string) *script {
	i, ok := slices.BinarySearchFunc(t.scripts, name, func(s *script, n string) int { return cmp.Compare(s.name, n) })
	if !ok {
		t.scripts = slices.Insert(t.scripts, i, &script{name: name})
	}
	return t.scripts[i]
}

func (t *Table) drop(s *script, a hooklang.Advice, count *int, format string, args ...any) {
	*count++
	t.out = append(t.out, Discarded{s.name, a, fmt.Sprintf(format, args...)})
}

func (t *Table) offered(e Offered) {
	s := t.script(e.Script)
	for _, a := range e.Items {
		if !s.live || e.Version != s.version {
			t.drop(s, a, &t.Counts.Stale, "of version %d, which is not heard", e.Version)
			continue
		}
		switch a.Kind {
		case "notify":
			s.notices = slices.DeleteFunc(s.notices, func(at time.Duration) bool { return at <= t.now-t.s.Window })
			if len(s.notices) >= t.s.MaxNotices {
				t.drop(s, a, &t.Counts.Limited, "more than %d notices in %v", t.s.MaxNotices, t.s.Window)
				continue
			}
			s.notices = append(s.notices, t.now)
			t.Counts.Taken++
			t.out = append(t.out, Notice{s.name, a.Key, a.Text})
		default:
			t.stand(s, a)
		}
	}
}

// stand takes a piece that holds for a time.
func (t *Table) stand(s *script, a hooklang.Advice) {
	kind, ok := standing[a.Kind]
	if !ok {
		t.drop(s, a, &t.Counts.Unknown, "%s does not stand", a.Kind)
		return
	}
	p := piece{key: key{kind, cmp.Or(a.Function, a.Tenant, a.Worker)}, item: a}
	switch a.Kind {
	case "keep_warm":
		if _, ok := t.facts.Function(a.Function); !ok {
			t.drop(s, a, &t.Counts.Unknown, "no such function")
			return
		}
		p.value = float64(max(0, min(a.Copies, int64(t.s.Copies))))
	case "tenant_weight", "tenant_cap":
		if !t.facts.Tenant(a.Tenant) {
			t.drop(s, a, &t.Counts.Unknown, "no such tenant")
			return
		}
		if !(a.Factor > 0) || math.IsInf(a.Factor, 0) {
			t.drop(s, a, &t.Counts.Limited, "%v is not above 0", a.Factor)
			return
		}
		p.value = min(max(a.Factor, 1/t.s.Weight), t.s.Weight)
		if a.Kind == "tenant_cap" {
			p.value = min(a.Factor, 1)
		}
	case "prefer", "avoid":
		i, ok := slices.BinarySearchFunc(t.workers, a.Worker, func(w Worker, n string) int { return cmp.Compare(w.Name, n) })
		if !ok {
			t.drop(s, a, &t.Counts.Unknown, "no such worker")
			return
		}
		if p.value = -1; a.Kind == "prefer" {
			if p.value = 1; !t.workers[i].Ready {
				t.drop(s, a, &t.Counts.Unknown, "the worker drains")
				return
			}
		}
	}
	life := min(a.For, t.s.MaxDuration)
	if p.until = t.now + life; life <= 0 || p.value == 0 { // withdrawn
		p.value, p.until = 0, 0
	}
	i, found := slices.BinarySearchFunc(s.pieces, p.key, func(o *piece, k key) int { return o.key.compare(k) })
	if !found {
		if p.value == 0 {
			return
		}
		if len(s.pieces) >= t.s.Pieces {
			t.drop(s, a, &t.Counts.Limited, "more than %d pieces of one script", t.s.Pieces)
			return
		}
		s.pieces = slices.Insert(s.pieces, i, &piece{key: p.key, value: 0})
	}
	t.change(s, s.pieces[i], p, a)
}

// change sets a piece. One that changes its mind too often is set aside, for longer each time in a row: copies would be
// loaded and let go, or homes moved, to and fro. Set aside, it is as if it were not advised.
func (t *Table) change(s *script, o *piece, p piece, a hooklang.Advice) {
	if o.aside > t.now {
		t.drop(s, a, &t.Counts.Aside, "it flips: not heard for another %v", (o.aside - t.now).Round(time.Millisecond))
		return
	}
	if o.value != p.value {
		o.flips = slices.DeleteFunc(o.flips, func(at time.Duration) bool { return at <= t.now-t.s.Window })
		if len(o.flips) == 0 && t.now > o.aside+t.s.Window { // it has been quiet
			o.times = max(0, o.times-1)
		}
		if o.flips = append(o.flips, t.now); len(o.flips) > t.s.Flips {
			o.times = min(o.times+1, 6)
			o.aside, o.value, o.until, o.flips = t.now+t.s.Window<<o.times, 0, 0, nil
			t.drop(s, a, &t.Counts.Aside, "it changed %d times in %v: not heard for %v", t.s.Flips+1, t.s.Window, t.s.Window<<o.times)
			return
		}
	}
	t.Counts.Taken++
	o.item, o.value, o.until = p.item, p.value, p.until
}

// stands returns the pieces of a kind that hold, of all scripts that are heard, by name and then by script.
func (t *Table) stands(kind string) (l []*piece) {
	for _, s := range t.scripts {
		for _, p := range s.pieces {
			if p.kind == kind && p.value != 0 && p.until > t.now {
				l = append(l, p)
			}
		}
	}
	slices.SortStableFunc(l, func(a, b *piece) int { return cmp.Compare(a.name, b.name) })
	return l
}

// merge makes of all pieces what holds, and tells what has changed.
func (t *Table) merge() {
	for _, s := range t.scripts { // what is over, and is not remembered for its flips
		s.pieces = slices.DeleteFunc(s.pieces, func(p *piece) bool {
			return p.until <= t.now && p.aside <= t.now-t.s.Window && (len(p.flips) == 0 || p.flips[len(p.flips)-1] <= t.now-t.s.Window)
		})
	}
	t.merged(t.warmth(), t.ranks(), t.shares())
}

// warmth: of several scripts the most copies, until the latest time. In the order of the names, as far as the bounds go: that
// order is no better than another, but the same at each step, so that bounds do not make copies come and go.
func (t *Table) warmth() map[string]KeepWarm {
	warm, room := map[string]KeepWarm{}, t.s.MemoryShare*t.memory
	for _, p := range t.stands("warm") {
		w, known := warm[p.name]
		if !known && len(warm) >= t.s.Functions {
			continue
		}
		copies := min(int(p.value), t.ready) - w.Copies
		mb, ok := t.facts.Function(p.name)
		if !ok {
			continue
		}
		if t.memory > 0 && mb > 0 {
			copies = min(copies, int(room/mb))
		}
		if copies = max(0, copies); copies == 0 && !known {
			continue
		}
		room -= float64(copies) * mb
		warm[p.name] = KeepWarm{p.name, w.Copies + copies, max(w.Until, p.until)}
	}
	return warm
}

// ranks: who is avoided by one script and preferred by another is avoided. At most a share of the workers each way, and none
// that drains is preferred.
func (t *Table) ranks() map[string]RankWorker {
	all := map[string]RankWorker{}
	for _, p := range t.stands("rank") {
		r, known := all[p.name]
		rank := int(p.value)
		switch {
		case !known || rank < r.Rank:
			all[p.name] = RankWorker{p.name, rank, p.until}
		case rank == r.Rank:
			all[p.name] = RankWorker{p.name, rank, max(r.Until, p.until)}
		}
	}
	most, n := int(t.s.Workers*float64(len(t.workers))), map[int]int{}
	kept := map[string]RankWorker{}
	for _, w := range t.workers {
		r, ok := all[w.Name]
		if !ok || r.Rank > 0 && !w.Ready {
			continue
		}
		if n[r.Rank]++; n[r.Rank] <= most {
			kept[w.Name] = r
		}
	}
	return kept
}

// shares: of several scripts the lowest weight and the lowest cap.
func (t *Table) shares() map[string]Tenant {
	all := map[string]Tenant{}
	for _, p := range t.stands("weight") {
		x := all[p.name]
		if x.Weight == 0 || p.value < x.Weight {
			x.Weight = p.value
		}
		all[p.name] = x
	}
	for _, p := range t.stands("cap") {
		x, most := all[p.name], max(1, int(p.value*float64(t.s.Cap)))
		if x.MaxOpenCalls == 0 || most < x.MaxOpenCalls {
			x.MaxOpenCalls = most
		}
		all[p.name] = x
	}
	return all
}

func (t *Table) merged(warm map[string]KeepWarm, regard map[string]RankWorker, tenants map[string]Tenant) {
	for _, name := range names(t.warm, warm) {
		if w := warm[name]; w != t.warm[name] {
			w.Function = name
			t.out = append(t.out, w)
		}
	}
	for _, name := range names(t.regard, regard) {
		if r := regard[name]; r != t.regard[name] {
			r.Worker = name
			t.out = append(t.out, r)
		}
	}
	if !maps.Equal(tenants, t.tenants) {
		t.out = append(t.out, Tenants{tenants})
	}
	t.warm, t.regard, t.tenants = warm, regard, tenants
}

func names[V any](a, b map[string]V) []string {
	return slices.Compact(slices.Sorted(func(yield func(string) bool) {
		for k := range a {
			if !yield(k) {
				return
			}
		}
		for k := range b {
			if !yield(k) {
				return
			}
		}
	}))
}

// Standing returns what holds, for operators, sorted.
func (t *Table) Standing() (l []Effect) {
	for _, n := range names(t.warm, nil) {
		l = append(l, t.warm[n])
	}
	for _, n := range names(t.regard, nil) {
		l = append(l, t.regard[n])
	}
	if len(t.tenants) > 0 {
		l = append(l, Tenants{t.tenants})
	}
	return l
}
