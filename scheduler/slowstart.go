package scheduler

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// collapseExcessFraction is the part of the collapse factor beyond 1 that is used. The rest is
	// a margin, as run times differ and a worker may be far smaller than its peers.
	collapseExcessFraction = 0.5
	// assumedCores is the capacity of a worker that is assumed where little is answered: it is
	// never reported.
	assumedCores = 1.0
	// marginDeviations is the distance in standard deviations between the average that is sent in a
	// window and the bound, as what independent controllers send in a window varies by chance.
	marginDeviations = 4.0
	// creditFadeWindows is the time constant in collapse windows with which unused credit fades. A
	// quiet spell cannot be saved up, yet a controller with a request in several windows can use
	// its credit.
	creditFadeWindows = 3.0
)

// slowStart keeps workers that have started recently from being pushed over.
//
// A warming worker has only a part of its capacity, which grows with time. If within some window it
// is sent more than a multiple of that, it collapses. All controllers send to it, without a word
// between them, so each keeps to a part of the bound that is its own, by two measures:
//
//   - What is outstanding. Work sent in a window is what the worker finishes in it plus what is outstanding,
//     so that an equal part of (factor-1) x fraction x one core x window may be outstanding for each
//     controller.
//   - Credit, as with many controllers that part is less than a single request. Each request that is answered
//     anywhere earns every warming worker a fraction of an even part of its run time. What is answered cannot
//     exceed what all workers can do, so that the credits of all controllers stay within one worker's part,
//     however the traffic is spread over controllers.
//
// Where credit covers a part of a request only, it is wagered: a draw with that probability
// decides, which keeps the sum on the average. Windows that hold few requests would exceed the
// bound by chance. So the average is kept marginDeviations below it, and a window of fewer than
// marginDeviations requests gets none.
//
// All work and credit is in seconds of run time.
type slowStart struct {
	guarantees   Guarantees
	controllers  float64
	answeredWork float64 // work of all that this controller's workers have answered
	random       *rand.Rand
}

func newSlowStart(settings *Settings, random *rand.Rand) slowStart {
	return slowStart{guarantees: settings.Guarantees, controllers: float64(settings.Controllers),
		random: random}
}

// A warmup is the state of one worker in slow start.
type warmup struct {
	warmingSince         time.Duration // when it started, as the list said; 0: long ago
	outstandingWork      float64       // of this controller
	credit               float64       // work that may be sent to it; below 0: owed for failed work
	creditAt             time.Duration // when credit was last added
	answeredWorkAtCredit float64       // slowStart.answered then
	fairRate             float64       // mean work a second that this controller sees answered for one worker
}

// begin notes that a worker has started.
func (s *slowStart) begin(warmup *warmup, startedAt time.Duration) {
	warmup.warmingSince = startedAt
	warmup.credit = 0
	warmup.creditAt = startedAt
	warmup.answeredWorkAtCredit = s.answeredWork
	warmup.fairRate = assumedCores / s.controllers // the least, as its capacity is not known
}

// fraction is the part of its capacity that a worker has now at least: 1 once it is warm.
func (s *slowStart) fraction(warmup *warmup, now time.Duration) float64 {
	guarantees := s.guarantees
	if warmup.warmingSince <= 0 || now-warmup.warmingSince >= guarantees.WarmupTime {
		return 1
	}
	warmFor := float64(max(0, now-warmup.warmingSince))
	first := guarantees.WarmupFraction
	return first + (1-first)*warmFor/float64(guarantees.WarmupTime)
}

// sent notes work that was sent to a worker.
func (s *slowStart) sent(w *warmup, work float64) { w.outstandingWork += work }

// ended notes the outcome of work that was sent to a worker, whether it is warming or not.
func (s *slowStart) ended(warmup *warmup, work float64, outcome Outcome) {
	warmup.outstandingWork = max(0, warmup.outstandingWork-work)
	switch outcome {
	case OK:
		s.answeredWork += work
	case ConnectFailed, NotStarted:
	default: // it has weighed on the worker, and may still
		warmup.credit -= work
	}
}

// admit tells whether a warming worker may be sent work now, and charges its credit. Ready returns
// the number of ready workers, warming ones by their fraction; it is called only if credit is
// added. One draw is made where credit is wagered.
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
	wager := max(0, warmup.credit)
	warmup.credit -= wager
	return s.random.Float64()*work < wager
}

// accrue adds the credit earned since it was last added, and returns how many requests of this much
// work the bound lets all controllers together send in a window.
func (s *slowStart) accrue(
	warmup *warmup, now time.Duration, work, fraction float64, ready func() float64,
) float64 {
	guarantees := s.guarantees
	elapsed := max(0, (now - max(warmup.creditAt, warmup.warmingSince)).Seconds())
	fade := creditFadeWindows * guarantees.CollapseWindow.Seconds()
	kept := math.Exp(-elapsed / fade)
	rate := 0.0
	if elapsed > 0 {
		rate = max((s.answeredWork-warmup.answeredWorkAtCredit)/max(ready(), 1)/elapsed,
			assumedCores/s.controllers)
		warmup.fairRate += (rate - warmup.fairRate) * (1 - kept)
	}
	window := guarantees.CollapseWindow.Seconds()
	bound := guarantees.CollapseFactor * fraction * warmup.fairRate * s.controllers * window
	perWindow := bound / work
	warmup.credit = warmup.credit*kept + s.capacityMultiple(perWindow)*fraction*rate*fade*(1-kept)
	warmup.creditAt = now
	warmup.answeredWorkAtCredit = s.answeredWork
	return perWindow
}

// capacityMultiple is how many times its capacity a warming worker may be sent on the average, if
// the bound is so many requests in a window: their number varies by its square root.
func (s *slowStart) capacityMultiple(perWindow float64) float64 {
	factor := s.guarantees.CollapseFactor
	deviation := math.Sqrt(perWindow + marginDeviations*marginDeviations/4)
	average := math.Pow(deviation-marginDeviations/2, 2)
	return min(1+collapseExcessFraction*(factor-1), factor*(average/perWindow))
}

// outstandingAllowance is how much more work may be outstanding at a worker, whatever its credit.
func (s *slowStart) outstandingAllowance(warmup *warmup, fraction float64) float64 {
	guarantees := s.guarantees
	window := guarantees.CollapseWindow.Seconds()
	beyondCapacity := (guarantees.CollapseFactor - 1) * fraction * assumedCores * window
	return beyondCapacity/s.controllers - warmup.outstandingWork + min(0, warmup.credit)
}

// warmupFraction is the part of its capacity that a worker has now at least.
func (d *Dispatcher) warmupFraction(w *worker) float64 {
	return d.slowStart.fraction(&w.warmup, d.now)
}

// isWarm tells whether a worker has all of its capacity.
func (d *Dispatcher) isWarm(w *worker) bool { return d.warmupFraction(w) >= 1 }

// admitWarming tells whether a worker's slow start, if it is in one, lets a request through. A
// controller that another process has taken over sends a warming worker nothing: its successor has
// the credit.
func (d *Dispatcher) admitWarming(worker *worker, work float64) bool {
	switch {
	case d.isWarm(worker):
		return true
	case d.loadBudget.superseded:
		return false
	}
	return d.slowStart.admit(&worker.warmup, d.now, work, d.readyCapacity)
}
