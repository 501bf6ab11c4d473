package scheduler

import "time"

const (
	// ewmaWeight is the weight of a new sample in a mean, which follows a change within about five
	// samples.
	ewmaWeight = 0.2
	// maxSampleMultiple caps a sample at this multiple of the mean, so that one rare long run does
	// not dominate the mean.
	maxSampleMultiple = 4.0
	// jitter is the fraction by which a duration is varied, so that controllers or clients that saw
	// the same event do not act at the same time.
	jitter = 0.5
)

// Decisions have to be the same on every processor, so that a recorded run can be compared anywhere.
// On some architectures, arm64 among them, the compiler fuses a product and a sum into one
// instruction, which rounds once instead of twice. An explicit conversion of the product,
// float64(x*y) + z, rounds it and prevents that; where products are not fused it changes nothing. It
// is needed wherever the package adds to a product or subtracts from or with one;
// .ci/fused-products.sh finds the places where it is missing.

// ewma returns an exponentially weighted moving average after a new sample. An average of 0 has no
// sample yet.
func ewma(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	capped := min(sample, float64(maxSampleMultiple*old))
	return old + float64(ewmaWeight*(capped-old))
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// mix hashes a number with the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps a hash to [0, 1).
func unitInterval(x uint64) float64 { return float64(x>>11) / (1 << 53) }
