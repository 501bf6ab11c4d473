package discovery

import (
	"encoding/json"
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

func worker(name, addr string, state scheduler.WorkerState) gateway.Worker {
	return gateway.Worker{Name: name, Network: "tcp", Addr: addr, Zone: "a", Group: "g", Kind: "std", State: state, Size: 2,
		Started: time.Unix(1700000000, 5e8).UTC()}
}

func list(t *testing.T, l ...gateway.Worker) string {
	t.Helper()
	text, err := Render("c", l)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestRoundTrip(t *testing.T) {
	in := []gateway.Worker{worker("a", "127.0.0.1:1", scheduler.Ready), worker("b", "[::1]:2", scheduler.Draining),
		{Name: "u", Network: "unix", Addr: "/run/u", State: scheduler.Ready, Size: 1}}
	out, err := ParseAssignment([]byte(list(t, in...)), "c")
	if err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(in) != fmt.Sprint(out) {
		t.Errorf("got %v\nwant %v", out, in)
	}
}

func TestParseAssignmentRefuses(t *testing.T) {
	good := list(t, worker("a", "127.0.0.1:1", scheduler.Ready), worker("b", "127.0.0.1:2", scheduler.Ready))
	if _, err := ParseAssignment([]byte(good), "c"); err != nil {
		t.Fatal(err)
	}
	for i := range len(good) - 1 { // torn at every byte but the last ones, which are white space at most
		if _, err := ParseAssignment([]byte(good[:i]), "c"); err == nil {
			t.Fatalf("torn at byte %d: taken", i)
		}
	}
	tests := []struct{ old, new, want string }{
		{`"clusterName": "c"`, `"clusterName": ""`, "clusterName: empty"},
		{`"clusterName": "c"`, `"clusterName": "d"`, `clusterName: "d", want "c"`},
		{`"hostname": "b"`, `"hostname": "a"`, `hostname: "a" twice`},
		{`"hostname": "b"`, `"hostname": ""`, "endpoints[0].lbEndpoints[1].endpoint.hostname: empty"},
		{`"portValue": 2`, `"portValue": 1`, `address: 127.0.0.1:1 is both "a"'s and "b"'s`},
		{`"portValue": 2`, `"portValue": 70000`, "portValue: 70000"},
		{`"address": "127.0.0.1"`, `"address": "localhost"`, "is no IP address"},
		{`"healthStatus": "HEALTHY"`, `"healthStatus": "FINE"`, `healthStatus: "FINE"`},
		{`2023-11-14T`, `yesterday`, "started"},
		{TypeAssignment, "type.googleapis.com/x", "@type"},
	}
	for _, tt := range tests {
		if !strings.Contains(good, tt.old) {
			t.Fatalf("%q is not in %s", tt.old, good)
		}
		_, err := ParseAssignment([]byte(strings.Replace(good, tt.old, tt.new, 1)), "c")
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: %v, want %q", tt.new, err, tt.want)
		}
	}
	if _, err := ParseAssignment([]byte(strings.Replace(good, `"clusterName"`, `"policy": {"x": 1}, "clusterName"`, 1)), "c"); err != nil {
		t.Errorf("an unknown field: %v", err)
	}
}

// TestState reads as a script: an update a line, and the list that holds afterwards.
func TestState(t *testing.T) {
	s := State{Cluster: "c"}
	w := func(name string, port int, st scheduler.WorkerState) gateway.Worker {
		return worker(name, fmt.Sprintf("127.0.0.1:%d", port), st)
	}
	whole := func(version string, l ...gateway.Worker) Update {
		return Update{VersionInfo: version, TypeURL: TypeAssignment, Resources: []json.RawMessage{json.RawMessage(list(t, l...))}}
	}
	delta := func(version string, from, to []gateway.Worker) Update {
		changed, removed, err := Difference(from, to, version)
		if err != nil {
			t.Fatal(err)
		}
		return Update{SystemVersionInfo: version, TypeURL: TypeEndpoint, Resources: changed, RemovedResources: removed}
	}
	a, b, c := w("a", 1, scheduler.Ready), w("b", 2, scheduler.Ready), w("c", 3, scheduler.Ready)
	drained := w("a", 1, scheduler.Draining)
	l := func(l ...gateway.Worker) []gateway.Worker { return l }
	torn := whole("9", a)
	torn.Resources[0] = torn.Resources[0][:40]
	twice := delta("9", nil, l(w("x", 2, scheduler.Ready)))
	both := delta("9", nil, l(b))
	both.RemovedResources = []string{"b"}
	steps := []struct {
		name string
		u    Update
		err  string
		news string // kind and workers with their states
		then string
	}{
		{"a delta first", delta("1", nil, l(a)), "before any whole list", "", ""},
		{"whole", whole("1", a, b), "", "2 a1 b1", "a1 b1"},
		{"the same version", whole("1", a), "", "", "a1 b1"},
		{"a drains", delta("2", l(a, b), l(drained, b)), "", "1 a2", "a2 b1"},
		{"an older version", whole("1", a, b), "", "", "a2 b1"},
		{"torn", torn, "not a ClusterLoadAssignment", "", "a2 b1"},
		{"an address taken twice", twice, `is both "b"'s and "x"'s`, "", "a2 b1"},
		{"changed and removed", both, "is changed by the same update", "", "a2 b1"},
		{"no version", whole("", a), "versionInfo: empty", "", "a2 b1"},
		{"another type", Update{VersionInfo: "9", TypeURL: "x"}, "typeUrl", "", "a2 b1"},
		{"a goes, c comes", delta("3", l(drained, b), l(b, c)), "", "1 c1 a3", "b1 c1"},
		{"a removed again", Update{SystemVersionInfo: "4", TypeURL: TypeEndpoint, RemovedResources: []string{"a"}}, "", "1", "b1 c1"},
		{"all go", whole("5"), "", "2", ""},
		{"and come back", whole("6", a, b, c), "", "2 a1 b1 c1", "a1 b1 c1"},
	}
	show := func(l []gateway.Worker) string {
		var out []string
		for _, w := range l {
			out = append(out, fmt.Sprint(w.Name, int(w.State)))
		}
		return strings.Join(out, " ")
	}
	for _, st := range steps {
		news, err := s.Apply(st.u)
		if (err == nil) != (st.err == "") || err != nil && !strings.Contains(err.Error(), st.err) {
			t.Errorf("%s: %v, want %q", st.name, err, st.err)
		}
		got := ""
		if news != nil {
			got = strings.TrimSpace(fmt.Sprint(int(news.Kind)) + " " + show(news.Workers))
		}
		if got != st.news {
			t.Errorf("%s: news %q, want %q", st.name, got, st.news)
		}
		if got := show(s.Workers()); got != st.then {
			t.Errorf("%s: list %q, want %q", st.name, got, st.then)
		}
	}
	s.Reconnected()
	if news, err := s.Apply(whole("2", a)); err != nil || news == nil {
		t.Errorf("a server that counts anew is not heard: %v %v", news, err)
	}
}

func TestRetry(t *testing.T) {
	for n, want := range map[int]time.Duration{1: 100 * time.Millisecond, 2: 200 * time.Millisecond, 5: 1600 * time.Millisecond, 60: 5 * time.Second} {
		if got := Backoff(n, leastWait, mostWait, 1); got != want {
			t.Errorf("%d failures: %v, want %v", n, got, want)
		}
		if got := Backoff(n, leastWait, mostWait, 0); got != want/2 {
			t.Errorf("%d failures, least draw: %v, want %v", n, got, want/2)
		}
	}
}

// sink notes what it is told.
type sink struct {
	mu   sync.Mutex
	told chan string
	fail error
}

func (s *sink) Workers(kind scheduler.ListKind, _ uint32, l []gateway.Worker) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail != nil {
		return s.fail
	}
	var out []string
	for _, w := range l {
		out = append(out, fmt.Sprint(w.Name, int(w.State)))
	}
	s.told <- strings.TrimSpace(fmt.Sprint(int(kind), " ", strings.Join(out, " ")))
	return nil
}

func (s *sink) next(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-s.told:
		if got != want {
			t.Errorf("told %q, want %q", got, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("not told of %q", want)
	}
}

// lockedBuffer takes log lines from another goroutine.
type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
	ch chan struct{}
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.b.Write(p)
	select {
	case l.ch <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (l *lockedBuffer) waitFor(t *testing.T, text string) {
	t.Helper()
	for end := time.After(20 * time.Second); ; {
		l.mu.Lock()
		ok := strings.Contains(l.b.String(), text)
		l.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-l.ch:
		case <-end:
			t.Fatalf("not logged: %q", text)
		}
	}
}

// The file is followed; a torn or wrong one changes nothing and is logged once; the last good list is there at the
// next start.
func TestWatchFile(t *testing.T) {
	dir := t.TempDir()
	file, cache := filepath.Join(dir, "list.json"), filepath.Join(dir, "cache.json")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	a, b := worker("a", "127.0.0.1:1", scheduler.Ready), worker("b", "127.0.0.1:2", scheduler.Ready)
	s, log := &sink{told: make(chan string, 10)}, &lockedBuffer{ch: make(chan struct{}, 1)}
	cfg := Config{Node: "n", Cluster: "c", File: file, Cache: cache, Poll: time.Millisecond, Sink: s, Log: zerolog.New(log)}
	w := Start(cfg)
	log.waitFor(t, "no such file")
	write(list(t, a))
	s.next(t, "2 a1")
	write(list(t, a, b)[:99])
	log.waitFor(t, "not a ClusterLoadAssignment")
	write(list(t, a, b))
	s.next(t, "2 a1 b1")
	w.Stop()
	os.Remove(file)
	w = Start(cfg)
	s.next(t, "3 a1 b1")
	w.Stop()
	os.WriteFile(cache, []byte("{"), 0o600)
	w = Start(cfg)
	log.waitFor(t, "cached list not used")
	write(list(t, b))
	s.next(t, "2 b1")
	w.Stop()
	if len(s.told) > 0 {
		t.Errorf("told more: %q", <-s.told)
	}
}

// The server is asked again and again: an update that is refused is told so with its nonce, a connection that breaks is
// made anew, and the version goes along.
func TestWatchServer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a, b := worker("a", "127.0.0.1:1", scheduler.Ready), worker("b", "127.0.0.1:2", scheduler.Ready)
	asked := make(chan Request, 100)
	answer := make(chan func(c *http1.Conn) *http1.Response, 100)
	srv := &http1.Server{Handler: http1.HandlerFunc(func(c *http1.Conn, r *http1.Request) *http1.Response {
		var req Request
		if err := json.Unmarshal(r.Body, &req); err != nil {
			t.Error(err)
		}
		asked <- req
		f, ok := <-answer
		if !ok {
			return nil
		}
		return f(c)
	})}
	go srv.Serve(ln)
	defer srv.Cut()
	defer ln.Close()
	defer close(answer)
	say := func(u Update) {
		body, err := json.Marshal(u)
		if err != nil {
			t.Fatal(err)
		}
		answer <- func(*http1.Conn) *http1.Response { return &http1.Response{Status: 200, Body: body} }
	}
	s := &sink{told: make(chan string, 10)}
	w := Start(Config{Node: "n", Cluster: "c", Server: ln.Addr().String(), Sink: s, Log: zerolog.Nop()})
	defer w.Stop()
	first := <-asked
	if first.Node.ID != "n" || first.VersionInfo != "" || first.TypeURL != TypeAssignment || first.ResourceNames[0] != "c" {
		t.Errorf("first request %+v", first)
	}
	say(Update{VersionInfo: "1", Nonce: "n1", TypeURL: TypeAssignment, Resources: []json.RawMessage{json.RawMessage(list(t, a))}})
	s.next(t, "2 a1")
	if r := <-asked; r.VersionInfo != "1" || r.ResponseNonce != "n1" || r.ErrorDetail != nil {
		t.Errorf("not acknowledged: %+v", r)
	}
	say(Update{VersionInfo: "2", Nonce: "n2", TypeURL: TypeAssignment, Resources: []json.RawMessage{json.RawMessage(`{"clusterName":"c","endpoints":[{"lbEndpoints":[{}]}]}`)}})
	if r := <-asked; r.VersionInfo != "1" || r.ResponseNonce != "n2" || r.ErrorDetail == nil || !strings.Contains(r.ErrorDetail.Message, "hostname") {
		t.Errorf("not refused: %+v", r)
	}
	answer <- func(*http1.Conn) *http1.Response { return &http1.Response{Status: 304} }
	if r := <-asked; r.VersionInfo != "1" {
		t.Errorf("after nothing new: %+v", r)
	}
	answer <- func(c *http1.Conn) *http1.Response { c.Reset(); return nil }
	if r := <-asked; r.VersionInfo != "1" {
		t.Errorf("after a broken connection: %+v", r)
	}
	changed, removed, err := Difference([]gateway.Worker{a}, []gateway.Worker{b}, "3")
	if err != nil {
		t.Fatal(err)
	}
	say(Update{SystemVersionInfo: "3", Nonce: "n3", TypeURL: TypeEndpoint, Resources: changed, RemovedResources: removed})
	s.next(t, "1 b1 a3")
	<-asked
	s.mu.Lock()
	s.fail = fmt.Errorf("two names with one hash")
	s.mu.Unlock()
	say(Update{VersionInfo: "4", Nonce: "n4", TypeURL: TypeAssignment, Resources: []json.RawMessage{json.RawMessage(list(t, a, b))}})
	if r := <-asked; r.VersionInfo != "3" || r.ErrorDetail == nil {
		t.Errorf("what the sink refused was acknowledged: %+v", r)
	}
}
