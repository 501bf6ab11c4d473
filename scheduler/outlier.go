package scheduler

import (
	"math"
	"slices"
	"time"
)

// ready tells whether a worker may be sent anything new. Suspicion never takes more than half of the ring:
// when most workers look bad, the fault is more likely ours or the network's.
func (d *Dispatcher) ready(w *worker) bool {
	return w.State == Ready && (!w.ejected || 2*d.ejected > len(d.order))
}

// failed follows a worker's share of errors. One that fails most calls at once has tokens to spare, and draws
// in more. What may not be repeated freely is lost there and goes elsewhere for a growing time, unless its
// peers fail as much. Safe calls go on, and show when it is over.
func (d *Dispatcher) failed(w *worker, e AttemptEnded) {
	if e.Outcome == Error && e.Note != LoadFailed {
		d.setErrorRate(w, w.errorRate+meanWeight*(1-w.errorRate))
	}
	if d.now >= w.avoidUntil && w.errorRate > errorOver+d.failings.Median(0) {
		w.avoidUntil = d.now + d.ejectionDuration(w.ejections)
		w.ejections++
	}
}

// ejectionDuration is a time off the ring, longer with each before it.
func (d *Dispatcher) ejectionDuration(before int) time.Duration {
	span := ejectDials * float64(d.settings.Limits.DialTimeout) * math.Pow(2, float64(min(before, 10)))
	span = min(span, ejectCold*float64(d.settings.Guarantees.WarmupTime))
	return time.Duration(span * (1 + jitter*(d.random.Float64()-0.5)))
}

// usualLatencyRatio is the median pace of the workers that answered: a slow answer of one worker among
// its peers is
// that worker's load or trouble, of all of them the function's or the day's.
func (d *Dispatcher) usualLatencyRatio() float64 { return d.paces.Median(1) }

// workerAnswered notes any sign of life of a worker.
func (d *Dispatcher) workerAnswered(w *worker, o Outcome) {
	if w == nil || o == Cancelled || o == NotStarted {
		return
	}
	w.probedAt = 0
	if o == ConnectFailed || o == Reset || o == TimedOut {
		if w.consecutiveFailures++; w.consecutiveFailures >= strikeOut && (!w.ejected ||
			d.now >= w.ejectedUntil) {
			d.eject(w)
		}
		return
	}
	w.lastHeardAt = d.now
	if w.ejected { // it may have started anew before the list says so: begin low
		d.setEjected(w, false)
		w.consecutiveFailures = 0
		w.limit.distrust()
	}
}

// eject takes a worker off the ring for a growing, bounded time and finds another for what it holds.
func (d *Dispatcher) eject(w *worker) {
	d.setEjected(w, true)
	w.probedAt, w.ejectedUntil = 0, d.now+d.ejectionDuration(w.ejections)
	w.ejections++
	d.reassign(w)
}

// health asks workers that are quiet with something out, ejects those that stay so, and tries the ejected.
func (d *Dispatcher) health() {
	quiet := max(d.settings.Limits.DialTimeout, seconds(quietRuns*slices.Max(d.classRunTime)))
	// A busy worker answers questions late as well.
	patience := seconds(askDials * d.settings.Limits.DialTimeout.Seconds())
	for w := range d.watched() {
		d.examine(w, quiet, patience)
	}
}

// examine asks or ejects one worker, if its silence or its time off the ring is over.
func (d *Dispatcher) examine(w *worker, quiet, patience time.Duration) {
	switch {
	case w.ejected && d.now >= w.ejectedUntil && w.probedAt == 0:
		if !d.ask(w) {
			d.workerAnswered(w, OK)
		}
	case w.ejected && w.probedAt > 0 && d.now-w.probedAt > patience:
		d.eject(w)
	case w.ejected || w.outstanding == 0 || d.now-max(w.waitingSince, w.lastHeardAt) <= quiet:
	case w.probedAt == 0:
		d.ask(w)
	case d.now-w.probedAt > patience && w.lastHeardAt < w.probedAt:
		d.eject(w)
	}
}

// ask puts a question to a worker that costs it little: how many copies stand, or a probe.
func (d *Dispatcher) ask(w *worker) bool {
	switch {
	case d.settings.Loading.Orders && w.lastFunction != 0:
		d.do(LoadOrder{Worker: w.ID, Function: w.lastFunction})
	case d.settings.Limits.Probe:
		d.do(Probe{Worker: w.ID})
	default:
		return false
	}
	w.probedAt = d.now
	return true
}
