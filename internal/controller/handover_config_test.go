package controller

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"kitehub/config"
	"kitehub/internal/clock"
	"kitehub/internal/harness/trace"
	"kitehub/scheduler"
)

const thirdSecret = "whsec_ICEiIyQlJicoKSorLC0uLzAxMjM0NTY3ODk6Ozw9Pj8="

// clientsConfig returns the settings of clients, each of them given as name and secret.
func clientsConfig(nameAndSecret ...string) string {
	var text strings.Builder
	for i := 0; i < len(nameAndSecret); i += 2 {
		fmt.Fprintf(&text, "clients { name: %q common_keys: %q }\n", nameAndSecret[i], nameAndSecret[i+1])
	}
	return text.String()
}

// withClients returns changes to a configuration that replace its clients.
func withClients(changes []string, clients string) []string {
	return append([]string{fmt.Sprintf("clients { name: \"shop\" common_keys: %q }\n", commonSecret), clients}, changes...)
}

// replaceBy takes a controller over with changes to its configuration.
func (h *harness) replaceBy(path string, predecessor *Controller, changes []string) *Controller {
	h.t.Helper()
	c, err := h.takeOver(path, changes)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(c.Kill)
	<-predecessor.HandedOver()
	return c
}

// A take-over with a client less made the successor take the messages of the others for new ones,
// as it knew them by the client's index: calls that must not run twice ran twice.
func TestTakeOverKnowsMessagesByTheirClient(t *testing.T) {
	for name, clients := range map[string]string{
		"the first is left out":  clientsConfig("shop", commonSecret),
		"the order is another":   clientsConfig("shop", commonSecret, "desk", otherSecret),
		"one is added in front":  clientsConfig("kiosk", thirdSecret, "desk", otherSecret, "shop", commonSecret),
		"another in its place":   clientsConfig("desk", otherSecret, "kiosk", thirdSecret, "shop", commonSecret),
		"keys are added":         clientsConfig("desk", thirdSecret, "shop", commonSecret),
		"of another tenant":      strings.ReplaceAll(clientsConfig("desk", otherSecret, "shop", commonSecret), "}", `tenant: "u" }`),
		"the same configuration": clientsConfig("desk", otherSecret, "shop", commonSecret),
	} {
		t.Run(name, func(t *testing.T) {
			h, changes, path := newHandoverHarness(t, ms)
			both := withClients(changes, clientsConfig("desk", otherSecret, "shop", commonSecret))
			predecessor := h.start(h.configure("c", both...))
			past := time.Now().Add(-5 * time.Second)
			replayed := sign(t, commonSecret, "c", "replayed", "unsafe-1", `{"x":1}`, past)
			wantAnswer(t, exchange(t, predecessor.Addr(), replayed), "200 served")
			wantAnswer(t, post(t, predecessor, "retried", "unsafe-1", `{"x":2}`, past), "200 served")
			c := h.replaceBy(path, predecessor, withClients(changes, clients))
			wantAnswer(t, exchange(t, c.Addr(), replayed), "409 replayed")
			wantAnswer(t, post(t, c, "retried", "unsafe-1", `{"x":2}`, time.Now()), "200 served")
			if n := h.runs("unsafe-1"); n != 2 {
				t.Errorf("%d runs of 2 calls", n)
			}
		})
	}
}

// A client that took the place of another one would have got the other's cached answers.
func TestTakeOverGivesNoAnswerOfAnotherClient(t *testing.T) {
	h, changes, path := newHandoverHarness(t, ms)
	predecessor := h.start(h.configure("c", changes...))
	past := time.Now().Add(-5 * time.Second)
	wantAnswer(t, post(t, predecessor, "id", "unsafe-1", `{"x":1}`, past), "200 served")
	c := h.replaceBy(path, predecessor, withClients(changes, clientsConfig("kiosk", otherSecret)))
	wantAnswer(t, exchange(t, c.Addr(), sign(t, otherSecret, "c", "id", "unsafe-1", `{"x":1}`, time.Now())), "200 served")
	if n := h.runs("unsafe-1"); n != 2 {
		t.Errorf("%d runs, want 2: the second client's call is its own", n)
	}
}

// A client that was left out by one take-over and is back after the next one is the same client.
func TestClientThatReturnsIsKnown(t *testing.T) {
	h, changes, path := newHandoverHarness(t, 300*ms)
	c := h.start(h.configure("c", changes...))
	message := sign(t, commonSecret, "c", "id", "unsafe-1", `{"x":1}`, time.Now().Add(-5*time.Second))
	first := make(chan answer, 1)
	go func() { first <- exchange(t, c.Addr(), message) }()
	h.awaitRecord(ofKind(trace.RunStarted)) // it ends while the first successor serves
	c = h.replaceBy(path, c, withClients(changes, clientsConfig("desk", otherSecret)))
	wantAnswer(t, <-first, "200 served")
	wantAnswer(t, exchange(t, c.Addr(), message), "401 forged")
	<-c.predecessorDone
	c = h.replaceBy(path, c, changes)
	wantAnswer(t, exchange(t, c.Addr(), message), "409 replayed")
	wantAnswer(t, post(t, c, "id", "unsafe-1", `{"x":1}`, time.Now()), "200 served")
	if n := h.runs("unsafe-1"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// A key that moves to another client would make its old messages new ones of that client. Such a
// configuration is refused, also if the key had been removed before, and the running process goes
// on.
func TestKeyCannotMoveToAnotherClient(t *testing.T) {
	h, changes, path := newHandoverHarness(t, ms)
	c := h.start(h.configure("c", withClients(changes, clientsConfig("desk", otherSecret, "shop", commonSecret))...))
	refused := func(what string, err error) {
		t.Helper()
		if err == nil || !strings.Contains(err.Error(), "a key of the active client") {
			t.Errorf("%s: error %v, want one about a key", what, err)
		}
	}
	renamed := withClients(changes, clientsConfig("store", commonSecret))
	swapped := withClients(changes, clientsConfig("desk", commonSecret, "shop", otherSecret))
	_, err := h.takeOver(path, renamed)
	refused("a renamed client", err)
	_, err = h.takeOver(path, swapped)
	refused("swapped keys", err)
	refused("swapped keys at a reload", c.SetClients(h.configure("c", swapped...)))
	if err := c.SetClients(h.configure("c", withClients(changes, clientsConfig("desk", otherSecret, "shop", thirdSecret))...)); err != nil {
		t.Fatal(err)
	}
	wantAnswer(t, exchange(t, c.Addr(), sign(t, thirdSecret, "c", "id", "safe-1", `{}`, time.Now())), "200 served")
	_, err = h.takeOver(path, renamed)
	refused("a key that was removed", err)
	wantAnswer(t, exchange(t, c.Addr(), sign(t, thirdSecret, "c", "id2", "safe-1", `{}`, time.Now())), "200 served")
}

// A successor with a greater past_ms accepted messages again that its predecessor had forgotten, as
// they were too old for it.
func TestTakeOverWithGreaterMaxAgeAcceptsNoReplay(t *testing.T) {
	h, changes, path := newHandoverHarness(t, ms)
	short := append([]string{"past_ms: 60000", "past_ms: 3000"}, changes...)
	predecessor := h.start(h.configure("c", short...))
	message := sign(t, commonSecret, "c", "id", "unsafe-1", `{"x":1}`, time.Now())
	wantAnswer(t, exchange(t, predecessor.Addr(), message), "200 served")
	for i := 0; exchange(t, predecessor.Addr(), message).String() != "401 forged"; i++ {
		if i > 10000 {
			t.Fatal("the message does not become too old")
		}
		time.Sleep(ms)
	}
	c := h.replaceBy(path, predecessor, changes)
	wantAnswer(t, exchange(t, c.Addr(), message), "503 refused")
	wantAnswer(t, post(t, c, "new", "unsafe-1", `{"x":2}`, time.Now()), "200 served")
	if n := h.runs("unsafe-1"); n != 2 {
		t.Errorf("%d runs of 2 calls", n)
	}
}

// A successor with another state folder relied on the watermark in its predecessor's folder, so
// that a crash would have let replays in.
func TestTakeOverWithOtherStateDirWritesItsWatermark(t *testing.T) {
	h, changes, path := newHandoverHarness(t, ms)
	predecessor := h.start(h.configure("c", changes...))
	other := filepath.Join(h.dir, "other")
	cfg := h.configure("c", append([]string{fmt.Sprintf("state_dir: %q", filepath.Join(h.dir, "c")), fmt.Sprintf("state_dir: %q", other)}, changes...)...)
	c, err := TakeOver(path, func(incoming *IncomingHandover) (*Controller, error) {
		return Start(cfg, Options{Clock: h.clock, Log: predecessor.log, Predecessor: incoming})
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Kill)
	if _, err := os.Stat(cfg.WatermarkFile); err != nil {
		t.Error(err)
	}
	<-predecessor.HandedOver() // until then it may write to the folder that the test removes
}

// A call that its client gave up was rejected although it may have run, as its class was safe. A
// successor in whose configuration the class is unsafe ran it again.
func TestTakeOverThatMakesAClassUnsafe(t *testing.T) {
	h, changes, path := newHandoverHarness(t, 500*ms)
	predecessor := h.start(h.configure("c", changes...))
	nc, err := net.Dial("tcp", predecessor.Addr())
	if err != nil {
		t.Fatal(err)
	}
	nc.Write(sign(t, commonSecret, "c", "id", "safe-1", `{"x":1}`, time.Now().Add(-5*time.Second)).bytes())
	h.awaitRecord(ofKind(trace.RunStarted))
	nc.Close()
	for predecessor.Gateway.OpenRequests() > 0 {
		time.Sleep(ms)
	}
	unsafe := append([]string{`functions { name: "safe-1" class: "safe"`, `functions { name: "safe-1" class: "unsafe"`}, changes...)
	c := h.replaceBy(path, predecessor, unsafe)
	wantAnswer(t, post(t, c, "id", "safe-1", `{"x":1}`, time.Now()), "502 failed")
	if n := h.runs("safe-1"); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// A successor does not know the keys of JSON-RPC calls. It waited for the deadlines and key windows
// of its own configuration, which may be shorter than those under which calls were accepted.
func TestSuccessorWaitsForKeysOfThePredecessorsClasses(t *testing.T) {
	manual := clock.NewManual(time.Unix(1_800_000_000, 0))
	withWindow := func(window time.Duration) *Controller {
		cfg := &config.ControllerConfig{}
		cfg.Settings.Classes = []scheduler.Class{
			{Idempotency: scheduler.IdempotentWithKey, Deadline: time.Second, DedupWindow: window},
			{Idempotency: scheduler.NonIdempotent, Deadline: time.Hour},
		}
		return &Controller{config: cfg, options: Options{Clock: manual}}
	}
	expectWait := func(c *Controller, want time.Duration) {
		t.Helper()
		if got := c.rpcKeysUnknownUntil - manual.Now(); got != want {
			t.Errorf("keys are unknown for %v, want %v", got, want)
		}
	}
	long, short, third := withWindow(9*time.Second), withWindow(time.Second), withWindow(time.Second)
	same := withWindow(9 * time.Second)
	same.inheritRPCKeys(long.rpcKeysForSuccessor())
	expectWait(same, 0) // the wait of each class is enough
	short.inheritRPCKeys(long.rpcKeysForSuccessor())
	expectWait(short, 10*time.Second)
	manual.Advance(3 * time.Second)
	third.inheritRPCKeys(short.rpcKeysForSuccessor()) // the same classes as short
	expectWait(third, 7*time.Second)
	manual.Advance(time.Minute)
	same.inheritRPCKeys(third.rpcKeysForSuccessor())
	expectWait(same, 2*time.Second)
}
