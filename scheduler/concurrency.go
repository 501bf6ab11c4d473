package scheduler

import (
	"math"

	"kitehub/scheduler/index"
)

const (
	// initialTokens is the limit at a worker that nobody has measured yet: it does little harm
	// there.
	initialTokens = 2.0
	// slowThresholdMany and slowThresholdFew are the multiples of the peers' median latency ratio
	// from which a worker counts as slow: it has too much in flight, or a fault. Where few
	// controllers share a copy, what each of them holds back is soon felt, so that less is enough.
	slowThresholdMany = 1.5
	slowThresholdFew  = 1.25
	// fewControllersPerLane is the number of controllers to one lane of a copy up to which they
	// count as few. Above it the sum of all limits is not bounded by whole tokens: see spread.
	fewControllersPerLane = 4.0
	// slowDecrease multiplies the limit for each slow answer. Ten of them weigh more than the
	// halving after a rejection.
	slowDecrease = 0.9
	// minSlowDecrease is the least factor for one answer, however slow, once the limit is at a
	// token or below.
	minSlowDecrease = 0.5
	// minTokenStep is the least limit, and the least step of increase below one token. Where there
	// are few controllers the step is an equal part of one token.
	minTokenStep = 0.05
)

// A concurrencyLimit bounds the requests that this controller has running at one worker. Each takes
// a token, but for those that wait for a load.
//
// The worker's own limit is not known, nor what other controllers send there. So the limit follows
// the answers, with additive increase and multiplicative decrease. An answer is slow if it came
// after its class's objective, or if the worker's run times, compared with those usual for the
// class, are over its peers': what slows all workers alike is no reason to send this one less.
//
// Below one token the worker accepts only that part of the requests, chosen by hash. That matters
// where many controllers send a little each: one request at a time from every one of them may
// already be too much.
type concurrencyLimit struct {
	tokens       float64 // requests at a time; below 1 the part of requests that is accepted
	inUse        int
	latencyRatio float64 // mean of run times over the mean of their class; 0: not known
}

func newConcurrencyLimit() concurrencyLimit { return concurrencyLimit{tokens: initialTokens} }

func (l *concurrencyLimit) acquire() { l.inUse++ }

func (l *concurrencyLimit) release() { l.inUse-- }

// available tells whether a token is free. Of a limit below 1 there is one: see accepts.
func (l *concurrencyLimit) available() bool { return float64(l.inUse) < max(1, math.Floor(l.tokens)) }

// accepts tells whether the limit lets a request of this position, from 0 to 1, through at all.
func (l *concurrencyLimit) accepts(position float64) bool { return position < min(1, l.tokens) }

// onResponse follows an answer after its token was released. The headroom is the latency ratio from
// which the worker counts as slow over its present one: below 1 it is slow. Only a limit that was
// used up is raised.
func (l *concurrencyLimit) onResponse(headroom float64, late bool, step float64) {
	slow := late || headroom < 1
	switch {
	case slow && l.tokens > initialTokens:
		l.tokens *= slowDecrease
	case slow:
		l.tokens = max(step, min(1, l.tokens)*max(minSlowDecrease, min(slowDecrease, headroom)))
	case l.tokens < 1:
		l.tokens = min(1, l.tokens+step)
	case float64(l.inUse+1) >= math.Floor(l.tokens):
		l.tokens++
	}
}

// onRejection halves the limit, to one token at the least: a worker at its capacity is not faulty.
func (l *concurrencyLimit) onRejection() { l.tokens = max(min(1, l.tokens), l.tokens/2) }

// onTimeout halves the limit.
func (l *concurrencyLimit) onTimeout(step float64) { l.tokens = max(step, l.tokens/2) }

// onRestart takes back what was learnt of a worker before it started anew.
func (l *concurrencyLimit) onRestart() { l.tokens = min(l.tokens, initialTokens) }

// restrictToOne begins with one token, where the worker may not be what it was.
func (l *concurrencyLimit) restrictToOne() { l.tokens = 1 }

// tokenStep is the least limit, and the step of increase below one token.
func tokenStep(controllers int) float64 { return max(minTokenStep, 1/float64(controllers)) }

// manyControllers tells whether so many controllers share the lanes of a copy that the limits of
// each do not bound the sum.
func manyControllers(controllers int, lanes float64) bool {
	return float64(controllers) > fewControllersPerLane*lanes
}

// slowThreshold is the multiple of the peers' median latency ratio from which a worker counts as
// slow.
func slowThreshold(controllers int, lanes float64) float64 {
	if manyControllers(controllers, lanes) {
		return slowThresholdMany
	}
	return slowThresholdFew
}

// peerLatency compares a worker with its peers, by the latency ratios of all workers that are
// listed and have answered. A slow answer of one worker among its peers is that worker's load or
// fault; of all of them it is due to the functions or to the whole system.
type peerLatency struct{ ratios index.SortedFloats }

// median is the usual latency ratio: 1 where none is known.
func (p *peerLatency) median() float64 { return p.ratios.Median(1) }

// set changes the latency ratio of a worker, which counts for its peers only while it is listed.
func (p *peerLatency) set(limit *concurrencyLimit, ratio float64, listed bool) {
	if listed {
		p.remove(limit)
		if ratio > 0 {
			p.ratios.Add(ratio)
		}
	}
	limit.latencyRatio = ratio
}

// remove takes out a worker that leaves the list.
func (p *peerLatency) remove(limit *concurrencyLimit) {
	if limit.latencyRatio > 0 {
		p.ratios.Remove(limit.latencyRatio)
	}
}
