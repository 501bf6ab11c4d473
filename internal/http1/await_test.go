package http1

import (
	"io"
	"sync"
	"testing"
)

// Await returns when the client disconnects or the answer is ready, whichever is first. Bytes of a
// pipelined request are not taken for a disconnect.
func TestAwait(t *testing.T) {
	disconnects := make(chan bool, 10)
	var mu sync.Mutex
	var waiting []func()
	began := make(chan struct{}, 10)
	s := &Server{Handler: HandlerFunc(func(c *Conn, r *Request) *Response {
		done := make(chan struct{})
		mu.Lock()
		waiting = append(waiting, func() {
			c.Wake()
			close(done)
		})
		mu.Unlock()
		began <- struct{}{}
		disconnected := c.Await(done)
		disconnects <- disconnected
		if disconnected {
			return nil
		}
		return echo(c, r)
	})}
	addr := serve(t, s)
	c, br := dial(t, addr)
	for i := range 3 {
		io.WriteString(c, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nz")
		<-began
		if i == 1 {
			io.WriteString(c, "POST /x HTTP/1.1\r\n") // while this one waits
		}
		mu.Lock()
		waiting[i]()
		mu.Unlock()
		if h := <-disconnects; h {
			t.Fatal("reported a disconnect, but the client is connected")
		}
		if resp := read(t, br); string(resp.Body) != "z" {
			t.Fatalf("%q", resp.Body)
		}
		if i == 1 {
			io.WriteString(c, "Host: a\r\nContent-Length: 1\r\n\r\nz")
			<-began
			mu.Lock()
			waiting[2]()
			mu.Unlock()
			if h := <-disconnects; h {
				t.Fatal("reported a disconnect, but the client is connected")
			}
			read(t, br)
			break
		}
	}
	io.WriteString(c, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	<-began
	c.Close()
	if h := <-disconnects; !h {
		t.Error("the disconnect was not reported")
	}
}
