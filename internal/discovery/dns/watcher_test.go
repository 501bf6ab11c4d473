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

// A sink sends each list to the test as text: its version and the names of its workers.
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

// startServer starts a directory. It responds to the n-th query (from 0), which has the given ID,
// with the messages that script returns.
func startServer(t *testing.T, script func(n int, id uint16) [][]byte) (addr string) {
	t.Helper()
	c, err := fakeplatform.ListenDirectory(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.LocalAddr().String()
}

func noResponse(int, uint16) [][]byte { return nil }

// startWatcher starts a Watcher of a server, with a list of serial 3 in force.
func startWatcher(t *testing.T, server string, interval time.Duration) (*Watcher, sink) {
	t.Helper()
	s := newSink()
	w, err := Start(Config{Service: service, Server: server, Serial: 3, PollInterval: interval, Sink: s, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Stop)
	return w, s
}

// Poll intervals of a watcher that repeats queries within a test, and of one that does not.
const (
	shortInterval = 20 * time.Millisecond
	longInterval  = time.Hour
)

func (w *Watcher) mustSetServer(t *testing.T, server string) {
	t.Helper()
	if err := w.SetServer(server); err != nil {
		t.Fatal(err)
	}
}

// idSet is a set of query IDs. It is safe for concurrent use.
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

// Only a complete response to the query in flight with a newer serial changes the list, and each
// list is applied only once.
func TestOnlyValidNewerResponsesChangeTheList(t *testing.T) {
	ids := &idSet{}
	first := startServer(t, func(n int, id uint16) [][]byte {
		ids.add(id)
		valid := packResponse(t, fakeplatform.DirectoryResponse{Serial: 4, Workers: []string{"a", "b"}}, id)
		switch n {
		case 0: // lost
			return nil
		case 1: // response to another query
			return [][]byte{packResponse(t, fakeplatform.DirectoryResponse{Serial: 9, Workers: []string{"evil"}}, id+1)}
		case 2: // failure
			return [][]byte{packResponse(t, fakeplatform.DirectoryResponse{Serial: 9, RCode: dnsmessage.RCodeServerFailure}, id)}
		case 3: // truncated
			return [][]byte{packResponse(t, fakeplatform.DirectoryResponse{Serial: 9, Workers: []string{"a"}}, id)[:30]}
		case 4: // from a replica that lags behind
			return [][]byte{packResponse(t, fakeplatform.DirectoryResponse{Serial: 2, Workers: []string{"old"}}, id)}
		case 5: // after garbage, and twice
			return [][]byte{[]byte("noise"), valid, valid}
		}
		return [][]byte{valid}
	})
	second := startServer(t, func(_ int, id uint16) [][]byte {
		return [][]byte{packResponse(t, fakeplatform.DirectoryResponse{Serial: 5, Workers: []string{"b"}}, id)}
	})
	w, s := startWatcher(t, first, shortInterval)
	s.expect(t, "4 a b")
	if n := ids.len(); n < 5 {
		t.Errorf("%d different IDs in 6 queries", n)
	}
	w.mustSetServer(t, second)
	s.expect(t, "5 b")
	w.Stop()
	if len(s.lists) > 0 {
		t.Errorf("unexpected list: %q", <-s.lists)
	}
}

// Setting the current server again while a query is in flight must neither discard the response nor
// delay the list by a poll interval.
func TestSettingTheSameServerKeepsQueryInFlight(t *testing.T) {
	queried := make(chan struct{})
	setAgain := make(chan struct{})
	addr := startServer(t, func(n int, id uint16) [][]byte {
		if n > 0 {
			return nil
		}
		close(queried)
		<-setAgain
		return [][]byte{packResponse(t, fakeplatform.DirectoryResponse{Serial: 4, Workers: []string{"a"}}, id)}
	})
	w, s := startWatcher(t, startServer(t, noResponse), longInterval)
	w.mustSetServer(t, addr)
	<-queried
	w.mustSetServer(t, addr)
	close(setAgain)
	s.expect(t, "4 a")
}

// A change of the server while a query is in flight must query the new server at once. A late
// response of the previous server must be ignored, even if it has the ID of the new query.
func TestResponseOfPreviousServerIsIgnored(t *testing.T) {
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
		first.WriteTo(packResponse(t, fakeplatform.DirectoryResponse{Serial: 9, Workers: []string{"old"}}, <-ids), from)
		close(written)
	}()
	second := startServer(t, func(_ int, id uint16) [][]byte {
		ids <- id
		<-written // the response of the first server arrives first
		return [][]byte{packResponse(t, fakeplatform.DirectoryResponse{Serial: 5, Workers: []string{"b"}}, id)}
	})
	w, s := startWatcher(t, startServer(t, noResponse), longInterval)
	w.mustSetServer(t, first.LocalAddr().String())
	<-queried
	w.mustSetServer(t, second)
	s.expect(t, "5 b")
}

// A new server must be polled even if no file descriptor is left because idle clients use them all.
func TestChangeOfServerNeedsNoDescriptor(t *testing.T) {
	addr := startServer(t, func(_ int, id uint16) [][]byte {
		return [][]byte{packResponse(t, fakeplatform.DirectoryResponse{Serial: 4, Workers: []string{"a"}}, id)}
	})
	w, s := startWatcher(t, addr, longInterval)
	w.mustSetServer(t, "127.0.0.1:1") // no listener; a connected socket would report that
	for w.Counts.Queries.Load() == 0 {
		runtime.Gosched()
	}
	useUpDescriptors(t)
	w.mustSetServer(t, addr)
	s.expect(t, "4 a")
}

// useUpDescriptors opens files until no descriptor is left. They are closed when the test ends.
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

// If responses no longer reach the port of the watcher, it must switch to another port.
func TestSocketIsReplacedAfterLongSilence(t *testing.T) {
	server, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	go func() {
		buffer := make([]byte, 512)
		unreachable := "" // the address of the first query
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
				server.WriteTo(packResponse(t, fakeplatform.DirectoryResponse{Serial: 4, Workers: []string{"a"}}, id), from)
			}
		}
	}()
	_, s := startWatcher(t, server.LocalAddr().String(), shortInterval)
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
	w, _ := startWatcher(t, "127.0.0.1:1", longInterval)
	if err := w.SetServer("nowhere"); err == nil {
		t.Error("invalid server address was accepted")
	}
	if _, err := Start(Config{Service: service, Server: "nowhere"}); err == nil {
		t.Error("invalid server address was accepted by Start")
	}
	if _, err := Start(Config{Service: strings.Repeat("x", 300)}); err == nil {
		t.Error("service name of 300 bytes was accepted")
	}
}
