// Package clock is the only source of time in the program, so that the packages that use it can
// also run in virtual time.
package clock

import (
	"sync"
	"time"
)

// A Clock tells the time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns a monotonic time. It counts from 1970 and starts at the wall time at which the
	// clock was created, so that clocks of one machine nearly agree, and a worker that started
	// before this process still has a positive start time.
	Now() time.Duration
	// Wall returns the wall time, which may jump forward or backward.
	Wall() time.Time
}

type system struct{ base time.Time }

// System returns the clock of the operating system.
func System() Clock { return system{time.Now()} }

func (s system) Now() time.Duration {
	return time.Duration(s.base.UnixNano()) + time.Since(s.base)
}

func (s system) Wall() time.Time { return time.Now() }

// Manual is a clock for tests, which advances only when it is told to.
type Manual struct {
	mu   sync.Mutex
	now  time.Duration
	wall time.Time
}

// NewManual returns a clock that is set to the given wall time.
func NewManual(at time.Time) *Manual {
	return &Manual{now: time.Duration(at.UnixNano()), wall: at}
}

// Now implements Clock.
func (m *Manual) Now() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Wall implements Clock.
func (m *Manual) Wall() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wall
}

// Advance moves both the monotonic time and the wall time forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now, m.wall = m.now+d, m.wall.Add(d)
}

// SetWall sets the wall time. The monotonic time does not change.
func (m *Manual) SetWall(t time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wall = t
}
