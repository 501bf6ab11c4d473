package msgpackrpc

import (
	"bytes"
	"io"
	"runtime"
	"testing"
	"time"

	"kitehub/internal/gateway"
)

// startFinish starts Finish and returns once it has begun with all connections; the channel is closed when it
// returns.
func (f *testFront) startFinish() chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Finish(time.Minute)
	}()
	for !f.allFinished() {
		runtime.Gosched()
	}
	return done
}

// allFinished reports whether Finish has begun with all connections.
func (f *testFront) allFinished() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	finished := f.empty != nil
	for c := range f.conns {
		c.mu.Lock()
		finished = finished && c.finished
		c.mu.Unlock()
	}
	return finished
}

// An answer that still waits to be written when the front finishes arrives complete, although a request crosses the
// end: closing the connection with the request unread would reset it.
func TestFinishWritesAnswersThatWait(t *testing.T) {
	r := serve(t, func(c *Config) { c.MaxBody = 1 << 20 })
	c := r.dial(t)
	c.send(newRequest(1, "lookup", withFields(), []byte("x")))
	body := bytes.Repeat([]byte("b"), 8<<20) // more than the kernel's buffers hold
	(<-r.gateway.calls).Deliver(gateway.Answer{Kind: gateway.Served, Body: body})
	done := r.startFinish()
	c.send(newRequest(2, "lookup", withFields("txn", txn(2)), []byte("x")))
	if id, got := c.answer(); id != 1 || len(got) != len("served ")+len(body) {
		t.Errorf("answer to %d of %d bytes", id, len(got))
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("after it %d bytes, %v; want the end", n, err)
	}
	select {
	case <-done:
		t.Error("Finish did not wait for the client to close")
	default:
	}
	c.Close()
	<-done
	if len(r.gateway.calls) > 0 {
		t.Error("a request was accepted after the end")
	}
}

func TestFinishWithoutClientsReturnsAtOnce(t *testing.T) {
	r := serve(t, nil)
	r.Finish(time.Hour)
	r.Finish(time.Hour)
}
