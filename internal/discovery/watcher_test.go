package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/scheduler"
)

func TestBackoffDoublesUpToItsMaximumWithJitter(t *testing.T) {
	for failures, want := range map[int]time.Duration{
		1:  100 * time.Millisecond,
		2:  200 * time.Millisecond,
		5:  1600 * time.Millisecond,
		60: 5 * time.Second,
	} {
		if got := backoff(failures, minBackoff, maxBackoff, 1); got != want {
			t.Errorf("%d failures: %v, want %v", failures, got, want)
		}
		if got := backoff(failures, minBackoff, maxBackoff, 0); got != want/2 {
			t.Errorf("%d failures, minimum jitter: %v, want %v", failures, got, want/2)
		}
	}
}

// A recordingSink records its notifications, or rejects them with an error.
type recordingSink struct {
	notified chan string // kind and summary of the workers

	mu     sync.Mutex
	reject error
}

func newRecordingSink() *recordingSink { return &recordingSink{notified: make(chan string, 10)} }

func (s *recordingSink) UpdateWorkers(kind scheduler.ListKind, _ uint32, workers []gateway.Worker) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reject != nil {
		return s.reject
	}
	s.notified <- strings.TrimSpace(fmt.Sprint(int(kind), " ", summary(workers)))
	return nil
}

func (s *recordingSink) rejectWith(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reject = err
}

func (s *recordingSink) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-s.notified:
		if got != want {
			t.Errorf("notified of %q, want %q", got, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("not notified of %q", want)
	}
}

// A logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	written chan struct{} // signalled after a write

	mu   sync.Mutex
	text strings.Builder
}

func newLogBuffer() *logBuffer { return &logBuffer{written: make(chan struct{}, 1)} }

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(p)
	select {
	case l.written <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

func (l *logBuffer) waitFor(t *testing.T, text string) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for !l.contains(text) {
		select {
		case <-l.written:
		case <-timeout:
			t.Fatalf("not logged: %q", text)
		}
	}
}

func writeTestFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// The sink is notified of each change to the file. A truncated file changes nothing and is logged.
// The next start begins with the cached list unless the cache is corrupt.
func TestWatchFile(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "list.json")
	cache := filepath.Join(dir, "cache.json")
	a := worker("a", "127.0.0.1:1", scheduler.Ready)
	b := worker("b", "127.0.0.1:2", scheduler.Ready)
	sink := newRecordingSink()
	log := newLogBuffer()
	cfg := Config{
		Node:         "n",
		Cluster:      "c",
		File:         file,
		CacheFile:    cache,
		PollInterval: time.Millisecond,
		Sink:         sink,
		Log:          zerolog.New(log),
	}

	watcher := Start(cfg)
	log.waitFor(t, "no such file")
	writeTestFile(t, file, list(t, a))
	sink.expect(t, "2 a1")
	writeTestFile(t, file, list(t, a, b)[:99])
	log.waitFor(t, "not a ClusterLoadAssignment")
	writeTestFile(t, file, list(t, a, b))
	sink.expect(t, "2 a1 b1")
	watcher.Stop()

	os.Remove(file)
	watcher = Start(cfg)
	sink.expect(t, "3 a1 b1")
	watcher.Stop()

	writeTestFile(t, cache, "{")
	watcher = Start(cfg)
	log.waitFor(t, "cached endpoint list rejected")
	writeTestFile(t, file, list(t, b))
	sink.expect(t, "2 b1")
	watcher.Stop()
	if len(sink.notified) > 0 {
		t.Errorf("also notified of %q", <-sink.notified)
	}
}

// A fakeServer passes each poll to the test and responds as the test specifies.
type fakeServer struct {
	addr      string
	requests  chan Request
	responses chan func(*http1.Conn) *http1.Response
}

func newFakeServer(t *testing.T) *fakeServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{
		addr:      ln.Addr().String(),
		requests:  make(chan Request, 100),
		responses: make(chan func(*http1.Conn) *http1.Response, 100),
	}
	server := &http1.Server{Handler: http1.HandlerFunc(func(c *http1.Conn, r *http1.Request) *http1.Response {
		var request Request
		if err := json.Unmarshal(r.Body, &request); err != nil {
			t.Error(err)
		}
		s.requests <- request
		respond, ok := <-s.responses
		if !ok {
			return nil
		}
		return respond(c)
	})}
	go server.Serve(ln)
	t.Cleanup(func() {
		close(s.responses)
		ln.Close()
		server.Abort()
	})
	return s
}

// update responds to the current poll, or the next, with an update.
func (s *fakeServer) update(t *testing.T, nonce string, u Update) {
	t.Helper()
	u.Nonce = nonce
	body, err := json.Marshal(u)
	if err != nil {
		t.Fatal(err)
	}
	s.responses <- func(*http1.Conn) *http1.Response { return &http1.Response{Status: 200, Body: body} }
}

func (s *fakeServer) notModified() {
	s.responses <- func(*http1.Conn) *http1.Response { return &http1.Response{Status: 304} }
}

func (s *fakeServer) resetConnection() {
	s.responses <- func(c *http1.Conn) *http1.Response {
		c.Reset()
		return nil
	}
}

// expectPoll waits for the next poll and checks its version in force, the nonce of the last update
// and, if that update was rejected, a part of the reason.
func (s *fakeServer) expectPoll(t *testing.T, version, nonce, rejection string) {
	t.Helper()
	r := <-s.requests
	if r.VersionInfo != version || r.ResponseNonce != nonce {
		t.Errorf("poll from version %q with nonce %q, want %q and %q", r.VersionInfo, r.ResponseNonce, version, nonce)
	}
	if (r.ErrorDetail != nil) != (rejection != "") {
		t.Errorf("poll with error detail %+v, want %q", r.ErrorDetail, rejection)
	} else if r.ErrorDetail != nil && !strings.Contains(r.ErrorDetail.Message, rejection) {
		t.Errorf("poll with reason %q, want %q", r.ErrorDetail.Message, rejection)
	}
}

// Each poll contains the version in force and accepts or rejects the last update by its nonce, also
// after the connection was lost and replaced.
func TestWatchServer(t *testing.T) {
	a := worker("a", "127.0.0.1:1", scheduler.Ready)
	b := worker("b", "127.0.0.1:2", scheduler.Ready)
	server := newFakeServer(t)
	sink := newRecordingSink()
	watcher := Start(Config{Node: "n", Cluster: "c", Server: server.addr, Sink: sink, Log: zerolog.Nop()})
	t.Cleanup(watcher.Stop)

	first := <-server.requests
	if first.Node.ID != "n" || first.VersionInfo != "" ||
		first.TypeURL != TypeAssignment || first.ResourceNames[0] != "c" {
		t.Errorf("first request %+v", first)
	}
	server.update(t, "n1", fullUpdate(t, "1", a))
	sink.expect(t, "2 a1")
	server.expectPoll(t, "1", "n1", "")

	noHostname := fullUpdate(t, "2")
	noHostname.Resources[0] = json.RawMessage(`{"clusterName":"c","endpoints":[{"lbEndpoints":[{}]}]}`)
	server.update(t, "n2", noHostname)
	server.expectPoll(t, "1", "n2", "hostname")

	server.notModified()
	server.expectPoll(t, "1", "n2", "hostname")
	server.resetConnection()
	server.expectPoll(t, "1", "n2", "hostname")

	server.update(t, "n3", deltaUpdate(t, "3", []gateway.Worker{a}, []gateway.Worker{b}))
	sink.expect(t, "1 b1 a3")
	server.expectPoll(t, "3", "n3", "")

	sink.rejectWith(errors.New("two names with one hash"))
	server.update(t, "n4", fullUpdate(t, "4", a, b))
	server.expectPoll(t, "3", "n4", "two names with one hash")
}
