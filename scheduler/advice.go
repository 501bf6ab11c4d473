package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// adviceList holds the advice of operators' scripts on functions or workers: one entry for each
// function or worker, until the entry expires. Advice only chooses among permitted actions: it
// never sends to a draining worker or exceeds the load budget.
type adviceList[T any] struct {
	entries []T // sorted by ID
	id      func(T) uint64
	until   func(T) time.Duration
}

// set replaces the entry that has the same ID. Without keep it only removes that entry.
func (l *adviceList[T]) set(entry T, keep bool) {
	i, found := l.search(l.id(entry))
	if found {
		l.entries = slices.Delete(l.entries, i, i+1)
	}
	if keep {
		l.entries = slices.Insert(l.entries, i, entry)
	}
}

// expire removes the entries that have expired, and reports whether there were any.
func (l *adviceList[T]) expire(now time.Duration) bool {
	before := len(l.entries)
	l.entries = slices.DeleteFunc(l.entries, func(entry T) bool { return l.until(entry) <= now })
	return len(l.entries) < before
}

// find returns the entry with an ID.
func (l *adviceList[T]) find(id uint64) (entry T, found bool) {
	i, found := l.search(id)
	if found {
		entry = l.entries[i]
	}
	return entry, found
}

// search returns the index of the entry with an ID, or the index at which to insert it.
func (l *adviceList[T]) search(id uint64) (int, bool) {
	return slices.BinarySearchFunc(l.entries, id, func(entry T, id uint64) int {
		return cmp.Compare(l.id(entry), id)
	})
}

// newDesiredCopies returns an empty list of advice on the copies of functions.
func newDesiredCopies() adviceList[DesiredCopies] {
	return adviceList[DesiredCopies]{
		id:    func(desired DesiredCopies) uint64 { return uint64(desired.Function) },
		until: func(desired DesiredCopies) time.Duration { return desired.Until },
	}
}

// newWorkerRanks returns an empty list of advice on workers.
func newWorkerRanks() adviceList[WorkerRank] {
	return adviceList[WorkerRank]{
		id:    func(rank WorkerRank) uint64 { return uint64(rank.Worker) },
		until: func(rank WorkerRank) time.Duration { return rank.Until },
	}
}
