package controller

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"kitehub/internal/daemon"
)

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
	l.Send(daemon.Hello, nil)
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
