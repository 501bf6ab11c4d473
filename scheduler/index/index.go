// Package index has the containers by which a step finds what it has to examine without examining all: a heap whose
// entries can move, a sorted list of numbers with its median, and the times within a window. They are kept as things
// change, so that a step costs by what changed. None has a lock or a clock.
package index

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// An Entry is a value's place in one heap. The zero value is in none. An entry is never in two heaps.
type Entry[K cmp.Ordered, V any] struct {
	Value V // of the caller
	key   K
	slot  int // index in the heap plus 1; 0: not in it
}

// Key returns the key under which the entry is in its heap, or was last.
func (e *Entry[K, V]) Key() K { return e.key }

// A Heap finds the entry with the lowest key. Which of several with one key comes first is not defined. The zero
// value is empty.
type Heap[K cmp.Ordered, V any] struct{ entries entries[K, V] }

// Len returns the number of entries.
func (h *Heap[K, V]) Len() int { return len(h.entries) }

// Min returns the entry with the lowest key, or nil.
func (h *Heap[K, V]) Min() *Entry[K, V] {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[0]
}

// Set puts an entry in, or moves the one that is in, under a key.
func (h *Heap[K, V]) Set(e *Entry[K, V], key K) {
	switch {
	case e.slot == 0:
		e.key = key
		heap.Push(&h.entries, e)
	case e.key != key:
		e.key = key
		heap.Fix(&h.entries, e.slot-1)
	}
}

// Remove takes an entry out, if it is in.
func (h *Heap[K, V]) Remove(e *Entry[K, V]) {
	if e.slot > 0 {
		heap.Remove(&h.entries, e.slot-1)
	}
}

// minShrinkCapacity is the capacity up to which a heap that has shrunk keeps its memory.
const minShrinkCapacity = 64

// entries implements heap.Interface, and keeps each entry's slot.
type entries[K cmp.Ordered, V any] []*Entry[K, V]

func (all entries[K, V]) Len() int           { return len(all) }
func (all entries[K, V]) Less(i, j int) bool { return cmp.Less(all[i].key, all[j].key) }

func (all entries[K, V]) Swap(i, j int) {
	all[i], all[j] = all[j], all[i]
	all[i].slot = i + 1
	all[j].slot = j + 1
}

func (all *entries[K, V]) Push(x any) {
	e := x.(*Entry[K, V])
	*all = append(*all, e)
	e.slot = len(*all)
}

func (all *entries[K, V]) Pop() any {
	last := len(*all) - 1
	e := (*all)[last]
	(*all)[last] = nil
	*all = (*all)[:last]
	if cap(*all) > minShrinkCapacity && last < cap(*all)/4 {
		*all = slices.Clip(slices.Clone(*all))
	}
	e.slot = 0
	return e
}

// SortedFloats are a sorted list of numbers, of which some may be equal. The zero value is empty.
type SortedFloats struct{ sorted []float64 }

// Len returns how many there are.
func (n *SortedFloats) Len() int { return len(n.sorted) }

// Add puts a number in.
func (n *SortedFloats) Add(x float64) {
	i, _ := slices.BinarySearch(n.sorted, x)
	n.sorted = slices.Insert(n.sorted, i, x)
}

// Remove takes one number of this value out, if there is one.
func (n *SortedFloats) Remove(x float64) {
	if i, found := slices.BinarySearch(n.sorted, x); found {
		n.sorted = slices.Delete(n.sorted, i, i+1)
	}
}

// Median returns the middle one, of an even count the higher of both, or otherwise if there are none.
func (n *SortedFloats) Median(otherwise float64) float64 {
	if len(n.sorted) == 0 {
		return otherwise
	}
	return n.sorted[len(n.sorted)/2]
}

// SortedTimes are a sorted list of times that mostly grows at its end and is forgotten from its beginning. The zero value
// is empty.
type SortedTimes struct {
	sorted []time.Duration
	start  int // the first that is not forgotten
}

// Len returns how many there are.
func (t *SortedTimes) Len() int { return len(t.sorted) - t.start }

// All returns a copy of them, the earliest first.
func (t *SortedTimes) All() []time.Duration { return slices.Clone(t.sorted[t.start:]) }

// Add puts times in.
func (t *SortedTimes) Add(times ...time.Duration) {
	for _, at := range times {
		i := len(t.sorted)
		if i > t.start && t.sorted[i-1] > at {
			i, _ = slices.BinarySearch(t.sorted[t.start:], at)
			i += t.start
		}
		t.sorted = slices.Insert(t.sorted, i, at)
	}
}

// ForgetBefore takes all out that are earlier.
func (t *SortedTimes) ForgetBefore(at time.Duration) {
	for t.start < len(t.sorted) && t.sorted[t.start] < at {
		t.start++
	}
	if t.start > len(t.sorted)/2 {
		t.sorted = slices.Delete(t.sorted, 0, t.start)
		t.start = 0
	}
}
