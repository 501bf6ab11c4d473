package workersim

import (
	"slices"
)

// Call gives a worker an attempt. Exactly one Answered follows, unless it is cancelled while it waits.
func (f *Fleet) Call(worker int, c Call) {
	w := f.workers[worker]
	if !w.up {
		f.out = append(f.out, Event{Kind: CallAnswered, At: f.now, Worker: worker, ID: c.ID, Outcome: Reset})
		return
	}
	if f.pushed(w, c) {
		return
	}
	fn := w.function(c.Function)
	h := &call{Call: c, remainingWork: c.Work}
	for _, o := range w.calls {
		if o.Function.Name == c.Function.Name {
			h.sameFunction++
		}
	}
	free := slices.ContainsFunc(fn.copies, func(cp *copyState) bool { return !cp.released && cp.busy < c.Function.Lanes })
	loading := slices.ContainsFunc(w.loads, func(l *load) bool { return l.function.Name == c.Function.Name })
	h.note = CopyWasLoaded
	if !free {
		if w.waiting >= w.Queue {
			f.refuse(w, h)
			return
		}
		none := f.Copies(worker, c.Function.Name) == 0
		if none || w.Eager && !loading {
			switch {
			case loading:
				h.note = AwaitedLoad
			case f.startLoad(w, c.Function, false):
				h.note = StartedLoad
			case none: // no room, no slot
				f.refuse(w, h)
				return
			}
		}
	}
	w.calls[c.ID] = h
	fn.queue = append(fn.queue, h)
	w.waiting++
	f.slots(w)
	f.begin(w)
}

func (f *Fleet) refuse(w *worker, h *call) {
	f.out = append(f.out, Event{Kind: CallAnswered, At: f.now, Worker: w.index, ID: h.ID, Outcome: AtCapacity, SameFunction: h.sameFunction})
}

// pushed notes what a cold worker is sent and tells whether that pushes it over.
func (f *Fleet) pushed(w *worker, c Call) bool {
	cold := f.cfg.SlowStart
	if f.warmupFraction(w, f.now) >= 1 || cold.CollapseFactor == 0 {
		w.sent = nil
		return false
	}
	w.sent = slices.DeleteFunc(w.sent, func(s sent) bool { return s.at <= f.now-cold.CollapseWindow })
	w.sent = append(w.sent, sent{f.now, c.MeanWork})
	var sum float64
	for _, s := range w.sent {
		sum += s.work
	}
	can := w.Cores * w.Speed * f.warmupFraction(w, f.now) * cold.CollapseWindow.Seconds()
	if sum <= cold.CollapseFactor*can {
		return false
	}
	w.fallen = true
	f.out = append(f.out, Event{Kind: Collapsed, At: f.now, Worker: w.index},
		Event{Kind: CallAnswered, At: f.now, Worker: w.index, ID: c.ID, Outcome: Reset})
	f.Kill(w.index)
	return true
}

// begin runs what waits and has a lane.
func (f *Fleet) begin(w *worker) {
	for _, name := range w.names {
		fn := w.functions[name]
		for len(fn.queue) > 0 {
			i := slices.IndexFunc(fn.copies, func(c *copyState) bool { return !c.released && c.busy < fn.spec.Lanes })
			if i < 0 {
				break
			}
			h := fn.queue[0]
			fn.queue = fn.queue[1:]
			w.waiting--
			h.running, h.copy = true, fn.copies[i]
			h.copy.busy++
			w.running = append(w.running, h)
			if f.repeated(w, h) {
				f.finishCall(w, h, Event{Outcome: OK, Repeat: true})
				continue
			}
			f.out = append(f.out, Event{Kind: RunStarted, At: f.now, Worker: w.index, ID: h.ID})
		}
		// Copies that went void under a queue leave it with none: it waits for room, not for ever.
		if len(fn.queue) > 0 && f.Copies(w.index, name) == 0 &&
			!slices.ContainsFunc(w.loads, func(l *load) bool { return l.function.Name == name }) &&
			f.startLoad(w, fn.spec, false) {
			f.slots(w)
		}
	}
}

// repeated tells whether the worker's group has run the key within the window, and notes it.
func (f *Fleet) repeated(w *worker, h *call) bool {
	if h.Key == "" {
		return false
	}
	g := f.completedKeys[w.Group]
	if g == nil {
		g = map[string]ran{}
		f.completedKeys[w.Group] = g
	}
	if r, ok := g[h.Key]; ok && f.now < r.at+f.cfg.DedupWindow {
		return true
	}
	g[h.Key] = ran{f.now}
	if len(g) > 4096 {
		for k, r := range g { // which are dropped does not depend on the order
			if f.now >= r.at+f.cfg.DedupWindow {
				delete(g, k)
			}
		}
	}
	return false
}

func (f *Fleet) end(w *worker, h *call, o Outcome) { f.finishCall(w, h, Event{Outcome: o}) }

func (f *Fleet) finishCall(w *worker, h *call, e Event) {
	w.running = slices.DeleteFunc(w.running, func(o *call) bool { return o == h })
	if h.copy.busy--; h.copy.busy == 0 {
		h.copy.idle = f.now
	}
	delete(w.calls, h.ID)
	e.Kind, e.At, e.Worker, e.ID, e.CopyState, e.SameFunction = CallAnswered, f.now, w.index, h.ID, h.note, h.sameFunction
	f.out = append(f.out, e)
}

// Cancel drops an attempt that still waits; one that runs goes on.
func (f *Fleet) Cancel(worker int, id uint64) {
	w := f.workers[worker]
	h := w.calls[id]
	if h == nil || h.running {
		return
	}
	fn := w.functions[h.Function.Name]
	fn.queue = slices.DeleteFunc(fn.queue, func(o *call) bool { return o == h })
	w.waiting--
	delete(w.calls, id)
}
