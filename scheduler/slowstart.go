package scheduler

import "math"

// warmupFraction is the part of its capacity that a worker has now at least.
func (d *Dispatcher) warmupFraction(w *worker) float64 {
	g := d.settings.Guarantees
	if w.warmingSince <= 0 || d.now-w.warmingSince >= g.WarmupTime {
		return 1
	}
	return g.WarmupFraction + (1-g.WarmupFraction)*float64(max(0, d.now-w.warmingSince))/float64(g.WarmupTime)
}

// coldRoom keeps a cold worker from being pushed over by all controllers together, with no word between them.
// Work sent in a window is what the worker finishes plus what is outstanding: an equal part of (factor-1) x
// share x one core x window may be. Where that is under a call, each call answered anywhere gives credit for
// its share of a worker's even part: what is answered cannot pass what the fleet can do, however traffic is
// spread. Unused credit fades; part of a call is staked on a draw, which keeps the sum on the average.
// Exception where a window holds few calls: draws then pass it by chance, and one call may by itself. The
// average is kept coldDraws standard deviations below what it holds, judged by what this controller sees
// answered; a window of fewer than coldDraws calls gets none.
func (d *Dispatcher) coldRoom(w *worker, work float64) bool {
	share, g, n := d.warmupFraction(w), d.settings.Guarantees, float64(d.settings.Controllers)
	if share >= 1 || d.loadBudget.superseded {
		return share >= 1
	}
	window, dt := creditKeep*g.CollapseWindow.Seconds(), max(0, (d.now-max(w.creditAt,
		w.warmingSince)).Seconds())
	kept, gain := math.Exp(-dt/window), 0.0
	if dt > 0 {
		gain = max((d.answeredRunTime-w.answeredAtCredit)/max(d.readyShares(), 1)/dt, coldCores/n)
		w.fairRate += (gain - w.fairRate) * (1 - kept)
	}
	// Calls in a window, by all controllers.
	holds := g.CollapseFactor * share * w.fairRate * n * g.CollapseWindow.Seconds() / work
	mean := math.Pow(math.Sqrt(holds+coldDraws*coldDraws/4)-coldDraws/2, 2) / holds
	multiple := min(1+coldPart*(g.CollapseFactor-1), g.CollapseFactor*mean)
	w.credit = w.credit*kept + multiple*share*gain*window*(1-kept)
	w.creditAt, w.answeredAtCredit = d.now, d.answeredRunTime
	if holds < coldDraws {
		w.credit = min(0, w.credit)
		return false
	}
	free := (g.CollapseFactor-1)*share*coldCores*g.CollapseWindow.Seconds()/n -
		w.outstandingWork + min(0, w.credit)
	if w.credit >= work || free >= work {
		w.credit = max(w.credit-work, min(0, w.credit))
		return true
	}
	stake := max(0, w.credit)
	w.credit -= stake
	return d.random.Float64()*work < stake
}
