package scheduler

import (
	"cmp"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"
)

// checkIndexes compares what the indexes hold, as it is between steps, with what looking at everything finds.
func checkIndexes(t *testing.T, d *Dispatcher) {
	t.Helper()
	d.queues.reindex()
	var lowest float64
	active := 0
	for fn, q := range d.queues.byFunction {
		if q.function != fn || q.isForgotten {
			t.Fatalf("function %d: its queue is of %d, forgotten %v", fn, q.function, q.isForgotten)
		}
		if q.active {
			if active++; active == 1 || q.virtualTime < lowest {
				lowest = q.virtualTime
			}
		}
		if len(q.pending) > 0 && !slices.Contains(d.queues.waiting, q) {
			t.Fatalf("function %d waits and is not found", fn)
		}
		for w, placed := range q.placements {
			if w.placements[q] != placed {
				t.Fatalf("function %d, worker %d: what is known stands at one end only", fn, w.ID)
			}
		}
	}
	if m := d.queues.virtualTimes.Min(); d.queues.virtualTimes.Len() != active || active > 0 && m.Key() != lowest {
		t.Fatalf("%d active queues, the lowest at %v; the heap has %d", active, lowest, d.queues.virtualTimes.Len())
	}
	checkWorkers(t, d)
}

func checkWorkers(t *testing.T, d *Dispatcher) {
	t.Helper()
	var watchList []*worker
	var paces, failings []float64
	ejected := 0
	for _, w := range d.order {
		if d.workers[w.ID] != w || w.State == Gone {
			t.Fatalf("worker %d is in the order and not known by its id, or gone", w.ID)
		}
		if w.outstanding > 0 || w.ejected {
			watchList = append(watchList, w)
		}
		if w.ejected {
			ejected++
		}
		if w.limit.latencyRatio > 0 {
			paces = append(paces, w.limit.latencyRatio)
		}
		failings = append(failings, w.errorRate)
	}
	if !slices.Equal(watchList, d.watchList.workers) || ejected != d.outliers.ejected || d.ring.Len() != len(d.order) {
		t.Fatalf("%d to be watched, %d ejected, %d listed; found %d, %d, %d", len(watchList), ejected, len(d.order), len(d.watchList.workers), d.outliers.ejected, d.ring.Len())
	}
	slices.Sort(paces)
	slices.Sort(failings)
	for _, x := range []struct {
		all   []float64
		found float64
	}{{paces, d.peerLatency.ratios.Median(-1)}, {failings, d.outliers.errorRates.Median(-1)}} {
		want := -1.0
		if len(x.all) > 0 {
			want = x.all[len(x.all)/2]
		}
		if x.found != want {
			t.Fatalf("median %v, want %v of %d", x.found, want, len(x.all))
		}
	}
}

// After each step of days with every kind of trouble, the indexes hold what looking at everything finds.
func TestIndexesAgree(t *testing.T) {
	for i, c := range streamCases() {
		if c.workers > 60 || c.functions > 300 {
			continue
		}
		c.span = min(c.span, 20*time.Second)
		playStreamWith(t, c, uint64(100+i), func(d *Dispatcher) { checkIndexes(t, d) })
	}
}

// A walk finds what sorting all points finds, in any order of ranks.
func TestWalkInRankOrder(t *testing.T) {
	d := start(t, base(), ready(1, 2, 3, 4, 5, 6, 7, 8)...)
	q := d.queues.get(7)
	if q.worker(0) == nil || q.worker(1) == nil { // half of a walk
		t.Fatal("no walk")
	}
	plain := walk(d, q)
	d.Step(2*time.Second, []Event{WorkerRank{Worker: plain[0].ID, Rank: -2, Until: 4 * time.Second}, WorkerRank{Worker: plain[2].ID, Rank: -1, Until: 5 * time.Second}})
	want := append(slices.Clone(plain[1:2]), plain[3:]...)
	want = append(want, plain[2], plain[0])
	if got := walk(d, q); !slices.Equal(got, want) {
		t.Errorf("the walk does not begin with those that nothing is said of")
	}
	d.Step(4*time.Second, nil)
	if got := walk(d, q); got[0] != plain[0] || got[7] != plain[2] {
		t.Errorf("advice that ended for one worker did not end, or ended for another")
	}
	d.Step(5*time.Second, nil)
	if !slices.Equal(walk(d, q), plain) {
		t.Error("the walk is not what it was once the advice has ended")
	}
}

// Candidates are, once narrowed, the workers of which something is known, in the order of the whole walk from the same place on.
func TestCandidatesNarrowed(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		var ids []WorkerID
		for id := WorkerID(1); int(id) <= 1+random.IntN(30); id++ {
			ids = append(ids, id)
		}
		d := start(t, base(), ready(ids...)...)
		q := d.queues.get(FunctionID(1 + random.IntN(1000)))
		for _, w := range d.order {
			if random.IntN(3) == 0 {
				q.placement(w)
			}
		}
		from, looked := random.IntN(len(d.order)), 1+random.IntN(len(d.order))
		whole := walk(d, q)
		whole = append(slices.Clone(whole[from:]), whole[:from]...)
		var want []*worker
		for i, w := range whole {
			if i < looked || q.placements[w] != nil {
				want = append(want, w)
			}
		}
		var got []*worker
		narrow := false
		for w := range d.candidates(q, from, &narrow) {
			got = append(got, w)
			narrow = len(got) >= looked
		}
		if !slices.Equal(got, want) {
			t.Fatalf("%d workers from %d, narrowed after %d: %d candidates, want %d", len(ids), from, looked, len(got), len(want))
		}
	}
}

// renewals returns the functions renewed at a step, in order. A hold of no copies is a question.
func renewals(d *Dispatcher, now time.Duration) (fns []FunctionID) {
	for _, h := range pickOut[LoadOrder](d.Step(now, nil)) {
		if h.Copies > 0 {
			fns = append(fns, h.Function)
		}
	}
	return fns
}

// called returns a dispatcher that served one call of each function at 1 s, answered at 1.1 s.
func called(t *testing.T, s Settings, fns ...FunctionID) *Dispatcher {
	t.Helper()
	d := start(t, s, ready(1, 2, 3)...)
	var arrivals, answers []Event
	for i, fn := range fns {
		arrivals = append(arrivals, arrival(RequestID(i+1), 0, fn))
	}
	for _, a := range pickOut[Send](d.Step(time.Second, arrivals)) {
		answers = append(answers, AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Complete: true, Note: StartedLoad, Took: 100 * ms})
	}
	if len(answers) != len(fns) {
		t.Fatalf("%d of %d calls sent", len(answers), len(fns))
	}
	d.Step(1100*ms, answers)
	return d
}

// Several renewals due at one instant come in one step, in the order of the functions, as far as the budget goes; the rest wait
// for it in that order.
func TestDueAtOneInstant(t *testing.T) {
	s := base()
	s.Loading.BudgetWindow, s.Loading.BudgetFree, s.Loading.BudgetRatio = 2*time.Second, 2, 0
	d := called(t, s, 5, 3, 9, 4)
	due := 1100*ms + 4800*ms // 0.6 of an idle life of 8 s
	if got := renewals(d, due-1); got != nil {
		t.Errorf("renewed %v before the time", got)
	}
	if got := renewals(d, due); !slices.Equal(got, []FunctionID{3, 4}) {
		t.Errorf("renewed %v, want the budget's two of the lowest functions", got)
	}
	if got := renewals(d, due); got != nil { // the clock stands still
		t.Errorf("renewed %v in the same instant again", got)
	}
	if got := renewals(d, due+2*time.Second+1); !slices.Equal(got, []FunctionID{5, 9}) {
		t.Errorf("renewed %v with new budget, want 5 and 9", got)
	}
	checkIndexes(t, d)
}

// A renewal that is due moves later with a call, to never while one is out, and comes at all only while its queue is active.
func TestDueTimeMoves(t *testing.T) {
	d := called(t, base(), 7)
	sent := pickOut[Send](d.Step(5*time.Second, []Event{arrival(50, 0, 7)}))
	if len(sent) != 1 {
		t.Fatal("not sent")
	}
	if got := renewals(d, 7*time.Second); got != nil { // was due at 5.9 s, and a call is out
		t.Errorf("renewed %v while a call was out", got)
	}
	d.Step(7100*ms, []Event{AttemptEnded{Request: 50, Worker: sent[0].Worker, Outcome: OK, Complete: true, Note: FoundWarm, Took: 100 * ms}})
	if got := renewals(d, 11800*ms); got != nil {
		t.Errorf("renewed %v less than its time after the last call", got)
	}
	// While advice keeps the copy, by orders of its own, it is not renewed.
	d.Step(11850*ms, []Event{DesiredCopies{Function: 7, Copies: 1, Until: 12500 * ms}})
	d.queues.reindex()
	if q := d.queues.byFunction[7]; q.renewalEntry.Key() != 12500*ms {
		t.Errorf("its renewal is due at %v while advice keeps it until 12.5s", q.renewalEntry.Key())
	}
	d.Step(11900*ms, []Event{DesiredCopies{Function: 7}})
	if got := renewals(d, 12500*ms-1); got != nil {
		t.Errorf("renewed %v before the time that the advice named", got)
	}
	if got := renewals(d, 12500*ms); !slices.Equal(got, []FunctionID{7}) {
		t.Errorf("renewed %v once the advice had ended, want 7", got)
	}
	checkIndexes(t, d)
}

// A shorter gap between calls makes a queue's time to live end earlier than it was due.
func TestDueTimeMovesEarlier(t *testing.T) {
	d := called(t, base(), 7)
	q := d.queues.get(7)
	d.queues.reindex()
	before := q.expiryEntry.Key()
	for i := range 10 {
		now := 1200*ms + time.Duration(i)*10*ms
		for _, a := range pickOut[Send](d.Step(now, []Event{arrival(RequestID(60+i), 0, 7)})) {
			d.Step(now, []Event{AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Complete: true, Note: FoundWarm, Took: ms}})
		}
	}
	d.queues.reindex()
	if q.expiryEntry.Key() >= before || q.expiryEntry.Key() != q.idleSince()+d.queues.timeToLive(q) {
		t.Errorf("it stays active until %v, was %v, want %v", q.expiryEntry.Key(), before, q.idleSince()+d.queues.timeToLive(q))
	}
	d.Step(q.expiryEntry.Key()-1, nil)
	if !q.active {
		t.Error("inactive before its time")
	}
	d.Step(q.expiryEntry.Key(), nil)
	if q.active || d.queues.virtualTimes.Len() != 0 {
		t.Error("active past its time")
	}
}

// A function that is forgotten in the step in which it is called is kept, with what is known of it; one not called is not.
func TestForgottenAndCalled(t *testing.T) {
	d := called(t, base(), 7, 8)
	q := d.queues.get(7)
	past := 1100*ms + (8+8+16)*time.Second + 1 // time to live, idle life, cold time
	d.Step(past-1, nil)
	if d.queues.byFunction[7] != q || d.queues.byFunction[8] == nil {
		t.Fatal("forgotten before the time")
	}
	d.Step(past, []Event{arrival(70, 0, 7)})
	if d.queues.byFunction[7] != q || d.queues.byFunction[8] != nil {
		t.Errorf("the called function is kept %v, the other one %v", d.queues.byFunction[7] == q, d.queues.byFunction[8] != nil)
	}
	checkIndexes(t, d)
}

// An hour in one step: what came due meanwhile is due once, inactive and forgotten at once where both are past.
func TestClockJumps(t *testing.T) {
	d := called(t, base(), 1, 2, 3)
	if got := renewals(d, time.Hour); got != nil {
		t.Errorf("renewed %v, of functions nobody calls any more", got)
	}
	if len(d.queues.byFunction) != 0 || indexed(d) != 0 {
		t.Errorf("%d queues kept, %d places", len(d.queues.byFunction), indexed(d))
	}
	d.Step(time.Second, []Event{arrival(80, 0, 1)}) // the clock goes back: the dispatcher's does not
	if d.now != time.Hour || len(d.requests) != 1 {
		t.Errorf("at %v with %d requests", d.now, len(d.requests))
	}
	checkIndexes(t, d)
}

// A worker that goes and returns under one id within one step is another: nothing is known of it, and what was out at the first
// is not counted as the second's.
func TestReturnsUnderOneID(t *testing.T) {
	for _, one := range []bool{true, false} {
		d := called(t, base(), 7)
		sent := pickOut[Send](d.Step(2*time.Second, []Event{arrival(90, 0, 7)}))
		old := d.workers[sent[0].Worker]
		gone, back := old.WorkerInfo, old.WorkerInfo
		gone.State = Gone
		events := []Event{ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{gone, back}}}
		if !one {
			events = []Event{ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{gone}}, ListUpdate{Kind: ListDelta, Workers: []WorkerInfo{back}}}
		}
		d.Step(2010*ms, events)
		now := d.workers[old.ID]
		if now == old || now == nil || len(now.placements) != 0 || len(d.order) != 3 {
			t.Fatalf("in one list %v: the same worker %v, of which %d functions are known", one, now == old, len(now.placements))
		}
		checkIndexes(t, d)
		d.Step(2100*ms, []Event{AttemptEnded{Request: 90, Worker: old.ID, Outcome: OK, Complete: true, Note: FoundWarm, Took: 100 * ms}})
		if now.outstanding != 0 && !slices.Contains(d.watchList.workers, now) || old.outstanding != 0 {
			t.Errorf("in one list %v: %d out at the new one, %d at the old", one, now.outstanding, old.outstanding)
		}
		checkIndexes(t, d)
	}
}

// A list of 2,000 that is wholly replaced leaves nothing of the old one.
func TestListWhollyReplaced(t *testing.T) {
	many := func(from WorkerID) (l []WorkerInfo) {
		for id := from; id < from+2000; id++ {
			l = append(l, WorkerInfo{ID: id, State: Ready, Group: int(id) / 8})
		}
		return l
	}
	d := start(t, base(), many(1)...)
	var sent []Send
	for i := range RequestID(300) {
		sent = append(sent, pickOut[Send](d.Step(2*time.Second, []Event{arrival(i+1, 0, FunctionID(i+1))}))...)
	}
	if len(sent) < 290 {
		t.Fatalf("%d of 300 sent: the test tests too little", len(sent))
	}
	d.Step(3*time.Second, []Event{ListUpdate{Kind: FullList, Workers: many(5000)}})
	if len(d.order) != 2000 || d.order[0].ID != 5000 || d.ring.Len() != 2000 {
		t.Errorf("%d listed from %d on, %d on the ring", len(d.order), d.order[0].ID, d.ring.Len())
	}
	checkIndexes(t, d)
	var answers []Event
	for _, a := range sent {
		answers = append(answers, AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Complete: true, Note: StartedLoad, Took: time.Second})
	}
	d.Step(4*time.Second, answers)
	for fn, q := range d.queues.byFunction {
		for w := range q.placements {
			if w.State == Gone {
				t.Fatalf("function %d: worker %d is still known", fn, w.ID)
			}
		}
	}
	checkIndexes(t, d)
}

// 100,000 functions called once each are forgotten, and their memory is given back.
func TestManyFunctionsForgotten(t *testing.T) {
	d := start(t, base(), ready(1, 2, 3, 4)...)
	heapNow := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heapNow()
	id := RequestID(0)
	now := time.Second
	for range 1000 {
		now += 10 * ms
		var events []Event
		for range 100 {
			id++
			events = append(events, arrival(id, 0, FunctionID(id)))
		}
		answers := []Event{}
		for _, a := range pickOut[Send](d.Step(now, events)) {
			answers = append(answers, AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Complete: true, Note: FoundWarm, Took: ms})
		}
		for len(answers) > 0 { // what waited goes out as tokens come back
			actions := d.Step(now, answers)
			answers = answers[:0]
			for _, a := range pickOut[Send](actions) {
				answers = append(answers, AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Complete: true, Note: FoundWarm, Took: ms})
			}
		}
	}
	if len(d.queues.byFunction) < 90000 {
		t.Fatalf("%d functions remembered of 100,000: the test tests too little", len(d.queues.byFunction))
	}
	most := heapNow()
	for range 400 {
		now += 100 * ms
		d.Step(now, nil)
	}
	if len(d.queues.byFunction) != 0 || indexed(d) != 0 || len(d.requests) != 0 {
		t.Errorf("%d functions, %d places and %d requests are kept", len(d.queues.byFunction), indexed(d), len(d.requests))
	}
	for _, w := range d.order {
		if len(w.placements) != 0 {
			t.Errorf("worker %d: %d functions are kept", w.ID, len(w.placements))
		}
	}
	// Go's maps keep their tables; the queues, by far the most of it, have to go.
	if after := heapNow(); after > before+(most-before)/3 {
		t.Errorf("%d MB before, %d MB with all functions, %d MB after", before>>20, most>>20, after>>20)
	}
	runtime.KeepAlive(d)
}

// What a step looks at grows with what happens in it, not with the workers and functions there are: none of them at rest.
func TestRestLooksAtNothing(t *testing.T) {
	var infos []WorkerInfo
	for id := WorkerID(1); id <= 500; id++ {
		infos = append(infos, WorkerInfo{ID: id, State: Ready})
	}
	d := start(t, base(), infos...)
	for i := range RequestID(500) {
		for _, a := range pickOut[Send](d.Step(time.Second, []Event{arrival(i+1, 0, FunctionID(i+1))})) {
			d.Step(time.Second, []Event{AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Complete: true, Note: FoundWarm, Took: ms}})
		}
	}
	d.Step(1010*ms, nil)
	if len(d.queues.byFunction) != 500 || len(d.openRequests) != 0 {
		t.Fatalf("%d functions, %d calls open", len(d.queues.byFunction), len(d.openRequests))
	}
	before := d.Effort()
	for now := 1020 * ms; now < 2*time.Second; now += 10 * ms {
		d.Step(now, nil)
	}
	if after := d.Effort(); after != before {
		t.Errorf("98 steps in which nothing was due looked at %+v, before it was %+v", after, before)
	}
}

func byID(a, b *worker) int { return cmp.Compare(a.ID, b.ID) }

// The order by id is that of the list, whatever order workers came in.
func TestOrderByID(t *testing.T) {
	d := start(t, base(), ready(5, 2, 9)...)
	d.Step(2*time.Second, []Event{ListUpdate{Kind: ListDelta, Workers: ready(1, 7, 3)}})
	if !slices.IsSortedFunc(d.order, byID) || len(d.order) != 6 {
		t.Errorf("%d workers, sorted %v", len(d.order), slices.IsSortedFunc(d.order, byID))
	}
	checkIndexes(t, d)
}

// The shares of ready workers are those that health found as it came to each, though they are added up later: it may take a worker
// back on the way, and with it the others are no longer past the half up to which suspicion counts.
func TestSharesAsHealthFound(t *testing.T) {
	s := base()
	s.Loading.Orders, s.Limits.Probe = false, false // a worker that cannot be asked is taken back when its time is over
	d := called(t, s, 7)
	first, second := d.order[0], d.order[1]
	d.setEjected(first, true)
	d.setEjected(second, true)
	first.ejectedUntil, second.ejectedUntil = time.Hour, 0
	d.now = time.Minute
	d.checkHealth()
	if !first.ejected || second.ejected || d.Effort().Summed > 2 {
		t.Fatalf("ejected %v and %v, want the first only; %d shares added up on the way, want 2 at the most", first.ejected, second.ejected, d.Effort().Summed)
	}
	if got := d.readyCapacity(); got != 3 {
		t.Errorf("%v ready, want all 3: two of three were under suspicion when health came to the first two", got)
	}
	d.checkHealth()
	if got := d.readyCapacity(); got != 2 {
		t.Errorf("%v ready in the next step, want 2", got)
	}
	checkWorkers(t, d)
}

// Advice on workers is weighed when it comes, when it ends, and for workers that come meanwhile, not at each step.
func TestRanksFollowAdviceAndList(t *testing.T) {
	d := called(t, base(), 7)
	rank := func(id WorkerID, want int) {
		t.Helper()
		if w := d.workers[id]; w.rank != want {
			t.Errorf("worker %d has rank %d, want %d", id, w.rank, want)
		}
	}
	listed := append([]WorkerInfo(nil), WorkerInfo{ID: 9, State: Ready})
	for _, w := range d.order {
		listed = append(listed, w.WorkerInfo)
	}
	known := d.order[0].ID
	d.Step(2*time.Second, []Event{WorkerRank{Worker: known, Rank: -1, Until: 4 * time.Second}, WorkerRank{Worker: 9, Rank: 1, Until: 5 * time.Second}})
	rank(known, -1)
	d.Step(3*time.Second, []Event{ListUpdate{Kind: FullList, Workers: listed}})
	rank(9, 1)
	d.Step(4*time.Second, nil)
	rank(known, 0)
	rank(9, 1)
	d.Step(4500*ms, []Event{WorkerRank{Worker: 9, Rank: 0, Until: 5 * time.Second}})
	rank(9, 0)
	checkIndexes(t, d)
}
