// Package ring is a consistent-hash ring whose members hold several points each.
//
// It exists so that a change of members costs by what changes. A member that comes, goes or changes its number of
// points moves its own points and no others. A walk finds as many members as it is asked for, keeps what it has
// found, and outlives the changes that move none of the points that it has passed.
//
// A Ring has no lock, clock or randomness: the same calls give the same ring.
package ring

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// maxChanges is how many commits back a walk can tell whether they touched it. An older one starts anew.
	maxChanges = 32
	// maxPerBucket and minPerBucket bound the mean number of points in a bucket. Beyond them the buckets are laid
	// out anew.
	maxPerBucket = 16
	minPerBucket = 2
)

// A Member is on a ring while it holds points. ID and Value are set once, before it is placed. Two members of one
// ring never share an ID.
type Member[T any] struct {
	ID     uint64 // hashed with the number of a point to the point's position
	Value  T      // of the caller
	tier   int
	points []uint64 // positions, sorted

	isStaged     bool // placed since the last commit
	stagedPoints int  // number of points from the next commit on
	stagedTier   int
}

// Points returns how many points a member holds.
func (m *Member[T]) Points() int { return len(m.points) }

// firstPoint returns the member's first point at or after a position, going round.
func (m *Member[T]) firstPoint(from uint64) uint64 {
	i, _ := slices.BinarySearch(m.points, from)
	if i == len(m.points) {
		i = 0
	}
	return m.points[i]
}

// Position tells where a member comes in the walks from one position of the ring. Two of them compare as their
// members come in such a walk.
type Position struct {
	tier     int
	distance uint64
	id       uint64
}

// Position returns where a member that holds points comes in the walks from a position of the ring.
func (m *Member[T]) Position(from uint64) Position {
	return Position{m.tier, m.firstPoint(from) - from, m.ID}
}

// Compare returns a negative number if p comes before other, a positive one if after, and 0 for the same member.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.tier, other.tier), cmp.Compare(p.distance, other.distance), cmp.Compare(p.id, other.id))
}

// A point of a member on the ring.
type point[T any] struct {
	position uint64
	member   *Member[T]
}

func (p point[T]) compare(other point[T]) int {
	return cmp.Or(cmp.Compare(p.position, other.position), cmp.Compare(p.member.ID, other.member.ID))
}

// A change is what one commit moved.
type change struct {
	points     []uint64 // positions, sorted
	everything bool     // the order of walks, whatever points they passed
}

// A Ring is empty at first. Place changes it, and Commit makes the changes take effect.
type Ring[T any] struct {
	// Hash returns the position of the i-th point of a member. Two points of one member never share one.
	Hash func(id uint64, i int) uint64
	// Visited counts the points that walks have passed: a measure of their cost that depends on no clock.
	Visited uint64

	buckets       [][]point[T] // by the first bits of the position; in each by position, then by member
	shift         uint         // of a position to its bucket
	pointCount    int
	staged        []*Member[T] // placed since the last commit
	memberCount   int
	membersByTier map[int]int
	version       uint64   // commits that changed something
	changes       []change // the last ones, the newest last
}

// Len returns the number of members that hold points.
func (r *Ring[T]) Len() int { return r.memberCount }

// Place gives a member so many points, 0 to take it off. Members of a higher tier come after all those of lower
// ones in every walk. Nothing changes before Commit.
func (r *Ring[T]) Place(m *Member[T], points, tier int) {
	m.stagedPoints = points
	m.stagedTier = tier
	if m.isStaged || points == len(m.points) && (tier == m.tier || points == 0) {
		return
	}
	m.isStaged = true
	r.staged = append(r.staged, m)
}

// Commit makes what was placed since the last one take effect. Its cost grows with the points that move.
func (r *Ring[T]) Commit() {
	if len(r.staged) == 0 {
		return
	}
	var added, removed []point[T]
	everything := false
	for _, m := range r.staged {
		before := len(m.points)
		everything = everything || before > 0 && m.stagedPoints > 0 && m.stagedTier != m.tier
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
	r.record(added, removed, everything)
	for _, p := range removed { // first: a member that goes and another that comes under its ID share positions
		r.remove(p)
	}
	r.resize(r.pointCount + len(added))
	for _, p := range added {
		r.insert(p)
	}
}

// apply makes a member what it was placed as.
func (r *Ring[T]) apply(m *Member[T]) {
	m.tier = m.stagedTier
	m.isStaged = false
	m.points = m.points[:0]
	for i := range m.stagedPoints {
		m.points = append(m.points, r.Hash(m.ID, i))
	}
	slices.Sort(m.points)
}

// countMember adds a member with so many points to the counts, or takes it out. One without points does not count.
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

// record notes for the walks what a commit moves.
func (r *Ring[T]) record(added, removed []point[T], everything bool) {
	c := change{everything: everything}
	if !everything {
		for _, p := range added {
			c.points = append(c.points, p.position)
		}
		for _, p := range removed {
			c.points = append(c.points, p.position)
		}
		slices.Sort(c.points)
	}
	if len(r.changes) == maxChanges {
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

// resize lays the buckets out anew where so many points would be too many for them, or too few.
func (r *Ring[T]) resize(points int) {
	if points <= maxPerBucket*len(r.buckets) && points >= minPerBucket*len(r.buckets) {
		return
	}
	bits := max(1, bits.Len(uint(points/(maxPerBucket/2))))
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
