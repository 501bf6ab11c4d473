package controller

import (
	"context"
	"net"
	"syscall"

	"kitehub/internal/backend"
)

// trackConns returns a dial function that records its connections, so that Kill can cut them as the
// end of the process would.
func (c *Controller) trackConns(dial backend.DialFunc) backend.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		tracked := &trackedConn{conn, c}
		c.mu.Lock()
		c.conns[tracked] = struct{}{}
		c.mu.Unlock()
		if c.killed.Load() { // Kill may have run before conn was recorded
			tracked.Close()
			return nil, net.ErrClosed
		}
		if raw, ok := conn.(syscall.Conn); ok {
			return &trackedSyscallConn{tracked, raw}, nil
		}
		return tracked, nil
	}
}

// A trackedConn is a connection in Controller.conns until it is closed.
type trackedConn struct {
	net.Conn
	controller *Controller
}

// Close closes the connection and removes it from the controller.
func (t *trackedConn) Close() error {
	t.controller.mu.Lock()
	delete(t.controller.conns, t)
	t.controller.mu.Unlock()
	return t.Conn.Close()
}

// A trackedSyscallConn also gives access to the file descriptor. The backend needs it to detect
// that a worker has closed an idle connection.
type trackedSyscallConn struct {
	*trackedConn
	raw syscall.Conn
}

// SyscallConn implements syscall.Conn.
func (t *trackedSyscallConn) SyscallConn() (syscall.RawConn, error) { return t.raw.SyscallConn() }
