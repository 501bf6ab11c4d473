package msgpackrpc

import (
	"testing"
	"time"
)

func TestEvictionCandidate(t *testing.T) {
	const now, grace = 100, 10
	tests := []struct {
		name  string
		conns []connActivity
		want  int
	}{
		{"no connection", nil, noCandidate},
		{"all have requests in flight", []connActivity{
			{spoke: true, inFlight: 1, lastSign: 1},
			{spoke: true, inFlight: 2, lastSign: 0},
		}, noCandidate},
		{"one that never spoke goes first", []connActivity{
			{spoke: true, lastSign: 1},
			{lastSign: 9},
			{lastSign: 8},
			{spoke: true, lastSign: 0},
		}, 2},
		{"the one idle longest", []connActivity{
			{spoke: true, lastSign: 5},
			{spoke: true, lastSign: 3},
			{spoke: true, inFlight: 1, lastSign: 1},
		}, 1},
		{"a new one has time to speak", []connActivity{
			{lastSign: 96},
			{spoke: true, lastSign: 3},
		}, 1},
		{"all are new", []connActivity{
			{lastSign: 96},
			{spoke: true, inFlight: 1, lastSign: 3},
		}, candidateSoon},
	}
	for _, tt := range tests {
		if got := evictionCandidate(tt.conns, now, grace); got != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
	}
}

func TestSilentTooLong(t *testing.T) {
	const within = time.Second
	tests := []struct {
		name string
		conn connActivity
		now  time.Duration
		want bool
	}{
		{"new", connActivity{lastSign: 10}, 10 + within, false},
		{"never spoke", connActivity{lastSign: 10}, 11 + within, true},
		{"idle after an answer", connActivity{spoke: true, lastSign: 10}, 100 * within, false},
		{"within a message", connActivity{spoke: true, inMessage: true, lastSign: 10}, 11 + within, true},
	}
	for _, tt := range tests {
		if got := silentTooLong(tt.conn, tt.now, within); got != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
}

// Between the choice of the connection to evict and its close, a request may be read. It must not be accepted: its
// client sends it again, and it would run twice.
func TestEvictedConnectionAcceptsNoRequest(t *testing.T) {
	r := serve(t, nil)
	c := r.dial(t)
	c.send(newRequest(1, "status", map[string]string{}))
	c.answer()
	r.mu.Lock()
	var idle *conn
	for only := range r.conns {
		idle = only
	}
	r.mu.Unlock()
	if !idle.leave() {
		t.Fatal("an idle connection does not leave")
	}
	c.send(newRequest(2, "lookup", withFields(), []byte("x")))
	if _, got := c.answer(); got != "closed" || len(r.gateway.calls) > 0 {
		t.Errorf("%s, %d calls reached the gateway", got, len(r.gateway.calls))
	}

	busy := r.dial(t)
	busy.send(newRequest(1, "lookup", withFields(), []byte("x")))
	<-r.gateway.calls
	r.mu.Lock()
	defer r.mu.Unlock()
	for other := range r.conns {
		if other != idle && other.leave() {
			t.Error("a connection with a request in flight leaves")
		}
	}
}
