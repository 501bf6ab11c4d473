package blobfetch

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// A Fault is how a request failed.
type Fault int

// Faults of a request.
const (
	Unreachable Fault = iota + 1 // no answer
	Broken                       // the answer ended before its length
	Refused                      // a status that is no success, 404 included
	Wrong                        // the answer contradicts the request: its length or range
	Mismatch                     // the bytes are not those of the digest
)

// String returns the fault for the log and for errors.
func (f Fault) String() string {
	return [...]string{"", "unreachable", "broken off", "refused", "wrong length or range", "digest mismatch"}[f]
}

// Errors of a fetch, wrapped with the faults of each store.
var (
	ErrMismatch  = errors.New("fetch: no store has bytes that match the digest")
	ErrExhausted = errors.New("fetch: given up") // all requests are used up, or there is no store
)

// A Request asks a store for the bytes from an offset on.
type Request struct {
	Store   string
	Offset  int64
	Restart bool // the bytes that came before are to be dropped
}

// A failure is a request that failed, or a store that sent bytes that may be wrong.
type failure struct {
	store string
	fault Fault
}

// A Plan is one fetch of one digest. It is not safe for concurrent use, and neither are several that share Stores.
//
// The caller asks Next for a request, sends it, reports the bytes that came with Received, and then either Failed or,
// once Complete, Checked; and so on, until Checked reported a match, or Next returns an error.
type Plan struct {
	stores   *Stores
	size     int64
	received int64
	senders  []string // stores that sent the bytes received
	requests int
	alone    bool            // each store must send all bytes by itself
	wrong    map[string]bool // stores whose bytes were wrong
	current  string          // the store of the last request
	failures []failure
}

// NewPlan returns the plan of a fetch of so many bytes.
func NewPlan(stores *Stores, size int64) *Plan {
	return &Plan{stores: stores, size: size, wrong: map[string]bool{}}
}

// Next returns the next request, or how long to wait before Next is to be asked again. The error wraps ErrMismatch or
// ErrExhausted.
func (p *Plan) Next(now time.Duration) (request Request, wait time.Duration, err error) {
	if err := p.exhausted(); err != nil {
		return request, 0, err
	}
	best := p.choose(now)
	if best.notBefore > now {
		return request, best.notBefore - now, nil
	}
	p.requests++
	request = Request{Store: best.name, Offset: p.received}
	if p.received > 0 && p.alone && best.name != p.current {
		request.Offset = 0
	}
	if request.Offset == 0 {
		request.Restart = true
		p.drop()
	}
	p.current = best.name
	if !slices.Contains(p.senders, best.name) {
		p.senders = append(p.senders, best.name)
	}
	return request, 0, nil
}

// exhausted returns an error if no further request may be made.
func (p *Plan) exhausted() error {
	switch {
	case len(p.stores.stores) == 0:
		return fmt.Errorf("%w: no store is named", ErrExhausted)
	case len(p.wrong) == len(p.stores.stores):
		return fmt.Errorf("%w: %s", ErrMismatch, p.summary())
	case p.requests < p.stores.settings.Tries:
		return nil
	case len(p.wrong) > 0:
		return fmt.Errorf("%w: %s", ErrMismatch, p.summary())
	}
	return fmt.Errorf("%w after %d requests: %s", ErrExhausted, p.requests, p.summary())
}

// choose returns the first store that may be asked, but prefers the one that sent the last bytes; if none may be
// asked yet, the one that may be soonest.
func (p *Plan) choose(now time.Duration) *store {
	var best *store
	for _, candidate := range p.stores.stores {
		switch {
		case p.wrong[candidate.name]:
		case best == nil,
			candidate.notBefore <= now && (best.notBefore > now || candidate.name == p.current),
			candidate.notBefore > now && candidate.notBefore < best.notBefore:
			best = candidate
		}
	}
	return best
}

// summary lists what went wrong at which store.
func (p *Plan) summary() string {
	var lines []string
	for _, f := range p.failures {
		if line := f.store + " " + f.fault.String(); !slices.Contains(lines, line) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, ", ")
}

// Received notes bytes that came.
func (p *Plan) Received(n int64) { p.received += n }

// Complete reports whether all bytes have come.
func (p *Plan) Complete() bool { return p.received == p.size }

// Failed notes that the last request failed. draw, from 0 to 1, spreads the backoff of many workers.
func (p *Plan) Failed(now time.Duration, fault Fault, draw float64) {
	p.failures = append(p.failures, failure{p.current, fault})
	if fault == Wrong { // it does not have the bytes, whatever it has
		p.drop()
		p.wrong[p.current] = true
		p.stores.blame(p.current, now, draw)
		return
	}
	// It may be asked again, a little later each time: also to go on with bytes that it has begun to send.
	p.stores.failed(p.current, now, draw)
}

func (p *Plan) drop() {
	p.received = 0
	p.senders = nil
}

// Checked notes whether the bytes, which are complete, match the digest. If they do not, they are dropped, and the
// store that sent them is blamed if there was only one.
func (p *Plan) Checked(now time.Duration, match bool, draw float64) {
	if match {
		p.stores.succeeded(p.current)
		return
	}
	senders := p.senders
	for _, sender := range senders {
		p.failures = append(p.failures, failure{sender, Mismatch})
	}
	p.drop()
	if len(senders) > 1 {
		p.alone = true
		return
	}
	p.wrong[senders[0]] = true
	p.stores.blame(senders[0], now, draw)
}
