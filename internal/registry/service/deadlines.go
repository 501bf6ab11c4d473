package service

import (
	"time"

	"kitehub/internal/registry"
)

// maxIdle bounds how long deadlineLoop waits if nothing is due.
const maxIdle = time.Hour

// deadlineLoop commits what the passage of time or a renewed lease causes, until the service is
// closed: the confirmation of an epoch when no controller can act under an older one any more, and
// steps of migrations that are due.
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

// commitDue commits what is due now and returns how long nothing else will be due. A commit that
// fails is retried after Config.LongPoll.
func (s *Service) commitDue() (wait time.Duration) {
	now := s.now()
	s.mu.Lock()
	epoch := min(s.leases.ConfirmedEpoch(now), s.state.Epoch)
	confirmed := s.state.ConfirmedEpoch
	deadline := s.state.NextDeadline()
	expiry := s.leases.NextExpiry(now)
	staleEpoch := min(s.leases.StaleConfirmedEpoch(now), s.state.Epoch)
	staleEnded := s.state.AwaitsStale(staleEpoch)
	staleExpiry := time.Duration(0)
	if s.state.AwaitsStale(s.state.Epoch) {
		staleExpiry = s.leases.NextStaleExpiry(now)
	}
	s.mu.Unlock()
	var err error
	if staleEnded {
		_, err = s.Commit(registry.StaleEnded{Epoch: staleEpoch})
	}
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
	for _, at := range []time.Duration{deadline, expiry, staleExpiry} {
		if at > 0 {
			wait = min(wait, max(0, at-now))
		}
	}
	return wait
}

// wakeDeadlineLoop makes deadlineLoop check what is due. It does not wait for the check.
func (s *Service) wakeDeadlineLoop() {
	select {
	case s.deadlineChanged <- struct{}{}:
	default: // a signal is already pending
	}
}
