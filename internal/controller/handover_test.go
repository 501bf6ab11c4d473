package controller

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/daemon"
	"kitehub/internal/harness/fakeworker"
	"kitehub/internal/harness/trace"
	"kitehub/internal/ingress/webhook"
	"kitehub/internal/replayguard"
)

// newHandoverHarness returns a harness, the changes to its configuration, and the path at which its
// controller accepts successors.
func newHandoverHarness(t *testing.T, work time.Duration) (*harness, []string, string) {
	h := newHarness(t, 3, func(c *fakeworker.Config) {
		for i := range c.Functions {
			c.Functions[i].Work = work
		}
	})
	path := filepath.Join(h.dir, "h")
	return h, append(withRPC(h, fmt.Sprintf("hooks {} daemon { handover: %q }", path)), "remembered: 1000", "remembered: 100000"), path
}

// takeOver starts a controller in place of the one that accepts successors at path.
func (h *harness) takeOver(path string, changes []string) (*Controller, error) {
	return TakeOver(path, func(incoming *IncomingHandover) (*Controller, error) {
		return Start(h.configure("c", changes...), Options{Clock: h.clock, Log: zerolog.Nop(), Predecessor: incoming})
	})
}

// sendCalls sends signed calls, one after another, until stop is closed. It uses one connection or,
// with newConns, a new one for each call. The ids of the messages start with idPrefix.
func (h *harness) sendCalls(t *testing.T, addr, idPrefix, function string, newConns bool, stop chan struct{}, sent *atomic.Int64, got func(answer, time.Duration)) {
	var nc net.Conn
	var br *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		if nc == nil {
			var err error
			if nc, err = net.Dial("tcp", addr); err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(100 * time.Second))
			br = bufio.NewReader(nc)
		}
		m := sign(t, commonSecret, "c", fmt.Sprint(idPrefix, "-", i), function, `{"x":1}`, time.Now())
		begin := time.Now()
		sent.Add(1)
		nc.Write(m.bytes())
		a := readAnswer(t, br, m)
		got(a, time.Since(begin))
		if a.status == 0 {
			return
		}
		if newConns {
			nc.Close()
			nc = nil
		}
	}
}

// hello returns the body of a Hello packet of a version.
func hello(t *testing.T, version int) []byte {
	t.Helper()
	body, err := json.Marshal(helloBody{version})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// During fifty successive handovers under load every call is served and runs exactly once.
func TestHandoversUnderLoadLoseNoCall(t *testing.T) {
	handovers := 50
	if testing.Short() || raceEnabled {
		handovers = 8
	}
	h, changes, path := newHandoverHarness(t, 5*ms)
	c := h.start(h.configure("c", changes...))
	addr := c.Addr()
	var sent atomic.Int64
	var mu sync.Mutex
	outcomes := map[string]int{}
	var took []time.Duration
	got := func(a answer, d time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		outcomes[a.String()]++
		took = append(took, d)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.sendCalls(t, addr, fmt.Sprint("l", i), []string{"unsafe-1", "keyed-1", "safe-1"}[i%3], i >= 3, stop, &sent, got)
		}()
	}
	for i := range handovers {
		for sent.Load() < int64(20*(i+1)) && !t.Failed() {
			time.Sleep(ms)
		}
		next, err := h.takeOver(path, changes)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(next.Kill)
		<-c.HandedOver()
		c = next
	}
	close(stop)
	wg.Wait()
	slices.Sort(took)
	n := int(sent.Load())
	t.Logf("%d handovers, %d calls: %v; latency median %v, 99th percentile %v, maximum %v", handovers, n, outcomes, took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
	if outcomes["200 served"] != n {
		t.Errorf("outcomes of %d calls: %v, want all served", n, outcomes)
	}
	if ran := h.runs("unsafe-1") + h.runs("keyed-1") + h.runs("safe-1"); ran != n {
		t.Errorf("%d runs of %d calls", ran, n)
	}
	if n < 10*handovers {
		t.Errorf("only %d calls in %d handovers, too few for the test to be meaningful", n, handovers)
	}
}

// The successor does not admit a message that is in flight in the predecessor. Once the predecessor
// has answered it, the successor gives the cached answer.
func TestHandoverDuringACall(t *testing.T) {
	h, changes, path := newHandoverHarness(t, 600*ms)
	predecessor := h.start(h.configure("c", changes...))
	m := sign(t, commonSecret, "c", "once", "unsafe-1", `{"x":1}`, time.Now().Add(-5*time.Second))
	first := make(chan answer)
	go func() { first <- exchange(t, predecessor.Addr(), m) }()
	for predecessor.Gateway.OpenRequests() == 0 {
		time.Sleep(ms)
	}
	c, err := h.takeOver(path, changes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Kill)
	retry := func(after int) answer {
		return post(t, c, "once", "unsafe-1", `{"x":1}`, time.Now().Add(time.Duration(after-4)*time.Second))
	}
	wantAnswer(t, exchange(t, c.Addr(), m), "409 replayed")
	wantAnswer(t, retry(0), "503 refused") // it runs in the predecessor
	wantAnswer(t, post(t, c, "new", "safe-1", `{}`, time.Now()), "200 served")
	wantAnswer(t, <-first, "200 served")
	<-predecessor.HandedOver()
	for end := time.Now().Add(10 * time.Second); ; {
		if a := retry(1); a.status == 200 || time.Now().After(end) {
			wantAnswer(t, a, "200 served")
			break
		}
	}
	if n := h.runs("unsafe-1"); n != 1 {
		t.Errorf("the message ran %d times, want 1", n)
	}
}

// The successor dies, or sends an invalid packet, at each stage of a handover. Before Grant the
// predecessor then continues to serve, and a later handover succeeds. After Grant it finishes what
// is in flight, and ends.
func TestHandoverWithSuccessorKilled(t *testing.T) {
	for _, stage := range []string{"hello", "sockets", "takeover requested", "state complete", "state taken", "wrong packet", "unknown packet"} {
		t.Run(stage, func(t *testing.T) {
			h, changes, path := newHandoverHarness(t, ms)
			c := h.start(h.configure("c", changes...))
			l, err := daemon.DialLink(path)
			if err != nil {
				t.Fatal(err)
			}
			// sendAndAwait sends a packet and receives packets until one of the kind awaited. It
			// receives none if awaited is 0.
			sendAndAwait := func(kind daemon.PacketKind, awaited daemon.PacketKind) {
				t.Helper()
				var body []byte
				if kind == daemon.Hello {
					body = hello(t, handoverVersion)
				}
				l.Send(kind, body)
				for k := daemon.PacketKind(0); awaited != 0 && k != awaited; {
					var files []interface{ Close() error }
					received, _, fs, err := l.Receive(10 * time.Second)
					for _, f := range fs {
						files = append(files, f)
					}
					for _, f := range files {
						f.Close()
					}
					if err != nil {
						t.Fatal(err)
					}
					k = received
				}
			}
			switch stage {
			case "hello":
			case "sockets":
				sendAndAwait(daemon.Hello, daemon.Sockets)
			case "takeover requested":
				sendAndAwait(daemon.Hello, daemon.Sockets)
				sendAndAwait(daemon.TakeoverRequest, 0)
			case "state complete":
				sendAndAwait(daemon.Hello, daemon.Sockets)
				sendAndAwait(daemon.TakeoverRequest, daemon.StateComplete)
			case "wrong packet":
				sendAndAwait(daemon.Hello, daemon.Sockets)
				sendAndAwait(daemon.TakeoverRequest, daemon.StateComplete)
				sendAndAwait(daemon.Done, daemon.Abort)
			case "unknown packet":
				sendAndAwait(daemon.Hello, daemon.Sockets)
				sendAndAwait(daemon.TakeoverRequest, daemon.StateComplete)
				sendAndAwait(0, daemon.Abort)
			case "state taken":
				// After this packet the successor has the sockets: the predecessor finishes what is
				// in flight, and ends.
				sendAndAwait(daemon.Hello, daemon.Sockets)
				sendAndAwait(daemon.TakeoverRequest, daemon.StateComplete)
				sendAndAwait(daemon.StateTaken, daemon.Grant)
				l.Close()
				<-c.HandedOver()
				if _, err := net.DialTimeout("tcp", c.Addr(), time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
					t.Errorf("dial after the handover: error %v, want connection refused", err)
				}
				h.start(h.configure("c", changes...)) // as the supervisor would
				return
			}
			l.Close()
			for i := range 3 {
				wantAnswer(t, post(t, c, fmt.Sprint("m", i), "safe-1", `{}`, time.Now()), "200 served")
			}
			next, err := h.takeOver(path, changes)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(next.Kill)
			<-c.HandedOver()
			wantAnswer(t, post(t, next, "after", "safe-1", `{}`, time.Now()), "200 served")
		})
	}
}

// If the successor fails to start, the predecessor continues to serve.
func TestHandoverToBadSuccessor(t *testing.T) {
	h, changes, path := newHandoverHarness(t, ms)
	c := h.start(h.configure("c", changes...))
	_, err := TakeOver(path, func(_ *IncomingHandover) (*Controller, error) { return nil, errors.New("it does not start") })
	if err == nil || !strings.Contains(err.Error(), "it does not start") {
		t.Error(err)
	}
	wantAnswer(t, post(t, c, "m", "safe-1", `{}`, time.Now()), "200 served")
}

// If the predecessor dies after StateComplete and before Grant, the successor serves: it knows the
// ids of the predecessor's messages, and answers those that were in flight as failed, as they may
// have run. If the predecessor dies before StateComplete, the successor exits.
func TestHandoverFromDyingPredecessor(t *testing.T) {
	for _, complete := range []bool{true, false} {
		h, changes, path := newHandoverHarness(t, ms)
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		unix, err := net.Listen("unix", filepath.Join(h.dir, "s"))
		if err != nil {
			t.Fatal(err)
		}
		links, err := daemon.ListenLinks(path)
		if err != nil {
			t.Fatal(err)
		}
		m := sign(t, commonSecret, "c", "known", "unsafe-1", `{}`, time.Now().Add(-3*time.Second))
		state := handoverState{Webhook: webhook.State{State: replayguard.State{Highest: time.Now().Unix(), Known: []replayguard.EntryState{
			{Key: replayguard.Key{Client: "shop", ID: "known"}, LastTimestamp: time.Now().Unix() - 3, Running: true, Digest: bodyDigest("unsafe-1", m)}}}}}
		text, _ := json.Marshal(state)
		sockets, _ := json.Marshal(socketsBody{handoverVersion, []listenerKind{listenerOfCalls, listenerOfRPC}})
		go func() {
			uc, err := links.AcceptUnix()
			if err != nil {
				return
			}
			l := daemon.NewLink(uc)
			l.Receive(10 * time.Second)
			l.Send(daemon.Sockets, sockets, tcp.(syscall.Conn), unix.(syscall.Conn))
			l.Receive(10 * time.Second)
			if l.SendState(text); complete {
				l.Send(daemon.StateComplete, nil)
			}
			tcp.Close()
			unix.(*net.UnixListener).SetUnlinkOnClose(false)
			unix.Close()
			links.Close()
			l.Close() // as the end of the process would
		}()
		c, err := h.takeOver(path, changes)
		if !complete {
			if err == nil {
				t.Error("the successor serves with only a part of the state")
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Kill)
		wantAnswer(t, exchange(t, c.Addr(), m), "409 replayed")
		<-c.predecessorDone
		wantAnswer(t, post(t, c, "known", "unsafe-1", `{}`, time.Now()), "502 failed")
		wantAnswer(t, post(t, c, "new", "unsafe-1", `{}`, time.Now()), "200 served")
		if n := h.runs("unsafe-1"); n != 1 {
			t.Errorf("%d runs, want 1", n)
		}
	}
}

// bodyDigest returns the digest by which the replay guard recognises a message's body.
func bodyDigest(function string, m message) []byte {
	sum := sha256.Sum256(append([]byte(function+"\x00\x00"), m.signed.Body...))
	return sum[:]
}

// A controller that is stopped while it is paused for a handover stops: it answers the waiting
// calls and aborts the handover.
func TestStopInHandover(t *testing.T) {
	h, changes, path := newHandoverHarness(t, ms)
	c := h.start(h.configure("c", changes...))
	nc, err := net.Dial("tcp", c.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	first := sign(t, commonSecret, "c", "first", "safe-1", `{}`, time.Now())
	nc.Write(first.bytes())
	wantAnswer(t, readAnswer(t, bufio.NewReader(nc), first), "200 served")
	l, err := daemon.DialLink(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.Send(daemon.Hello, hello(t, handoverVersion))
	_, _, files, _ := l.Receive(10 * time.Second)
	for _, f := range files {
		f.Close()
	}
	l.Send(daemon.TakeoverRequest, nil)
	for k := daemon.PacketKind(0); k != daemon.StateComplete; {
		if k, _, _, err = l.Receive(10 * time.Second); err != nil {
			t.Fatal(err)
		}
	}
	nc.Write(sign(t, commonSecret, "c", "waits", "safe-1", `{}`, time.Now()).bytes())
	stopped := make(chan error)
	go func() { stopped <- c.Stop(time.Second) }()
	for { // until no call is admitted any more, after which Stop closes the listener
		conn, err := net.Dial("tcp", c.Addr())
		if err != nil {
			break
		}
		conn.Close()
		time.Sleep(ms)
	}
	l.Send(daemon.StateTaken, nil)
	if k, _, _, err := l.Receive(10 * time.Second); err != nil || k != daemon.Abort {
		t.Errorf("received packet %q, error %v, want Abort", k, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	// Either the call was read and rejected, or it was not read and its connection was closed.
	text, err := io.ReadAll(nc)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) || len(text) > 0 && !bytes.HasPrefix(text, []byte("HTTP/1.1 503")) {
		t.Errorf("got error %v and text %q, want a closed connection or status 503", err, text)
	}
}

// The successor receives the answer of a call that ends while the predecessor is paused, as it does
// for calls that end later.
func TestCallEndedWhilePausedIsKnownToTheSuccessor(t *testing.T) {
	h, changes, path := newHandoverHarness(t, 300*ms)
	c := h.start(h.configure("c", changes...))
	first := make(chan answer, 1)
	go func() {
		first <- post(t, c, "once", "unsafe-1", `{}`, time.Now())
	}()
	h.awaitRecord(ofKind(trace.RunStarted))
	l, err := daemon.DialLink(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	await := func(want daemon.PacketKind) []byte {
		for {
			k, b, files, err := l.Receive(10 * time.Second)
			for _, f := range files {
				f.Close()
			}
			if err != nil || k == daemon.Done && want != daemon.Done {
				t.Fatalf("received packet %q, error %v, want %q", k, err, want)
			}
			if k == want {
				return b
			}
		}
	}
	l.Send(daemon.Hello, hello(t, handoverVersion))
	await(daemon.Sockets)
	l.Send(daemon.TakeoverRequest, nil)
	await(daemon.StateComplete)
	wantAnswer(t, <-first, "200 served") // a call in flight continues during the pause
	l.Send(daemon.StateTaken, nil)
	await(daemon.Grant) // comes before the Answer packet
	var e endedCall
	if err := json.Unmarshal(await(daemon.Answer), &e); err != nil || e.Key.ID != "once" || e.Answer.Status != 200 {
		t.Errorf("error %v, ended call %+v", err, e)
	}
}

// The answer of a model's version is not handed over: the successor could not check whether the
// alias still names that version.
func TestVersionedAnswerIsNotHandedOver(t *testing.T) {
	k := replayguard.Key{ID: "x"}
	for _, c := range []struct {
		answer    replayguard.Answer
		notCached bool
		body      string
	}{
		{replayguard.Answer{Status: 200, Body: []byte("v1")}, false, "v1"},
		{replayguard.Answer{Status: 200, Body: []byte("v1"), Tag: 1}, true, ""},
		{replayguard.Answer{Status: 200, Body: make([]byte, daemon.MaxPacketBody)}, true, ""},
		{replayguard.Answer{Status: 503, Rejected: true, Body: []byte("no"), Tag: 1}, false, ""},
	} {
		var e endedCall
		if err := json.Unmarshal(encodeEndedCall(k, c.answer), &e); err != nil || e.NotCached != c.notCached || string(e.Answer.Body) != c.body || e.Answer.Rejected != c.answer.Rejected {
			t.Errorf("error %v, ended call %+v", err, e)
		}
	}
	now := time.Now()
	g := replayguard.NewGuard(replayguard.Settings{MaxAge: time.Minute, MaxClockSkew: time.Second, WatermarkStep: time.Second, MaxEntries: 9, MaxAnswerBytes: 99}, now, time.Time{})
	g.WatermarkSaved(now.Add(5 * time.Second))
	g.Import(replayguard.State{Known: []replayguard.EntryState{{Key: k, LastTimestamp: now.Unix() - 2, Running: true, Digest: make([]byte, 32)}}})
	g.CompleteUncached(k)
	if v, _, _ := g.Admit(now, replayguard.Message{Key: k, Timestamp: now.Add(-time.Second)}); v != replayguard.AnswerEvicted {
		t.Errorf("verdict %v, want AnswerEvicted: the message neither runs again nor gets an answer", v)
	}
}

// The successor rejects an RPC call with an idempotency key, as the predecessor may have run it.
// Calls without a key are served.
func TestHandoverRejectsIdempotencyKeys(t *testing.T) {
	h, changes, path := newHandoverHarness(t, ms)
	c := h.start(h.configure("c", changes...))
	if got := dial(t, h).request(call("1", "keyed-1", `,"key":"k"`)); !strings.Contains(got, "result") {
		t.Error(got)
	}
	next, err := h.takeOver(path, changes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Kill)
	<-c.HandedOver()
	l := dial(t, h)
	if got := l.request(call("1", "keyed-1", `,"key":"k"`)); !strings.Contains(got, "-32010") || !strings.Contains(got, "the process before") {
		t.Error(got)
	}
	if got := l.request(call("2", "safe-1", "")); !strings.Contains(got, "result") {
		t.Error(got)
	}
	if n := h.runs("keyed-1"); n != 1 {
		t.Errorf("the key ran %d times", n)
	}
}
