package scheduler

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// admissionIncrease is added to the admitted fraction for each request answered on time.
	admissionIncrease = 0.02
	// admissionDecrease multiplies the fraction for each request that was not. Together with the increase it
	// is in balance where some three in ten requests are late.
	admissionDecrease = 0.95
	// minAdmittedFraction is the least that is admitted: enough to notice that an overload has ended.
	minAdmittedFraction = 0.05
	// clientRetryPower is the power of the fraction that applies to a client's retry. Retries are shed first
	// because most of them have no time left to be answered within their objective.
	clientRetryPower = 3.0
	// admissionRecovery is the number of deadlines without any answer after which all requests are admitted
	// again: old observations say nothing about the present.
	admissionRecovery = 60.0
)

// admission sheds load where answers come too late, whatever the cause: overload, lost workers, workers
// that are warming up or slow, a network or a store that stalls. Sending more would make the remaining
// answers late as well.
//
// The concurrency limits of the workers cannot notice this where there are many controllers, as each sees
// few answers of each worker. All answers of a controller together do. The fraction of new requests that is
// admitted therefore follows, with additive increase and multiplicative decrease, how many of the requests
// that were sent got their answer on time.
//
// It could do harm where sending less does not help. So the time that a load takes is allowed for by the
// caller, and errors are not observed at all.
type admission struct {
	fraction float64 // of new requests that are admitted: minAdmittedFraction to 1
}

func newAdmission() admission { return admission{fraction: 1} }

// observe notes whether a request that was sent had its answer on time.
func (a *admission) observe(onTime bool) {
	if onTime {
		a.fraction = min(1, a.fraction+admissionIncrease)
	} else {
		a.fraction = max(minAdmittedFraction, a.fraction*admissionDecrease)
	}
}

// recover raises the fraction with the time that passes between steps.
func (a *admission) recover(elapsed, deadline time.Duration) {
	recovered := max(0, elapsed).Seconds() / (admissionRecovery * deadline.Seconds())
	a.fraction = min(1, a.fraction+recovered)
}

// admits tells whether a new request is admitted. It depends on a hash of the request's ID alone, so that the
// same request gets the same verdict in every step until the fraction changes. A tenant's weight above 1 has
// more of its requests admitted, one below fewer; 0 counts as 1.
func (a *admission) admits(request RequestID, weight float64, clientRetry bool) bool {
	fraction := a.fraction
	if weight > 0 {
		fraction = math.Pow(fraction, 1/weight)
	}
	if clientRetry {
		fraction = math.Pow(fraction, clientRetryPower)
	}
	return unitInterval(mix(^uint64(request))) < fraction
}

// shedding tells whether less than everything is admitted.
func (a *admission) shedding() bool { return a.fraction < 1 }

// retryAfter advises a rejected client how long to wait: the longer, the less is admitted, up to the longest
// time that clients follow. It draws once, so that clients rejected together do not return together.
func (a *admission) retryAfter(longest time.Duration, random *rand.Rand) time.Duration {
	return seconds(longest.Seconds() * (1 - a.fraction) * (1 - jitter*random.Float64()))
}
