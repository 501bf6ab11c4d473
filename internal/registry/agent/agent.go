// Package agent is a controller's side of the registry: it keeps a registry.View up to date by a long poll, and
// admits each answer that the controller is about to write.
//
// # Why answers are admitted
//
// The registry acknowledges a migration once every controller has confirmed its epoch, and nothing may go out under
// an older one from then on. A check before each write is not enough for that: the epoch could be confirmed between
// the check and the write. So a write holds a Ticket of the view that admitted it, from Begin to End, and an epoch
// is confirmed only once the tickets of all older views are back. A write must also end with the lease, at the time
// that Begin returns, as the registry does not wait for a controller beyond it.
//
// # Concurrency
//
// All exported methods of an Agent may be called concurrently, and none waits for the network but Stop. One goroutine
// polls, from Start to Stop; it alone replaces the view, and calls the functions of Config except Ready.
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

// Config sets up an Agent. Its functions must not block: the lease is not renewed meanwhile.
type Config struct {
	Client *client.Client // of the agent alone; Stop closes it
	Node   string         // the controller's name, under which it holds its lease
	Clock  clock.Clock
	Log    zerolog.Logger
	// OnAliasesChanged, where set, is called when calls may have been superseded: after a view of a new epoch was
	// taken, and after calls under superseded targets have had their time.
	OnAliasesChanged func()
	// OnStage, where set, is called with the versions of which copies are to be loaded, with each response of the
	// registry until they are ready.
	OnStage func([]wire.Stage)
	// OnStart, where set, is called by Start with the agent before the first poll.
	OnStart func(*Agent)
}

// An Agent holds a controller's view of the registry. It is safe for concurrent use.
type Agent struct {
	cfg     Config
	current atomic.Pointer[generation] // replaced by the polling goroutine only
	stop    chan struct{}
	polling sync.WaitGroup

	// PollsWithoutLease counts failed polls that found the lease expired, Nacks responses of the registry that were rejected.
	PollsWithoutLease, Nacks atomic.Int64

	reports reports
}

// Start begins to poll. Until the first response no alias resolves.
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

// Stop ends the polling and waits for it. The view holds until its lease expires. Stop must be called once.
func (a *Agent) Stop() {
	close(a.stop)
	a.cfg.Client.Close()
	a.polling.Wait()
}

// Resolve returns what an alias names now: see registry.View.Resolve. It costs one look-up.
func (a *Agent) Resolve(n registry.AliasName) (registry.Target, registry.Verdict) {
	return a.current.Load().view.Resolve(a.cfg.Clock.Now(), n)
}

// MayAnswer tells whether an answer of a target would be admitted now. Only Begin admits it.
func (a *Agent) MayAnswer(n registry.AliasName, t registry.Target) registry.Verdict {
	return a.current.Load().view.MayAnswer(a.cfg.Clock.Now(), n, t)
}

// BeginAnswer admits the answer of a call under a target, or returns the verdict against it. Where the verdict is
// registry.Allowed the answer may be written until the time returned, by Config.Clock (0: for any time), and End
// must be called once it is written or given up.
func (a *Agent) BeginAnswer(n registry.AliasName, t registry.Target) (Ticket, time.Duration, registry.Verdict) {
	g := a.acquireCurrent()
	verdict := g.view.MayAnswer(a.cfg.Clock.Now(), n, t)
	if verdict != registry.Allowed && verdict != registry.BeingSuperseded {
		g.release()
		return Ticket{}, 0, verdict
	}
	until := g.view.LeaseEnd()
	if verdict == registry.Allowed && g.view.AllowsStale(n.Model) {
		until = 0
	}
	return Ticket{g}, until, registry.Allowed
}

// EndAnswer says that the answer of a ticket has been written, or never will be.
func (a *Agent) EndAnswer(t Ticket) { t.generation.release() }

// acquireCurrent returns the current generation with a reference to it.
func (a *Agent) acquireCurrent() *generation {
	for {
		if g := a.current.Load(); g.acquire() {
			return g
		} // else a newer one has replaced it
	}
}
