package controller

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"kitehub/internal/daemon"
	"kitehub/internal/store"
)

// withoutRPC removes the section rpc from the changes that withRPC returned.
func withoutRPC(changes []string) []string {
	changed := append([]string(nil), changes...)
	before, after, _ := strings.Cut(changed[1], "rpc {")
	_, after, _ = strings.Cut(after, "operate: true } }")
	changed[1] = before + after
	return changed
}

// withText replaces a text in changes to a configuration.
func withText(changes []string, old, replacement string) []string {
	changed := append([]string(nil), changes...)
	for i := 1; i < len(changed); i += 2 {
		changed[i] = strings.ReplaceAll(changed[i], old, replacement)
	}
	return changed
}

// A take-over whose configuration added rpc ended with no process that served: the predecessor had
// granted service when the successor found that it had no listener for it.
func TestTakeOverThatAddsRemovesOrMovesRPC(t *testing.T) {
	h, changes, path := newHandoverHarness(t, ms)
	socket, moved := filepath.Join(h.dir, "s"), filepath.Join(h.dir, "s2")
	without, elsewhere := withoutRPC(changes), withText(changes, socket, moved)
	c := h.start(h.configure("c", without...))
	expectServed := func(id string, sockets map[string]bool) {
		t.Helper()
		wantAnswer(t, post(t, c, id, "safe-1", `{}`, time.Now()), "200 served")
		for path, want := range sockets {
			nc, err := net.Dial("unix", path)
			if err == nil {
				nc.Close()
			}
			if got := err == nil; got != want {
				t.Errorf("after %s: socket %s accepts connections: %v, want %v", id, filepath.Base(path), got, want)
			}
			if _, err := os.Lstat(path); (err == nil) != want {
				t.Errorf("after %s: file of socket %s: %v", id, filepath.Base(path), err)
			}
		}
	}
	c = h.replaceBy(path, c, changes)
	expectServed("added", map[string]bool{socket: true, moved: false})
	if got := dial(t, h).request(call("1", "safe-1", "")); !strings.Contains(got, "result") {
		t.Error(got)
	}
	c = h.replaceBy(path, c, changes)
	expectServed("kept", map[string]bool{socket: true, moved: false})
	spelt := withText(changes, h.dir, filepath.Dir(h.dir)+"/./"+filepath.Base(h.dir))
	c = h.replaceBy(path, c, spelt)
	expectServed("respelt", map[string]bool{socket: true, moved: false})
	c = h.replaceBy(path, c, elsewhere)
	expectServed("moved", map[string]bool{socket: false, moved: true})
	c = h.replaceBy(path, c, without)
	expectServed("removed", map[string]bool{socket: false, moved: false})
}

// A successor that cannot open a socket or a folder fails before it is granted service. The
// predecessor answers the calls that waited, and the next successor takes over.
func TestTakeOverThatCannotServe(t *testing.T) {
	missing := filepath.Join("missing", "folder", "x")
	for name, broken := range map[string]func(h *harness, changes []string) []string{
		"rpc in a missing folder": func(h *harness, changes []string) []string {
			return withText(changes, filepath.Join(h.dir, "s"), filepath.Join(h.dir, missing))
		},
		"rpc at a file": func(h *harness, changes []string) []string {
			return withText(changes, filepath.Join(h.dir, "s"), h.listFile)
		},
		"rpc at a socket in use": func(h *harness, changes []string) []string {
			other := filepath.Join(h.dir, "other")
			ln, err := net.Listen("unix", other)
			if err != nil {
				h.t.Fatal(err)
			}
			h.t.Cleanup(func() { ln.Close() })
			return withText(changes, filepath.Join(h.dir, "s"), other)
		},
		"handover in a missing folder": func(h *harness, changes []string) []string {
			return withText(changes, filepath.Join(h.dir, "h"), filepath.Join(h.dir, missing))
		},
		"handover at a file": func(h *harness, changes []string) []string {
			return withText(changes, filepath.Join(h.dir, "h"), h.listFile)
		},
		"state_dir at a file": func(h *harness, changes []string) []string {
			return append([]string{fmt.Sprintf("state_dir: %q", filepath.Join(h.dir, "c")), fmt.Sprintf("state_dir: %q", h.listFile)}, changes...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, changes, path := newHandoverHarness(t, ms)
			predecessor := h.start(h.configure("c", changes...))
			successor := h.configure("c", broken(h, changes)...)
			waiting := make(chan answer, 1)
			next, err := TakeOver(path, func(incoming *IncomingHandover) (*Controller, error) {
				go func() { waiting <- post(t, predecessor, "waits", "safe-1", `{}`, time.Now()) }()
				return Start(successor, Options{Clock: h.clock, Log: predecessor.log, Predecessor: incoming})
			})
			if err == nil {
				next.Kill()
				t.Fatal("the successor serves")
			}
			wantAnswer(t, <-waiting, "200 served")
			if _, err := os.Lstat(filepath.Join(h.dir, missing)); err == nil {
				t.Error("the successor has left a socket file")
			}
			if got := dial(t, h).request(call("1", "safe-1", "")); !strings.Contains(got, "result") {
				t.Error(got)
			}
			c := h.replaceBy(path, predecessor, changes)
			wantAnswer(t, post(t, c, "after", "safe-1", `{}`, time.Now()), "200 served")
		})
	}
}

// A successor that died before it could be granted service left no process that served.
func TestPredecessorResumesIfServiceCannotBeGranted(t *testing.T) {
	h, changes, path := newHandoverHarness(t, ms)
	c := h.start(h.configure("c", changes...))
	conn, l := h.pauseByLink(path)
	if err := conn.CloseRead(); err != nil { // the predecessor's next packet cannot be sent
		t.Fatal(err)
	}
	l.Send(daemon.StateTaken, nil)
	wantAnswer(t, post(t, c, "m", "safe-1", `{}`, time.Now()), "200 served")
	next := h.replaceBy(path, c, changes)
	wantAnswer(t, post(t, next, "after", "safe-1", `{}`, time.Now()), "200 served")
}

// A successor that hung while it held the lock of the state folder kept the predecessor from
// resuming, so that calls waited for as long as it hung.
func TestPredecessorResumesWhileSuccessorHoldsTheLock(t *testing.T) {
	h, changes, path := newHandoverHarness(t, ms)
	c := h.start(h.configure("c", changes...))
	_, l := h.pauseByLink(path)
	unlock, err := store.Lock(filepath.Join(h.dir, "c"))
	if err != nil {
		t.Fatal(err)
	}
	stale := time.Unix(1, 0) // as if the successor had hung while it wrote the watermark
	if err := c.webhookConfig.Watermark.Save(stale); err != nil {
		t.Fatal(err)
	}
	l.Close() // for the predecessor as silent as one that hangs
	wantAnswer(t, post(t, c, "m", "safe-1", `{}`, time.Now()), "200 served")
	if err := unlock(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(ms) {
		if mark, err := c.webhookConfig.Watermark.Load(); err == nil && mark.After(stale) {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the watermark is not written again")
		}
	}
	next := h.replaceBy(path, c, changes)
	wantAnswer(t, post(t, next, "after", "safe-1", `{}`, time.Now()), "200 served")
	if got := dial(t, h).request(`{"jsonrpc":"2.0","id":1,"method":"hooks"}`); !strings.Contains(got, "result") {
		t.Error(got)
	}
}

// A successor that hung until its predecessor had resumed took the closed link for the end of that
// process, and served as well if its state folder was another one.
func TestSuccessorThatHungDoesNotServe(t *testing.T) {
	h, changes, path := newHandoverHarness(t, ms)
	predecessor := h.start(h.configure("c", changes...))
	// The successor can lock its state folder, as it is another one.
	cfg := h.configure("c", append([]string{fmt.Sprintf("state_dir: %q", filepath.Join(h.dir, "c")), fmt.Sprintf("state_dir: %q", filepath.Join(h.dir, "c2"))}, changes...)...)
	next, err := TakeOver(path, func(incoming *IncomingHandover) (*Controller, error) {
		wantAnswer(t, post(t, predecessor, "waits", "safe-1", `{}`, time.Now()), "200 served") // after handoverStepTimeout
		return Start(cfg, Options{Clock: h.clock, Log: predecessor.log, Predecessor: incoming})
	})
	if err == nil {
		next.Kill()
		t.Fatal("both processes serve")
	}
	wantAnswer(t, post(t, predecessor, "after", "safe-1", `{}`, time.Now()), "200 served")
}

// pauseByLink connects to a controller as a successor does, and makes it pause.
func (h *harness) pauseByLink(path string) (*net.UnixConn, *daemon.Link) {
	h.t.Helper()
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		h.t.Fatal(err)
	}
	l := daemon.NewLink(conn)
	h.t.Cleanup(func() { l.Close() })
	l.Send(daemon.Hello, hello(h.t, handoverVersion))
	for kind := daemon.PacketKind(0); kind != daemon.StateComplete; {
		var files []*os.File
		if kind, _, files, err = l.Receive(10 * time.Second); err != nil {
			h.t.Fatal(err)
		}
		for _, f := range files {
			f.Close()
		}
		if kind == daemon.Sockets {
			l.Send(daemon.TakeoverRequest, nil)
		}
	}
	return conn, l
}
