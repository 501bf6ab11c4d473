package overload

import (
	"runtime"
	"sync"
	"time"
)

const (
	// beatInterval is the time between two beats of a LagMonitor.
	beatInterval = 20 * time.Millisecond
	// lateBeat is the time between two beats from which the process counts as late.
	lateBeat = 2 * beatInterval
)

// A LagMonitor tells how late the process is, as it is stopped, waits for a processor or has too much to
// do: a goroutine wakes up at intervals, and how late it does shows how late all others do. It is safe for
// concurrent use.
type LagMonitor struct {
	mu       sync.Mutex
	previous time.Time // beat before the last one
	last     time.Time
}

// NewLagMonitor returns a monitor, which runs until stop is closed.
func NewLagMonitor(stop <-chan struct{}) *LagMonitor {
	now := time.Now()
	m := &LagMonitor{previous: now, last: now}
	go m.run(stop)
	return m
}

func (m *LagMonitor) run(stop <-chan struct{}) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			now := time.Now()
			runtime.Gosched() // what could run before this beat runs before the beat counts
			m.beat(now)
		}
	}
}

func (m *LagMonitor) beat(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.previous = m.last
	m.last = now
}

// OnTimeUntil returns until when the process has been on time: what has happened before that has been
// seen. If the process is on time, that is now.
func (m *LagMonitor) OnTimeUntil(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.last) <= lateBeat && m.last.Sub(m.previous) <= lateBeat {
		return now
	}
	return m.previous
}
