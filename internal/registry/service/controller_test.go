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

// An answer that an agent admitted under the old version delays the acknowledgement of the
// migration until the answer is written.
func TestAnswerDelaysAcknowledgement(t *testing.T) {
	r := open(t, store.Dir(t.TempDir()))
	ann := r.client("ann")
	must(t, ann, "p1", push("v1"))
	must(t, ann, "p2", push("v2"))
	must(t, ann, "k1", promote("v1", 0))
	clk := clock.System()
	a := agent.Start(agent.Config{Client: r.client("c1"), Node: "c1", Clock: clk, Log: zerolog.Nop()})
	defer a.Stop()
	alias := registry.AliasName{Model: "m", Alias: "current"}
	eventually := func(what string, condition func() bool) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(ms) {
			if time.Now().After(deadline) {
				t.Fatalf("timeout waiting until %s", what)
			}
		}
	}
	var target registry.Target
	eventually("the alias resolves", func() bool {
		var verdict registry.Verdict
		target, verdict = a.Resolve(alias)
		return verdict == registry.Allowed
	})
	ticket, _, v := a.BeginAnswer(alias, target)
	if v != registry.Allowed {
		t.Fatal(v)
	}
	command := make(chan *wire.Response, 1)
	go func() {
		resp, _ := ann.Command("k2", promote("v2", 1))
		command <- resp
	}()
	eventually("the agent resolves the new version", func() bool { current, _ := a.Resolve(alias); return current.Version == "v2" })
	if v := a.MayAnswer(alias, target); v != registry.Superseded && v != registry.BeingSuperseded {
		t.Errorf("the superseded target: %v", v)
	}
	select {
	case resp := <-command:
		t.Errorf("acknowledged while an answer of the old version is being written: %+v", resp)
	case <-time.After(2 * settings.LeaseDuration): // the lease is renewed under the old epoch
	}
	a.EndAnswer(ticket)
	if resp := <-command; resp == nil || resp.Status != "acknowledged" {
		t.Errorf("%+v", resp)
	}
	if v := a.MayAnswer(alias, target); v != registry.Superseded {
		t.Errorf("after the acknowledgement: %v", v)
	}
}

// A disconnected controller resolves no alias once its lease has expired, except for models that
// permit stale answers.
func TestDisconnectedController(t *testing.T) {
	settings := settings
	settings.StaleDuration = time.Hour
	r := openWith(t, store.Dir(t.TempDir()), settings)
	ann := r.client("ann")
	must(t, ann, "p1", push("v1"))
	pushStale := push("v1")
	pushStale.Push.Model = "s"
	must(t, ann, "p2", pushStale)
	must(t, ann, "pol", wire.Command{Policy: &registry.Policy{Model: "s", AllowStale: true}})
	must(t, ann, "k1", promote("v1", 0))
	promoteStale := promote("v1", 0)
	promoteStale.Promote.Model = "s"
	must(t, ann, "k2", promoteStale)
	a := agent.Start(agent.Config{Client: r.client("c1"), Node: "c1", Clock: clock.System(), Log: zerolog.Nop()})
	defer a.Stop()
	alias, stale := registry.AliasName{Model: "m", Alias: "current"}, registry.AliasName{Model: "s", Alias: "current"}
	verdict := func(alias registry.AliasName) registry.Verdict { _, v := a.Resolve(alias); return v }
	for verdict(alias) != registry.Allowed || verdict(stale) != registry.Allowed {
		time.Sleep(ms)
	}
	r.kill()
	leaseEnd := time.Now().Add(settings.LeaseDuration)
	for {
		at := time.Now()
		if verdict(alias) != registry.Allowed {
			break
		}
		if at.After(leaseEnd) {
			t.Fatal("the alias resolves after the lease has expired")
		}
		time.Sleep(ms)
	}
	if v := verdict(alias); v != registry.NoLease {
		t.Errorf("%v", v)
	}
	if v := verdict(stale); v != registry.Allowed {
		t.Errorf("a model that permits stale answers: %v", v)
	}
	r.start()
	for verdict(alias) != registry.Allowed {
		time.Sleep(ms)
	}
}

// A controller that was cut off under the policy stale answered for ever, also after the change to
// fresh and a later migration were acknowledged (docs/incidents/stale-policy-without-end.md).
func TestNoStaleAnswerAfterFresh(t *testing.T) {
	r := open(t, store.Dir(t.TempDir()))
	ann := r.client("ann")
	must(t, ann, "p1", push("v1"))
	must(t, ann, "p2", push("v2"))
	must(t, ann, "stale", wire.Command{Policy: &registry.Policy{Model: "m", AllowStale: true}})
	must(t, ann, "k1", promote("v1", 0))
	a := agent.Start(agent.Config{Client: r.client("c1"), Node: "c1", Clock: clock.System(), Log: zerolog.Nop()})
	alias := registry.AliasName{Model: "m", Alias: "current"}
	target, verdict := a.Resolve(alias)
	for verdict != registry.Allowed {
		time.Sleep(ms)
		target, verdict = a.Resolve(alias)
	}
	a.Stop() // as if it were cut off: its view stays in force
	must(t, ann, "fresh", wire.Command{Policy: &registry.Policy{Model: "m"}})
	resp, err := ann.Command("k2", promote("v2", 1))
	if err != nil || resp.Status != "acknowledged" {
		t.Fatalf("%+v %v", resp, err)
	}
	if verdict := a.MayAnswer(alias, target); verdict != registry.NoLease {
		t.Errorf("after the acknowledgement, the version that was left: %v", verdict)
	}
	if _, verdict := a.Resolve(alias); verdict != registry.NoLease {
		t.Errorf("after the acknowledgement, a new call: %v", verdict)
	}
}

// A controller of a version that knows no end of the policy stale is not told the models that have
// it, so it refuses without a lease.
func TestStaleOnlyForControllersThatEndIt(t *testing.T) {
	r := open(t, store.Dir(t.TempDir()))
	ann, c1 := r.client("ann"), r.client("c1")
	must(t, ann, "p1", push("v1"))
	must(t, ann, "stale", wire.Command{Policy: &registry.Policy{Model: "m", AllowStale: true}})
	for _, ends := range []bool{false, true} {
		body, err := json.Marshal(wire.DiscoveryRequest{Node: wire.Node{ID: "c1"}, TypeURL: wire.TypeAlias, EndsStale: ends})
		if err != nil {
			t.Fatal(err)
		}
		text, _, err := c1.Do(wire.DiscoveryPath, client.NewID("poll"), nil, body, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		var resp wire.DiscoveryResponse
		if err := json.Unmarshal(text, &resp); err != nil {
			t.Fatal(err)
		}
		if got := len(resp.AllowStale) == 1; got != ends || resp.StaleMS != 600 {
			t.Errorf("ends it: %v: models %v for %v ms", ends, resp.AllowStale, resp.StaleMS)
		}
	}
}

// A controller that rejects updates delays a migration only until its lease expires.
func TestNack(t *testing.T) {
	r := open(t, store.Dir(t.TempDir()))
	ann, c1 := r.client("ann"), r.client("c1")
	must(t, ann, "p1", push("v1"))
	must(t, ann, "p2", push("v2"))
	must(t, ann, "k1", promote("v1", 0))
	poll := func(request wire.DiscoveryRequest) {
		request.Node.ID, request.TypeURL = "c1", wire.TypeAlias
		body, err := json.Marshal(request)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := c1.Do(wire.DiscoveryPath, client.NewID("poll"), nil, body, time.Second); err != nil {
			t.Error(err)
		}
	}
	poll(wire.DiscoveryRequest{VersionInfo: "1"})
	outcome := make(chan string, 1)
	go func() {
		resp, err := ann.Command("k2", promote("v2", 1))
		if err != nil {
			outcome <- err.Error()
			return
		}
		outcome <- resp.Status
	}()
	for {
		select {
		case got := <-outcome:
			if got != "acknowledged" {
				t.Errorf("%s while a controller rejects updates", got)
			}
			return
		default:
			poll(wire.DiscoveryRequest{VersionInfo: "1", ErrorDetail: &wire.ErrorDetail{Code: 3, Message: "no"}})
		}
	}
}
