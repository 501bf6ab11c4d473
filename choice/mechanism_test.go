package choice

import (
	"testing"
	"time"
)

// A dispatch charges the queue with the function's mean run time; a newly active queue starts at Global_VT.
func TestVirtualTime(t *testing.T) {
	d := start(t, base(), ready(1, 2)...)
	q := d.queue(7)
	q.run = 0.2
	d.Step(time.Second, []Event{arrival(1, 0, 7)})
	if q.vt != 0.2 {
		t.Errorf("VT %v after one dispatch of 0.2 s", q.vt)
	}
	d.Step(1001*ms, nil)
	if d.globalVT != 0.2 {
		t.Errorf("Global_VT %v, want the lowest active VT 0.2", d.globalVT)
	}
	fresh := d.queue(8)
	d.activate(fresh)
	if fresh.vt != d.globalVT {
		t.Errorf("new queue at %v, want Global_VT %v", fresh.vt, d.globalVT)
	}
}

// An empty queue stays active for alpha x its gap, and for the keep-alive before a second call.
func TestTTL(t *testing.T) {
	d := start(t, base(), ready(1)...)
	q := d.queue(7)
	if got := d.ttl(q); got != 8*time.Second {
		t.Errorf("before a second call: %v, want the keep-alive", got)
	}
	q.gap = 3
	if got := d.ttl(q); got != 6*time.Second {
		t.Errorf("at a gap of 3 s: %v, want 6 s", got)
	}
}

// Every controller finds the same home, and the loss of another worker does not move it.
func TestHome(t *testing.T) {
	a, b := start(t, base(), ready(1, 2, 3, 4)...), start(t, base(), ready(4, 3, 2, 1)...)
	for fn := FunctionID(1); fn < 50; fn++ {
		home := a.walk(a.queue(fn))[0]
		if got := b.walk(b.queue(fn))[0]; got.ID != home.ID {
			t.Errorf("function %d: homes %d and %d", fn, home.ID, got.ID)
		}
		if home.ID != 4 {
			c := start(t, base(), ready(1, 2, 3)...)
			if got := c.walk(c.queue(fn))[0]; got.ID != home.ID {
				t.Errorf("function %d moved from %d to %d as worker 4 left", fn, home.ID, got.ID)
			}
		}
	}
}

// An idle active queue renews its home copy by a hold of one.
func TestRenewal(t *testing.T) {
	d := start(t, base(), ready(1, 2)...)
	home := pickOut[Send](d.Step(time.Second, []Event{arrival(1, 0, 7)}))[0].Worker
	d.Step(1100*ms, []Event{Returned{Request: 1, Worker: home, Outcome: OK, Complete: true, Note: FoundWarm}})
	holds := 0
	for now := 1200 * ms; now < 8*time.Second; now += 20 * ms {
		for _, h := range pickOut[Hold](d.Step(now, nil)) {
			if h != (Hold{Worker: home, Function: 7, Copies: 1}) || now < 1100*ms+4800*ms {
				t.Errorf("%v: %+v", now, h)
			}
			holds++
		}
	}
	if holds != 1 {
		t.Errorf("%d holds, want 1", holds)
	}
}

// D halves after a full refusal.
func TestTokensHalve(t *testing.T) {
	d := start(t, base(), ready(1)...)
	w := d.workers[1]
	w.tokens = 8
	d.Step(time.Second, []Event{arrival(1, 0, 7)})
	d.Step(1010*ms, []Event{Returned{Request: 1, Worker: 1, Outcome: Full}})
	if w.tokens != 4 {
		t.Errorf("D %v after a refusal at 8, want 4", w.tokens)
	}
}
