// Package agent keeps a controller's view of the registry up to date, and stands at the door where answers go out: it
// confirms an epoch to the registry only once every answer that was let out under an older one has been written.
//
// Why the door. A check before the write is not enough: the answer could be written after the registry was told that no
// old answer can go out any more. So each write has a ticket of the view by which it was allowed; a newer view is
// confirmed when the tickets of all older ones are back. And a write ends with the lease at the latest.
package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/registry"
	"kitehub/internal/registry/client"
	"kitehub/internal/registry/wire"
)

// Config sets up an Agent.
type Config struct {
	Client *client.Client
	Node   string // the controller's name
	Clock  clock.Clock
	Log    zerolog.Logger
	// AliasesChanged is called, on the agent's goroutine, when a new view holds: calls that it leaves are to be looked for.
	AliasesChanged func()
	// Stage is told the versions of which copies are to stand, again and again until they do.
	Stage func([]wire.Stage)
	// Ready, where set, is called with the agent before it asks.
	Ready func(*Agent)
}

// A Ticket is one answer that is being written.
type Ticket struct{ generation *generation }

// A generation is one view. It is never changed; open counts its tickets and its being the current one.
type generation struct {
	view       registry.View
	references atomic.Int64
	idle       chan struct{} // closed when open is 0
}

func (g *generation) acquire() bool {
	for {
		n := g.references.Load()
		if n == 0 {
			return false
		}
		if g.references.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (g *generation) isIdle() bool {
	select {
	case <-g.idle:
		return true
	default:
		return false
	}
}

func (g *generation) release() {
	if g.references.Add(-1) == 0 {
		close(g.idle)
	}
}

// An Agent is safe for concurrent use.
type Agent struct {
	cfg     Config
	current atomic.Pointer[generation]
	stop    chan struct{}
	polling sync.WaitGroup
	// Lost counts times at which no answer of the registry came in a lease's time, Nacks answers that were not taken.
	Lost, Nacks atomic.Int64

	mu          sync.Mutex
	uses        map[aliasTarget]int
	unused      chan struct{} // a use of a target has ended that was the last
	endedCalls  map[registry.VersionRef]wire.CallsEnded
	staged      []wire.Stage
	readyCopies map[copiesAt]int // told by answers; those that are staged go to the registry
}

type aliasTarget struct {
	registry.AliasName
	registry.Target
}

type copiesAt struct{ model, version, worker string }

func newGeneration(v registry.View) *generation {
	g := &generation{view: v, idle: make(chan struct{})}
	g.references.Store(1)
	return g
}

// Start begins to ask. Until the first answer nothing resolves.
func Start(cfg Config) *Agent {
	a := &Agent{cfg: cfg, stop: make(chan struct{}), uses: map[aliasTarget]int{}, unused: make(chan struct{}, 1), endedCalls: map[registry.VersionRef]wire.CallsEnded{}, readyCopies: map[copiesAt]int{}}
	a.current.Store(newGeneration(registry.View{}))
	if cfg.Ready != nil {
		cfg.Ready(a)
	}
	a.polling.Add(1)
	go a.run()
	return a
}

// Stop ends the asking. The view holds until its lease ends.
func (a *Agent) Stop() {
	close(a.stop)
	a.cfg.Client.Close()
	a.polling.Wait()
}

// Resolve returns what an alias names now. It costs one look-up.
func (a *Agent) Resolve(n registry.AliasName) (registry.Target, registry.Verdict) {
	return a.current.Load().view.Resolve(a.cfg.Clock.Now(), n)
}

// MayAnswer tells whether an answer might go out now. Begin decides.
func (a *Agent) MayAnswer(n registry.AliasName, t registry.Target) registry.Verdict {
	return a.current.Load().view.MayAnswer(a.cfg.Clock.Now(), n, t)
}

// Begin asks for an answer of a target to be let out. Where the verdict is May, its bytes may be written until the time
// returned (0: no bound), and End is to be called then.
func (a *Agent) Begin(n registry.AliasName, t registry.Target) (Ticket, time.Duration, registry.Verdict) {
	for {
		g := a.current.Load()
		if !g.acquire() {
			continue // a newer one is there
		}
		v := g.view.MayAnswer(a.cfg.Clock.Now(), n, t)
		if v != registry.Allowed && v != registry.BeingSuperseded {
			g.release()
			return Ticket{}, 0, v
		}
		until := g.view.LeaseEnd()
		if v == registry.Allowed && g.view.Stale(n.Model) {
			until = 0
		}
		return Ticket{g}, until, registry.Allowed
	}
}

// End says that an answer's bytes are written, or never will be.
func (a *Agent) End(t Ticket) { t.generation.release() }

// Use and Unuse count the running calls of a version, so that the registry does not collect it.
func (a *Agent) Use(n registry.AliasName, t registry.Target) {
	a.mu.Lock()
	a.uses[aliasTarget{n, t}]++
	a.mu.Unlock()
}

// Unuse takes one back; ran and failed say whether the call was answered by a worker, and in an error.
func (a *Agent) Unuse(n registry.AliasName, t registry.Target, ran, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := aliasTarget{n, t}
	if a.uses[u]--; a.uses[u] <= 0 {
		delete(a.uses, u)
		select {
		case a.unused <- struct{}{}:
		default:
		}
	}
	if ran {
		b := registry.VersionRef{Model: n.Model, Version: t.Version}
		e := a.endedCalls[b]
		e.Model, e.Version, e.Calls = b.Model, b.Version, e.Calls+1
		if failed {
			e.Errors++
		}
		a.endedCalls[b] = e
	}
}

// CopiesReady notes what a worker told of its copies of a version.
func (a *Agent) CopiesReady(b registry.VersionRef, worker string, copies int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.ContainsFunc(a.staged, func(s wire.Stage) bool { return s.Model == b.Model && s.Version == b.Version }) {
		a.readyCopies[copiesAt{b.Model, b.Version, worker}] = copies
	}
}

// Times of the asking, as parts of a lease, and before one is known.
const (
	pollsPerLease    = 4               // a lease is renewed so often in its time while an older view's writes are waited for
	firstPollTimeout = 5 * time.Second // longest wait for an answer while no lease is known
	minBackoff       = 20 * time.Millisecond
	maxBackoff       = time.Second
)

func (a *Agent) run() {
	defer a.polling.Done()
	confirmed, nonce, failures := uint64(0), "", 0
	var nack *wire.ErrorDetail
	lease, settling := firstPollTimeout, time.Duration(0) // when what is leaving is given up
	var older []*generation                               // views whose writes may go on
	for {
		select {
		case <-a.stop:
			return
		default:
		}
		asked := a.cfg.Clock.Now()
		q := a.newRequest(confirmed, nonce, nack)
		resp, fresh, err := a.poll(q, lease)
		if err == nil && fresh && nonce != "" { // the connection is new: the answer may be another process's, so ask for all
			nonce = ""
			continue
		}
		var told registry.ViewUpdate
		if err == nil {
			told, err = parseResponse(resp)
			if err != nil { // not taken: say so
				a.Nacks.Add(1)
				nack, nonce = &wire.ErrorDetail{Code: 3, Message: err.Error()}, ""
				a.cfg.Log.Warn().Err(err).Msg("registry's answer not taken: what was known stays until the lease ends")
				a.sleep(minBackoff << min(failures, 5))
				failures++
				continue
			}
		}
		if err != nil {
			failures++
			if a.cfg.Clock.Now() >= a.current.Load().view.LeaseEnd() {
				a.Lost.Add(1)
			}
			wait := min(maxBackoff, minBackoff<<min(failures, 10), lease/pollsPerLease)
			wait += time.Duration(rand.Float64() * float64(wait))
			a.cfg.Log.Warn().Err(err).Int("failures", failures).Msg("registry not heard")
			nonce = ""
			a.restoreReports(q)
			a.sleep(wait)
			continue
		}
		failures, nack, lease = 0, nil, told.Lease
		old := a.current.Load()
		next := old.view
		if !next.Update(asked, told) {
			nonce = ""
			a.sleep(minBackoff)
			continue
		}
		nonce = resp.Nonce
		g := newGeneration(next)
		a.current.Store(g)
		old.release()
		older = append(older, old)
		if next.Epoch() != old.view.Epoch() && a.cfg.AliasesChanged != nil {
			a.cfg.AliasesChanged()
		}
		a.setStaged(resp.Stage)
		// Calls may go on to their answers under what was left, for a while, and writes under older views. Until all have
		// ended the lease is renewed under the epoch that they are of.
		if len(next.BeingSuperseded()) == 0 {
			settling = 0
		} else if settling == 0 {
			settling = a.cfg.Clock.Now() + next.SettleWithin()
		}
		pause := time.NewTimer(lease / pollsPerLease)
		for late := false; confirmed < next.Epoch() && !late; {
			if len(next.BeingSuperseded()) > 0 {
				if left := settling - a.cfg.Clock.Now(); a.hasCallsUnder(next.BeingSuperseded()) && left > 0 {
					settle := time.NewTimer(left)
					select {
					case <-a.unused:
					case <-settle.C:
					case <-pause.C:
						late = true
					case <-a.stop:
						late = true
					}
					settle.Stop()
					continue
				}
				old := g
				next, settling = next.Settled(), 0
				g = newGeneration(next)
				a.current.Store(g)
				old.release()
				older = append(older, old)
				if a.cfg.AliasesChanged != nil {
					a.cfg.AliasesChanged() // what is still under way is told now
				}
			}
			older = slices.DeleteFunc(older, (*generation).isIdle)
			i := slices.IndexFunc(older, func(o *generation) bool { return o.view.Epoch() < next.Epoch() || len(o.view.BeingSuperseded()) > 0 })
			if i < 0 {
				confirmed = next.Epoch()
				break
			}
			select {
			case <-older[i].idle:
			case <-pause.C:
				late = true
			case <-a.stop:
				late = true
			}
		}
		pause.Stop()
		older = slices.DeleteFunc(older, (*generation).isIdle)
	}
}

// hasCallsUnder tells whether a call runs under one of the targets.
func (a *Agent) hasCallsUnder(l map[registry.AliasName][]registry.Target) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for n, targets := range l {
		for _, t := range targets {
			if a.uses[aliasTarget{n, t}] > 0 {
				return true
			}
		}
	}
	return false
}

func (a *Agent) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-a.stop:
	}
}

func (a *Agent) newRequest(confirmed uint64, nonce string, nack *wire.ErrorDetail) *wire.Request {
	q := &wire.Request{VersionInfo: strconv.FormatUint(confirmed, 10), Node: wire.Node{ID: a.cfg.Node}, TypeURL: wire.TypeAlias,
		ResponseNonce: nonce, ErrorDetail: nack}
	a.mu.Lock()
	defer a.mu.Unlock()
	for u := range a.uses {
		if b := (registry.VersionRef{Model: u.Model, Version: u.Version}); !slices.Contains(q.Uses, b) && a.current.Load().view.MayAnswer(0, u.AliasName, u.Target) != registry.Allowed {
			q.Uses = append(q.Uses, b)
		}
	}
	for _, e := range a.endedCalls {
		q.CallsEnded = append(q.CallsEnded, e)
	}
	for s, n := range a.readyCopies {
		q.CopiesReady = append(q.CopiesReady, wire.CopiesReady{Model: s.model, Version: s.version, Worker: s.worker, Copies: n})
	}
	clear(a.endedCalls)
	clear(a.readyCopies)
	q.Staging = a.staged
	return q
}

// restoreReports takes back what a question that failed would have told. It may have been heard: counts can be doubled so,
// which costs a judgement of errors a little, never a rule.
func (a *Agent) restoreReports(q *wire.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range q.CallsEnded {
		b := registry.VersionRef{Model: e.Model, Version: e.Version}
		have := a.endedCalls[b]
		e.Calls, e.Errors = e.Calls+have.Calls, e.Errors+have.Errors
		a.endedCalls[b] = e
	}
	for _, s := range q.CopiesReady {
		k := copiesAt{s.Model, s.Version, s.Worker}
		if _, newer := a.readyCopies[k]; !newer {
			a.readyCopies[k] = s.Copies
		}
	}
}

func (a *Agent) poll(q *wire.Request, within time.Duration) (*wire.Response, bool, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, false, err
	}
	text, fresh, err := a.cfg.Client.Do(wire.DiscoveryPath, client.ID("poll"), nil, body, within)
	if err != nil {
		return nil, fresh, err
	}
	var r wire.Response
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fresh, fmt.Errorf("not a discovery response: %w", err)
	}
	return &r, fresh, nil
}

// parseResponse checks a response. An error is one of its content: it is not to be asked again as if it were lost.
func parseResponse(r *wire.Response) (registry.ViewUpdate, error) {
	t := registry.ViewUpdate{Since: r.Since, Condemned: r.Condemned, Settle: time.Duration(r.SettleMS * float64(time.Millisecond)), Targets: map[registry.AliasName]registry.Target{}, Lease: time.Duration(r.LeaseMS * float64(time.Millisecond))}
	var err error
	if t.Epoch, err = strconv.ParseUint(r.VersionInfo, 10, 64); err != nil {
		return t, fmt.Errorf("version_info: %q is no epoch", r.VersionInfo)
	}
	if r.TypeURL != wire.TypeAlias || t.Lease <= 0 {
		return t, errors.New("not a response about aliases with a lease")
	}
	for i, x := range r.Resources {
		n := registry.AliasName{Model: x.Model, Alias: x.Alias}
		if _, twice := t.Targets[n]; twice || x.Type != wire.TypeAlias || x.Model == "" || x.Alias == "" || x.Revision == 0 {
			return t, fmt.Errorf("resources[%d]: %s of %s: twice, or not an alias", i, x.Alias, x.Model)
		}
		t.Targets[n] = registry.Target{Version: x.Version, Digest: x.Digest, Revision: x.Revision}
	}
	for _, m := range r.Stale {
		if t.Stale == nil {
			t.Stale = map[string]bool{}
		}
		t.Stale[m] = true
	}
	return t, nil
}

func (a *Agent) setStaged(l []wire.Stage) {
	a.mu.Lock()
	a.staged = l
	a.mu.Unlock()
	if len(l) > 0 && a.cfg.Stage != nil {
		a.cfg.Stage(l)
	}
}
