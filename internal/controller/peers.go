package controller

import (
	"encoding/binary"
	"fmt"
	"net"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

const (
	// maxMessage is the length in bytes of the longest message.
	maxMessage = 256
	// indexBytes is the length of the sender's index before a message.
	indexBytes = 4
)

// Peers carries the dispatchers' gossip between controllers, as one UDP datagram a message. Messages may be lost, as
// the dispatcher knows. They are accepted only from the addresses that the configuration names. Peers is safe for
// concurrent use.
type Peers struct {
	conn        *net.UDPConn
	self        int                  // index of this controller
	addrs       map[int]*net.UDPAddr // by index
	headerBytes int                  // indexBytes, or 0 where the address alone tells who the sender is
}

// ListenPeers sends and receives at the address listen. addrs are the controllers' by index; self is the index of this
// one. indexed puts the sender's index before each message.
func ListenPeers(self int, listen string, addrs map[int]string, indexed bool) (*Peers, error) {
	p := &Peers{self: self, addrs: map[int]*net.UDPAddr{}}
	if indexed {
		p.headerBytes = indexBytes
	}
	for index, addr := range addrs {
		a, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		p.addrs[index] = a
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

// Send implements gateway.Peers. A message of more than 256 bytes is dropped.
func (p *Peers) Send(to int, payload []byte) {
	if len(payload) > maxMessage {
		return
	}
	var datagram []byte
	if p.headerBytes > 0 {
		datagram = binary.BigEndian.AppendUint32(nil, uint32(p.self))
	}
	datagram = append(datagram, payload...)
	for index, addr := range p.addrs {
		if index == to || to == scheduler.AllControllers && index != p.self {
			p.conn.WriteToUDP(datagram, addr)
		}
	}
}

// Receive hands what comes to the gateway, until Close.
func (p *Peers) Receive(g *gateway.Gateway) {
	buf := make([]byte, p.headerBytes+maxMessage+1)
	for {
		n, from, err := p.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if n < p.headerBytes || n > p.headerBytes+maxMessage {
			continue
		}
		if index, ok := p.sender(buf, from); ok {
			g.ReceivePeerMessage(index, append([]byte(nil), buf[p.headerBytes:n]...))
		}
	}
}

// sender returns the index of the controller that sent a datagram; false if its address is not that of a controller.
func (p *Peers) sender(datagram []byte, from *net.UDPAddr) (index int, ok bool) {
	matches := func(a *net.UDPAddr) bool { return a != nil && a.IP.Equal(from.IP) && a.Port == from.Port }
	if p.headerBytes > 0 {
		index = int(binary.BigEndian.Uint32(datagram))
		return index, matches(p.addrs[index])
	}
	for index, addr := range p.addrs {
		if matches(addr) {
			return index, true
		}
	}
	return 0, false
}

// Close ends both directions.
func (p *Peers) Close() { p.conn.Close() }
