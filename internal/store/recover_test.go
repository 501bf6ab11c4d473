package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// filled returns a folder with some records in one file, and the payloads.
func filled(t testing.TB, records int) (*memory, []string) {
	t.Helper()
	m := newMemory(1)
	l, _ := mustOpen(t, m)
	var want []string
	for i := range records {
		want = append(want, fmt.Sprint("record ", i, strings.Repeat("x", i*7%50)))
		add(t, l, want[i])
	}
	l.Close()
	return m, want
}

// changed returns a copy of a folder with the bytes of its files changed.
func changed(m *memory, change func([]byte) []byte) *memory {
	out := newMemory(2)
	for name, n := range m.names {
		b := change(slices.Clone(n.data))
		out.names[name] = &inode{data: b, synced: slices.Clone(b)}
		out.durable[name] = out.names[name]
	}
	return out
}

// A log that is cut at any byte opens with a prefix of its records, and goes on behind it.
func TestCutAtEveryByte(t *testing.T) {
	m, want := filled(t, 12)
	size := len(m.names[logName(0)].data)
	last := 0
	for cut := range size + 1 {
		c := changed(m, func(b []byte) []byte { return b[:cut] })
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

// With any bit of the last record flipped the log opens with all records before it. With any bit of an earlier one
// it is a CorruptError, as a later record proves that the damaged one was committed. No record is ever read that
// was not written.
func TestFlippedBits(t *testing.T) {
	m, want := filled(t, 6)
	b := m.names[logName(0)].data
	lastAt := len(b) - recordHeaderSize - len(want[5])
	for i := fileHeaderSize; i < len(b); i++ {
		for bit := range 8 {
			c := changed(m, func(b []byte) []byte { b[i] ^= 1 << bit; return b })
			l, got, rec, err := open(c)
			var corrupt *CorruptError
			switch {
			case i >= lastAt:
				if err != nil || !slices.Equal(got, want[:5]) || rec.DiscardedBytes != int64(len(b)-lastAt) {
					t.Fatalf("byte %d bit %d of the last record: %q %v", i, bit, got, err)
				}
				l.Close()
			case !errors.As(err, &corrupt) || corrupt.File != logName(0):
				t.Fatalf("byte %d bit %d: %q %v", i, bit, got, err)
			}
		}
	}
}

// Whatever fails and whenever it crashes, a log opens with all records that were acknowledged, in order and without
// a gap, and behind them at most those whose outcome was not known.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemory(rapid.Uint64().Draw(t, "seed"))
		l, _, _, err := open(m)
		if err != nil {
			t.Fatal(err)
		}
		h := &crashHistory{t: t, folder: m, log: l}
		h.drawFault()
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1:
				h.crash()
			case 2:
				h.drawCapacity()
			case 3:
				if seq := h.log.DurableSeq(); int(seq) == len(h.acked) {
					h.log.Snapshot(seq, []byte(strings.Join(h.acked, "\n")))
				}
			default:
				h.append()
			}
		}
		h.log.Close()
	})
}

// A crashHistory is a drawn history of a log on a folder that fails and crashes.
type crashHistory struct {
	t        *rapid.T
	folder   *memory
	log      *Log
	appended int
	acked    []string
	unsure   []string // behind acked, if they are found at all
}

// drawFault makes one call of one kind fail, or none.
func (h *crashHistory) drawFault() {
	at := rapid.IntRange(0, 8).Draw(h.t, "fault at")
	kinds := []string{"none", "none", "write", "sync", "syncdir", "create", "rename", "remove", "truncate"}
	op := rapid.SampledFrom(kinds).Draw(h.t, "fault")
	calls := 0
	h.folder.fail = func(o string) error {
		if o != op {
			return nil
		}
		calls++
		if calls == at {
			return errFault
		}
		return nil
	}
}

// drawCapacity fills the disk up, or empties it.
func (h *crashHistory) drawCapacity() {
	capacity := -1
	if rapid.IntRange(0, 2).Draw(h.t, "room") == 0 {
		capacity = rapid.IntRange(0, 100).Draw(h.t, "bytes")
	}
	h.folder.mu.Lock()
	h.folder.capacity = capacity
	h.folder.mu.Unlock()
}

// crash opens the log again on what a crash left, perhaps after it was closed, and checks what it holds.
func (h *crashHistory) crash() {
	if rapid.Bool().Draw(h.t, "closed") {
		h.log.Close()
	}
	h.folder.mu.Lock()
	h.folder.fail = nil
	h.folder.mu.Unlock()
	crashed := h.folder.crash()
	h.log.Close()
	h.folder = crashed
	l, got, _, err := open(crashed)
	if err != nil {
		h.t.Fatalf("after a crash: %v", err)
	}
	h.log = l
	if len(got) < len(h.acked) || !slices.Equal(got[:len(h.acked)], h.acked) {
		h.t.Fatalf("acknowledged %q, found %q", h.acked, got)
	}
	rest := got[len(h.acked):]
	if len(rest) > len(h.unsure) || !slices.Equal(rest, h.unsure[:len(rest)]) {
		h.t.Fatalf("behind the acknowledged: %q, of %q", rest, h.unsure)
	}
	h.acked = got
	h.unsure = nil
	h.drawFault()
}

// append appends a record of a drawn size and notes what is known of its outcome.
func (h *crashHistory) append() {
	h.appended++
	payload := fmt.Sprint("r", h.appended, strings.Repeat("-", rapid.IntRange(0, 90).Draw(h.t, "size")))
	_, err := h.log.Append(ctx, []byte(payload))
	switch {
	case err == nil:
		h.acked = append(h.acked, payload)
	case errors.Is(err, ErrBroken):
		h.unsure = append(h.unsure, payload)
	}
}
