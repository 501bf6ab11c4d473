package scenario

import (
	"bufio"
	"net"
	"sync"
	"time"

	"kitehub/internal/http1"
	"kitehub/internal/ingress/jsonrpc"
	"kitehub/internal/signing"
)

// dialTimeout is how long a client waits for a connection.
const dialTimeout = 250 * time.Millisecond

// A target is a controller as clients see it.
type target struct {
	name string
	addr string
	mu   sync.Mutex
	up   bool
	idle []*wire
	keys []*signing.Key // by tenant

	hooked bool
	socket string // of the second front; "": none
	spare  []*jsonrpc.Client
}

type wire struct {
	net.Conn
	br *bufio.Reader
}

// connect returns a connection to the target, or to the next that is up.
func (l *load) connect(at *int) (*target, *wire) {
	for range l.targets {
		t := l.targets[*at]
		if w := t.get(); w != nil {
			return t, w
		}
		*at = (*at + 1) % len(l.targets)
	}
	return nil, nil
}

func (t *target) get() *wire {
	t.mu.Lock()
	if !t.up {
		t.mu.Unlock()
		return nil
	}
	if n := len(t.idle); n > 0 {
		w := t.idle[n-1]
		t.idle = t.idle[:n-1]
		t.mu.Unlock()
		return w
	}
	addr := t.addr
	t.mu.Unlock()
	nc, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil
	}
	return &wire{nc, bufio.NewReaderSize(nc, http1.ReadBufferSize)}
}

func (t *target) put(w *wire) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.up {
		w.Close()
		return
	}
	t.idle = append(t.idle, w)
}

// set marks a target as up at an address, or as down.
func (t *target) set(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addr, t.up = addr, addr != ""
	for _, w := range t.idle {
		w.Close()
	}
	t.idle = nil
}

// getRPC returns a connection to the second front that nobody uses, a new one where there is none.
func (t *target) getRPC() (*jsonrpc.Client, error) {
	t.mu.Lock()
	if n := len(t.spare); n > 0 {
		c := t.spare[n-1]
		t.spare = t.spare[:n-1]
		t.mu.Unlock()
		return c, nil
	}
	t.mu.Unlock()
	return jsonrpc.Dial(t.socket, dialTimeout)
}

func (t *target) putRPC(c *jsonrpc.Client) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spare = append(t.spare, c)
}
