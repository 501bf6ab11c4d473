package scheduler

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// A dueEvent is delivered to the dispatcher at a time on the dispatcher's clock.
type dueEvent struct {
	at    time.Duration
	seq   int
	event Event
}

type dueEvents []dueEvent

func (h dueEvents) Len() int { return len(h) }
func (h dueEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h dueEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueEvents) Push(x any)   { *h = append(*h, x.(dueEvent)) }
func (h *dueEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type workerFunction struct {
	worker   WorkerID
	function FunctionID
}

// A simulation runs one case: the dispatcher, and a simple model of the workers and clients that
// respond to it.
type simulation struct {
	test       *testing.T
	config     simulationCase
	settings   Settings
	dispatcher *Dispatcher
	random     *rand.Rand
	now        time.Duration
	due        dueEvents
	seq        int
	list       []WorkerInfo
	nextID     WorkerID
	nextCall   RequestID
	function   map[RequestID]FunctionID
	attempts   map[RequestID]int
	sent       map[RequestID][]WorkerID
	copies     map[workerFunction]time.Duration // when a copy was last used; it may be loading
	encoded    hash.Hash                        // of the encoded actions and the final state
	actions    int
	counts     map[string]int // number of actions by the first word of their encoding
}

func simulate(t *testing.T, c simulationCase, seed uint64) *simulation {
	return simulateWith(t, c, seed, func(*Dispatcher) {})
}

// simulateWith runs a case, calls after at the end of each step, and returns the finished
// simulation.
func simulateWith(t *testing.T, c simulationCase, seed uint64, after func(*Dispatcher)) *simulation {
	s := testSettings()
	s.Tick, s.Loading.IdleCopyTTL = c.tick, c.idleCopyTTL
	if c.adjust != nil {
		c.adjust(&s)
	}
	d, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	p := &simulation{test: t, config: c, settings: s, dispatcher: d,
		random: rand.New(rand.NewPCG(seed, 11)), now: time.Hour, nextCall: 1, nextID: 1,
		function: map[RequestID]FunctionID{}, attempts: map[RequestID]int{}, sent: map[RequestID][]WorkerID{},
		copies: map[workerFunction]time.Duration{}, encoded: sha256.New(), counts: map[string]int{}}
	for range c.workers {
		p.list = append(p.list, p.newWorker(false))
	}
	p.step([]Event{ListUpdate{Kind: CachedList, Workers: p.list}})
	after(d)
	for end := p.now + c.span; p.now < end; {
		p.tick()
		var events []Event
		for len(p.due) > 0 && p.due[0].at <= p.now {
			events = append(events, heap.Pop(&p.due).(dueEvent).event)
		}
		events = append(events, p.events()...)
		p.step(events)
		after(d)
	}
	p.addState()
	return p
}

// addState adds the dispatcher's snapshots of its workers and functions to the hash.
func (p *simulation) addState() {
	for _, l := range p.dispatcher.Workers() {
		fmt.Fprintln(p.encoded, encodeWorkerSnapshot(l))
	}
	for _, l := range p.dispatcher.Functions() {
		fmt.Fprintln(p.encoded, encodeFunctionSnapshot(l))
		if len(p.list) > 0 {
			snapshot := p.dispatcher.Snapshot(l.ID, p.list[p.random.IntN(len(p.list))].ID)
			fmt.Fprintln(p.encoded, encodeSnapshot(snapshot))
		}
	}
}

// encodedLine returns the line that records the simulation: a hash of its encoded actions, and
// their counts.
func (p *simulation) encodedLine() string {
	return fmt.Sprintf("%s %x actions %d sends %d loads %d probes %d rejected %d failed %d cancelled %d",
		p.config.name, p.encoded.Sum(nil)[:16],
		p.actions, p.counts["send"], p.counts["load"], p.counts["probe"], p.counts["reject"],
		p.counts["fail"], p.counts["cancel"])
}

// chance reports whether an event with this rate occurs in the current tick.
func (p *simulation) chance(perSecond float64) bool {
	return p.random.Float64() < perSecond*p.config.tick.Seconds()
}

// tick advances the clock.
func (p *simulation) tick() {
	switch {
	case p.config.jumps && p.random.IntN(200) == 0: // the clock stands still
	case p.config.jumps && p.random.IntN(1500) == 0:
		p.now += time.Hour
	default:
		p.now += p.config.tick
	}
}

// newWorker returns a ready worker. One that joins a running system may state when it started.
func (p *simulation) newWorker(joining bool) WorkerInfo {
	w := WorkerInfo{ID: p.nextID, State: Ready, Group: int(p.nextID) / 3, Zone: int(p.nextID) % 3,
		Kind: int(p.nextID) % 3}
	p.nextID++
	if joining && p.random.Float64() < p.config.started {
		w.StartedAt = p.now - time.Duration(p.random.IntN(3000))*ms
	}
	return w
}

// events returns the external events of a step: calls, clients that close, list updates and advice.
func (p *simulation) events() (events []Event) {
	for n := p.config.rate * p.config.tick.Seconds(); n > 0; n-- {
		if p.random.Float64() < n {
			events = append(events, p.newArrival())
		}
	}
	if p.nextCall > 1 && p.chance(p.config.rate/40) {
		events = append(events,
			ClientClosed{Request: p.nextCall - RequestID(1+p.random.IntN(min(20, int(p.nextCall)-1)))})
	}
	if p.config.change > 0 && p.chance(p.config.change) {
		events = append(events, p.listChange()...)
	}
	if p.config.advice > 0 && p.chance(p.config.advice) {
		events = append(events, p.newAdvice())
	}
	return events
}

// newArrival returns a call of a function that is drawn from a Zipf distribution.
func (p *simulation) newArrival() Event {
	x := math.Pow(float64(p.config.functions), p.random.Float64())
	fn := FunctionID(min(int(x), p.config.functions))
	a := Arrival{Request: p.nextCall, Class: p.random.IntN(3), Function: fn, Lanes: float64(1 + fn%3),
		ClientRetry: p.random.IntN(20) == 0,
		TimeLeft:    time.Duration(200+p.random.IntN(3800)) * ms}
	if p.random.IntN(10) == 0 {
		a.LoadTime = time.Duration(100+p.random.IntN(900)) * ms
	}
	if p.config.advice > 0 {
		a.ShedAdvised = p.random.IntN(50) == 0
		a.Weight = float64(p.random.IntN(3))
	}
	p.function[a.Request] = fn
	p.nextCall++
	return a
}

// listChange returns a random change of the endpoint list.
func (p *simulation) listChange() []Event {
	if p.config.replaced && p.random.IntN(6) == 0 {
		for i := range p.list {
			p.list[i] = p.newWorker(true)
		}
		return []Event{ListUpdate{Kind: FullList, Workers: p.list}}
	}
	if len(p.list) == 0 {
		return nil
	}
	i := p.random.IntN(len(p.list))
	old := p.list[i]
	switch p.random.IntN(8) {
	case 0: // it drains
		p.list[i].State = Draining
		return []Event{ListUpdate{Kind: ListDelta, Workers: p.list[i : i+1]}}
	case 1: // it leaves and returns with the same ID within one step
		removed := old
		removed.State = Removed
		p.list[i].State = Ready
		return []Event{ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{removed, p.list[i]}}}
	case 2: // it restarts with the same ID
		p.list[i].StartedAt, p.list[i].State = p.now, Ready
		return []Event{ListUpdate{Kind: FullList, Workers: p.list}}
	case 3: // the list is repeated unchanged, and a poll fails
		return []Event{ListUpdate{Kind: FullList, Workers: p.list}, ListUpdate{Kind: ListFailed}}
	case 4: // it is ready again
		p.list[i].State = Ready
		return []Event{ListUpdate{Kind: ListDelta, Workers: p.list[i : i+1]}}
	case 5: // it is missing from a full list
		if len(p.list) > max(1, p.config.workers/2) {
			p.list = append(p.list[:i:i], p.list[i+1:]...)
		}
		return []Event{ListUpdate{Kind: FullList, Workers: p.list}}
	case 6: // another worker joins
		if len(p.list) < 2*p.config.workers {
			p.list = append(p.list, p.newWorker(true))
		}
		return []Event{ListUpdate{Kind: ListDelta, Workers: p.list[len(p.list)-1:]}}
	}
	old.State = Removed
	p.list[i] = p.newWorker(true)
	return []Event{ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{old, p.list[i]}}}
}

// newAdvice returns a random advice, staging or takeover event.
func (p *simulation) newAdvice() Event {
	fn := FunctionID(1 + p.random.IntN(p.config.functions))
	until := p.now + time.Duration(p.random.IntN(8000))*ms
	switch p.random.IntN(8) {
	case 0, 1:
		return StagedCopies{Function: fn, Copies: 1 + p.random.IntN(3)}
	case 2, 3:
		return DesiredCopies{Function: fn, Copies: p.random.IntN(4), Until: until}
	case 4:
		return Superseded{On: p.random.IntN(4) == 0}
	case 5:
		return BudgetHandover{Orders: []time.Duration{p.now - time.Second},
			Arrivals: []time.Duration{p.now - 2*time.Second, p.now}}
	}
	if len(p.list) == 0 {
		return Timer{}
	}
	return WorkerRank{Worker: p.list[p.random.IntN(len(p.list))].ID, Rank: p.random.IntN(5) - 2, Until: until}
}

// step runs one step, adds its actions to the hash, and has the model respond to them.
func (p *simulation) step(events []Event) {
	actions := p.dispatcher.Step(p.now, events)
	for _, a := range actions {
		p.actions++
		line, err := encodeAction(a)
		if err != nil {
			p.test.Fatal(err)
		}
		kind, _, _ := strings.Cut(line, " ")
		p.counts[kind]++
		fmt.Fprintf(p.encoded, "%d %s\n", p.now, line)
		p.respond(a)
	}
}

// schedule delivers an event to the dispatcher after a delay.
func (p *simulation) schedule(after time.Duration, e Event) {
	p.seq++
	heap.Push(&p.due, dueEvent{p.now + max(after, 1), p.seq, e})
}

// respond models a worker. Whether it has a fault depends on its ID and the time. It loads a
// function that has no loaded copy, and evicts a copy after its idle time to live.
func (p *simulation) respond(a Action) {
	switch a := a.(type) {
	case Send:
		p.respondToSend(a)
	case LoadOrder:
		key := workerFunction{a.Worker, a.Function}
		h := LoadOrderEnded{Worker: a.Worker, Function: a.Function, Outcome: OK, Copies: a.Copies}
		after := 150 * ms
		switch {
		case a.Copies == 0 && p.now-p.copies[key] < p.config.idleCopyTTL:
			h.Copies, after = 1, 2*ms
		case p.faulty(a.Worker):
			h.Copies, h.Outcome = 0, []Outcome{AtCapacity, TimedOut, Error, ConnectFailed}[p.random.IntN(4)]
		case p.random.IntN(12) == 0:
			h.Copies, h.Outcome = 0, AtCapacity
		default:
			p.copies[key] = p.now
		}
		p.schedule(after, h)
	case Probe:
		o := OK
		if p.faulty(a.Worker) {
			o = TimedOut
		}
		p.schedule(20*ms, ProbeEnded{Worker: a.Worker, Outcome: o})
	}
}

// faulty reports whether a worker has a fault now. Faults change every seven seconds.
func (p *simulation) faulty(w WorkerID) bool {
	return unitInterval(mix(uint64(w)*7+uint64(p.now/(7*time.Second)))) < p.config.fault
}

// respondToSend schedules the outcome of a request that is sent to a worker, if there is one.
func (p *simulation) respondToSend(a Send) {
	attempt := p.attempts[a.Request]
	p.attempts[a.Request]++
	key := workerFunction{a.Worker, p.function[a.Request]}
	took := time.Duration(20+float64(p.random.ExpFloat64()*80)) * ms
	r := AttemptEnded{Request: a.Request, Attempt: attempt, Worker: a.Worker, Outcome: OK, Note: FoundWarm,
		SameFunction: p.random.IntN(3), Complete: true}
	if p.now-p.copies[key] >= p.config.idleCopyTTL {
		r.Note, took = StartedLoad, took+time.Duration(200+p.random.IntN(600))*ms
	}
	p.copies[key] = p.now
	switch {
	case p.faulty(a.Worker) && p.random.IntN(4) > 0:
		if p.random.IntN(5) == 0 {
			return // no response ever comes
		}
		r.Outcome, r.Complete = []Outcome{Error, AtCapacity, TimedOut, ConnectFailed, Reset, NotLoaded,
			NotStarted}[p.random.IntN(7)], false
		took = time.Duration(p.random.IntN(400)) * ms
	case p.faulty(a.Worker):
		took *= 5
	case p.random.IntN(60) == 0:
		r.Outcome, r.Complete, r.Note = AtCapacity, false, NoLoadNote
	case p.random.IntN(200) == 0:
		r.Outcome, r.Complete, r.Note = Error, false, NoLoadNote
	}
	r.Took = min(took, a.Timeout)
	if took > a.Timeout {
		r.Outcome, r.Complete, r.Note = TimedOut, false, NoLoadNote
	}
	p.schedule(r.Took, r)
}
