// Package ring is a consistent-hash ring whose members hold several points each. A member that comes, goes or changes its number of
// points moves its own points and no others, and a walk finds as many members as it is asked for.
//
// A Ring has no lock, clock or randomness: the same calls give the same ring.
package ring

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// keptChanges is how many commits back a walk can tell whether they touched it. One that is older begins anew.
	keptChanges = 32
	// The points stand in buckets of this many, on average: they are laid out anew when there are more, or so few.
	mostInBucket  = 16
	leastInBucket = 2
)

// A Member stands on a ring. ID and Value are set once, before it is placed; two members of one ring never share an ID.
type Member[T any] struct {
	ID     uint64
	Value  T
	tier   int
	points []uint64 // sorted

	placed     bool // since the last commit
	wanted     int  // points, then
	wantedTier int
}

// Points returns how many points a member holds.
func (m *Member[T]) Points() int { return len(m.points) }

// first returns the member's first point at or after a place, going round.
func (m *Member[T]) first(from uint64) uint64 {
	i, _ := slices.BinarySearch(m.points, from)
	if i == len(m.points) {
		i = 0
	}
	return m.points[i]
}

// Position tells where a member comes in walks from one place: positions are compared by Before.
type Position struct {
	tier     int
	distance uint64
	id       uint64
}

// Position returns where a member that holds points comes in walks from a place.
func (m *Member[T]) Position(from uint64) Position {
	return Position{m.tier, m.first(from) - from, m.ID}
}

// Compare returns a negative number if p comes before q, a positive one if after, and 0 for the same member.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.tier, q.tier), cmp.Compare(p.distance, q.distance), cmp.Compare(p.id, q.id))
}

type point[T any] struct {
	at     uint64
	member *Member[T]
}

func (p point[T]) compare(q point[T]) int {
	return cmp.Or(cmp.Compare(p.at, q.at), cmp.Compare(p.member.ID, q.member.ID))
}

// A change is what one commit moved: the points, sorted, or everything.
type change struct {
	points     []uint64
	everything bool
}

// A Ring is empty at first. Place changes it, and Commit makes the changes take effect.
type Ring[T any] struct {
	// Hash returns the place of the i-th point of a member. Two points of one member never share a place.
	Hash func(id uint64, i int) uint64
	// Visited counts the points that walks have passed: a measure of their cost that depends on no clock.
	Visited uint64

	buckets [][]point[T] // by the first bits of the place; in each by place, then by member
	shift   uint         // of a place to its bucket
	points  int
	placed  []*Member[T]
	members int
	tiers   map[int]int // members by tier
	version uint64      // commits that changed something
	changes []change    // the last ones, the newest last
}

// Len returns the number of members that hold points.
func (r *Ring[T]) Len() int { return r.members }

// Place gives a member so many points, 0 to take it off. Members of a higher tier come after all those of lower ones in every
// walk. Nothing changes before Commit.
func (r *Ring[T]) Place(m *Member[T], points, tier int) {
	m.wanted, m.wantedTier = points, tier
	if m.placed || points == len(m.points) && (tier == m.tier || points == 0) {
		return
	}
	m.placed = true
	r.placed = append(r.placed, m)
}

// Commit makes what was placed since the last one take effect. It costs by the points that move.
func (r *Ring[T]) Commit() {
	if len(r.placed) == 0 {
		return
	}
	var added, removed []point[T]
	everything := false
	for _, m := range r.placed {
		before := len(m.points)
		everything = everything || before > 0 && m.wanted > 0 && m.wantedTier != m.tier
		for i := before; i < m.wanted; i++ {
			added = append(added, point[T]{r.Hash(m.ID, i), m})
		}
		for i := m.wanted; i < before; i++ {
			removed = append(removed, point[T]{r.Hash(m.ID, i), m})
		}
		r.count(m.tier, before, -1)
		r.settle(m)
		r.count(m.tier, m.wanted, 1)
	}
	clear(r.placed)
	r.placed = r.placed[:0]
	r.remember(added, removed, everything)
	for _, p := range removed { // first: a member that goes and another that comes under its ID share their places
		r.remove(p)
	}
	r.resize(r.points + len(added))
	for _, p := range added {
		r.insert(p)
	}
}

// settle makes a member what it was placed as.
func (r *Ring[T]) settle(m *Member[T]) {
	m.tier, m.placed = m.wantedTier, false
	m.points = m.points[:0]
	for i := range m.wanted {
		m.points = append(m.points, r.Hash(m.ID, i))
	}
	slices.Sort(m.points)
}

// count keeps the numbers of members: one that holds no points is none.
func (r *Ring[T]) count(tier, points, by int) {
	if points == 0 {
		return
	}
	if r.tiers == nil {
		r.tiers = map[int]int{}
	}
	r.members += by
	if r.tiers[tier] += by; r.tiers[tier] == 0 {
		delete(r.tiers, tier)
	}
}

// remember notes for walks what a commit moves.
func (r *Ring[T]) remember(added, removed []point[T], everything bool) {
	c := change{everything: everything}
	if !everything {
		for _, p := range added {
			c.points = append(c.points, p.at)
		}
		for _, p := range removed {
			c.points = append(c.points, p.at)
		}
		slices.Sort(c.points)
	}
	if len(r.changes) == keptChanges {
		r.changes = slices.Delete(r.changes, 0, 1)
	}
	r.changes = append(r.changes, c)
	r.version++
}

func (r *Ring[T]) insert(p point[T]) {
	bucket := &r.buckets[p.at>>r.shift]
	i, _ := slices.BinarySearchFunc(*bucket, p, point[T].compare)
	*bucket = slices.Insert(*bucket, i, p)
	r.points++
}

func (r *Ring[T]) remove(p point[T]) {
	bucket := &r.buckets[p.at>>r.shift]
	i, _ := slices.BinarySearchFunc(*bucket, p, point[T].compare)
	*bucket = slices.Delete(*bucket, i, i+1)
	r.points--
}

// resize lays the buckets out anew where so many points would be too many for them, or too few.
func (r *Ring[T]) resize(points int) {
	if points <= mostInBucket*len(r.buckets) && points >= leastInBucket*len(r.buckets) {
		return
	}
	bits := max(1, bits.Len(uint(points/(mostInBucket/2))))
	if bits == 64-int(r.shift) && r.buckets != nil {
		return
	}
	old := r.buckets
	r.buckets, r.shift, r.points = make([][]point[T], 1<<bits), uint(64-bits), 0
	for _, bucket := range old {
		for _, p := range bucket {
			r.insert(p)
		}
	}
}

// touched tells whether a commit after a version moved a point at most reach after a place.
func (r *Ring[T]) touched(since, from, reach uint64) bool {
	behind := r.version - since
	if behind > uint64(len(r.changes)) {
		return true
	}
	for _, c := range r.changes[uint64(len(r.changes))-behind:] {
		if c.everything {
			return true
		}
		i, _ := slices.BinarySearch(c.points, from)
		if i == len(c.points) {
			i = 0
		}
		if len(c.points) > 0 && c.points[i]-from <= reach {
			return true
		}
	}
	return false
}

// A Walk lists a ring's members in the order in which their points come after a place, as far as it was asked, and outlives the
// changes that move no point it has passed. The zero value with Ring and From set is ready.
type Walk[T any] struct {
	Ring *Ring[T]
	From uint64

	found   []*Member[T]
	version uint64
	begun   bool
	tier    int
	passed  int      // points of this round
	reach   uint64   // distance of the last point passed
	last    point[T] // passed
	next    cursor   // the next point, in the ring at version
	moved   bool     // next is of an earlier version
	whole   bool     // a round has ended: every change touches it
	ended   bool
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

// refresh begins anew where the ring has changed within what was passed.
func (w *Walk[T]) refresh() {
	r := w.Ring
	if w.begun && w.version == r.version {
		return
	}
	lowest, none := r.tierAfter(-1)
	if w.begun && !w.whole && w.passed > 0 && lowest == w.tier && !r.touched(w.version, w.From, w.reach) {
		w.version, w.moved = r.version, true
		return
	}
	clear(w.found)
	*w = Walk[T]{Ring: r, From: w.From, found: w.found[:0], version: r.version, begun: true}
	w.next, w.tier, w.ended = r.from(w.From), lowest, none
}

// A cursor is the place of a point in the buckets, or one behind the last of its bucket.
type cursor struct{ bucket, i int }

// from returns where the points at or after a place begin.
func (r *Ring[T]) from(at uint64) cursor {
	if len(r.buckets) == 0 {
		return cursor{}
	}
	b := int(at >> r.shift)
	i, _ := slices.BinarySearchFunc(r.buckets[b], at, func(p point[T], at uint64) int { return cmp.Compare(p.at, at) })
	return cursor{b, i}
}

// behind returns where the points after one begin that the ring has.
func (r *Ring[T]) behind(p point[T]) cursor {
	b := int(p.at >> r.shift)
	i, _ := slices.BinarySearchFunc(r.buckets[b], p, point[T].compare)
	return cursor{b, i + 1}
}

// take returns the point at a cursor and moves it behind it, going round. The ring has a point.
func (r *Ring[T]) take(c *cursor) point[T] {
	for c.i >= len(r.buckets[c.bucket]) {
		*c = cursor{(c.bucket + 1) % len(r.buckets), 0}
	}
	c.i++
	return r.buckets[c.bucket][c.i-1]
}

// tierAfter returns the lowest tier above one that has members; none if there is no such.
func (r *Ring[T]) tierAfter(tier int) (next int, none bool) {
	none = true
	for t := range r.tiers { // the least of them: their order does not matter
		if t > tier && (none || t < next) {
			next, none = t, false
		}
	}
	return next, none
}

// extend passes points until one is the first of a member of the tier, or a round ends.
func (w *Walk[T]) extend() {
	r := w.Ring
	if w.moved {
		// The points passed stand as they were: the next is the one after them.
		w.next, w.moved = r.behind(w.last), false
	}
	for w.passed < r.points {
		p := r.take(&w.next)
		w.passed++
		w.last, w.reach = p, p.at-w.From
		r.Visited++
		if p.member.tier == w.tier && p.member.first(w.From) == p.at {
			w.found = append(w.found, p.member)
			return
		}
	}
	w.whole, w.passed = true, 0
	w.tier, w.ended = r.tierAfter(w.tier)
}
