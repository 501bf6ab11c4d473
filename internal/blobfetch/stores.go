package blobfetch

import (
	"math"
	"time"
)

// Stores are the stores to fetch from, in order of preference, with the state that all fetches
// share. Plans of the same Stores must not be used concurrently.
type Stores struct {
	settings Settings
	list     []*Store
}

// A Store is the state of one store.
type Store struct {
	Name        string        // host:port
	failures    int           // failures in a row
	corruptions int           // corrupt blobs sent in total
	availableAt time.Duration // end of the current backoff
}

// NewStores returns the given stores in their initial state: available, and without failures.
func NewStores(settings Settings, names []string) *Stores {
	s := &Stores{settings: settings}
	for _, name := range names {
		s.list = append(s.list, &Store{Name: name})
	}
	return s
}

func (s *Stores) find(name string) *Store {
	for _, store := range s.list {
		if store.Name == name {
			return store
		}
	}
	return nil
}

// backOff makes a store unavailable for a backoff that doubles with the number of times it was
// applied, from base up to Settings.MaxBackoff. jitter, from 0 to 1, scales the backoff between
// half and all of it.
func (s *Stores) backOff(store *Store, now, base time.Duration, times int, jitter float64) {
	const maxDoublings = 30 // avoids overflow
	backoff := float64(base) * math.Pow(2, float64(min(times, maxDoublings)))
	backoff = min(float64(s.settings.MaxBackoff), backoff)
	store.availableAt = max(store.availableAt, now+time.Duration(backoff*(0.5+jitter/2)))
}

// recordFailure backs off from a store whose request failed.
func (s *Stores) recordFailure(name string, now time.Duration, jitter float64) {
	if store := s.find(name); store != nil {
		s.backOff(store, now, s.settings.MinBackoff, store.failures, jitter)
		store.failures++
	}
}

// recordCorruption backs off from a store that sent a corrupt blob or a wrong length. A later
// success does not shorten this backoff.
func (s *Stores) recordCorruption(name string, now time.Duration, jitter float64) {
	if store := s.find(name); store != nil {
		s.backOff(store, now, s.settings.CorruptBackoff, store.corruptions, jitter)
		store.corruptions++
	}
}

// recordSuccess resets the failures in a row of a store that completed a fetch with a matching
// digest.
func (s *Stores) recordSuccess(name string) {
	if store := s.find(name); store != nil {
		store.failures = 0
	}
}
