// Package index has the containers by which a step of the scheduler finds what it has to examine
// without examining everything: a heap whose entries can change their keys, a sorted list of
// numbers with its median, and a sorted list of times for sliding windows. They are updated with
// each change, so that the cost of a step grows with what has changed. None of them has a lock or a
// clock.
package index

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// An Entry is a value's position in a heap. The zero value is in no heap. An entry must not be in
// two heaps at a time.
type Entry[K cmp.Ordered, V any] struct {
	Value V // set by the caller
	key   K
	slot  int // index in the heap plus 1; 0: not in it
}

// Key returns the key of the entry in its heap, or the last one that it had.
func (e *Entry[K, V]) Key() K { return e.key }

// A Heap finds the entry with the lowest key. The order of entries with equal keys is not defined.
// The zero value is empty.
type Heap[K cmp.Ordered, V any] struct{ entries entries[K, V] }

// Len returns the number of entries.
func (h *Heap[K, V]) Len() int { return len(h.entries) }

// Min returns the entry with the lowest key, or nil if the heap is empty.
func (h *Heap[K, V]) Min() *Entry[K, V] {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[0]
}

// Set adds an entry with a key, or changes the key of an entry that is in the heap.
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

// Remove removes an entry if it is in the heap.
func (h *Heap[K, V]) Remove(e *Entry[K, V]) {
	if e.slot > 0 {
		heap.Remove(&h.entries, e.slot-1)
	}
}

// minShrinkCapacity is the capacity up to which a heap keeps its memory when entries are removed.
const minShrinkCapacity = 64

// entries implements heap.Interface and keeps the slot of each entry up to date.
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

// SortedFloats is a sorted list of numbers, which may contain duplicates. The zero value is empty.
type SortedFloats struct{ sorted []float64 }

// Len returns the number of elements.
func (n *SortedFloats) Len() int { return len(n.sorted) }

// Add inserts a number.
func (n *SortedFloats) Add(x float64) {
	i, _ := slices.BinarySearch(n.sorted, x)
	n.sorted = slices.Insert(n.sorted, i, x)
}

// Remove removes one number of this value, if there is one.
func (n *SortedFloats) Remove(x float64) {
	if i, found := slices.BinarySearch(n.sorted, x); found {
		n.sorted = slices.Delete(n.sorted, i, i+1)
	}
}

// Median returns the median, for an even count the higher of the two middle numbers. If the list is
// empty, it returns the fallback.
func (n *SortedFloats) Median(fallback float64) float64 {
	if len(n.sorted) == 0 {
		return fallback
	}
	return n.sorted[len(n.sorted)/2]
}

// SortedTimes is a sorted list of times, to which most are appended in order and from which the
// earliest are removed. The zero value is empty.
type SortedTimes struct {
	sorted []time.Duration
	start  int // index of the first element; those before it have been removed
}

// Len returns the number of elements.
func (t *SortedTimes) Len() int { return len(t.sorted) - t.start }

// All returns a copy of the elements, the earliest first.
func (t *SortedTimes) All() []time.Duration { return slices.Clone(t.sorted[t.start:]) }

// Add inserts times.
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

// ForgetBefore removes all times before the given one.
func (t *SortedTimes) ForgetBefore(at time.Duration) {
	for t.start < len(t.sorted) && t.sorted[t.start] < at {
		t.start++
	}
	if t.start > len(t.sorted)/2 {
		t.sorted = slices.Delete(t.sorted, 0, t.start)
		t.start = 0
	}
}
