package scheduler

import (
	"iter"
	"slices"
)

// candidates yields the listed workers of the queue's walk from an index on, once around. Once
// narrow is set, it yields only the remaining workers that have a placement of the function, as no
// other worker can still be selected.
func (d *Dispatcher) candidates(queue *queue, from int, narrow *bool) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		var last *worker
		for i := 0; i < len(d.listed) && !*narrow; i++ {
			last = queue.worker((from + i) % len(d.listed))
			d.candidatesExamined++
			if !yield(last) {
				return
			}
		}
		if last == nil {
			return
		}
		for _, worker := range queue.placedAfter(from, last) {
			d.candidatesExamined++
			if !yield(worker) {
				return
			}
		}
	}
}

// placedAfter returns the listed workers that have a placement of the function and come after the
// worker last in the walk that starts at index from and goes once around.
func (q *queue) placedAfter(from int, last *worker) (placed []*worker) {
	start := q.worker(from).member.Position(q.hash)
	compare := func(a, b *worker) int {
		positionA, positionB := a.member.Position(q.hash), b.member.Position(q.hash)
		aroundA, aroundB := positionA.Compare(start) < 0, positionB.Compare(start) < 0
		switch {
		case aroundA && !aroundB:
			return 1
		case aroundB && !aroundA:
			return -1
		}
		return positionA.Compare(positionB)
	}
	for worker := range q.placements { // sorted below, so that the map's order has no effect
		if worker.State != Removed && compare(last, worker) < 0 {
			placed = append(placed, worker)
		}
	}
	slices.SortFunc(placed, compare)
	return placed
}
