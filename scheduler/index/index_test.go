package index

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Entries come in the order of their keys, whichever were added, moved earlier, later or to never, or taken out.
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
			least := math.MaxInt
			for _, k := range in {
				least = min(least, k)
			}
			if m := h.Min(); h.Len() != len(in) || len(in) == 0 != (m == nil) || m != nil &&
				(m.Key() != least || in[m.Value] != least) {
				t.Fatalf("seed %d: the least of %d is %+v, want key %d", seed, len(in), m, least)
			}
		}
		last := math.MinInt
		for h.Len() > 0 {
			m := h.Min()
			if m.Key() < last || in[m.Value] != m.Key() {
				t.Fatalf("seed %d: %d under key %d after %d, want key %d", seed, m.Value, m.Key(), last, in[m.Value])
			}
			last = m.Key()
			h.Remove(m)
			delete(in, m.Value)
		}
		if len(in) > 0 || h.Min() != nil {
			t.Fatalf("seed %d: %d entries never came", seed, len(in))
		}
	}
}

func TestHeapGivesMemoryBack(t *testing.T) {
	var h Heap[int, int]
	all := make([]Entry[int, int], 100000)
	for i := range all {
		h.Set(&all[i], -i)
	}
	for i := range all {
		h.Remove(&all[i])
	}
	if c := cap(h.entries); h.Len() != 0 || c > minShrinkCapacity {
		t.Errorf("an empty heap keeps room for %d of 100,000 entries", c)
	}
}

func TestMedian(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		random := rand.New(rand.NewPCG(seed, 2))
		var n SortedFloats
		var plain []float64
		if n.Median(7) != 7 {
			t.Fatal("the median of none is not what was asked for")
		}
		for range 1000 {
			x := float64(random.IntN(30)) / 7
			if i := slices.Index(plain, x); i >= 0 && random.IntN(2) == 0 {
				n.Remove(x)
				plain = slices.Delete(plain, i, i+1)
			} else {
				n.Add(x)
				plain = append(plain, x)
			}
			n.Remove(99) // not there
			slices.Sort(plain)
			want := -1.0
			if len(plain) > 0 {
				want = plain[len(plain)/2]
			}
			if got := n.Median(-1); got != want || n.Len() != len(plain) {
				t.Fatalf("seed %d: median of %d is %v, want %v", seed, n.Len(), got, want)
			}
		}
	}
}

// Times come out as they went in, sorted, but for those that were forgotten.
func TestTimesAgainstSort(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		random := rand.New(rand.NewPCG(seed, 3))
		var times SortedTimes
		var plain []time.Duration
		for now := time.Duration(0); now < 2000; now += time.Duration(random.IntN(3)) {
			at := now
			if random.IntN(10) == 0 {
				at = time.Duration(random.IntN(2100)) // from elsewhere: earlier or later
			}
			times.Add(at)
			plain = append(plain, at)
			if random.IntN(4) == 0 {
				from := now - 50
				times.ForgetBefore(from)
				plain = slices.DeleteFunc(plain, func(at time.Duration) bool { return at < from })
			}
			slices.Sort(plain)
			if times.Len() != len(plain) || !slices.Equal(times.All(), plain) {
				t.Fatalf("seed %d: %v, want %v", seed, times.All(), plain)
			}
		}
		if cap(times.sorted) > 1000 {
			t.Errorf("seed %d: room for %d times is kept for %d", seed, cap(times.sorted), times.Len())
		}
	}
}
