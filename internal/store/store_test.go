package store

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
)

// Draws are the same in every run. Seek further with -rapid.seed.
func init() { flag.Set("rapid.seed", "1") }

var ctx = context.Background()

// open opens a folder and returns the payloads that it holds, those of the snapshot first.
func open(fs FS) (*Log, []string, *Recovered, error) {
	var payloads []string
	restore := func(_ uint64, state []byte) error {
		if len(state) > 0 {
			payloads = strings.Split(string(state), "\n")
		}
		return nil
	}
	apply := func(_ uint64, payload []byte) error {
		payloads = append(payloads, string(payload))
		return nil
	}
	l, rec, err := Open(fs, Options{MaxRecordBytes: 4096}, restore, apply)
	return l, payloads, rec, err
}

// mustOpen opens a folder that is to open, and returns the payloads that it holds.
func mustOpen(t testing.TB, fs FS) (*Log, []string) {
	t.Helper()
	l, got, _, err := open(fs)
	if err != nil {
		t.Fatal(err)
	}
	return l, got
}

// add appends a record that is to be committed.
func add(t testing.TB, l *Log, payload string) {
	t.Helper()
	if _, err := l.Append(ctx, []byte(payload)); err != nil {
		t.Fatal(err)
	}
}

// On a full disk an append fails, and the log goes on when there is capacity again; a failed sync breaks it until
// it is opened again.
func TestFaults(t *testing.T) {
	m := newMemory(4)
	l, _ := mustOpen(t, m)
	add(t, l, "a")
	m.capacity = 10
	if _, err := l.Append(ctx, []byte("no room")); !errors.Is(err, errFull) || errors.Is(err, ErrBroken) {
		t.Errorf("err %v", err)
	}
	m.capacity = -1
	add(t, l, "b")
	m.fail = func(op string) error {
		if op == "sync" {
			return errFault
		}
		return nil
	}
	if _, err := l.Append(ctx, []byte("c")); !errors.Is(err, ErrBroken) {
		t.Errorf("err %v", err)
	}
	m.fail = nil
	if _, err := l.Append(ctx, []byte("d")); !errors.Is(err, ErrBroken) {
		t.Errorf("after a failed sync: err %v", err)
	}
	if err := l.Snapshot(1, nil); !errors.Is(err, ErrBroken) {
		t.Errorf("snapshot: err %v", err)
	}
	l.Close()
	if _, err := l.Append(ctx, []byte("e")); !errors.Is(err, ErrClosed) {
		t.Errorf("after Close: err %v", err)
	}
	l, got := mustOpen(t, m.crash())
	l.Close()
	if !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("got %q", got)
	}
	if _, err := l.Append(ctx, bytes.Repeat([]byte("x"), 5000)); err == nil || !strings.Contains(err.Error(), "at most 4096") {
		t.Errorf("a record over the limit: %v", err)
	}
}

// Appends that wait while a group is synced form the next group, with one sync.
func TestGroups(t *testing.T) {
	m := newMemory(5)
	l, _ := mustOpen(t, m)
	syncing := make(chan struct{}, 1)
	release := make(chan struct{})
	first := true
	m.fail = func(op string) error {
		if op == "sync" && first {
			first = false
			syncing <- struct{}{}
			<-release
		}
		return nil
	}
	var wg sync.WaitGroup
	start := func(n int) {
		for i := range n {
			wg.Go(func() { l.Append(ctx, []byte(fmt.Sprint(i))) })
		}
	}
	start(1)
	<-syncing
	start(100)
	for len(l.queue) < 100 { // the appends are on their way
		runtime.Gosched()
	}
	close(release)
	wg.Wait()
	if g, r := l.CommitCounts(); g != 2 || r != 101 {
		t.Errorf("%d groups of %d records, want 2 of 101", g, r)
	}
	l.Close()
}

// A folder of the machine serves as well as the one in memory.
func TestDir(t *testing.T) {
	dir := Dir(t.TempDir())
	l, _ := mustOpen(t, dir)
	for i := range 10 {
		add(t, l, fmt.Sprint(i))
		if i == 5 {
			if err := l.Snapshot(6, []byte("0\n1\n2\n3\n4\n5")); err != nil {
				t.Fatal(err)
			}
		}
	}
	l.Close()
	l, got := mustOpen(t, dir)
	defer l.Close()
	if s := strings.Join(got, ""); s != "0123456789" {
		t.Errorf("got %q", s)
	}
}
