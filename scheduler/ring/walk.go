package ring

import (
	"cmp"
	"slices"
)

// A Walk lists a ring's members in the order in which their points come after a position, as far as it was asked. It
// outlives the changes that move no point it has passed. The zero value with Ring and From set is ready.
type Walk[T any] struct {
	Ring *Ring[T]
	From uint64 // the position at which it starts

	found       []*Member[T] // so far
	version     uint64       // of the ring for which they hold
	started     bool
	tier        int      // of the members of this round
	passed      int      // points of this round
	reach       uint64   // distance of the last point passed from the start
	last        point[T] // passed
	cursor      cursor   // the next point
	cursorStale bool     // the ring has changed since, beyond what was passed
	wrapped     bool     // a round has ended: every change touches it
	ended       bool     // all members are found
}

// At returns the i-th member of the walk, or nil past the last.
func (w *Walk[T]) At(i int) *Member[T] {
	w.refresh()
	for len(w.found) <= i && !w.ended {
		w.extend()
	}
	if i >= len(w.found) {
		return nil
	}
	return w.found[i]
}

// refresh starts anew where the ring has changed within what was passed.
func (w *Walk[T]) refresh() {
	r := w.Ring
	if w.started && w.version == r.version {
		return
	}
	lowest, none := r.tierAfter(-1)
	mayKeep := w.started && !w.wrapped && w.passed > 0 && lowest == w.tier
	if mayKeep && !r.changedWithin(w.version, w.From, w.reach) {
		w.version = r.version
		w.cursorStale = true
		return
	}
	clear(w.found)
	*w = Walk[T]{Ring: r, From: w.From, found: w.found[:0], version: r.version, started: true}
	w.cursor = r.cursorAt(w.From)
	w.tier = lowest
	w.ended = none
}

// extend passes points until one is the first of a member of the tier, or a round ends.
func (w *Walk[T]) extend() {
	r := w.Ring
	if w.cursorStale {
		// The points that were passed have not moved: the next is the one after them.
		w.cursor = r.cursorAfter(w.last)
		w.cursorStale = false
	}
	for w.passed < r.pointCount {
		p := r.next(&w.cursor)
		w.passed++
		w.last = p
		w.reach = p.position - w.From
		r.Visited++
		if p.member.tier == w.tier && p.member.firstPoint(w.From) == p.position {
			w.found = append(w.found, p.member)
			return
		}
	}
	w.wrapped = true
	w.passed = 0
	w.tier, w.ended = r.tierAfter(w.tier)
}

// A cursor is where a point is in the buckets, or one behind the last of its bucket.
type cursor struct{ bucket, offset int }

// cursorAt returns where the points at or after a position begin.
func (r *Ring[T]) cursorAt(position uint64) cursor {
	if len(r.buckets) == 0 {
		return cursor{}
	}
	bucket := int(position >> r.shift)
	compare := func(p point[T], position uint64) int { return cmp.Compare(p.position, position) }
	offset, _ := slices.BinarySearchFunc(r.buckets[bucket], position, compare)
	return cursor{bucket, offset}
}

// cursorAfter returns where the points after one that the ring has begin.
func (r *Ring[T]) cursorAfter(p point[T]) cursor {
	bucket := int(p.position >> r.shift)
	offset, _ := slices.BinarySearchFunc(r.buckets[bucket], p, point[T].compare)
	return cursor{bucket, offset + 1}
}

// next returns the point at a cursor and moves the cursor behind it, going round. The ring has a point.
func (r *Ring[T]) next(c *cursor) point[T] {
	for c.offset >= len(r.buckets[c.bucket]) {
		*c = cursor{(c.bucket + 1) % len(r.buckets), 0}
	}
	c.offset++
	return r.buckets[c.bucket][c.offset-1]
}

// tierAfter returns the lowest tier above one that has members; none if there is no such tier.
func (r *Ring[T]) tierAfter(tier int) (next int, none bool) {
	none = true
	for t := range r.membersByTier { // the lowest of them: their order does not matter
		if t > tier && (none || t < next) {
			next, none = t, false
		}
	}
	return next, none
}

// changedWithin tells whether a commit after a version moved a point at most reach after a position.
func (r *Ring[T]) changedWithin(version, position, reach uint64) bool {
	commits := r.version - version
	if commits > uint64(len(r.changes)) {
		return true
	}
	for _, c := range r.changes[uint64(len(r.changes))-commits:] {
		if c.everything {
			return true
		}
		i, _ := slices.BinarySearch(c.points, position)
		if i == len(c.points) {
			i = 0
		}
		if len(c.points) > 0 && c.points[i]-position <= reach {
			return true
		}
	}
	return false
}
