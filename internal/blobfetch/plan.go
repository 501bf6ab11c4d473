// Package blobfetch fetches the bytes of a model's version from stores that speak the OCI distribution protocol,
// and hands them out only once their digest is verified. A Plan decides, without I/O: which store to ask next, from
// which byte, after which pause, and which store to blame for wrong bytes. A Client executes plans.
//
// # Blame
//
// Wrong bytes show only when all bytes are received. If one store gave all of them, it is to blame. If a fetch was
// resumed at another store, it is not known which one is: the bytes are dropped, and from then on each store is
// asked for all of them by itself. So a store that corrupts rarely, a byte in a thousand fetches, is found by its
// own fetch, and a good one is not avoided for it.
package blobfetch

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Settings bound a fetch. All must be above 0.
type Settings struct {
	MaxRequests    int           // requests of one fetch, to all stores together
	MinBackoff     time.Duration // backoff from a store after its first failure in a row; doubled with each further one
	MaxBackoff     time.Duration // bound on every backoff
	CorruptBackoff time.Duration // backoff from a store, for all digests, after it first gave wrong bytes; doubled each time
}

// A Fault is how a request failed.
type Fault int

// The faults of a request.
const (
	Unreachable    Fault = iota + 1 // no answer
	Interrupted                     // the answer ended before its length
	BadStatus                       // a status other than success, 404 included
	WrongLength                     // the answer has another length or range than requested
	DigestMismatch                  // the bytes are not those of the digest
)

// String returns a few words for logs and errors.
func (f Fault) String() string {
	return [...]string{"", "unreachable", "broken off", "refused", "wrong length or range", "digest mismatch"}[f]
}

// A Request asks a store for the bytes from Offset on.
type Request struct {
	Store     string
	Offset    int64
	FromStart bool // the bytes received so far are to be dropped first
}

// A Failure is one fault, for an operator.
type Failure struct {
	Store    string
	Fault    Fault
	Received int64 // bytes received until then
}

// A Plan is one fetch of one digest. It is not safe for concurrent use. Next says which request to make; after it,
// Received says how many bytes came, then Failed or Verified how it ended.
type Plan struct {
	stores       *Stores
	size         int64
	received     int64
	sources      []string // stores that the received bytes are from
	attempts     int
	singleSource bool            // a fetch is not resumed at another store any more
	excluded     map[string]bool // stores that gave wrong bytes
	current      string          // store of the last request
	Failures     []Failure       // oldest first
}

// NewPlan returns the plan of a fetch of so many bytes.
func NewPlan(stores *Stores, size int64) *Plan {
	return &Plan{stores: stores, size: size, excluded: map[string]bool{}}
}

var (
	// ErrMismatch is wrapped by the error of a fetch in which every store that answered gave wrong bytes.
	ErrMismatch = errors.New("fetch: no store has bytes that match the digest")
	// ErrExhausted is wrapped by the error of a fetch whose requests are used up, or which has no store.
	ErrExhausted = errors.New("fetch: given up")
)

// Next returns the request to make now, or how long to wait before Next is called again. Errors wrap ErrMismatch or
// ErrExhausted and name the faults of each store.
func (p *Plan) Next(now time.Duration) (request Request, wait time.Duration, err error) {
	if err := p.exhausted(); err != nil {
		return Request{}, 0, err
	}
	store := p.choose(now)
	if store.availableAt > now {
		return Request{}, store.availableAt - now, nil
	}
	p.attempts++
	if p.received > 0 && p.singleSource && store.Name != p.current {
		p.drop()
	}
	request = Request{Store: store.Name, Offset: p.received}
	if p.received == 0 {
		request.FromStart = true
		p.drop() // also the sources that gave no byte
	}
	p.current = store.Name
	if !slices.Contains(p.sources, store.Name) {
		p.sources = append(p.sources, store.Name)
	}
	return request, 0, nil
}

// exhausted returns why no further request may be made, or nil.
func (p *Plan) exhausted() error {
	stores := p.stores.list
	switch {
	case len(stores) == 0:
		return fmt.Errorf("%w: no store is named", ErrExhausted)
	case len(p.excluded) == len(stores):
		return fmt.Errorf("%w: %s", ErrMismatch, p.summary())
	case p.attempts < p.stores.settings.MaxRequests:
		return nil
	case len(p.excluded) > 0:
		return fmt.Errorf("%w: %s", ErrMismatch, p.summary())
	}
	return fmt.Errorf("%w after %d requests: %s", ErrExhausted, p.attempts, p.summary())
}

// choose returns the store to ask: the one that gave the last bytes if it may be asked now, else the first one that
// may, else the one that may be asked soonest. At least one store is not excluded.
func (p *Plan) choose(now time.Duration) *Store {
	var best *Store
	for _, store := range p.stores.list {
		available := store.availableAt <= now
		switch {
		case p.excluded[store.Name]:
		case best == nil,
			available && (best.availableAt > now || store.Name == p.current),
			!available && store.availableAt < best.availableAt:
			best = store
		}
	}
	return best
}

// summary names each fault of each store once.
func (p *Plan) summary() string {
	var faults []string
	for _, r := range p.Failures {
		if fault := r.Store + " " + r.Fault.String(); !slices.Contains(faults, fault) {
			faults = append(faults, fault)
		}
	}
	return strings.Join(faults, ", ")
}

// Received notes how many bytes the last request gave.
func (p *Plan) Received(n int64) { p.received += n }

// Complete tells whether all bytes are received.
func (p *Plan) Complete() bool { return p.received == p.size }

// Failed notes the fault of the last request. draw, from 0 to 1, spreads the backoffs of many workers. Bytes of a
// request that broke off stay, so that the fetch can be resumed.
func (p *Plan) Failed(now time.Duration, f Fault, draw float64) {
	p.Failures = append(p.Failures, Failure{p.current, f, p.received})
	if f == WrongLength { // the store does not have what was requested, whatever it has
		p.drop()
		p.excluded[p.current] = true
		p.stores.blame(p.current, now, draw)
		return
	}
	p.stores.failed(p.current, now, draw)
}

// drop forgets the received bytes.
func (p *Plan) drop() {
	p.received = 0
	p.sources = nil
}

// Verified notes whether the bytes, all received now, have the digest. If not they are dropped.
func (p *Plan) Verified(now time.Duration, match bool, draw float64) {
	if match {
		p.stores.good(p.current)
		return
	}
	sources := p.sources
	for _, source := range sources {
		p.Failures = append(p.Failures, Failure{source, DigestMismatch, p.received})
	}
	p.drop()
	if len(sources) == 1 {
		p.excluded[sources[0]] = true
		p.stores.blame(sources[0], now, draw)
		return
	}
	p.singleSource = true
}
