package controller

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"
)

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
