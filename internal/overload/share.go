package overload

import "time"

const (
	// busyUsage is the fraction of its processor time from which the process counts as busy.
	busyUsage = 0.7
	// minShareFraction is the smallest share, as a fraction of all processor time: who sends too fast
	// still learns that it is refused.
	minShareFraction = 1.0 / 8
	// shareDecrease and shareIncrease multiply the share after each sample.
	shareDecrease = 0.5
	shareIncrease = 1.25
	// samplePeriod is the time between two samples.
	samplePeriod = 20 * time.Millisecond
	// maxSamplePeriod is the time after which a sample tells nothing of the present load.
	maxSamplePeriod = time.Second
)

// A shareControl sets the share of the processor for clients that send too fast, by how much of its
// processor time the process uses. It raises and lowers the share by factors.
type shareControl struct {
	cores     float64 // processors that the process may use; may be a fraction
	share     float64 // processors for clients that send too fast
	sampledAt time.Duration
	used      time.Duration // processor time used until then
}

func newShareControl(cores float64) shareControl { return shareControl{cores: cores, share: cores} }

// due reports whether a sample is due.
func (s *shareControl) due(now time.Duration) bool { return now-s.sampledAt >= samplePeriod }

// sample takes in the processor time that the process has used so far.
func (s *shareControl) sample(now, used time.Duration) {
	elapsed := now - s.sampledAt
	usage := (used - s.used).Seconds() / (elapsed.Seconds() * s.cores)
	s.sampledAt = now
	s.used = used
	switch {
	case elapsed > maxSamplePeriod:
		s.share = s.cores
	case usage >= busyUsage:
		s.share = max(minShareFraction*s.cores, shareDecrease*s.share)
	default:
		s.share = min(s.cores, shareIncrease*s.share)
	}
}

// pause returns for how long the gate stays closed after a turn of some cost.
func (s *shareControl) pause(cost time.Duration) time.Duration {
	return time.Duration(float64(cost) / s.share)
}
