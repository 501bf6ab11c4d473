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

// A snapshot replaces the records up to it and the files that hold nothing else; those behind it are replayed.
func TestSnapshot(t *testing.T) {
	m := newMemory(3)
	l, _ := mustOpen(t, m)
	for i := range 5 {
		add(t, l, fmt.Sprint(i))
	}
	if err := l.Snapshot(9, nil); err == nil {
		t.Error("a snapshot of records that are not written yet was accepted")
	}
	if err := l.Snapshot(3, []byte("0\n1\n2")); err != nil {
		t.Fatal(err)
	}
	add(t, l, "5")
	if err := l.Snapshot(6, []byte("0\n1\n2\n3\n4\n5")); err != nil {
		t.Fatal(err)
	}
	add(t, l, "6")
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
	bad := changed(m, func(b []byte) []byte { b[len(b)-1] ^= 1; return b })
	if _, _, _, err := open(bad); err == nil {
		t.Error("a damaged snapshot was restored")
	}
}

// crossing is a folder that counts how many snapshots are being written at once, and gives others the processor
// meanwhile.
type crossing struct {
	FS
	writing, most atomic.Int64
}

func (c *crossing) Create(name string) (File, error) {
	f, err := c.FS.Create(name)
	if name != unfinishedSnapshot || err != nil {
		return f, err
	}
	now := c.writing.Add(1)
	for {
		most := c.most.Load()
		if now <= most || c.most.CompareAndSwap(most, now) {
			return &crossingFile{f, c}, nil
		}
	}
}

type crossingFile struct {
	File
	folder *crossing
}

func (f *crossingFile) Sync() error {
	for range 200 {
		runtime.Gosched()
	}
	return f.File.Sync()
}

func (f *crossingFile) Close() error {
	f.folder.writing.Add(-1)
	return f.File.Close()
}

// Snapshots asked for at once, in any order, are written one after the other, as they share the name of the file
// that they are written to; the folder holds all records afterwards.
func TestSnapshotsAtOnce(t *testing.T) {
	m := newMemory(6)
	folder := &crossing{FS: m}
	l, _ := mustOpen(t, folder)
	var want []string
	var wg sync.WaitGroup
	for i := range 60 {
		want = append(want, fmt.Sprint("record ", i))
		add(t, l, want[i])
		state := []byte(strings.Join(want, "\n"))
		wg.Go(func() {
			if err := l.Snapshot(uint64(i+1), state); err != nil {
				t.Errorf("snapshot at %d: %v", i+1, err)
			}
		})
	}
	wg.Wait()
	l.Close()
	if n := folder.most.Load(); n != 1 {
		t.Errorf("%d snapshots were being written at once, want 1", n)
	}
	l, got := mustOpen(t, m.crash())
	l.Close()
	if !slices.Equal(got, want) {
		t.Errorf("recovered %q", got)
	}
}

// A snapshot that comes after a newer one, or after the end of the log, changes nothing in the folder.
func TestSnapshotTooLate(t *testing.T) {
	m := newMemory(7)
	l, _ := mustOpen(t, m)
	for i := range 4 {
		add(t, l, fmt.Sprint(i))
	}
	if err := l.Snapshot(4, []byte("0\n1\n2\n3")); err != nil {
		t.Fatal(err)
	}
	add(t, l, "4")
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
			t.Errorf("%s: files %v, were %v", what, after, before)
		}
	}
	unchanged("older", nil, 2)
	unchanged("of the same record", nil, 4)
	l.Close()
	unchanged("closed", ErrClosed, 5)
	l, got := mustOpen(t, m.crash())
	defer l.Close()
	if s := strings.Join(got, ""); s != "01234" {
		t.Errorf("recovered %q", s)
	}
	unchanged("older than what was recovered", nil, 3)
}
