package http1

import (
	"io"
	"sync"
	"testing"
)

// Await ends when the client hangs up or the answer is there, whichever is first; bytes of a next request are no
// hang-up.
func TestAwait(t *testing.T) {
	hung := make(chan bool, 10)
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
		hungUp := c.Await(done)
		hung <- hungUp
		if hungUp {
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
			io.WriteString(c, "POST /x HTTP/1.1\r\n") // the next begins while this one waits
		}
		mu.Lock()
		waiting[i]()
		mu.Unlock()
		if h := <-hung; h {
			t.Fatal("hung up though the client is there")
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
			if h := <-hung; h {
				t.Fatal("hung up though the client is there")
			}
			read(t, br)
			break
		}
	}
	io.WriteString(c, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	<-began
	c.Close()
	if h := <-hung; !h {
		t.Error("the client hung up unnoticed")
	}
}
