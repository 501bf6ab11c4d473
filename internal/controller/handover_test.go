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

// newHandoverHarness returns a harness, the changes to its configuration and the path by which its controller can be
// taken over.
func newHandoverHarness(t *testing.T, work time.Duration) (*harness, []string, string) {
	h := newHarness(t, 3, func(c *fakeworker.Config) {
		for i := range c.Functions {
			c.Functions[i].Work = work
		}
	})
	path := filepath.Join(h.dir, "h")
	return h, append(withRPC(h, fmt.Sprintf("hooks {} daemon { handover: %q }", path)), "remembered: 1000", "remembered: 100000"), path
}

// takeOver starts a controller in the place of the one that runs.
func (h *harness) takeOver(path string, changes []string) (*Controller, error) {
	return TakeOver(path, func(after *IncomingHandover) (*Controller, error) {
		return Start(h.configure("c", changes...), Options{Clock: h.clock, Log: zerolog.Nop(), Predecessor: after})
	})
}

// load sends signed calls until stop is closed, on one connection or, with fresh, on a new one for each. who makes
// their ids unlike those of other loads.
func (h *harness) load(t *testing.T, addr, who, function string, fresh bool, stop chan struct{}, sent *atomic.Int64, got func(answer, time.Duration)) {
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
		m := sign(t, commonSecret, "c", fmt.Sprint(who, "-", i), function, `{"x":1}`, time.Now())
		begin := time.Now()
		sent.Add(1)
		nc.Write(m.bytes())
		a := readAnswer(t, br, m)
		got(a, time.Since(begin))
		if a.status == 0 {
			return
		}
		if fresh {
			nc.Close()
			nc = nil
		}
	}
}

// In fifty handovers in a row under load each call has its one answer, no non-idempotent one runs twice, and none is
// rejected.
func TestHandoversUnderLoadLoseNoCall(t *testing.T) {
	times := 50
	if testing.Short() || racing {
		times = 8
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
			h.load(t, addr, fmt.Sprint("l", i), []string{"unsafe-1", "keyed-1", "safe-1"}[i%3], i >= 3, stop, &sent, got)
		}()
	}
	for i := range times {
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
	t.Logf("%d handovers, %d calls: %v; half took %v, 99%% %v, the longest %v", times, n, outcomes, took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
	if outcomes["200 served"] != n {
		t.Errorf("of %d calls: %v", n, outcomes)
	}
	if ran := h.runs("unsafe-1") + h.runs("keyed-1") + h.runs("safe-1"); ran != n {
		t.Errorf("%d runs of %d calls", ran, n)
	}
	if n < 10*times {
		t.Errorf("%d calls: little is shown", n)
	}
}

// A message that is in flight in the old process is not admitted by its successor; the answer is cached there once it
// has come.
func TestHandoverDuringACall(t *testing.T) {
	h, changes, path := newHandoverHarness(t, 600*ms)
	old := h.start(h.configure("c", changes...))
	m := sign(t, commonSecret, "c", "once", "unsafe-1", `{"x":1}`, time.Now().Add(-5*time.Second))
	first := make(chan answer)
	go func() { first <- exchange(t, old.Addr(), m) }()
	for old.Gateway.OpenRequests() == 0 {
		time.Sleep(ms)
	}
	c, err := h.takeOver(path, changes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Kill)
	again := func(after int) answer {
		return post(t, c, "once", "unsafe-1", `{"x":1}`, time.Now().Add(time.Duration(after-4)*time.Second))
	}
	wantAnswer(t, exchange(t, c.Addr(), m), "409 replayed")
	wantAnswer(t, again(0), "503 refused") // it runs in the other process
	wantAnswer(t, post(t, c, "new", "safe-1", `{}`, time.Now()), "200 served")
	wantAnswer(t, <-first, "200 served")
	<-old.HandedOver()
	for end := time.Now().Add(10 * time.Second); ; {
		if a := again(1); a.status == 200 || time.Now().After(end) {
			wantAnswer(t, a, "200 served")
			break
		}
	}
	if n := h.runs("unsafe-1"); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}

// Whichever process of a handover is killed at whichever stage, one serves; before Go it is the old one.
func TestHandoverWithAProcessKilled(t *testing.T) {
	for _, stage := range []string{"hello", "sockets", "wish", "whole", "taken", "garbage", "silent"} {
		t.Run(stage, func(t *testing.T) {
			h, changes, path := newHandoverHarness(t, ms)
			c := h.start(h.configure("c", changes...))
			l, err := daemon.DialLink(path)
			if err != nil {
				t.Fatal(err)
			}
			step := func(say daemon.PacketKind, until daemon.PacketKind) {
				t.Helper()
				l.Send(say, nil)
				for k := daemon.PacketKind(0); until != 0 && k != until; {
					var files []interface{ Close() error }
					kk, _, fs, err := l.Receive(10 * time.Second)
					for _, f := range fs {
						files = append(files, f)
					}
					for _, f := range files {
						f.Close()
					}
					if err != nil {
						t.Fatal(err)
					}
					k = kk
				}
			}
			switch stage {
			case "hello":
			case "sockets":
				step(daemon.Hello, daemon.Sockets)
			case "wish":
				step(daemon.Hello, daemon.Sockets)
				step(daemon.TakeoverRequest, 0)
			case "whole":
				step(daemon.Hello, daemon.Sockets)
				step(daemon.TakeoverRequest, daemon.StateComplete)
			case "garbage":
				step(daemon.Hello, daemon.Sockets)
				step(daemon.TakeoverRequest, daemon.StateComplete)
				step(daemon.Done, daemon.Abort)
			case "silent":
				step(daemon.Hello, daemon.Sockets)
				step(daemon.TakeoverRequest, daemon.StateComplete)
				step(0, daemon.Abort) // nothing that it knows
			case "taken": // from here on the other has the sockets: this one finishes what it has, and ends
				step(daemon.Hello, daemon.Sockets)
				step(daemon.TakeoverRequest, daemon.StateComplete)
				step(daemon.StateTaken, daemon.Grant)
				l.Close()
				<-c.HandedOver()
				if _, err := net.DialTimeout("tcp", c.Addr(), time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
					t.Error(err)
				}
				h.start(h.configure("c", changes...)) // as its supervisor would
				return
			}
			l.Close()
			for i := range 3 {
				wantAnswer(t, post(t, c, fmt.Sprint("m", i), "safe-1", `{}`, time.Now()), "200 served")
			}
			next, err := h.takeOver(path, changes) // and a further one is not held up
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(next.Kill)
			<-c.HandedOver()
			wantAnswer(t, post(t, next, "after", "safe-1", `{}`, time.Now()), "200 served")
		})
	}
}

// A successor that does not start leaves the old process as it was.
func TestHandoverToBadSuccessor(t *testing.T) {
	h, changes, path := newHandoverHarness(t, ms)
	c := h.start(h.configure("c", changes...))
	_, err := TakeOver(path, func(_ *IncomingHandover) (*Controller, error) { return nil, errors.New("it does not start") })
	if err == nil || !strings.Contains(err.Error(), "it does not start") {
		t.Error(err)
	}
	wantAnswer(t, post(t, c, "m", "safe-1", `{}`, time.Now()), "200 served")
}

// If the old process dies between its state and Go, the new one serves: it remembers the ids, and answers of those that
// were in flight that they may have run. If it dies before all its state has come, the new one ends.
func TestHandoverFromADyingProcess(t *testing.T) {
	for _, whole := range []bool{true, false} {
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
		state := handoverState{Front: webhook.State{Highest: time.Now().Unix(), Durable: time.Now().Unix() + 10, Known: []replayguard.EntryState{
			{Key: replayguard.Key{ID: "known"}, LastTimestamp: time.Now().Unix() - 3, Running: true, Digest: bodyDigest("unsafe-1", m)}}}}
		text, _ := json.Marshal(state)
		go func() {
			uc, err := links.AcceptUnix()
			if err != nil {
				return
			}
			l := daemon.NewLink(uc)
			l.Receive(10 * time.Second)
			l.Send(daemon.Sockets, nil, tcp.(syscall.Conn), unix.(syscall.Conn))
			l.Receive(10 * time.Second)
			if l.SendState(text); whole {
				l.Send(daemon.StateComplete, nil)
			}
			tcp.Close()
			unix.(*net.UnixListener).SetUnlinkOnClose(false)
			unix.Close()
			links.Close()
			l.Close() // as the end of its process would
		}()
		c, err := h.takeOver(path, changes)
		if !whole {
			if err == nil {
				t.Error("it serves with a part of the state")
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
			t.Errorf("%d runs", n)
		}
	}
}

// bodyDigest is what the ingress remembers of a message's body.
func bodyDigest(function string, m message) []byte {
	sum := sha256.Sum256(append([]byte(function+"\x00\x00"), m.signed.Body...))
	return sum[:]
}

// A controller that is stopped while a successor has it paused stops, with all that waited answered, and is not handed
// over.
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
	l.Send(daemon.Hello, nil)
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
	for !c.stopping.Load() {
		time.Sleep(ms)
	}
	l.Send(daemon.StateTaken, nil)
	if k, _, _, err := l.Receive(10 * time.Second); err != nil || k != daemon.Abort {
		t.Errorf("%c %v", k, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	// It was read, and refused; or it was not, and its connection ended.
	text, err := io.ReadAll(nc)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) || len(text) > 0 && !bytes.HasPrefix(text, []byte("HTTP/1.1 503")) {
		t.Errorf("%v: %s", err, text)
	}
}

// A call that ends while its process is paused is known to the successor, like those that end later.
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
	until := func(want daemon.PacketKind) []byte {
		for {
			k, b, files, err := l.Receive(10 * time.Second)
			for _, f := range files {
				f.Close()
			}
			if err != nil || k == daemon.Done && want != daemon.Done {
				t.Fatalf("%c %v: %c is wanted", k, err, want)
			}
			if k == want {
				return b
			}
		}
	}
	l.Send(daemon.Hello, nil)
	until(daemon.Sockets)
	l.Send(daemon.TakeoverRequest, nil)
	until(daemon.StateComplete)
	wantAnswer(t, <-first, "200 served") // what is in hand goes on, halted or not
	l.Send(daemon.StateTaken, nil)
	until(daemon.Grant) // and not after the answer
	var e endedCall
	if err := json.Unmarshal(until(daemon.Answer), &e); err != nil || e.Key.ID != "once" || e.Answer.Status != 200 {
		t.Errorf("%v %+v", err, e)
	}
}

// An answer of a model's version is not handed over: the successor could not ask whether its alias has left it.
func TestVersionedAnswerIsNotHandedOver(t *testing.T) {
	k := replayguard.Key{ID: "x"}
	for _, c := range []struct {
		a      replayguard.Answer
		unkept bool
		body   string
	}{
		{replayguard.Answer{Status: 200, Body: []byte("v1")}, false, "v1"},
		{replayguard.Answer{Status: 200, Body: []byte("v1"), Tag: 1}, true, ""},
		{replayguard.Answer{Status: 200, Body: make([]byte, daemon.MaxPacketBody)}, true, ""},
		{replayguard.Answer{Status: 503, Rejected: true, Body: []byte("no"), Tag: 1}, false, ""},
	} {
		var e endedCall
		if err := json.Unmarshal(encodeEndedCall(k, c.a), &e); err != nil || e.NotCached != c.unkept || string(e.Answer.Body) != c.body || e.Answer.Rejected != c.a.Rejected {
			t.Errorf("%v %+v", err, e)
		}
	}
	now := time.Now()
	g := replayguard.NewGuard(replayguard.Settings{MaxAge: time.Minute, MaxClockSkew: time.Second, WatermarkStep: time.Second, MaxEntries: 9, MaxAnswerBytes: 99}, now, time.Time{})
	g.Import([]replayguard.EntryState{{Key: k, LastTimestamp: now.Unix() - 2, Running: true, Digest: make([]byte, 32)}}, 0, now.Unix()+5, 0)
	g.CompleteUncached(k)
	if v, _, _ := g.Admit(now, replayguard.Message{Key: k, Timestamp: now.Add(-time.Second)}); v != replayguard.AnswerEvicted {
		t.Errorf("verdict %v: lost is wanted, neither run again nor given", v)
	}
}

// An idempotency key of RPC that the old process may have run is rejected by its successor; calls without one are
// served.
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
