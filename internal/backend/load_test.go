package backend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"kitehub/scheduler"
)

// loadAndWait sends a load order and waits for its result.
func loadAndWait(b *Backend, o LoadOrder) (scheduler.Outcome, int) {
	type result struct {
		outcome scheduler.Outcome
		copies  int
	}
	results := make(chan result, 1)
	b.LoadCopies(o, func(outcome scheduler.Outcome, copies int, _ time.Duration) {
		results <- result{outcome, copies}
	})
	r := <-results
	return r.outcome, r.copies
}

func TestLoadCopies(t *testing.T) {
	ok := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	loaded := strings.Replace(ok(""), "OK\r\n", "OK\r\nendpoint-load-metrics: TEXT named_metrics.copies=2\r\n", 1)
	index := ok(`[
		{"name":"g","state":"READY"},
		{"name":"f","state":"READY","copies":3},
		{"name":"h","state":"UNAVAILABLE"}
	]`)
	tests := []struct {
		name       string
		response   string
		function   string
		copies     int // 0 asks how many copies are loaded
		want       scheduler.Outcome
		wantCopies int
	}{
		{"loaded", loaded, "f", 1, scheduler.OK, 2},
		{"at capacity", problemResponse(503, ProblemAtCapacity), "f", 1, scheduler.AtCapacity, 0},
		{"failed", problemResponse(500, "x"), "f", 1, scheduler.Error, 0},
		{"counted", index, "f", 0, scheduler.OK, 3},
		{"counted without a copies member", index, "g", 0, scheduler.OK, 1},
		{"counted but not ready", index, "h", 0, scheduler.OK, 0},
		{"counted but not listed", index, "zz", 0, scheduler.OK, 0},
		{"malformed index", ok("{{"), "f", 0, scheduler.Error, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBackend(t, startFakeWorker(t, respondWith(tt.response)).addr, nil)
			outcome, copies := loadAndWait(b, LoadOrder{Worker: 1, Function: tt.function, Copies: tt.copies})
			if outcome != tt.want || copies != tt.wantCopies {
				t.Errorf("%v with %d copies, want %v with %d", outcome, copies, tt.want, tt.wantCopies)
			}
		})
	}
}
