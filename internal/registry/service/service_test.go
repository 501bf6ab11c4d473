package service_test

import (
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/http1"
	"kitehub/internal/registry"
	"kitehub/internal/registry/client"
	"kitehub/internal/registry/service"
	"kitehub/internal/registry/wire"
	"kitehub/internal/signing"
	"kitehub/internal/store"
)

const ms = time.Millisecond

var settings = registry.Settings{
	LeaseDuration:      400 * ms,
	MaxClockDrift:      0.01,
	SettleTimeout:      200 * ms,
	StagingTimeout:     2 * time.Second,
	Retention:          300 * ms,
	AutoRollbackWindow: time.Second,
	MinCalls:           100,
	MaxErrorIncrease:   0.2,
	MaxModels:          10,
	MaxVersions:        20,
	MaxAliases:         5,
	MaxControllers:     5,
	MaxRemembered:      1000,
}

// secret returns the key of a caller.
func secret(t testing.TB, name string) *signing.Key {
	t.Helper()
	text, err := signing.DeriveSecret("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw", name)
	if err != nil {
		t.Fatal(err)
	}
	k, err := signing.ParseKey(text)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// A testRegistry is a registry's process that can be killed and restarted on its folder and port.
type testRegistry struct {
	t    testing.TB
	fs   store.FS
	addr string
	s    *service.Service
	ln   net.Listener
	srv  *http1.Server
}

// start runs the process, on the port that it had before.
func (d *testRegistry) start() {
	d.t.Helper()
	s, _, err := service.Open(service.Config{
		Settings:         settings,
		Clock:            clock.System(),
		FS:               d.fs,
		Log:              zerolog.Nop(),
		SnapshotInterval: 50,
		LongPoll:         100 * ms,
	})
	if err != nil {
		d.t.Fatal(err)
	}
	if d.addr == "" {
		d.addr = "127.0.0.1:0"
	}
	if d.ln, err = net.Listen("tcp", d.addr); err != nil {
		d.t.Fatal(err)
	}
	var callers []service.Client
	for _, n := range []string{"ann", "bob"} {
		callers = append(callers, service.Client{Name: n, Keys: []*signing.Key{secret(d.t, n)}, Operator: true})
	}
	callers = append(callers, service.Client{Name: "c1", Keys: []*signing.Key{secret(d.t, "c1")}, Controller: true})
	d.s, d.addr = s, d.ln.Addr().String()
	d.srv = &http1.Server{Handler: service.NewHandler(s, callers, time.Minute)}
	go d.srv.Serve(d.ln)
}

// kill cuts all connections and stops the process.
func (d *testRegistry) kill() {
	d.ln.Close()
	d.srv.Cut()
	d.s.Close()
}

// open starts a registry for a test.
func open(t testing.TB, fs store.FS) *testRegistry {
	d := &testRegistry{t: t, fs: fs}
	d.start()
	t.Cleanup(func() { d.kill() })
	return d
}

func (d *testRegistry) client(name string) *client.Client {
	return &client.Client{Server: d.addr, Name: name, Key: secret(d.t, name), Wall: time.Now}
}

func push(v string) wire.Command {
	digest := "sha256:" + strings.Repeat(v[1:], 64)[:64]
	return wire.Command{Push: &registry.Push{Model: "m", Version: registry.Version{Name: v, Digest: digest, Size: 9}}}
}

func promote(v string, rev uint64) wire.Command {
	return wire.Command{Promote: &registry.Promote{Model: "m", Alias: "current", To: v, IfRevision: rev}, WaitMS: 3000}
}

// must sends a command that is to succeed.
func must(t testing.TB, c *client.Client, key string, cmd wire.Command) *wire.Response {
	t.Helper()
	a, err := c.Command(key, cmd)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// status returns the HTTP status of an error, 0 where it is none of the registry.
func status(err error) int {
	var s *client.StatusError
	if errors.As(err, &s) {
		return s.Status
	}
	return 0
}

// Operators push and promote with idempotency keys and revisions of their own; whoever may not is rejected.
func TestOperators(t *testing.T) {
	d := open(t, store.Dir(t.TempDir()))
	ann, bob := d.client("ann"), d.client("bob")
	must(t, ann, "p1", push("v1"))
	must(t, ann, "p2", push("v2"))
	if a := must(t, ann, "k1", promote("v1", 0)); a.Migration != 1 || a.Status != "acknowledged" {
		t.Errorf("%+v", a)
	}
	if a := must(t, ann, "k1", promote("v1", 0)); a.Migration != 1 || !a.Replayed {
		t.Errorf("the same key again: %+v", a)
	}
	if _, err := ann.Command("k1", promote("v2", 1)); status(err) != 422 {
		t.Errorf("the key for something else: %v", err)
	}
	if a := must(t, bob, "k1", promote("v2", 1)); a.Migration != 2 { // keys are each operator's own
		t.Errorf("%+v", a)
	}
	if _, err := ann.Command("k2", promote("v2", 1)); status(err) != 412 {
		t.Errorf("an operator with an old revision: %v", err)
	}
	if _, err := d.client("c1").Command("k", push("v3")); status(err) != 403 {
		t.Errorf("a controller gives commands: %v", err)
	}
	eve := &client.Client{Server: d.addr, Key: secret(t, "eve"), Wall: time.Now}
	if _, err := eve.Query(wire.Query{Kind: "list"}); status(err) != 401 {
		t.Errorf("a stranger asks: %v", err)
	}
	inAnHour := func() time.Time { return time.Now().Add(time.Hour) }
	early := &client.Client{Server: d.addr, Key: secret(t, "ann"), Wall: inAnHour}
	if _, err := early.Query(wire.Query{Kind: "list"}); status(err) != 401 {
		t.Errorf("a timestamp an hour off: %v", err)
	}
	const promotion = `{"promote":{"Model":"m","Alias":"current","To":"v1","IfRevision":2}}`
	raw := func(path, body string, h http1.Header) int {
		_, _, err := ann.Do(path, client.NewID("raw"), h, []byte(body), time.Second)
		return status(err)
	}
	for _, tt := range []struct {
		path, body string
		header     http1.Header
		want       int
	}{
		{wire.CommandPath, promotion, nil, 428},
		{wire.CommandPath, promotion, http1.Header{{Name: "If-Match", Value: `"7"`}}, 400},
		{wire.CommandPath, promotion, http1.Header{{Name: "If-Match", Value: "*"}}, 400},
		{wire.CommandPath, `{"promote":{"Model":"m","Alais":"current"}}`, nil, 400},
		{wire.CommandPath, `{}`, nil, 400},
		{wire.CommandPath, `{"tick":{}}`, nil, 400},
		{wire.CommandPath, `{} {}`, nil, 400},
		{wire.QueryPath, `{"what":"everything"}`, nil, 400},
		{"/other", `{}`, nil, 404},
		{wire.DiscoveryPath, `{"node":{"id":"c1"}}`, nil, 403},
	} {
		if got := raw(tt.path, tt.body, tt.header); got != tt.want {
			t.Errorf("%s %s: %d, want %d", tt.path, tt.body, got, tt.want)
		}
	}
	h, err := ann.Query(wire.Query{Kind: "history"})
	if err != nil || len(h.History) != 4 || h.History[3].By != "bob" {
		t.Errorf("history: %+v, %v", h, err)
	}
}
