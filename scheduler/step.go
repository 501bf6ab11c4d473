package scheduler

import (
	"math/rand/v2"
	"time"

	"kitehub/scheduler/ring"
)

// Tuned values. All are ratios of settings or of what is observed, but for the design's own figures.
const (
	alpha      = 2.0  // queue TTL in inter-arrival times: keeps a function's home while calls are likely
	overrun    = 10.0 // T, seconds of run time a queue may lead Global_VT: batches, yet no monopoly
	meanWeight = 0.2  // of a new run time or gap in its mean: follows a change in some five calls
	meanClip   = 4.0  // a sample counts as at most so many means: one rare long call is not the rule
	guessRun   = 0.25 // run time before the first answer, of the aim
	ringPoints = 48   // of an average worker: even arcs, and a lost home's functions go to many others
	ownLoads   = 2    // sends at once to one worker where a load is likely: the store is shared by all
	spillAfter = 0.25 // wait at a busy home, of the aim, before a further copy is worth its load
	spillCrowd = 10.0 // added to it for each share of believed copies that had been pushed out
	jitter     = 0.5  // of a time off the ring or to come back: who saw the same does not return in step
	preferArc  = 1.5  // of its arc, for a worker that is advised rather than others
	graceTicks = 2    // ticks kept for our own answer before the deadline
)

// New returns a dispatcher for one controller, or an error that names the wrong field. Draws use the seed.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(seed, seed))
	d := &Dispatcher{
		settings:      s,
		random:        random,
		workers:       map[WorkerID]*worker{},
		ring:          ring.Ring[*worker]{Hash: ringPoint},
		queues:        map[FunctionID]*queue{},
		requests:      map[RequestID]*request{},
		admission:     newAdmission(),
		loadBudget:    newLoadBudget(s.Loading),
		slowStart:     newSlowStart(&s, random),
		outliers:      newOutlierDetector(&s, random),
		desiredCopies: newDesiredCopies(),
		advisedRanks:  newWorkerRanks(),
	}
	for _, c := range s.Classes {
		d.classRunTime = append(d.classRunTime, guessRun*c.LatencyObjective.Seconds())
	}
	return d, nil
}

// Step takes the events of one tick and returns what to do, in order. Between steps nothing happens.
func (d *Dispatcher) Step(now time.Duration, events []Event) []Action {
	d.admission.recover(now-d.now, d.settings.Classes[0].Deadline)
	d.now = max(now, d.now)
	d.actions = nil
	for _, e := range events {
		switch e := e.(type) {
		case ListUpdate:
			d.list(e)
		case Arrival:
			d.arrive(e)
		case AttemptEnded:
			d.attemptEnded(e)
		case ClientGone:
			if r := d.requests[e.Request]; r != nil {
				d.end(r)
			}
		case LoadOrderEnded:
			d.loadOrderEnded(e)
		case ProbeEnded:
			d.workerAnswered(d.workers[e.Worker], e.Outcome)
		case StagedCopies:
			d.stageCopies(e)
		case BudgetHandover:
			d.loadBudget.inherit(e)
		case Superseded:
			d.loadBudget.superseded = e.On
		case DesiredCopies:
			d.desiredCopies.set(e, e.Copies > 0)
		case WorkerRank:
			d.ranksStale = true
			d.advisedRanks.set(e, e.Rank != 0)
		}
	}
	d.applyRanks()
	d.sweep()
	d.checkHealth()
	d.dispatch()
	d.renewCopies()
	d.loadDesiredCopies()
	d.wake()
	return d.actions
}

// wake asks for the next step: each tick or so while something is open, else when a queue may want renewal.
func (d *Dispatcher) wake() {
	at := d.now + max(d.settings.Tick, d.settings.Limits.DialTimeout/10)
	for _, r := range d.openRequests {
		if !r.ended {
			at = min(at, max(r.answerBy, d.now+1))
		}
	}
	if d.wakeAt > d.now && d.wakeAt <= at || len(d.openRequests) == 0 && len(d.queues) == 0 {
		return
	}
	d.wakeAt = at
	d.do(Wake{At: at})
}

func mean(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + meanWeight*(min(sample, meanClip*old)-old)
}
