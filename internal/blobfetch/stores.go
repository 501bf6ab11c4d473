package blobfetch

import (
	"math"
	"time"
)

// Stores are the stores that may be asked, in the order of preference, with what is known of each over all fetches.
// Plans of the same Stores must not be used concurrently.
type Stores struct {
	settings Settings
	list     []*Store
}

// A Store is what is known of one store.
type Store struct {
	Name        string        // host:port
	failures    int           // in a row
	blames      int           // in all
	availableAt time.Duration // not asked before
}

// NewStores returns stores of which nothing is known.
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

// backOff keeps a store from being asked for a time that doubles each time, from first to Settings.Longest. Half of
// it is jitter, by draw, which is from 0 to 1.
func (s *Stores) backOff(store *Store, now, first time.Duration, times int, draw float64) {
	const maxDoublings = 30 // against overflow
	backoff := float64(first) * math.Pow(2, float64(min(times, maxDoublings)))
	backoff = min(float64(s.settings.MaxBackoff), backoff)
	store.availableAt = max(store.availableAt, now+time.Duration(backoff*(0.5+draw/2)))
}

// failed backs off from a store whose request failed.
func (s *Stores) failed(name string, now time.Duration, draw float64) {
	if store := s.find(name); store != nil {
		s.backOff(store, now, s.settings.MinBackoff, store.failures, draw)
		store.failures++
	}
}

// blame backs off from a store that gave wrong bytes. Only time ends that: no good answer does.
func (s *Stores) blame(name string, now time.Duration, draw float64) {
	if store := s.find(name); store != nil {
		s.backOff(store, now, s.settings.CorruptBackoff, store.blames, draw)
		store.blames++
	}
}

// good notes that a store completed a fetch whose bytes are right.
func (s *Stores) good(name string) {
	if store := s.find(name); store != nil {
		store.failures = 0
	}
}
