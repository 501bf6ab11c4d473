package main

import (
	"io"
	"net"
	"sync"
)

// A cut is a network between a controller and its workers that can be cut. While it is cut, nothing
// passes: open connections stay open and silent, and nobody behind it hears of new ones. Once it
// heals, the connections that lost bytes are reset, as both ends have given them up.
type cut struct {
	mu      sync.Mutex
	severed bool
	conns   map[*pair]bool
}

// A pair is a connection through the network.
type pair struct {
	near, far net.Conn // far is nil if the connection began while the network was cut
	stale     bool     // bytes were lost
}

// listen opens a way to an address.
func (c *cut) listen(target string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			c.carry(near, target)
		}
	}()
	return ln.Addr().String(), nil
}

func (c *cut) carry(near net.Conn, target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &pair{near: near}
	if c.conns == nil {
		c.conns = map[*pair]bool{}
	}
	c.conns[p] = true
	if c.severed {
		p.stale = true
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		near.Close()
		return
	}
	p.far = far
	go c.copy(p, p.far, p.near)
	go c.copy(p, p.near, p.far)
}

// copy carries bytes one way, and drops them while the network is cut.
func (c *cut) copy(p *pair, to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		severed := c.severed || p.stale
		p.stale = severed
		c.mu.Unlock()
		if severed && err == nil {
			continue
		}
		if severed { // the other end does not hear of it
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			to.Close()
			from.Close()
			return
		}
	}
}

// sever cuts the network.
func (c *cut) sever() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.severed = true
}

// heal ends the cut.
func (c *cut) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.severed = false
	for p := range c.conns {
		if p.stale {
			reset(p.near)
			if p.far != nil {
				reset(p.far)
			}
			delete(c.conns, p)
		}
	}
}

// reset closes a connection so that its peer receives a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
