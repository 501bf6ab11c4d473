package scheduler

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kitehub/scheduler/index"
)

const (
	// maxConsecutiveFailures is the number of failures in a row that ejects a worker.
	maxConsecutiveFailures = 2
	// baseEjectionDialTimeouts is the duration of a first ejection, in dial timeouts. Each further
	// one lasts twice as long.
	baseEjectionDialTimeouts = 4.0
	// maxEjectionWarmups is the longest duration of an ejection, in warmup times.
	maxEjectionWarmups = 0.5
	// maxEjectionDoublings bounds the exponent of the duration of an ejection.
	maxEjectionDoublings = 10
	// errorRateExcess is how far a worker's error rate must be above its peers' median for the
	// worker, and not the requests, to count as the cause.
	errorRateExcess = 0.5
	// silentRunTimes is how long a worker with outstanding attempts may be silent before it is
	// probed, in mean run times.
	silentRunTimes = 3.0
	// probeDialTimeouts is how long a probe may go without a response, in dial timeouts. A busy
	// worker is slow to respond to probes as well.
	probeDialTimeouts = 3.0
)

// An outlierDetector finds workers that are dead, silent or faulty before the endpoint list says
// so.
//
// Ejection: a worker that fails twice in a row without a response, or leaves a probe unanswered, is
// sent nothing new for a time that doubles, and its outstanding requests are sent to other workers
// where the rules allow it. Any response ends the ejection, at the latest the response to the probe
// at the end of that time. While more than half of the workers are ejected, all ejections are
// ignored: the fault is then more likely in the controller itself or in the network.
//
// Avoidance: a worker that responds with errors has free tokens, and so attracts more requests.
// Those that cannot be repeated freely would be lost there. They avoid the worker for a time that
// grows, unless its peers fail as often, which makes the requests the cause. Idempotent requests
// are still sent there, and show when the fault is over.
//
// Durations have jitter, so that controllers that saw the same failure do not return at the same
// time.
type outlierDetector struct {
	dialTimeout time.Duration
	warmupTime  time.Duration
	random      *rand.Rand
	ejected     int                // tracked workers that are ejected
	errorRates  index.SortedFloats // of the tracked workers
}

func newOutlierDetector(settings *Settings, random *rand.Rand) outlierDetector {
	return outlierDetector{
		dialTimeout: settings.Limits.DialTimeout,
		warmupTime:  settings.Guarantees.WarmupTime,
		random:      random,
	}
}

// A workerHealth is what the outlier detector knows of one worker.
type workerHealth struct {
	tracked              bool          // the worker is listed
	lastResponseAt       time.Duration // 0: it has not responded yet
	waitingSince         time.Duration // since when outstanding attempts have had no response
	probedAt             time.Duration // when the probe without a response was sent; 0: none
	consecutiveFailures  int           // without a response
	ejected              bool
	ejectedUntil         time.Duration
	consecutiveEjections int           // including avoidances
	errorRate            float64       // mean fraction of errors among its responses
	avoidedUntil         time.Duration // until then requests that are not idempotent avoid it
}

// track starts counting a worker that is listed.
func (o *outlierDetector) track(health *workerHealth) {
	health.tracked = true
	o.errorRates.Add(health.errorRate)
}

// untrack stops counting a worker. Attempts outstanding there may still change its health, but no
// longer the counts.
func (o *outlierDetector) untrack(health *workerHealth) {
	health.tracked = false
	o.errorRates.Remove(health.errorRate)
	if health.ejected {
		o.ejected--
	}
}

// ignoresEjections reports whether ejections are ignored, given the number of listed workers.
func (o *outlierDetector) ignoresEjections(listed int) bool { return 2*o.ejected > listed }

// onFailure records that a worker did not respond, and reports whether it is to be ejected.
func (o *outlierDetector) onFailure(h *workerHealth, now time.Duration) bool {
	h.consecutiveFailures++
	return h.consecutiveFailures >= maxConsecutiveFailures && (!h.ejected || now >= h.ejectedUntil)
}

// onSuccess records a response without an error.
func (o *outlierDetector) onSuccess(health *workerHealth) {
	health.consecutiveFailures = 0
	health.consecutiveEjections = 0
	o.setErrorRate(health, health.errorRate*(1-ewmaWeight))
}

// onError records an attempt that ended otherwise. It raises the error rate only if the error is
// the worker's own.
func (o *outlierDetector) onError(health *workerHealth, ownError bool, now time.Duration) {
	if ownError {
		o.setErrorRate(health, health.errorRate+float64(ewmaWeight*(1-health.errorRate)))
	}
	if now >= health.avoidedUntil && health.errorRate > errorRateExcess+o.errorRates.Median(0) {
		health.avoidedUntil = now + o.ejectionDuration(health.consecutiveEjections)
		health.consecutiveEjections++
	}
}

// eject begins an ejection, or the next one.
func (o *outlierDetector) eject(health *workerHealth, now time.Duration) {
	o.setEjected(health, true)
	health.probedAt = 0
	health.ejectedUntil = now + o.ejectionDuration(health.consecutiveEjections)
	health.consecutiveEjections++
}

// ejectionDuration returns the duration of an ejection, given the number of previous ones, with
// jitter.
func (o *outlierDetector) ejectionDuration(previous int) time.Duration {
	doublings := float64(min(previous, maxEjectionDoublings))
	span := baseEjectionDialTimeouts * float64(o.dialTimeout) * math.Pow(2, doublings)
	span = min(span, maxEjectionWarmups*float64(o.warmupTime))
	return time.Duration(span * (1 + float64(jitter*(float64(o.random.Float64())-0.5))))
}

func (o *outlierDetector) setEjected(health *workerHealth, ejected bool) {
	switch {
	case health.ejected == ejected || !health.tracked:
	case ejected:
		o.ejected++
	default:
		o.ejected--
	}
	health.ejected = ejected
}

func (o *outlierDetector) setErrorRate(health *workerHealth, rate float64) {
	if health.tracked && rate != health.errorRate {
		o.errorRates.Remove(health.errorRate)
		o.errorRates.Add(rate)
	}
	health.errorRate = rate
}

// A healthAction is what a worker's silence, or the end of its ejection, calls for.
type healthAction int

const (
	noHealthAction healthAction = iota
	probeSilent                 // probe a worker that is silent
	probeEjected                // probe a worker after its ejection, or just end the ejection
	ejectSilent                 // eject a worker that left a probe unanswered
)

// dueAction returns what is due at a worker, given its number of outstanding attempts. A worker
// without a response for the silence timeout is probed; a probe may take the probe timeout.
func (h *workerHealth) dueAction(
	now time.Duration, outstanding int, silenceTimeout, probeTimeout time.Duration,
) healthAction {
	probeOverdue := h.probedAt > 0 && now-h.probedAt > probeTimeout
	switch {
	case h.ejected && now >= h.ejectedUntil && h.probedAt == 0:
		return probeEjected
	case h.ejected && probeOverdue:
		return ejectSilent
	case h.ejected || outstanding == 0 || now-max(h.waitingSince, h.lastResponseAt) <= silenceTimeout:
		return noHealthAction
	case h.probedAt == 0:
		return probeSilent
	case probeOverdue && h.lastResponseAt < h.probedAt:
		return ejectSilent
	}
	return noHealthAction
}

// checkHealth probes silent workers that have attempts outstanding, ejects those that remain
// silent, and probes ejected workers at the end of their ejection.
func (d *Dispatcher) checkHealth() {
	silenceTimeout := max(d.settings.Limits.DialTimeout, seconds(silentRunTimes*slices.Max(d.classRunTime)))
	probeTimeout := seconds(probeDialTimeouts * d.settings.Limits.DialTimeout.Seconds())
	d.capacity.reset()
	for worker := range d.watchList.all() {
		switch worker.dueAction(d.now, worker.outstanding, silenceTimeout, probeTimeout) {
		case probeSilent:
			d.probe(worker)
		case probeEjected:
			if !d.probe(worker) {
				d.workerResponded(worker, OK)
			}
		case ejectSilent:
			d.eject(worker)
		}
	}
}

// probe asks a worker for something that costs it little, either the number of its copies or a
// health check, and reports whether it could.
func (d *Dispatcher) probe(worker *worker) bool {
	switch {
	case d.settings.Loading.Orders && worker.lastFunction != 0:
		d.emit(LoadOrder{Worker: worker.ID, Function: worker.lastFunction})
	case d.settings.Limits.Probe:
		d.emit(Probe{Worker: worker.ID})
	default:
		return false
	}
	worker.probedAt = d.now
	return true
}

// ready reports whether a worker may be sent anything new.
func (d *Dispatcher) ready(w *worker) bool {
	return w.State == Ready && (!w.ejected || d.outliers.ignoresEjections(len(d.listed)))
}

// workerResponded records the outcome of anything that was asked of a worker. Any response shows
// that the worker is alive.
func (d *Dispatcher) workerResponded(worker *worker, outcome Outcome) {
	if worker == nil || outcome == Cancelled || outcome == NotStarted {
		return
	}
	worker.probedAt = 0
	if outcome == ConnectFailed || outcome == Reset {
		worker.lostAt = d.now
	}
	if outcome == ConnectFailed || outcome == Reset || outcome == TimedOut {
		if d.outliers.onFailure(&worker.workerHealth, d.now) {
			d.eject(worker)
		}
		return
	}
	worker.lastResponseAt = d.now
	if worker.ejected { // it may have restarted before the list says so
		d.setEjected(worker, false)
		worker.consecutiveFailures = 0
		worker.limit.restrictToOne()
	}
}

// eject ejects a worker and reassigns its outstanding requests.
func (d *Dispatcher) eject(worker *worker) {
	d.setEjected(worker, true)
	d.outliers.eject(&worker.workerHealth, d.now)
	d.reassign(worker)
}
