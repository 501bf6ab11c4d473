package registry

import "time"

// ChangeSettings replaces the settings. It is part of the log like every other command, so that
// each command is applied at recovery under the settings under which it was decided.
type ChangeSettings struct{ Settings }

func (c ChangeSettings) apply(s *State, now time.Duration) ([]Effect, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	s.extendEarlierLeases(c.Settings, now)
	s.Settings = c.Settings
	s.IdempotencyKeys = keepNewest(s.IdempotencyKeys, s.Settings.MaxRemembered)
	s.History = keepNewest(s.History, s.Settings.MaxRemembered)
	return nil, nil
}

// extendEarlierLeases sets EarlierLeasesUntil and EarlierStaleUntil if what was granted until now may
// outlast what next permits. Of the two bounds on clock drift the larger one counts.
func (s *State) extendEarlierLeases(next Settings, now time.Duration) {
	earlier := s.Settings
	earlier.MaxClockDrift = max(earlier.MaxClockDrift, next.MaxClockDrift)
	if ttl := earlier.leaseTTL(); ttl > next.leaseTTL() {
		s.EarlierLeasesUntil = max(s.EarlierLeasesUntil, now+ttl)
	}
	if ttl := earlier.staleTTL(); ttl > next.staleTTL() {
		s.EarlierStaleUntil = max(s.EarlierStaleUntil, now+ttl)
	}
}
