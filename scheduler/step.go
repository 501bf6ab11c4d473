package scheduler

import (
	"math/rand/v2"
	"time"

	"kitehub/scheduler/ring"
)

// A Dispatcher decides for one controller. It is not safe for concurrent use.
type Dispatcher struct {
	settings   Settings
	retryRules retryRules
	random     *rand.Rand // all draws, in the order in which decisions need them

	now     time.Duration // of the step
	actions []Action      // of the step
	wakeAt  time.Duration // last asked for

	workers        map[WorkerID]*worker
	listed         []*worker // listed, by id
	ring           ring.Ring[*worker]
	listGeneration int  // lists that came
	ranksStale     bool // the list or the advice on workers has changed

	queues       fairQueues
	requests     map[RequestID]*request
	openRequests []*request // in order of arrival
	classRunTime []float64  // mean run time by class, seconds

	admission     admission
	slowStart     slowStart
	outliers      outlierDetector
	peerLatency   peerLatency
	evictions     evictions
	loadBudget    loadBudget
	desiredCopies adviceList[DesiredCopies]
	advisedRanks  adviceList[WorkerRank]

	watchList          watchList
	capacity           capacitySum
	candidatesExamined uint64 // see Effort
}

// New returns a dispatcher for one controller, or an error that names the setting that is wrong. All its
// draws come from the seed.
func New(settings Settings, seed uint64) (*Dispatcher, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(seed, seed))
	d := &Dispatcher{
		settings:      settings,
		retryRules:    newRetryRules(&settings),
		random:        random,
		workers:       map[WorkerID]*worker{},
		ring:          ring.Ring[*worker]{Hash: ringPoint},
		requests:      map[RequestID]*request{},
		admission:     newAdmission(),
		loadBudget:    newLoadBudget(settings.Loading),
		slowStart:     newSlowStart(&settings, random),
		outliers:      newOutlierDetector(&settings, random),
		desiredCopies: newDesiredCopies(),
		advisedRanks:  newWorkerRanks(),
	}
	d.queues = newFairQueues(&settings, &d.ring)
	for _, class := range settings.Classes {
		d.classRunTime = append(d.classRunTime, guessRun*class.LatencyObjective.Seconds())
	}
	return d, nil
}

// Step takes the events since the last step, in their order, and returns what to do, in order. The time is
// one of the caller's clock; one before the last step's counts as that. Between steps nothing happens.
func (d *Dispatcher) Step(now time.Duration, events []Event) []Action {
	d.begin(now)
	for _, event := range events {
		d.apply(event)
	}
	d.applyRanks()
	d.advanceRequests()
	d.checkHealth()
	d.dispatch()
	d.renewCopies()
	d.loadDesiredCopies()
	d.requestWake()
	return d.actions
}

// begin moves the clock.
func (d *Dispatcher) begin(now time.Duration) {
	d.admission.recover(now-d.now, d.settings.Classes[0].Deadline)
	d.now = max(now, d.now)
	d.actions = nil
}

// apply takes in one event. Most of what follows from it is decided after all events of the step.
func (d *Dispatcher) apply(event Event) {
	switch event := event.(type) {
	case ListUpdate:
		d.updateList(event)
	case Arrival:
		d.arrive(event)
	case AttemptEnded:
		d.attemptEnded(event)
	case ClientClosed:
		if r := d.requests[event.Request]; r != nil {
			d.end(r)
		}
	case LoadOrderEnded:
		d.loadOrderEnded(event)
	case ProbeEnded:
		d.workerResponded(d.workers[event.Worker], event.Outcome)
	case StagedCopies:
		d.stageCopies(event)
	case BudgetHandover:
		d.loadBudget.inherit(event)
	case Superseded:
		d.loadBudget.superseded = event.On
	case DesiredCopies:
		d.desiredCopies.set(event, event.Copies > 0)
	case WorkerRank:
		d.advisedRanks.set(event, event.Rank != 0)
		d.ranksStale = true
	}
}

// emit adds an action to those of the step.
func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// requestWake asks for the next step: after a tick or so, by the time of the next answer of our own. It
// asks for none where nothing is open or remembered, or an earlier one is still to come.
func (d *Dispatcher) requestWake() {
	at := d.now + max(d.settings.Tick, d.settings.Limits.DialTimeout/10)
	for _, request := range d.openRequests {
		if !request.ended {
			at = min(at, max(request.answerBy, d.now+1))
		}
	}
	asked := d.wakeAt > d.now && d.wakeAt <= at
	idle := len(d.openRequests) == 0 && len(d.queues.byFunction) == 0
	if asked || idle {
		return
	}
	d.wakeAt = at
	d.emit(Wake{At: at})
}

// BudgetHandover returns what a process that takes over this controller begins with.
func (d *Dispatcher) BudgetHandover() BudgetHandover { return d.loadBudget.handover() }

// Effort counts what steps have examined: a measure of their cost that depends on no clock.
type Effort struct {
	RingPoints    uint64 // points of the ring that were visited
	Workers       uint64 // as candidates for a request, or for a health check
	Queues        uint64
	SummedWorkers uint64 // whose capacity was added up while a worker that is warming up was considered
}

// Effort returns the sums since the start.
func (d *Dispatcher) Effort() Effort {
	return Effort{
		RingPoints:    d.ring.Visited,
		Workers:       d.candidatesExamined + d.watchList.examined,
		Queues:        d.queues.examined,
		SummedWorkers: d.capacity.added,
	}
}
