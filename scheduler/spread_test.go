package scheduler

import "testing"

// The spread increases with the number of requests in flight if responses are slow, and decreases
// otherwise.
func TestSpreadFollowsRequestsInFlight(t *testing.T) {
	for _, tt := range []struct {
		name           string
		before         float64
		othersInFlight int
		slow, shared   bool
		want           float64
	}{
		{"slow, more requests than lanes: in proportion", 1, 3, true, true, 2},
		{"slow, many requests: fourfold at most", 1, 99, true, true, 4},
		{"slow, many requests: all workers at most", 4, 99, true, true, 10},
		{"slow, no more requests than lanes: unchanged", 2, 1, true, true, 2},
		{"slow, but few controllers: unchanged", 2, 9, true, false, 2},
		{"not slow: reduced by a twentieth", 2, 9, false, true, 1.9},
		{"not slow, home alone: unchanged", 1, 0, false, true, 1},
	} {
		s := spread{workers: tt.before}
		s.observe(tt.othersInFlight, 2, tt.slow, tt.shared, 10)
		if s.workers != tt.want {
			t.Errorf("%s: %v workers, want %v", tt.name, s.workers, tt.want)
		}
	}
}

// Requests are distributed evenly over the workers of the spread.
func TestSpreadStartsRequestsEvenly(t *testing.T) {
	s := spread{workers: 3}
	starts := map[int]int{}
	for id := range RequestID(3000) {
		starts[s.startIndex(id, 8)]++
	}
	if len(starts) != 3 || starts[0] < 900 || starts[1] < 900 || starts[2] < 900 {
		t.Errorf("starts %v, want each of three workers about 1000 times", starts)
	}
	for id := range RequestID(100) {
		if at := s.startIndex(id, 1); at != 0 {
			t.Fatalf("start index %d with one worker, want 0", at)
		}
		if at := s.startIndex(id, 0); at != 0 {
			t.Fatalf("start index %d without workers, want 0", at)
		}
	}
}
