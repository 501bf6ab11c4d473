package controller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"kitehub/internal/harness/fakeworker"
	"kitehub/internal/harness/workersim"
	"kitehub/internal/ingress/jsonrpc"
)

// withRPC returns configuration changes that add the RPC server, for the user who runs the test,
// and the settings in more.
func withRPC(h *harness, more string) []string {
	return []string{"stop_ms: 5000", fmt.Sprintf(`stop_ms: 5000 tenants { name: "t" } tenants { name: "u" }
rpc { socket: %q explain: 100 users { self: true name: "me" tenant: "t" call: true operate: true } } %s`, filepath.Join(h.dir, "s"), more)}
}

// replaceSetting replaces a text in the changes that withRPC returned.
func replaceSetting(changes []string, old, replacement string) []string {
	changes[1] = strings.Replace(changes[1], old, replacement, 1)
	return changes
}

// An rpcConn is a connection to the RPC server. It can send any text.
type rpcConn struct {
	t  *testing.T
	nc net.Conn
	br *bufio.Reader
}

func dial(t *testing.T, h *harness) *rpcConn {
	t.Helper()
	nc, err := net.Dial("unix", filepath.Join(h.dir, "s"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	return &rpcConn{t, nc, bufio.NewReaderSize(nc, 1<<20)}
}

func (l *rpcConn) send(text string) { l.nc.Write([]byte(text + "\n")) }

// next returns the next line, or "end" if the connection has ended.
func (l *rpcConn) next() string {
	s, err := l.br.ReadString('\n')
	if err != nil {
		return "end"
	}
	return strings.TrimSpace(s)
}

func (l *rpcConn) request(text string) string {
	l.send(text)
	return l.next()
}

func request(id, method, params string) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%s,"method":%q,"params":%s}`, id, method, params)
}

func call(id, function, more string) string {
	return request(id, "call", fmt.Sprintf(`{"function":%q,"body":{"x":1}%s}`, function, more))
}

// Valid and invalid messages to the RPC server get the result or the error that the protocol
// defines.
func TestRPCMessages(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.start(h.configure("c", withRPC(h, "")...))
	l := dial(t, h)
	deep := strings.Repeat("[", 1_000_000)
	for _, c := range []struct{ in, want string }{
		{call("1", "safe-1", ""), `"id":1,"result":{"body":`},
		{call(`"a"`, "unsafe-1", ""), `"id":"a","result":`},
		{call("2", "keyed-1", `,"key":"k"`), `"id":2,"result":`},
		{call("3", "keyed-1", `,"key":"k"`), `"id":3,"result":`},
		{call("4", "keyed-1", ""), `-32602,"message":"key: a call of this class has one"`},
		{call("4", "safe-1", `,"key":"k"`), `has none`},
		{call("5", "none", ""), `-32002`},
		{request("5", "call", `{"function":"keyed-1","body":{"x":2},"key":"k"}`), `-32014`},
		{call("9007199254740993", "safe-1", ""), `"id":null,"error":{"code":-32600,"message":"an id beyond 2^53`},
		{call("9007199254740992", "safe-1", ""), `"id":9007199254740992,"result"`},
		{call("1.5", "safe-1", ""), `-32600`},
		{call("7", "safe-1", `,"wait_ms":9007199254740993`), `-32602,"message":"wait_ms: 9007199254740993 is not from 0 to 2^53"`},
		{call("7", "safe-1", `,"wait_ms":99999999999999999999`), `-32602`},
		{call("7", "safe-1", `,"wait":1`), `unknown field`},
		{call("7", "safe-1", `,"wait_ms":"1"`), `wait_ms: a string is no int64`},
		{`{"jsonrpc":"2.0","id":8,"method":"call","params":[1]}`, `"id":8,"error":{"code":-32602`},
		{`{"jsonrpc":"1.0","id":8,"method":"status"}`, `-32600`},
		{request("8", "nothing", "{}"), `-32601`},
		{"{", `-32700`},
		{"\"\xff\"", `-32700,"message":"not UTF-8"`},
		{deep[:1000], `nested more than 64 deep`},
		{"[]", `-32600`},
		{`[1]`, `[{"jsonrpc":"2.0","id":null,"error":{"code":-32600`},
		{"[" + call("1", "safe-1", "") + "," + call("1", "safe-1", "") + "]", `the id stands twice in one batch`},
		{"[" + call("1", "safe-1", "") + `,{"jsonrpc":"2.0","method":"subscribe","params":{"topics":[]}},` + request("2", "status", "{}") + "]", `"id":2,"result":{"name":"c"`},
		{request("1", "subscribe", `{"topics":["x"]}`), `no topic`},
		{request("1", "cancel", `{"id":77}`), `"in_hand":false`},
		{request("1", "hooks", `{}`), `no hooks are configured`},
	} {
		if got := l.request(c.in); !strings.Contains(got, c.want) {
			t.Errorf("%.100s: got %s, want a text with %q", c.in, got, c.want)
		}
	}
	if got := l.request(deep + deep); !strings.Contains(got, "more than 1048576 bytes") || l.next() != "end" {
		t.Error(got)
	}
	var x struct {
		Result struct {
			Answer string
			Lines  []string
		}
	}
	l = dial(t, h)
	json.Unmarshal([]byte(l.request(request("1", "explain", `{"id":"me:a"}`))), &x)
	if text := strings.Join(x.Result.Lines, "\n"); x.Result.Answer != "served" || !strings.Contains(text, "attempt 1") || !strings.Contains(text, "ok after") {
		t.Errorf("%+v", x)
	}
	if got := l.request(request("1", "workers", "{}")); strings.Count(got, `"name":"w`) != 2 {
		t.Error(got)
	}
	if got := l.request(request("1", "functions", "{}")); !strings.Contains(got, `"name":"safe-1","home":"w`) {
		t.Error(got)
	}
}

// A call in flight is cancelled when its client cancels it or closes the connection. A keyed call
// continues as long as a retry waits for it.
func TestRPCCancel(t *testing.T) {
	h := newHarness(t, 1, func(c *fakeworker.Config) {
		for i := range c.Functions {
			c.Functions[i].Work = 400 * ms
		}
	})
	c := h.start(h.configure("c", withRPC(h, "")...))
	l, m := dial(t, h), dial(t, h)
	l.send(call("1", "safe-1", `,"progress":true`))
	if got := l.next(); !strings.Contains(got, `"method":"progress"`) || !strings.Contains(got, `"attempt":1`) {
		t.Fatal(got)
	}
	if got := l.request(call("1", "safe-1", "")); !strings.Contains(got, "in hand") {
		t.Error(got)
	}
	l.send(request("2", "cancel", `{"id":1}`))
	got := l.next() + l.next()
	if !strings.Contains(got, `"in_hand":true`) || !strings.Contains(got, `-32013`) {
		t.Error(got)
	}
	l.send(call("3", "keyed-1", `,"key":"k"`))
	m.send(call("3", "keyed-1", `,"key":"k"`))
	m.send(request("4", "status", "{}"))
	for got := m.next(); !strings.Contains(got, `"joined":1`); got = m.request(request("4", "status", "{}")) {
		if strings.Contains(got, `"id":3`) {
			t.Fatal(got)
		}
	}
	l.send(request("5", "cancel", `{"id":3}`))
	if got := l.next() + l.next(); !strings.Contains(got, `-32013`) {
		t.Error(got)
	}
	if got := m.next(); !strings.Contains(got, `"id":3,"result"`) {
		t.Error(got)
	}
	if got := l.request(call("6", "safe-1", `,"progress":true`)); !strings.Contains(got, "progress") {
		t.Error(got)
	}
	l.nc.Close()
	for c.Gateway.Counts.ClientClosed.Load() < 2 { // or until the test times out
		runtime.Gosched()
	}
}

// A subscriber that does not read loses events, is notified of their number, and does not delay
// other connections.
func TestRPCSlowReader(t *testing.T) {
	h := newHarness(t, 2, nil)
	c := h.start(h.configure("c", withRPC(h, "")...))
	slow, l := dial(t, h), dial(t, h)
	slow.request(request("1", "subscribe", `{"topics":["ended"]}`))
	for range 3000 {
		c.RPC.Publish("ended", strings.Repeat("x", 1000))
	}
	if got := l.request(call("1", "safe-1", "")); !strings.Contains(got, "result") {
		t.Fatal(got)
	}
	if lost := c.RPC.Counts.EventsDropped.Load(); lost == 0 {
		t.Error("no event was lost, so the test checks nothing")
	}
	for i := 0; ; i++ {
		if got := slow.next(); strings.Contains(got, `"method":"lost"`) {
			break
		} else if got == "end" {
			t.Fatal("the slow subscriber's connection was closed")
		} else if i == 256 {
			l.request(call("1", "safe-1", "")) // the next event is sent with the number of those lost
		}
	}
}

// The RPC server rejects users who are not configured, operators' methods of a user without that
// permission, and calls while the controller drains. Its socket is open to its own user alone.
func TestRPCDenied(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.start(h.configure("c", replaceSetting(withRPC(h, ""), "self: true", "uid: 4294967295")...))
	if got := dial(t, h).next(); !strings.Contains(got, "-32001") {
		t.Error(got)
	}
	h = newHarness(t, 1, nil)
	c := h.start(h.configure("c", replaceSetting(withRPC(h, ""), "call: true operate: true", "call: true")...))
	l := dial(t, h)
	if got := l.request(request("1", "status", "{}")) + l.request(request("1", "subscribe", `{"topics":["ended"]}`)); strings.Count(got, "-32001") != 2 {
		t.Error(got)
	}
	if info, err := os.Stat(filepath.Join(h.dir, "s")); err != nil || info.Mode().Perm() != 0o600 {
		t.Error(info, err)
	}
	c.Drain()
	if got := l.request(call("1", "safe-1", "")); !strings.Contains(got, `"outcome":"refused"`) {
		t.Error(got)
	}
}

const hookScript = `state rush bool = false
on arrive(c) {
	if c.tenant == "u" { refuse("closed") }
	annotate("size", str(c.size))
}
on timer(t) every 100ms {
	keep_warm("safe-1", 2, 10s)
}
on joined(w) { log("joined " + w.name) }
`

// A script that is loaded by RPC keeps copies warm before the first call. The call that it does not
// reject is served.
func TestHooksInController(t *testing.T) {
	h := newHarness(t, 3, func(c *fakeworker.Config) {
		for i := range c.Functions {
			c.Functions[i].Function.Fetch = 50 * ms
		}
	})
	c := h.start(h.configure("c", withRPC(h, "hooks {}")...))
	l, _ := jsonrpc.Dial(filepath.Join(h.dir, "s"), time.Second)
	defer l.Close()
	if err := l.Do("hook.load", map[string]any{"name": "a", "text": "on arrive(c) {"}, nil, time.Second); err == nil || !strings.Contains(err.Error(), "a.hook:1:15") {
		t.Error(err)
	}
	if err := l.Do("hook.load", map[string]any{"name": "a", "text": hookScript}, nil, time.Second); err != nil {
		t.Fatal(err)
	}
	copies := func() (n int) {
		h.host.Do(func(f *workersim.Fleet) {
			for w := range h.host.Names() {
				n += f.Copies(w, "safe-1")
			}
		})
		return n
	}
	for end := time.Now().Add(10 * time.Second); copies() < 2; {
		if time.Now().After(end) {
			t.Fatalf("%d copies", copies())
		}
	}
	if err := l.Do("call", map[string]any{"function": "safe-1", "body": 1}, nil, 5*time.Second); err != nil {
		t.Error(err)
	}
	if n := c.Gateway.Counts.Rejected.Load(); n != 0 {
		t.Error(n)
	}
}

// An incomplete message has no effect, neither when its client closes the connection nor when the
// message times out.
func TestRPCIncompleteMessage(t *testing.T) {
	h := newHarness(t, 1, nil)
	b := h.configure("c", withRPC(h, "")...)
	b.RPC.MessageTimeout = 30 * ms
	c := h.start(b)
	l := dial(t, h)
	l.nc.Write([]byte(call("1", "unsafe-1", "")))
	l.nc.(*net.UnixConn).CloseWrite()
	if got := l.next(); got != "end" {
		t.Error(got)
	}
	l = dial(t, h)
	l.nc.Write([]byte(call("1", "unsafe-1", "")[:30]))
	if got := l.next(); !strings.Contains(got, "half a message") || l.next() != "end" {
		t.Error(got)
	}
	if n := c.RPC.Counts.Calls.Load(); n != 0 || h.runs("unsafe-1") != 0 {
		t.Errorf("%d calls", n)
	}
}

// A reload loads changed script files while calls are served. An invalid file leaves the previous
// version active, and the other files are loaded.
func TestScriptsReload(t *testing.T) {
	h := newHarness(t, 1, nil)
	write := func(name, text string) string {
		f := filepath.Join(h.dir, name)
		if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return f
	}
	a, b := write("a", "on arrive(c) { refuse(\"one\") }"), write("b", "on ended(e) {}")
	cfg := h.configure("c", withRPC(h, fmt.Sprintf("hooks { scripts { name: \"a\" file: %q } scripts { name: \"b\" file: %q } }", a, b))...)
	c := h.start(cfg)
	l := dial(t, h)
	if got := l.request(call("1", "safe-1", "")); !strings.Contains(got, "-32010") {
		t.Error(got)
	}
	write("a", "on arrive(c) {")
	write("b", "on ended(e) { log(\"b\") }")
	if err := c.ReloadScripts(cfg); err == nil || !strings.Contains(err.Error(), "a.hook:1:15") {
		t.Error(err)
	}
	o, _ := c.HookEngine().Overview()
	if len(o.Scripts) != 2 || o.Scripts[0].Live != 1 || o.Scripts[1].Live != 3 {
		t.Errorf("%+v", o.Scripts)
	}
	write("a", "on arrive(c) {}")
	if err := c.ReloadScripts(cfg); err != nil {
		t.Error(err)
	}
	if got := l.request(call("1", "safe-1", "")); !strings.Contains(got, "result") {
		t.Error(got)
	}
}
