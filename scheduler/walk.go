package scheduler

import (
	"iter"
	"slices"
)

// candidates yields the listed workers from a place of the queue's walk on, once around. Once narrow is set
// it yields of the rest only those of which something is known of the function: no other can still matter.
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
		for _, worker := range queue.knownAfter(from, last) {
			d.candidatesExamined++
			if !yield(worker) {
				return
			}
		}
	}
}

// knownAfter returns the listed workers of which something is known of the function and that come after one
// in the walk that begins at a place and goes once around.
func (q *queue) knownAfter(from int, last *worker) (known []*worker) {
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
	for worker := range q.placements { // sorted below: the map's order does not show
		if worker.State != Removed && compare(last, worker) < 0 {
			known = append(known, worker)
		}
	}
	slices.SortFunc(known, compare)
	return known
}
