package scheduler

import (
	"runtime"
	"slices"
	"testing"
	"time"
)

// indexed counts the places of queues in the indexes.
func indexed(d *Dispatcher) int {
	f := &d.queues
	return len(f.touched) + len(f.waiting) + f.virtualTimes.Len() + f.expiries.Len() + f.renewals.Len() + f.renewable.Len()
}

// checkIndexes compares what the indexes hold, as it is between steps, with what examining everything finds.
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
	for _, w := range d.listed {
		if d.workers[w.ID] != w || w.State == Removed {
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
	if !slices.Equal(watchList, d.watchList.workers) || ejected != d.outliers.ejected || d.ring.Len() != len(d.listed) {
		t.Fatalf("%d to be watched, %d ejected, %d listed; found %d, %d, %d", len(watchList), ejected,
			len(d.listed), len(d.watchList.workers), d.outliers.ejected, d.ring.Len())
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

// After each step of days with every kind of fault, the indexes hold what examining everything finds.
func TestIndexesHoldWhatExaminingAllFinds(t *testing.T) {
	for i, c := range simulationCases() {
		if c.workers > 60 || c.functions > 300 {
			continue
		}
		c.span = min(c.span, 20*time.Second)
		simulateWith(t, c, uint64(100+i), func(d *Dispatcher) { checkIndexes(t, d) })
	}
}

// renewals returns the functions renewed at a step, in order. An order of no copies is a probe.
func renewals(d *Dispatcher, now time.Duration) (fns []FunctionID) {
	for _, h := range actionsOf[LoadOrder](d.Step(now, nil)) {
		if h.Copies > 0 {
			fns = append(fns, h.Function)
		}
	}
	return fns
}

// startAndServe returns a dispatcher that served one call of each function at 1 s, answered at 1.1 s.
func startAndServe(t *testing.T, s Settings, fns ...FunctionID) *Dispatcher {
	t.Helper()
	d := start(t, s, ready(1, 2, 3)...)
	var arrivals, answers []Event
	for i, fn := range fns {
		arrivals = append(arrivals, arrival(RequestID(i+1), 0, fn))
	}
	for _, a := range actionsOf[Send](d.Step(time.Second, arrivals)) {
		answers = append(answers, AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Complete: true,
			Note: StartedLoad, Took: 100 * ms})
	}
	if len(answers) != len(fns) {
		t.Fatalf("%d of %d calls sent", len(answers), len(fns))
	}
	d.Step(1100*ms, answers)
	return d
}

// Several renewals that are due at one instant come in one step, in the order of the functions, as far as the budget
// goes. The rest waits for it in that order.
func TestRenewalsDueAtOnceGoByFunction(t *testing.T) {
	s := testSettings()
	setBudget(&s, 2*time.Second, 2, 0)
	d := startAndServe(t, s, 5, 3, 9, 4)
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

// A renewal moves later with each request, is not due while one is in flight, and comes only while its queue is
// active.
func TestRenewalMovesWithUseAndAdvice(t *testing.T) {
	d := startAndServe(t, testSettings(), 7)
	sent := actionsOf[Send](d.Step(5*time.Second, []Event{arrival(50, 0, 7)}))
	if len(sent) != 1 {
		t.Fatal("not sent")
	}
	if got := renewals(d, 7*time.Second); got != nil { // was due at 5.9 s, and a call is out
		t.Errorf("renewed %v while a call was out", got)
	}
	d.Step(7100*ms, []Event{AttemptEnded{Request: 50, Worker: sent[0].Worker, Outcome: OK, Complete: true,
		Note: FoundWarm, Took: 100 * ms}})
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

// A shorter time between arrivals makes a queue's time to live end earlier than it was due.
func TestShorterInterarrivalEndsActivityEarlier(t *testing.T) {
	d := startAndServe(t, testSettings(), 7)
	q := d.queues.getOrCreate(7)
	d.queues.reindex()
	before := q.expiryEntry.Key()
	for i := range 10 {
		now := 1200*ms + time.Duration(i)*10*ms
		for _, a := range actionsOf[Send](d.Step(now, []Event{arrival(RequestID(60+i), 0, 7)})) {
			d.Step(now, []Event{AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Complete: true,
				Note: FoundWarm, Took: ms}})
		}
	}
	d.queues.reindex()
	if q.expiryEntry.Key() >= before || q.expiryEntry.Key() != q.idleSince()+d.queues.timeToLive(q) {
		t.Errorf("it stays active until %v, was %v, want %v", q.expiryEntry.Key(), before,
			q.idleSince()+d.queues.timeToLive(q))
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

// A function that is forgotten in the step in which it is called is kept, with what is known of it; one not called
// is not.
func TestFunctionCalledAsItExpiresIsKept(t *testing.T) {
	d := startAndServe(t, testSettings(), 7, 8)
	q := d.queues.getOrCreate(7)
	past := 1100*ms + (8+8+16)*time.Second + 1 // time to live, idle copy's time to live, warmup time
	d.Step(past-1, nil)
	if d.queues.byFunction[7] != q || d.queues.byFunction[8] == nil {
		t.Fatal("forgotten before the time")
	}
	d.Step(past, []Event{arrival(70, 0, 7)})
	if d.queues.byFunction[7] != q || d.queues.byFunction[8] != nil {
		t.Errorf("the called function is kept %v, the other one %v", d.queues.byFunction[7] == q,
			d.queues.byFunction[8] != nil)
	}
	checkIndexes(t, d)
}

// An hour in one step: what came due meanwhile is due once, and becomes inactive and forgotten at once where both
// times are past.
func TestHourInOneStepExpiresOnce(t *testing.T) {
	d := startAndServe(t, testSettings(), 1, 2, 3)
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

// 100,000 functions called once each are forgotten, and their memory is given back.
func TestForgottenFunctionsFreeTheirMemory(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2, 3, 4)...)
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
		for _, a := range actionsOf[Send](d.Step(now, events)) {
			answers = append(answers, AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK,
				Complete: true, Note: FoundWarm, Took: ms})
		}
		for len(answers) > 0 { // what waited goes out as tokens come back
			actions := d.Step(now, answers)
			answers = answers[:0]
			for _, a := range actionsOf[Send](actions) {
				answers = append(answers, AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK,
					Complete: true, Note: FoundWarm, Took: ms})
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
		t.Errorf("%d functions, %d places and %d requests are kept", len(d.queues.byFunction), indexed(d),
			len(d.requests))
	}
	for _, w := range d.listed {
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

// What a step examines grows with what happens in it, not with the number of workers and functions: when idle it
// examines none.
func TestIdleStepExaminesNothing(t *testing.T) {
	var infos []WorkerInfo
	for id := WorkerID(1); id <= 500; id++ {
		infos = append(infos, WorkerInfo{ID: id, State: Ready})
	}
	d := start(t, testSettings(), infos...)
	for i := range RequestID(500) {
		for _, a := range actionsOf[Send](d.Step(time.Second, []Event{arrival(i+1, 0, FunctionID(i+1))})) {
			d.Step(time.Second, []Event{AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK,
				Complete: true, Note: FoundWarm, Took: ms}})
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
