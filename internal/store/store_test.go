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

// A fixed seed makes the random tests the same in every run. Set -rapid.seed to explore other
// cases.
func init() { flag.Set("rapid.seed", "1") }

var ctx = context.Background()

// openLog opens a log and returns the payloads of its records, starting with those in the snapshot.
func openLog(fs FS) (*Log, []string, *Recovered, error) {
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

// mustOpen is like openLog, but fails the test if the log cannot be opened.
func mustOpen(t testing.TB, fs FS) (*Log, []string) {
	t.Helper()
	l, got, _, err := openLog(fs)
	if err != nil {
		t.Fatal(err)
	}
	return l, got
}

// mustAppend appends a record, and fails the test if it is not committed.
func mustAppend(t testing.TB, l *Log, payload string) {
	t.Helper()
	if _, err := l.Append(ctx, []byte(payload)); err != nil {
		t.Fatal(err)
	}
}

// Guards against a log that stays unusable after a full disk, or stays usable after a failed sync.
// On a full disk appends fail, and succeed once there is free space; after a failed sync the log
// must be reopened.
func TestFaults(t *testing.T) {
	m := newMemFS(4)
	l, _ := mustOpen(t, m)
	mustAppend(t, l, "a")
	m.freeBytes = 10
	if _, err := l.Append(ctx, []byte("no room")); !errors.Is(err, errFull) || errors.Is(err, ErrBroken) {
		t.Errorf("err %v", err)
	}
	m.freeBytes = -1
	mustAppend(t, l, "b")
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
		t.Errorf("record over the size limit: %v", err)
	}
}

// Appends that are queued while a group is synced form the next group, which takes one sync.
func TestGroups(t *testing.T) {
	m := newMemFS(5)
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
	startAppends := func(n int) {
		for i := range n {
			wg.Go(func() { l.Append(ctx, []byte(fmt.Sprint(i))) })
		}
	}
	startAppends(1)
	<-syncing
	startAppends(100)
	for len(l.queue) < 100 { // until all of them are queued
		runtime.Gosched()
	}
	close(release)
	wg.Wait()
	if g, r := l.CommitCounts(); g != 2 || r != 101 {
		t.Errorf("%d groups of %d records, want 2 of 101", g, r)
	}
	l.Close()
}

// Dir works like the FS in memory that the other tests use.
func TestDir(t *testing.T) {
	dir := Dir(t.TempDir())
	l, _ := mustOpen(t, dir)
	for i := range 10 {
		mustAppend(t, l, fmt.Sprint(i))
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
