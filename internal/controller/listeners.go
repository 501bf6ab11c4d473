package controller

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"syscall"
	"time"

	"kitehub/internal/daemon"
	"kitehub/internal/ingress/jsonrpc"
)

// A listenerKind says what a listener is for. The values are part of the handover's packets.
type listenerKind string

const (
	listenerOfCalls      listenerKind = "webhook"
	listenerOfRPC        listenerKind = "rpc"
	listenerOfSuccessors listenerKind = "successor"
)

// errNoWebhookListener is returned for a predecessor that sends no listener for calls.
var errNoWebhookListener = errors.New("take over: the predecessor sent no webhook listener")

// listen opens the listener for calls, or takes over that of the predecessor.
func (c *Controller) listen() (err error) {
	if p := c.options.Predecessor; p != nil {
		c.listener, err = p.listener(listenerOfCalls, "")
		if err == nil && c.listener == nil {
			err = errNoWebhookListener
		}
		return err
	}
	if c.config.Network == "unix" {
		if err := removeStaleSocket(c.config.Listen); err != nil {
			return err
		}
	}
	if c.listener, err = net.Listen(c.config.Network, c.config.Listen); err != nil {
		return fmt.Errorf("webhook.listen: %w", err)
	}
	return nil
}

// removeStaleSocket removes the socket file of a process that was killed, so that it does not
// prevent this start. It returns an error if the socket is in use, or the file is not a socket.
func removeStaleSocket(name string) error {
	info, err := os.Lstat(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("webhook.listen: %s exists and is not a socket", name)
	}
	if conn, err := net.DialTimeout("unix", name, time.Second); err == nil {
		conn.Close()
		return fmt.Errorf("webhook.listen: another process listens on socket %s", name)
	}
	return os.Remove(name)
}

// listenRPC opens the socket of the RPC server, or takes over that of the predecessor if it has the
// same path. Connections are not accepted yet.
func (c *Controller) listenRPC() (err error) {
	if c.config.RPC == nil {
		return nil
	}
	path := c.config.RPCSocket
	if p := c.options.Predecessor; p != nil {
		if c.rpcListener, err = p.listener(listenerOfRPC, path); err != nil || c.rpcListener != nil {
			return err
		}
	}
	ln, err := jsonrpc.Listen(path, c.config.RPCSocketMode)
	if err != nil {
		return fmt.Errorf("rpc.socket: %w", err)
	}
	c.rpcListener = ln
	return nil
}

// listenSuccessors opens the socket to which successors connect, or takes over that of the
// predecessor if it has the same path. Successors are not accepted yet.
func (c *Controller) listenSuccessors() error {
	path := c.config.Daemon.GetHandover()
	if path == "" {
		return nil
	}
	if p := c.options.Predecessor; p != nil {
		ln, err := p.listener(listenerOfSuccessors, path)
		if err != nil {
			return err
		}
		if ln != nil {
			c.successorListener = ln.(*net.UnixListener)
			return nil
		}
	}
	ln, err := daemon.ListenLinks(path)
	if err != nil {
		return fmt.Errorf("daemon.handover: %w", err)
	}
	ln.SetUnlinkOnClose(true) // until successors are accepted
	c.successorListener = ln
	return nil
}

// listenersToOffer returns the listeners for a successor, with their kinds in the same order.
func (c *Controller) listenersToOffer() (kinds []listenerKind, listeners []syscall.Conn) {
	offer := func(kind listenerKind, ln syscall.Conn) {
		kinds = append(kinds, kind)
		listeners = append(listeners, ln)
	}
	offer(listenerOfCalls, c.listener.(syscall.Conn))
	if c.rpcListener != nil {
		offer(listenerOfRPC, c.rpcListener.(syscall.Conn))
	}
	offer(listenerOfSuccessors, c.successorListener)
	return kinds, listeners
}

// keepListeners stores the listeners that the predecessor sent.
func (h *IncomingHandover) keepListeners(body []byte, files []*os.File) error {
	h.unclaimed = map[listenerKind]*os.File{}
	sockets, err := decodeFirst[socketsBody](body)
	if err == nil && len(files) != len(sockets.Listeners) {
		err = fmt.Errorf("the predecessor sent %d listeners, and named %d", len(files), len(sockets.Listeners))
	}
	if err != nil {
		for _, f := range files {
			f.Close()
		}
		return err
	}
	for i, kind := range sockets.Listeners {
		h.unclaimed[kind] = files[i]
	}
	return nil
}

// listener returns the predecessor's listener of a kind, or nil if it sent none, or one at another
// path. If path is "", any address will do.
func (h *IncomingHandover) listener(kind listenerKind, path string) (net.Listener, error) {
	f := h.unclaimed[kind]
	if f == nil {
		return nil, nil
	}
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("take over: %s listener: %w", kind, err)
	}
	if path != "" && !sameFile(ln.Addr().String(), path) {
		return nil, ln.Close()
	}
	f.Close()
	delete(h.unclaimed, kind)
	return ln, nil
}

// sameFile reports whether two paths name the same file, or are equal.
func sameFile(a, b string) bool {
	if a == b {
		return true
	}
	infoA, errA := os.Stat(a)
	infoB, errB := os.Stat(b)
	return errA == nil && errB == nil && os.SameFile(infoA, infoB)
}

// closeUnclaimed closes the listeners of the predecessor that this process does not use. If it
// serves, it also removes their socket files, which are nobody's any more.
func (h *IncomingHandover) closeUnclaimed(serves bool) {
	for kind, f := range h.unclaimed {
		if ln, err := net.FileListener(f); err == nil {
			if unixListener, ok := ln.(*net.UnixListener); ok {
				unixListener.SetUnlinkOnClose(serves)
			}
			ln.Close()
		}
		f.Close()
		delete(h.unclaimed, kind)
	}
}
