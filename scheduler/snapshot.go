package scheduler

import (
	"maps"
	"slices"
	"time"
)

// Snapshot is how a worker and a function look to the dispatcher, for people to read. Nothing is decided by
// it.
type Snapshot struct {
	RingPosition     int     `json:"Place"`    // of the worker in the function's walk: 0 is its home; -1: not on the ring
	RingSize         int     `json:"Ring"`     // workers on the ring
	Ready            bool    `json:"Ready"`    // may be sent something new
	Ejected          bool    `json:"Ejected"`  // for failures
	WarmingUp        bool    `json:"Cold"`     // started not long ago: in slow start
	HasCopy          bool    `json:"Warm"`     // a copy is believed to be loaded
	Rank             int     `json:"Rank"`     // as advised
	Tokens           float64 `json:"Tokens"`   // concurrency limit at the worker
	Busy             int     `json:"Busy"`     // tokens in use
	LatencyRatio     float64 `json:"Pace"`     // mean of its run times over its classes' means; 0: not known
	Loads            int     `json:"Loads"`    // attempts there that may wait for a load
	AdmittedFraction float64 `json:"Pass"`     // of new requests
	Queued           int     `json:"Waiting"`  // requests of the function in its queue
	InFlight         int     `json:"InFlight"` // attempts of the function without an outcome
}

// Snapshot returns how a worker and a function look now. Either may be unknown.
func (d *Dispatcher) Snapshot(function FunctionID, id WorkerID) Snapshot {
	snapshot := Snapshot{RingPosition: -1, RingSize: len(d.order), AdmittedFraction: d.admission.fraction}
	w, q := d.workers[id], d.queues.byFunction[function]
	if q != nil {
		snapshot.Queued = len(q.pending)
		snapshot.InFlight = q.inFlight
		snapshot.RingPosition = d.ringPosition(q, id)
	}
	if w == nil {
		return snapshot
	}
	snapshot.Ready = d.ready(w)
	snapshot.Ejected = w.ejected
	snapshot.Rank = w.rank
	snapshot.WarmingUp = w.warmingSince > 0 && d.now < w.warmingSince+d.settings.Guarantees.WarmupTime
	snapshot.Tokens = w.limit.tokens
	snapshot.Busy = w.limit.inUse
	snapshot.Loads = w.awaitingLoad
	snapshot.LatencyRatio = w.limit.latencyRatio
	if q != nil {
		snapshot.HasCopy = d.hasCopy(q.placements[w], w)
	}
	return snapshot
}

// ringPosition is the place of a worker in a function's walk, or -1.
func (d *Dispatcher) ringPosition(q *queue, id WorkerID) int {
	for i := range d.order {
		if q.worker(i).ID == id {
			return i
		}
	}
	return -1
}

// WorkerSnapshot is a worker as the dispatcher sees it.
type WorkerSnapshot struct {
	ID              WorkerID      `json:"ID"`
	State           WorkerState   `json:"State"`
	Snapshot        Snapshot      `json:"Look"`   // of no function
	SinceLastAnswer time.Duration `json:"Heard"`  // -1: none yet
	Copies          int           `json:"Copies"` // functions believed to be loaded there
}

// Workers returns all workers that are listed, by id.
func (d *Dispatcher) Workers() (snapshots []WorkerSnapshot) {
	for _, w := range d.order {
		snapshot := WorkerSnapshot{ID: w.ID, State: w.State, Snapshot: d.Snapshot(0, w.ID), SinceLastAnswer: -1}
		if w.lastHeardAt > 0 {
			snapshot.SinceLastAnswer = d.now - w.lastHeardAt
		}
		for _, placed := range w.placements {
			if d.hasCopy(placed, w) {
				snapshot.Copies++
			}
		}
		snapshots = append(snapshots, snapshot)
	}
	return snapshots
}

// FunctionSnapshot is a function as the dispatcher sees it.
type FunctionSnapshot struct {
	ID               FunctionID    `json:"ID"`
	Home             WorkerID      `json:"Home"`     // the first of its walk that is ready; 0: none is
	Queued           int           `json:"Waiting"`  // requests in its queue
	InFlight         int           `json:"InFlight"` // attempts without an outcome
	MeanRunTime      time.Duration `json:"Run"`      // 0: not known
	MeanInterarrival time.Duration `json:"Gap"`      // 0: not known
	Copies           int           `json:"Copies"`   // workers where one is believed to be loaded
	Desired          bool          `json:"Wanted"`   // advice wants copies
}

// Functions returns the functions that are remembered, by id.
func (d *Dispatcher) Functions() (snapshots []FunctionSnapshot) {
	for _, function := range slices.Sorted(maps.Keys(d.queues.byFunction)) {
		q := d.queues.byFunction[function]
		snapshot := FunctionSnapshot{
			ID:               q.function,
			Queued:           len(q.pending),
			InFlight:         q.inFlight,
			MeanRunTime:      seconds(q.meanRunTime),
			MeanInterarrival: seconds(q.meanInterarrival),
			Desired:          q.desiredUntil > d.now,
		}
		for i := 0; i < len(d.order) && snapshot.Home == 0; i++ {
			if w := q.worker(i); d.ready(w) {
				snapshot.Home = w.ID
			}
		}
		for w, placed := range q.placements {
			if w.State != Gone && d.hasCopy(placed, w) {
				snapshot.Copies++
			}
		}
		snapshots = append(snapshots, snapshot)
	}
	return snapshots
}
