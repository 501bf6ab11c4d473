package scheduler

import (
	"maps"
	"slices"
	"time"
)

// Snapshot is the state of a worker and a function as the dispatcher sees it, for people to read.
// No decision depends on it.
type Snapshot struct {
	RingPosition     int     `json:"Place"`    // of the worker in the function's walk; -1: none
	RingSize         int     `json:"Ring"`     // number of workers on the ring
	Ready            bool    `json:"Ready"`    // may be sent anything new
	Ejected          bool    `json:"Ejected"`  // for failures
	WarmingUp        bool    `json:"Cold"`     // started recently: in slow start
	HasCopy          bool    `json:"Warm"`     // a copy is believed to be loaded
	Rank             int     `json:"Rank"`     // as advised
	Tokens           float64 `json:"Tokens"`   // concurrency limit at the worker
	TokensInUse      int     `json:"Busy"`     // by attempts of this controller
	LatencyRatio     float64 `json:"Pace"`     // mean run time over its classes'; 0: not known
	AwaitingLoad     int     `json:"Loads"`    // attempts at the worker that may wait for a load
	AdmittedFraction float64 `json:"Pass"`     // of new requests, at this controller
	Queued           int     `json:"Waiting"`  // requests in the function's queue
	InFlight         int     `json:"InFlight"` // attempts of the function without an outcome
}

// Snapshot returns the current state of a worker and a function. Either may be unknown.
func (d *Dispatcher) Snapshot(function FunctionID, id WorkerID) Snapshot {
	snapshot := Snapshot{RingPosition: -1, RingSize: len(d.listed), AdmittedFraction: d.admission.fraction}
	worker, queue := d.workers[id], d.queues.byFunction[function]
	if queue != nil {
		snapshot.Queued = len(queue.pending)
		snapshot.InFlight = queue.inFlight
		snapshot.RingPosition = d.ringPosition(queue, id)
	}
	if worker == nil {
		return snapshot
	}
	snapshot.Ready = d.ready(worker)
	snapshot.Ejected = worker.ejected
	snapshot.Rank = worker.rank
	warmAt := worker.warmingSince + d.settings.Guarantees.WarmupTime
	snapshot.WarmingUp = worker.warmingSince > 0 && d.now < warmAt
	snapshot.Tokens = worker.limit.tokens
	snapshot.TokensInUse = worker.limit.inUse
	snapshot.AwaitingLoad = worker.awaitingLoad
	snapshot.LatencyRatio = worker.limit.latencyRatio
	if queue != nil {
		snapshot.HasCopy = d.hasCopy(queue.placements[worker], worker)
	}
	return snapshot
}

// ringPosition returns the position of a worker in a function's walk, or -1.
func (d *Dispatcher) ringPosition(queue *queue, id WorkerID) int {
	for i := range d.listed {
		if queue.worker(i).ID == id {
			return i
		}
	}
	return -1
}

// WorkerSnapshot is the state of a worker as the dispatcher sees it.
type WorkerSnapshot struct {
	ID                WorkerID      `json:"ID"`
	State             WorkerState   `json:"State"`
	Snapshot          Snapshot      `json:"Look"`   // of no function
	SinceLastResponse time.Duration `json:"Heard"`  // -1: none yet
	Copies            int           `json:"Copies"` // functions believed to be loaded there
}

// Workers returns all listed workers, by ID.
func (d *Dispatcher) Workers() (snapshots []WorkerSnapshot) {
	for _, worker := range d.listed {
		snapshot := WorkerSnapshot{
			ID:                worker.ID,
			State:             worker.State,
			Snapshot:          d.Snapshot(0, worker.ID),
			SinceLastResponse: -1,
		}
		if worker.lastResponseAt > 0 {
			snapshot.SinceLastResponse = d.now - worker.lastResponseAt
		}
		for _, placed := range worker.placements {
			if d.hasCopy(placed, worker) {
				snapshot.Copies++
			}
		}
		snapshots = append(snapshots, snapshot)
	}
	return snapshots
}

// FunctionSnapshot is the state of a function as the dispatcher sees it.
type FunctionSnapshot struct {
	ID               FunctionID    `json:"ID"`
	Home             WorkerID      `json:"Home"`     // first ready worker of its walk; 0: none
	Queued           int           `json:"Waiting"`  // requests in its queue
	InFlight         int           `json:"InFlight"` // attempts without an outcome
	MeanRunTime      time.Duration `json:"Run"`      // 0: not known
	MeanInterarrival time.Duration `json:"Gap"`      // 0: not known
	Copies           int           `json:"Copies"`   // workers where one is believed to be loaded
	Desired          bool          `json:"Wanted"`   // copies are advised
}

// Functions returns the functions that the dispatcher remembers, by ID.
func (d *Dispatcher) Functions() (snapshots []FunctionSnapshot) {
	for _, function := range slices.Sorted(maps.Keys(d.queues.byFunction)) {
		queue := d.queues.byFunction[function]
		snapshot := FunctionSnapshot{
			ID:               queue.function,
			Queued:           len(queue.pending),
			InFlight:         queue.inFlight,
			MeanRunTime:      seconds(queue.meanRunTime),
			MeanInterarrival: seconds(queue.meanInterarrival),
			Desired:          queue.desiredUntil > d.now,
		}
		for i := 0; i < len(d.listed) && snapshot.Home == 0; i++ {
			if w := queue.worker(i); d.ready(w) {
				snapshot.Home = w.ID
			}
		}
		for worker, placed := range queue.placements {
			if worker.State != Removed && d.hasCopy(placed, worker) {
				snapshot.Copies++
			}
		}
		snapshots = append(snapshots, snapshot)
	}
	return snapshots
}
