package registry

import "time"

// StaleEnded says that no controller can act under an epoch older than this one any more, even
// without a lease, as determined by Leases.StaleConfirmedEpoch. It puts the policies in force that
// were taken back up to this epoch.
type StaleEnded struct {
	Epoch uint64 `json:"Epoch"`
}

func (c StaleEnded) apply(s *State, _ time.Duration) (effects []Effect, err error) {
	if err := s.checkEpoch(c.Epoch); err != nil {
		return nil, err
	}
	for _, m := range sortedByName(s.Models) {
		if m.FreshEpoch > 0 && m.FreshEpoch <= c.Epoch {
			m.FreshEpoch = 0
			effects = append(effects, PolicyInForce{m.Name})
		}
	}
	for i := range s.Fences {
		if s.Fences[i].Epoch <= c.Epoch {
			s.Fences[i].AwaitsStale = false
		}
	}
	return effects, nil
}

// AwaitsStale reports whether a StaleEnded of this epoch would change anything.
func (s *State) AwaitsStale(epoch uint64) bool {
	for _, m := range s.Models {
		if m.FreshEpoch > 0 && m.FreshEpoch <= epoch {
			return true
		}
	}
	for _, f := range s.Fences {
		if f.AwaitsStale && f.Epoch <= epoch {
			return true
		}
	}
	return false
}

// mayBeStale reports whether controllers without a lease may answer for a model.
func (s *State) mayBeStale(m *Model) bool {
	return s.Settings.StaleDuration > 0 && (m.AllowStale || m.FreshEpoch > 0)
}

// awaitsControllersWithoutLease reports whether a fence waits for controllers that have no lease.
func (s *State) awaitsControllersWithoutLease(f Fence) bool {
	return f.AwaitsStale || s.Models[f.Model].FreshEpoch > 0
}
