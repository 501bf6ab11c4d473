package scheduler

import (
	"math/rand/v2"
	"time"

	"kitehub/scheduler/index"
	"kitehub/scheduler/ring"
)

// Dispatcher is the scheduler of one controller. It is not safe for concurrent use.
type Dispatcher struct {
	settings   Settings
	retryRules retryRules
	random     *rand.Rand // source of all random draws

	now     time.Duration // time of the current step
	actions []Action      // actions of the current step
	wakeAt  time.Duration // time of the last Wake

	workers        map[WorkerID]*worker
	listed         []*worker // workers on the endpoint list, by ID
	ring           ring.Ring[*worker]
	listGeneration int  // number of list updates
	ranksStale     bool // the endpoint list or the advice on workers has changed

	queues       fairQueues
	requests     map[RequestID]*request
	openRequests []*request // in order of arrival; some of them are removed already
	index        requestIndex
	classRunTime []float64 // mean run time by class, seconds

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
	uniformWorkers     bool   // see workersAreUniform; set for each round of dispatch
	candidatesExamined uint64 // see Effort
}

// New returns a dispatcher for one controller, or an error that names the invalid setting. All
// random draws derive from the seed.
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
		ring:          ring.Ring[*worker]{Hash: ringPointPosition},
		requests:      map[RequestID]*request{},
		admission:     newAdmission(),
		loadBudget:    newLoadBudget(settings.Loading),
		slowStart:     newSlowStart(&settings, random),
		outliers:      newOutlierDetector(&settings, random),
		desiredCopies: newDesiredCopies(),
		advisedRanks:  newWorkerRanks(),
	}
	d.queues = newFairQueues(&settings, &d.ring)
	d.index.untimely = make([]index.Heap[time.Duration, *request], len(settings.Classes))
	for _, class := range settings.Classes {
		d.classRunTime = append(d.classRunTime, initialRunTime*class.LatencyObjective.Seconds())
	}
	return d, nil
}

// Step processes the events since the last step, in order, and returns the actions to carry out, in
// order. The time is read from the caller's clock; a time before that of the last step counts as
// the time of the last step.
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

// begin sets the clock to the time of the step.
func (d *Dispatcher) begin(now time.Duration) {
	d.admission.recover(now-d.now, d.settings.Classes[0].Deadline)
	d.now = max(now, d.now)
	d.actions = nil
}

// apply processes one event. Most decisions that depend on it are made after all events of the
// step.
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

// requestWake requests the next step: after a tick or a tenth of the dial timeout, whichever is
// longer, or earlier if the dispatcher has to answer a request before. It requests none if no
// request is open and no function is remembered, or if an earlier Wake is still pending.
func (d *Dispatcher) requestWake() {
	at := d.now + max(d.settings.Tick, d.settings.Limits.DialTimeout/10)
	if first := d.index.deadlines.Min(); first != nil {
		at = min(at, max(first.Key(), d.now+1))
	}
	pending := d.wakeAt > d.now && d.wakeAt <= at
	idle := len(d.requests) == 0 && len(d.queues.byFunction) == 0
	if pending || idle {
		return
	}
	d.wakeAt = at
	d.emit(Wake{At: at})
}

// BudgetHandover returns the state of the load budget for a process that takes over this
// controller.
func (d *Dispatcher) BudgetHandover() BudgetHandover { return d.loadBudget.handover() }

// Effort counts what all steps have examined. It measures their cost independently of any clock.
type Effort struct {
	RingPoints uint64 // points of the ring that were visited
	Workers    uint64 // as candidates for a request, or for a health check
	// Queues whose index entries were updated, or that had pending requests in a dispatch.
	Queues   uint64
	Requests uint64 // that were examined for a retry, a rejection or their end
	// Workers whose capacity was added up while a worker that is warming up was considered.
	SummedWorkers uint64
}

// Effort returns the counts since the dispatcher was created.
func (d *Dispatcher) Effort() Effort {
	return Effort{
		RingPoints:    d.ring.Visited,
		Workers:       d.candidatesExamined + d.watchList.examined,
		Queues:        d.queues.examined,
		Requests:      d.index.examined,
		SummedWorkers: d.capacity.added,
	}
}
