package index

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The heap returns entries in the order of their keys, whichever of them were added, removed, or
// given a lower, higher or maximal key.
func TestHeapAgainstSort(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		random := rand.New(rand.NewPCG(seed, 1))
		var h Heap[int, int]
		all := make([]Entry[int, int], 200)
		in := map[int]int{} // keys
		for i := range all {
			all[i].Value = i
		}
		for range 2000 {
			i := random.IntN(len(all))
			if random.IntN(3) == 0 {
				h.Remove(&all[i])
				delete(in, i)
			} else {
				key := random.IntN(40)
				if random.IntN(20) == 0 {
					key = math.MaxInt
				}
				h.Set(&all[i], key)
				in[i] = key
			}
			lowest := math.MaxInt
			for _, k := range in {
				lowest = min(lowest, k)
			}
			if m := h.Min(); h.Len() != len(in) || len(in) == 0 != (m == nil) || m != nil &&
				(m.Key() != lowest || in[m.Value] != lowest) {
				t.Fatalf("seed %d: the lowest of %d entries is %+v, want key %d", seed, len(in), m, lowest)
			}
		}
		last := math.MinInt
		for h.Len() > 0 {
			m := h.Min()
			if m.Key() < last || in[m.Value] != m.Key() {
				t.Fatalf("seed %d: entry %d has key %d after %d, want key %d",
					seed, m.Value, m.Key(), last, in[m.Value])
			}
			last = m.Key()
			h.Remove(m)
			delete(in, m.Value)
		}
		if len(in) > 0 || h.Min() != nil {
			t.Fatalf("seed %d: %d entries were never returned", seed, len(in))
		}
	}
}

func TestHeapFreesMemory(t *testing.T) {
	var h Heap[int, int]
	all := make([]Entry[int, int], 100000)
	for i := range all {
		h.Set(&all[i], -i)
	}
	for i := range all {
		h.Remove(&all[i])
	}
	if c := cap(h.entries); h.Len() != 0 || c > minShrinkCapacity {
		t.Errorf("an empty heap has a capacity of %d after 100,000 entries", c)
	}
}

func TestMedianAgainstSort(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		random := rand.New(rand.NewPCG(seed, 2))
		var n SortedFloats
		var reference []float64
		if n.Median(7) != 7 {
			t.Fatal("the median of an empty list is not the fallback")
		}
		for range 1000 {
			x := float64(random.IntN(30)) / 7
			if i := slices.Index(reference, x); i >= 0 && random.IntN(2) == 0 {
				n.Remove(x)
				reference = slices.Delete(reference, i, i+1)
			} else {
				n.Add(x)
				reference = append(reference, x)
			}
			n.Remove(99) // not in the list
			slices.Sort(reference)
			want := -1.0
			if len(reference) > 0 {
				want = reference[len(reference)/2]
			}
			if got := n.Median(-1); got != want || n.Len() != len(reference) {
				t.Fatalf("seed %d: median of %d is %v, want %v", seed, n.Len(), got, want)
			}
		}
	}
}

// The list holds the times that were added, sorted, except those that were removed as too early.
func TestSortedTimesAgainstSort(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		random := rand.New(rand.NewPCG(seed, 3))
		var times SortedTimes
		var reference []time.Duration
		for now := time.Duration(0); now < 2000; now += time.Duration(random.IntN(3)) {
			at := now
			if random.IntN(10) == 0 {
				at = time.Duration(random.IntN(2100)) // out of order: earlier or later
			}
			times.Add(at)
			reference = append(reference, at)
			if random.IntN(4) == 0 {
				from := now - 50
				times.ForgetBefore(from)
				reference = slices.DeleteFunc(reference, func(at time.Duration) bool { return at < from })
			}
			slices.Sort(reference)
			if times.Len() != len(reference) || !slices.Equal(times.All(), reference) {
				t.Fatalf("seed %d: %v, want %v", seed, times.All(), reference)
			}
		}
		if cap(times.sorted) > 1000 {
			t.Errorf("seed %d: a capacity of %d is kept for %d times", seed, cap(times.sorted), times.Len())
		}
	}
}
