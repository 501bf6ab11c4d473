package gateway_test

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/backend"
	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/internal/harness/fakeworker"
	"kitehub/internal/harness/workersim"
	"kitehub/internal/http1"
	"kitehub/internal/ingress/webhook"
	"kitehub/internal/replayguard"
	"kitehub/internal/signing"
	"kitehub/scheduler"
)

const ms = time.Millisecond

// startWorker starts a fake worker w1 on a socket. It can load the function quote.
func startWorker(t *testing.T, clk clock.Clock) *fakeworker.Host {
	t.Helper()
	host, err := fakeworker.Start(fakeworker.Config{
		Clock: clk,
		Functions: []fakeworker.FunctionConfig{{
			Function: workersim.Function{Name: "quote", MemoryMB: 100, Lanes: 2, Fetch: 20 * ms, Start: 10 * ms},
			Class:    "quote",
			Work:     5 * ms,
		}},
		Fleet: workersim.Config{
			Workers: []workersim.Spec{{
				Name: "w1", Cores: 2, Speed: 1, MemoryMB: 1000, Queue: 10, LoadSlots: 2, IdleCopyTTL: 8 * time.Second,
			}},
			Store: workersim.Store{FullRateFetches: 4},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	return host
}

func quoteSettings() scheduler.Settings {
	return scheduler.Settings{
		Controllers: 1,
		Tick:        ms,
		Classes: []scheduler.Class{{
			Name: "quote", Idempotency: scheduler.Idempotent, PriorityWeight: 1,
			LatencyObjective: 500 * ms, Deadline: 2 * time.Second,
		}},
		Limits: scheduler.Limits{
			MaxAttempts: 3, MaxOpenRequests: 100, Cancel: true,
			DialTimeout: 250 * ms, IdleConnectionTimeout: 5 * time.Second,
		},
		Loading: scheduler.Loading{
			Orders: true, LoadsOnMiss: true, OnMissKnown: true, ReportsLoadNotes: true,
			IdleCopyTTL: 8 * time.Second, OrderTimeout: 5 * time.Second,
		},
		Guarantees: scheduler.Guarantees{
			DrainGrace: 500 * ms, WarmupFraction: 0.2, WarmupTime: 10 * time.Second,
			CollapseFactor: 2, CollapseWindow: 2 * time.Second,
		},
	}
}

// startIngress serves the function as signed webhooks on a socket, and returns the socket's
// address.
func startIngress(t *testing.T, g *gateway.Gateway, clk clock.Clock, quote *gateway.Function, key *signing.Key) string {
	t.Helper()
	ingress, err := webhook.New(webhook.Config{
		Prefix: "/call/", Gateway: g, Clock: clk, Watermark: webhook.WatermarkFile(t.TempDir() + "/mark"),
		Functions: func(name string) *gateway.Function {
			if name == "quote" {
				return quote
			}
			return nil
		},
		Deadline:      func(int) time.Duration { return 2 * time.Second },
		Idempotency:   func(int) scheduler.Idempotency { return scheduler.Idempotent },
		HarmlessRetry: func(int) bool { return true },
		Replay: replayguard.Settings{
			MaxAge: time.Minute, MaxClockSkew: 5 * time.Second, WatermarkStep: 2 * time.Second,
			MaxEntries: 1000, MaxAnswerBytes: 1 << 20,
		},
	}, []webhook.Client{{Name: "shop", Keys: []*signing.Key{key}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ingress.Close() })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http1.Server{Handler: ingress}
	go srv.Serve(ln)
	t.Cleanup(func() {
		ln.Close()
		srv.Abort()
	})
	return ln.Addr().String()
}

// A signed call goes over real sockets to a fake worker and back. The answer is signed, and sending
// the same message again is detected as a replay.
func TestSignedCallThroughSockets(t *testing.T) {
	clk := clock.System()
	host := startWorker(t, clk)
	workerBackend := backend.New(backend.Config{
		Controller: "c1", Clock: clk, DialTimeout: 250 * ms, IdleTimeout: 5 * time.Second,
		OrderTimeout: 5 * time.Second, ProbeTimeout: time.Second,
	})
	t.Cleanup(func() { workerBackend.Close() })
	g, err := gateway.New(gateway.Config{
		Name: "c1", Settings: quoteSettings(), Seed: 1, Clock: clk, Transport: workerBackend,
		Log: zerolog.New(zerolog.NewTestWriter(t)),
	})
	if err != nil {
		t.Fatal(err)
	}
	id, err := g.AddFunction("quote")
	if err != nil {
		t.Fatal(err)
	}
	go g.Run()
	t.Cleanup(func() { g.Stop(time.Second) })
	workers := []gateway.Worker{{Name: "w1", Network: "tcp", Addr: host.Addr("w1"), State: scheduler.Ready}}
	if err := g.UpdateWorkers(scheduler.FullList, 1, workers); err != nil {
		t.Fatal(err)
	}
	key, err := signing.ParseKey("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw")
	if err != nil {
		t.Fatal(err)
	}
	quote := &gateway.Function{Name: "quote", ID: id, MemoryMB: 100, Lanes: 2}
	addr := startIngress(t, g, clk, quote, key)
	body := `{"nights":3}`
	m := signing.Message{ID: "msg_1", Timestamp: strconv.FormatInt(time.Now().Unix(), 10), Body: []byte(body)}
	sig, err := key.Sign(m)
	if err != nil {
		t.Fatal(err)
	}
	post := func() *http.Response {
		req, _ := http.NewRequest("POST", "http://"+addr+"/call/quote", strings.NewReader(body))
		req.Header.Set("webhook-id", m.ID)
		req.Header.Set("webhook-timestamp", m.Timestamp)
		req.Header.Set("webhook-signature", sig)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	resp := post()
	got := make([]byte, 100)
	n, _ := resp.Body.Read(got)
	if resp.StatusCode != 200 || string(got[:n]) != body {
		t.Fatalf("status %d, body %q", resp.StatusCode, got[:n])
	}
	a := signing.Message{ID: resp.Header.Get("webhook-id"), Timestamp: resp.Header.Get("webhook-timestamp"), Body: got[:n]}
	if a.ID != signing.AnswerID("served", "msg_1") || !key.Verify(a, resp.Header.Get("webhook-signature")) {
		t.Errorf("the id or signature of answer %q is wrong", a.ID)
	}
	if resp := post(); resp.StatusCode != 409 {
		t.Errorf("the same message again: status %d, want 409", resp.StatusCode)
	}
}
