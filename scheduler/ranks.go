package scheduler

import "math"

const (
	// pointsPerWorker is the number of points that an average worker has on the ring: enough to
	// make the arcs of the workers about equal, and to move the functions of a lost worker to many
	// others.
	pointsPerWorker = 48
	// preferredWeight multiplies the ring weight of a preferred worker.
	preferredWeight = 1.5
)

// ringPointPosition returns the position of a worker's i-th point on the ring.
func ringPointPosition(id uint64, i int) uint64 { return mix(mix(id) + uint64(i)) }

// applyRanks applies the advice on workers. A preferred worker gets more points on the ring, so
// that it is the home of more functions. An avoided worker comes after all others in every walk.
func (d *Dispatcher) applyRanks() {
	if expired := d.advisedRanks.expire(d.now); !d.ranksStale && !expired {
		return
	}
	d.ranksStale = false
	changed := false
	for _, worker := range d.listed {
		advised, _ := d.advisedRanks.find(uint64(worker.ID))
		changed = changed || advised.Rank != worker.rank
		worker.rank = advised.Rank
	}
	if changed {
		d.buildRing()
	}
}

// buildRing places the points of each listed worker, in proportion to the worker's weight.
func (d *Dispatcher) buildRing() {
	var sum float64
	for _, w := range d.listed {
		sum += d.ringWeight(w)
	}
	for _, worker := range d.listed {
		points := pointsPerWorker * d.ringWeight(worker) * float64(len(d.listed)) / sum
		tier := max(0, -worker.rank) // avoided workers come after all others
		d.ring.Place(&worker.member, max(1, int(math.Round(points))), tier)
	}
	d.ring.Commit()
}

// ringWeight returns a worker's weight on the ring: the memory of its kind, because memory bounds
// the number of copies, or 1 where it is unknown.
func (d *Dispatcher) ringWeight(worker *worker) float64 {
	weight := 1.0
	kind := worker.Kind
	if memory := d.settings.Loading.MemoryMB; kind >= 0 && kind < len(memory) && memory[kind] > 0 {
		weight = memory[kind]
	}
	if worker.rank > 0 {
		return preferredWeight * weight
	}
	return weight
}
