package scheduler

import "time"

const (
	// ewmaWeight is the weight of a new sample in its mean: it follows a change within some five samples.
	ewmaWeight = 0.2
	// maxMeanMultiple is how many times its mean a sample counts at most: one rare long run is not the rule.
	maxMeanMultiple = 4.0
	// jitter is the part of a time by which it is varied, so that those who saw the same do not act in step.
	jitter = 0.5
)

// ewma returns an exponentially weighted ewma with a new sample. A ewma of 0 has no sample yet.
func ewma(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + ewmaWeight*(min(sample, maxMeanMultiple*old)-old)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// mix spreads the bits of a number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps a number to [0, 1).
func unitInterval(x uint64) float64 { return float64(x>>11) / (1 << 53) }
