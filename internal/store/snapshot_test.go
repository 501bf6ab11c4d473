package store

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// A snapshot replaces the records that it includes and the files that contain no others. Later
// records are replayed.
func TestSnapshot(t *testing.T) {
	m := newMemFS(3)
	l, _ := mustOpen(t, m)
	for i := range 5 {
		mustAppend(t, l, fmt.Sprint(i))
	}
	if err := l.Snapshot(9, nil); err == nil {
		t.Error("a snapshot at a record that has not been written was accepted")
	}
	if err := l.Snapshot(3, []byte("0\n1\n2")); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, l, "5")
	if err := l.Snapshot(6, []byte("0\n1\n2\n3\n4\n5")); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, l, "6")
	l.Close()
	names, _ := m.List()
	slices.Sort(names)
	if fmt.Sprint(names) != fmt.Sprint([]string{logName(6), snapshotName(6)}) {
		t.Errorf("files %v", names)
	}
	l, got := mustOpen(t, m.crash())
	l.Close()
	if s := strings.Join(got, ""); s != "0123456" {
		t.Errorf("got %q", s)
	}
	// A damaged snapshot is an error.
	damaged := modifiedCopy(m, func(b []byte) []byte { b[len(b)-1] ^= 1; return b })
	if _, _, _, err := openLog(damaged); err == nil {
		t.Error("a damaged snapshot was restored")
	}
}

// snapshotCounter is an FS that counts the snapshots being written at the same time. It yields the
// processor during each of them, so that concurrent ones would overlap.
type snapshotCounter struct {
	FS
	writing, maxWriting atomic.Int64
}

func (c *snapshotCounter) Create(name string) (File, error) {
	f, err := c.FS.Create(name)
	if name != tempSnapshotName || err != nil {
		return f, err
	}
	now := c.writing.Add(1)
	for {
		maxWriting := c.maxWriting.Load()
		if now <= maxWriting || c.maxWriting.CompareAndSwap(maxWriting, now) {
			return &countedFile{f, c}, nil
		}
	}
}

type countedFile struct {
	File
	counter *snapshotCounter
}

func (f *countedFile) Sync() error {
	for range 200 {
		runtime.Gosched()
	}
	return f.File.Sync()
}

func (f *countedFile) Close() error {
	f.counter.writing.Add(-1)
	return f.File.Close()
}

// Guards against concurrent snapshots that overwrite their shared temporary file: snapshots
// requested at the same time, in any order, are written one at a time, and no record is lost.
func TestSnapshotsAtOnce(t *testing.T) {
	m := newMemFS(6)
	counter := &snapshotCounter{FS: m}
	l, _ := mustOpen(t, counter)
	var want []string
	var wg sync.WaitGroup
	for i := range 60 {
		want = append(want, fmt.Sprint("record ", i))
		mustAppend(t, l, want[i])
		state := []byte(strings.Join(want, "\n"))
		wg.Go(func() {
			if err := l.Snapshot(uint64(i+1), state); err != nil {
				t.Errorf("snapshot at %d: %v", i+1, err)
			}
		})
	}
	wg.Wait()
	l.Close()
	if n := counter.maxWriting.Load(); n != 1 {
		t.Errorf("%d snapshots were written concurrently, want 1", n)
	}
	l, got := mustOpen(t, m.crash())
	l.Close()
	if !slices.Equal(got, want) {
		t.Errorf("recovered %q", got)
	}
}

// Guards against snapshots that arrive late: a snapshot requested after a newer one, or after
// Close, changes nothing in the directory.
func TestSnapshotTooLate(t *testing.T) {
	m := newMemFS(7)
	l, _ := mustOpen(t, m)
	for i := range 4 {
		mustAppend(t, l, fmt.Sprint(i))
	}
	if err := l.Snapshot(4, []byte("0\n1\n2\n3")); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, l, "4")
	unchanged := func(what string, want error, seq uint64) {
		t.Helper()
		before, _ := m.List()
		if err := l.Snapshot(seq, []byte("0")); !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", what, err, want)
		}
		after, _ := m.List()
		slices.Sort(before)
		slices.Sort(after)
		if !slices.Equal(before, after) {
			t.Errorf("%s: files are %v, were %v", what, after, before)
		}
	}
	unchanged("older snapshot", nil, 2)
	unchanged("snapshot at the same record", nil, 4)
	l.Close()
	unchanged("closed log", ErrClosed, 5)
	l, got := mustOpen(t, m.crash())
	defer l.Close()
	if s := strings.Join(got, ""); s != "01234" {
		t.Errorf("recovered %q", s)
	}
	unchanged("snapshot older than the recovered one", nil, 3)
}
