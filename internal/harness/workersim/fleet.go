// Package workersim models workers that load functions on demand and the store that all of them fetch from, as a pure
// state machine in virtual time. It tells the truth about what ran; sockets are put around it by package fakeworker.
//
// A worker has cores shared evenly by what runs, memory for copies of functions, lanes in each copy, a bounded
// queue, a few load slots, and a cold spell after its start during which its capacity rises evenly. Sent more
// than CollapseFactor times what it can do then, for CollapseWindow, it falls over and stays down.
package workersim

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A Fleet is the model. It is not safe for concurrent use.
type Fleet struct {
	cfg              Config
	now              time.Duration
	workers          []*worker
	out              []Event
	completedKeys    map[string]map[string]ran // by group, by key
	storeSpeedFactor float64                   // factor on the store
	storeRejects     bool                      // the store turns all away
	fetches          int
	// Fetches, Refusals and Faults count what the store did.
	Fetches, RejectedFetches int
}

// New returns a fleet in which all workers are up and warm, at the time given.
func New(cfg Config, now time.Duration) *Fleet {
	f := &Fleet{cfg: cfg, now: now, completedKeys: map[string]map[string]ran{}, storeSpeedFactor: 1}
	for i, s := range cfg.Workers {
		w := &worker{Spec: s, index: i}
		w.reset(now)
		w.up = true
		f.workers = append(f.workers, w)
	}
	return f
}

func (w *worker) reset(now time.Duration) {
	w.speedFactor, w.stolenFraction, w.at, w.usedMemoryMB, w.waiting = 1, 0, now, 0, 0
	w.functions, w.calls, w.names = map[string]*function{}, map[uint64]*call{}, nil
	w.running, w.loads, w.orders, w.sent = nil, nil, nil, nil
}

// warmupFraction is the part of its capacity that a worker has.
func (f *Fleet) warmupFraction(w *worker, now time.Duration) float64 {
	c := f.cfg.SlowStart
	if w.started == 0 || now >= w.started+c.WarmupTime || c.WarmupTime == 0 {
		return 1
	}
	return c.WarmupFraction + (1-c.WarmupFraction)*float64(max(0, now-w.started))/float64(c.WarmupTime)
}

// capacity is what a worker can do now, in seconds of work a second.
func (f *Fleet) capacity(w *worker, now time.Duration) float64 {
	return w.Cores * w.Speed * w.speedFactor * (1 - w.stolenFraction) * f.warmupFraction(w, now)
}

// runRate is how fast each running call goes on.
func (f *Fleet) runRate(w *worker, now time.Duration) float64 {
	n := float64(max(1, len(w.running)))
	return f.capacity(w, now) / w.Cores * min(1, w.Cores/n)
}

// fetchRate is how fast each fetch goes on.
func (f *Fleet) fetchRate() float64 {
	return f.storeSpeedFactor * min(1, f.cfg.Store.FullRateFetches/float64(max(1, f.fetches)))
}

const rampStep = 20 * time.Millisecond // a rising capacity is taken as even for so long

// Next returns when something will happen by itself next; false if nothing will.
func (f *Fleet) Next() (time.Duration, bool) {
	next := time.Duration(math.MaxInt64)
	after := func(left, pace float64) {
		if pace > 0 {
			next = min(next, f.now+max(time.Duration(left/pace*1e9), time.Microsecond))
		}
	}
	fp := f.fetchRate()
	for _, w := range f.workers {
		if !w.up {
			continue
		}
		p := f.runRate(w, f.now)
		for _, c := range w.running {
			after(c.remainingWork, p)
		}
		if len(w.running) > 0 && f.warmupFraction(w, f.now) < 1 {
			next = min(next, f.now+rampStep)
		}
		for _, l := range w.loads {
			switch {
			case !l.slot:
			case l.fetching:
				after(l.remainingFetch, fp)
			default:
				next = min(next, max(l.ready, f.now+time.Microsecond))
			}
		}
		for _, name := range w.names {
			for _, c := range w.functions[name].copies {
				if c.busy == 0 {
					next = min(next, max(c.idle+w.IdleCopyTTL, f.now+time.Microsecond))
				}
			}
		}
	}
	return next, next != math.MaxInt64
}

// Advance moves the model to now and returns what has happened since the last call.
func (f *Fleet) Advance(now time.Duration) []Event {
	for {
		next, ok := f.Next()
		if !ok || next > now {
			break
		}
		f.settle(next)
	}
	f.settle(max(now, f.now))
	out := f.out
	f.out = nil
	return out
}

// settle carries all that is under way on to a time before which no rate changes.
func (f *Fleet) settle(to time.Duration) {
	dt, fp := (to - f.now).Seconds(), f.fetchRate()
	for _, w := range f.workers {
		if !w.up {
			continue
		}
		p := f.runRate(w, f.now)
		for _, c := range w.running {
			c.remainingWork -= dt * p
		}
		for _, l := range w.loads {
			if l.slot && l.fetching {
				l.remainingFetch -= dt * fp
			}
		}
	}
	f.now = to
	for _, w := range f.workers {
		if w.up {
			f.finish(w)
		}
	}
}

const almost = 1e-9

// finish ends what is done at a worker, and starts what can start.
func (f *Fleet) finish(w *worker) {
	for _, c := range slices.Clone(w.running) {
		if c.remainingWork <= almost {
			o := OK
			if c.Fails {
				o = Error
			}
			f.end(w, c, o)
		}
	}
	for _, l := range slices.Clone(w.loads) {
		switch {
		case !l.slot:
		case l.fetching && l.remainingFetch <= almost:
			l.fetching, l.ready = false, f.now+l.function.Start
			f.fetches--
		case !l.fetching && f.now >= l.ready:
			f.loaded(w, l)
		}
	}
	for _, name := range slices.Clone(w.names) {
		fn := w.functions[name]
		for _, c := range slices.Clone(fn.copies) {
			if c.busy == 0 && (c.released || f.now >= c.idle+w.IdleCopyTTL) {
				w.drop(fn, c)
			}
		}
	}
	f.begin(w)
}

func (w *worker) function(fn *Function) *function {
	s := w.functions[fn.Name]
	if s == nil {
		s = &function{spec: fn}
		w.functions[fn.Name] = s
		i, _ := slices.BinarySearch(w.names, fn.Name)
		w.names = slices.Insert(w.names, i, fn.Name)
	}
	return s
}

func (w *worker) drop(fn *function, c *copyState) {
	fn.copies = slices.DeleteFunc(fn.copies, func(o *copyState) bool { return o == c })
	w.usedMemoryMB -= fn.spec.MemoryMB
}

// Report is what a worker would tell of its load.
type Report struct {
	InFlight, Queue int
	Utilization     float64
	Memory          float64 // share that cannot be freed
	Loads           int
}

// Report returns a worker's load as it is.
func (f *Fleet) Report(worker int) Report {
	w := f.workers[worker]
	var pinned float64
	for _, name := range w.names {
		for _, c := range w.functions[name].copies {
			if c.busy > 0 {
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

// Up tells whether a worker's process runs.
func (f *Fleet) Up(worker int) bool { return f.workers[worker].up }

// Copies returns how many copies of a function stand at a worker.
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
	for _, name := range w.names {
		for _, c := range w.functions[name].copies {
			if c.busy == 0 && !c.released {
				mb += w.functions[name].spec.MemoryMB
			}
		}
	}
	return mb
}

// evictable returns the idle copies of a worker, the longest idle first.
func (w *worker) evictable() (l []struct {
	fn *function
	c  *copyState
}) {
	for _, name := range w.names {
		for _, c := range w.functions[name].copies {
			if c.busy == 0 {
				l = append(l, struct {
					fn *function
					c  *copyState
				}{w.functions[name], c})
			}
		}
	}
	slices.SortStableFunc(l, func(a, b struct {
		fn *function
		c  *copyState
	}) int {
		return cmp.Compare(a.c.idle, b.c.idle)
	})
	return l
}
