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
	// baseEjectionDialTimeouts is the time of a first ejection, in dial timeouts. It doubles for
	// each further one.
	baseEjectionDialTimeouts = 4.0
	// maxEjectionWarmups is the longest time of an ejection, in warmup times.
	maxEjectionWarmups = 0.5
	// maxEjectionDoublings bounds the exponent of the time of an ejection.
	maxEjectionDoublings = 10
	// errorRateExcess is how far a worker's error rate is above its peers' median when it is the
	// worker that fails, and not the requests.
	errorRateExcess = 0.5
	// silentRunTimes is the silence of a worker with requests, in mean run times, after which it is
	// probed.
	silentRunTimes = 3.0
	// probeDialTimeouts is how long a probe may go without an answer, in dial timeouts: a busy
	// worker is slow to answer probes as well.
	probeDialTimeouts = 3.0
)

// outlierDetector finds workers that are dead, silent or broken before the list of workers says so.
//
// Ejection: a worker that fails twice in a row without an answer, or leaves a probe unanswered,
// gets nothing new for a time that doubles, and what waits there is sent elsewhere where the rules
// allow it. Any answer, at the latest that of the probe at the end of that time, ends the ejection.
// While more than half of the workers are ejected all ejections are ignored: the fault is then more
// likely the controller's own or the network's.
//
// Avoidance: a worker that answers with errors has tokens to spare, and so draws in more. What
// cannot be repeated freely would be lost there. It passes the worker by for a growing time, unless
// its peers fail as much, which makes it the requests' fault. Idempotent requests go on, and show
// when it is over.
//
// Times are drawn with jitter, so that controllers that saw the same do not return in step.
type outlierDetector struct {
	dialTimeout time.Duration
	warmupTime  time.Duration
	random      *rand.Rand
	ejected     int                // workers that are tracked and ejected
	errorRates  index.SortedFloats // of those tracked
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
	tracked              bool          // the list has it
	lastResponseAt       time.Duration // its last answer
	waitingSince         time.Duration // since when something is outstanding without an answer
	probedAt             time.Duration // of a probe that has no answer; 0: none
	consecutiveFailures  int           // without an answer
	ejected              bool
	ejectedUntil         time.Duration
	consecutiveEjections int           // in a row, avoidances included
	errorRate            float64       // mean part of errors among its answers
	avoidedUntil         time.Duration // requests that are not idempotent pass it by until then
}

// track begins to count a worker that the list has.
func (o *outlierDetector) track(h *workerHealth) {
	h.tracked = true
	o.errorRates.Add(h.errorRate)
}

// untrack ends that. What is still outstanding there may change its health, but counts no more.
func (o *outlierDetector) untrack(health *workerHealth) {
	health.tracked = false
	o.errorRates.Remove(health.errorRate)
	if health.ejected {
		o.ejected--
	}
}

// ignoresEjections tells whether ejections are to be ignored, of so many workers that are listed.
func (o *outlierDetector) ignoresEjections(listed int) bool { return 2*o.ejected > listed }

// onFailure notes that a worker gave no answer, and tells whether it is to be ejected for it.
func (o *outlierDetector) onFailure(h *workerHealth, now time.Duration) bool {
	h.consecutiveFailures++
	return h.consecutiveFailures >= maxConsecutiveFailures && (!h.ejected || now >= h.ejectedUntil)
}

// onSuccess notes an answer without error.
func (o *outlierDetector) onSuccess(health *workerHealth) {
	health.consecutiveFailures = 0
	health.consecutiveEjections = 0
	o.setErrorRate(health, health.errorRate*(1-ewmaWeight))
}

// onError notes that an attempt ended otherwise. It counts as an error if it was one of the
// worker's own.
func (o *outlierDetector) onError(health *workerHealth, counts bool, now time.Duration) {
	if counts {
		o.setErrorRate(health, health.errorRate+ewmaWeight*(1-health.errorRate))
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

// ejectionDuration is the time of an ejection after so many others, with jitter.
func (o *outlierDetector) ejectionDuration(before int) time.Duration {
	doublings := float64(min(before, maxEjectionDoublings))
	span := baseEjectionDialTimeouts * float64(o.dialTimeout) * math.Pow(2, doublings)
	span = min(span, maxEjectionWarmups*float64(o.warmupTime))
	return time.Duration(span * (1 + jitter*(o.random.Float64()-0.5)))
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

// A healthAction is what the silence of a worker, or the end of its ejection, calls for.
type healthAction int

const (
	noHealthAction healthAction = iota
	probeSilent                 // probe it
	probeEjected                // probe it, or end the ejection where probes are not possible
	ejectSilent                 // eject it
)

// dueAction returns what is due at a worker with so many attempts outstanding. Silence is the time
// without an answer after which a worker is probed, patience the time that a probe may take.
func (h *workerHealth) dueAction(
	now time.Duration, outstanding int, silence, patience time.Duration,
) healthAction {
	overdue := h.probedAt > 0 && now-h.probedAt > patience
	switch {
	case h.ejected && now >= h.ejectedUntil && h.probedAt == 0:
		return probeEjected
	case h.ejected && overdue:
		return ejectSilent
	case h.ejected || outstanding == 0 || now-max(h.waitingSince, h.lastResponseAt) <= silence:
		return noHealthAction
	case h.probedAt == 0:
		return probeSilent
	case overdue && h.lastResponseAt < h.probedAt:
		return ejectSilent
	}
	return noHealthAction
}

// checkHealth probes workers that are silent with something outstanding, ejects those that stay so,
// and probes ejected workers at the end of their time.
func (d *Dispatcher) checkHealth() {
	silence := max(d.settings.Limits.DialTimeout, seconds(silentRunTimes*slices.Max(d.classRunTime)))
	patience := seconds(probeDialTimeouts * d.settings.Limits.DialTimeout.Seconds())
	d.capacity.reset()
	for worker := range d.watchList.all() {
		switch worker.dueAction(d.now, worker.outstanding, silence, patience) {
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

// probe asks a worker something that costs it little, how many copies it has or a probe, and tells
// whether it could.
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

// ready tells whether a worker may be sent anything new.
func (d *Dispatcher) ready(w *worker) bool {
	return w.State == Ready && (!w.ejected || d.outliers.ignoresEjections(len(d.listed)))
}

// workerResponded notes the outcome of anything that was asked of a worker: any answer is a sign of
// life.
func (d *Dispatcher) workerResponded(worker *worker, outcome Outcome) {
	if worker == nil || outcome == Cancelled || outcome == NotStarted {
		return
	}
	worker.probedAt = 0
	if outcome == ConnectFailed || outcome == Reset || outcome == TimedOut {
		if d.outliers.onFailure(&worker.workerHealth, d.now) {
			d.eject(worker)
		}
		return
	}
	worker.lastResponseAt = d.now
	if worker.ejected { // it may have started anew before the list says so
		d.setEjected(worker, false)
		worker.consecutiveFailures = 0
		worker.limit.restrictToOne()
	}
}

// eject ejects a worker and reassigns what waits there.
func (d *Dispatcher) eject(worker *worker) {
	d.setEjected(worker, true)
	d.outliers.eject(&worker.workerHealth, d.now)
	d.reassign(worker)
}
