package scheduler

import (
	"math"

	"kitehub/scheduler/index"
)

const (
	// initialTokens is the limit at a worker that has not been measured yet. It is low, so that it
	// does little harm at a worker with a small capacity.
	initialTokens = 2.0
	// slowThresholdMany and slowThresholdFew are the multiples of the peers' median latency ratio
	// from which a worker counts as slow, that is, overloaded or faulty. The lower one applies
	// where few controllers share a copy, as each controller that holds requests back then has a
	// noticeable effect.
	slowThresholdMany = 1.5
	slowThresholdFew  = 1.25
	// fewControllersPerLane is the number of controllers per lane of a copy up to which they count
	// as few. With more of them, limits of whole tokens do not bound the sum of their requests: see
	// spread.
	fewControllersPerLane = 4.0
	// slowDecreaseFactor multiplies the limit for each slow response. Ten of them weigh more than
	// the halving after a rejection.
	slowDecreaseFactor = 0.9
	// minSlowDecreaseFactor is the lowest factor for one response, however slow, once the limit is
	// at one token or below.
	minSlowDecreaseFactor = 0.5
	// minTokenStep is the lowest value both of the limit and of its increase below one token. Where
	// there are few controllers, both are an equal part of one token: see tokenStep.
	minTokenStep = 0.05
)

// A concurrencyLimit bounds the requests that this controller has running at one worker. Each
// request takes a token, except those that wait for a load.
//
// The worker's own limit and the load from other controllers are not known, so the limit follows
// the responses, with additive increase and multiplicative decrease. A response is slow if it came
// after the latency objective of its class, or if the worker's latency ratio is too far above its
// peers'. A slowdown of all workers alike is no reason to send less to this one.
//
// Below one token the limit accepts only that fraction of the requests, chosen by hash. This
// matters where many controllers send a little each: one request at a time from each of them may
// already be too much.
type concurrencyLimit struct {
	tokens       float64 // concurrent requests; below 1: the fraction of requests that is accepted
	inUse        int
	latencyRatio float64 // mean run time, relative to the mean of the class; 0: not known
}

func newConcurrencyLimit() concurrencyLimit { return concurrencyLimit{tokens: initialTokens} }

func (l *concurrencyLimit) acquire() { l.inUse++ }

func (l *concurrencyLimit) release() { l.inUse-- }

// available reports whether a token is free. A limit below 1 has one token: see accepts.
func (l *concurrencyLimit) available() bool { return float64(l.inUse) < max(1, math.Floor(l.tokens)) }

// accepts reports whether the limit lets a request through, given the request's hash position from
// 0 to 1.
func (l *concurrencyLimit) accepts(position float64) bool { return position < min(1, l.tokens) }

// onResponse adjusts the limit after a response, whose token has already been released. The
// headroom is the latency ratio from which the worker counts as slow, divided by its present one:
// below 1 the worker is slow. The limit grows only if it was used up.
func (l *concurrencyLimit) onResponse(headroom float64, late bool, step float64) {
	slow := late || headroom < 1
	switch {
	case slow && l.tokens > initialTokens:
		l.tokens *= slowDecreaseFactor
	case slow:
		l.tokens = max(step, min(1, l.tokens)*max(minSlowDecreaseFactor, min(slowDecreaseFactor, headroom)))
	case l.tokens < 1:
		l.tokens = min(1, l.tokens+step)
	case float64(l.inUse+1) >= math.Floor(l.tokens):
		l.tokens++
	}
}

// onRejection halves the limit, but not below one token: a worker at its capacity is not faulty.
func (l *concurrencyLimit) onRejection() { l.tokens = max(min(1, l.tokens), l.tokens/2) }

// onTimeout halves the limit, but not below one step.
func (l *concurrencyLimit) onTimeout(step float64) { l.tokens = max(step, l.tokens/2) }

// onRestart lowers the limit to the initial one: what was learned before the worker restarted no
// longer holds.
func (l *concurrencyLimit) onRestart() { l.tokens = min(l.tokens, initialTokens) }

// restrictToOne sets the limit to one token, for a worker that may have changed since it was last
// seen.
func (l *concurrencyLimit) restrictToOne() { l.tokens = 1 }

// tokenStep returns the lowest value of a limit, which is also its increase below one token.
func tokenStep(controllers int) float64 { return max(minTokenStep, 1/float64(controllers)) }

// manyControllers reports whether so many controllers share the lanes of a copy that their limits
// do not bound the sum of their requests.
func manyControllers(controllers int, lanes float64) bool {
	return float64(controllers) > fewControllersPerLane*lanes
}

// slowThreshold returns the multiple of the peers' median latency ratio from which a worker counts
// as slow.
func slowThreshold(controllers int, lanes float64) float64 {
	if manyControllers(controllers, lanes) {
		return slowThresholdMany
	}
	return slowThresholdFew
}

// peerLatency compares a worker with its peers, by the latency ratios of all listed workers that
// have responded. If one worker is slower than its peers, the cause is its load or a fault of its
// own. If all of them are slow, the cause is the functions or the whole system.
type peerLatency struct{ ratios index.SortedFloats }

// median returns the median latency ratio, or 1 if none is known.
func (p *peerLatency) median() float64 { return p.ratios.Median(1) }

// set changes the latency ratio of a worker. It counts towards the median only while the worker is
// listed.
func (p *peerLatency) set(limit *concurrencyLimit, ratio float64, listed bool) {
	if listed {
		p.remove(limit)
		if ratio > 0 {
			p.ratios.Add(ratio)
		}
	}
	limit.latencyRatio = ratio
}

// remove takes a worker that leaves the list out of the median.
func (p *peerLatency) remove(limit *concurrencyLimit) {
	if limit.latencyRatio > 0 {
		p.ratios.Remove(limit.latencyRatio)
	}
}
