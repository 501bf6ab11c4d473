package scheduler

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// base returns settings of a small deployment with one class of each effect.
func base() Settings {
	return Settings{Controllers: 1, Tick: 2 * ms,
		Classes: []Class{
			{Name: "safe", Idempotency: Idempotent, LatencyObjective: 500 * ms, Deadline: 4 * time.Second, PriorityWeight: 1},
			{Name: "keyed", Idempotency: IdempotentWithKey, DedupScope: SameGroup, DedupWindow: 2 * time.Second, LatencyObjective: 500 * ms,
				Deadline: 4 * time.Second, PriorityWeight: 1},
			{Name: "unsafe", Idempotency: NonIdempotent, LatencyObjective: 500 * ms, Deadline: 4 * time.Second, PriorityWeight: 1}},
		Limits: Limits{MaxAttempts: 3, MaxOpenRequests: 100, DialTimeout: 250 * ms, Cancel: true},
		Loading: Loading{Orders: true, LoadsOnMiss: true, OnMissKnown: true, IdleCopyTTL: 8 * time.Second,
			OrderTimeout: 10 * time.Second, LoadNotesGiven: true},
		Guarantees: Guarantees{DrainGrace: 500 * ms, WarmupFraction: 0.2, WarmupTime: 16 * time.Second, CollapseFactor: 3,
			CollapseWindow: 2 * time.Second}}
}

func start(t *testing.T, s Settings, workers ...WorkerInfo) *Dispatcher {
	t.Helper()
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	d.Step(time.Second, []Event{ListUpdate{Kind: CachedList, Workers: workers}})
	return d
}

func ready(ids ...WorkerID) (l []WorkerInfo) {
	for _, id := range ids {
		l = append(l, WorkerInfo{ID: id, State: Ready, Group: int(id)})
	}
	return l
}

func arrival(id RequestID, class int, fn FunctionID) Arrival {
	return Arrival{Request: id, Class: class, Function: fn, TimeLeft: 3 * time.Second, Lanes: 2}
}

// walk returns the listed workers in the order of the queue's walk.
func walk(d *Dispatcher, q *queue) (l []*worker) {
	for i := range d.order {
		l = append(l, q.worker(i))
	}
	return l
}

// indexed counts the places of queues in the indexes.
func indexed(d *Dispatcher) int {
	return len(d.queues.touched) + len(d.queues.waiting) + d.queues.virtualTimes.Len() + d.queues.expiries.Len() + d.queues.renewals.Len() + d.queues.renewable.Len()
}

// pickOut returns the actions of one type.
func pickOut[T Action](actions []Action) (l []T) {
	for _, a := range actions {
		if a, ok := a.(T); ok {
			l = append(l, a)
		}
	}
	return l
}

func TestNewRejects(t *testing.T) {
	tests := []struct {
		field string
		spoil func(*Settings)
	}{
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[0].Idempotency", func(s *Settings) { s.Classes[0].Idempotency = 0 }},
		{"Classes[1].DedupScope", func(s *Settings) { s.Classes[1].DedupScope = 9 }},
		{"Window", func(s *Settings) { s.Loading.BudgetWindow = -1 }},
		{"Ratio", func(s *Settings) { s.Loading.BudgetRatio = math.NaN() }},
		{"ColdShare", func(s *Settings) { s.Guarantees.WarmupFraction = math.Inf(1) }},
		{"Limits.MaxAttempts", func(s *Settings) { s.Limits.MaxAttempts = 0 }},
		{"Classes[2].LatencyObjective", func(s *Settings) { s.Classes[2].LatencyObjective = 0 }},
		{"Classes[2].Deadline", func(s *Settings) { s.Classes[2].Deadline = -1 }},
		{"Classes[1].DedupWindow", func(s *Settings) { s.Classes[1].DedupWindow = -1 }},
		{"Classes[0].PriorityWeight", func(s *Settings) { s.Classes[0].PriorityWeight = math.NaN() }},
		{"Classes[0].LateValue", func(s *Settings) { s.Classes[0].LateValue = math.Inf(1) }},
		{"Controllers", func(s *Settings) { s.Controllers = 0 }},
	}
	for _, tt := range tests {
		s := base()
		tt.spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), tt.field) {
			t.Errorf("spoilt %s: error %v does not name it", tt.field, err)
		}
	}
}

// What may follow an outcome: for each effect, another attempt, a refusal or a failure.
func TestAfterOutcome(t *testing.T) {
	type want struct{ sends, refuses, fails int }
	tests := []struct {
		class   int
		outcome Outcome
		want    want
	}{
		{0, AtCapacity, want{sends: 1}}, {0, ConnectFailed, want{sends: 1}}, {0, NotLoaded, want{sends: 1}},
		{0, Error, want{sends: 1}}, {0, Reset, want{sends: 1}}, {0, OK, want{}},
		{1, AtCapacity, want{sends: 1}}, {1, ConnectFailed, want{sends: 1}}, {1, OK, want{}},
		{2, AtCapacity, want{sends: 1}}, {2, ConnectFailed, want{sends: 1}},
		{2, Error, want{fails: 1}}, {2, Reset, want{fails: 1}}, {2, TimedOut, want{fails: 1}},
		{2, Cancelled, want{fails: 1}}, {2, OK, want{}},
	}
	for _, tt := range tests {
		d := start(t, base(), ready(1, 2, 3)...)
		sent := pickOut[Send](d.Step(time.Second, []Event{arrival(1, tt.class, 7)}))
		if len(sent) != 1 {
			t.Fatalf("class %d: %d sends on arrival, want 1", tt.class, len(sent))
		}
		var got want
		e := Event(AttemptEnded{Request: 1, Worker: sent[0].Worker, Outcome: tt.outcome, Took: 20 * ms,
			Complete: tt.outcome == OK})
		for now := 1020 * ms; now < 3500*ms && got == (want{}); now += 20 * ms {
			actions := d.Step(now, []Event{e})
			got.sends += len(pickOut[Send](actions))
			got.refuses += len(pickOut[Reject](actions))
			got.fails += len(pickOut[Fail](actions))
			e = Timer{}
		}
		if got != tt.want {
			t.Errorf("class %d after outcome %d: %+v, want %+v", tt.class, tt.outcome, got, tt.want)
		}
	}
}

// A keyed request that may have run goes only to the group of its worker, and only within the window.
func TestKeyedStaysInGroup(t *testing.T) {
	for _, mate := range []bool{true, false} {
		d := start(t, base(), ready(1, 2, 3, 4)...)
		sent := pickOut[Send](d.Step(time.Second, []Event{arrival(1, 1, 7)}))
		home := sent[0].Worker
		var news []WorkerInfo
		for _, w := range ready(1, 2, 3, 4) {
			if mate && w.ID != home && len(news) == 0 {
				w.Group = int(home)
				news = append(news, w)
			}
		}
		d.Step(1001*ms, []Event{ListUpdate{Kind: ListDelta, Workers: append(news, WorkerInfo{ID: home, State: Draining})}})
		actions := d.Step(1020*ms, []Event{AttemptEnded{Request: 1, Worker: home, Outcome: Reset, Took: 20 * ms}})
		again, fails := pickOut[Send](actions), pickOut[Fail](actions)
		if mate && (len(again) != 1 || again[0].Worker != news[0].ID) {
			t.Errorf("with a mate: sends %v, want one to %d", again, news[0].ID)
		}
		if !mate && (len(again) != 0 || len(fails) != 1 || len(pickOut[Reject](actions)) != 0) {
			t.Errorf("without a mate: %v, want one Fail and nothing else", actions)
		}
	}
}

// A request gets one answer before its time is over, also when nobody can take it; a late word changes nothing.
func TestOneAnswerInTime(t *testing.T) {
	for _, class := range []int{0, 1, 2} {
		d := start(t, base())
		answers := 0
		for now := time.Second; now < 6*time.Second; now += 2 * ms {
			var events []Event
			if now == time.Second {
				events = []Event{arrival(1, class, 7)}
			}
			actions := d.Step(now, events)
			n := len(pickOut[Reject](actions)) + len(pickOut[Fail](actions))
			if n > 0 && now >= 4*time.Second {
				t.Errorf("class %d: answered at %v, the client left at 4s", class, now)
			}
			answers += n
		}
		if answers != 1 {
			t.Errorf("class %d: %d answers, want 1", class, answers)
		}
		if len(d.requests) != 0 || len(d.openRequests) != 0 {
			t.Errorf("class %d: request kept after its answer", class)
		}
	}
}

func TestTimeAlreadyOver(t *testing.T) {
	d := start(t, base(), ready(1)...)
	a := arrival(1, 2, 7)
	a.TimeLeft = 0
	got := d.Step(time.Second, []Event{a})
	if len(pickOut[Reject](got)) != 1 || len(pickOut[Send](got)) != 0 {
		t.Errorf("got %v, want one Refuse and no Send", got)
	}
}

// Nothing new, call or order, goes to a worker that drains.
func TestDrain(t *testing.T) {
	d := start(t, base(), ready(1, 2)...)
	home := pickOut[Send](d.Step(time.Second, []Event{arrival(1, 0, 7)}))[0].Worker
	d.Step(1100*ms, []Event{AttemptEnded{Request: 1, Worker: home, Outcome: OK, Complete: true, Took: 100 * ms,
		Note: FoundWarm}})
	d.Step(1200*ms, []Event{ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{{ID: home, State: Draining}}}})
	for i := 1; i < 3000; i++ {
		now := 1200*ms + time.Duration(i)*10*ms
		var events []Event
		if i%600 == 0 { // far enough apart for renewals between

			events = append(events, arrival(RequestID(100+i), 0, 7))
		}
		actions := d.Step(now, events)
		for _, a := range pickOut[Send](actions) {
			if a.Worker == home {
				t.Fatalf("%v: send to a draining worker", now)
			}
		}
		for _, a := range pickOut[LoadOrder](actions) {
			if a.Worker == home && a.Copies > 0 {
				t.Fatalf("%v: order to a draining worker", now)
			}
		}
	}
}

// From buchung big-1: a request past its aim goes behind those that can still meet theirs.
func TestLateGoesLast(t *testing.T) {
	d := start(t, base())
	d.Step(time.Second, []Event{arrival(1, 0, 7)})
	d.Step(2*time.Second, []Event{arrival(2, 0, 7)})
	sent := pickOut[Send](d.Step(2002*ms, []Event{ListUpdate{Kind: FullList, Workers: ready(1)}}))
	if len(sent) != 1 || sent[0].Request != 2 {
		t.Errorf("sent %v, want request 2 first: 1 is past its aim", sent)
	}
}

// From the first full-size days: 100 controllers, each with little traffic, push a cold worker over by one call
// each. All together they keep to the budget in every window, and still use the worker.
func TestColdWorkerSum(t *testing.T) {
	const n, workers, run = 100, 10, 100 * ms
	s := base()
	s.Controllers, s.Guarantees.CollapseFactor = n, 2
	s.Loading.IdleCopyTTL = time.Hour
	begin := time.Hour
	list := ready(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	ds, pending := make([]*Dispatcher, n), make([][]Event, n)
	for i := range ds {
		d, err := New(s, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		d.Step(begin-20*time.Second, []Event{ListUpdate{Kind: CachedList, Workers: list}})
		ds[i] = d
	}
	var cold []time.Duration // sends to the cold worker
	answered, next := 0, RequestID(1)
	for now := begin - 10*time.Second; now < begin+10*time.Second; now += run {
		for i, d := range ds {
			events := pending[i]
			pending[i] = nil
			if now == begin {
				list[0].StartedAt = begin
				events = append(events, ListUpdate{Kind: ListDelta, Workers: list[:1]})
			}
			if (int(now/run)+i)%2 == 0 { // five calls a second at each controller
				events = append(events, Arrival{Request: next, Function: FunctionID(next%40 + 1),
					TimeLeft: 3 * time.Second, Lanes: 8})
				next++
			}
			for _, a := range d.Step(now, events) {
				switch a := a.(type) {
				case Send:
					if answered++; a.Worker == 1 && now >= begin {
						cold = append(cold, now)
					}
					pending[i] = append(pending[i], AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK,
						Took: run, Complete: true, Note: FoundWarm})
				case LoadOrder:
					pending[i] = append(pending[i], LoadOrderEnded{Worker: a.Worker, Function: a.Function, Outcome: OK, Copies: 1})
				}
			}
		}
	}
	even := float64(answered) / 20 / workers // calls a second of one worker
	g, window := s.Guarantees, s.Guarantees.CollapseWindow
	for at := begin; at < begin+8*time.Second; at += run {
		sent := 0
		for _, c := range cold {
			if c >= at && c < at+window {
				sent++
			}
		}
		mid := float64(at+window/2-begin) / float64(g.WarmupTime)
		limit := g.CollapseFactor * (g.WarmupFraction + (1-g.WarmupFraction)*mid) * even * window.Seconds()
		if float64(sent) > limit {
			t.Errorf("%v after the start: %d sends in a window, the budget is %.0f", at-begin, sent, limit)
		}
	}
	if len(cold) < 40 {
		t.Errorf("%d sends to the cold worker in 10 s, want it used", len(cold))
	}
}

// A keyed request that may have run is not sent again after its window, counted from that send.
func TestKeyedWindow(t *testing.T) {
	for _, at := range []time.Duration{2900 * ms, 3100 * ms} { // sent at 1 s, window 2 s
		s := base()
		s.Classes[1].DedupScope = AllWorkers
		d := start(t, s, ready(1, 2)...)
		home := pickOut[Send](d.Step(time.Second, []Event{arrival(1, 1, 7)}))[0].Worker
		e := []Event{AttemptEnded{Request: 1, Worker: home, Outcome: Reset}}
		if sent := len(pickOut[Send](d.Step(at, e))); (sent == 1) != (at < 3*time.Second) {
			t.Errorf("reset at %v: %d further sends", at, sent)
		}
	}
}

// The same events give the same actions, and an instance beside it changes nothing.
func TestDeterministic(t *testing.T) {
	run := func(beside bool) (all [][]Action) {
		d := start(t, base(), ready(5, 3, 9, 1)...)
		other := start(t, base(), ready(1, 2)...)
		for i := 0; i < 2000; i++ {
			now := time.Second + time.Duration(i)*5*ms
			e := []Event{arrival(RequestID(i+1), i%3, FunctionID(i*i%17))}
			all = append(all, d.Step(now, e))
			if beside {
				other.Step(now, []Event{arrival(RequestID(i+1), 0, FunctionID(i%5))})
			}
		}
		return all
	}
	first := run(false)
	if !reflect.DeepEqual(first, run(false)) || !reflect.DeepEqual(first, run(true)) {
		t.Error("actions differ between equal runs")
	}
}

// Functions, requests and workers that have gone leave nothing behind.
func TestMemoryBounded(t *testing.T) {
	d := start(t, base(), ready(1, 2, 3)...)
	id := RequestID(0)
	for round := 0; round < 20; round++ {
		now := time.Second + time.Duration(round)*100*time.Second
		var events []Event
		for i := 0; i < 50; i++ {
			id++
			events = append(events, arrival(id, 0, FunctionID(id)))
		}
		w := WorkerID(10 + round)
		events = append(events, ListUpdate{Kind: FullList, Workers: ready(w, w+1)})
		for s := 0; s < 90; s++ {
			actions := d.Step(now+time.Duration(s)*time.Second, events)
			events = nil
			for _, a := range pickOut[Send](actions) {
				events = append(events, AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Complete: true})
			}
			for _, h := range pickOut[LoadOrder](actions) {
				events = append(events, LoadOrderEnded{Worker: h.Worker, Function: h.Function, Outcome: OK, Copies: h.Copies})
			}
		}
	}
	if len(d.queues.byFunction) > 0 || len(d.requests) > 0 || indexed(d) > 0 || len(d.workers) != 2 || len(d.order) != 2 {
		t.Errorf("kept %d queues, %d requests, %d workers", len(d.queues.byFunction), len(d.requests), len(d.workers))
	}
}

// Words about what is not known are ignored.
func TestUnknownIgnored(t *testing.T) {
	d := start(t, base(), ready(1)...)
	got := d.Step(time.Second, []Event{AttemptEnded{Request: 9}, ClientGone{9}, Timer{4}, LoadOrderEnded{Worker: 8, Function: 3},
		ProbeEnded{Worker: 8}, ResponseStarted{Request: 9}, GossipMessage{}, ListUpdate{Kind: ListFailed}, Arrival{Request: 1, Class: 99}})
	for _, a := range got {
		if _, ok := a.(Wake); !ok {
			t.Errorf("acted on unknown things: %#v", a)
		}
	}
}

// A queue within T of Global_VT goes before one beyond it; the longest first; then the fewest in flight.
func TestBefore(t *testing.T) {
	d := start(t, base(), ready(1)...)
	tests := []struct {
		name string
		a, b queue
		want bool
	}{
		{"within T first", queue{virtualTime: 1, eligible: 1}, queue{virtualTime: maxLead + 1, eligible: 9}, true},
		{"longest first", queue{eligible: 1}, queue{eligible: 2}, false},
		{"fewest in flight", queue{eligible: 2, inFlight: 1}, queue{eligible: 2, inFlight: 2}, true},
		{"beyond T the lowest VT", queue{virtualTime: 30, eligible: 9}, queue{virtualTime: 20, eligible: 1}, false},
	}
	for _, tt := range tests {
		if got := d.queues.precedes(&tt.a, &tt.b); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

func Example() {
	d, err := New(Settings{Controllers: 1, Tick: 2 * ms,
		Classes: []Class{{Name: "quote", Idempotency: Idempotent, LatencyObjective: 600 * ms, Deadline: 4 * time.Second, PriorityWeight: 1}},
		Limits:  Limits{MaxAttempts: 3, DialTimeout: 250 * ms},
		Loading: Loading{Orders: true, LoadsOnMiss: true, OnMissKnown: true, IdleCopyTTL: 8 * time.Second}}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	d.Step(0, []Event{ListUpdate{Kind: FullList, Workers: []WorkerInfo{{ID: 4, State: Ready}}}})
	for _, a := range d.Step(2*ms, []Event{Arrival{Request: 1, Function: 7, TimeLeft: 4 * time.Second, Lanes: 2}}) {
		if s, ok := a.(Send); ok {
			fmt.Printf("request %d to worker %d, at most %v\n", s.Request, s.Worker, s.Timeout)
		}
	}
	// Output: request 1 to worker 4, at most 3.996s
}
