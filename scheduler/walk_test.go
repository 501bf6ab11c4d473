package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A walk visits avoided workers last, the lowest rank at the very end, and otherwise keeps its
// order.
func TestWalkGoesByRank(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2, 3, 4, 5, 6, 7, 8)...)
	q := d.queues.getOrCreate(7)
	if q.worker(0) == nil || q.worker(1) == nil { // begins a walk without completing it
		t.Fatal("the walk has no workers")
	}
	plain := walk(d, q)
	d.Step(2*time.Second, []Event{WorkerRank{Worker: plain[0].ID, Rank: -2, Until: 4 * time.Second},
		WorkerRank{Worker: plain[2].ID, Rank: -1, Until: 5 * time.Second}})
	want := append(slices.Clone(plain[1:2]), plain[3:]...)
	want = append(want, plain[2], plain[0])
	if got := walk(d, q); !slices.Equal(got, want) {
		t.Errorf("the walk does not end with the avoided workers, in order of rank")
	}
	d.Step(4*time.Second, nil)
	if got := walk(d, q); got[0] != plain[0] || got[7] != plain[2] {
		t.Errorf("the advice on one worker did not expire, or that on the other expired with it")
	}
	d.Step(5*time.Second, nil)
	if !slices.Equal(walk(d, q), plain) {
		t.Error("the walk differs from the first one after all advice has expired")
	}
}

// Once narrowed, the candidates are the remaining workers that have a placement, in the order of
// the walk.
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
		from, visited := random.IntN(len(d.listed)), 1+random.IntN(len(d.listed))
		whole := walk(d, q)
		whole = append(slices.Clone(whole[from:]), whole[:from]...)
		var want []*worker
		for i, w := range whole {
			if i < visited || q.placements[w] != nil {
				want = append(want, w)
			}
		}
		var got []*worker
		narrow := false
		for w := range d.candidates(q, from, &narrow) {
			got = append(got, w)
			narrow = len(got) >= visited
		}
		if !slices.Equal(got, want) {
			t.Fatalf("%d workers, start at %d, narrowed after %d: %d candidates, want %d, or another order",
				len(ids), from, visited, len(got), len(want))
		}
	}
}
