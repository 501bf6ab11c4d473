package agent

import (
	"sync/atomic"

	"kitehub/internal/registry"
)

// A Ticket is held for one answer while it is being written: see Agent.BeginAnswer.
type Ticket struct{ generation *generation }

// A generation is one immutable view with a count of references to it: one for each Ticket, and one
// while it is the current generation. A generation without references is idle and stays so.
type generation struct {
	view       registry.View
	references atomic.Int64
	idle       chan struct{} // closed when references reaches 0
}

// newGeneration returns a generation with one reference, for being the current one.
func newGeneration(view registry.View) *generation {
	g := &generation{view: view, idle: make(chan struct{})}
	g.references.Store(1)
	return g
}

// acquire adds a reference, or returns false if no reference is left.
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

// release drops a reference.
func (g *generation) release() {
	if g.references.Add(-1) == 0 {
		close(g.idle)
	}
}

// isIdle reports whether no reference is left.
func (g *generation) isIdle() bool {
	select {
	case <-g.idle:
		return true
	default:
		return false
	}
}
