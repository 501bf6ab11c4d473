// Package scalebench measures how the cost of the product's parts grows with the size of an installation: drivers over the real code,
// against hollow partners that share the process. Its tests assert shape (counts, bytes, growth) in seconds; its benchmarks
// play the sizes of docs/CAPACITY.md.
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

// Figures of the hollow workers that answer a dispatcher. They have no queue and no memory limit, and no fault but those that a load
// asks for, so what a step costs is not mixed with what trouble costs.
const (
	meanRun        = 60 * time.Millisecond  // of a call whose copy stands; exponentially distributed
	loadTime       = 240 * time.Millisecond // of a copy
	zipfPower      = 0.9                    // of the law by which calls come to functions
	firstClock     = time.Hour              // of the dispatcher's clock at the start
	warmupFraction = 3                      // the first part of a play, one in so many, is not measured
	roundTrip      = time.Millisecond       // to a worker and back
	faultPeriod    = 20 * time.Second       // a worker with faults has them for one such span, and none for the next
)

// DispatchLoad is one controller's share of an installation, played in virtual time.
type DispatchLoad struct {
	Workers, Functions int
	Rate               float64 // calls a second
	ListChanges        float64 // lists a second that change one worker
	FaultyShare        float64 // share of workers with faults: of these half reset what they are sent, half are silent, at times
	IdleCopyTTL        time.Duration
	Tick               time.Duration
	Duration           time.Duration // that is measured
	Seed               uint64
}

// DispatchCost is what the measured part of a play cost. Processor time is the thread's own, so a busy machine does not lengthen it;
// the garbage collector's other threads are not in it.
type DispatchCost struct {
	Duration     time.Duration
	Steps, Calls int
	Served       int // attempts that workers answer
	LostAttempts int // attempts that ended in a reset, or in silence
	Rejected     int
	Failed       int
	LoadOrders   int // to load
	Queries      int // how a worker is: probes, and orders for no copies
	CPU          time.Duration
	MaxStep      time.Duration // step
	MaxListStep  time.Duration // step that took a list in
	ListCPU      time.Duration // of all such
	Lists        int
	Allocations  uint64
	Bytes        uint64 // allocated
	Heap         uint64 // in use at the end, the play's own included
	Functions    int    // remembered at the end
	Effort       scheduler.Effort
}

// CoreShare returns the part of a processor core that the steps used.
func (c DispatchCost) CoreShare() float64 { return c.CPU.Seconds() / c.Duration.Seconds() }

type timedEvent struct {
	at    time.Duration
	order int
	event scheduler.Event
}

type timedEvents []timedEvent

func (h timedEvents) Len() int { return len(h) }
func (h timedEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
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

// A dispatchPlay is a dispatcher with its hollow workers, under way.
type dispatchPlay struct {
	load       DispatchLoad
	dispatcher *scheduler.Dispatcher
	random     *rand.Rand
	now        time.Duration
	events     timedEvents
	order      int
	workers    []scheduler.WorkerInfo
	nextWorker scheduler.WorkerID
	nextCall   scheduler.RequestID
	popularity []float64 // cumulative, by function
	functions  map[scheduler.RequestID]scheduler.FunctionID
	attempts   map[scheduler.RequestID]int
	lastUse    map[copyKey]time.Duration
	cost       DispatchCost
}

// dispatchSettings are those of a large installation with copies of two sizes of worker.
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

// RunDispatch plays a load and returns its cost.
func RunDispatch(load DispatchLoad) (DispatchCost, error) {
	d, err := scheduler.New(dispatchSettings(load), load.Seed)
	if err != nil {
		return DispatchCost{}, err
	}
	p := &dispatchPlay{load: load, dispatcher: d, random: rand.New(rand.NewPCG(load.Seed, 29)), now: firstClock, nextWorker: 1, nextCall: 1,
		functions: map[scheduler.RequestID]scheduler.FunctionID{}, attempts: map[scheduler.RequestID]int{}, lastUse: map[copyKey]time.Duration{}}
	for range load.Workers {
		p.workers = append(p.workers, p.newWorker())
	}
	total := 0.0
	for i := range load.Functions {
		total += math.Pow(float64(i+1), -zipfPower)
		p.popularity = append(p.popularity, total)
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	p.step([]scheduler.Event{scheduler.ListUpdate{Kind: scheduler.FullList, Workers: p.workers}}, true)
	p.run(load.Duration / warmupFraction)
	p.cost = DispatchCost{Duration: load.Duration}
	var before, after runtime.MemStats
	effort := d.Effort()
	runtime.ReadMemStats(&before)
	p.run(load.Duration)
	runtime.ReadMemStats(&after)
	p.cost.Effort = scheduler.Effort{RingPoints: d.Effort().RingPoints - effort.RingPoints, Workers: d.Effort().Workers - effort.Workers, Queues: d.Effort().Queues - effort.Queues, SummedWorkers: d.Effort().SummedWorkers - effort.SummedWorkers}
	p.cost.Allocations, p.cost.Bytes = after.Mallocs-before.Mallocs, after.TotalAlloc-before.TotalAlloc
	runtime.GC()
	runtime.ReadMemStats(&after)
	p.cost.Heap, p.cost.Functions = after.HeapInuse, len(d.Functions())
	return p.cost, nil
}

func (p *dispatchPlay) newWorker() scheduler.WorkerInfo {
	w := scheduler.WorkerInfo{ID: p.nextWorker, State: scheduler.Ready, Group: int(p.nextWorker) / 8, Zone: int(p.nextWorker) % 10, Kind: int(p.nextWorker) % 2}
	p.nextWorker++
	return w
}

func (p *dispatchPlay) run(span time.Duration) {
	for end := p.now + span; p.now < end; {
		p.now += p.load.Tick
		var events []scheduler.Event
		for len(p.events) > 0 && p.events[0].at <= p.now {
			events = append(events, heap.Pop(&p.events).(timedEvent).event)
		}
		for n := p.load.Rate * p.load.Tick.Seconds(); n > 0; n-- {
			if p.random.Float64() < n {
				events = append(events, p.call())
			}
		}
		changed := len(p.workers) > 0 && p.random.Float64() < p.load.ListChanges*p.load.Tick.Seconds()
		if changed {
			events = append(events, p.replaceOne())
		}
		p.step(events, changed)
	}
}

// replaceOne has one worker gone and another come, which is cold. The gateway tells the module whole lists, also where it was told a delta.
func (p *dispatchPlay) replaceOne() scheduler.Event {
	w := p.newWorker()
	w.StartedAt = p.now
	p.workers[p.random.IntN(len(p.workers))] = w
	return scheduler.ListUpdate{Kind: scheduler.FullList, Workers: p.workers}
}

func (p *dispatchPlay) call() scheduler.Event {
	x := p.random.Float64() * p.popularity[len(p.popularity)-1]
	low, high := 0, len(p.popularity)-1
	for low < high {
		if middle := (low + high) / 2; p.popularity[middle] < x {
			low = middle + 1
		} else {
			high = middle
		}
	}
	id := p.nextCall
	p.nextCall++
	p.functions[id] = scheduler.FunctionID(low + 1)
	p.cost.Calls++
	class := 0
	if p.random.IntN(5) == 0 {
		class = 1
	}
	return scheduler.Arrival{Request: id, Class: class, Function: scheduler.FunctionID(low + 1), TimeLeft: 2500 * time.Millisecond, Lanes: 2, LoadTime: loadTime}
}

func threadTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

func (p *dispatchPlay) step(events []scheduler.Event, list bool) {
	began := threadTime()
	actions := p.dispatcher.Step(p.now, events)
	took := threadTime() - began
	p.cost.Steps++
	p.cost.CPU += took
	p.cost.MaxStep = max(p.cost.MaxStep, took)
	if list {
		p.cost.Lists++
		p.cost.ListCPU += took
		p.cost.MaxListStep = max(p.cost.MaxListStep, took)
	}
	for _, a := range actions {
		p.answer(a)
	}
}

func (p *dispatchPlay) later(after time.Duration, e scheduler.Event) {
	p.order++
	heap.Push(&p.events, timedEvent{p.now + after, p.order, e})
}

func (p *dispatchPlay) answer(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Send:
		p.serve(a)
	case scheduler.LoadOrder:
		p.hold(a)
	case scheduler.Probe:
		p.cost.Queries++
		p.later(roundTrip, scheduler.ProbeEnded{Worker: a.Worker, Outcome: scheduler.OK})
	case scheduler.Cancel:
		p.later(roundTrip, scheduler.AttemptEnded{Request: a.Request, Attempt: a.Attempt, Outcome: scheduler.Cancelled})
	case scheduler.Reject:
		p.cost.Rejected++
		p.forget(a.Request)
	case scheduler.Fail:
		p.cost.Failed++
		p.forget(a.Request)
	}
}

// A fault is what a worker does with all that it is sent.
type fault int

const (
	noFault fault = iota
	resets
	silent
)

// fault returns what is wrong with a worker now. Workers with faults are spread evenly over the ids, and half of them have theirs
// while the other half have none.
func (p *dispatchPlay) fault(w scheduler.WorkerID) fault {
	faulty := int(float64(w)*p.load.FaultyShare) - int(float64(w-1)*p.load.FaultyShare)
	number := int(float64(w) * p.load.FaultyShare)
	if faulty == 0 || (int(p.now/faultPeriod)+number)%2 == 0 {
		return noFault
	}
	if number/2%2 == 0 {
		return resets
	}
	return silent
}

// hold answers an order to load, or the question how many copies stand.
func (p *dispatchPlay) hold(a scheduler.LoadOrder) {
	held := scheduler.LoadOrderEnded{Worker: a.Worker, Function: a.Function, Outcome: scheduler.OK, Copies: a.Copies}
	after := roundTrip
	if a.Copies == 0 {
		p.cost.Queries++
	} else {
		p.cost.LoadOrders++
		after = loadTime
	}
	switch p.fault(a.Worker) {
	case resets:
		held.Outcome, held.Copies = scheduler.Reset, 0
		after = roundTrip
	case silent:
		held.Outcome, held.Copies = scheduler.TimedOut, 0
		after = dispatchSettings(p.load).Loading.OrderTimeout
	default:
		if a.Copies == 0 {
			held.Copies = p.copies(copyKey{a.Worker, a.Function})
		} else {
			p.lastUse[copyKey{a.Worker, a.Function}] = p.now
		}
	}
	p.later(after, held)
}

// copies returns how many copies stand.
func (p *dispatchPlay) copies(key copyKey) int {
	if used, known := p.lastUse[key]; known && p.now-used < p.load.IdleCopyTTL {
		return 1
	}
	return 0
}

func (p *dispatchPlay) forget(id scheduler.RequestID) {
	delete(p.functions, id)
	delete(p.attempts, id)
}

func (p *dispatchPlay) serve(a scheduler.Send) {
	r := scheduler.AttemptEnded{Request: a.Request, Attempt: p.attempts[a.Request], Worker: a.Worker}
	p.attempts[a.Request]++
	switch p.fault(a.Worker) {
	case resets:
		p.cost.LostAttempts++
		r.Outcome, r.Took = scheduler.Reset, roundTrip
	case silent:
		p.cost.LostAttempts++
		r.Outcome, r.Took = scheduler.TimedOut, a.Timeout
	default:
		key := copyKey{a.Worker, p.functions[a.Request]}
		r.Outcome, r.Complete, r.Note = scheduler.OK, true, scheduler.FoundWarm
		r.Took = time.Duration(p.random.ExpFloat64() * float64(meanRun))
		if p.copies(key) == 0 {
			r.Note = scheduler.StartedLoad
			r.Took += loadTime
		}
		p.lastUse[key] = p.now
		p.cost.Served++
		p.forget(a.Request)
	}
	p.later(r.Took, r)
}
