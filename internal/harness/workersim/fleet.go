// Package workersim models workers that load functions on demand, and the store from which they
// fetch them, as a pure state machine in virtual time. Its events tell what really ran. Package
// fakeworker serves the model over sockets.
//
// A worker has cores that running calls share evenly, memory for copies of functions, lanes in each
// copy, a bounded queue and a few load slots. After its start it warms up: its capacity rises
// linearly. If it is sent more than CollapseFactor times the work that it can do then within
// CollapseWindow, it collapses and stays down.
package workersim

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A Fleet models workers and their store. It is not safe for concurrent use.
type Fleet struct {
	cfg              Config
	now              time.Duration
	workers          []*worker
	events           []Event
	completedKeys    map[string]map[string]completedKey // by group and key
	storeSpeedFactor float64                            // factor on the rate of fetches
	storeRejects     bool                               // the store rejects all fetches
	fetches          int                                // in flight
	// Fetches and RejectedFetches count the fetches that the store served and rejected.
	Fetches, RejectedFetches int
}

// New returns a fleet whose workers are all up and warm at the given time.
func New(cfg Config, now time.Duration) *Fleet {
	f := &Fleet{cfg: cfg, now: now, completedKeys: map[string]map[string]completedKey{}, storeSpeedFactor: 1}
	for i, spec := range cfg.Workers {
		w := &worker{Spec: spec, index: i}
		w.reset(now)
		w.up = true
		f.workers = append(f.workers, w)
	}
	return f
}

// reset empties a worker: it has no copies, calls, loads or orders.
func (w *worker) reset(now time.Duration) {
	w.speedFactor, w.stolenFraction, w.updatedAt, w.usedMemoryMB, w.waiting = 1, 0, now, 0, 0
	w.functions, w.calls, w.functionNames = map[string]*function{}, map[uint64]*call{}, nil
	w.running, w.loads, w.orders, w.recentWork = nil, nil, nil, nil
}

// warmupFraction returns the fraction of its capacity that a worker has, below 1 while it warms up.
func (f *Fleet) warmupFraction(w *worker, now time.Duration) float64 {
	c := f.cfg.SlowStart
	if w.started == 0 || now >= w.started+c.WarmupTime || c.WarmupTime == 0 {
		return 1
	}
	return c.WarmupFraction + (1-c.WarmupFraction)*float64(max(0, now-w.started))/float64(c.WarmupTime)
}

// capacity returns how much a worker can do now, in seconds of work per second.
func (f *Fleet) capacity(w *worker, now time.Duration) float64 {
	return w.Cores * w.Speed * w.speedFactor * (1 - w.stolenFraction) * f.warmupFraction(w, now)
}

// runRate returns the rate at which each running call progresses, in seconds of work per second.
func (f *Fleet) runRate(w *worker, now time.Duration) float64 {
	n := float64(max(1, len(w.running)))
	return f.capacity(w, now) / w.Cores * min(1, w.Cores/n)
}

// fetchRate returns the rate at which each fetch progresses; 1 is the full rate.
func (f *Fleet) fetchRate() float64 {
	return f.storeSpeedFactor * min(1, f.cfg.Store.FullRateFetches/float64(max(1, f.fetches)))
}

// warmupStep is the interval in which a rising capacity is treated as constant.
const warmupStep = 20 * time.Millisecond

// Next returns the time of the next change that happens without input, and false if there is none.
func (f *Fleet) Next() (time.Duration, bool) {
	next := time.Duration(math.MaxInt64)
	after := func(remaining, rate float64) {
		if rate > 0 {
			next = min(next, f.now+max(time.Duration(remaining/rate*1e9), time.Microsecond))
		}
	}
	fetchRate := f.fetchRate()
	for _, w := range f.workers {
		if !w.up {
			continue
		}
		runRate := f.runRate(w, f.now)
		for _, c := range w.running {
			after(c.remainingWork, runRate)
		}
		if len(w.running) > 0 && f.warmupFraction(w, f.now) < 1 {
			next = min(next, f.now+warmupStep)
		}
		for _, l := range w.loads {
			switch {
			case !l.hasSlot:
			case l.fetching:
				after(l.remainingFetch, fetchRate)
			default:
				next = min(next, max(l.readyAt, f.now+time.Microsecond))
			}
		}
		for _, name := range w.functionNames {
			for _, c := range w.functions[name].copies {
				if c.busyLanes == 0 {
					next = min(next, max(c.idleSince+w.IdleCopyTTL, f.now+time.Microsecond))
				}
			}
		}
	}
	return next, next != math.MaxInt64
}

// Advance advances the model to now and returns the events since the last call.
func (f *Fleet) Advance(now time.Duration) []Event {
	for {
		next, ok := f.Next()
		if !ok || next > now {
			break
		}
		f.advanceTo(next)
	}
	f.advanceTo(max(now, f.now))
	events := f.events
	f.events = nil
	return events
}

// advanceTo advances all runs, fetches and starts to a time before which no rate changes.
func (f *Fleet) advanceTo(to time.Duration) {
	dt, fetchRate := (to - f.now).Seconds(), f.fetchRate()
	for _, w := range f.workers {
		if !w.up {
			continue
		}
		runRate := f.runRate(w, f.now)
		for _, c := range w.running {
			c.remainingWork -= dt * runRate
		}
		for _, l := range w.loads {
			if l.hasSlot && l.fetching {
				l.remainingFetch -= dt * fetchRate
			}
		}
	}
	f.now = to
	for _, w := range f.workers {
		if w.up {
			f.completeDue(w)
		}
	}
}

// workEpsilon is the remaining work, in seconds, below which a run or a fetch has ended.
const workEpsilon = 1e-9

// completeDue ends the runs, loads and idle copies of a worker that are due, and starts the calls
// that can start.
func (f *Fleet) completeDue(w *worker) {
	for _, c := range slices.Clone(w.running) {
		if c.remainingWork <= workEpsilon {
			outcome := OK
			if c.Fails {
				outcome = Error
			}
			f.finishCallWith(w, c, outcome)
		}
	}
	for _, l := range slices.Clone(w.loads) {
		switch {
		case !l.hasSlot:
		case l.fetching && l.remainingFetch <= workEpsilon:
			l.fetching, l.readyAt = false, f.now+l.function.Start
			f.fetches--
		case !l.fetching && f.now >= l.readyAt:
			f.loaded(w, l)
		}
	}
	for _, name := range slices.Clone(w.functionNames) {
		fn := w.functions[name]
		for _, c := range slices.Clone(fn.copies) {
			if c.busyLanes == 0 && (c.released || f.now >= c.idleSince+w.IdleCopyTTL) {
				w.removeCopy(fn, c)
			}
		}
	}
	f.startRuns(w)
}

// function returns the state of a function at a worker and creates it if there is none yet.
func (w *worker) function(fn *Function) *function {
	s := w.functions[fn.Name]
	if s == nil {
		s = &function{spec: fn}
		w.functions[fn.Name] = s
		i, _ := slices.BinarySearch(w.functionNames, fn.Name)
		w.functionNames = slices.Insert(w.functionNames, i, fn.Name)
	}
	return s
}

func (w *worker) removeCopy(fn *function, c *loadedCopy) {
	fn.copies = slices.DeleteFunc(fn.copies, func(o *loadedCopy) bool { return o == c })
	w.usedMemoryMB -= fn.spec.MemoryMB
}

// Report is a worker's load report.
type Report struct {
	InFlight, Queue int
	Utilization     float64
	Memory          float64 // fraction of the memory that cannot be freed
	Loads           int
}

// Report returns the current load of a worker.
func (f *Fleet) Report(worker int) Report {
	w := f.workers[worker]
	var pinned float64
	for _, name := range w.functionNames {
		for _, c := range w.functions[name].copies {
			if c.busyLanes > 0 {
				pinned += w.functions[name].spec.MemoryMB
			}
		}
	}
	for _, l := range w.loads {
		pinned += l.function.MemoryMB
	}
	return Report{InFlight: len(w.calls), Queue: w.waiting, Utilization: min(1, float64(len(w.running))/w.Cores),
		Memory: pinned / w.MemoryMB, Loads: len(w.loads)}
}

// Up reports whether a worker's process runs.
func (f *Fleet) Up(worker int) bool { return f.workers[worker].up }

// Copies returns the number of copies of a function that a worker has loaded and not released.
func (f *Fleet) Copies(worker int, name string) int {
	n := 0
	if fn := f.workers[worker].functions[name]; fn != nil {
		for _, c := range fn.copies {
			if !c.released {
				n++
			}
		}
	}
	return n
}

// IdleMemoryMB returns the memory of a worker's idle copies, in MB.
func (f *Fleet) IdleMemoryMB(worker int) (mb float64) {
	w := f.workers[worker]
	for _, name := range w.functionNames {
		for _, c := range w.functions[name].copies {
			if c.busyLanes == 0 && !c.released {
				mb += w.functions[name].spec.MemoryMB
			}
		}
	}
	return mb
}

// evictable returns the idle copies of a worker, the one that was idle longest first.
func (w *worker) evictable() (l []struct {
	fn *function
	c  *loadedCopy
}) {
	for _, name := range w.functionNames {
		for _, c := range w.functions[name].copies {
			if c.busyLanes == 0 {
				l = append(l, struct {
					fn *function
					c  *loadedCopy
				}{w.functions[name], c})
			}
		}
	}
	slices.SortStableFunc(l, func(a, b struct {
		fn *function
		c  *loadedCopy
	}) int {
		return cmp.Compare(a.c.idleSince, b.c.idleSince)
	})
	return l
}
