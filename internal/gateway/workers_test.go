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
