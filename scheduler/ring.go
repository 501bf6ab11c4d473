package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// ringPoint is the place of a worker's i-th point on the ring.
func ringPoint(id uint64, i int) uint64 { return mix(mix(id) + uint64(i)) }

func (d *Dispatcher) buildRing() {
	var sum float64
	for _, w := range d.order {
		sum += d.weight(w)
	}
	for _, w := range d.order {
		n := max(1, int(math.Round(ringPoints*d.weight(w)*float64(len(d.order))/sum)))
		d.ring.Place(&w.member, n, max(0, -w.rank)) // those avoided come after all others
	}
	d.ring.Commit()
}

// weight is a worker's share of the ring: the memory of its kind where told, as that bounds its copies.
func (d *Dispatcher) weight(w *worker) float64 {
	if w.rank > 0 {
		return preferArc * d.memory(w)
	}
	return d.memory(w)
}

// Advice. It chooses among what may be done anyway: never a drained worker, nor an order over the budget.

// applyRanks has the ranks that are advised now: a preferred worker has a longer arc of the ring, an
// avoided one
// comes last in every walk.
func (d *Dispatcher) applyRanks() {
	if expired := d.advisedRanks.expire(d.now); !d.ranksStale && !expired {
		return
	}
	changed := false
	d.ranksStale = false
	for _, w := range d.order {
		advised, _ := d.advisedRanks.find(uint64(w.ID))
		changed = changed || advised.Rank != w.rank
		w.rank = advised.Rank
	}
	if changed {
		d.buildRing()
	}
}

func (d *Dispatcher) list(l ListUpdate) {
	if l.Kind == ListFailed {
		return
	}
	d.listGeneration++
	for _, i := range l.Workers {
		w := d.workers[i.ID]
		if i.State == Gone {
			d.depart(w)
			continue
		}
		if w == nil {
			w = d.join(i.ID)
			if l.Kind == CachedList {
				w.limit.distrust() // it may be stale: little trust until it answers
			}
		}
		if i.StartedAt > w.StartedAt && i.StartedAt > w.warmingSince {
			d.slowStart.begin(&w.warmup, i.StartedAt)
			w.limit.onRestart()
		}
		w.WorkerInfo, w.listGeneration = i, d.listGeneration
	}
	for _, w := range d.order {
		if l.Kind != ListDelta && w.listGeneration != d.listGeneration && w.State != Gone {
			d.depart(w)
		}
	}
	d.listed()
	d.ranksStale = true
	d.buildRing()
}

func (d *Dispatcher) depart(w *worker) {
	if w == nil {
		return
	}
	w.State = Gone
	d.reassign(w)
	d.leave(w)
}

// A search is what a walk for one request has found so far.
type search struct {
	queue   *queue
	request *request
	home    *worker // the first that may have it
	spare   *worker // the first that may load a copy for it
	loading bool    // a copy is coming
	chance  bool    // some worker may yet have it in its time
	settled bool    // home and spare are known: of the others only those that may hold a copy matter
}

// pick walks the ring from home for a worker with a token. Beyond home, one not known to hold the function is
// ordered to load it and sent to once the copy stands; one known to hold it serves meanwhile.
func (d *Dispatcher) pick(q *queue, r *request) *worker {
	s := search{queue: q, request: r, chance: len(d.order) == 0}
	from := q.spread.start(r.Request, len(d.order))
	for w := range d.candidates(q, from, &s.settled) {
		if d.consider(&s, w) {
			return w
		}
		s.settled = s.home != nil && s.spare != nil
	}
	s.chance = s.chance || d.outliers.ejected > 0
	r.unplaceable = !s.chance && !s.loading && !d.fresh(r) && !r.hasOutstanding()
	// A home without a token is waited for, longer where copies prove pushed out: memory is short then.
	wait := min(1, spillAfter+spillCrowd*d.evictions.fraction)
	due := d.now >= r.arrivedAt+seconds(wait*d.settings.Classes[r.Class].LatencyObjective.Seconds())
	if s.spare == s.home && !s.loading ||
		s.spare != nil && due && !s.loading && d.fresh(r) && !d.ensureCopy(q, s.spare) {
		return s.spare
	}
	return nil
}

// consider tells whether the request goes to this worker of the walk, and notes what else it is good for.
func (d *Dispatcher) consider(s *search, w *worker) bool {
	r, placed := s.request, s.queue.placements[w]
	warm := d.hasCopy(placed, w)
	s.chance = s.chance || warm || w.ejected || s.home == nil && w.loadBackoff.until < r.answerBy
	if !d.ready(w) || !d.maySend(r, w) || d.now < w.avoidUntil &&
		d.settings.Classes[r.Class].Idempotency != Idempotent {
		return false
	}
	switch {
	case warm:
		if d.hasRoom(r, w, placed) && d.admitWarming(w, d.classRunTime[r.Class]) {
			if s.home != nil {
				d.ensureCopy(s.queue, s.home)
			}
			return true
		}
	case !d.isWarm(w):
		return d.considerCold(s, w)
	case placed.loading(d.now, d.loadTime(r)):
		s.loading = true
	case !d.takes(r, w):
		return false
	case s.spare == nil && w.awaitingLoad < ownLoads && w.loadBackoff.allows(d.now):
		s.spare = w
	}
	s.home = cmp.Or(s.home, w)
	return false
}

// considerCold is consider for a cold worker where no copy is believed to stand. A cold home is sent what its
// bound lets pass: others may have had the copy loaded. The rest waits for a copy ordered there or goes on:
// waiting for loads of all functions would fill its small part.
func (d *Dispatcher) considerCold(s *search, w *worker) bool {
	switch {
	case s.home != nil:
	case w.awaitingLoad < ownLoads && w.loadBackoff.allows(d.now) && d.takes(s.request, w) &&
		d.admitWarming(w, d.classRunTime[s.request.Class]):
		return true
	case d.ensureCopy(s.queue, w):
		s.home, s.loading = w, true
	}
	return false
}

// hasRoom tells whether a worker has a token for a request of a function that it holds, and a lane: past the
// lanes of the copies it starts another by itself, which pushes others out.
func (d *Dispatcher) hasRoom(r *request, w *worker, placed *placement) bool {
	lanes := max(1, r.Lanes*float64(max(1, placed.copies)))
	token := w.limit.available() && d.takes(r, w)
	return float64(placed.outstanding) < lanes && token
}

// takes tells whether a worker takes a request: with less than one token only a part of them, as whole tokens
// bound nothing where many controllers send little each. A request's place is a hash; as it waits it comes to
// be taken. One that failed there is the last to be taken.
func (d *Dispatcher) takes(r *request, w *worker) bool {
	place := unit(mix(uint64(r.Request) ^ uint64(w.ID)))
	if slices.ContainsFunc(r.attempts, func(t attempt) bool { return t.worker == w }) {
		place = 1
	}
	waited := (d.now - r.arrivedAt).Seconds() / d.settings.Classes[r.Class].LatencyObjective.Seconds()
	return w.limit.accepts(place * (1 - waited))
}

// observeCrowding follows how many workers a function needs, by what a request met at one.
func (d *Dispatcher) observeCrowding(q *queue, met int, lanes float64, slow bool) {
	q.spread.observe(met, lanes, slow, manyControllers(d.settings.Controllers, lanes), len(d.order))
}
