package scheduler

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// admissionIncrease is added to the admitted fraction for each request that is answered on
	// time.
	admissionIncrease = 0.02
	// admissionDecrease multiplies the admitted fraction for each request that is not answered on
	// time. Increase and decrease balance where about three in ten requests are late.
	admissionDecrease = 0.95
	// minAdmittedFraction is the lower bound of the admitted fraction. It admits enough requests to
	// notice that an overload has ended.
	minAdmittedFraction = 0.05
	// clientRetryPower is the power to which the admitted fraction is raised for a client's retry.
	// Retries are shed first because most of them can no longer be answered within their objective.
	clientRetryPower = 3.0
	// admissionRecovery is the time, in deadlines, after which all requests are admitted again if
	// nothing is observed: old observations say nothing about the present load.
	admissionRecovery = 60.0
)

// admission sheds load when answers are late, whatever the cause: overload, lost workers, workers
// that are warming up or slow, or a network or store that stalls. Sending more would make the
// remaining answers late as well.
//
// With many controllers the concurrency limits of the workers cannot detect this, because each
// controller sees few responses of each worker. The responses of all workers together show it. The
// admitted fraction of new requests therefore follows, with additive increase and multiplicative
// decrease, how many of the requests that were sent are answered on time.
//
// Shedding does harm where sending less does not help. Therefore the caller of observe allows for
// the time that a load takes, and errors are not observed at all.
type admission struct {
	fraction float64 // admitted fraction of new requests: minAdmittedFraction to 1
}

func newAdmission() admission { return admission{fraction: 1} }

// observe updates the fraction with a request that was sent and answered on time, or not on time.
func (a *admission) observe(onTime bool) {
	if onTime {
		a.fraction = min(1, a.fraction+admissionIncrease)
	} else {
		a.fraction = max(minAdmittedFraction, a.fraction*admissionDecrease)
	}
}

// recover raises the fraction in proportion to the time since the last step.
func (a *admission) recover(elapsed, deadline time.Duration) {
	recovered := max(0, elapsed).Seconds() / (admissionRecovery * deadline.Seconds())
	a.fraction = min(1, a.fraction+recovered)
}

// admits reports whether a new request is admitted. The result depends on a hash of the request's
// ID and not on a random draw, so that a request gets the same result in every step until the
// fraction changes. With a tenant's weight above 1 more of its requests are admitted, with one
// below 1 fewer; 0 counts as 1.
func (a *admission) admits(request RequestID, weight float64, clientRetry bool) bool {
	fraction := a.fraction
	if weight > 0 {
		fraction = math.Pow(fraction, 1/weight)
	}
	if clientRetry {
		fraction = math.Pow(fraction, clientRetryPower)
	}
	return admissionPosition(request) < fraction
}

// admissionPosition returns the hash position of a request, from 0 to 1. It is admitted if that is
// below the fraction.
func admissionPosition(request RequestID) float64 { return unitInterval(mix(^uint64(request))) }

// shedding reports whether some requests are not admitted.
func (a *admission) shedding() bool { return a.fraction < 1 }

// retryAfter returns the time after which a rejected client should retry: the longer, the less is
// admitted, up to the longest delay that clients follow. It makes one random draw, so that clients
// that are rejected together do not return together.
func (a *admission) retryAfter(longest time.Duration, random *rand.Rand) time.Duration {
	return seconds(longest.Seconds() * (1 - a.fraction) * (1 - float64(jitter*random.Float64())))
}
