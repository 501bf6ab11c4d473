package msgpackrpc

import (
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/harness/fakeplatform"
)

// Whatever some clients send at full speed, all calls of good ones are answered.
func TestHostileClientsDoNotStopGoodOnes(t *testing.T) {
	r := serve(t, func(c *Config) {
		c.MessageTimeout = 1600 * time.Millisecond
		c.MaxConns = 30
	})
	go ignoreCancelled(r.gateway)
	go echoCalls(r.gateway)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, hostile := range fakeplatform.Hostiles() {
		for range 3 {
			wg.Go(func() {
				for !isClosed(stop) {
					if err := hostile.Play(r.addr, 20*time.Second); err != nil {
						t.Error(err)
						return
					}
				}
			})
		}
	}
	body := strings.Repeat("b", 16<<10)
	for i := range 40 {
		got := "closed"
		// A request that crosses the close of its connection is sent again, as the platform has it.
		for attempt := 0; attempt < 5 && got == "closed"; attempt++ {
			c := r.dial(t)
			c.send(newRequest(1, "lookup", withFields("txn", txn(1000+i)), []byte(body)))
			_, got = c.answer()
			c.Close()
		}
		if got != "served "+body {
			t.Errorf("good client %d: %.40s", i, got)
		}
	}
	close(stop)
	wg.Wait()
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func ignoreCancelled(g *fakeGateway) {
	for {
		<-g.cancelled
	}
}

func echoCalls(g *fakeGateway) {
	for call := range g.calls {
		call.Deliver(gateway.Answer{Kind: gateway.Served, Body: call.Body})
	}
}

// A shortListener has no file descriptor left at first.
type shortListener struct {
	net.Listener
	failures atomic.Int64 // still to come
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestAcceptIsRetriedWhenDescriptorsAreShort(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	short := &shortListener{Listener: inner}
	short.failures.Store(3)
	c := serveOn(t, short, nil).dial(t)
	c.send(newRequest(1, "status", map[string]string{}))
	if id, got := c.answer(); id != 1 || got != "ready true" {
		t.Errorf("after accept failed: %d %s", id, got)
	}
}

func TestClientThatNeverReadsIsDisconnected(t *testing.T) {
	r := serve(t, func(c *Config) { c.StallTimeout = 50 * time.Millisecond })
	c := r.dial(t)
	c.Client.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	go func() {
		for call := range r.gateway.calls {
			call.Deliver(gateway.Answer{Kind: gateway.Served, Body: make([]byte, 1<<20)})
		}
	}()
	for i := range 60 {
		if _, err := c.Write(newRequest(i, "lookup", withFields("txn", txn(i)), []byte("x"))); err != nil {
			break
		}
	}
	for r.ConnCount() > 0 { // go test's time-out ends it if the client is never disconnected
		runtime.Gosched()
	}
}
