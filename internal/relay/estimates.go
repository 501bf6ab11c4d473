package relay

import (
	"fmt"
	"time"

	"kitehub/internal/backend/frame"
	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// maxReportedWorkers bounds the workers of one log line.
const maxReportedWorkers = 32

// compareEstimates sets what the dispatcher estimates of each worker beside what passed on its sockets since before. It
// returns a text for each worker, and by how many calls in flight the two differ in all. They are read one after the
// other, so what is on its way between them counts as a difference for a moment; one that stays is a fault.
func compareEstimates(now []frame.Traffic, before map[scheduler.WorkerID]frame.Traffic, views []gateway.WorkerView) (
	lines []string, differ int) {
	viewOf := map[string]gateway.WorkerView{}
	for _, v := range views {
		viewOf[v.Name] = v
	}
	for _, seen := range now {
		view, known := viewOf[seen.Name]
		estimated := view.Snapshot.TokensInUse + view.Snapshot.AwaitingLoad
		differ += max(estimated-seen.InFlight, seen.InFlight-estimated)
		if len(lines) < maxReportedWorkers {
			lines = append(lines, describeWorker(seen, before[seen.Worker], view, known))
		}
	}
	return lines, differ
}

func describeWorker(now, before frame.Traffic, view gateway.WorkerView, known bool) string {
	snapshot := view.Snapshot
	served := now.Served - before.Served
	meanRunTime := time.Duration(0)
	if served > 0 {
		meanRunTime = (now.TotalTime - before.TotalTime) / time.Duration(served)
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
		now.Name, snapshot.TokensInUse+snapshot.AwaitingLoad, now.InFlight, now.Conns, served, meanRunTime.Milliseconds(),
		now.Lost-before.Lost, state, snapshot.LatencyRatio, snapshot.Tokens)
}
