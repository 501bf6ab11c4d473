// Package blobfetch fetches the blob of a model version from stores that speak the OCI distribution
// protocol, and returns it only after its digest is verified. A Plan decides, without I/O, which
// store to request from next, from which byte on and after which backoff, and which store has sent
// corrupt bytes. A Client executes plans.
//
// # Corrupt stores
//
// Corruption shows only when the whole blob has been received. If one store sent all of it, that
// store is corrupt. If the fetch was resumed at another store, it is unknown which of them is: the
// bytes are discarded, and from then on the whole blob is fetched from a single store at a time. So
// a store that corrupts rarely, one byte in a thousand fetches, is found by its own fetch, and an
// intact store is not avoided in its place.
package blobfetch

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Settings limit a fetch. All must be above 0.
type Settings struct {
	// MaxRequests is the maximum number of requests of one fetch, to all stores together.
	MaxRequests int
	// MinBackoff is the backoff from a store after a first failure. It doubles with each further
	// failure in a row.
	MinBackoff time.Duration
	// MaxBackoff limits every backoff.
	MaxBackoff time.Duration
	// CorruptBackoff is the backoff from a store, for all digests, after it first sent a corrupt
	// blob. It doubles with each further one.
	CorruptBackoff time.Duration
}

// A Fault is the reason why a request failed.
type Fault int

// The faults of a request.
const (
	Unreachable    Fault = iota + 1 // no response
	Interrupted                     // the response ended before its length
	BadStatus                       // the status is not 200 or 206, for example 404
	WrongLength                     // the response has another length or range than requested
	DigestMismatch                  // the received blob does not have the digest
)

// String returns the text of a fault for logs and errors.
func (f Fault) String() string {
	return [...]string{"", "unreachable", "broken off", "refused", "wrong length or range", "digest mismatch"}[f]
}

// A Request is a request to a store for the bytes from Offset on.
type Request struct {
	Store     string
	Offset    int64
	FromStart bool // the bytes received so far must be discarded first
}

// A Failure records one fault of a store.
type Failure struct {
	Store    string
	Fault    Fault
	Received int64 // bytes received by the fetch until then
}

// A Plan decides the requests of one fetch of one digest. It is not safe for concurrent use. Next
// returns the request to make. After the request, Received must be called with the number of bytes
// received, and then Failed or Verified with the result.
type Plan struct {
	stores       *Stores
	size         int64
	received     int64
	sources      []string // stores that sent the received bytes
	attempts     int
	singleSource bool            // the fetch may no longer be resumed at another store
	excluded     map[string]bool // stores that sent corrupt bytes or a wrong length
	current      string          // store of the last request
	Failures     []Failure       // oldest first
}

// NewPlan returns the plan for fetching a blob of the given size in bytes.
func NewPlan(stores *Stores, size int64) *Plan {
	return &Plan{stores: stores, size: size, excluded: map[string]bool{}}
}

var (
	// ErrMismatch is wrapped by the error of a fetch that failed after at least one store was
	// excluded for sending corrupt bytes or a wrong length.
	ErrMismatch = errors.New("fetch: no store has a blob that matches the digest")
	// ErrExhausted is wrapped by the error of a fetch that has made its maximum number of requests
	// without such a store, or that has no store.
	ErrExhausted = errors.New("fetch: out of attempts")
)

// Next returns the request to make now, or how long to wait before calling Next again. Errors wrap
// ErrMismatch or ErrExhausted and name the faults of each store.
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
		p.discard()
	}
	request = Request{Store: store.Name, Offset: p.received}
	if p.received == 0 {
		request.FromStart = true
		p.discard() // also removes sources that sent no byte
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
		return fmt.Errorf("%w: no store is configured", ErrExhausted)
	case len(p.excluded) == len(stores):
		return fmt.Errorf("%w: %s", ErrMismatch, p.summary())
	case p.attempts < p.stores.settings.MaxRequests:
		return nil
	case len(p.excluded) > 0:
		return fmt.Errorf("%w: %s", ErrMismatch, p.summary())
	}
	return fmt.Errorf("%w after %d requests: %s", ErrExhausted, p.attempts, p.summary())
}

// choose returns the store for the next request: the store of the last request if it is available
// now, else the first one that is available, else the one that becomes available first. At least
// one store must not be excluded.
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

// Received records the number of bytes that the last request received.
func (p *Plan) Received(n int64) { p.received += n }

// Complete reports whether the whole blob has been received.
func (p *Plan) Complete() bool { return p.received == p.size }

// Failed records the fault of the last request. jitter is a random number from 0 to 1 that spreads
// the backoffs of many workers. The bytes of an interrupted request are kept, so that the fetch can
// be resumed.
func (p *Plan) Failed(now time.Duration, f Fault, jitter float64) {
	p.Failures = append(p.Failures, Failure{p.current, f, p.received})
	if f == WrongLength { // the store has another blob than the requested one
		p.discard()
		p.excluded[p.current] = true
		p.stores.recordCorruption(p.current, now, jitter)
		return
	}
	p.stores.recordFailure(p.current, now, jitter)
}

// discard forgets the received bytes and their sources.
func (p *Plan) discard() {
	p.received = 0
	p.sources = nil
}

// Verified records whether the blob, which is complete now, matches the digest. If not, its bytes
// are discarded. jitter is as for Failed.
func (p *Plan) Verified(now time.Duration, match bool, jitter float64) {
	if match {
		p.stores.recordSuccess(p.current)
		return
	}
	sources := p.sources
	for _, source := range sources {
		p.Failures = append(p.Failures, Failure{source, DigestMismatch, p.received})
	}
	p.discard()
	if len(sources) == 1 {
		p.excluded[sources[0]] = true
		p.stores.recordCorruption(sources[0], now, jitter)
		return
	}
	p.singleSource = true
}
