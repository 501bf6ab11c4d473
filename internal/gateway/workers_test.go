package gateway

import (
	"testing"
	"time"

	"kitehub/scheduler"
)

// Two names with one hash are an error, and the endpoint list stays as it was.
func TestHashCollisionsAreErrors(t *testing.T) {
	g, transport, _, _ := newManual(t)
	g.directory.functions[FunctionID("a")] = "b"
	if _, err := g.AddFunction("a"); err == nil {
		t.Error("two functions with one hash")
	}
	before := len(transport.endpoints)
	twice := []Worker{readyWorker("w1", "x:1"), readyWorker("w9", "x:2")}
	g.directory.workers[WorkerID("w9")] = Worker{Name: "another"}
	if err := g.UpdateWorkers(scheduler.ListDelta, 2, twice); err == nil || len(transport.endpoints) != before {
		t.Errorf("err %v, list of %d", err, len(transport.endpoints))
	}
}

// A delta that drains a worker reaches the back end at once, before the dispatcher's next step.
func TestDrainReachesBackendAtOnce(t *testing.T) {
	g, transport, clk, _ := newManual(t)
	g.step(clk.Now())
	event := []Worker{
		{Name: "w1", Network: "tcp", Addr: "a:1", State: scheduler.Draining},
		{Name: "w2", State: scheduler.Removed},
	}
	if err := g.UpdateWorkers(scheduler.ListDelta, 2, event); err != nil {
		t.Fatal(err)
	}
	if len(transport.endpoints) != 1 || transport.endpoints[0].Name != "w1" || transport.endpoints[0].Ready {
		t.Errorf("%+v", transport.endpoints)
	}
	var got []Answer
	submit(t, g, 0, &got)
	g.step(clk.Now())
	if transport.result(0) != nil {
		t.Error("sent to a draining worker")
	}
}

// The dispatcher gets the start of a worker on the gateway's clock; a time of day that jumps does not move it.
func TestWorkerStartIsOnTheGatewaysClock(t *testing.T) {
	g, _, clk, _ := newManual(t)
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
