package workersim

import (
	"slices"
)

// Call sends an attempt to a worker. Exactly one CallAnswered event follows, unless the attempt is
// cancelled while it waits.
func (f *Fleet) Call(worker int, c Call) {
	w := f.workers[worker]
	if !w.up {
		f.events = append(f.events, Event{Kind: CallAnswered, At: f.now, Worker: worker, ID: c.ID, Outcome: Reset})
		return
	}
	if f.collapses(w, c) {
		return
	}
	fn := w.function(c.Function)
	attempt := &call{Call: c, remainingWork: c.Work}
	for _, o := range w.calls {
		if o.Function.Name == c.Function.Name {
			attempt.sameFunction++
		}
	}
	free := slices.ContainsFunc(fn.copies, func(cp *loadedCopy) bool { return !cp.released && cp.busyLanes < c.Function.Lanes })
	loading := slices.ContainsFunc(w.loads, func(l *load) bool { return l.function.Name == c.Function.Name })
	attempt.copyState = CopyWasLoaded
	if !free {
		if w.waiting >= w.Queue {
			f.rejectAtCapacity(w, attempt)
			return
		}
		none := f.Copies(worker, c.Function.Name) == 0
		if none || w.Eager && !loading {
			switch {
			case loading:
				attempt.copyState = AwaitedLoad
			case f.startLoad(w, c.Function, false):
				attempt.copyState = StartedLoad
			case none: // there is no room for a copy, or too many loads wait
				f.rejectAtCapacity(w, attempt)
				return
			}
		}
	}
	w.calls[c.ID] = attempt
	fn.queue = append(fn.queue, attempt)
	w.waiting++
	f.assignLoadSlots(w)
	f.startRuns(w)
}

// rejectAtCapacity answers an attempt with AtCapacity.
func (f *Fleet) rejectAtCapacity(w *worker, attempt *call) {
	f.events = append(f.events, Event{Kind: CallAnswered, At: f.now, Worker: w.index, ID: attempt.ID, Outcome: AtCapacity, SameFunction: attempt.sameFunction})
}

// collapses records the work sent to a worker that is warming up and reports whether the worker
// collapses under it.
func (f *Fleet) collapses(w *worker, c Call) bool {
	slowStart := f.cfg.SlowStart
	if f.warmupFraction(w, f.now) >= 1 || slowStart.CollapseFactor == 0 {
		w.recentWork = nil
		return false
	}
	w.recentWork = slices.DeleteFunc(w.recentWork, func(s sentWork) bool { return s.at <= f.now-slowStart.CollapseWindow })
	w.recentWork = append(w.recentWork, sentWork{f.now, c.MeanWork})
	var sum float64
	for _, s := range w.recentWork {
		sum += s.work
	}
	capacity := w.Cores * w.Speed * f.warmupFraction(w, f.now) * slowStart.CollapseWindow.Seconds()
	if sum <= slowStart.CollapseFactor*capacity {
		return false
	}
	w.collapsed = true
	f.events = append(f.events, Event{Kind: Collapsed, At: f.now, Worker: w.index},
		Event{Kind: CallAnswered, At: f.now, Worker: w.index, ID: c.ID, Outcome: Reset})
	f.Kill(w.index)
	return true
}

// startRuns starts the waiting calls for which a copy has a free lane.
func (f *Fleet) startRuns(w *worker) {
	for _, name := range w.functionNames {
		fn := w.functions[name]
		for len(fn.queue) > 0 {
			i := slices.IndexFunc(fn.copies, func(c *loadedCopy) bool { return !c.released && c.busyLanes < fn.spec.Lanes })
			if i < 0 {
				break
			}
			attempt := fn.queue[0]
			fn.queue = fn.queue[1:]
			w.waiting--
			attempt.running, attempt.copy = true, fn.copies[i]
			attempt.copy.busyLanes++
			w.running = append(w.running, attempt)
			if f.isDuplicate(w, attempt) {
				f.finishCall(w, attempt, Event{Outcome: OK, Repeat: true})
				continue
			}
			f.events = append(f.events, Event{Kind: RunStarted, At: f.now, Worker: w.index, ID: attempt.ID})
		}
		// A queue whose copies were all released gets a new load as soon as there is room, so that
		// it does not wait for ever.
		if len(fn.queue) > 0 && f.Copies(w.index, name) == 0 &&
			!slices.ContainsFunc(w.loads, func(l *load) bool { return l.function.Name == name }) &&
			f.startLoad(w, fn.spec, false) {
			f.assignLoadSlots(w)
		}
	}
}

// isDuplicate reports whether the worker's group ran the call's key within the dedup window. If
// not, it records the key.
func (f *Fleet) isDuplicate(w *worker, attempt *call) bool {
	if attempt.Key == "" {
		return false
	}
	keys := f.completedKeys[w.Group]
	if keys == nil {
		keys = map[string]completedKey{}
		f.completedKeys[w.Group] = keys
	}
	if r, ok := keys[attempt.Key]; ok && f.now < r.at+f.cfg.DedupWindow {
		return true
	}
	keys[attempt.Key] = completedKey{f.now}
	if len(keys) > 4096 {
		for k, r := range keys { // the iteration order does not matter: each expired key is deleted
			if f.now >= r.at+f.cfg.DedupWindow {
				delete(keys, k)
			}
		}
	}
	return false
}

func (f *Fleet) finishCallWith(w *worker, attempt *call, o Outcome) {
	f.finishCall(w, attempt, Event{Outcome: o})
}

func (f *Fleet) finishCall(w *worker, attempt *call, e Event) {
	w.running = slices.DeleteFunc(w.running, func(o *call) bool { return o == attempt })
	if attempt.copy.busyLanes--; attempt.copy.busyLanes == 0 {
		attempt.copy.idleSince = f.now
	}
	delete(w.calls, attempt.ID)
	e.Kind, e.At, e.Worker, e.ID, e.CopyState, e.SameFunction = CallAnswered, f.now, w.index, attempt.ID, attempt.copyState, attempt.sameFunction
	f.events = append(f.events, e)
}

// Cancel removes an attempt that still waits. One that runs continues.
func (f *Fleet) Cancel(worker int, id uint64) {
	w := f.workers[worker]
	attempt := w.calls[id]
	if attempt == nil || attempt.running {
		return
	}
	fn := w.functions[attempt.Function.Name]
	fn.queue = slices.DeleteFunc(fn.queue, func(o *call) bool { return o == attempt })
	w.waiting--
	delete(w.calls, id)
}
