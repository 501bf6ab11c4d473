package relay

import (
	"fmt"
	"time"

	"kitehub/internal/backend/frame"
	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// maxReportedWorkers bounds the workers in one log line.
const maxReportedWorkers = 32

// compareEstimates compares, for each worker, the dispatcher's estimate with the traffic on the
// worker's sockets since the previous report. It returns a text per worker, and the sum over all
// workers of the difference in requests in flight.
//
// The two sides are not read at the same instant, so a request that is just being sent or answered
// counts as a difference for a moment. A difference that persists is a fault.
func compareEstimates(current []frame.Traffic, previous map[scheduler.WorkerID]frame.Traffic, views []gateway.WorkerView) (
	lines []string, difference int) {
	viewsByName := map[string]gateway.WorkerView{}
	for _, v := range views {
		viewsByName[v.Name] = v
	}
	for _, traffic := range current {
		view, known := viewsByName[traffic.Name]
		estimate := view.Snapshot.TokensInUse + view.Snapshot.AwaitingLoad
		difference += max(estimate-traffic.InFlight, traffic.InFlight-estimate)
		if len(lines) < maxReportedWorkers {
			lines = append(lines, describeWorker(traffic, previous[traffic.Worker], view, known))
		}
	}
	return lines, difference
}

// describeWorker returns the text of one worker: estimated/actual requests in flight, traffic since
// the previous report, and the dispatcher's view. known is false if the dispatcher does not know
// the worker.
func describeWorker(current, previous frame.Traffic, view gateway.WorkerView, known bool) string {
	snapshot := view.Snapshot
	served := current.Served - previous.Served
	meanRunTime := time.Duration(0)
	if served > 0 {
		meanRunTime = (current.TotalTime - previous.TotalTime) / time.Duration(served)
	}
	state := "not known"
	switch {
	case snapshot.Ejected:
		state = "ejected"
	case snapshot.WarmingUp:
		state = "cold"
	case known:
		state = "well"
	}
	return fmt.Sprintf("%s out %d/%d conns %d served %d in %dms lost %d; %s pace %.2f tokens %.1f",
		current.Name, snapshot.TokensInUse+snapshot.AwaitingLoad, current.InFlight, current.Conns, served, meanRunTime.Milliseconds(),
		current.Lost-previous.Lost, state, snapshot.LatencyRatio, snapshot.Tokens)
}
