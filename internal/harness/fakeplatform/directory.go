package fakeplatform

import (
	"net"
	"net/netip"
	"sync/atomic"

	"golang.org/x/net/dns/dnsmessage"
)

// Service is the DNS name whose SRV records are the endpoint list.
const Service = "_app._tcp.cluster.lan"

// A DirectoryResponse describes a DNS response of the directory. Fields that are not set have the
// values of a valid response.
type DirectoryResponse struct {
	Serial   uint32
	Workers  []string // ids of the workers
	Addrs    []netip.AddrPort
	Cells    []string // by worker; "2" for those beyond the end
	Drains   []bool   // by worker, in addition to Priority
	Priority uint16   // 1 if the workers drain
	Started  string   // when the workers started; "" for long ago

	// Faults of the response.
	NoSOA, NoA, NoTXT, Truncated, NotResponse, DuplicateRecords bool
	RCode                                                       dnsmessage.RCode
	Question                                                    string // name in the question; "" for Service
}

func name(s string) dnsmessage.Name { return dnsmessage.MustNewName(s + ".") }

// Pack encodes the response to the query with an id.
func (r DirectoryResponse) Pack(id uint16) ([]byte, error) {
	service := name(Service)
	if r.Question != "" {
		service = name(r.Question)
	}
	header := func(n dnsmessage.Name) dnsmessage.ResourceHeader {
		return dnsmessage.ResourceHeader{Name: n, Class: dnsmessage.ClassINET}
	}
	m := dnsmessage.Message{Header: dnsmessage.Header{ID: id, Response: !r.NotResponse, RCode: r.RCode, Truncated: r.Truncated},
		Questions: []dnsmessage.Question{{Name: service, Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}}}
	if !r.NoSOA {
		m.Authorities = []dnsmessage.Resource{{Header: header(name("cluster.lan")),
			Body: &dnsmessage.SOAResource{NS: name("ns.cluster.lan"), MBox: name("a.b"), Serial: r.Serial}}}
	}
	workers := r.Workers
	if r.DuplicateRecords {
		workers = append(workers, workers...)
	}
	started := r.Started
	if started == "" {
		started = "0"
	}
	for i, w := range workers {
		host, addr := name(w+".east.hosts"), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(9 + i)}), 7001)
		if i < len(r.Addrs) {
			addr = r.Addrs[i]
		}
		cell, priority := "2", r.Priority
		if i < len(r.Cells) {
			cell = r.Cells[i]
		}
		if i < len(r.Drains) && r.Drains[i] {
			priority = 1
		}
		m.Answers = append(m.Answers, dnsmessage.Resource{Header: header(service), Body: &dnsmessage.SRVResource{Priority: priority, Weight: 40, Port: addr.Port(), Target: host}})
		if !r.NoA || i > 0 {
			m.Additionals = append(m.Additionals, dnsmessage.Resource{Header: header(host), Body: &dnsmessage.AResource{A: addr.Addr().As4()}})
		}
		if !r.NoTXT {
			m.Additionals = append(m.Additionals, dnsmessage.Resource{Header: header(host),
				Body: &dnsmessage.TXTResource{TXT: []string{"kind=std", "cell=" + cell, "started=" + started}}})
		}
	}
	return m.Pack()
}

// ListenDirectory listens on a loopback port and calls respond for each valid query, with the
// number of the query, from 0, and its id. It sends the datagrams that respond returns. Other
// queries get no response.
func ListenDirectory(respond func(n int, id uint16) [][]byte) (net.PacketConn, error) {
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
			for _, b := range respond(n, m.ID) {
				c.WriteTo(b, from)
			}
			n++
		}
	}()
	return c, nil
}

// A Directory responds to each query with the response that was last set, and not at all before.
type Directory struct {
	net.PacketConn
	response atomic.Pointer[DirectoryResponse]
}

// NewDirectory starts a directory.
func NewDirectory() (*Directory, error) {
	d := &Directory{}
	var err error
	d.PacketConn, err = ListenDirectory(func(_ int, id uint16) [][]byte {
		response := d.response.Load()
		if response == nil {
			return nil
		}
		b, err := response.Pack(id)
		if err != nil {
			return nil
		}
		return [][]byte{b}
	})
	return d, err
}

// Set sets the response.
func (d *Directory) Set(response DirectoryResponse) { d.response.Store(&response) }
