package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A walk finds what sorting all points finds, in any order of ranks.
func TestWalkGoesByRank(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2, 3, 4, 5, 6, 7, 8)...)
	q := d.queues.getOrCreate(7)
	if q.worker(0) == nil || q.worker(1) == nil { // half of a walk
		t.Fatal("no walk")
	}
	plain := walk(d, q)
	d.Step(2*time.Second, []Event{WorkerRank{Worker: plain[0].ID, Rank: -2, Until: 4 * time.Second},
		WorkerRank{Worker: plain[2].ID, Rank: -1, Until: 5 * time.Second}})
	want := append(slices.Clone(plain[1:2]), plain[3:]...)
	want = append(want, plain[2], plain[0])
	if got := walk(d, q); !slices.Equal(got, want) {
		t.Errorf("the walk does not begin with those that nothing is said of")
	}
	d.Step(4*time.Second, nil)
	if got := walk(d, q); got[0] != plain[0] || got[7] != plain[2] {
		t.Errorf("advice that ended for one worker did not end, or ended for another")
	}
	d.Step(5*time.Second, nil)
	if !slices.Equal(walk(d, q), plain) {
		t.Error("the walk is not what it was once the advice has ended")
	}
}

// Candidates are, once narrowed, the workers of which something is known, in the order of the whole walk from the
// same place on.
func TestNarrowedCandidatesAreThoseWithAPlacement(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		var ids []WorkerID
		for id := WorkerID(1); int(id) <= 1+random.IntN(30); id++ {
			ids = append(ids, id)
		}
		d := start(t, testSettings(), ready(ids...)...)
		q := d.queues.getOrCreate(FunctionID(1 + random.IntN(1000)))
		for _, w := range d.listed {
			if random.IntN(3) == 0 {
				q.placement(w)
			}
		}
		from, looked := random.IntN(len(d.listed)), 1+random.IntN(len(d.listed))
		whole := walk(d, q)
		whole = append(slices.Clone(whole[from:]), whole[:from]...)
		var want []*worker
		for i, w := range whole {
			if i < looked || q.placements[w] != nil {
				want = append(want, w)
			}
		}
		var got []*worker
		narrow := false
		for w := range d.candidates(q, from, &narrow) {
			got = append(got, w)
			narrow = len(got) >= looked
		}
		if !slices.Equal(got, want) {
			t.Fatalf("%d workers from %d, narrowed after %d: %d candidates, want %d", len(ids), from, looked,
				len(got), len(want))
		}
	}
}
