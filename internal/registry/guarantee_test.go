package registry

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The fixed seed makes every run draw the same values. Pass -rapid.seed to explore others.
func init() { flag.Set("rapid.seed", "1") }

// After a migration is acknowledged, no controller returns an answer of a superseded target. This
// must hold when messages between controllers and the registry are lost, delayed or reordered, when
// clocks drift within the bound, and when processes restart.
func TestGuarantee(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGuaranteeModel(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			g.now += time.Duration(rapid.IntRange(0, 900).Draw(t, "dt")) * time.Millisecond
			c := g.controllers[rapid.IntRange(0, 2).Draw(t, "peer")]
			switch rapid.IntRange(0, 10).Draw(t, "what") {
			case 0, 1, 2:
				g.polls = append(g.polls, &poll{controller: c, sentAt: c.clock(g.now), epoch: c.confirmed})
			case 3, 4, 5, 6:
				g.deliver()
			case 7:
				g.disturb(c)
			case 8:
				g.migrate()
			case 9:
				g.apply(Policy{Model: guarded.Model, AllowStale: rapid.Bool().Draw(t, "stale")})
			default:
				g.apply(Tick{})
			}
			g.checkGuarantee()
		}
	})
}

// A guaranteeModel is a registry, its controllers, and the messages in flight between them.
type guaranteeModel struct {
	t           *rapid.T
	registry    *testRegistry
	settings    Settings
	now         time.Duration // by the registry's clock
	controllers []*controllerModel
	polls       []*poll // in flight

	pending      map[uint64][]Target // targets superseded by a migration that is not acknowledged
	unpromised   map[Target]bool     // superseded by a migration acknowledged while the policy was stale
	acknowledged map[Target]bool     // targets superseded by an acknowledged migration
}

// A controllerModel is a controller whose clock has its own rate and offset.
type controllerModel struct {
	name      string
	view      View
	confirmed uint64 // epoch
	rate      float64
	offset    time.Duration
}

// clock returns the controller's time at a time of the registry.
func (c *controllerModel) clock(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

// A poll is a request in flight to the registry, or its response in flight to the controller.
type poll struct {
	controller *controllerModel
	sentAt     time.Duration // by the controller's clock
	epoch      uint64        // confirmed by the request
	response   *ViewUpdate   // nil: the registry has not received the request
}

// guarded is the alias that migrates.
var guarded = AliasName{"m", "current"}

func newGuaranteeModel(t *rapid.T) *guaranteeModel {
	settings := settings
	settings.MaxClockDrift = 0.3 // large, so that code that ignores the drift fails the test
	r, err := newTestRegistry(settings)
	if err != nil {
		t.Fatal(err)
	}
	g := &guaranteeModel{
		t:            t,
		registry:     r,
		settings:     settings,
		pending:      map[uint64][]Target{},
		unpromised:   map[Target]bool{},
		acknowledged: map[Target]bool{},
	}
	for i := range 3 {
		rate := rapid.Float64Range(1-settings.MaxClockDrift, 1+settings.MaxClockDrift).Draw(t, "rate")
		if rapid.IntRange(0, 2).Draw(t, "worst") == 0 {
			rate = 1 - settings.MaxClockDrift
		}
		offset := time.Duration(i+1) * time.Hour
		g.controllers = append(g.controllers, &controllerModel{name: fmt.Sprint("c", i), rate: rate, offset: offset})
	}
	for i, v := range []string{"v1", "v2", "v3"} {
		if _, err := r.state.Apply(0, push(v, fmt.Sprint(i+1))); err != nil {
			t.Fatal(err)
		}
	}
	return g
}

// apply applies a command and records which targets it supersedes and which migrations it
// acknowledges.
func (g *guaranteeModel) apply(c Command) {
	state := g.registry.state
	before := state.ViewSince(0).Targets[guarded]
	effects, err := g.registry.apply(g.now, c)
	if err != nil {
		return
	}
	after := state.ViewSince(0).Targets[guarded]
	if before != after && before.Version != "" {
		g.pending[state.LastMigration] = append(g.pending[state.LastMigration], before)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case Acknowledged:
			g.acknowledge(e.Migration)
		case PolicyInForce:
			maps.Copy(g.acknowledged, g.unpromised)
			clear(g.unpromised)
		}
	}
}

// acknowledge records that a migration and all earlier ones are acknowledged. While the policy is
// stale, controllers without a lease may go on answering under the targets that they superseded.
func (g *guaranteeModel) acknowledge(migration uint64) {
	for id, targets := range g.pending {
		if id > migration {
			continue
		}
		for _, target := range targets {
			if g.registry.state.Models[guarded.Model].AllowStale {
				g.unpromised[target] = true
			} else {
				g.acknowledged[target] = true
			}
		}
		delete(g.pending, id)
	}
}

// deliver delivers a random message in flight: a request to the registry, or a response to its
// controller.
func (g *guaranteeModel) deliver() {
	if len(g.polls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(g.polls)-1).Draw(g.t, "which")
	p := g.polls[i]
	if p.response == nil {
		g.apply(renew{p.controller.name, p.epoch})
		response := g.registry.state.ViewSince(p.epoch)
		p.response = &response
		return
	}
	c := p.controller
	c.view.Update(p.sentAt, c.clock(g.now), *p.response)
	// Otherwise calls continue, and the controller does not confirm the epoch.
	if rapid.IntRange(0, 2).Draw(g.t, "settle") > 0 {
		c.view = c.view.Settled()
		c.confirmed = c.view.Epoch()
	}
	g.polls = slices.Delete(g.polls, i, i+1)
}

// disturb lets a controller's clock jump, restarts the controller, or loses the oldest message.
func (g *guaranteeModel) disturb(c *controllerModel) {
	if rapid.IntRange(0, 3).Draw(g.t, "jump") == 0 {
		// The machine was suspended, and the clock counts that time.
		c.offset += time.Duration(rapid.IntRange(0, 10_000).Draw(g.t, "slept")) * time.Millisecond
		return
	}
	if rapid.Bool().Draw(g.t, "anew") {
		c.view = View{}
		c.confirmed = 0
		g.polls = slices.DeleteFunc(g.polls, func(p *poll) bool { return p.controller == c })
		return
	}
	if len(g.polls) > 0 {
		g.polls = g.polls[1:]
	}
}

// migrate starts a migration, sometimes with a wrong revision and sometimes after a restart of the
// registry.
func (g *guaranteeModel) migrate() {
	if rapid.IntRange(0, 9).Draw(g.t, "restart") == 0 { // the leases are lost with the process
		g.restart()
	}
	var revision uint64
	if m := g.registry.state.Models[guarded.Model]; m != nil {
		revision = revisionOf(m.Aliases[guarded.Alias])
	}
	to := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(g.t, "to")
	off := uint64(rapid.IntRange(0, 1).Draw(g.t, "off"))
	g.apply(Promote{Model: guarded.Model, Alias: guarded.Alias, To: to, IfRevision: revision + off})
}

// restart starts the registry anew, sometimes with a longer or shorter time of answers without a
// lease.
func (g *guaranteeModel) restart() {
	settings := g.registry.state.Settings
	settings.StaleDuration = time.Duration(rapid.IntRange(1, 10).Draw(g.t, "stale time")) * sec
	g.apply(ChangeSettings{settings})
	g.registry.leases = NewLeases(g.registry.state, g.now, false)
}

// checkGuarantee fails the test if a controller would return an answer of a target that an
// acknowledged migration superseded.
func (g *guaranteeModel) checkGuarantee() {
	for i, c := range g.controllers {
		for target := range g.acknowledged {
			verdict := c.view.MayAnswer(c.clock(g.now), guarded, target)
			if verdict == Allowed || verdict == BeingSuperseded {
				g.t.Fatalf("at %v controller %d would answer under %v, which an acknowledged migration superseded", g.now, i, target)
			}
		}
	}
}
