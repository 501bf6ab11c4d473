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

// A network lies between controllers and workers: it cuts a zone off and makes connecting slow. What was under way on
// a connection that was cut ends in a reset when the cut ends, as with a path that forgot its flows.
type network struct {
	mu    sync.Mutex
	cut   string // the zone cut off from all others; "" for none
	ended chan struct{}
	slow  time.Duration
	zone  func(addr string) string
}

func newNetwork(zone func(addr string) string) *network { return &network{zone: zone} }

func (n *network) cutZone(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended != nil {
		close(n.ended)
		n.ended = nil
	}
	if n.cut = zone; zone != "" {
		n.ended = make(chan struct{})
	}
}

func (n *network) slowConnect(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow = d
}

// between returns the end of the cut that lies between two zones, or nil if none does.
func (n *network) between(a, b string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut != "" && a != b && (a == n.cut || b == n.cut) {
		return n.ended
	}
	return nil
}

// dialer returns the way out of a controller in a zone.
func (n *network) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, proto, addr string) (net.Conn, error) {
		n.mu.Lock()
		slow := n.slow
		n.mu.Unlock()
		if slow > 0 {
			select {
			case <-time.After(slow):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		to := n.zone(addr)
		if ended := n.between(from, to); ended != nil {
			select {
			case <-ended:
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

// pass waits while the link is cut; the error says how that ended.
func (l *link) pass() error {
	ended := l.n.between(l.from, l.to)
	if ended == nil {
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
	case <-ended:
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
	if perr := l.pass(); perr != nil && !errors.Is(err, net.ErrClosed) {
		return 0, perr
	}
	return n, err
}

func (l *link) Write(b []byte) (int, error) {
	if err := l.pass(); err != nil {
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
