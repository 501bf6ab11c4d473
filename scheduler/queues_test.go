package scheduler

import (
	"slices"
	"testing"
	"time"

	"kitehub/scheduler/ring"
)

// A queue within the lead goes before one beyond it, then the longest, then the one with the fewest requests in
// flight.
func TestQueuesGoByLeadLengthAndRequestsInFlight(t *testing.T) {
	d := start(t, testSettings(), ready(1)...)
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

// A dispatch charges the queue with the function's mean run time. A newly active queue starts at the global virtual
// time.
func TestDispatchChargesVirtualTime(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2)...)
	q := d.queues.getOrCreate(7)
	q.meanRunTime = 0.2
	d.Step(time.Second, []Event{arrival(1, 0, 7)})
	if q.virtualTime != 0.2 {
		t.Errorf("VT %v after one dispatch of 0.2 s", q.virtualTime)
	}
	d.Step(1001*ms, nil)
	if d.queues.globalVirtualTime != 0.2 {
		t.Errorf("Global_VT %v, want the lowest active VT 0.2", d.queues.globalVirtualTime)
	}
	fresh := d.queues.getOrCreate(8)
	d.queues.activate(fresh)
	if fresh.virtualTime != d.queues.globalVirtualTime {
		t.Errorf("new queue at %v, want Global_VT %v", fresh.virtualTime, d.queues.globalVirtualTime)
	}
}

// An empty queue stays active for two of its mean interarrival times, and before a second request for as long as an
// idle copy stays loaded.
func TestEmptyQueueStaysActiveForTwoInterarrivals(t *testing.T) {
	d := start(t, testSettings(), ready(1)...)
	q := d.queues.getOrCreate(7)
	if got := d.queues.timeToLive(q); got != 8*time.Second {
		t.Errorf("before a second call: %v, want the keep-alive", got)
	}
	q.meanInterarrival = 3
	if got := d.queues.timeToLive(q); got != 6*time.Second {
		t.Errorf("at a gap of 3 s: %v, want 6 s", got)
	}
}

// Every controller finds the same home, and the loss of another worker does not move it.
func TestHomesAgreeAndStay(t *testing.T) {
	a, b := start(t, testSettings(), ready(1, 2, 3, 4)...), start(t, testSettings(), ready(4, 3, 2, 1)...)
	for fn := FunctionID(1); fn < 50; fn++ {
		home := walk(a, a.queues.getOrCreate(fn))[0]
		if got := walk(b, b.queues.getOrCreate(fn))[0]; got.ID != home.ID {
			t.Errorf("function %d: homes %d and %d", fn, home.ID, got.ID)
		}
		if home.ID != 4 {
			c := start(t, testSettings(), ready(1, 2, 3)...)
			if got := walk(c, c.queues.getOrCreate(fn))[0]; got.ID != home.ID {
				t.Errorf("function %d moved from %d to %d as worker 4 left", fn, home.ID, got.ID)
			}
		}
	}
}

// queuesOf returns fair queues without workers, with a tick of 10 ms and idle copies that stay for eight seconds.
func queuesOf() *fairQueues {
	f := newFairQueues(&Settings{Tick: 10 * ms, Loading: Loading{IdleCopyTTL: 8 * time.Second}},
		&ring.Ring[*worker]{Hash: ringPoint})
	return &f
}

func TestGlobalVirtualTimeIsTheLowestAndNeverFalls(t *testing.T) {
	f := queuesOf()
	a, b := f.getOrCreate(1), f.getOrCreate(2)
	f.arrive(a, time.Second)
	f.arrive(b, time.Second)
	f.charge(a, 3, time.Second)
	f.charge(b, 2, time.Second)
	f.expire(time.Second)
	if f.globalVirtualTime != 2 {
		t.Errorf("global virtual time %v, want the lowest, 2", f.globalVirtualTime)
	}
	late := f.getOrCreate(3)
	f.arrive(late, 2*time.Second)
	if late.virtualTime != 2 {
		t.Errorf("a queue that becomes active begins at %v, want the global virtual time 2", late.virtualTime)
	}
	a.virtualTime, b.virtualTime, late.virtualTime = 1, 1, 1
	f.markDirty(a)
	f.markDirty(b)
	f.markDirty(late)
	f.expire(2 * time.Second)
	if f.globalVirtualTime != 2 {
		t.Errorf("global virtual time fell to %v", f.globalVirtualTime)
	}
}

// A queue with a request in flight does not expire; an empty one does after its time to live, and is forgotten once
// nothing of it is of use.
func TestQueueExpiresAndIsForgotten(t *testing.T) {
	f := queuesOf()
	q := f.getOrCreate(1)
	f.arrive(q, time.Second)
	f.charge(q, 1, time.Second)
	f.expire(time.Hour)
	if !q.active {
		t.Fatal("expired with a request in flight")
	}
	f.recordOutcome(q, time.Hour)
	f.expire(time.Hour + 8*time.Second - 1)
	if !q.active {
		t.Error("expired before its time to live")
	}
	f.expire(time.Hour + 8*time.Second)
	if q.active || f.byFunction[1] != q {
		t.Errorf("active %v, remembered %v at the end of its time to live", q.active, f.byFunction[1] == q)
	}
	f.expire(time.Hour + 16*time.Second + 1)
	if len(f.byFunction) != 0 || f.expiries.Len() != 0 {
		t.Error("remembered once nothing of it is of use")
	}
}

func TestQueueKeepsRequestsInOrderOfArrival(t *testing.T) {
	f := queuesOf()
	q := f.getOrCreate(1)
	var all []*request
	for _, at := range []time.Duration{3, 1, 2, 1} {
		r := &request{queue: q, arrivedAt: at}
		all = append(all, r)
		f.enqueue(r)
		f.enqueue(r) // again: once is enough
	}
	if want := []*request{all[1], all[3], all[2], all[0]}; !slices.Equal(q.pending, want) {
		t.Error("the requests are not in order of arrival")
	}
	ended := &request{queue: q, ended: true}
	f.enqueue(ended)
	f.dequeue(all[3])
	f.dequeue(all[3])
	if len(q.pending) != 3 || all[3].queued || ended.queued {
		t.Errorf("%d requests are queued, want three", len(q.pending))
	}
}
