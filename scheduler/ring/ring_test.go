package ring

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func pointPosition(id uint64, i int) uint64 { return mix(mix(id) + uint64(i)) }

func newRing() *Ring[int] { return &Ring[int]{Hash: pointPosition} }

// fullRing returns a ring of members with 48 points each.
func fullRing(members int) (*Ring[int], []*Member[int]) {
	r, all := newRing(), make([]*Member[int], members)
	for i := range all {
		all[i] = &Member[int]{ID: uint64(i + 1)}
		r.Place(all[i], 48, 0)
	}
	r.Commit()
	return r, all
}

// referenceWalk returns what a walk has to find, by sorting all points and taking each member at
// its first one.
func referenceWalk(members []*Member[int], from uint64) (ids []uint64) {
	var all []point[int]
	for _, m := range members {
		for i := range m.points {
			all = append(all, point[int]{pointPosition(m.ID, i), m})
		}
	}
	slices.SortFunc(all, func(a, b point[int]) int {
		return cmp.Or(cmp.Compare(a.position-from, b.position-from), cmp.Compare(a.member.ID, b.member.ID))
	})
	var found []*Member[int]
	for _, p := range all {
		if !slices.Contains(found, p.member) {
			found = append(found, p.member)
		}
	}
	slices.SortStableFunc(found, func(a, b *Member[int]) int { return cmp.Compare(a.tier, b.tier) })
	for _, m := range found {
		ids = append(ids, m.ID)
	}
	return ids
}

// firstMembers returns the IDs of the first n members of a walk, or of all for a negative n.
func firstMembers(w *Walk[int], n int) (ids []uint64) {
	for i := 0; n < 0 || i < n; i++ {
		m := w.At(i)
		if m == nil {
			break
		}
		ids = append(ids, m.ID)
	}
	return ids
}

func TestEmptyRingAndSingleMember(t *testing.T) {
	r := newRing()
	w := Walk[int]{Ring: r, From: 7}
	if w.At(0) != nil || w.At(3) != nil || r.Len() != 0 {
		t.Fatal("an empty ring has a member")
	}
	m := &Member[int]{ID: 5}
	r.Place(m, 3, 0)
	if w.At(0) != nil {
		t.Fatal("a member is found before the commit")
	}
	r.Commit()
	if w.At(0) != m || w.At(1) != nil || r.Len() != 1 {
		t.Fatal("the walk does not consist of the one member")
	}
	r.Place(m, 0, 0)
	r.Commit()
	if w.At(0) != nil || r.Len() != 0 || r.pointCount != 0 {
		t.Fatal("a member that was removed is found")
	}
}

// After any changes, a walk that is used again finds what a new walk finds, also if it was only
// partly walked, or if members leave and join with the same ID or change their tier.
func TestWalksAcrossChangesEqualNewWalks(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		random := rand.New(rand.NewPCG(seed, 3))
		r := newRing()
		var members []*Member[int]
		next := uint64(1)
		walks := make([]*Walk[int], 12)
		for i := range walks {
			walks[i] = &Walk[int]{Ring: r, From: random.Uint64()}
		}
		for step := range 200 {
			for range random.IntN(3) {
				switch k := random.IntN(7); {
				case k < 2 || len(members) == 0:
					m := &Member[int]{ID: next}
					next++
					members = append(members, m)
					r.Place(m, 1+random.IntN(9), random.IntN(4)/3)
				case k == 2:
					i := random.IntN(len(members))
					r.Place(members[i], 0, 0)
					members = slices.Delete(members, i, i+1)
				case k == 3: // leaves and returns with the same ID within one commit
					i := random.IntN(len(members))
					r.Place(members[i], 0, 0)
					members[i] = &Member[int]{ID: members[i].ID}
					r.Place(members[i], 1+random.IntN(9), 0)
				case k == 4:
					m := members[random.IntN(len(members))]
					r.Place(m, 1+random.IntN(9), m.stagedTier)
				case k == 5: // placed twice before the commit
					m := members[random.IntN(len(members))]
					r.Place(m, 20, m.stagedTier)
					r.Place(m, 1+random.IntN(9), m.stagedTier)
				default:
					m := members[random.IntN(len(members))]
					r.Place(m, max(1, m.stagedPoints), random.IntN(3))
				}
			}
			r.Commit()
			if r.Len() != len(members) {
				t.Fatalf("seed %d, step %d: %d members, want %d", seed, step, r.Len(), len(members))
			}
			for _, w := range walks {
				n := random.IntN(len(members)+2) - 1 // -1: all
				want := referenceWalk(members, w.From)
				if n >= 0 {
					want = want[:min(n, len(want))]
				}
				if got := firstMembers(w, n); !slices.Equal(got, want) {
					t.Fatalf("seed %d, step %d: %d members from %x: got %v, want %v",
						seed, step, n, w.From, got, want)
				}
			}
		}
	}
}

func TestPositionsCompareInWalkOrder(t *testing.T) {
	r := newRing()
	for id := uint64(1); id <= 40; id++ {
		r.Place(&Member[int]{ID: id}, 5, int(id%3))
	}
	r.Commit()
	w := Walk[int]{Ring: r, From: 1 << 62}
	for i := 1; i < 40; i++ {
		a, b := w.At(i-1).Position(w.From), w.At(i).Position(w.From)
		if a.Compare(b) >= 0 || b.Compare(a) <= 0 || a.Compare(a) != 0 {
			t.Fatalf("the walk's members %d and %d compare as %+v and %+v", i-1, i, a, b)
		}
	}
}

// A walk that is asked for few members passes few points, whatever the size of the ring, and none
// again after a change of other points.
func TestWalkIsLazy(t *testing.T) {
	for _, members := range []int{36, 1000, 10000} {
		r, all := fullRing(members)
		w := Walk[int]{Ring: r, From: 99}
		w.At(1)
		if r.Visited > 40 {
			t.Errorf("%d members: a walk to the second member passed %d points", members, r.Visited)
		}
		unpassed := all[slices.IndexFunc(all, func(m *Member[int]) bool { return !r.hasPointPassedBy(m, &w) })]
		r.Place(unpassed, 0, 0)
		r.Commit()
		before := r.Visited
		w.At(1)
		if r.Visited != before {
			t.Errorf("%d members: after a change of other points the walk passed %d points again",
				members, r.Visited-before)
		}
		r.Place(w.At(0), 0, 0)
		removed, second := w.At(0), w.At(1)
		r.Commit()
		if w.At(0) == removed || w.At(0) != second {
			t.Errorf("%d members: the first member of the walk was removed and is still found", members)
		}
	}
}

// hasPointPassedBy reports whether a member has a point within the range that a walk has passed.
func (r *Ring[T]) hasPointPassedBy(m *Member[T], w *Walk[T]) bool {
	return m.firstPoint(w.From)-w.From <= w.reach
}

func TestShrinkingRingFreesBuckets(t *testing.T) {
	r, members := fullRing(1000)
	initial := len(r.buckets)
	for _, m := range members[2:] {
		r.Place(m, 0, 0)
		r.Commit()
	}
	if r.pointCount != 2*48 || len(r.buckets) > 96/minPointsPerBucket || len(r.buckets) >= initial {
		t.Errorf("%d points in %d buckets, initially %d buckets", r.pointCount, len(r.buckets), initial)
	}
	w := Walk[int]{Ring: r, From: 12345}
	if got, want := firstMembers(&w, -1), referenceWalk(members[:2], w.From); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// The memory of a ring is in proportion to its points, after any number of changes.
func TestReplacedMembersFreeMemory(t *testing.T) {
	r := newRing()
	var members []*Member[int]
	for round := range 3 {
		for _, m := range members {
			r.Place(m, 0, 0)
		}
		members = nil
		for i := range 2000 {
			m := &Member[int]{ID: uint64(round*2000 + i + 1)}
			members = append(members, m)
			r.Place(m, 48, 0)
		}
		r.Commit()
		capacity := 0
		for _, b := range r.buckets {
			capacity += cap(b)
		}
		if r.pointCount != 2000*48 || capacity > 4*2000*48 || r.Len() != 2000 {
			t.Fatalf("round %d: %d points, capacity for %d, %d members", round, r.pointCount, capacity, r.Len())
		}
	}
	w := Walk[int]{Ring: r, From: 12345}
	if got, want := firstMembers(&w, 50), referenceWalk(members, w.From)[:50]; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

func BenchmarkCommitOne(b *testing.B) {
	for _, members := range []int{36, 300, 1000, 4000} {
		b.Run(fmt.Sprint("members=", members), func(b *testing.B) {
			r, all := fullRing(members)
			next := uint64(members + 1)
			for i := 0; b.Loop(); i++ {
				r.Place(all[i%members], 0, 0)
				all[i%members] = &Member[int]{ID: next}
				next++
				r.Place(all[i%members], 48, 0)
				r.Commit()
			}
		})
	}
}
