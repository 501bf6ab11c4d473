package scheduler

import "math"

const (
	// ringPoints is the number of points that an average worker holds on the ring: enough for even arcs,
	// and for the functions of a lost home to go to many others.
	ringPoints = 48
	// preferredArc is the multiple of its arc of the ring that a preferred worker gets.
	preferredArc = 1.5
)

// ringPoint is the place of a worker's i-th point on the ring.
func ringPoint(id uint64, i int) uint64 { return mix(mix(id) + uint64(i)) }

// applyRanks follows advice on workers: a preferred worker has a longer arc of the ring, so that it is the
// home of more functions, and an avoided one comes after all others in every walk.
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

// buildRing gives each listed worker its points, by its part of the sum of all weights.
func (d *Dispatcher) buildRing() {
	var sum float64
	for _, w := range d.listed {
		sum += d.ringWeight(w)
	}
	for _, worker := range d.listed {
		points := ringPoints * d.ringWeight(worker) * float64(len(d.listed)) / sum
		tier := max(0, -worker.rank) // those avoided come after all others
		d.ring.Place(&worker.member, max(1, int(math.Round(points))), tier)
	}
	d.ring.Commit()
}

// ringWeight is a worker's weight on the ring: the memory of its kind, as that bounds its copies; 1 where
// it is not known.
func (d *Dispatcher) ringWeight(worker *worker) float64 {
	weight := 1.0
	kind := worker.Kind
	if memory := d.settings.Loading.MemoryMB; kind >= 0 && kind < len(memory) && memory[kind] > 0 {
		weight = memory[kind]
	}
	if worker.rank > 0 {
		return preferredArc * weight
	}
	return weight
}
