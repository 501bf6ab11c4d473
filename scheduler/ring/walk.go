package ring

import (
	"cmp"
	"slices"
)

// A Walk lists the members of a ring in the order in which their points follow a position, as far
// as it is asked for. It stays valid across changes that move none of the points that it has
// passed. It is ready to use once Ring and From are set.
type Walk[T any] struct {
	Ring *Ring[T]
	From uint64 // position at which the walk starts

	found       []*Member[T] // members found so far
	version     uint64       // of the ring for which they are valid
	started     bool
	tier        int      // of the members found in this round
	passed      int      // number of points passed in this round
	reach       uint64   // distance from the start to the last point passed
	last        point[T] // last point passed
	cursor      cursor   // at the next point
	cursorStale bool     // the ring has changed beyond the points passed
	wrapped     bool     // a round has ended, so that every change affects the walk
	ended       bool     // all members have been found
}

// At returns the i-th member of the walk, or nil if it has fewer.
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

// refresh starts the walk again if the ring has changed within the points passed.
func (w *Walk[T]) refresh() {
	r := w.Ring
	if w.started && w.version == r.version {
		return
	}
	lowest, none := r.tierAfter(-1)
	keepable := w.started && !w.wrapped && w.passed > 0 && lowest == w.tier
	if keepable && !r.changedWithin(w.version, w.From, w.reach) {
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

// extend passes points until one of them is the first of a member of the current tier, or until the
// round ends.
func (w *Walk[T]) extend() {
	r := w.Ring
	if w.cursorStale {
		// The points passed have not moved: the next point is the one after the last of them.
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

// A cursor locates a point in the buckets, or the end of a bucket.
type cursor struct{ bucket, offset int }

// cursorAt returns the cursor of the first point at or after a position.
func (r *Ring[T]) cursorAt(position uint64) cursor {
	if len(r.buckets) == 0 {
		return cursor{}
	}
	bucket := int(position >> r.shift)
	compare := func(p point[T], position uint64) int { return cmp.Compare(p.position, position) }
	offset, _ := slices.BinarySearchFunc(r.buckets[bucket], position, compare)
	return cursor{bucket, offset}
}

// cursorAfter returns the cursor of the point that follows p, which is on the ring.
func (r *Ring[T]) cursorAfter(p point[T]) cursor {
	bucket := int(p.position >> r.shift)
	offset, _ := slices.BinarySearchFunc(r.buckets[bucket], p, point[T].compare)
	return cursor{bucket, offset + 1}
}

// next returns the point at a cursor and advances the cursor, wrapping around. The ring must have a
// point.
func (r *Ring[T]) next(c *cursor) point[T] {
	for c.offset >= len(r.buckets[c.bucket]) {
		*c = cursor{(c.bucket + 1) % len(r.buckets), 0}
	}
	c.offset++
	return r.buckets[c.bucket][c.offset-1]
}

// tierAfter returns the lowest tier above the given one that has members, or none if there is no
// such tier.
func (r *Ring[T]) tierAfter(tier int) (next int, none bool) {
	none = true
	for t := range r.membersByTier { // the lowest of them: the map's order does not matter
		if t > tier && (none || t < next) {
			next, none = t, false
		}
	}
	return next, none
}

// changedWithin reports whether a commit after the given version moved a point that is at most
// reach after a position.
func (r *Ring[T]) changedWithin(version, position, reach uint64) bool {
	commits := r.version - version
	if commits > uint64(len(r.changes)) {
		return true
	}
	for _, c := range r.changes[uint64(len(r.changes))-commits:] {
		if c.allWalks {
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
