package dns

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/dns/dnsmessage"

	"kitehub/internal/gateway"
	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

const service = fakeplatform.Service

func name(s string) dnsmessage.Name { return dnsmessage.MustNewName(s + ".") }

func answer(t testing.TB, l fakeplatform.List, id uint16) []byte {
	t.Helper()
	b, err := l.Pack(id)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestParse(t *testing.T) {
	two := []string{"s-2", "s-1"}
	tests := []struct {
		name string
		d    fakeplatform.List
		id   uint16
		err  string
	}{
		{"good", fakeplatform.List{Serial: 41, Workers: two}, 7, ""},
		{"empty", fakeplatform.List{Serial: 41}, 7, ""},
		{"draining", fakeplatform.List{Serial: 41, Workers: two, Prio: 1}, 7, ""},
		{"another id", fakeplatform.List{Serial: 41, Workers: two}, 8, "not the answer"},
		{"a question come back", fakeplatform.List{Serial: 41, Workers: two, NotAnswer: true}, 7, "not the answer"},
		{"another question", fakeplatform.List{Serial: 41, Workers: two, Question: "_web._tcp.cluster.lan"}, 7, "not the answer"},
		{"a failure", fakeplatform.List{Serial: 41, Workers: two, RCode: dnsmessage.RCodeServerFailure}, 7, "failure"},
		{"truncated", fakeplatform.List{Serial: 41, Workers: two, Cut: true}, 7, "truncated"},
		{"no number", fakeplatform.List{Workers: two, NoSOA: true}, 7, "no number"},
		{"an address missing", fakeplatform.List{Serial: 41, Workers: two, NoA: true}, 7, "missing"},
		{"facts missing", fakeplatform.List{Serial: 41, Workers: two, NoTXT: true}, 7, "missing"},
		{"every record twice", fakeplatform.List{Serial: 41, Workers: two, Twice: true}, 7, ""},
		{"an unknown priority", fakeplatform.List{Serial: 41, Workers: two, Prio: 2}, 7, "priority"},
		{"a start that is no time", fakeplatform.List{Serial: 41, Workers: two, Started: "soon"}, 7, "no time"},
	}
	for _, tt := range tests {
		b := answer(t, tt.d, 7)
		serial, l, err := Parse(b, tt.id, name(service))
		if tt.err == "" && err != nil || tt.err != "" && (err == nil || !strings.Contains(err.Error(), tt.err)) {
			t.Errorf("%s: error %v, want %q", tt.name, err, tt.err)
		}
		if err == nil && (serial != 41 || len(l) != len(tt.d.Workers)) {
			t.Errorf("%s: %d, %v", tt.name, serial, l)
		}
		for n := range b { // cut anywhere, it says nothing
			if _, _, err := Parse(b[:n], 7, name(service)); err == nil {
				t.Errorf("%s: taken whole when cut at byte %d of %d", tt.name, n, len(b))
				break
			}
		}
	}
	_, l, _ := Parse(answer(t, fakeplatform.List{Serial: 41, Workers: two, Started: "1500"}, 7), 7, name(service))
	want := gateway.Worker{Name: "s-1", Network: "tcp", Addr: "10.1.0.10:7001", Zone: "east", Group: "2", Kind: "std", State: scheduler.Ready, Size: 4, Started: time.UnixMilli(1500)}
	if len(l) != 2 || l[0] != want {
		t.Errorf("%+v, want %+v", l, want)
	}
}

// TestListedTwice: a worker that is listed once more says nothing new, unless it then drains, or is another.
func TestListedTwice(t *testing.T) {
	tests := []struct {
		name   string
		change func(*dnsmessage.SRVResource) // of the second record
		want   scheduler.WorkerState
		err    string
	}{
		{"the same", func(*dnsmessage.SRVResource) {}, scheduler.Ready, ""},
		{"ready and draining", func(r *dnsmessage.SRVResource) { r.Priority = 1 }, scheduler.Draining, ""},
		{"at two ports", func(r *dnsmessage.SRVResource) { r.Port++ }, 0, "listed twice"},
		{"of two sizes", func(r *dnsmessage.SRVResource) { r.Weight = 80 }, 0, "listed twice"},
	}
	for _, tt := range tests {
		for _, second := range []int{0, 1} { // in either order
			var m dnsmessage.Message
			if err := m.Unpack(answer(t, fakeplatform.List{Serial: 41, Workers: []string{"s-1"}, Twice: true}, 7)); err != nil {
				t.Fatal(err)
			}
			tt.change(m.Answers[second].Body.(*dnsmessage.SRVResource))
			b, err := m.Pack()
			if err != nil {
				t.Fatal(err)
			}
			_, l, err := Parse(b, 7, name(service))
			if tt.err != "" && (err == nil || !strings.Contains(err.Error(), tt.err)) {
				t.Errorf("%s: error %v, want %q", tt.name, err, tt.err)
			}
			if tt.err == "" && (err != nil || len(l) != 1 || l[0].State != tt.want) {
				t.Errorf("%s: %+v, %v", tt.name, l, err)
			}
		}
	}
}

func TestAdvance(t *testing.T) {
	for _, tt := range []struct {
		held, serial uint32
		want         bool
	}{{5, 5, false}, {5, 4, false}, {5, 7, true}, {7, 6, false}, {0, 0, true}, {0, 3e9, true}, {3, 0, false},
		{math.MaxUint32, 1, true}, {math.MaxUint32 - 1, math.MaxUint32, true}, {1, math.MaxUint32, false}} {
		s := State{Serial: tt.held}
		if got := s.Advance(tt.serial); got != tt.want || got && s.Serial != tt.serial || !got && s.Serial != tt.held {
			t.Errorf("%d after %d: %v, now %d", tt.serial, tt.held, got, s.Serial)
		}
	}
}

// sink hands lists to the test.
type sink struct{ news chan string }

func (s sink) Workers(_ scheduler.ListKind, version uint32, l []gateway.Worker) error {
	text := fmt.Sprint(version)
	for _, w := range l {
		text += " " + w.Name
	}
	s.news <- text
	return nil
}

func server(t *testing.T, script func(n int, id uint16) [][]byte) string {
	t.Helper()
	c, err := fakeplatform.Direct(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
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
			return [][]byte{answer(t, fakeplatform.List{Serial: 9, Workers: []string{"evil"}}, id+1)}
		case 2:
			return [][]byte{answer(t, fakeplatform.List{Serial: 9, RCode: dnsmessage.RCodeServerFailure}, id)}
		case 3:
			return [][]byte{answer(t, fakeplatform.List{Serial: 9, Workers: []string{"a"}}, id)[:30]}
		case 4:
			return [][]byte{answer(t, fakeplatform.List{Serial: 2, Workers: []string{"old"}}, id)}
		case 5: // noise first, then the answer, then it once more
			good := answer(t, fakeplatform.List{Serial: 4, Workers: []string{"a", "b"}}, id)
			return [][]byte{[]byte("noise"), good, good}
		}
		return [][]byte{answer(t, fakeplatform.List{Serial: 4, Workers: []string{"a", "b"}}, id)}
	})
	second := server(t, func(_ int, id uint16) [][]byte {
		return [][]byte{answer(t, fakeplatform.List{Serial: 5, Workers: []string{"b"}}, id)}
	})
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
	if err := w.SetServer(second); err != nil {
		t.Fatal(err)
	}
	if got := <-s.news; got != "5 b" {
		t.Errorf("of the new server %q", got)
	}
	w.Stop()
	if len(s.news) > 0 {
		t.Errorf("more news: %q", <-s.news)
	}
}

// watch starts to watch a server with times so long that no answer comes by asking once more.
func watch(t *testing.T, server string) (*Watcher, sink) {
	t.Helper()
	s := sink{make(chan string, 10)}
	w, err := Start(Config{Service: service, Server: server, Serial: 3, Period: time.Hour, Sink: s, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Stop)
	return w, s
}

func (s sink) want(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-s.news:
		if got != want {
			t.Errorf("news %q, want %q", got, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("no news, want %q", want)
	}
}

func (w *Watcher) mustSetServer(t *testing.T, server string) {
	t.Helper()
	if err := w.SetServer(server); err != nil {
		t.Fatal(err)
	}
}

// TestSameServer: to name the server in force once more, while a question is out, loses neither its answer nor a period.
func TestSameServer(t *testing.T) {
	asked, named := make(chan struct{}), make(chan struct{})
	addr := server(t, func(n int, id uint16) [][]byte {
		if n > 0 {
			return nil
		}
		close(asked)
		<-named
		return [][]byte{answer(t, fakeplatform.List{Serial: 4, Workers: []string{"a"}}, id)}
	})
	w, s := watch(t, server(t, func(int, uint16) [][]byte { return nil }))
	w.mustSetServer(t, addr)
	<-asked
	w.mustSetServer(t, addr)
	close(named)
	s.want(t, "4 a")
}

// TestServerChanged: while the first server keeps a question unanswered the second is asked at once, and what the first then
// says, under the very id of the new question, is nobody's answer.
func TestServerChanged(t *testing.T) {
	asked, ids, written := make(chan struct{}), make(chan uint16), make(chan struct{})
	first, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	go func() {
		_, from, _ := first.ReadFrom(make([]byte, 512))
		close(asked)
		first.WriteTo(answer(t, fakeplatform.List{Serial: 9, Workers: []string{"old"}}, <-ids), from)
		close(written)
	}()
	second := server(t, func(_ int, id uint16) [][]byte {
		ids <- id
		<-written // it lies before ours in the socket
		return [][]byte{answer(t, fakeplatform.List{Serial: 5, Workers: []string{"b"}}, id)}
	})
	w, s := watch(t, server(t, func(int, uint16) [][]byte { return nil }))
	w.mustSetServer(t, first.LocalAddr().String())
	<-asked
	w.mustSetServer(t, second)
	s.want(t, "5 b")
}

// TestNoDescriptorNeeded: another server is asked though no descriptor is left, as where idle clients hold them all.
func TestNoDescriptorNeeded(t *testing.T) {
	addr := server(t, func(_ int, id uint16) [][]byte {
		return [][]byte{answer(t, fakeplatform.List{Serial: 4, Workers: []string{"a"}}, id)}
	})
	w, s := watch(t, addr)
	w.mustSetServer(t, "127.0.0.1:1") // nobody is there, and the kernel says so at once to a socket that is connected
	for w.Counts.Asked.Load() == 0 {
		runtime.Gosched()
	}
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	defer syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 100, Max: was.Max}); err != nil {
		t.Fatal(err)
	}
	for {
		f, err := os.Open(os.DevNull)
		if errors.Is(err, syscall.EMFILE) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
	}
	w.mustSetServer(t, addr)
	s.want(t, "4 a")
}

// TestWayLost: where nothing comes back to one port any more, another is tried.
func TestWayLost(t *testing.T) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go func() {
		buf, lost := make([]byte, 512), ""
		for {
			n, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			if lost == "" {
				lost = from.String()
			}
			if from.String() != lost {
				c.WriteTo(answer(t, fakeplatform.List{Serial: 4, Workers: []string{"a"}}, binary.BigEndian.Uint16(buf[:n])), from)
			}
		}
	}()
	s := sink{make(chan string, 10)}
	w, err := Start(Config{Service: service, Server: c.LocalAddr().String(), Serial: 3, Period: 20 * time.Millisecond, Sink: s, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	defer w.Stop()
	s.want(t, "4 a")
}

func TestAddress(t *testing.T) {
	for in, ok := range map[string]bool{"127.0.0.1:53": true, "[::ffff:127.0.0.1]:53": true, "names.cluster:53": false, "127.0.0.1": false,
		"127.0.0.1:0": false, "[::1]:53": false, "": false} {
		if a, err := Address(in); (err == nil) != ok || ok && a.String() != "127.0.0.1:53" {
			t.Errorf("%q: %v, %v", in, a, err)
		}
	}
}

func TestErrors(t *testing.T) {
	w, _ := watch(t, "127.0.0.1:1")
	if err := w.SetServer("nowhere"); err == nil {
		t.Error("a server without an address is taken")
	}
	if _, err := Start(Config{Service: service, Server: "nowhere"}); err == nil {
		t.Error("a server without an address is taken at the start")
	}
	if _, err := Start(Config{Service: strings.Repeat("x", 300)}); err == nil {
		t.Error("a name of 300 bytes is taken")
	}
	if _, _, err := Parse(nil, 1, name(service)); err == nil || errors.Is(err, errOther) {
		t.Errorf("nothing: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(answer(f, fakeplatform.List{Serial: 41, Workers: []string{"a", "b"}}, 7))
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
