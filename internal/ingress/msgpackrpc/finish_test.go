package msgpackrpc

import (
	"bytes"
	"io"
	"runtime"
	"testing"
	"time"

	"kitehub/internal/gateway"
)

// finishing starts Finish and returns once it has marked all connections; the channel is closed when it is done.
func (r *rig) finishing() chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Finish(time.Minute)
	}()
	for marked := false; !marked; runtime.Gosched() {
		r.mu.Lock()
		marked = r.empty != nil
		for c := range r.conns {
			c.mu.Lock()
			marked = marked && c.finished
			c.mu.Unlock()
		}
		r.mu.Unlock()
	}
	return done
}

// TestFinish: an answer that still waits for its reader as the front ends comes whole, though a request crosses the end: to close
// the connection with that unread would reset it.
func TestFinish(t *testing.T) {
	r := serve(t, func(c *Config) { c.MostBody = 1 << 20 })
	c := r.dial(t)
	c.put(request(1, "lookup", with(), []byte("x")))
	body := bytes.Repeat([]byte("b"), 8<<20) // more than the kernel takes of a reader that reads nothing
	(<-r.g.came).Deliver(gateway.Answer{Kind: gateway.Served, Body: body})
	done := r.finishing()
	c.put(request(2, "lookup", with("txn", txn(2)), []byte("x")))
	if id, got := c.answer(); id != 1 || len(got) != len("served ")+len(body) {
		t.Errorf("answer to %d of %d bytes", id, len(got))
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("after it %d bytes, %v; want the end", n, err)
	}
	select {
	case <-done:
		t.Error("it did not wait for the client to end")
	default:
	}
	c.Close()
	<-done
	if len(r.g.came) > 0 {
		t.Error("a request was taken after the end")
	}
}

// TestFinishNobody: with no client, and once more, it is done at once.
func TestFinishNobody(t *testing.T) {
	r := serve(t, nil)
	r.Finish(time.Hour)
	r.Finish(time.Hour)
}
