package overload

import (
	"syscall"
	"time"

	"kitehub/internal/clock"
)

const (
	// maxTurn is the cost after which a turn should end, so that others get theirs.
	maxTurn = time.Millisecond
	// maxTurnCost bounds what is counted of a turn: it may contain a stop of the process.
	maxTurnCost = 4 * maxTurn
)

// A Gate gives turns to clients that send faster than others, in the order in which they come. It is
// safe for concurrent use.
type Gate struct {
	clock   clock.Clock
	cpuTime func() time.Duration // of the process so far
	turn    chan struct{}        // holds a value while somebody has the turn, who owns the fields below
	share   shareControl
	opensAt time.Duration
}

// NewGate returns the gate of a process that may use a number of processors, which may be a
// fraction.
func NewGate(clock clock.Clock, cores float64) *Gate {
	return &Gate{clock: clock, cpuTime: processCPUTime, turn: make(chan struct{}, 1), share: newShareControl(cores)}
}

// processCPUTime returns the processor time that the process has used, or 0 if the system does not
// tell.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Now returns the time on the gate's clock, for a Meter.
func (g *Gate) Now() time.Duration { return g.clock.Now() }

// A Turn is the permission to do something that others wait for.
type Turn struct {
	gate    *Gate
	startAt time.Duration
	extra   time.Duration
}

// Enter waits for a turn, or until stop is closed; then it returns nil. Leave must be called on the
// turn, and its holder must not wait for its client before.
func (g *Gate) Enter(stop <-chan struct{}) *Turn {
	select {
	case g.turn <- struct{}{}:
	case <-stop:
		return nil
	}
	now := g.clock.Now()
	if g.share.due(now) {
		g.share.sample(now, g.cpuTime())
	}
	if wait := g.opensAt - now; wait > 0 {
		time.Sleep(wait)
	}
	return &Turn{gate: g, startAt: g.clock.Now()}
}

// Pass waits for a turn of some cost that is used afterwards, without holding the turn.
func (g *Gate) Pass(cost time.Duration) {
	turn := g.Enter(nil)
	turn.Charge(cost)
	turn.Leave()
}

// Charge adds processor time to the cost of the turn that is used for it elsewhere.
func (t *Turn) Charge(cost time.Duration) { t.extra += cost }

// Over reports whether the turn has cost as much as it should.
func (t *Turn) Over() bool { return t.cost(t.gate.clock.Now()) >= maxTurn }

func (t *Turn) cost(now time.Duration) time.Duration {
	return min(now-t.startAt, maxTurnCost) + t.extra
}

// Leave ends the turn. The gate stays closed for as long as its cost takes of the share.
func (t *Turn) Leave() {
	g := t.gate
	now := g.clock.Now()
	g.opensAt = now + g.share.pause(t.cost(now))
	<-g.turn
}
