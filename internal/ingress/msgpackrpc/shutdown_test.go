package msgpackrpc

import (
	"bytes"
	"io"
	"runtime"
	"testing"
	"time"

	"kitehub/internal/gateway"
)

// startFinish calls Finish in the background, and returns once all connections have begun to
// finish. The channel is closed when Finish returns.
func (s *testServer) startFinish() chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Finish(time.Minute)
	}()
	for !s.allFinished() {
		runtime.Gosched()
	}
	return done
}

// allFinished reports whether Finish has been called and has reached all connections.
func (s *testServer) allFinished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	finished := s.empty != nil
	for c := range s.conns {
		c.mu.Lock()
		finished = finished && c.finished
		c.mu.Unlock()
	}
	return finished
}

// Queued answers must arrive complete even if the client sends a request after Finish has begun.
// Closing the connection with that request unread would reset it, and lose the rest of the answer.
func TestFinishWritesQueuedAnswers(t *testing.T) {
	s := serve(t, func(c *Config) { c.MaxBody = 1 << 20 })
	c := s.dial(t)
	c.send(newRequest(1, "lookup", withFields(), []byte("x")))
	body := bytes.Repeat([]byte("b"), 8<<20) // more than the kernel's buffers hold
	(<-s.gateway.calls).Deliver(gateway.Answer{Kind: gateway.Served, Body: body})
	done := s.startFinish()
	c.send(newRequest(2, "lookup", withFields("txn", txn(2)), []byte("x")))
	if id, got := c.answer(); id != 1 || len(got) != len("served ")+len(body) {
		t.Errorf("answer to %d of %d bytes, want the complete one to 1", id, len(got))
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("after the answer: %d bytes, %v; want EOF", n, err)
	}
	select {
	case <-done:
		t.Error("Finish did not wait for the client to close")
	default:
	}
	c.Close()
	<-done
	if len(s.gateway.calls) > 0 {
		t.Error("a request was accepted after Finish")
	}
}

func TestFinishWithoutClientsReturnsImmediately(t *testing.T) {
	s := serve(t, nil)
	s.Finish(time.Hour)
	s.Finish(time.Hour)
}
