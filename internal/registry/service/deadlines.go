package service

import (
	"time"

	"kitehub/internal/registry"
)

// maxIdle is how long deadlineLoop waits at most where nothing is due.
const maxIdle = time.Hour

// deadlineLoop commits what time alone or a renewed lease brings about, until the service is closed: the confirmation
// of an epoch by which no controller can act any more, and steps of migrations that are due.
func (s *Service) deadlineLoop() {
	defer s.deadlineDone.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-s.deadlineChanged:
		case <-timer.C:
		}
		timer.Reset(s.commitDue())
	}
}

// commitDue commits what is due now and returns how long nothing else will be. What cannot be committed is retried
// after Config.Hold.
func (s *Service) commitDue() (wait time.Duration) {
	now := s.now()
	s.mu.Lock()
	epoch := min(s.leases.ConfirmedEpoch(now), s.state.Epoch)
	confirmed := s.state.ConfirmedEpoch
	deadline := s.state.NextDeadline()
	expiry := s.leases.NextExpiry(now)
	s.mu.Unlock()
	var err error
	if epoch > confirmed {
		_, err = s.Commit(registry.EpochConfirmed{Epoch: epoch})
	}
	if deadline > 0 && deadline <= now {
		_, err = s.Commit(registry.Tick{})
		deadline = 0
	}
	if err != nil {
		return s.cfg.LongPoll
	}
	wait = maxIdle
	for _, at := range []time.Duration{deadline, expiry} {
		if at > 0 {
			wait = min(wait, max(0, at-now))
		}
	}
	return wait
}

// wakeDeadlineLoop makes deadlineLoop look again at what is due, without waiting for it.
func (s *Service) wakeDeadlineLoop() {
	select {
	case s.deadlineChanged <- struct{}{}:
	default: // a signal is pending already
	}
}
