package workersim

import (
	"slices"
	"time"
)

// startLoad queues the load of one more copy, which assignLoadSlots starts. It evicts idle copies
// to make room, and returns false if there is no room or too many loads wait.
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
		w.removeCopy(e.fn, e.c)
	}
	w.usedMemoryMB += fn.MemoryMB
	w.loads = append(w.loads, &load{function: fn, byOrder: byOrder})
	return true
}

// assignLoadSlots assigns free load slots to the loads that wait longest. It removes a load that no
// order or call waits for any more.
func (f *Fleet) assignLoadSlots(w *worker) {
	busy := 0
	for _, l := range w.loads {
		if l.hasSlot {
			busy++
		}
	}
	for _, l := range slices.Clone(w.loads) {
		if l.hasSlot || busy >= w.LoadSlots {
			continue
		}
		if fn := w.functions[l.function.Name]; !l.byOrder && (fn == nil || len(fn.queue) == 0) {
			w.removeLoad(l)
			continue
		}
		if f.storeRejects || f.cfg.Store.MaxFetches > 0 && f.fetches >= f.cfg.Store.MaxFetches {
			f.RejectedFetches++
			f.loadFailed(w, l)
			continue
		}
		busy++
		l.hasSlot, l.fetching, l.remainingFetch = true, true, l.function.Fetch.Seconds()
		f.fetches++
		f.Fetches++
	}
}

func (w *worker) removeLoad(l *load) {
	w.loads = slices.DeleteFunc(w.loads, func(o *load) bool { return o == l })
	w.usedMemoryMB -= l.function.MemoryMB
}

// loaded ends a load whose copy has started.
func (f *Fleet) loaded(w *worker, l *load) {
	w.loads = slices.DeleteFunc(w.loads, func(o *load) bool { return o == l })
	fn := w.function(l.function)
	fn.copies = append(fn.copies, &loadedCopy{idleSince: f.now})
	f.finishOrders(w)
	f.assignLoadSlots(w)
}

// loadFailed ends a load whose fetch was rejected, the orders for its function, and the calls that
// waited for it if no other copy or load of the function remains.
func (f *Fleet) loadFailed(w *worker, l *load) {
	w.removeLoad(l)
	if fn := w.functions[l.function.Name]; fn != nil && len(fn.copies) == 0 &&
		!slices.ContainsFunc(w.loads, func(o *load) bool { return o.function.Name == l.function.Name }) {
		for _, attempt := range fn.queue {
			delete(w.calls, attempt.ID)
			w.waiting--
			f.events = append(f.events, Event{Kind: CallAnswered, At: f.now, Worker: w.index, ID: attempt.ID, Outcome: LoadFailed, SameFunction: attempt.sameFunction})
		}
		fn.queue = nil
	}
	w.orders = slices.DeleteFunc(w.orders, func(o *order) bool {
		if o.function.Name != l.function.Name {
			return false
		}
		f.endOrder(w, o.id, Error, f.Copies(w.index, o.function.Name))
		return true
	})
}

// endOrder reports the end of a load order.
func (f *Fleet) endOrder(w *worker, id uint64, o Outcome, copies int) {
	f.events = append(f.events, Event{Kind: OrderEnded, At: f.now, Worker: w.index, ID: id, Outcome: o, Copies: copies})
}

// finishOrders ends the load orders whose copies are all loaded.
func (f *Fleet) finishOrders(w *worker) {
	w.orders = slices.DeleteFunc(w.orders, func(o *order) bool {
		n := f.Copies(w.index, o.function.Name)
		if n < o.copies {
			return false
		}
		f.endOrder(w, o.id, OK, n)
		return true
	})
}

// EnsureCopies orders a worker to load copies of a function until it has the given number; one
// OrderEnded event follows. Zero copies only ask for the number.
func (f *Fleet) EnsureCopies(worker int, id uint64, fn *Function, copies int) {
	w := f.workers[worker]
	if !w.up {
		f.endOrder(w, id, Reset, 0)
		return
	}
	state := w.function(fn)
	have := f.Copies(worker, fn.Name)
	if copies == 0 || have >= copies {
		for _, c := range state.copies {
			if copies > 0 && c.busyLanes == 0 {
				c.idleSince = f.now
			}
		}
		f.endOrder(w, id, OK, have)
		return
	}
	if w.draining {
		f.endOrder(w, id, AtCapacity, have)
		return
	}
	for _, l := range w.loads {
		if l.function.Name == fn.Name {
			have++
			l.byOrder = true
		}
	}
	w.orders = append(w.orders, &order{id, fn, copies})
	for ; have < copies; have++ {
		if !f.startLoad(w, fn, true) {
			w.orders = slices.DeleteFunc(w.orders, func(o *order) bool { return o.id == id })
			f.endOrder(w, id, AtCapacity, f.Copies(worker, fn.Name))
			break
		}
	}
	f.assignLoadSlots(w)
}

// Unload drops the idle copies of a function.
func (f *Fleet) Unload(worker int, name string) {
	w := f.workers[worker]
	if fn := w.functions[name]; fn != nil {
		for _, c := range slices.Clone(fn.copies) {
			if c.busyLanes == 0 {
				w.removeCopy(fn, c)
			}
		}
	}
}

// Kill ends a worker's process. All of its calls and load orders end in Reset.
func (f *Fleet) Kill(worker int) {
	w := f.workers[worker]
	if !w.up {
		return
	}
	w.up = false
	for _, l := range w.loads {
		if l.hasSlot && l.fetching {
			f.fetches--
		}
	}
	for _, id := range sortedIDs(w.calls) {
		f.events = append(f.events, Event{Kind: CallAnswered, At: f.now, Worker: worker, ID: id, Outcome: Reset})
	}
	for _, o := range w.orders {
		f.endOrder(w, o.id, Reset, 0)
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

// Start starts a worker, warming up and without copies. It returns false for a worker that runs or
// that collapsed.
func (f *Fleet) Start(worker int) bool {
	w := f.workers[worker]
	if w.up || w.collapsed {
		return false
	}
	w.reset(f.now)
	w.up, w.draining, w.started = true, false, max(f.now, 1)
	return true
}

// StartedAt returns when a worker was started; 0 if it has run since the beginning.
func (f *Fleet) StartedAt(worker int) time.Duration { return f.workers[worker].started }

// Drain makes a worker reject load orders for further copies. It still serves calls.
func (f *Fleet) Drain(worker int) { f.workers[worker].draining = true }

// SetSpeedFactor sets the factor on a worker's speed; 1 is full speed.
func (f *Fleet) SetSpeedFactor(worker int, factor float64) { f.workers[worker].speedFactor = factor }

// SetStolenFraction sets the fraction of a worker's cores that another workload on its machine
// uses, from 0 to below 1.
func (f *Fleet) SetStolenFraction(worker int, fraction float64) {
	f.workers[worker].stolenFraction = fraction
}

// SetStoreSpeedFactor sets the factor on the speed of the store; 1 is full speed.
func (f *Fleet) SetStoreSpeedFactor(factor float64) { f.storeSpeedFactor = factor }

// RejectFetches makes the store reject all fetches, or serve them again.
func (f *Fleet) RejectFetches(rejects bool) { f.storeRejects = rejects }

// Flush releases all copies: idle ones are removed at once, busy ones when their calls end.
func (f *Fleet) Flush() {
	for _, w := range f.workers {
		for _, name := range w.functionNames {
			fn := w.functions[name]
			for _, c := range slices.Clone(fn.copies) {
				if c.released = true; c.busyLanes == 0 {
					w.removeCopy(fn, c)
				}
			}
			if w.up && len(fn.queue) > 0 && !slices.ContainsFunc(w.loads, func(l *load) bool { return l.function.Name == name }) {
				f.startLoad(w, fn.spec, false)
				f.assignLoadSlots(w)
			}
		}
	}
}
