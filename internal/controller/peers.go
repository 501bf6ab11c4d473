package controller

import (
	"encoding/binary"
	"fmt"
	"net"

	"kitehub/config"
	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// Peers carries the module's words between controllers as datagrams of up to 256 bytes, behind the sender's number where
// there is room for it. They may be lost, as the module knows, and are taken only from the addresses that the
// configuration names.
type Peers struct {
	conn   *net.UDPConn
	self   int
	addrs  map[int]*net.UDPAddr
	header int // bytes of the sender's number in front: 4 or 0, where the address alone tells who it is
}

const maxMessage = 256

func newPeers(b *config.Built) (*Peers, error) {
	return ListenPeers(b.Settings.ControllerIndex, b.Listen, b.Peers, true)
}

// ListenPeers sends and takes words at the address listen. numbered puts the sender's number in front of each.
func ListenPeers(me int, listen string, addrs map[int]string, numbered bool) (*Peers, error) {
	p := &Peers{self: me, addrs: map[int]*net.UDPAddr{}}
	if numbered {
		p.header = 4
	}
	for n, addr := range addrs {
		a, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		p.addrs[n] = a
	}
	own, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("peers: own address: %w", err)
	}
	if p.conn, err = net.ListenUDP("udp", own); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return p, nil
}

// Send implements gateway.Peers.
func (p *Peers) Send(to int, payload []byte) {
	if len(payload) > maxMessage {
		return
	}
	var b []byte
	if p.header > 0 {
		b = binary.BigEndian.AppendUint32(nil, uint32(p.self))
	}
	b = append(b, payload...)
	for n, a := range p.addrs {
		if n == to || to == scheduler.Everyone && n != p.self {
			p.conn.WriteToUDP(b, a)
		}
	}
}

// Receive hands what comes to the gateway, until Close.
func (p *Peers) Receive(g *gateway.Gateway) {
	buf := make([]byte, p.header+maxMessage+1)
	for {
		n, from, err := p.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if n < p.header || n > p.header+maxMessage {
			continue
		}
		if who, ok := p.sender(buf, from); ok {
			g.ReceiveGossip(who, append([]byte(nil), buf[p.header:n]...))
		}
	}
}

// sender tells whose datagram it is.
func (p *Peers) sender(b []byte, from *net.UDPAddr) (who int, ok bool) {
	is := func(a *net.UDPAddr) bool { return a != nil && a.IP.Equal(from.IP) && a.Port == from.Port }
	if p.header > 0 {
		who = int(binary.BigEndian.Uint32(b))
		return who, is(p.addrs[who])
	}
	for n, a := range p.addrs {
		if is(a) {
			return n, true
		}
	}
	return 0, false
}

// Close ends both directions.
func (p *Peers) Close() { p.conn.Close() }
