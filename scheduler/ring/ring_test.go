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

func place(id uint64, i int) uint64 { return mix(mix(id) + uint64(i)) }

func newRing() *Ring[int] { return &Ring[int]{Hash: place} }

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

// plainWalk is what a walk has to find, the slow way: all points sorted, each member at its first.
func plainWalk(members []*Member[int], from uint64) (ids []uint64) {
	var all []point[int]
	for _, m := range members {
		for i := range m.points {
			all = append(all, point[int]{place(m.ID, i), m})
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

func taken(w *Walk[int], n int) (ids []uint64) {
	for i := 0; n < 0 || i < n; i++ {
		m := w.At(i)
		if m == nil {
			break
		}
		ids = append(ids, m.ID)
	}
	return ids
}

func TestEmptyAndOne(t *testing.T) {
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
		t.Fatal("the one member is not all of the walk")
	}
	r.Place(m, 0, 0)
	r.Commit()
	if w.At(0) != nil || r.Len() != 0 || r.pointCount != 0 {
		t.Fatal("a member that left is found")
	}
}

// Whatever changes, walks that are kept find what a walk laid out anew finds; also those that were half done, and
// where members
// go and come under one ID, or change their tier.
func TestWalksFollowChanges(t *testing.T) {
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
				case k == 3: // goes and returns under one ID, within one commit
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
				want := plainWalk(members, w.From)
				if n >= 0 {
					want = want[:min(n, len(want))]
				}
				if got := taken(w, n); !slices.Equal(got, want) {
					t.Fatalf("seed %d, step %d: %d members from %x: %v, want %v", seed, step, n, w.From, got, want)
				}
			}
		}
	}
}

// Position compares as the walk orders.
func TestPosition(t *testing.T) {
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

// A walk asked for few passes few points, whatever the ring's size; a change elsewhere costs it nothing.
func TestWalkIsLazy(t *testing.T) {
	for _, members := range []int{36, 1000, 10000} {
		r, all := fullRing(members)
		w := Walk[int]{Ring: r, From: 99}
		w.At(1)
		if r.Visited > 40 {
			t.Errorf("%d members: two of a walk passed %d points", members, r.Visited)
		}
		far := all[slices.IndexFunc(all, func(m *Member[int]) bool { return !r.touchedBy(m, &w) })]
		r.Place(far, 0, 0)
		r.Commit()
		before := r.Visited
		w.At(1)
		if r.Visited != before {
			t.Errorf("%d members: a change elsewhere had the walk pass %d points again", members, r.Visited-before)
		}
		r.Place(w.At(0), 0, 0)
		gone, second := w.At(0), w.At(1)
		r.Commit()
		if w.At(0) == gone || w.At(0) != second {
			t.Errorf("%d members: the first left and is still found", members)
		}
	}
}

// touchedBy tells whether a member has a point within what a walk has passed.
func (r *Ring[T]) touchedBy(m *Member[T], w *Walk[T]) bool {
	return m.firstPoint(w.From)-w.From <= w.reach
}

// A ring that shrinks gives its buckets back.
func TestShrinks(t *testing.T) {
	r, members := fullRing(1000)
	large := len(r.buckets)
	for _, m := range members[2:] {
		r.Place(m, 0, 0)
		r.Commit()
	}
	if r.pointCount != 2*48 || len(r.buckets) > 96/minPerBucket || len(r.buckets) >= large {
		t.Errorf("%d points in %d buckets, %d at first", r.pointCount, len(r.buckets), large)
	}
	w := Walk[int]{Ring: r, From: 12345}
	if got, want := taken(&w, -1), plainWalk(members[:2], w.From); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// The memory of a ring is that of its points, after any number of changes.
func TestWhollyReplaced(t *testing.T) {
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
		room := 0
		for _, b := range r.buckets {
			room += cap(b)
		}
		if r.pointCount != 2000*48 || room > 4*2000*48 || r.Len() != 2000 {
			t.Fatalf("round %d: %d points, room for %d, %d members", round, r.pointCount, room, r.Len())
		}
	}
	w := Walk[int]{Ring: r, From: 12345}
	if got, want := taken(&w, 50), plainWalk(members, w.From)[:50]; !slices.Equal(got, want) {
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
