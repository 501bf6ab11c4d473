package dns

import (
	"encoding/binary"
	"errors"
	"fmt"
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

// A sink hands each list to the test, as its version and the names of its workers.
type sink struct{ lists chan string }

func newSink() sink { return sink{make(chan string, 10)} }

func (s sink) UpdateWorkers(_ scheduler.ListKind, version uint32, workers []gateway.Worker) error {
	text := fmt.Sprint(version)
	for _, w := range workers {
		text += " " + w.Name
	}
	s.lists <- text
	return nil
}

func (s sink) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-s.lists:
		if got != want {
			t.Errorf("list %q, want %q", got, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("no list, want %q", want)
	}
}

// startServer starts a directory that answers the n-th query (from 0), of this id, with the messages of a script.
func startServer(t *testing.T, script func(n int, id uint16) [][]byte) (addr string) {
	t.Helper()
	c, err := fakeplatform.Direct(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.LocalAddr().String()
}

func silent(int, uint16) [][]byte { return nil }

// startWatcher watches a server, from serial 3.
func startWatcher(t *testing.T, server string, period time.Duration) (*Watcher, sink) {
	t.Helper()
	s := newSink()
	w, err := Start(Config{Service: service, Server: server, Serial: 3, PollInterval: period, Sink: s, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Stop)
	return w, s
}

// Periods of a watcher that repeats a query soon, and of one that does not within a test.
const (
	shortPeriod = 20 * time.Millisecond
	longPeriod  = time.Hour
)

func (w *Watcher) mustSetServer(t *testing.T, server string) {
	t.Helper()
	if err := w.SetServer(server); err != nil {
		t.Fatal(err)
	}
}

// idSet notes the ids of queries; it is safe for concurrent use.
type idSet struct {
	mu  sync.Mutex
	ids map[uint16]bool
}

func (s *idSet) add(id uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids == nil {
		s.ids = map[uint16]bool{}
	}
	s.ids[id] = true
}

func (s *idSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ids)
}

// Only a complete answer to the query in flight, with a newer serial, changes the list; and each list does so once.
func TestOnlyValidNewerAnswersChangeTheList(t *testing.T) {
	ids := &idSet{}
	first := startServer(t, func(n int, id uint16) [][]byte {
		ids.add(id)
		good := answer(t, fakeplatform.List{Serial: 4, Workers: []string{"a", "b"}}, id)
		switch n {
		case 0: // lost
			return nil
		case 1: // of another query
			return [][]byte{answer(t, fakeplatform.List{Serial: 9, Workers: []string{"evil"}}, id+1)}
		case 2: // a failure
			return [][]byte{answer(t, fakeplatform.List{Serial: 9, RCode: dnsmessage.RCodeServerFailure}, id)}
		case 3: // truncated
			return [][]byte{answer(t, fakeplatform.List{Serial: 9, Workers: []string{"a"}}, id)[:30]}
		case 4: // of a replica that lags behind
			return [][]byte{answer(t, fakeplatform.List{Serial: 2, Workers: []string{"old"}}, id)}
		case 5: // behind noise, and twice
			return [][]byte{[]byte("noise"), good, good}
		}
		return [][]byte{good}
	})
	second := startServer(t, func(_ int, id uint16) [][]byte {
		return [][]byte{answer(t, fakeplatform.List{Serial: 5, Workers: []string{"b"}}, id)}
	})
	w, s := startWatcher(t, first, shortPeriod)
	s.expect(t, "4 a b")
	if n := ids.len(); n < 5 {
		t.Errorf("%d ids for 6 queries", n)
	}
	w.mustSetServer(t, second)
	s.expect(t, "5 b")
	w.Stop()
	if len(s.lists) > 0 {
		t.Errorf("a further list: %q", <-s.lists)
	}
}

// Setting the present server again while a query is in flight loses neither its answer nor a period.
func TestSettingTheSameServerLosesNoAnswer(t *testing.T) {
	queried := make(chan struct{})
	setAgain := make(chan struct{})
	addr := startServer(t, func(n int, id uint16) [][]byte {
		if n > 0 {
			return nil
		}
		close(queried)
		<-setAgain
		return [][]byte{answer(t, fakeplatform.List{Serial: 4, Workers: []string{"a"}}, id)}
	})
	w, s := startWatcher(t, startServer(t, silent), longPeriod)
	w.mustSetServer(t, addr)
	<-queried
	w.mustSetServer(t, addr)
	close(setAgain)
	s.expect(t, "4 a")
}

// While the first server leaves a query unanswered the second is queried at once; what the first then sends, with the
// very id of the new query, is ignored.
func TestAnswerOfThePreviousServerIsIgnored(t *testing.T) {
	queried := make(chan struct{})
	ids := make(chan uint16)
	written := make(chan struct{})
	first, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	go func() {
		_, from, _ := first.ReadFrom(make([]byte, 512))
		close(queried)
		first.WriteTo(answer(t, fakeplatform.List{Serial: 9, Workers: []string{"old"}}, <-ids), from)
		close(written)
	}()
	second := startServer(t, func(_ int, id uint16) [][]byte {
		ids <- id
		<-written // it is before ours in the socket
		return [][]byte{answer(t, fakeplatform.List{Serial: 5, Workers: []string{"b"}}, id)}
	})
	w, s := startWatcher(t, startServer(t, silent), longPeriod)
	w.mustSetServer(t, first.LocalAddr().String())
	<-queried
	w.mustSetServer(t, second)
	s.expect(t, "5 b")
}

// Another server is queried although no file descriptor is left, as where idle clients use them all.
func TestChangeOfServersNeedsNoDescriptor(t *testing.T) {
	addr := startServer(t, func(_ int, id uint16) [][]byte {
		return [][]byte{answer(t, fakeplatform.List{Serial: 4, Workers: []string{"a"}}, id)}
	})
	w, s := startWatcher(t, addr, longPeriod)
	w.mustSetServer(t, "127.0.0.1:1") // nobody listens: the kernel would say so at once to a connected socket
	for w.Counts.Queries.Load() == 0 {
		runtime.Gosched()
	}
	useUpDescriptors(t)
	w.mustSetServer(t, addr)
	s.expect(t, "4 a")
}

// useUpDescriptors opens files until no descriptor is left, until the test ends.
func useUpDescriptors(t *testing.T) {
	t.Helper()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 100, Max: limit.Max}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit) })
	for {
		file, err := os.Open(os.DevNull)
		if errors.Is(err, syscall.EMFILE) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { file.Close() })
	}
}

// Where nothing comes back to one port any more, another is tried.
func TestSocketIsReplacedAfterLongSilence(t *testing.T) {
	server, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	go func() {
		buffer := make([]byte, 512)
		unreachable := "" // the first port that a query comes from
		for {
			n, from, err := server.ReadFrom(buffer)
			if err != nil {
				return
			}
			if unreachable == "" {
				unreachable = from.String()
			}
			if from.String() != unreachable {
				id := binary.BigEndian.Uint16(buffer[:n])
				server.WriteTo(answer(t, fakeplatform.List{Serial: 4, Workers: []string{"a"}}, id), from)
			}
		}
	}()
	_, s := startWatcher(t, server.LocalAddr().String(), shortPeriod)
	s.expect(t, "4 a")
}

func TestAddressIsIPv4AndPort(t *testing.T) {
	for text, ok := range map[string]bool{
		"127.0.0.1:53":          true,
		"[::ffff:127.0.0.1]:53": true,
		"names.cluster:53":      false,
		"127.0.0.1":             false,
		"127.0.0.1:0":           false,
		"[::1]:53":              false,
		"":                      false,
	} {
		address, err := ParseAddress(text)
		if (err == nil) != ok || ok && address.String() != "127.0.0.1:53" {
			t.Errorf("%q: %v, %v", text, address, err)
		}
	}
}

func TestInvalidConfigurationIsRejected(t *testing.T) {
	w, _ := startWatcher(t, "127.0.0.1:1", longPeriod)
	if err := w.SetServer("nowhere"); err == nil {
		t.Error("a server without an address is accepted")
	}
	if _, err := Start(Config{Service: service, Server: "nowhere"}); err == nil {
		t.Error("a server without an address is accepted at the start")
	}
	if _, err := Start(Config{Service: strings.Repeat("x", 300)}); err == nil {
		t.Error("a name of 300 bytes is accepted")
	}
}
