package msgpackrpc

import (
	"fmt"
	"sync"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/overload"
)

// Lines of an eventLog.
const (
	eventLogRate  = 10.0 // lines a second
	eventLogBurst = 50.0
)

// An eventLog writes a line for each refused request and each connection that the server ends. Clients
// decide how many there are, so lines beyond a rate are omitted and counted. It is safe for concurrent
// use.
type eventLog struct {
	log   zerolog.Logger
	clock clock.Clock

	mu      sync.Mutex
	meter   overload.Meter
	omitted int // lines since the last one that was written
}

func newEventLog(log zerolog.Logger, clock clock.Clock) *eventLog {
	return &eventLog{log: log, clock: clock, meter: overload.NewMeter(eventLogRate, eventLogBurst)}
}

// event returns a line, or nil if it is to be omitted; the methods of a nil line do nothing.
func (l *eventLog) event() *zerolog.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.meter.Take(l.clock.Now()) {
		l.omitted++
		return nil
	}
	line := l.log.Info()
	if l.omitted > 0 {
		line = line.Int("omitted", l.omitted)
	}
	l.omitted = 0
	return line
}

// refused logs a request that is answered without being submitted.
func (l *eventLog) refused(c *conn, txn uint64, reason string) {
	l.event().Uint64("conn", c.number).Str("id", fmt.Sprintf("%016x", txn)).Str("reason", reason).Msg("request refused")
}

// closed logs a connection that the server ends.
func (l *eventLog) closed(c *conn, cause endCause, cancelled int) {
	now := l.clock.Now()
	activity := c.activity()
	l.event().Uint64("conn", c.number).Stringer("client", c.RemoteAddr()).Str("cause", cause.String()).
		Dur("age", now-c.acceptedAt).Dur("silent", now-activity.lastActivity).Bool("sent_message", activity.sentMessage).
		Int("cancelled", cancelled).Msg("connection closed")
}
