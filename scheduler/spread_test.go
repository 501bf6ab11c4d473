package scheduler

import "testing"

func TestSpreadFollowsCrowding(t *testing.T) {
	for _, tt := range []struct {
		name         string
		before       float64
		met          int
		slow, shared bool
		want         float64
	}{
		{"slow among more than its lanes: by the excess", 1, 3, true, true, 2},
		{"slow among very many: fourfold at most", 1, 99, true, true, 4},
		{"slow among very many: over all workers at most", 4, 99, true, true, 10},
		{"slow among no more than its lanes: unchanged", 2, 1, true, true, 2},
		{"slow, but few controllers: unchanged", 2, 9, true, false, 2},
		{"not slow: a twentieth less", 2, 9, false, true, 1.9},
		{"not slow at home alone: unchanged", 1, 0, false, true, 1},
	} {
		s := spread{workers: tt.before}
		s.observe(tt.met, 2, tt.slow, tt.shared, 10)
		if s.workers != tt.want {
			t.Errorf("%s: %v workers, want %v", tt.name, s.workers, tt.want)
		}
	}
}

func TestSpreadStartsRequestsEvenly(t *testing.T) {
	s := spread{workers: 3}
	starts := map[int]int{}
	for id := range RequestID(3000) {
		starts[s.start(id, 8)]++
	}
	if len(starts) != 3 || starts[0] < 900 || starts[1] < 900 || starts[2] < 900 {
		t.Errorf("starts %v, want each of three places a thousand times or so", starts)
	}
	for id := range RequestID(100) {
		if at := s.start(id, 1); at != 0 {
			t.Fatalf("start %d of one worker", at)
		}
		if at := s.start(id, 0); at != 0 {
			t.Fatalf("start %d of no worker", at)
		}
	}
}
