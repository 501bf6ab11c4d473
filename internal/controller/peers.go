package controller

import (
	"encoding/binary"
	"fmt"
	"net"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

const (
	// maxMessageBytes is the maximum length of a peer message, without the sender's index.
	maxMessageBytes = 256
	// indexBytes is the length of the sender's index in front of a peer message.
	indexBytes = 4
)

// Peers transports peer messages between the dispatchers of the controllers. Each message is one
// UDP datagram. Messages can be lost, and the dispatchers tolerate that. Messages are accepted only
// from the configured addresses. Peers is safe for concurrent use.
type Peers struct {
	conn        *net.UDPConn
	self        int                  // index of this controller
	addrs       map[int]*net.UDPAddr // addresses of the controllers by index
	headerBytes int                  // indexBytes, or 0 if the address alone identifies the sender
}

// ListenPeers opens a socket at the address listen. addrs are the addresses of the controllers by
// index; self is the index of this one. With indexed, each datagram starts with the sender's index.
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
	if len(payload) > maxMessageBytes {
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

// Receive passes the received messages to the gateway until Close is called.
func (p *Peers) Receive(g *gateway.Gateway) {
	buf := make([]byte, p.headerBytes+maxMessageBytes+1)
	for {
		n, from, err := p.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if n < p.headerBytes || n > p.headerBytes+maxMessageBytes {
			continue
		}
		if index, ok := p.sender(buf, from); ok {
			g.ReceivePeerMessage(index, append([]byte(nil), buf[p.headerBytes:n]...))
		}
	}
}

// sender returns the index of the controller that sent a datagram. It returns false if the address
// is not that of a controller or does not match the index.
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

// Close closes the socket.
func (p *Peers) Close() { p.conn.Close() }
