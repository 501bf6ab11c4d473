package dns

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/dns/dnsmessage"

	"kitehub/choice"
	"kitehub/gateway"
	"kitehub/standin/platform"
)

const service = platform.Service

func name(s string) dnsmessage.Name { return dnsmessage.MustNewName(s + ".") }

func answer(t testing.TB, l platform.List, id uint16) []byte {
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
		d    platform.List
		id   uint16
		err  string
	}{
		{"good", platform.List{Serial: 41, Workers: two}, 7, ""},
		{"empty", platform.List{Serial: 41}, 7, ""},
		{"draining", platform.List{Serial: 41, Workers: two, Prio: 1}, 7, ""},
		{"another id", platform.List{Serial: 41, Workers: two}, 8, "not the answer"},
		{"a question come back", platform.List{Serial: 41, Workers: two, NotAnswer: true}, 7, "not the answer"},
		{"another question", platform.List{Serial: 41, Workers: two, Question: "_web._tcp.cluster.lan"}, 7, "not the answer"},
		{"a failure", platform.List{Serial: 41, Workers: two, RCode: dnsmessage.RCodeServerFailure}, 7, "failure"},
		{"truncated", platform.List{Serial: 41, Workers: two, Cut: true}, 7, "truncated"},
		{"no number", platform.List{Workers: two, NoSOA: true}, 7, "no number"},
		{"an address missing", platform.List{Serial: 41, Workers: two, NoA: true}, 7, "missing"},
		{"facts missing", platform.List{Serial: 41, Workers: two, NoTXT: true}, 7, "missing"},
		{"listed twice", platform.List{Serial: 41, Workers: two, Twice: true}, 7, "twice"},
		{"an unknown priority", platform.List{Serial: 41, Workers: two, Prio: 2}, 7, "priority"},
		{"a start that is no time", platform.List{Serial: 41, Workers: two, Started: "soon"}, 7, "no time"},
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
	_, l, _ := Parse(answer(t, platform.List{Serial: 41, Workers: two, Started: "1500"}, 7), 7, name(service))
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

func server(t *testing.T, script func(n int, id uint16) [][]byte) string {
	t.Helper()
	c, err := platform.Direct(script)
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
			return [][]byte{answer(t, platform.List{Serial: 9, Workers: []string{"evil"}}, id+1)}
		case 2:
			return [][]byte{answer(t, platform.List{Serial: 9, RCode: dnsmessage.RCodeServerFailure}, id)}
		case 3:
			return [][]byte{answer(t, platform.List{Serial: 9, Workers: []string{"a"}}, id)[:30]}
		case 4:
			return [][]byte{answer(t, platform.List{Serial: 2, Workers: []string{"old"}}, id)}
		case 5: // noise first, then the answer, then it once more
			good := answer(t, platform.List{Serial: 4, Workers: []string{"a", "b"}}, id)
			return [][]byte{[]byte("noise"), good, good}
		}
		return [][]byte{answer(t, platform.List{Serial: 4, Workers: []string{"a", "b"}}, id)}
	})
	second := server(t, func(_ int, id uint16) [][]byte {
		return [][]byte{answer(t, platform.List{Serial: 5, Workers: []string{"b"}}, id)}
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
	f.Add(answer(f, platform.List{Serial: 41, Workers: []string{"a", "b"}}, 7))
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
