package gateway

import (
	"time"

	"kitehub/scheduler"
)

const (
	// minClockStep is the smallest change between the two clocks that counts as a step of the time
	// of day; smaller ones are drift.
	minClockStep = time.Second
	// maxClockOffsets bounds the offsets that are kept.
	maxClockOffsets = 8
)

// startTimes converts the times of day at which workers started to the gateway's clock.
//
// The time of day of this machine may be stepped, and may have been wrong before or be wrong after
// the step. So the offset between the clocks is kept as it was before and after each step. A worker
// counts as started at the latest time that any of them gives and that is not in the future: the
// later a worker has started, the less it is sent. The result does not change while the worker is
// listed.
type startTimes struct {
	offsets []time.Duration // the gateway's clock minus the time of day, oldest first
	known   map[scheduler.WorkerID]startTime
}

// A startTime is a worker's start on both clocks.
type startTime struct {
	timeOfDay time.Time
	at        time.Duration
}

// observe records the present offset between the clocks.
func (s *startTimes) observe(now time.Duration, timeOfDay time.Time) {
	offset := now - time.Duration(timeOfDay.UnixNano())
	if n := len(s.offsets); n > 0 && (offset-s.offsets[n-1]).Abs() < minClockStep {
		s.offsets[n-1] = offset
		return
	}
	if len(s.offsets) == maxClockOffsets {
		s.offsets = s.offsets[1:]
	}
	s.offsets = append(s.offsets, offset)
}

// convertAll converts the start times of all listed workers, and forgets the others.
func (s *startTimes) convertAll(workers map[scheduler.WorkerID]Worker, now time.Duration) {
	previous := s.known
	s.known = make(map[scheduler.WorkerID]startTime, len(workers))
	for id, w := range workers {
		if w.Started.IsZero() {
			continue
		}
		start, known := previous[id]
		if !known || !start.timeOfDay.Equal(w.Started) {
			start = startTime{timeOfDay: w.Started, at: s.convert(w.Started, now)}
		}
		s.known[id] = start
	}
}

// convert returns a time of day on the gateway's clock.
func (s *startTimes) convert(timeOfDay time.Time, now time.Duration) time.Duration {
	latest := time.Duration(-1)
	for _, offset := range s.offsets {
		if at := time.Duration(timeOfDay.UnixNano()) + offset; at <= now {
			latest = max(latest, at)
		}
	}
	if latest < 0 { // in the future by all of them
		latest = now
	}
	return max(1, latest)
}

// at returns when a listed worker started, on the gateway's clock; 0: long ago.
func (s *startTimes) at(id scheduler.WorkerID) time.Duration { return s.known[id].at }
