// Package agent is a controller's side of the registry: it keeps a registry.View up to date by long
// polling, and admits each answer that the controller is about to write.
//
// # Why answers are admitted
//
// The registry acknowledges a migration once every controller has confirmed its epoch, and no
// answer may be written under an older epoch from then on. A check before each write is not enough,
// as the epoch could be confirmed between the check and the write. So a write holds a Ticket of the
// view that admitted it, from BeginAnswer to EndAnswer, and an epoch is confirmed only once the
// tickets of all older views are returned. A write must also end before the deadline that
// BeginAnswer returns, which is the end of the lease, or of the permission to answer without one, as
// the registry does not wait for a controller any longer.
//
// # Concurrency
//
// All exported methods of an Agent may be called concurrently, and only Stop waits for the network.
// One goroutine polls, from Start to Stop; it alone replaces the view and calls the functions of
// Config, except OnStart.
package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/registry"
	"kitehub/internal/registry/client"
	"kitehub/internal/registry/wire"
)

// Config configures an Agent. Its functions must not block, as the lease is not renewed in the
// meantime.
type Config struct {
	Client *client.Client // used by the agent alone; Stop closes it
	Node   string         // the controller's name, under which it holds its lease
	Clock  clock.Clock
	Log    zerolog.Logger
	// OnAliasesChanged, if set, is called when calls may have been superseded: after a view of a
	// new epoch was installed, and once calls under superseded targets may no longer be answered.
	OnAliasesChanged func()
	// OnStage, if set, is called after each response of the registry with the versions of which
	// copies are to be loaded, until enough copies are ready.
	OnStage func([]wire.Stage)
	// OnStart, if set, is called by Start with the agent before the first poll.
	OnStart func(*Agent)
}

// An Agent holds a controller's view of the registry. It is safe for concurrent use.
type Agent struct {
	cfg     Config
	current atomic.Pointer[generation] // replaced only by the polling goroutine
	stop    chan struct{}
	polling sync.WaitGroup

	// PollsWithoutLease counts failed polls after which the lease had expired, and Nacks counts
	// responses of the registry that were rejected.
	PollsWithoutLease, Nacks atomic.Int64
	// StaleAnswers counts answers that were admitted without a lease, by the policy stale.
	StaleAnswers atomic.Int64

	reports reports
}

// Start begins to poll. No alias resolves before the first response.
func Start(cfg Config) *Agent {
	a := &Agent{cfg: cfg, stop: make(chan struct{}), reports: newReports()}
	a.current.Store(newGeneration(registry.View{}))
	if cfg.OnStart != nil {
		cfg.OnStart(a)
	}
	a.polling.Add(1)
	go func() {
		defer a.polling.Done()
		(&poller{agent: a, lease: firstPollTimeout}).run()
	}()
	return a
}

// Stop ends the polling and waits until it has ended. The view remains valid until its lease
// expires. Stop must be called only once.
func (a *Agent) Stop() {
	close(a.stop)
	a.cfg.Client.Close()
	a.polling.Wait()
}

// Resolve returns what an alias names now: see registry.View.Resolve. It costs one map lookup.
func (a *Agent) Resolve(alias registry.AliasName) (registry.Target, registry.Verdict) {
	return a.current.Load().view.Resolve(a.cfg.Clock.Now(), alias)
}

// MayAnswer reports whether an answer of a target would be admitted now. Only BeginAnswer admits
// it.
func (a *Agent) MayAnswer(alias registry.AliasName, target registry.Target) registry.Verdict {
	return a.current.Load().view.MayAnswer(a.cfg.Clock.Now(), alias, target)
}

// BeginAnswer admits the answer of a call under a target, or returns the verdict against it. If the
// verdict is registry.Allowed, the answer may be written until the returned deadline, by
// Config.Clock, and EndAnswer must be called once the answer is written or abandoned.
func (a *Agent) BeginAnswer(alias registry.AliasName, target registry.Target) (Ticket, time.Duration, registry.Verdict) {
	g := a.acquireCurrent()
	now := a.cfg.Clock.Now()
	verdict := g.view.MayAnswer(now, alias, target)
	if verdict != registry.Allowed && verdict != registry.BeingSuperseded {
		g.release()
		return Ticket{}, 0, verdict
	}
	if now >= g.view.LeaseEnd() {
		a.StaleAnswers.Add(1)
	}
	return Ticket{g}, g.view.AnswerEnd(alias, target), registry.Allowed
}

// Knowledge returns the epoch of the current view, and how long its lease has ended; 0 while the
// agent holds a lease.
func (a *Agent) Knowledge() (epoch uint64, withoutLease time.Duration) {
	view := &a.current.Load().view
	return view.Epoch(), max(0, a.cfg.Clock.Now()-view.LeaseEnd())
}

// EndAnswer says that the answer of a ticket was written or never will be.
func (a *Agent) EndAnswer(ticket Ticket) { ticket.generation.release() }

// acquireCurrent returns the current generation with a reference to it.
func (a *Agent) acquireCurrent() *generation {
	for {
		if g := a.current.Load(); g.acquire() {
			return g
		} // otherwise a newer generation has replaced it
	}
}
