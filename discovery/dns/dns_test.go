package dns

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/dns/dnsmessage"

	"kitehub/choice"
	"kitehub/gateway"
)

const service = "_app._tcp.cluster.lan"

func name(s string) dnsmessage.Name { return dnsmessage.MustNewName(s + ".") }

// directory builds answers. What is not set is as a good answer has it.
type directory struct {
	serial  uint32
	ids     []string
	prio    uint16
	noSOA   bool
	noA     bool
	noTXT   bool
	started string
	rcode   dnsmessage.RCode
	cut     bool
	other   string // question
	notAnswer,
	twice bool
}

func (d directory) answer(id uint16) []byte {
	q := name(service)
	if d.other != "" {
		q = name(d.other)
	}
	m := dnsmessage.Message{Header: dnsmessage.Header{ID: id, Response: !d.notAnswer, RCode: d.rcode, Truncated: d.cut},
		Questions: []dnsmessage.Question{{Name: q, Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}}}
	head := func(n dnsmessage.Name) dnsmessage.ResourceHeader {
		return dnsmessage.ResourceHeader{Name: n, Class: dnsmessage.ClassINET}
	}
	if !d.noSOA {
		m.Authorities = []dnsmessage.Resource{{Header: head(name("cluster.lan")), Body: &dnsmessage.SOAResource{NS: name("ns.cluster.lan"), MBox: name("a.b"), Serial: d.serial}}}
	}
	ids := d.ids
	if d.twice {
		ids = append(ids, ids...)
	}
	started := d.started
	if started == "" {
		started = "0"
	}
	for i, id := range ids {
		host := name(id + ".east.hosts")
		m.Answers = append(m.Answers, dnsmessage.Resource{Header: head(q), Body: &dnsmessage.SRVResource{Priority: d.prio, Weight: 40, Port: 7001, Target: host}})
		if !d.noA || i > 0 {
			m.Additionals = append(m.Additionals, dnsmessage.Resource{Header: head(host), Body: &dnsmessage.AResource{A: [4]byte{10, 1, 0, byte(9 + i)}}})
		}
		if !d.noTXT {
			m.Additionals = append(m.Additionals, dnsmessage.Resource{Header: head(host), Body: &dnsmessage.TXTResource{TXT: []string{"kind=std", "cell=2", "started=" + started}}})
		}
	}
	b, err := m.Pack()
	if err != nil {
		panic(err)
	}
	return b
}

func TestParse(t *testing.T) {
	two := []string{"s-2", "s-1"}
	tests := []struct {
		name string
		d    directory
		id   uint16
		err  string
	}{
		{"good", directory{serial: 41, ids: two}, 7, ""},
		{"empty", directory{serial: 41}, 7, ""},
		{"draining", directory{serial: 41, ids: two, prio: 1}, 7, ""},
		{"another id", directory{serial: 41, ids: two}, 8, "not the answer"},
		{"a question come back", directory{serial: 41, ids: two, notAnswer: true}, 7, "not the answer"},
		{"another question", directory{serial: 41, ids: two, other: "_web._tcp.cluster.lan"}, 7, "not the answer"},
		{"a failure", directory{serial: 41, ids: two, rcode: dnsmessage.RCodeServerFailure}, 7, "failure"},
		{"truncated", directory{serial: 41, ids: two, cut: true}, 7, "truncated"},
		{"no number", directory{ids: two, noSOA: true}, 7, "no number"},
		{"an address missing", directory{serial: 41, ids: two, noA: true}, 7, "missing"},
		{"facts missing", directory{serial: 41, ids: two, noTXT: true}, 7, "missing"},
		{"listed twice", directory{serial: 41, ids: two, twice: true}, 7, "twice"},
		{"an unknown priority", directory{serial: 41, ids: two, prio: 2}, 7, "priority"},
		{"a start that is no time", directory{serial: 41, ids: two, started: "soon"}, 7, "no time"},
	}
	for _, tt := range tests {
		b := tt.d.answer(7)
		serial, l, err := Parse(b, tt.id, name(service))
		if tt.err == "" && err != nil || tt.err != "" && (err == nil || !strings.Contains(err.Error(), tt.err)) {
			t.Errorf("%s: error %v, want %q", tt.name, err, tt.err)
		}
		if err == nil && (serial != 41 || len(l) != len(tt.d.ids)) {
			t.Errorf("%s: %d, %v", tt.name, serial, l)
		}
		for n := range b { // cut anywhere, it says nothing
			if _, _, err := Parse(b[:n], 7, name(service)); err == nil {
				t.Errorf("%s: taken whole when cut at byte %d of %d", tt.name, n, len(b))
				break
			}
		}
	}
	_, l, _ := Parse(directory{serial: 41, ids: two, started: "1500"}.answer(7), 7, name(service))
	want := gateway.Worker{Name: "s-1", Network: "tcp", Addr: "10.1.0.10:7001", Zone: "east", Group: "2", Kind: "std", State: choice.Ready, Size: 4, Started: time.UnixMilli(1500)}
	if len(l) != 2 || l[0] != want {
		t.Errorf("%+v, want %+v", l, want)
	}
}

func TestBelieve(t *testing.T) {
	s := State{Serial: 5}
	for _, tt := range []struct {
		serial uint32
		want   bool
	}{{5, false}, {4, false}, {7, true}, {6, false}, {7, false}, {8, true}} {
		if got := s.Believe(tt.serial); got != tt.want {
			t.Errorf("%d after %d: %v", tt.serial, s.Serial, got)
		}
	}
}

// sink hands lists to the test.
type sink struct{ news chan string }

func (s sink) Workers(_ choice.ListKind, version uint32, l []gateway.Worker) error {
	text := fmt.Sprint(version)
	for _, w := range l {
		text += " " + w.Name
	}
	s.news <- text
	return nil
}

// server answers the n-th question as script says; nil: not at all.
func server(t *testing.T, script func(n int, id uint16) [][]byte) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	go func() {
		buf := make([]byte, 512)
		for n := 0; ; n++ {
			size, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			var m dnsmessage.Message
			if m.Unpack(buf[:size]) != nil || len(m.Questions) != 1 || m.Questions[0].Type != dnsmessage.TypeSRV || m.Questions[0].Name != name(service) {
				continue
			}
			for _, b := range script(n, m.ID) {
				c.WriteTo(b, from)
			}
		}
	}()
	return c.LocalAddr().String()
}

func TestWatch(t *testing.T) {
	var mu sync.Mutex
	ids := map[uint16]bool{}
	first := server(t, func(n int, id uint16) [][]byte {
		mu.Lock()
		ids[id] = true
		mu.Unlock()
		switch n {
		case 0:
			return nil
		case 1:
			return [][]byte{directory{serial: 9, ids: []string{"evil"}}.answer(id + 1)}
		case 2:
			return [][]byte{directory{serial: 9, rcode: dnsmessage.RCodeServerFailure}.answer(id)}
		case 3:
			return [][]byte{directory{serial: 9, ids: []string{"a"}}.answer(id)[:30]}
		case 4:
			return [][]byte{directory{serial: 2, ids: []string{"old"}}.answer(id)}
		case 5: // noise first, then the answer, then it once more
			good := directory{serial: 4, ids: []string{"a", "b"}}.answer(id)
			return [][]byte{[]byte("noise"), good, good}
		}
		return [][]byte{directory{serial: 4, ids: []string{"a", "b"}}.answer(id)}
	})
	second := server(t, func(_ int, id uint16) [][]byte { return [][]byte{directory{serial: 5, ids: []string{"b"}}.answer(id)} })
	s := sink{make(chan string, 10)}
	w, err := Start(Config{Service: service, Server: first, Serial: 3, Period: 20 * time.Millisecond, Sink: s, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	defer w.Stop()
	if got := <-s.news; got != "4 a b" {
		t.Errorf("first news %q", got)
	}
	mu.Lock()
	if len(ids) < 5 {
		t.Errorf("%d ids for 6 questions", len(ids))
	}
	mu.Unlock()
	w.Turn(second)
	if got := <-s.news; got != "5 b" {
		t.Errorf("of the new server %q", got)
	}
	w.Stop()
	if len(s.news) > 0 {
		t.Errorf("more news: %q", <-s.news)
	}
}

func TestErrors(t *testing.T) {
	if _, err := Start(Config{Service: strings.Repeat("x", 300)}); err == nil {
		t.Error("a name of 300 bytes is taken")
	}
	if _, _, err := Parse(nil, 1, name(service)); err == nil || errors.Is(err, errOther) {
		t.Errorf("nothing: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(directory{serial: 41, ids: []string{"a", "b"}}.answer(7))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, l, err := Parse(in, 7, name(service))
		if err == nil {
			for _, w := range l {
				if w.Name == "" || w.Zone == "" || w.State == 0 {
					t.Errorf("%x: %+v", in, w)
				}
			}
		}
	})
}
