package fakeplatform

import (
	"net"
	"net/netip"
	"sync/atomic"

	"golang.org/x/net/dns/dnsmessage"
)

// Service is the name whose SRV records are the list.
const Service = "_app._tcp.cluster.lan"

// A DirectoryResponse is an answer of the directory. What is not set is as in a good one.
type DirectoryResponse struct {
	Serial   uint32
	Workers  []string // ids
	Addrs    []netip.AddrPort
	Priority uint16 // 1: they drain
	Started  string // "": long ago

	// Faults.
	NoSOA, NoA, NoTXT, Truncated, NotResponse, DuplicateRecords bool
	RCode                                                       dnsmessage.RCode
	Question                                                    string // "": Service
}

func name(s string) dnsmessage.Name { return dnsmessage.MustNewName(s + ".") }

// Pack builds the answer to the question with this id.
func (l DirectoryResponse) Pack(id uint16) ([]byte, error) {
	q := name(Service)
	if l.Question != "" {
		q = name(l.Question)
	}
	head := func(n dnsmessage.Name) dnsmessage.ResourceHeader {
		return dnsmessage.ResourceHeader{Name: n, Class: dnsmessage.ClassINET}
	}
	m := dnsmessage.Message{Header: dnsmessage.Header{ID: id, Response: !l.NotResponse, RCode: l.RCode, Truncated: l.Truncated},
		Questions: []dnsmessage.Question{{Name: q, Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}}}
	if !l.NoSOA {
		m.Authorities = []dnsmessage.Resource{{Header: head(name("cluster.lan")),
			Body: &dnsmessage.SOAResource{NS: name("ns.cluster.lan"), MBox: name("a.b"), Serial: l.Serial}}}
	}
	workers := l.Workers
	if l.DuplicateRecords {
		workers = append(workers, workers...)
	}
	started := l.Started
	if started == "" {
		started = "0"
	}
	for i, w := range workers {
		host, at := name(w+".east.hosts"), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(9 + i)}), 7001)
		if i < len(l.Addrs) {
			at = l.Addrs[i]
		}
		m.Answers = append(m.Answers, dnsmessage.Resource{Header: head(q), Body: &dnsmessage.SRVResource{Priority: l.Priority, Weight: 40, Port: at.Port(), Target: host}})
		if !l.NoA || i > 0 {
			m.Additionals = append(m.Additionals, dnsmessage.Resource{Header: head(host), Body: &dnsmessage.AResource{A: at.Addr().As4()}})
		}
		if !l.NoTXT {
			m.Additionals = append(m.Additionals, dnsmessage.Resource{Header: head(host),
				Body: &dnsmessage.TXTResource{TXT: []string{"kind=std", "cell=2", "started=" + started}}})
		}
	}
	return m.Pack()
}

// ListenDirectory answers on loopback the n-th good question as a script says: with any datagrams, or none. Others get nothing.
func ListenDirectory(script func(n int, id uint16) [][]byte) (net.PacketConn, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		buf := make([]byte, 512)
		for n := 0; ; {
			size, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			var m dnsmessage.Message
			if m.Unpack(buf[:size]) != nil || len(m.Questions) != 1 || m.Questions[0].Type != dnsmessage.TypeSRV || m.Questions[0].Name != name(Service) {
				continue
			}
			for _, b := range script(n, m.ID) {
				c.WriteTo(b, from)
			}
			n++
		}
	}()
	return c, nil
}

// A Directory answers with one list, which may change; with none at first.
type Directory struct {
	net.PacketConn
	list atomic.Pointer[DirectoryResponse]
}

// NewDirectory starts one.
func NewDirectory() (*Directory, error) {
	d := &Directory{}
	var err error
	d.PacketConn, err = ListenDirectory(func(_ int, id uint16) [][]byte {
		l := d.list.Load()
		if l == nil {
			return nil
		}
		b, err := l.Pack(id)
		if err != nil {
			return nil
		}
		return [][]byte{b}
	})
	return d, err
}

// Set changes the list.
func (d *Directory) Set(l DirectoryResponse) { d.list.Store(&l) }
