package msgpackrpc

import (
	"sync/atomic"
	"time"

	"kitehub/internal/overload"
)

// What clients may do without waiting for others, and what a request costs beyond its reading.
const (
	freeMessageRate = 100.0                  // messages a second
	freeMessages    = 16                     // messages at once
	bytesPerMessage = 4 << 10                // a message with a body counts as one more for each of these
	requestCost     = 200 * time.Microsecond // of a request that is submitted: decision, attempt, answer
)

// A pacer lets a connection that sends faster than others read in turns with those that do, too.
// Only the reading goroutine uses it.
type pacer struct {
	gate  *overload.Gate
	meter overload.Meter
	turn  *overload.Turn // nil: the connection is not in a turn
	stop  chan struct{}  // closed to end a wait for a turn
	// pacedAt is when the connection last sent too fast, in nanoseconds; 0: never. Any goroutine may
	// read it.
	pacedAt atomic.Int64
}

func newPacer(gate *overload.Gate) *pacer {
	return &pacer{gate: gate, meter: overload.NewMeter(freeMessageRate, freeMessages), stop: make(chan struct{})}
}

// beforeMessage is called before a message is read. It waits if the connection sends too fast and has not
// been stopped.
func (p *pacer) beforeMessage(now time.Duration) {
	if p.turn != nil && p.turn.Over() {
		p.pause()
	}
	if !p.meter.Take(now) {
		p.pacedAt.Store(int64(now))
		if p.turn == nil {
			p.turn = p.gate.Enter(p.stop)
		}
	}
}

// stopped reports whether stop is closed.
func (p *pacer) stopped() bool {
	select {
	case <-p.stop:
		return true
	default:
		return false
	}
}

// bodyRead is called when a body has been read.
func (p *pacer) bodyRead(bytes int) { p.meter.Charge(float64(bytes) / bytesPerMessage) }

// submitted is called for each request that is submitted.
func (p *pacer) submitted() {
	if p.turn != nil {
		p.turn.Charge(requestCost)
	}
}

// pause ends the turn, if the connection is in one. It must be called before the reading goroutine
// waits for anything.
func (p *pacer) pause() {
	if p.turn != nil {
		p.turn.Leave()
		p.turn = nil
	}
}
