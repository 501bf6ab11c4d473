package gateway

import (
	"testing"
	"time"

	"kitehub/scheduler"
)

// Two names with the same hash are an error, and leave the endpoint list unchanged.
func TestHashCollisionsAreErrors(t *testing.T) {
	g, transport, _, _ := newManualGateway(t)
	g.directory.functions[FunctionID("a")] = "b"
	if _, err := g.AddFunction("a"); err == nil {
		t.Error("two functions with the same hash were accepted")
	}
	before := len(transport.endpoints)
	colliding := []Worker{readyWorker("w1", "x:1"), readyWorker("w9", "x:2")}
	g.directory.workers[WorkerID("w9")] = Worker{Name: "another"}
	if err := g.UpdateWorkers(scheduler.ListDelta, 2, colliding); err == nil || len(transport.endpoints) != before {
		t.Errorf("error %v, %d endpoints; want an error and an unchanged list", err, len(transport.endpoints))
	}
}

// A delta that drains a worker reaches the backend at once, before the dispatcher's next step.
func TestDrainReachesBackendAtOnce(t *testing.T) {
	g, transport, clk, _ := newManualGateway(t)
	g.step(clk.Now())
	event := []Worker{
		{Name: "w1", Network: "tcp", Addr: "a:1", State: scheduler.Draining},
		{Name: "w2", State: scheduler.Removed},
	}
	if err := g.UpdateWorkers(scheduler.ListDelta, 2, event); err != nil {
		t.Fatal(err)
	}
	if len(transport.endpoints) != 1 || transport.endpoints[0].Name != "w1" || transport.endpoints[0].Ready {
		t.Errorf("endpoints %+v, want w1 alone, not ready", transport.endpoints)
	}
	var got []Answer
	submit(t, g, 0, &got)
	g.step(clk.Now())
	if transport.callback(0) != nil {
		t.Error("an attempt was sent to a draining worker")
	}
}

// The dispatcher gets a worker's start time on the gateway's clock. A jump of the time of day does
// not change it.
func TestWorkerStartIsOnTheGatewaysClock(t *testing.T) {
	g, _, clk, _ := newManualGateway(t)
	clk.SetWall(clk.Wall().Add(time.Hour))
	started := clk.Wall().Add(-3 * time.Second)
	w := readyWorker("w1", "a:1")
	w.Started = started
	if err := g.UpdateWorkers(scheduler.FullList, 2, []Worker{w}); err != nil {
		t.Fatal(err)
	}
	if got := clk.Now() - g.pendingList.Workers[0].StartedAt; got != 3*time.Second {
		t.Errorf("started %v ago, want 3 s", got)
	}
}

// Guards against a worker that is sent too much after its start, because the time of day was stepped:
// whichever of the two readings is wrong, a worker counts as just started, and stays so.
func TestWorkerStartSurvivesClockSteps(t *testing.T) {
	const age = 3 * time.Second
	for _, step := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second, 1500 * ms} {
		for _, wrongBefore := range []bool{false, true} {
			g, _, clk, _ := newManualGateway(t)
			started := clk.Wall().Add(-age) // on a clock that is right
			if wrongBefore {
				started = started.Add(step)
			}
			w := readyWorker("w1", "a:1")
			w.Started = started
			clk.SetWall(clk.Wall().Add(step))
			update := func(version uint32) time.Duration {
				if err := g.UpdateWorkers(scheduler.FullList, version, []Worker{w}); err != nil {
					t.Fatal(err)
				}
				return g.pendingList.Workers[0].StartedAt
			}
			at := update(2)
			if got := clk.Now() - at; got < 0 || got > age {
				t.Errorf("step %v, wrong before it %v: started %v ago, want at most %v", step, wrongBefore, got, age)
			}
			clk.Advance(time.Second)
			clk.SetWall(clk.Wall().Add(-2 * step))
			if later := update(3); later != at {
				t.Errorf("step %v, wrong before it %v: a further step changed the start by %v", step, wrongBefore, later-at)
			}
		}
	}
}
