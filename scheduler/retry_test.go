package scheduler

import (
	"testing"
	"time"
)

// What may follow an outcome, for each idempotency: another attempt, a Reject or a Fail.
func TestOutcomeDecidesBetweenRetryRejectAndFail(t *testing.T) {
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
		d := start(t, testSettings(), ready(1, 2, 3)...)
		sent := actionsOf[Send](d.Step(time.Second, []Event{arrival(1, tt.class, 7)}))
		if len(sent) != 1 {
			t.Fatalf("class %d: %d sends on arrival, want 1", tt.class, len(sent))
		}
		var got want
		e := Event(AttemptEnded{Request: 1, Worker: sent[0].Worker, Outcome: tt.outcome, Took: 20 * ms,
			Complete: tt.outcome == OK})
		for now := 1020 * ms; now < 3500*ms && got == (want{}); now += 20 * ms {
			actions := d.Step(now, []Event{e})
			got.sends += len(actionsOf[Send](actions))
			got.refuses += len(actionsOf[Reject](actions))
			got.fails += len(actionsOf[Fail](actions))
			e = Timer{}
		}
		if got != tt.want {
			t.Errorf("class %d after outcome %d: %+v, want %+v", tt.class, tt.outcome, got, tt.want)
		}
	}
}

// A request with an idempotency key that may have run goes only to the group of its worker, and only within the
// window.
func TestKeyedRequestIsRetriedInItsGroupOnly(t *testing.T) {
	for _, mate := range []bool{true, false} {
		d := start(t, testSettings(), ready(1, 2, 3, 4)...)
		sent := actionsOf[Send](d.Step(time.Second, []Event{arrival(1, 1, 7)}))
		home := sent[0].Worker
		var news []WorkerInfo
		for _, w := range ready(1, 2, 3, 4) {
			if mate && w.ID != home && len(news) == 0 {
				w.Group = int(home)
				news = append(news, w)
			}
		}
		d.Step(1001*ms, []Event{ListUpdate{Kind: ListDelta,
			Workers: append(news, WorkerInfo{ID: home, State: Draining})}})
		actions := d.Step(1020*ms, []Event{AttemptEnded{Request: 1, Worker: home, Outcome: Reset, Took: 20 * ms}})
		again, fails := actionsOf[Send](actions), actionsOf[Fail](actions)
		if mate && (len(again) != 1 || again[0].Worker != news[0].ID) {
			t.Errorf("with a mate: sends %v, want one to %d", again, news[0].ID)
		}
		if !mate && (len(again) != 0 || len(fails) != 1 || len(actionsOf[Reject](actions)) != 0) {
			t.Errorf("without a mate: %v, want one Fail and nothing else", actions)
		}
	}
}

// A request with an idempotency key that may have run is not sent again after its window, counted from that send.
func TestKeyedRequestIsNotRetriedAfterItsWindow(t *testing.T) {
	for _, at := range []time.Duration{2900 * ms, 3100 * ms} { // sent at 1 s, window 2 s
		s := testSettings()
		s.Classes[1].DedupScope = AllWorkers
		d := start(t, s, ready(1, 2)...)
		home := actionsOf[Send](d.Step(time.Second, []Event{arrival(1, 1, 7)}))[0].Worker
		e := []Event{AttemptEnded{Request: 1, Worker: home, Outcome: Reset}}
		if sent := len(actionsOf[Send](d.Step(at, e))); (sent == 1) != (at < 3*time.Second) {
			t.Errorf("reset at %v: %d further sends", at, sent)
		}
	}
}

// The rules alone: which worker may have one more attempt, after attempts that may have run or not.
func TestRetryRulesKeepIdempotency(t *testing.T) {
	s := testSettings()
	s.Limits.HedgedRequests = true
	rules := newRetryRules(&s)
	first := &worker{WorkerInfo: WorkerInfo{ID: 1, State: Ready, Group: 1, Zone: 1}}
	mate := &worker{WorkerInfo: WorkerInfo{ID: 2, State: Ready, Group: 1, Zone: 2}}
	other := &worker{WorkerInfo: WorkerInfo{ID: 3, State: Ready, Group: 2, Zone: 1}}
	draining := &worker{WorkerInfo: WorkerInfo{ID: 4, State: Draining, Group: 1, Zone: 1}}
	const sentAt = 10 * time.Second
	neverRan := attempt{worker: first, group: 1, zone: 1, sentAt: sentAt, done: true}
	mayHaveRun := neverRan
	mayHaveRun.mayHaveRun = true
	outstanding := attempt{worker: first, group: 1, zone: 1, sentAt: sentAt}
	givenUp := outstanding
	givenUp.abandoned = true
	const safe, keyed, unsafe = 0, 1, 2 // keyed: in a group, for two seconds
	for _, tt := range []struct {
		name   string
		class  int
		before []attempt
		worker *worker
		after  time.Duration
		want   bool
	}{
		{"first attempt", unsafe, nil, first, 0, true},
		{"draining worker", safe, nil, draining, 0, false},
		{"no time left", safe, nil, first, time.Hour, false},
		{"never ran", unsafe, []attempt{neverRan}, first, 0, true},
		{"idempotent that may have run", safe, []attempt{mayHaveRun}, other, 0, true},
		{"not idempotent that may have run", unsafe, []attempt{mayHaveRun}, mate, 0, false},
		{"with a key, in its group", keyed, []attempt{mayHaveRun}, mate, 0, true},
		{"with a key, outside its group", keyed, []attempt{mayHaveRun}, other, 0, false},
		{"with a key, at the end of its window", keyed, []attempt{mayHaveRun}, mate, 2*time.Second - s.Tick, false},
		{"with a key that never ran, outside its group", keyed, []attempt{neverRan}, other, 0, true},
		{"one outstanding", safe, []attempt{outstanding}, other, 0, false},
		{"one outstanding that is given up on", safe, []attempt{givenUp}, other, 0, true},
		{"the same worker again, with one outstanding there", safe, []attempt{givenUp}, first, 0, false},
		{"not idempotent, one outstanding that is given up on", unsafe, []attempt{givenUp}, other, 0, false},
		{"as many attempts as are allowed", safe, []attempt{neverRan, neverRan, neverRan}, other, 0, false},
	} {
		r := &request{Arrival: Arrival{Class: tt.class}, attempts: tt.before, answerBy: sentAt + time.Minute}
		if got := rules.maySend(r, tt.worker, sentAt+tt.after); got != tt.want {
			t.Errorf("%s: may send %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestOnlyHarmlessRequestsAreRejected(t *testing.T) {
	s := testSettings()
	mayHaveRun := []attempt{{done: true, mayHaveRun: true}}
	for _, tt := range []struct {
		class  int
		scope  DedupScope
		before []attempt
		want   bool
	}{
		{0, 0, mayHaveRun, true}, {2, 0, nil, true}, {2, 0, []attempt{{done: true}}, true}, {2, 0, mayHaveRun, false},
		{2, 0, []attempt{{}}, false}, {1, SameGroup, mayHaveRun, false}, {1, AllWorkers, mayHaveRun, true},
	} {
		s.Classes[1].DedupScope = tt.scope
		rules := newRetryRules(&s)
		if got := rules.mayReject(&request{Arrival: Arrival{Class: tt.class}, attempts: tt.before}); got != tt.want {
			t.Errorf("class %d, scope %d, attempts %+v: may reject %v, want %v", tt.class, tt.scope, tt.before,
				got, tt.want)
		}
	}
}
