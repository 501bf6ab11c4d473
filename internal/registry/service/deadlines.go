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

// commitDue commits what is due now and returns how long nothing else will be due. After a commit
// that fails it is to be called again after Config.LongPoll.
func (s *Service) commitDue() (wait time.Duration) {
	commands, wait := s.due(s.now())
	for _, c := range commands {
		if _, err := s.Commit(c); err != nil {
			return s.cfg.LongPoll
		}
	}
	return wait
}

// due returns the commands that are due now, in their order, and how long no others will be.
func (s *Service) due(now time.Duration) (commands []registry.Command, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait = maxIdle
	waitUntil := func(at time.Duration) {
		if at > 0 {
			wait = min(wait, max(0, at-now))
		}
	}
	latest := s.state.Epoch
	if epoch := min(s.leases.StaleConfirmedEpoch(now), latest); s.state.AwaitsStale(epoch) {
		commands = append(commands, registry.StaleEnded{Epoch: epoch})
	}
	if s.state.AwaitsStale(latest) {
		waitUntil(s.leases.NextStaleExpiry(now))
	}
	if epoch := min(s.leases.ConfirmedEpoch(now), latest); epoch > s.state.ConfirmedEpoch {
		commands = append(commands, registry.EpochConfirmed{Epoch: epoch})
	}
	waitUntil(s.leases.NextExpiry(now))
	if deadline := s.state.NextDeadline(); deadline > 0 && deadline <= now {
		commands = append(commands, registry.Tick{})
	} else {
		waitUntil(deadline)
	}
	return commands, wait
}

// wakeDeadlineLoop makes deadlineLoop check what is due. It does not wait for the check.
func (s *Service) wakeDeadlineLoop() {
	select {
	case s.deadlineChanged <- struct{}{}:
	default: // a signal is already pending
	}
}
