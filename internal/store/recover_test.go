package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// newFilledFS returns a directory with a log file of the given number of records, and their
// payloads.
func newFilledFS(t testing.TB, records int) (*memFS, []string) {
	t.Helper()
	m := newMemFS(1)
	l, _ := mustOpen(t, m)
	var want []string
	for i := range records {
		want = append(want, fmt.Sprint("record ", i, strings.Repeat("x", i*7%50)))
		mustAppend(t, l, want[i])
	}
	l.Close()
	return m, want
}

// modifiedCopy returns a copy of a directory in which change was applied to the contents of each
// file.
func modifiedCopy(m *memFS, change func([]byte) []byte) *memFS {
	modified := newMemFS(2)
	for name, n := range m.names {
		b := change(slices.Clone(n.data))
		modified.names[name] = &inode{data: b, synced: slices.Clone(b)}
		modified.durable[name] = modified.names[name]
	}
	return modified
}

// Guards against lost or invented records after a torn write: a log truncated at any byte opens
// with a prefix of its records and accepts appends after it.
func TestCutAtEveryByte(t *testing.T) {
	m, want := newFilledFS(t, 12)
	size := len(m.names[logName(0)].data)
	last := 0
	for length := range size + 1 {
		c := modifiedCopy(m, func(b []byte) []byte { return b[:length] })
		l, got := mustOpen(t, c)
		if len(got) < last || !slices.Equal(got, want[:len(got)]) {
			t.Fatalf("truncated at %d: recovered %q", length, got)
		}
		last = len(got)
		mustAppend(t, l, "new")
		l.Close()
		l, reopened := mustOpen(t, c.crash())
		l.Close()
		if !slices.Equal(reopened, append(slices.Clone(got), "new")) {
			t.Fatalf("truncated at %d, then appended to: recovered %q", length, reopened)
		}
	}
	if last != len(want) {
		t.Errorf("the complete log has %d records, want %d", last, len(want))
	}
}

// Guards against silent corruption. If any bit of the last record is flipped, the log opens with
// all earlier records. If any bit of an earlier record is flipped, Open returns a CorruptError,
// because a later record proves that the damaged one was committed. No record is read that was not
// written.
func TestFlippedBits(t *testing.T) {
	m, want := newFilledFS(t, 6)
	b := m.names[logName(0)].data
	lastOffset := len(b) - recordHeaderSize - len(want[5])
	for i := fileHeaderSize; i < len(b); i++ {
		for bit := range 8 {
			c := modifiedCopy(m, func(b []byte) []byte { b[i] ^= 1 << bit; return b })
			l, got, rec, err := openLog(c)
			var corrupt *CorruptError
			switch {
			case i >= lastOffset:
				if err != nil || !slices.Equal(got, want[:5]) || rec.DiscardedBytes != int64(len(b)-lastOffset) {
					t.Fatalf("byte %d bit %d of the last record: recovered %q, error %v", i, bit, got, err)
				}
				l.Close()
			case !errors.As(err, &corrupt) || corrupt.File != logName(0):
				t.Fatalf("byte %d bit %d: recovered %q, error %v", i, bit, got, err)
			}
		}
	}
}

// Guards against the loss of acknowledged records: whatever operation fails and whenever the
// process crashes, a log opens with all acknowledged records in order and without gaps, followed at
// most by records whose outcome was unknown.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemFS(rapid.Uint64().Draw(t, "seed"))
		l, _, _, err := openLog(m)
		if err != nil {
			t.Fatal(err)
		}
		c := &crashTest{t: t, fs: m, log: l}
		c.drawFault()
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0, 1:
				c.crashAndReopen()
			case 2:
				c.drawFreeSpace()
			case 3:
				if seq := c.log.DurableSeq(); int(seq) == len(c.acked) {
					c.log.Snapshot(seq, []byte(strings.Join(c.acked, "\n")))
				}
			default:
				c.append()
			}
		}
		c.log.Close()
	})
}

// A crashTest drives a log through random operations on a file system that fails and crashes.
type crashTest struct {
	t         *rapid.T
	fs        *memFS
	log       *Log
	appended  int
	acked     []string
	uncertain []string // appended after acked with an unknown outcome
}

// drawFault makes a random call of one kind of operation fail, or none.
func (c *crashTest) drawFault() {
	failAt := rapid.IntRange(0, 8).Draw(c.t, "fault at")
	ops := []string{"none", "none", "write", "sync", "syncdir", "create", "rename", "remove", "truncate"}
	op := rapid.SampledFrom(ops).Draw(c.t, "fault")
	calls := 0
	c.fs.fail = func(called string) error {
		if called != op {
			return nil
		}
		calls++
		if calls == failAt {
			return errFault
		}
		return nil
	}
}

// drawFreeSpace limits the free space of the disk, or removes the limit.
func (c *crashTest) drawFreeSpace() {
	freeBytes := -1
	if rapid.IntRange(0, 2).Draw(c.t, "limit free space") == 0 {
		freeBytes = rapid.IntRange(0, 100).Draw(c.t, "bytes")
	}
	c.fs.mu.Lock()
	c.fs.freeBytes = freeBytes
	c.fs.mu.Unlock()
}

// crashAndReopen crashes the file system, possibly after closing the log, reopens the log and
// checks its records.
func (c *crashTest) crashAndReopen() {
	if rapid.Bool().Draw(c.t, "closed") {
		c.log.Close()
	}
	c.fs.mu.Lock()
	c.fs.fail = nil
	c.fs.mu.Unlock()
	crashed := c.fs.crash()
	c.log.Close()
	c.fs = crashed
	l, got, _, err := openLog(crashed)
	if err != nil {
		c.t.Fatalf("after a crash: %v", err)
	}
	c.log = l
	if len(got) < len(c.acked) || !slices.Equal(got[:len(c.acked)], c.acked) {
		c.t.Fatalf("acknowledged %q, found %q", c.acked, got)
	}
	rest := got[len(c.acked):]
	if len(rest) > len(c.uncertain) || !slices.Equal(rest, c.uncertain[:len(rest)]) {
		c.t.Fatalf("after the acknowledged records: found %q, appended %q", rest, c.uncertain)
	}
	c.acked = got
	c.uncertain = nil
	c.drawFault()
}

// append appends a record of random size and records whether it was acknowledged or its outcome is
// unknown.
func (c *crashTest) append() {
	c.appended++
	payload := fmt.Sprint("r", c.appended, strings.Repeat("-", rapid.IntRange(0, 90).Draw(c.t, "size")))
	_, err := c.log.Append(ctx, []byte(payload))
	switch {
	case err == nil:
		c.acked = append(c.acked, payload)
	case errors.Is(err, ErrBroken):
		c.uncertain = append(c.uncertain, payload)
	}
}
