package scheduler

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// collapseExcessFraction is the fraction of the collapse factor beyond 1 that is used. The rest
	// is a safety margin, as run times differ and a worker may be far smaller than its peers.
	collapseExcessFraction = 0.5
	// assumedCores is the capacity that is assumed of a worker, in cores, while few responses are
	// known: capacities are never reported.
	assumedCores = 1.0
	// marginDeviations is the distance between the average that is sent in a window and the bound,
	// in standard deviations, as what independent controllers send in a window varies by chance.
	marginDeviations = 4.0
	// creditFadeWindows is the time constant with which unused credit decays, in collapse windows.
	// Credit cannot accumulate over a quiet period, yet a controller with one request in several
	// windows can use its credit.
	creditFadeWindows = 3.0
)

// A slowStart protects workers that have started recently from overload.
//
// A warming worker has only a fraction of its capacity, which grows with time. If it is sent more
// than a multiple of that within some window, it collapses. All controllers send to it without
// coordination, so each keeps to its own part of the bound, by two measures:
//
//   - Outstanding work. The work sent in a window is what the worker finishes in it plus what is
//     outstanding, so each controller may have an equal part of (factor-1) x fraction x one core x
//     window outstanding.
//   - Credit, as with many controllers that part is less than a single request. Each request that
//     any worker completes earns every warming worker a fraction of an even part of its run time.
//     What is completed cannot exceed what all workers can do, so the credits of all controllers
//     stay within one worker's part, however the traffic is spread over controllers.
//
// Where credit covers only a part of a request, a random draw with that probability decides, which
// keeps the sum right on average. Windows that hold few requests would exceed the bound by chance.
// So the average is kept marginDeviations below the bound, and a window of fewer than
// marginDeviations requests gets none.
//
// All work and credit is in seconds of run time.
type slowStart struct {
	guarantees    Guarantees
	controllers   float64
	completedWork float64 // by all workers, for this controller
	random        *rand.Rand
}

func newSlowStart(settings *Settings, random *rand.Rand) slowStart {
	return slowStart{guarantees: settings.Guarantees, controllers: float64(settings.Controllers),
		random: random}
}

// A warmup is the slow start of one worker.
type warmup struct {
	warmingSince      time.Duration // when it started, by the endpoint list; 0: long ago
	outstandingWork   float64       // of this controller
	credit            float64       // work that may be sent to it; below 0: debt from failed work
	creditAt          time.Duration // when credit was last added
	completedAtCredit float64       // slowStart.completedWork at that time
	fairRate          float64       // mean completed work per second and worker, for this controller
}

// begin records that a worker has started.
func (s *slowStart) begin(warmup *warmup, startedAt time.Duration) {
	warmup.warmingSince = startedAt
	warmup.credit = 0
	warmup.creditAt = startedAt
	warmup.completedAtCredit = s.completedWork
	warmup.fairRate = assumedCores / s.controllers // the lowest rate, as its capacity is not known
}

// fraction returns the fraction of its capacity that a worker has now at least: 1 once it has
// warmed up.
func (s *slowStart) fraction(warmup *warmup, now time.Duration) float64 {
	guarantees := s.guarantees
	if warmup.warmingSince <= 0 || now-warmup.warmingSince >= guarantees.WarmupTime {
		return 1
	}
	warmFor := float64(max(0, now-warmup.warmingSince))
	first := guarantees.WarmupFraction
	return first + (1-first)*warmFor/float64(guarantees.WarmupTime)
}

// sent records work that was sent to a worker.
func (s *slowStart) sent(w *warmup, work float64) { w.outstandingWork += work }

// ended records the outcome of work that was sent to a worker, warming or not.
func (s *slowStart) ended(warmup *warmup, work float64, outcome Outcome) {
	warmup.outstandingWork = max(0, warmup.outstandingWork-work)
	switch outcome {
	case OK:
		s.completedWork += work
	case ConnectFailed, NotStarted:
	default: // it has used the worker's capacity, and may still do so
		warmup.credit -= work
	}
}

// admit reports whether work may be sent to a warming worker now, and charges its credit. The
// function ready returns the number of ready workers, where warming ones count by their fraction;
// it is called only if credit is added. One random number is drawn if neither the credit nor the
// outstanding allowance covers the work.
func (s *slowStart) admit(warmup *warmup, now time.Duration, work float64, ready func() float64) bool {
	fraction := s.fraction(warmup, now)
	perWindow := s.accrue(warmup, now, work, fraction, ready)
	if perWindow < marginDeviations {
		warmup.credit = min(0, warmup.credit)
		return false
	}
	if warmup.credit >= work || s.outstandingAllowance(warmup, fraction) >= work {
		warmup.credit = max(warmup.credit-work, min(0, warmup.credit))
		return true
	}
	partialCredit := max(0, warmup.credit)
	warmup.credit -= partialCredit
	return s.random.Float64()*work < partialCredit
}

// accrue adds the credit that was earned since it was last added. It returns how many requests of
// this much work the bound lets all controllers together send in a window.
func (s *slowStart) accrue(
	warmup *warmup, now time.Duration, work, fraction float64, ready func() float64,
) float64 {
	guarantees := s.guarantees
	elapsed := max(0, (now - max(warmup.creditAt, warmup.warmingSince)).Seconds())
	decayTime := creditFadeWindows * guarantees.CollapseWindow.Seconds()
	remaining := math.Exp(-elapsed / decayTime)
	rate := 0.0
	if elapsed > 0 {
		rate = max((s.completedWork-warmup.completedAtCredit)/max(ready(), 1)/elapsed,
			assumedCores/s.controllers)
		warmup.fairRate += float64((rate - warmup.fairRate) * (1 - remaining))
	}
	window := guarantees.CollapseWindow.Seconds()
	bound := guarantees.CollapseFactor * fraction * warmup.fairRate * s.controllers * window
	perWindow := bound / work
	warmup.credit = float64(warmup.credit*remaining) +
		float64(s.capacityMultiple(perWindow)*fraction*rate*decayTime*(1-remaining))
	warmup.creditAt = now
	warmup.completedAtCredit = s.completedWork
	return perWindow
}

// capacityMultiple returns the multiple of its capacity that a warming worker may be sent on
// average, if the bound is perWindow requests in a window. The number of requests varies by its
// square root, so the average solves average + marginDeviations x root of average = perWindow.
func (s *slowStart) capacityMultiple(perWindow float64) float64 {
	factor := s.guarantees.CollapseFactor
	root := math.Sqrt(perWindow + marginDeviations*marginDeviations/4)
	average := math.Pow(root-marginDeviations/2, 2)
	return min(1+float64(collapseExcessFraction*(factor-1)), factor*(average/perWindow))
}

// outstandingAllowance returns how much more work may be outstanding at a worker without the use of
// credit. Negative credit lowers it.
func (s *slowStart) outstandingAllowance(warmup *warmup, fraction float64) float64 {
	guarantees := s.guarantees
	window := guarantees.CollapseWindow.Seconds()
	beyondCapacity := (guarantees.CollapseFactor - 1) * fraction * assumedCores * window
	return beyondCapacity/s.controllers - warmup.outstandingWork + min(0, warmup.credit)
}

// warmupFraction returns the fraction of its capacity that a worker has now at least.
func (d *Dispatcher) warmupFraction(w *worker) float64 {
	return d.slowStart.fraction(&w.warmup, d.now)
}

// isWarm reports whether a worker has its full capacity.
func (d *Dispatcher) isWarm(w *worker) bool { return d.warmupFraction(w) >= 1 }

// admitWarming reports whether a worker's slow start, if it is in one, lets a request through. A
// controller that another process has taken over sends nothing to warming workers: its successor
// has the credit.
func (d *Dispatcher) admitWarming(worker *worker, work float64) bool {
	switch {
	case d.isWarm(worker):
		return true
	case d.loadBudget.superseded:
		return false
	}
	return d.slowStart.admit(&worker.warmup, d.now, work, d.readyCapacity)
}
