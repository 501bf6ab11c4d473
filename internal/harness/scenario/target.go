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

// dialTimeout bounds how long a client waits for a connection.
const dialTimeout = 250 * time.Millisecond

// A target is a controller as clients see it, with their idle connections.
type target struct {
	name string
	addr string
	mu   sync.Mutex
	up   bool
	idle []*clientConn
	keys []*signing.Key // by tenant

	hasScripts bool
	socket     string // of the JSON-RPC front; "": the controller has none
	spare      []*jsonrpc.Client
}

// A clientConn is a connection with the buffer from which responses are read.
type clientConn struct {
	net.Conn
	br *bufio.Reader
}

// connect returns a connection to the target at index *at, or to the next one that can be reached,
// whose index it stores in *at. It returns nil if there is none.
func (l *loadGenerator) connect(at *int) (*target, *clientConn) {
	for range l.targets {
		t := l.targets[*at]
		if conn := t.get(); conn != nil {
			return t, conn
		}
		*at = (*at + 1) % len(l.targets)
	}
	return nil, nil
}

// get returns an idle connection or a new one, or nil if the controller is down or cannot be
// reached.
func (t *target) get() *clientConn {
	t.mu.Lock()
	if !t.up {
		t.mu.Unlock()
		return nil
	}
	if n := len(t.idle); n > 0 {
		conn := t.idle[n-1]
		t.idle = t.idle[:n-1]
		t.mu.Unlock()
		return conn
	}
	addr := t.addr
	t.mu.Unlock()
	nc, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil
	}
	return &clientConn{nc, bufio.NewReaderSize(nc, http1.ReadBufferSize)}
}

// put returns a connection for later use.
func (t *target) put(conn *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.up {
		conn.Close()
		return
	}
	t.idle = append(t.idle, conn)
}

// set marks the target as up at the given address, or as down if it is "".
func (t *target) set(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addr, t.up = addr, addr != ""
	for _, conn := range t.idle {
		conn.Close()
	}
	t.idle = nil
}

// getRPC returns an idle connection to the JSON-RPC front, or a new one.
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

// putRPC returns a connection to the JSON-RPC front for later use.
func (t *target) putRPC(c *jsonrpc.Client) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spare = append(t.spare, c)
}
