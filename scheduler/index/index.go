// Package index has the containers by which a step finds what it has to look at without looking at all: a heap whose entries can
// move, a sorted list of numbers with its median, and the times within a window. None has a lock or a clock.
package index

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// An Entry is a value's place in one heap. The zero value is in none.
type Entry[K cmp.Ordered, V any] struct {
	Value V
	key   K
	place int // in the heap, from 1; 0: not in it
}

// Key returns the key under which the entry stands, or stood last.
func (e *Entry[K, V]) Key() K { return e.key }

// A Heap finds the entry with the lowest key. Which of several with one key comes first is not defined. The zero value is empty.
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
	case e.place == 0:
		e.key = key
		heap.Push(&h.entries, e)
	case e.key != key:
		e.key = key
		heap.Fix(&h.entries, e.place-1)
	}
}

// Remove takes an entry out, if it is in.
func (h *Heap[K, V]) Remove(e *Entry[K, V]) {
	if e.place > 0 {
		heap.Remove(&h.entries, e.place-1)
	}
}

// leastKept is the capacity below which a heap that has shrunk keeps its memory.
const leastKept = 64

// entries implements heap.Interface.
type entries[K cmp.Ordered, V any] []*Entry[K, V]

func (s entries[K, V]) Len() int           { return len(s) }
func (s entries[K, V]) Less(i, j int) bool { return cmp.Less(s[i].key, s[j].key) }

func (s entries[K, V]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].place, s[j].place = i+1, j+1
}

func (s *entries[K, V]) Push(x any) {
	e := x.(*Entry[K, V])
	*s = append(*s, e)
	e.place = len(*s)
}

func (s *entries[K, V]) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	if cap(*s) > leastKept && last < cap(*s)/4 {
		*s = slices.Clip(slices.Clone(*s))
	}
	e.place = 0
	return e
}

// Numbers are a sorted list, some of them equal. The zero value is empty.
type Numbers struct{ sorted []float64 }

// Len returns how many there are.
func (n *Numbers) Len() int { return len(n.sorted) }

// Add puts a number in.
func (n *Numbers) Add(x float64) {
	i, _ := slices.BinarySearch(n.sorted, x)
	n.sorted = slices.Insert(n.sorted, i, x)
}

// Remove takes one number of this value out, if there is one.
func (n *Numbers) Remove(x float64) {
	if i, found := slices.BinarySearch(n.sorted, x); found {
		n.sorted = slices.Delete(n.sorted, i, i+1)
	}
}

// Median returns the middle one, of an even number the higher of both, or otherwise where there is none.
func (n *Numbers) Median(otherwise float64) float64 {
	if len(n.sorted) == 0 {
		return otherwise
	}
	return n.sorted[len(n.sorted)/2]
}

// Times are a sorted list of times that grows at its end, mostly, and is forgotten from its begin. The zero value is empty.
type Times struct {
	sorted []time.Duration
	first  int // of them that is not forgotten
}

// Len returns how many there are.
func (t *Times) Len() int { return len(t.sorted) - t.first }

// All returns a copy of them, the earliest first.
func (t *Times) All() []time.Duration { return slices.Clone(t.sorted[t.first:]) }

// Add puts times in.
func (t *Times) Add(times ...time.Duration) {
	for _, at := range times {
		i := len(t.sorted)
		if i > t.first && t.sorted[i-1] > at {
			i, _ = slices.BinarySearch(t.sorted[t.first:], at)
			i += t.first
		}
		t.sorted = slices.Insert(t.sorted, i, at)
	}
}

// ForgetBefore takes all out that are earlier.
func (t *Times) ForgetBefore(at time.Duration) {
	for t.first < len(t.sorted) && t.sorted[t.first] < at {
		t.first++
	}
	if t.first > len(t.sorted)/2 {
		t.sorted = slices.Delete(t.sorted, 0, t.first)
		t.first = 0
	}
}
