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
	Ejected          bool    `json:"Ejected"`  // off the ring for failures
	WarmingUp        bool    `json:"Cold"`     // started not long ago: held to its share
	HasCopy          bool    `json:"Warm"`     // a copy is believed to stand
	Rank             int     `json:"Rank"`     // as advised
	Tokens           float64 `json:"Tokens"`   // of the worker
	Busy             int     `json:"Busy"`     // of them, in use
	LatencyRatio     float64 `json:"Pace"`     // mean of its run times over its classes' means; 0: not known
	Loads            int     `json:"Loads"`    // attempts there that may wait for a load
	AdmittedFraction float64 `json:"Pass"`     // share of requests let pass
	Queued           int     `json:"Waiting"`  // requests of the function in its queue
	InFlight         int     `json:"InFlight"` // and out
}

// Snapshot returns how a worker and a function look now.
func (d *Dispatcher) Snapshot(fn FunctionID, id WorkerID) Snapshot {
	l := Snapshot{RingPosition: -1, RingSize: len(d.order), AdmittedFraction: d.admission.fraction}
	w, q := d.workers[id], d.queues.byFunction[fn]
	if q != nil {
		l.Queued, l.InFlight = len(q.pending), q.inFlight
		for i := range d.order {
			if q.worker(i).ID == id {
				l.RingPosition = i
				break
			}
		}
	}
	if w == nil {
		return l
	}
	l.Ready, l.Ejected, l.Rank = d.ready(w), w.ejected, w.rank
	l.WarmingUp = w.warmingSince > 0 && d.now < w.warmingSince+d.settings.Guarantees.WarmupTime
	l.Tokens, l.Busy, l.Loads, l.LatencyRatio = w.limit.tokens, w.limit.inUse, w.awaitingLoad, w.limit.latencyRatio
	if q != nil {
		l.HasCopy = d.hasCopy(q.placements[w], w)
	}
	return l
}

// WorkerSnapshot is a worker as the dispatcher sees it.
type WorkerSnapshot struct {
	ID              WorkerID      `json:"ID"`
	State           WorkerState   `json:"State"`
	Snapshot        Snapshot      `json:"Look"`
	SinceLastAnswer time.Duration `json:"Heard"`  // since its last answer; -1: none yet
	Copies          int           `json:"Copies"` // functions believed to stand there
}

// Workers returns all workers, by id.
func (d *Dispatcher) Workers() (l []WorkerSnapshot) {
	for _, w := range d.order {
		x := WorkerSnapshot{ID: w.ID, State: w.State, Snapshot: d.Snapshot(0, w.ID), SinceLastAnswer: -1}
		if w.lastHeardAt > 0 {
			x.SinceLastAnswer = d.now - w.lastHeardAt
		}
		for _, placed := range w.placements {
			if d.hasCopy(placed, w) {
				x.Copies++
			}
		}
		l = append(l, x)
	}
	return l
}

// FunctionSnapshot is a function as the dispatcher sees it.
type FunctionSnapshot struct {
	ID               FunctionID    `json:"ID"`
	Home             WorkerID      `json:"Home"` // 0: none is ready
	Queued           int           `json:"Waiting"`
	InFlight         int           `json:"InFlight"`
	MeanRunTime      time.Duration `json:"Run"`    // mean; 0: not known
	MeanInterarrival time.Duration `json:"Gap"`    // mean time between arrivals; 0: not known
	Copies           int           `json:"Copies"` // workers where one is believed to stand
	Desired          bool          `json:"Wanted"` // advised
}

// Functions returns the functions that are remembered, by id.
func (d *Dispatcher) Functions() (l []FunctionSnapshot) {
	for _, fn := range slices.Sorted(maps.Keys(d.queues.byFunction)) {
		q := d.queues.byFunction[fn]
		x := FunctionSnapshot{ID: q.function, Queued: len(q.pending), InFlight: q.inFlight, MeanRunTime: seconds(q.meanRunTime), MeanInterarrival: seconds(q.meanInterarrival), Desired: q.desiredUntil > d.now}
		for i := 0; i < len(d.order) && x.Home == 0; i++ {
			if w := q.worker(i); d.ready(w) {
				x.Home = w.ID
			}
		}
		for w, placed := range q.placements {
			if w.State != Gone && d.hasCopy(placed, w) {
				x.Copies++
			}
		}
		l = append(l, x)
	}
	return l
}
