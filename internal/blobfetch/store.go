package blobfetch

import (
	"math"
	"time"
)

// Settings bound a fetch. All must be above 0.
type Settings struct {
	Tries   int           // requests of one fetch, to all stores together
	Pause   time.Duration // backoff of a store after its first failure; doubled at each further one in a row
	Longest time.Duration // backoff at most
	Blame   time.Duration // how long a store that sent wrong bytes is avoided, for all digests; doubled each time
}

// A store is what is known of one store, over all fetches.
type store struct {
	name      string
	failures  int           // in a row
	blames    int           // in all
	notBefore time.Duration // no request is sent to it before
}

// Stores are those that may be asked, in the order of preference. They are not safe for concurrent use; the Plans of
// several fetches may share them.
type Stores struct {
	settings Settings
	stores   []*store
}

// NewStores returns stores of which nothing is known.
func NewStores(settings Settings, names []string) *Stores {
	s := &Stores{settings: settings}
	for _, name := range names {
		s.stores = append(s.stores, &store{name: name})
	}
	return s
}

func (s *Stores) find(name string) *store {
	for _, candidate := range s.stores {
		if candidate.name == name {
			return candidate
		}
	}
	return nil
}

const maxDoublings = 30 // of a backoff, which is at its maximum long before

// backOff keeps requests from a store for a time that doubles with each failure before, and of which the draw, from 0
// to 1, spreads the second half over many workers.
func (s *Stores) backOff(avoided *store, now, first time.Duration, before int, draw float64) {
	doubled := float64(first) * math.Pow(2, float64(min(before, maxDoublings)))
	wait := min(float64(s.settings.Longest), doubled)
	avoided.notBefore = max(avoided.notBefore, now+time.Duration(wait*(0.5+draw/2)))
}

// failed notes a request that a store did not answer well.
func (s *Stores) failed(name string, now time.Duration, draw float64) {
	if store := s.find(name); store != nil {
		s.backOff(store, now, s.settings.Pause, store.failures, draw)
		store.failures++
	}
}

// blame notes a store that sent wrong bytes. A good answer does not make up for it; only time does.
func (s *Stores) blame(name string, now time.Duration, draw float64) {
	if store := s.find(name); store != nil {
		s.backOff(store, now, s.settings.Blame, store.blames, draw)
		store.blames++
	}
}

// succeeded notes a store that completed a fetch.
func (s *Stores) succeeded(name string) {
	if store := s.find(name); store != nil {
		store.failures = 0
	}
}
