package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"kitehub/internal/backend"
	"kitehub/scheduler"
)

// A request is sent, answered once and logged in one line.
func TestServedRequestIsAnsweredOnceAndLogged(t *testing.T) {
	g, transport, clk, log := newManual(t)
	var got []Answer
	submit(t, g, 0, &got)
	g.step(clk.Now())
	if transport.result(0) == nil {
		t.Fatal("nothing sent")
	}
	clk.Advance(30 * ms)
	transport.result(0)(backend.Result{Outcome: scheduler.OK, Took: 30 * ms, Body: []byte("yes")})
	g.step(clk.Now())
	if len(got) != 1 || got[0].Kind != Served || string(got[0].Body) != "yes" || g.OpenRequests() != 0 || len(g.inFlight) != 0 {
		t.Errorf("%+v, %d open, %d in flight", got, g.OpenRequests(), len(g.inFlight))
	}
	if !strings.Contains(log.String(), `"answer":"served"`) || !strings.Contains(log.String(), `ok 30ms"]`) {
		t.Errorf("closing line: %s", log)
	}
}

// Beyond Limits.MaxOpenRequests a call is not admitted; an answer frees its slot.
func TestSubmitRejectsBeyondCapacity(t *testing.T) {
	g, transport, clk, _ := newManual(t)
	var got []Answer
	for range 10 {
		submit(t, g, 0, &got)
	}
	if _, ok := g.Submit(&Call{Function: &Function{}}); ok {
		t.Error("an eleventh call was admitted")
	}
	g.step(clk.Now())
	transport.result(0)(backend.Result{Outcome: scheduler.OK, Took: ms})
	g.step(clk.Now())
	submit(t, g, 0, &got)
	if g.OpenRequests() != 10 {
		t.Errorf("%d open", g.OpenRequests())
	}
}

// The answer of an attempt whose request has already been answered is dropped.
func TestLateAnswerIsDropped(t *testing.T) {
	g, transport, clk, _ := newManual(t)
	var got []Answer
	submit(t, g, 1, &got)
	g.step(clk.Now())
	for range 250 { // to the deadline
		clk.Advance(10 * ms)
		g.step(clk.Now())
	}
	if len(got) != 1 || got[0].Kind != Failed || !got[0].DeadlineExceeded {
		t.Fatalf("%+v", got)
	}
	transport.result(0)(backend.Result{Outcome: scheduler.OK, Took: 3 * time.Second, Body: []byte("late")})
	g.step(clk.Now())
	if len(got) != 1 || len(g.inFlight) != 0 {
		t.Errorf("%+v, %d in flight", got, len(g.inFlight))
	}
}

// When the worker answers as the client closes, the request has one end: whichever is first.
func TestAnswerAndCancelRaceToOneEnd(t *testing.T) {
	for _, closedFirst := range []bool{false, true} {
		g, transport, clk, _ := newManual(t)
		var got []Answer
		id := submit(t, g, 1, &got)
		g.step(clk.Now())
		ok := func() { transport.result(0)(backend.Result{Outcome: scheduler.OK, Took: ms, Body: []byte("x")}) }
		want := Served
		if closedFirst {
			g.Cancel(id)
			g.step(clk.Now())
			ok()
			want = ClientClosed
		} else {
			ok()
			g.Cancel(id)
		}
		g.step(clk.Now())
		if len(got) != 1 || got[0].Kind != want || g.OpenRequests() != 0 || len(g.inFlight) != 0 {
			t.Errorf("%+v, want one %v; %d open, %d in flight", got, want, g.OpenRequests(), len(g.inFlight))
		}
		if want == ClientClosed && !got[0].MayHaveRun {
			t.Error("a running attempt did not count as one that may have run")
		}
	}
}

func TestEachActionIsExecuted(t *testing.T) {
	g, transport, clk, log := newManual(t)
	fn, err := g.AddFunction("f")
	if err != nil {
		t.Fatal(err)
	}
	w := WorkerID("w1")
	for _, a := range []scheduler.Action{
		scheduler.Unload{Worker: w, Function: fn},
		scheduler.Probe{Worker: w},
		scheduler.CloseIdleConnections{Worker: w},
		scheduler.PeerMessage{To: 2, Payload: []byte("hi")},
		scheduler.WatchEndpoints{On: true},
		scheduler.FetchEndpoints{},
		scheduler.Log{Text: "note"},
		scheduler.LoadOrder{Worker: w, Function: fn, Copies: 2},
		scheduler.LoadOrder{Worker: w, Function: 99}, // not known: not sent
		scheduler.Wake{At: clk.Now() + ms, Token: 7},
		scheduler.Reject{Request: 12345}, // not open: logged
		scheduler.Cancel{Request: 12345},
	} {
		g.execute(a, clk.Now())
	}
	if s := strings.Join(transport.actions, ", "); s != "unload f, probe, close, load f 2" {
		t.Errorf("on workers: %q", s)
	}
	if s := fmt.Sprint(g.cfg.Peers.(*fakePeers).messages); s != "[2 hi]" {
		t.Errorf("sent to peers: %s", s)
	}
	if s := fmt.Sprint(g.cfg.Lister.(*fakeLister).requests); s != "[watch true fetch]" {
		t.Errorf("asked of the lister: %s", s)
	}
	if !strings.Contains(log.String(), `"text":"note"`) || !strings.Contains(log.String(), errUnknownRequest.Error()) {
		t.Errorf("logged %s", log)
	}
	if len(g.wakeups) != 1 || g.wakeups[0].Token != 7 {
		t.Errorf("tokens %v", g.wakeups)
	}
}

// A request that is served while the dispatcher decides is neither answered again nor sent again.
func TestServedWhileTheDispatcherDecides(t *testing.T) {
	g, transport, clk, _ := newManual(t)
	var got []Answer
	id := submit(t, g, 0, &got)
	g.step(clk.Now())
	transport.result(0)(backend.Result{Outcome: scheduler.OK, Took: ms, Body: []byte("x")})
	g.execute(scheduler.Reject{Request: id}, clk.Now())
	g.execute(scheduler.Send{Request: id, Worker: WorkerID("w2"), Timeout: time.Second}, clk.Now())
	if transport.result(1) != nil {
		t.Error("sent after it was served")
	}
	g.step(clk.Now()) // the event of the attempt that served it
	g.step(clk.Now()) // that of the attempt which was not started
	if len(got) != 1 || got[0].Kind != Served || g.OpenRequests() != 0 || len(g.inFlight) != 0 {
		t.Errorf("%+v, %d open, %d in flight", got, g.OpenRequests(), len(g.inFlight))
	}
}

// A call with an idempotency key of which other bytes ran takes no later answer: the workers drop the duplicate and
// answer what those bytes did, under the right digest. An idempotent one takes the answer of the right bytes.
func TestDigestMismatchIsNeverDelivered(t *testing.T) {
	for _, tt := range []struct {
		idempotency scheduler.Idempotency
		want        AnswerKind
	}{{scheduler.Idempotent, Served}, {scheduler.IdempotentWithKey, Failed}} {
		g, transport, clk, _ := newManual(t)
		class := &g.cfg.Settings.Classes[0]
		class.Idempotency = tt.idempotency
		class.DedupScope = scheduler.AllWorkers
		class.DedupWindow = time.Second
		var err error
		if g.dispatcher, err = scheduler.New(g.cfg.Settings, 1); err != nil {
			t.Fatal(err)
		}
		id, err := g.AddFunction("m@1")
		if err != nil {
			t.Fatal(err)
		}
		var got []Answer
		call := &Call{
			ID:       "m",
			Function: &Function{Name: "m@1", ID: id, Digest: "right", Lanes: 2},
			TimeLeft: 2 * time.Second,
			Deliver:  func(a Answer) { got = append(got, a) },
		}
		if _, ok := g.Submit(call); !ok {
			t.Fatal("the call is not admitted")
		}
		digests := []string{"wrong", "right", "right", "right", "right"}
		for i := 0; len(got) == 0 && i < 1000; i++ {
			g.step(clk.Now())
			clk.Advance(10 * ms)
			if n := len(digests); n > 0 && transport.result(5-n) != nil {
				res := backend.Result{Outcome: scheduler.OK, Took: 10 * ms, Digest: digests[0], Body: []byte("x")}
				transport.result(5 - n)(res)
				digests = digests[1:]
			}
		}
		if len(got) != 1 || got[0].Kind != tt.want && !(tt.want == Failed && got[0].Kind == Rejected) || len(digests) > 3 {
			t.Errorf("idempotency %d: %+v after %d attempts, want %v", tt.idempotency, got, 5-len(digests), tt.want)
		}
	}
}
