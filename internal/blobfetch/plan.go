// Package blobfetch gets the bytes of a model's version from stores that speak the OCI distribution protocol, and lets nobody
// have them before their digest is proved. A Plan decides, purely: which store next, from which byte, after what pause, and
// who is to blame for bytes that are wrong. A Client carries plans out.
//
// Blame. Bytes that are wrong show only when all are there. If one store gave them all, it is to blame. If a fetch was
// resumed at another store, nobody knows which: all is dropped, and each store is asked for the whole alone. So a store that
// corrupts slowly, a byte in a thousand fetches, is found by its own fetch, and a good one is not avoided for it.
package blobfetch

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Settings bound a fetch. All must be above 0.
type Settings struct {
	Tries   int           // requests of one fetch, all stores together
	Pause   time.Duration // before a store that failed is asked again, the first time; doubled each time
	Longest time.Duration // pause at most
	Blame   time.Duration // for so long a store that gave wrong bytes is avoided, for all digests; doubled each time
}

// A Fault is how a request ended other than well.
type Fault int

const (
	Unreachable Fault = iota + 1 // no answer
	Broken                       // the answer ended before its length
	Refused                      // a status that is no success, 404 included
	Wrong                        // the answer contradicts what was asked for: its length or range
	Mismatch                     // the bytes are not those of the digest
)

func (f Fault) String() string {
	return [...]string{"", "unreachable", "broken off", "refused", "wrong length or range", "digest mismatch"}[f]
}

// A Store is what is known of one store, over all fetches.
type Store struct {
	Name     string
	failures int           // in a row
	blames   int           // in all
	from     time.Duration // not asked before
}

// Stores are those that may be asked, in the order of preference.
type Stores struct {
	set Settings
	l   []*Store
}

// NewStores returns stores of which nothing is known.
func NewStores(set Settings, names []string) *Stores {
	s := &Stores{set: set}
	for _, n := range names {
		s.l = append(s.l, &Store{Name: n})
	}
	return s
}

func (s *Stores) find(name string) *Store {
	for _, x := range s.l {
		if x.Name == name {
			return x
		}
	}
	return nil
}

// pause keeps a store from being asked for a growing time. draw is from 0 to 1.
func (s *Stores) pause(x *Store, now, first time.Duration, times int, draw float64) {
	d := min(float64(s.set.Longest), float64(first)*math.Pow(2, float64(min(times, 30))))
	x.from = max(x.from, now+time.Duration(d*(0.5+draw/2)))
}

func (s *Stores) failed(name string, now time.Duration, draw float64) {
	if x := s.find(name); x != nil {
		s.pause(x, now, s.set.Pause, x.failures, draw)
		x.failures++
	}
}

// blame marks a store that gave wrong bytes. It is not forgiven by a good answer, only with time.
func (s *Stores) blame(name string, now time.Duration, draw float64) {
	if x := s.find(name); x != nil {
		s.pause(x, now, s.set.Blame, x.blames, draw)
		x.blames++
	}
}

func (s *Stores) good(name string) {
	if x := s.find(name); x != nil {
		x.failures = 0
	}
}

// An Ask is a request to be made: the bytes from Offset on.
type Ask struct {
	Store  string
	Offset int64
	Whole  bool // what was there is to be dropped first
}

// A Report is one thing that went wrong, for an operator.
type Report struct {
	Store string
	Fault Fault
	At    int64 // bytes that were there
}

// A Plan is one fetch of one digest.
type Plan struct {
	stores  *Stores
	size    int64
	have    int64
	givers  []string // of the bytes that are there
	tries   int
	alone   bool            // no more resuming at another store
	bad     map[string]bool // stores whose whole was wrong
	current string
	Reports []Report
}

// NewPlan returns the plan of a fetch of so many bytes.
func NewPlan(stores *Stores, size int64) *Plan {
	return &Plan{stores: stores, size: size, bad: map[string]bool{}}
}

var (
	// ErrMismatch is a fetch in which every store that answered gave wrong bytes.
	ErrMismatch = errors.New("fetch: no store has bytes that match the digest")
	// ErrQuarantined is a fetch whose requests are used up, or for which no store is left.
	ErrGivenUp = errors.New("fetch: given up")
)

// Next returns what to ask now, or how long to wait before asking Next again.
func (p *Plan) Next(now time.Duration) (ask Ask, wait time.Duration, err error) {
	if len(p.stores.l) == 0 {
		return ask, 0, fmt.Errorf("%w: no store is named", ErrGivenUp)
	}
	if len(p.bad) == len(p.stores.l) {
		return ask, 0, fmt.Errorf("%w: %s", ErrMismatch, p.said())
	}
	if p.tries >= p.stores.set.Tries {
		if len(p.bad) > 0 {
			return ask, 0, fmt.Errorf("%w: %s", ErrMismatch, p.said())
		}
		return ask, 0, fmt.Errorf("%w after %d requests: %s", ErrGivenUp, p.tries, p.said())
	}
	// The first that may be asked, but the one that gave what is there before it; else the one that may be soonest.
	var best *Store
	for _, x := range p.stores.l {
		switch {
		case p.bad[x.Name]:
		case best == nil,
			x.from <= now && (best.from > now || x.Name == p.current),
			x.from > now && x.from < best.from:
			best = x
		}
	}
	if best.from > now {
		return ask, best.from - now, nil
	}
	p.tries++
	ask = Ask{Store: best.Name, Offset: p.have}
	if p.have > 0 && p.alone && best.Name != p.current {
		ask.Offset, ask.Whole = 0, true
	}
	if ask.Offset == 0 {
		ask.Whole = true
		p.have, p.givers = 0, nil
	}
	p.current = best.Name
	if !slices.Contains(p.givers, best.Name) {
		p.givers = append(p.givers, best.Name)
	}
	return ask, 0, nil
}

func (p *Plan) said() string {
	var l []string
	for _, r := range p.Reports {
		if s := r.Store + " " + r.Fault.String(); !slices.Contains(l, s) {
			l = append(l, s)
		}
	}
	return strings.Join(l, ", ")
}

// Got notes bytes that came.
func (p *Plan) Got(n int64) { p.have += n }

// Complete tells whether all bytes are there.
func (p *Plan) Complete() bool { return p.have == p.size }

// Failed notes a request that ended other than well. draw, from 0 to 1, spreads the pauses of many workers.
func (p *Plan) Failed(now time.Duration, f Fault, draw float64) {
	p.Reports = append(p.Reports, Report{p.current, f, p.have})
	switch f {
	case Broken: // it gave bytes: it may be asked to go on, a little later each time
		p.stores.failed(p.current, now, draw)
	case Wrong: // it does not have what was asked for, whatever it has
		p.drop()
		p.bad[p.current] = true
		p.stores.blame(p.current, now, draw)
	default:
		p.stores.failed(p.current, now, draw)
	}
}

func (p *Plan) drop() { p.have, p.givers = 0, nil }

// Checked notes whether the bytes, now all there, are those of the digest. A wrong whole is dropped.
func (p *Plan) Checked(now time.Duration, match bool, draw float64) {
	if match {
		p.stores.good(p.current)
		return
	}
	givers := p.givers
	for _, g := range givers {
		p.Reports = append(p.Reports, Report{g, Mismatch, p.have})
	}
	p.drop()
	if len(givers) == 1 {
		p.bad[givers[0]] = true
		p.stores.blame(givers[0], now, draw)
		return
	}
	p.alone = true
}
