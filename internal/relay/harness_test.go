package relay

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/harness/fakeplatform"
)

const settingsText = `{"balancers": 1, "tickMs": 2, "tenants": [{"name": "acme"}], "kinds": ["std"], "localities": ["east"],
	"classes": [{"name": "lookup", "effect": "pure", "giveUpMs": 4000, "targetMs": 1000, "worth": 1},
		{"name": "update", "effect": "token", "keyScope": "cell", "windowMs": 5000, "giveUpMs": 4000, "targetMs": 1000, "worth": 1},
		{"name": "move", "effect": "side_effect", "giveUpMs": 4000, "targetMs": 1000, "worth": 1}],
	"domain": {"onMiss": "load", "idleLifeMs": 8500, "warmNotes": true}, "guarantees": {"drainGraceMs": 200},
	"limits": {"mostTries": 3, "dialTimeoutMs": 250, "maxOpen": 100, "keepaliveMs": 15000, "streamsPerConn": 100, "cancel": true}}`

// newInvoker starts a worker that answers after a delay with the body that it received. code, if
// set, returns the status code of the n-th answer.
func newInvoker(t testing.TB, delay time.Duration, code func(n int64) byte) *fakeplatform.Echo {
	t.Helper()
	v, err := fakeplatform.NewEcho(delay, code)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { v.Close() })
	return v
}

func newDirectory(t testing.TB) *fakeplatform.Directory {
	t.Helper()
	d, err := fakeplatform.NewDirectory()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	return d
}

// A harness is a relay that runs as the command runs it.
type harness struct {
	t      testing.TB
	file   string
	fields map[string]any
	env    map[string]string
	reload chan os.Signal
	stop   chan os.Signal
	ended  chan error
	log    *logBuffer
	addr   string
}

// A logBuffer is a log whose lines a test can wait for.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
	more chan struct{}
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	l.text.Write(b)
	l.mu.Unlock()
	select {
	case l.more <- struct{}{}:
	default:
	}
	return len(b), nil
}

// wait waits for a line that contains a text, and returns the first such line.
func (l *logBuffer) wait(t testing.TB, text string) string {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		l.mu.Lock()
		all := l.text.String()
		l.mu.Unlock()
		for _, line := range strings.Split(all, "\n") {
			if strings.Contains(line, text) {
				return line
			}
		}
		select {
		case <-l.more:
		case <-timeout:
			t.Fatalf("no %q in the log after 20 s:\n%s", text, all)
		}
	}
}

// start runs a controller. The signals in stop are pending when it starts.
func start(t testing.TB, v *fakeplatform.Echo, names string, stop ...os.Signal) *harness {
	t.Helper()
	r := &harness{
		t:      t,
		file:   filepath.Join(t.TempDir(), "config.json"),
		reload: make(chan os.Signal, 1),
		stop:   make(chan os.Signal, 2),
		ended:  make(chan error, 1),
		log:    &logBuffer{more: make(chan struct{}, 1)},
	}
	r.env = map[string]string{EnvName: "n3", EnvListen: "127.0.0.1:0", EnvConfig: r.file}
	r.fields = map[string]any{
		"name": "n3", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "names": names,
		"limits":   map[string]any{"cores": 1, "memory_mb": 512, "sockets": 256},
		"known":    known(v.Addr().String()),
		"settings": json.RawMessage(settingsText),
	}
	r.write()
	for _, sig := range stop {
		r.stop <- sig
	}
	go func() {
		env := func(k string) string { return r.env[k] }
		r.ended <- Run(env, Options{Clock: clock.System(), Log: zerolog.New(r.log)}, Signals{Reload: r.reload, Stop: r.stop})
	}()
	line := r.log.wait(t, `"serving"`)
	var m struct{ Listen string }
	if err := json.Unmarshal([]byte(line), &m); err != nil {
		t.Fatal(err)
	}
	r.addr = m.Listen
	t.Cleanup(func() {
		for range 2 { // the second one ends it at once if the first has not
			select {
			case r.stop <- os.Interrupt:
			default:
			}
		}
	})
	return r
}

// known returns the directory events so far, after which s-1 is the one worker.
func known(addr string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"cursor": 2, "cmds": [{"cursor": 1, "nodes": {"rev": 1, "all": true, "targets": [
		{"uid": "s-0", "endpoint": "127.0.0.1:1", "az": "east", "model": "std", "pod_group": 0, "state": "ready", "capacity_hint": 1, "boot_ms": 0}]}},
		{"cursor": 2, "nodes": {"rev": 2, "all": false, "targets": [{"uid": "s-0", "state": "gone"},
		{"uid": "s-1", "endpoint": %q, "az": "east", "model": "std", "pod_group": 0, "state": "ready", "capacity_hint": 1, "boot_ms": 0}]}}]}`, addr))
}

// write writes the configuration file that the next load reads.
func (r *harness) write() {
	b, err := json.Marshal(r.fields)
	if err == nil {
		err = os.WriteFile(r.file, b, 0o600)
	}
	if err != nil {
		r.t.Fatal(err)
	}
}

type testClient struct {
	*fakeplatform.Client
	t testing.TB
}

func (r *harness) dial() *testClient {
	r.t.Helper()
	c, err := fakeplatform.Dial(r.addr, time.Minute)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return &testClient{c, r.t}
}

var txns atomic.Int64

func (c *testClient) call(id int, method string) {
	fields := fakeplatform.Fields("txn", fakeplatform.RequestID(int(txns.Add(1))), "limit", "4000")
	c.Write(fakeplatform.Request(id, method, fields, []byte(fmt.Sprint("body ", id))))
}

// answers reads n answers. It returns them by msgid, as "served BODY" or the name of the error.
func (c *testClient) answers(n int) map[string]string {
	c.t.Helper()
	got := map[string]string{}
	for range n {
		id, text := c.Answer()
		if id < 0 {
			c.t.Fatalf("%d answers of %d: %s", len(got), n, text)
		}
		got[fmt.Sprint(id)] = text
	}
	return got
}

// parse returns a configuration with one worker.
func parse(t *testing.T, directoryAddr, workerAddr string) *Config {
	t.Helper()
	c, err := Parse(fmt.Appendf(nil, `{"name": "n3", "listen": "127.0.0.1:0", "seed": "8c", "names": %q,
		"limits": {"cores": 1, "memory_mb": 512, "sockets": 256}, "known": %s, "settings": %s}`,
		directoryAddr, known(workerAddr), settingsText))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func addrPort(a net.Addr) netip.AddrPort { return a.(*net.TCPAddr).AddrPort() }
