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
	StaleDuration:      600 * ms,
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

// signingKey returns the key of a client.
func signingKey(t testing.TB, name string) *signing.Key {
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

// A testRegistry is a registry's process that can be killed and restarted on its directory and
// port.
type testRegistry struct {
	t        testing.TB
	settings registry.Settings
	fs       store.FS
	addr     string
	s        *service.Service
	ln       net.Listener
	srv      *http1.Server
}

// start runs the process, on its previous port if it had one.
func (r *testRegistry) start() {
	r.t.Helper()
	s, _, err := service.Open(service.Config{
		Settings:         r.settings,
		Clock:            clock.System(),
		FS:               r.fs,
		Log:              zerolog.Nop(),
		SnapshotInterval: 50,
		LongPoll:         100 * ms,
	})
	if err != nil {
		r.t.Fatal(err)
	}
	if r.addr == "" {
		r.addr = "127.0.0.1:0"
	}
	if r.ln, err = net.Listen("tcp", r.addr); err != nil {
		r.t.Fatal(err)
	}
	var clients []service.Client
	for _, name := range []string{"ann", "bob"} {
		clients = append(clients, service.Client{Name: name, Keys: []*signing.Key{signingKey(r.t, name)}, Operator: true})
	}
	clients = append(clients, service.Client{Name: "c1", Keys: []*signing.Key{signingKey(r.t, "c1")}, Controller: true})
	r.s, r.addr = s, r.ln.Addr().String()
	r.srv = &http1.Server{Handler: service.NewHandler(s, clients, time.Minute)}
	go r.srv.Serve(r.ln)
}

// kill closes all connections and stops the process.
func (r *testRegistry) kill() {
	r.ln.Close()
	r.srv.Abort()
	r.s.Close()
}

// open starts a registry for a test.
func open(t testing.TB, fs store.FS) *testRegistry { return openWith(t, fs, settings) }

// openWith starts a registry with other settings.
func openWith(t testing.TB, fs store.FS, settings registry.Settings) *testRegistry {
	r := &testRegistry{t: t, settings: settings, fs: fs}
	r.start()
	t.Cleanup(func() { r.kill() })
	return r
}

func (r *testRegistry) client(name string) *client.Client {
	return &client.Client{Server: r.addr, Name: name, Key: signingKey(r.t, name), Wall: time.Now}
}

func push(version string) wire.Command {
	digest := "sha256:" + strings.Repeat(version[1:], 64)[:64]
	return wire.Command{Push: &registry.Push{Model: "m", Version: registry.Version{Name: version, Digest: digest, Size: 9}}}
}

func promote(version string, revision uint64) wire.Command {
	return wire.Command{Promote: &registry.Promote{Model: "m", Alias: "current", To: version, IfRevision: revision}, WaitMS: 3000}
}

// must sends a command that must succeed.
func must(t testing.TB, c *client.Client, key string, cmd wire.Command) *wire.Response {
	t.Helper()
	resp, err := c.Command(key, cmd)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// status returns the HTTP status of an error, or 0 if the error is not a response of the registry.
func status(err error) int {
	var s *client.StatusError
	if errors.As(err, &s) {
		return s.Status
	}
	return 0
}

// Operators push and promote, each with their own idempotency keys, and with revisions. Clients
// without the right to do so are rejected.
func TestOperators(t *testing.T) {
	r := open(t, store.Dir(t.TempDir()))
	ann, bob := r.client("ann"), r.client("bob")
	must(t, ann, "p1", push("v1"))
	must(t, ann, "p2", push("v2"))
	if a := must(t, ann, "k1", promote("v1", 0)); a.Migration != 1 || a.Status != "acknowledged" {
		t.Errorf("%+v", a)
	}
	if a := must(t, ann, "k1", promote("v1", 0)); a.Migration != 1 || !a.Replayed {
		t.Errorf("the same key again: %+v", a)
	}
	if _, err := ann.Command("k1", promote("v2", 1)); status(err) != 422 {
		t.Errorf("the key for another command: %v", err)
	}
	if a := must(t, bob, "k1", promote("v2", 1)); a.Migration != 2 { // each operator has its own keys
		t.Errorf("%+v", a)
	}
	if _, err := ann.Command("k2", promote("v2", 1)); status(err) != 412 {
		t.Errorf("an old revision: %v", err)
	}
	if _, err := r.client("c1").Command("k", push("v3")); status(err) != 403 {
		t.Errorf("a command of a controller: %v", err)
	}
	unknown := &client.Client{Server: r.addr, Key: signingKey(t, "eve"), Wall: time.Now}
	if _, err := unknown.Query(wire.Query{Kind: "list"}); status(err) != 401 {
		t.Errorf("a query of an unknown client: %v", err)
	}
	inAnHour := func() time.Time { return time.Now().Add(time.Hour) }
	skewed := &client.Client{Server: r.addr, Key: signingKey(t, "ann"), Wall: inAnHour}
	if _, err := skewed.Query(wire.Query{Kind: "list"}); status(err) != 401 {
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
