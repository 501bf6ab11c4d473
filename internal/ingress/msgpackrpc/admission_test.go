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
			{sentMessage: true, inFlight: 1, lastActivity: 1},
			{sentMessage: true, inFlight: 2, lastActivity: 0},
		}, noCandidate},
		{"never sent a message", []connActivity{
			{sentMessage: true, lastActivity: 1},
			{lastActivity: 9},
			{lastActivity: 8},
			{sentMessage: true, lastActivity: 0},
		}, 2},
		{"idle longest", []connActivity{
			{sentMessage: true, lastActivity: 5},
			{sentMessage: true, lastActivity: 3},
			{sentMessage: true, inFlight: 1, lastActivity: 1},
		}, 1},
		{"new connection in its grace period", []connActivity{
			{lastActivity: 96},
			{sentMessage: true, lastActivity: 3},
		}, 1},
		{"all idle connections in their grace period", []connActivity{
			{lastActivity: 96},
			{sentMessage: true, inFlight: 1, lastActivity: 3},
		}, candidateLater},
	}
	for _, tt := range tests {
		if got := evictionCandidate(tt.conns, now, grace); got != tt.want {
			t.Errorf("%s: candidate %d, want %d", tt.name, got, tt.want)
		}
	}
}

func TestSilentTooLong(t *testing.T) {
	const timeout = time.Second
	tests := []struct {
		name string
		conn connActivity
		now  time.Duration
		want bool
	}{
		{"new", connActivity{lastActivity: 10}, 10 + timeout, false},
		{"never sent a message", connActivity{lastActivity: 10}, 11 + timeout, true},
		{"idle after an answer", connActivity{sentMessage: true, lastActivity: 10}, 100 * timeout, false},
		{"within a message", connActivity{sentMessage: true, inMessage: true, lastActivity: 10}, 11 + timeout, true},
	}
	for _, tt := range tests {
		if got := silentTooLong(tt.conn, tt.now, timeout); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// A request may arrive after its connection was chosen for eviction and before it is closed. It
// must not be accepted: the client sends it again on another connection, so it would run twice.
func TestEvictedConnectionAcceptsNoRequest(t *testing.T) {
	s := serve(t, nil)
	c := s.dial(t)
	c.send(newRequest(1, "status", map[string]string{}))
	c.answer()
	s.mu.Lock()
	var idle *conn
	for open := range s.conns {
		idle = open
	}
	s.mu.Unlock()
	if !idle.stopIfIdle() {
		t.Fatal("stopIfIdle does not stop an idle connection")
	}
	c.send(newRequest(2, "lookup", withFields(), []byte("x")))
	if _, got := c.answer(); got != "closed" || len(s.gateway.calls) > 0 {
		t.Errorf("answer %s, %d calls reached the gateway; want closed and none", got, len(s.gateway.calls))
	}

	busy := s.dial(t)
	busy.send(newRequest(1, "lookup", withFields(), []byte("x")))
	<-s.gateway.calls
	s.mu.Lock()
	defer s.mu.Unlock()
	for other := range s.conns {
		if other != idle && other.stopIfIdle() {
			t.Error("stopIfIdle stops a connection with a request in flight")
		}
	}
}
