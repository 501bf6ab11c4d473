package relay

import (
	"runtime"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/backend/frame"
	"kitehub/scheduler"
)

const reportInterval = 5 * time.Second

// reportLoop logs estimates and counts at intervals, until Stop.
func (r *Relay) reportLoop() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	previous := map[scheduler.WorkerID]frame.Traffic{}
	for {
		select {
		case <-r.done:
			return
		case <-ticker.C:
		}
		r.reportEstimates(previous)
		r.reportCounts()
	}
}

// reportEstimates logs the dispatcher's estimates beside the traffic on the sockets since the
// previous report, and updates previous.
func (r *Relay) reportEstimates(previous map[scheduler.WorkerID]frame.Traffic) {
	views, _, err := r.Gateway.View()
	if err != nil {
		return // the gateway has stopped
	}
	traffic := r.Backend.Traffic()
	lines, differ := compareEstimates(traffic, previous, views)
	clear(previous)
	for _, s := range traffic {
		previous[s.Worker] = s
	}
	r.options.Log.Info().Int("differ", differ).Strs("workers", lines).Msg("beliefs")
}

// reportCounts logs the counts since the start. docs/relay.md explains each field.
func (r *Relay) reportCounts() {
	e := r.options.Log.Info()
	r.addGatewayCounts(e)
	r.addIngressCounts(e)
	r.addBackendCounts(e)
	r.addDirectoryCounts(e)
	addProcessCounts(e)
	e.Msg("counts since start")
}

func (r *Relay) addGatewayCounts(e *zerolog.Event) {
	counts := &r.Gateway.Counts
	e.Int64("served", counts.Served.Load()).Int64("refused", counts.Rejected.Load()).
		Int64("failed", counts.Failed.Load()).Int64("gone", counts.ClientClosed.Load()).
		Int64("turned", counts.OverCapacity.Load()).Int("open", r.Gateway.OpenRequests()).
		Int64("retried_never_ran", counts.RetriesNeverRan.Load()).Int64("retried_may_have_run", counts.RetriesMayHaveRun.Load()).
		Int64("too_late", counts.StartedTooLate.Load()).Int64("closed_before_send", counts.ClosedBeforeSend.Load()).
		Int64("crashes", counts.Panics.Load()).Int64("steps", counts.Steps.Load()).
		Int64("step_us", counts.StepNanos.Load()/1000).Int64("late_us", counts.MaxStepDelayNanos.Load()/1000).
		Int64("step_max_us", counts.MaxStepNanos.Load()/1000).Int64("step_events_max", counts.MaxStepEvents.Load())
}

func (r *Relay) addIngressCounts(e *zerolog.Event) {
	counts := &r.Ingress.Counts
	e.Int("clients", r.Ingress.ConnCount()).Int64("accepted", counts.Accepted.Load()).Int64("left", counts.Gone.Load()).
		Int64("evicted", counts.Evicted.Load()).Int64("shut", counts.TimedOut.Load()).
		Int64("requests", counts.Requests.Load()).Int64("invalid", counts.Invalid.Load()).
		Int64("over", counts.OverLimit.Load()).Int64("broken", counts.Malformed.Load()).
		Int64("closed", counts.Refused.Load()).
		Int64("withdrawn", counts.Withdrawn.Load()).Int64("abandoned", counts.Abandoned.Load()).
		Int64("sent_again", counts.SentAgain.Load()).Int64("no_room", counts.NoRoom.Load())
}

func (r *Relay) addBackendCounts(e *zerolog.Event) {
	counts := &r.Backend.Counts
	e.Int64("opened", counts.Opened.Load()).Int64("dial_failed", counts.DialFailed.Load()).
		Int64("lost_new", counts.LostNew.Load()).Int64("lost_used", counts.LostUsed.Load()).
		Int64("noise", counts.Malformed.Load()).Int64("strays", counts.Strays.Load()).
		Int64("pings", counts.Pings.Load()).Int64("dead", counts.Dead.Load()).
		Int64("no_place", counts.NoConn.Load())
}

func (r *Relay) addDirectoryCounts(e *zerolog.Event) {
	counts := &r.Watcher.Counts
	e.Int64("asked", counts.Queries.Load()).Int64("lists", counts.Updates.Load()).
		Int64("unfit", counts.Invalid.Load()).Int64("silent", counts.TimedOut.Load())
}

func addProcessCounts(e *zerolog.Event) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	e.Uint64("heap_kb", m.HeapInuse>>10).Uint64("sys_kb", m.Sys>>10).Uint32("gc", m.NumGC).
		Float64("gc_cpu", m.GCCPUFraction).Int("goroutines", runtime.NumGoroutine())
}
