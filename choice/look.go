package choice

import (
	"maps"
	"slices"
	"time"
)

// Look is how a worker and a function look to the dispatcher, for people to read. Nothing is decided by it.
type Look struct {
	Place    int     `json:"Place"`    // of the worker in the function's walk: 0 is its home; -1: not on the ring
	Ring     int     `json:"Ring"`     // workers on the ring
	Ready    bool    `json:"Ready"`    // may be sent something new
	Ejected  bool    `json:"Ejected"`  // off the ring for failures
	Cold     bool    `json:"Cold"`     // started not long ago: held to its share
	Warm     bool    `json:"Warm"`     // a copy is believed to stand
	Rank     int     `json:"Rank"`     // as advised
	Tokens   float64 `json:"Tokens"`   // of the worker
	Busy     int     `json:"Busy"`     // of them, in use
	Pace     float64 `json:"Pace"`     // mean of its run times over its classes' means; 0: not known
	Loads    int     `json:"Loads"`    // attempts there that may wait for a load
	Pass     float64 `json:"Pass"`     // share of requests let pass
	Waiting  int     `json:"Waiting"`  // requests of the function in its queue
	InFlight int     `json:"InFlight"` // and out
}

// Look returns how a worker and a function look now.
func (d *Dispatcher) Look(fn FunctionID, id WorkerID) Look {
	l := Look{Place: -1, Ring: len(d.order), Pass: d.pass}
	w, q := d.workers[id], d.queues[fn]
	if q != nil {
		l.Waiting, l.InFlight = len(q.pending), q.inFlight
		for i := range d.order {
			if q.worker(i).ID == id {
				l.Place = i
				break
			}
		}
	}
	if w == nil {
		return l
	}
	l.Ready, l.Ejected, l.Rank = d.ready(w), w.ejected, w.rank
	l.Cold = w.coldFrom > 0 && d.now < w.coldFrom+d.s.Guarantees.ColdFor
	l.Tokens, l.Busy, l.Loads, l.Pace = w.tokens, w.busy, w.loads, w.pace
	if q != nil {
		l.Warm = d.warm(q.placements[w], w)
	}
	return l
}

// WorkerLook is a worker as the dispatcher sees it.
type WorkerLook struct {
	ID     WorkerID      `json:"ID"`
	State  WorkerState   `json:"State"`
	Look   Look          `json:"Look"`
	Heard  time.Duration `json:"Heard"`  // since its last answer; -1: none yet
	Copies int           `json:"Copies"` // functions believed to stand there
}

// Workers returns all workers, by id.
func (d *Dispatcher) Workers() (l []WorkerLook) {
	for _, w := range d.order {
		x := WorkerLook{ID: w.ID, State: w.State, Look: d.Look(0, w.ID), Heard: -1}
		if w.heard > 0 {
			x.Heard = d.now - w.heard
		}
		for _, placed := range w.placements {
			if d.warm(placed, w) {
				x.Copies++
			}
		}
		l = append(l, x)
	}
	return l
}

// FunctionLook is a function as the dispatcher sees it.
type FunctionLook struct {
	ID       FunctionID    `json:"ID"`
	Home     WorkerID      `json:"Home"` // 0: none is ready
	Waiting  int           `json:"Waiting"`
	InFlight int           `json:"InFlight"`
	Run      time.Duration `json:"Run"`    // mean; 0: not known
	Gap      time.Duration `json:"Gap"`    // mean time between arrivals; 0: not known
	Copies   int           `json:"Copies"` // workers where one is believed to stand
	Wanted   bool          `json:"Wanted"` // advised
}

// Functions returns the functions that are remembered, by id.
func (d *Dispatcher) Functions() (l []FunctionLook) {
	for _, fn := range slices.Sorted(maps.Keys(d.queues)) {
		q := d.queues[fn]
		x := FunctionLook{ID: q.fn, Waiting: len(q.pending), InFlight: q.inFlight, Run: seconds(q.run), Gap: seconds(q.gap), Wanted: q.wanted > d.now}
		for i := 0; i < len(d.order) && x.Home == 0; i++ {
			if w := q.worker(i); d.ready(w) {
				x.Home = w.ID
			}
		}
		for w, placed := range q.placements {
			if w.State != Gone && d.warm(placed, w) {
				x.Copies++
			}
		}
		l = append(l, x)
	}
	return l
}
