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

// A due event comes to the dispatcher at a time of its clock.
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

// A simulation is one day under way: the dispatcher and a plain model of what answers it.
type simulation struct {
	test       *testing.T
	day        simulationCase
	settings   Settings
	dispatcher *Dispatcher
	rnd        *rand.Rand
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
	encoded    hash.Hash                        // of the actions and the state at the end, encoded
	actions    int
	counts     map[string]int // of actions, by the first word of their encoding
}

func simulate(t *testing.T, c simulationCase, seed uint64) *simulation {
	return simulateWith(t, c, seed, func(*Dispatcher) {})
}

// simulateWith plays a day, calls after each step what is to be looked at, and returns the play.
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
	p := &simulation{test: t, day: c, settings: s, dispatcher: d, rnd: rand.New(rand.NewPCG(seed, 11)), now: time.Hour, nextCall: 1,
		nextID:   1,
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

// addState adds what the dispatcher shows of its workers and functions to the sum.
func (p *simulation) addState() {
	for _, l := range p.dispatcher.Workers() {
		fmt.Fprintln(p.encoded, encodeWorkerSnapshot(l))
	}
	for _, l := range p.dispatcher.Functions() {
		fmt.Fprintln(p.encoded, encodeFunctionSnapshot(l))
		if len(p.list) > 0 {
			shown := p.dispatcher.Snapshot(l.ID, p.list[p.rnd.IntN(len(p.list))].ID)
			fmt.Fprintln(p.encoded, encodeSnapshot(shown))
		}
	}
}

// encodedLine describes the play by the hash of its encoded actions, and counts of them.
func (p *simulation) encodedLine() string {
	return fmt.Sprintf("%s %x actions %d sends %d loads %d probes %d rejected %d failed %d cancelled %d",
		p.day.name, p.encoded.Sum(nil)[:16],
		p.actions, p.counts["send"], p.counts["load"], p.counts["probe"], p.counts["reject"], p.counts["fail"], p.counts["cancel"])
}

func (p *simulation) chance(perSecond float64) bool {
	return p.rnd.Float64() < perSecond*p.day.tick.Seconds()
}

func (p *simulation) tick() {
	switch {
	case p.day.jumps && p.rnd.IntN(200) == 0: // the clock does not move
	case p.day.jumps && p.rnd.IntN(1500) == 0:
		p.now += time.Hour
	default:
		p.now += p.day.tick
	}
}

func (p *simulation) newWorker(later bool) WorkerInfo {
	w := WorkerInfo{ID: p.nextID, State: Ready, Group: int(p.nextID) / 3, Zone: int(p.nextID) % 3,
		Kind: int(p.nextID) % 3}
	p.nextID++
	if later && p.rnd.Float64() < p.day.started {
		w.StartedAt = p.now - time.Duration(p.rnd.IntN(3000))*ms
	}
	return w
}

// events returns what comes from outside: calls, clients that leave, lists, advice.
func (p *simulation) events() (events []Event) {
	for n := p.day.rate * p.day.tick.Seconds(); n > 0; n-- {
		if p.rnd.Float64() < n {
			events = append(events, p.call())
		}
	}
	if p.nextCall > 1 && p.chance(p.day.rate/40) {
		events = append(events, ClientClosed{Request: p.nextCall - RequestID(1+p.rnd.IntN(min(20, int(p.nextCall)-1)))})
	}
	if p.day.change > 0 && p.chance(p.day.change) {
		events = append(events, p.listChange()...)
	}
	if p.day.advice > 0 && p.chance(p.day.advice) {
		events = append(events, p.advise())
	}
	return events
}

// call draws a function by a Zipf law.
func (p *simulation) call() Event {
	x := math.Pow(float64(p.day.functions), p.rnd.Float64())
	fn := FunctionID(min(int(x), p.day.functions))
	a := Arrival{Request: p.nextCall, Class: p.rnd.IntN(3), Function: fn, Lanes: float64(1 + fn%3),
		ClientRetry: p.rnd.IntN(20) == 0,
		TimeLeft:    time.Duration(200+p.rnd.IntN(3800)) * ms}
	if p.rnd.IntN(10) == 0 {
		a.LoadTime = time.Duration(100+p.rnd.IntN(900)) * ms
	}
	if p.day.advice > 0 {
		a.ShedAdvised = p.rnd.IntN(50) == 0
		a.Weight = float64(p.rnd.IntN(3))
	}
	p.function[a.Request] = fn
	p.nextCall++
	return a
}

func (p *simulation) listChange() []Event {
	if p.day.replaced && p.rnd.IntN(6) == 0 {
		for i := range p.list {
			p.list[i] = p.newWorker(true)
		}
		return []Event{ListUpdate{Kind: FullList, Workers: p.list}}
	}
	if len(p.list) == 0 {
		return nil
	}
	i := p.rnd.IntN(len(p.list))
	old := p.list[i]
	switch p.rnd.IntN(8) {
	case 0: // drains
		p.list[i].State = Draining
		return []Event{ListUpdate{Kind: ListDelta, Workers: p.list[i : i+1]}}
	case 1: // gone and back under one id, within one step
		gone := old
		gone.State = Removed
		p.list[i].State = Ready
		return []Event{ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{gone, p.list[i]}}}
	case 2: // started anew under its id
		p.list[i].StartedAt, p.list[i].State = p.now, Ready
		return []Event{ListUpdate{Kind: FullList, Workers: p.list}}
	case 3: // the same list once more, or none
		return []Event{ListUpdate{Kind: FullList, Workers: p.list}, ListUpdate{Kind: ListFailed}}
	case 4: // ready again
		p.list[i].State = Ready
		return []Event{ListUpdate{Kind: ListDelta, Workers: p.list[i : i+1]}}
	case 5: // one is left out
		if len(p.list) > max(1, p.day.workers/2) {
			p.list = append(p.list[:i:i], p.list[i+1:]...)
		}
		return []Event{ListUpdate{Kind: FullList, Workers: p.list}}
	case 6: // one more
		if len(p.list) < 2*p.day.workers {
			p.list = append(p.list, p.newWorker(true))
		}
		return []Event{ListUpdate{Kind: ListDelta, Workers: p.list[len(p.list)-1:]}}
	}
	old.State = Removed
	p.list[i] = p.newWorker(true)
	return []Event{ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{old, p.list[i]}}}
}

func (p *simulation) advise() Event {
	fn := FunctionID(1 + p.rnd.IntN(p.day.functions))
	until := p.now + time.Duration(p.rnd.IntN(8000))*ms
	switch p.rnd.IntN(8) {
	case 0, 1:
		return StagedCopies{Function: fn, Copies: 1 + p.rnd.IntN(3)}
	case 2, 3:
		return DesiredCopies{Function: fn, Copies: p.rnd.IntN(4), Until: until}
	case 4:
		return Superseded{On: p.rnd.IntN(4) == 0}
	case 5:
		return BudgetHandover{Orders: []time.Duration{p.now - time.Second},
			Arrivals: []time.Duration{p.now - 2*time.Second, p.now}}
	}
	if len(p.list) == 0 {
		return Timer{}
	}
	return WorkerRank{Worker: p.list[p.rnd.IntN(len(p.list))].ID, Rank: p.rnd.IntN(5) - 2, Until: until}
}

// step plays one step, adds its actions to the sum, and has the model answer them.
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
		p.answer(a)
	}
}

func (p *simulation) later(after time.Duration, e Event) {
	p.seq++
	heap.Push(&p.due, dueEvent{p.now + max(after, 1), p.seq, e})
}

// answer models a worker: faults by its id, loads where no copy is loaded, copies that go after their idle time to live.
func (p *simulation) answer(a Action) {
	switch a := a.(type) {
	case Send:
		p.answerSend(a)
	case LoadOrder:
		key := workerFunction{a.Worker, a.Function}
		h := LoadOrderEnded{Worker: a.Worker, Function: a.Function, Outcome: OK, Copies: a.Copies}
		after := 150 * ms
		switch {
		case a.Copies == 0 && p.now-p.copies[key] < p.day.idleCopyTTL:
			h.Copies, after = 1, 2*ms
		case p.faulty(a.Worker):
			h.Copies, h.Outcome = 0, []Outcome{AtCapacity, TimedOut, Error, ConnectFailed}[p.rnd.IntN(4)]
		case p.rnd.IntN(12) == 0:
			h.Copies, h.Outcome = 0, AtCapacity
		default:
			p.copies[key] = p.now
		}
		p.later(after, h)
	case Probe:
		o := OK
		if p.faulty(a.Worker) {
			o = TimedOut
		}
		p.later(20*ms, ProbeEnded{Worker: a.Worker, Outcome: o})
	}
}

func (p *simulation) faulty(w WorkerID) bool {
	return unitInterval(mix(uint64(w)*7+uint64(p.now/(7*time.Second)))) < p.day.fault
}

func (p *simulation) answerSend(a Send) {
	attempt := p.attempts[a.Request]
	p.attempts[a.Request]++
	key := workerFunction{a.Worker, p.function[a.Request]}
	took := time.Duration(20+p.rnd.ExpFloat64()*80) * ms
	r := AttemptEnded{Request: a.Request, Attempt: attempt, Worker: a.Worker, Outcome: OK, Note: FoundWarm,
		SameFunction: p.rnd.IntN(3), Complete: true}
	if p.now-p.copies[key] >= p.day.idleCopyTTL {
		r.Note, took = StartedLoad, took+time.Duration(200+p.rnd.IntN(600))*ms
	}
	p.copies[key] = p.now
	switch {
	case p.faulty(a.Worker) && p.rnd.IntN(4) > 0:
		if p.rnd.IntN(5) == 0 {
			return // silent: nothing ever comes
		}
		r.Outcome, r.Complete = []Outcome{Error, AtCapacity, TimedOut, ConnectFailed, Reset, NotLoaded,
			NotStarted}[p.rnd.IntN(7)], false
		took = time.Duration(p.rnd.IntN(400)) * ms
	case p.faulty(a.Worker):
		took *= 5
	case p.rnd.IntN(60) == 0:
		r.Outcome, r.Complete, r.Note = AtCapacity, false, NoLoadNote
	case p.rnd.IntN(200) == 0:
		r.Outcome, r.Complete, r.Note = Error, false, NoLoadNote
	}
	r.Took = min(took, a.Timeout)
	if took > a.Timeout {
		r.Outcome, r.Complete, r.Note = TimedOut, false, NoLoadNote
	}
	p.later(r.Took, r)
}
