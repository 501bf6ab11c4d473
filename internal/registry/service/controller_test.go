package service_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/registry"
	"kitehub/internal/registry/agent"
	"kitehub/internal/registry/client"
	"kitehub/internal/registry/wire"
	"kitehub/internal/store"
)

// An answer that an agent admitted under the old version delays the acknowledgement until it is written.
func TestAnswerDelaysAcknowledgement(t *testing.T) {
	d := open(t, store.Dir(t.TempDir()))
	ann := d.client("ann")
	must(t, ann, "p1", push("v1"))
	must(t, ann, "p2", push("v2"))
	must(t, ann, "k1", promote("v1", 0))
	clk := clock.System()
	a := agent.Start(agent.Config{Client: d.client("c1"), Node: "c1", Clock: clk, Log: zerolog.Nop()})
	defer a.Stop()
	n := registry.AliasName{Model: "m", Alias: "current"}
	until := func(what string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(ms) {
			if time.Now().After(end) {
				t.Fatalf("never: %s", what)
			}
		}
	}
	var target registry.Target
	until("resolved", func() bool {
		var v registry.Verdict
		target, v = a.Resolve(n)
		return v == registry.Allowed
	})
	ticket, _, v := a.BeginAnswer(n, target)
	if v != registry.Allowed {
		t.Fatal(v)
	}
	command := make(chan *wire.Response, 1)
	go func() {
		x, _ := ann.Command("k2", promote("v2", 1))
		command <- x
	}()
	until("the new version seen", func() bool { x, _ := a.Resolve(n); return x.Version == "v2" })
	if v := a.MayAnswer(n, target); v != registry.Superseded && v != registry.BeingSuperseded {
		t.Errorf("the old target: %v", v)
	}
	select {
	case x := <-command:
		t.Errorf("acknowledged while an old answer is written: %+v", x)
	case <-time.After(2 * settings.LeaseDuration): // renewed all the while, under the old epoch
	}
	a.EndAnswer(ticket)
	if x := <-command; x == nil || x.Status != "acknowledged" {
		t.Errorf("%+v", x)
	}
	if v := a.MayAnswer(n, target); v != registry.Superseded {
		t.Errorf("after the acknowledgement: %v", v)
	}
}

// A controller that is disconnected resolves no alias once its lease is over, but for models that permit stale
// answers.
func TestDisconnectedController(t *testing.T) {
	d := open(t, store.Dir(t.TempDir()))
	ann := d.client("ann")
	must(t, ann, "p1", push("v1"))
	p := push("v1")
	p.Push.Model = "s"
	must(t, ann, "p2", p)
	must(t, ann, "pol", wire.Command{Policy: &registry.Policy{Model: "s", AllowStale: true}})
	must(t, ann, "k1", promote("v1", 0))
	q := promote("v1", 0)
	q.Promote.Model = "s"
	must(t, ann, "k2", q)
	a := agent.Start(agent.Config{Client: d.client("c1"), Node: "c1", Clock: clock.System(), Log: zerolog.Nop()})
	defer a.Stop()
	n, stale := registry.AliasName{Model: "m", Alias: "current"}, registry.AliasName{Model: "s", Alias: "current"}
	verdict := func(n registry.AliasName) registry.Verdict { _, v := a.Resolve(n); return v }
	for verdict(n) != registry.Allowed || verdict(stale) != registry.Allowed {
		time.Sleep(ms)
	}
	d.kill()
	end := time.Now().Add(settings.LeaseDuration)
	for {
		at := time.Now()
		if verdict(n) != registry.Allowed {
			break
		}
		if at.After(end) {
			t.Fatal("it resolves after its lease")
		}
		time.Sleep(ms)
	}
	if v := verdict(n); v != registry.NoLease {
		t.Errorf("%v", v)
	}
	if v := verdict(stale); v != registry.Allowed {
		t.Errorf("where stale is fine: %v", v)
	}
	d.start()
	for verdict(n) != registry.Allowed {
		time.Sleep(ms)
	}
}

// A controller that rejects updates delays a migration until its lease is over, not for ever.
func TestNack(t *testing.T) {
	d := open(t, store.Dir(t.TempDir()))
	ann, c1 := d.client("ann"), d.client("c1")
	must(t, ann, "p1", push("v1"))
	must(t, ann, "p2", push("v2"))
	must(t, ann, "k1", promote("v1", 0))
	poll := func(q wire.DiscoveryRequest) {
		q.Node.ID, q.TypeURL = "c1", wire.TypeAlias
		body, err := json.Marshal(q)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := c1.Do(wire.DiscoveryPath, client.NewID("poll"), nil, body, time.Second); err != nil {
			t.Error(err)
		}
	}
	poll(wire.DiscoveryRequest{VersionInfo: "1"})
	got := make(chan string, 1)
	go func() {
		a, err := ann.Command("k2", promote("v2", 1))
		if err != nil {
			got <- err.Error()
			return
		}
		got <- a.Status
	}()
	for {
		select {
		case s := <-got:
			if s != "acknowledged" {
				t.Errorf("%s while a controller rejects updates", s)
			}
			return
		default:
			poll(wire.DiscoveryRequest{VersionInfo: "1", ErrorDetail: &wire.ErrorDetail{Code: 3, Message: "no"}})
		}
	}
}
