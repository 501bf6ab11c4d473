// Package ring is a consistent-hash ring on which each member has several points.
//
// The cost of a change of members grows with what changes. A member that joins, leaves or changes
// its number of points moves only its own points. A walk finds as many members as it is asked for,
// keeps them, and stays valid across changes that move none of the points that it has passed.
//
// A Ring has no lock, clock or randomness: the same calls give the same ring.
package ring

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// maxRecordedCommits is how many commits back a walk can tell whether they affect it. An older
	// walk starts again.
	maxRecordedCommits = 32
	// maxPointsPerBucket and minPointsPerBucket bound the mean number of points in a bucket. Beyond
	// them the number of buckets is changed.
	maxPointsPerBucket = 16
	minPointsPerBucket = 2
)

// A Member is on a ring while it has points. ID and Value are set once, before it is placed. Two
// members of a ring must not share an ID.
type Member[T any] struct {
	ID     uint64 // hashed with the number of a point to give the point's position
	Value  T      // set by the caller
	tier   int
	points []uint64 // positions, sorted

	isStaged     bool // placed since the last commit
	stagedPoints int  // number of points after the next commit
	stagedTier   int  // tier after the next commit
}

// Points returns the number of points that a member has.
func (m *Member[T]) Points() int { return len(m.points) }

// firstPoint returns the member's first point at or after a position, wrapping around.
func (m *Member[T]) firstPoint(from uint64) uint64 {
	i, _ := slices.BinarySearch(m.points, from)
	if i == len(m.points) {
		i = 0
	}
	return m.points[i]
}

// A Position is the rank of a member in the walks from one position of the ring. Two of them
// compare in the order of their members in such a walk.
type Position struct {
	tier     int
	distance uint64
	id       uint64
}

// Position returns the rank of a member that has points in the walks from a position of the ring.
func (m *Member[T]) Position(from uint64) Position {
	return Position{m.tier, m.firstPoint(from) - from, m.ID}
}

// Compare returns a negative number if p comes before other, a positive one if after, and 0 for the
// same member.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.tier, other.tier), cmp.Compare(p.distance, other.distance),
		cmp.Compare(p.id, other.id))
}

// A point is one position of a member on the ring.
type point[T any] struct {
	position uint64
	member   *Member[T]
}

func (p point[T]) compare(other point[T]) int {
	return cmp.Or(cmp.Compare(p.position, other.position), cmp.Compare(p.member.ID, other.member.ID))
}

// A change records what one commit moved, so that walks can tell whether it affects them.
type change struct {
	points   []uint64 // positions, sorted
	allWalks bool     // the order of every walk may have changed, whatever points it has passed
}

// A Ring is empty at first. Place stages changes, and Commit applies them.
type Ring[T any] struct {
	// Hash returns the position of the i-th point of a member. Two points of one member must not
	// share a position.
	Hash func(id uint64, i int) uint64
	// Visited counts the points that walks have passed: a measure of their cost that depends on no
	// clock.
	Visited uint64

	buckets       [][]point[T] // by the leading bits of the position; each sorted
	shift         uint         // number of bits by which a position is shifted to give its bucket
	pointCount    int
	staged        []*Member[T] // members placed since the last commit
	memberCount   int
	membersByTier map[int]int
	version       uint64   // number of commits that changed something
	changes       []change // of the last commits, the latest last
}

// Len returns the number of members that have points.
func (r *Ring[T]) Len() int { return r.memberCount }

// Place stages a member's number of points, 0 to remove it from the ring, and its tier. In every
// walk, members of a higher tier come after all members of lower tiers. The change takes effect
// with Commit.
func (r *Ring[T]) Place(m *Member[T], points, tier int) {
	m.stagedPoints = points
	m.stagedTier = tier
	if m.isStaged || points == len(m.points) && (tier == m.tier || points == 0) {
		return
	}
	m.isStaged = true
	r.staged = append(r.staged, m)
}

// Commit applies the changes staged since the last commit. Its cost grows with the number of points
// that move.
func (r *Ring[T]) Commit() {
	if len(r.staged) == 0 {
		return
	}
	var added, removed []point[T]
	allWalks := false
	for _, m := range r.staged {
		before := len(m.points)
		allWalks = allWalks || before > 0 && m.stagedPoints > 0 && m.stagedTier != m.tier
		for i := before; i < m.stagedPoints; i++ {
			added = append(added, point[T]{r.Hash(m.ID, i), m})
		}
		for i := m.stagedPoints; i < before; i++ {
			removed = append(removed, point[T]{r.Hash(m.ID, i), m})
		}
		r.countMember(m.tier, before, -1)
		r.apply(m)
		r.countMember(m.tier, m.stagedPoints, 1)
	}
	clear(r.staged)
	r.staged = r.staged[:0]
	r.record(added, removed, allWalks)
	// Removals come first: a member that leaves and another that joins with its ID share positions.
	for _, p := range removed {
		r.remove(p)
	}
	r.resize(r.pointCount + len(added))
	for _, p := range added {
		r.insert(p)
	}
}

// apply gives a member its staged points and tier.
func (r *Ring[T]) apply(m *Member[T]) {
	m.tier = m.stagedTier
	m.isStaged = false
	m.points = m.points[:0]
	for i := range m.stagedPoints {
		m.points = append(m.points, r.Hash(m.ID, i))
	}
	slices.Sort(m.points)
}

// countMember adds by to the counts of members for a member of the given tier, unless it has no
// points.
func (r *Ring[T]) countMember(tier, points, by int) {
	if points == 0 {
		return
	}
	if r.membersByTier == nil {
		r.membersByTier = map[int]int{}
	}
	r.memberCount += by
	if r.membersByTier[tier] += by; r.membersByTier[tier] == 0 {
		delete(r.membersByTier, tier)
	}
}

// record keeps what a commit moves, for the walks.
func (r *Ring[T]) record(added, removed []point[T], allWalks bool) {
	c := change{allWalks: allWalks}
	if !allWalks {
		for _, p := range added {
			c.points = append(c.points, p.position)
		}
		for _, p := range removed {
			c.points = append(c.points, p.position)
		}
		slices.Sort(c.points)
	}
	if len(r.changes) == maxRecordedCommits {
		r.changes = slices.Delete(r.changes, 0, 1)
	}
	r.changes = append(r.changes, c)
	r.version++
}

func (r *Ring[T]) insert(p point[T]) {
	bucket := &r.buckets[p.position>>r.shift]
	i, _ := slices.BinarySearchFunc(*bucket, p, point[T].compare)
	*bucket = slices.Insert(*bucket, i, p)
	r.pointCount++
}

func (r *Ring[T]) remove(p point[T]) {
	bucket := &r.buckets[p.position>>r.shift]
	i, _ := slices.BinarySearchFunc(*bucket, p, point[T].compare)
	*bucket = slices.Delete(*bucket, i, i+1)
	r.pointCount--
}

// resize changes the number of buckets if the given number of points would be too high or too low
// for it.
func (r *Ring[T]) resize(points int) {
	if points <= maxPointsPerBucket*len(r.buckets) && points >= minPointsPerBucket*len(r.buckets) {
		return
	}
	bits := max(1, bits.Len(uint(points/(maxPointsPerBucket/2))))
	if bits == 64-int(r.shift) && r.buckets != nil {
		return
	}
	old := r.buckets
	r.buckets = make([][]point[T], 1<<bits)
	r.shift = uint(64 - bits)
	r.pointCount = 0
	for _, bucket := range old {
		for _, p := range bucket {
			r.insert(p)
		}
	}
}
