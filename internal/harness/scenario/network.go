package scenario

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// A network connects controllers to workers. It can cut a zone off from all others and delay dials.
// While a zone is cut off, reads and writes across the cut block; when the cut ends they fail with
// a connection reset, as with a router that has lost its connection state.
type network struct {
	mu        sync.Mutex
	cut       string        // the zone cut off from all others; "" for none
	healed    chan struct{} // closed when the cut ends; nil: no zone is cut off
	dialDelay time.Duration // added to every dial
	zone      func(addr string) string
}

func newNetwork(zone func(addr string) string) *network { return &network{zone: zone} }

func (n *network) cutZone(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.healed != nil {
		close(n.healed)
		n.healed = nil
	}
	if n.cut = zone; zone != "" {
		n.healed = make(chan struct{})
	}
}

func (n *network) setDialDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dialDelay = d
}

// cutBetween returns the channel that is closed when the cut between two zones ends, or nil if
// there is none.
func (n *network) cutBetween(a, b string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut != "" && a != b && (a == n.cut || b == n.cut) {
		return n.healed
	}
	return nil
}

// dialer returns the dial function of a controller in a zone.
func (n *network) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, proto, addr string) (net.Conn, error) {
		n.mu.Lock()
		slow := n.dialDelay
		n.mu.Unlock()
		if slow > 0 {
			select {
			case <-time.After(slow):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		to := n.zone(addr)
		if healed := n.cutBetween(from, to); healed != nil {
			select {
			case <-healed:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		nc, err := (&net.Dialer{}).DialContext(ctx, proto, addr)
		if err != nil {
			return nil, err
		}
		return &link{Conn: nc, n: n, from: from, to: to, closed: make(chan struct{})}, nil
	}
}

// A link is a connection that blocks while its zones are cut off from each other.
type link struct {
	net.Conn
	n        *network
	from, to string
	mu       sync.Mutex
	deadline time.Time
	closed   chan struct{}
	once     sync.Once
}

var errCut = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}

// waitWhileCut blocks while the link is cut. It returns nil if the link was not cut, and otherwise
// the error that ended the wait.
func (l *link) waitWhileCut() error {
	healed := l.n.cutBetween(l.from, l.to)
	if healed == nil {
		return nil
	}
	l.mu.Lock()
	deadline := l.deadline
	l.mu.Unlock()
	wait := time.Hour
	if !deadline.IsZero() {
		wait = time.Until(deadline)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-healed:
		l.Conn.Close()
		return errCut
	case <-t.C:
		return os.ErrDeadlineExceeded
	case <-l.closed:
		return net.ErrClosed
	}
}

func (l *link) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	if perr := l.waitWhileCut(); perr != nil && !errors.Is(err, net.ErrClosed) {
		return 0, perr
	}
	return n, err
}

func (l *link) Write(b []byte) (int, error) {
	if err := l.waitWhileCut(); err != nil {
		return 0, err
	}
	return l.Conn.Write(b)
}

func (l *link) SetDeadline(t time.Time) error {
	l.mu.Lock()
	l.deadline = t
	l.mu.Unlock()
	return l.Conn.SetDeadline(t)
}

func (l *link) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Conn.Close()
}

func (l *link) SyscallConn() (syscall.RawConn, error) { return l.Conn.(*net.TCPConn).SyscallConn() }
