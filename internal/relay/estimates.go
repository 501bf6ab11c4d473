package relay

import (
	"fmt"
	"time"

	"kitehub/internal/backend/frame"
	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// maxReportedWorkers bounds the workers that one line tells of.
const maxReportedWorkers = 32

// compareEstimates sets what the module believes of each worker beside what passed on its sockets since the last time, one text a
// worker, and returns by how many calls out the two differ in all. They are read one after the other, so what is on its way
// between them counts as a difference for a moment; one that stays is a fault.
func compareEstimates(now []frame.Seen, before map[scheduler.WorkerID]frame.Seen, views []gateway.WorkerView) (lines []string, differ int) {
	of := map[string]gateway.WorkerView{}
	for _, v := range views {
		of[v.Name] = v
	}
	for _, s := range now {
		v, known := of[s.Name]
		out := v.Snapshot.Busy + v.Snapshot.Loads
		differ += max(out-s.Open, s.Open-out)
		if len(lines) == maxReportedWorkers {
			continue
		}
		was := before[s.Worker]
		mean := time.Duration(0)
		if n := s.Answered - was.Answered; n > 0 {
			mean = (s.Took - was.Took) / time.Duration(n)
		}
		state := "not known"
		switch {
		case v.Snapshot.Ejected:
			state = "ejected"
		case v.Snapshot.WarmingUp:
			state = "cold"
		case known:
			state = "well"
		}
		lines = append(lines, fmt.Sprintf("%s out %d/%d conns %d served %d in %dms lost %d; %s pace %.2f tokens %.1f", s.Name, out, s.Open, s.Conns,
			s.Answered-was.Answered, mean.Milliseconds(), s.Lost-was.Lost, state, v.Snapshot.LatencyRatio, v.Snapshot.Tokens))
	}
	return lines, differ
}
