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
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// Draws are the same in every run. Seek further with -rapid.seed.
func init() { flag.Set("rapid.seed", "1") }

var ctx = context.Background()

// open gives back the payloads that a folder holds, those of a snapshot first.
func open(fs FS) (*Log, []string, *Recovered, error) {
	var got []string
	l, rec, err := Open(fs, Options{MaxRecord: 4096}, func(_ uint64, state []byte) error {
		if len(state) > 0 {
			got = strings.Split(string(state), "\n")
		}
		return nil
	}, func(seq uint64, p []byte) error {
		got = append(got, string(p))
		return nil
	})
	return l, got, rec, err
}

func mustOpen(t testing.TB, fs FS) (*Log, []string) {
	t.Helper()
	l, got, _, err := open(fs)
	if err != nil {
		t.Fatal(err)
	}
	return l, got
}

func add(t testing.TB, l *Log, s string) {
	t.Helper()
	if _, err := l.Append(ctx, []byte(s)); err != nil {
		t.Fatal(err)
	}
}

// filled returns a folder with some records in one file, and the payloads.
func filled(t testing.TB, n int) (*memory, []string) {
	t.Helper()
	m := newMemory(1)
	l, _ := mustOpen(t, m)
	var want []string
	for i := range n {
		want = append(want, fmt.Sprint("record ", i, strings.Repeat("x", i*7%50)))
		add(t, l, want[i])
	}
	l.Close()
	return m, want
}

// only returns a copy of a folder with one file, whose bytes are changed.
func only(m *memory, change func([]byte) []byte) *memory {
	out := newMemory(2)
	for name, n := range m.names {
		b := change(slices.Clone(n.data))
		out.names[name] = &inode{data: b, synced: slices.Clone(b)}
		out.durable[name] = out.names[name]
	}
	return out
}

// Cut at every byte, the log gives a prefix, and goes on behind it.
func TestCutAtEveryByte(t *testing.T) {
	m, want := filled(t, 12)
	size := len(m.names[logName(0)].data)
	last := 0
	for cut := range size + 1 {
		c := only(m, func(b []byte) []byte { return b[:cut] })
		l, got := mustOpen(t, c)
		if len(got) < last || !slices.Equal(got, want[:len(got)]) {
			t.Fatalf("cut at %d: %q", cut, got)
		}
		last = len(got)
		add(t, l, "new")
		l.Close()
		l, again := mustOpen(t, c.crash())
		l.Close()
		if !slices.Equal(again, append(slices.Clone(got), "new")) {
			t.Fatalf("cut at %d, then appended: %q", cut, again)
		}
	}
	if last != len(want) {
		t.Errorf("uncut it gives %d of %d", last, len(want))
	}
}

// With any bit of the last record flipped the log gives all before it; with any bit of an earlier one it tells of damage
// where a later record proves that it was committed. Nothing is ever given that was not written.
func TestFlippedBits(t *testing.T) {
	m, want := filled(t, 6)
	b := m.names[logName(0)].data
	lastAt := len(b) - recordHeaderSize - len(want[5])
	for i := fileHeaderSize; i < len(b); i++ {
		for bit := range 8 {
			c := only(m, func(b []byte) []byte { b[i] ^= 1 << bit; return b })
			l, got, rec, err := open(c)
			var corrupt *CorruptError
			switch {
			case i >= lastAt:
				if err != nil || !slices.Equal(got, want[:5]) || rec.Cut != int64(len(b)-lastAt) {
					t.Fatalf("byte %d bit %d of the last record: %q %v", i, bit, got, err)
				}
				l.Close()
			case !errors.As(err, &corrupt) || corrupt.File != logName(0):
				t.Fatalf("byte %d bit %d: %q %v", i, bit, got, err)
			}
		}
	}
}

func TestSnapshot(t *testing.T) {
	m := newMemory(3)
	l, _ := mustOpen(t, m)
	for i := range 5 {
		add(t, l, fmt.Sprint(i))
	}
	if err := l.Snapshot(9, nil); err == nil {
		t.Error("a snapshot past the end")
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
	// a damaged snapshot is told, not passed over
	bad := only(m, func(b []byte) []byte { b[len(b)-1] ^= 1; return b })
	if _, _, _, err := open(bad); err == nil {
		t.Error("a damaged snapshot was taken")
	}
}

// Out of room an append fails and the log goes on when there is some; a failed sync breaks it until it is opened again.
func TestFaults(t *testing.T) {
	m := newMemory(4)
	l, _ := mustOpen(t, m)
	add(t, l, "a")
	m.room = 10
	if _, err := l.Append(ctx, []byte("no room")); !errors.Is(err, errRoom) || errors.Is(err, ErrBroken) {
		t.Errorf("err %v", err)
	}
	m.room = -1
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

// Appends that come together share a sync.
func TestGroups(t *testing.T) {
	m := newMemory(5)
	l, _ := mustOpen(t, m)
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	first := true
	m.fail = func(op string) error {
		if op == "sync" && first {
			first = false
			held <- struct{}{}
			<-hold
		}
		return nil
	}
	var wg sync.WaitGroup
	start := func(n int) {
		for i := range n {
			wg.Add(1)
			go func() { defer wg.Done(); l.Append(ctx, []byte(fmt.Sprint(i))) }()
		}
	}
	start(1)
	<-held
	start(100)
	for len(l.queue) < 100 {
	}
	close(hold)
	wg.Wait()
	if g, r := l.Counts(); g != 2 || r != 101 {
		t.Errorf("%d groups of %d records, want 2 of 101", g, r)
	}
	l.Close()
}

// Whatever fails and whenever it crashes, a log gives what was acknowledged, in order and without a gap, and behind it
// at most the records whose end was not told.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemory(rapid.Uint64().Draw(t, "seed"))
		l, _, _, err := open(m)
		if err != nil {
			t.Fatal(err)
		}
		var acked, unsure []string // unsure follow acked
		n := 0
		faults := func() {
			at, k := rapid.IntRange(0, 8).Draw(t, "fault at"), 0
			op := rapid.SampledFrom([]string{"none", "none", "write", "sync", "syncdir", "create", "rename", "remove", "truncate"}).Draw(t, "fault")
			m.fail = func(o string) error {
				if o == op {
					if k++; k == at {
						return errFault
					}
				}
				return nil
			}
		}
		faults()
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1:
				if rapid.Bool().Draw(t, "closed") {
					l.Close()
				}
				m.mu.Lock()
				m.fail = nil
				m.mu.Unlock()
				crashed := m.crash()
				l.Close()
				m = crashed
				var got []string
				l, got, _, err = open(m)
				if err != nil {
					t.Fatalf("after a crash: %v", err)
				}
				if len(got) < len(acked) || !slices.Equal(got[:len(acked)], acked) {
					t.Fatalf("acknowledged %q, found %q", acked, got)
				}
				if rest := got[len(acked):]; len(rest) > len(unsure) || !slices.Equal(rest, unsure[:len(rest)]) {
					t.Fatalf("behind the acknowledged: %q, of %q", rest, unsure)
				}
				acked, unsure = got, nil
				faults()
			case 2:
				if rapid.IntRange(0, 2).Draw(t, "room") == 0 {
					m.mu.Lock()
					m.room = rapid.IntRange(0, 100).Draw(t, "bytes")
					m.mu.Unlock()
				} else {
					m.mu.Lock()
					m.room = -1
					m.mu.Unlock()
				}
			case 3:
				if seq := l.Seq(); int(seq) == len(acked) {
					l.Snapshot(seq, []byte(strings.Join(acked, "\n")))
				}
			default:
				n++
				s := fmt.Sprint("r", n, strings.Repeat("-", rapid.IntRange(0, 90).Draw(t, "size")))
				_, err := l.Append(ctx, []byte(s))
				switch {
				case err == nil:
					acked = append(acked, s)
				case errors.Is(err, ErrBroken):
					unsure = append(unsure, s)
				}
			}
		}
		l.Close()
	})
}

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

// BenchmarkCommit: commits a second by 64 writers on this machine's disk, in groups and alone.
func BenchmarkCommit(b *testing.B) {
	for _, alone := range []bool{false, true} {
		b.Run(map[bool]string{false: "groups", true: "alone"}[alone], func(b *testing.B) {
			l, _, err := Open(Dir(b.TempDir()), Options{SyncEachRecord: alone}, nil, nil)
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			payload := bytes.Repeat([]byte("x"), 200)
			b.SetParallelism(16)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := l.Append(ctx, payload); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

// BenchmarkRecover: a million records of 100 bytes.
func BenchmarkRecover(b *testing.B) {
	const records = 1_000_000
	m := newMemory(1)
	l, _, err := Open(m, Options{}, nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	l.Close()
	n := m.names[logName(0)]
	payload := bytes.Repeat([]byte("x"), 100)
	for i := range uint64(records) {
		n.data = appendRecord(n.data, i+1, i, payload)
	}
	dir := Dir(b.TempDir())
	f, _ := dir.Create(logName(0))
	f.Write(n.data)
	f.Close()
	b.ResetTimer()
	for b.Loop() {
		count := 0
		l, _, err := Open(dir, Options{}, nil, func(uint64, []byte) error { count++; return nil })
		if err != nil || count != records {
			b.Fatal(count, err)
		}
		l.Close()
	}
}

// crossing is a folder that counts how many snapshots are being written at once, and lets others go ahead within each.
type crossing struct {
	FS
	writing, most atomic.Int64
}

func (c *crossing) Create(name string) (File, error) {
	f, err := c.FS.Create(name)
	if name != "snapshot.new" || err != nil {
		return f, err
	}
	now := c.writing.Add(1)
	for most := c.most.Load(); now > most && !c.most.CompareAndSwap(most, now); most = c.most.Load() {
	}
	return &crossingFile{f, c}, nil
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

// Snapshots asked for at once, in any order, are written one after the other, as they share the name of the file that they
// are written to; the folder holds all records afterwards.
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
