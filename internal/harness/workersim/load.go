package workersim

import (
	"slices"
	"time"
)

// startLoad queues the load of one more copy, for slots to begin; false if there is no room for it.
func (f *Fleet) startLoad(w *worker, fn *Function, byOrder bool) bool {
	if len(w.loads) >= 3*w.LoadSlots {
		return false
	}
	need := w.usedMemoryMB + fn.MemoryMB - w.MemoryMB
	idle := w.evictable()
	n := 0
	for ; need > 0 && n < len(idle); n++ {
		need -= idle[n].fn.spec.MemoryMB
	}
	if need > 0 {
		return false
	}
	for _, e := range idle[:n] {
		w.drop(e.fn, e.c)
	}
	w.usedMemoryMB += fn.MemoryMB
	w.loads = append(w.loads, &load{function: fn, order: byOrder})
	return true
}

// slots gives free load slots to the loads that wait longest. One that nothing waits for any more is left out.
func (f *Fleet) slots(w *worker) {
	busy := 0
	for _, l := range w.loads {
		if l.slot {
			busy++
		}
	}
	for _, l := range slices.Clone(w.loads) {
		if l.slot || busy >= w.LoadSlots {
			continue
		}
		if fn := w.functions[l.function.Name]; !l.order && (fn == nil || len(fn.queue) == 0) {
			w.unload(l)
			continue
		}
		if f.storeRejects || f.cfg.Store.MaxFetches > 0 && f.fetches >= f.cfg.Store.MaxFetches {
			f.RejectedFetches++
			f.loadFailed(w, l)
			continue
		}
		busy++
		l.slot, l.fetching, l.remainingFetch = true, true, l.function.Fetch.Seconds()
		f.fetches++
		f.Fetches++
	}
}

func (w *worker) unload(l *load) {
	w.loads = slices.DeleteFunc(w.loads, func(o *load) bool { return o == l })
	w.usedMemoryMB -= l.function.MemoryMB
}

func (f *Fleet) loaded(w *worker, l *load) {
	w.loads = slices.DeleteFunc(w.loads, func(o *load) bool { return o == l })
	fn := w.function(l.function)
	fn.copies = append(fn.copies, &copyState{idle: f.now})
	f.tell(w)
	f.slots(w)
}

func (f *Fleet) loadFailed(w *worker, l *load) {
	w.unload(l)
	if fn := w.functions[l.function.Name]; fn != nil && len(fn.copies) == 0 &&
		!slices.ContainsFunc(w.loads, func(o *load) bool { return o.function.Name == l.function.Name }) {
		for _, h := range fn.queue {
			delete(w.calls, h.ID)
			w.waiting--
			f.out = append(f.out, Event{Kind: CallAnswered, At: f.now, Worker: w.index, ID: h.ID, Outcome: LoadFailed, SameFunction: h.sameFunction})
		}
		fn.queue = nil
	}
	w.orders = slices.DeleteFunc(w.orders, func(o *order) bool {
		if o.function.Name != l.function.Name {
			return false
		}
		f.stands(w, o.id, Error, f.Copies(w.index, o.function.Name))
		return true
	})
}

func (f *Fleet) stands(w *worker, id uint64, o Outcome, copies int) {
	f.out = append(f.out, Event{Kind: OrderEnded, At: f.now, Worker: w.index, ID: id, Outcome: o, Copies: copies})
}

// tell answers the orders whose copies stand.
func (f *Fleet) tell(w *worker) {
	w.orders = slices.DeleteFunc(w.orders, func(o *order) bool {
		n := f.Copies(w.index, o.function.Name)
		if n < o.copies {
			return false
		}
		f.stands(w, o.id, OK, n)
		return true
	})
}

// EnsureCopies orders copies of a function to stand; one Stands follows. Zero copies only ask.
func (f *Fleet) EnsureCopies(worker int, id uint64, fn *Function, copies int) {
	w := f.workers[worker]
	if !w.up {
		f.stands(w, id, Reset, 0)
		return
	}
	s := w.function(fn)
	have := f.Copies(worker, fn.Name)
	if copies == 0 || have >= copies {
		for _, c := range s.copies {
			if copies > 0 && c.busy == 0 {
				c.idle = f.now
			}
		}
		f.stands(w, id, OK, have)
		return
	}
	if w.draining {
		f.stands(w, id, AtCapacity, have)
		return
	}
	for _, l := range w.loads {
		if l.function.Name == fn.Name {
			have++
			l.order = true
		}
	}
	w.orders = append(w.orders, &order{id, fn, copies})
	for ; have < copies; have++ {
		if !f.startLoad(w, fn, true) {
			w.orders = slices.DeleteFunc(w.orders, func(o *order) bool { return o.id == id })
			f.stands(w, id, AtCapacity, f.Copies(worker, fn.Name))
			break
		}
	}
	f.slots(w)
}

// Unload drops the idle copies of a function.
func (f *Fleet) Unload(worker int, name string) {
	w := f.workers[worker]
	if fn := w.functions[name]; fn != nil {
		for _, c := range slices.Clone(fn.copies) {
			if c.busy == 0 {
				w.drop(fn, c)
			}
		}
	}
}

// Kill ends a worker's process: all that it held ends in Reset.
func (f *Fleet) Kill(worker int) {
	w := f.workers[worker]
	if !w.up {
		return
	}
	w.up = false
	for _, l := range w.loads {
		if l.slot && l.fetching {
			f.fetches--
		}
	}
	for _, id := range sortedIDs(w.calls) {
		f.out = append(f.out, Event{Kind: CallAnswered, At: f.now, Worker: worker, ID: id, Outcome: Reset})
	}
	for _, o := range w.orders {
		f.stands(w, o.id, Reset, 0)
	}
	w.reset(f.now)
}

func sortedIDs(m map[uint64]*call) []uint64 {
	l := make([]uint64, 0, len(m))
	for id := range m {
		l = append(l, id)
	}
	slices.Sort(l)
	return l
}

// Start brings a worker up cold and empty; one that fell over stays down and false is returned.
func (f *Fleet) Start(worker int) bool {
	w := f.workers[worker]
	if w.up || w.fallen {
		return false
	}
	w.reset(f.now)
	w.up, w.draining, w.started = true, false, max(f.now, 1)
	return true
}

// StartedAt returns when a worker started; 0 if it has run since the beginning.
func (f *Fleet) StartedAt(worker int) time.Duration { return f.workers[worker].started }

// Drain marks a worker: it takes no further orders to load, but still serves.
func (f *Fleet) Drain(worker int) { f.workers[worker].draining = true }

// SetSpeedFactor sets the factor on a worker's speed; 1 is full speed.
func (f *Fleet) SetSpeedFactor(worker int, factor float64) { f.workers[worker].speedFactor = factor }

// SetStolenFraction sets the fraction of a worker's cores that a neighbour takes, from 0 to below 1.
func (f *Fleet) SetStolenFraction(worker int, fraction float64) {
	f.workers[worker].stolenFraction = fraction
}

// SetStoreSpeedFactor sets the factor on the speed of the store; 1 is full speed.
func (f *Fleet) SetStoreSpeedFactor(factor float64) { f.storeSpeedFactor = factor }

// RejectFetches makes the store reject all fetches, or serve them again.
func (f *Fleet) RejectFetches(rejects bool) { f.storeRejects = rejects }

// Flush voids all copies: idle ones go at once, busy ones when they are done.
func (f *Fleet) Flush() {
	for _, w := range f.workers {
		for _, name := range w.names {
			fn := w.functions[name]
			for _, c := range slices.Clone(fn.copies) {
				if c.released = true; c.busy == 0 {
					w.drop(fn, c)
				}
			}
			if w.up && len(fn.queue) > 0 && !slices.ContainsFunc(w.loads, func(l *load) bool { return l.function.Name == name }) {
				f.startLoad(w, fn.spec, false)
				f.slots(w)
			}
		}
	}
}
