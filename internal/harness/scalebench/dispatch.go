// Package scalebench measures how the cost of the product's parts grows with the size of an
// installation. It drives the real code against minimal simulations of its peers in the same
// process. The tests check the growth of counts and bytes and take seconds; the benchmarks measure
// the sizes in docs/CAPACITY.md.
package scalebench

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"kitehub/scheduler"
)

// Properties of the simulated workers that a dispatcher sends to. They have no queue, no memory
// limit and no faults but those that a DispatchLoad asks for, so that the cost of a step does not
// include the cost of handling overload or faults.
const (
	meanRunTime   = 60 * time.Millisecond  // of a call whose copy is loaded; exponentially distributed
	loadTime      = 240 * time.Millisecond // of a copy
	zipfExponent  = 0.9                    // of the Zipf distribution of calls over functions
	startTime     = time.Hour              // of the dispatcher's clock at the start
	warmupDivisor = 3                      // warming up takes the measured duration divided by this
	roundTrip     = time.Millisecond       // to a worker and back
	faultPeriod   = 20 * time.Second       // a faulty worker has its fault for one period, and none for the next
)

// DispatchLoad is the load of one controller of an installation, simulated in virtual time.
type DispatchLoad struct {
	Workers, Functions int
	Rate               float64 // calls a second
	ListChanges        float64 // endpoint lists a second, each of which changes one worker
	FaultyShare        float64 // of workers; half of these reset connections and half never respond, in alternate fault periods
	IdleCopyTTL        time.Duration
	Tick               time.Duration
	Duration           time.Duration // measured part
	Seed               uint64
}

// DispatchCost is the cost of the measured part of a run. Processor time is that of the thread, so
// a busy machine does not lengthen it; it excludes the garbage collector's other threads.
type DispatchCost struct {
	Duration     time.Duration
	Steps, Calls int
	Served       int // attempts that workers answered
	LostAttempts int // attempts that ended with a reset or a timeout
	Rejected     int
	Failed       int
	LoadOrders   int
	Queries      int // probes, and load orders for 0 copies, which ask how many are loaded
	CPU          time.Duration
	MaxStep      time.Duration // processor time of the longest step
	MaxListStep  time.Duration // the same, of steps that applied an endpoint list
	ListCPU      time.Duration // of all steps that applied an endpoint list
	Lists        int
	Allocations  uint64
	Bytes        uint64 // allocated
	Heap         uint64 // bytes in use at the end, including the simulation's own
	Functions    int    // that the dispatcher knows at the end
	Effort       scheduler.Effort
}

// CoreShare returns the fraction of a processor core that the steps used.
func (c DispatchCost) CoreShare() float64 { return c.CPU.Seconds() / c.Duration.Seconds() }

// A timedEvent is an event that the dispatcher gets at a later time.
type timedEvent struct {
	at       time.Duration
	sequence int // orders events of the same time
	event    scheduler.Event
}

// timedEvents is a heap of events by time.
type timedEvents []timedEvent

func (h timedEvents) Len() int { return len(h) }
func (h timedEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h timedEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timedEvents) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *timedEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type copyKey struct {
	worker   scheduler.WorkerID
	function scheduler.FunctionID
}

// A dispatchRun is a running dispatcher with its simulated workers.
type dispatchRun struct {
	load       DispatchLoad
	dispatcher *scheduler.Dispatcher
	random     *rand.Rand
	now        time.Duration
	events     timedEvents
	sequence   int
	workers    []scheduler.WorkerInfo
	nextWorker scheduler.WorkerID
	nextCall   scheduler.RequestID
	popularity []float64 // cumulative, by function
	functions  map[scheduler.RequestID]scheduler.FunctionID
	attempts   map[scheduler.RequestID]int
	lastUse    map[copyKey]time.Duration
	cost       DispatchCost
}

// dispatchSettings returns the settings of a controller in a large installation with two kinds of
// worker.
func dispatchSettings(l DispatchLoad) scheduler.Settings {
	const ms = time.Millisecond
	return scheduler.Settings{Controllers: 800, Tick: l.Tick,
		Classes: []scheduler.Class{
			{Name: "read", Idempotency: scheduler.Idempotent, LatencyObjective: 500 * ms, Deadline: 2500 * ms, PriorityWeight: 1},
			{Name: "write", Idempotency: scheduler.NonIdempotent, LatencyObjective: 500 * ms, Deadline: 2500 * ms, PriorityWeight: 1}},
		Limits: scheduler.Limits{MaxAttempts: 3, MaxOpenRequests: 4000, DialTimeout: 250 * ms, Cancel: true, Probe: true},
		Loading: scheduler.Loading{Orders: true, LoadsOnMiss: true, OnMissKnown: true, IdleCopyTTL: l.IdleCopyTTL, OrderTimeout: 5 * time.Second,
			BudgetWindow: 5 * time.Second, BudgetFree: 20, BudgetRatio: 1, ReportsLoadNotes: true, MemoryMB: []float64{8000, 16000}},
		Guarantees: scheduler.Guarantees{DrainGrace: 500 * ms, WarmupFraction: 0.2, WarmupTime: 16 * time.Second, CollapseFactor: 3, CollapseWindow: 2 * time.Second}}
}

// RunDispatch simulates a load and returns its cost.
func RunDispatch(load DispatchLoad) (DispatchCost, error) {
	d, err := scheduler.New(dispatchSettings(load), load.Seed)
	if err != nil {
		return DispatchCost{}, err
	}
	r := &dispatchRun{load: load, dispatcher: d, random: rand.New(rand.NewPCG(load.Seed, 29)), now: startTime, nextWorker: 1, nextCall: 1,
		functions: map[scheduler.RequestID]scheduler.FunctionID{}, attempts: map[scheduler.RequestID]int{}, lastUse: map[copyKey]time.Duration{}}
	for range load.Workers {
		r.workers = append(r.workers, r.newWorker())
	}
	total := 0.0
	for i := range load.Functions {
		total += math.Pow(float64(i+1), -zipfExponent)
		r.popularity = append(r.popularity, total)
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	r.step([]scheduler.Event{scheduler.ListUpdate{Kind: scheduler.FullList, Workers: r.workers}}, true)
	r.run(load.Duration / warmupDivisor)
	r.cost = DispatchCost{Duration: load.Duration}
	var before, after runtime.MemStats
	effort := d.Effort()
	runtime.ReadMemStats(&before)
	r.run(load.Duration)
	runtime.ReadMemStats(&after)
	r.cost.Effort = scheduler.Effort{RingPoints: d.Effort().RingPoints - effort.RingPoints, Workers: d.Effort().Workers - effort.Workers, Queues: d.Effort().Queues - effort.Queues, SummedWorkers: d.Effort().SummedWorkers - effort.SummedWorkers}
	r.cost.Allocations, r.cost.Bytes = after.Mallocs-before.Mallocs, after.TotalAlloc-before.TotalAlloc
	runtime.GC()
	runtime.ReadMemStats(&after)
	r.cost.Heap, r.cost.Functions = after.HeapInuse, len(d.Functions())
	return r.cost, nil
}

func (r *dispatchRun) newWorker() scheduler.WorkerInfo {
	w := scheduler.WorkerInfo{ID: r.nextWorker, State: scheduler.Ready, Group: int(r.nextWorker) / 8, Zone: int(r.nextWorker) % 10, Kind: int(r.nextWorker) % 2}
	r.nextWorker++
	return w
}

func (r *dispatchRun) run(span time.Duration) {
	for end := r.now + span; r.now < end; {
		r.now += r.load.Tick
		var events []scheduler.Event
		for len(r.events) > 0 && r.events[0].at <= r.now {
			events = append(events, heap.Pop(&r.events).(timedEvent).event)
		}
		for n := r.load.Rate * r.load.Tick.Seconds(); n > 0; n-- {
			if r.random.Float64() < n {
				events = append(events, r.drawCall())
			}
		}
		changed := len(r.workers) > 0 && r.random.Float64() < r.load.ListChanges*r.load.Tick.Seconds()
		if changed {
			events = append(events, r.replaceWorker())
		}
		r.step(events, changed)
	}
}

// replaceWorker replaces one worker by a new one, which is warming up. The update is a full list,
// as the gateway passes full lists to the scheduler even if it received a delta.
func (r *dispatchRun) replaceWorker() scheduler.Event {
	w := r.newWorker()
	w.StartedAt = r.now
	r.workers[r.random.IntN(len(r.workers))] = w
	return scheduler.ListUpdate{Kind: scheduler.FullList, Workers: r.workers}
}

// drawCall draws a call and returns its arrival.
func (r *dispatchRun) drawCall() scheduler.Event {
	x := r.random.Float64() * r.popularity[len(r.popularity)-1]
	low, high := 0, len(r.popularity)-1
	for low < high {
		if middle := (low + high) / 2; r.popularity[middle] < x {
			low = middle + 1
		} else {
			high = middle
		}
	}
	id := r.nextCall
	r.nextCall++
	r.functions[id] = scheduler.FunctionID(low + 1)
	r.cost.Calls++
	class := 0
	if r.random.IntN(5) == 0 {
		class = 1
	}
	return scheduler.Arrival{Request: id, Class: class, Function: scheduler.FunctionID(low + 1), TimeLeft: 2500 * time.Millisecond, Lanes: 2, LoadTime: loadTime}
}

// threadCPUTime returns the processor time that the current thread has used.
func threadCPUTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

func (r *dispatchRun) step(events []scheduler.Event, list bool) {
	began := threadCPUTime()
	actions := r.dispatcher.Step(r.now, events)
	took := threadCPUTime() - began
	r.cost.Steps++
	r.cost.CPU += took
	r.cost.MaxStep = max(r.cost.MaxStep, took)
	if list {
		r.cost.Lists++
		r.cost.ListCPU += took
		r.cost.MaxListStep = max(r.cost.MaxListStep, took)
	}
	for _, a := range actions {
		r.handleAction(a)
	}
}

// schedule delivers an event to the dispatcher after a time.
func (r *dispatchRun) schedule(after time.Duration, e scheduler.Event) {
	r.sequence++
	heap.Push(&r.events, timedEvent{r.now + after, r.sequence, e})
}

// handleAction carries out an action of the dispatcher as its workers would.
func (r *dispatchRun) handleAction(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Send:
		r.runAttempt(a)
	case scheduler.LoadOrder:
		r.answerLoadOrder(a)
	case scheduler.Probe:
		r.cost.Queries++
		r.schedule(roundTrip, scheduler.ProbeEnded{Worker: a.Worker, Outcome: scheduler.OK})
	case scheduler.Cancel:
		r.schedule(roundTrip, scheduler.AttemptEnded{Request: a.Request, Attempt: a.Attempt, Outcome: scheduler.Cancelled})
	case scheduler.Reject:
		r.cost.Rejected++
		r.forgetRequest(a.Request)
	case scheduler.Fail:
		r.cost.Failed++
		r.forgetRequest(a.Request)
	}
}

// A fault is a way in which a worker fails everything that it is sent.
type fault int

const (
	noFault fault = iota
	resets        // resets the connection
	silent        // never responds
)

// fault returns the current fault of a worker. Faulty workers are spread evenly over the ids. Half
// of them have their fault in one period, the other half in the next.
func (r *dispatchRun) fault(w scheduler.WorkerID) fault {
	faulty := int(float64(w)*r.load.FaultyShare) - int(float64(w-1)*r.load.FaultyShare)
	number := int(float64(w) * r.load.FaultyShare)
	if faulty == 0 || (int(r.now/faultPeriod)+number)%2 == 0 {
		return noFault
	}
	if number/2%2 == 0 {
		return resets
	}
	return silent
}

// answerLoadOrder answers a load order. One for 0 copies asks how many are loaded.
func (r *dispatchRun) answerLoadOrder(a scheduler.LoadOrder) {
	ended := scheduler.LoadOrderEnded{Worker: a.Worker, Function: a.Function, Outcome: scheduler.OK, Copies: a.Copies}
	after := roundTrip
	if a.Copies == 0 {
		r.cost.Queries++
	} else {
		r.cost.LoadOrders++
		after = loadTime
	}
	switch r.fault(a.Worker) {
	case resets:
		ended.Outcome, ended.Copies = scheduler.Reset, 0
		after = roundTrip
	case silent:
		ended.Outcome, ended.Copies = scheduler.TimedOut, 0
		after = dispatchSettings(r.load).Loading.OrderTimeout
	default:
		if a.Copies == 0 {
			ended.Copies = r.loadedCopies(copyKey{a.Worker, a.Function})
		} else {
			r.lastUse[copyKey{a.Worker, a.Function}] = r.now
		}
	}
	r.schedule(after, ended)
}

// loadedCopies returns the number of loaded copies.
func (r *dispatchRun) loadedCopies(key copyKey) int {
	if used, known := r.lastUse[key]; known && r.now-used < r.load.IdleCopyTTL {
		return 1
	}
	return 0
}

// forgetRequest removes a request that has ended.
func (r *dispatchRun) forgetRequest(id scheduler.RequestID) {
	delete(r.functions, id)
	delete(r.attempts, id)
}

// runAttempt schedules the end of an attempt.
func (r *dispatchRun) runAttempt(a scheduler.Send) {
	ended := scheduler.AttemptEnded{Request: a.Request, Attempt: r.attempts[a.Request], Worker: a.Worker}
	r.attempts[a.Request]++
	switch r.fault(a.Worker) {
	case resets:
		r.cost.LostAttempts++
		ended.Outcome, ended.Took = scheduler.Reset, roundTrip
	case silent:
		r.cost.LostAttempts++
		ended.Outcome, ended.Took = scheduler.TimedOut, a.Timeout
	default:
		key := copyKey{a.Worker, r.functions[a.Request]}
		ended.Outcome, ended.Complete, ended.Note = scheduler.OK, true, scheduler.FoundWarm
		ended.Took = time.Duration(r.random.ExpFloat64() * float64(meanRunTime))
		if r.loadedCopies(key) == 0 {
			ended.Note = scheduler.StartedLoad
			ended.Took += loadTime
		}
		r.lastUse[key] = r.now
		r.cost.Served++
		r.forgetRequest(a.Request)
	}
	r.schedule(ended.Took, ended)
}
