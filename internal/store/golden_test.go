package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"os"
	"slices"
	"strings"
	"testing"

	"kitehub/internal/goldenfile"
)

const goldenDir = "testdata/golden/folder"

// writeGoldenStore writes a store that uses every part of the format: a snapshot, and a log after
// it with a record committed on its own, two records committed in one group, and an empty record.
func writeGoldenStore(t *testing.T, dir string) {
	t.Helper()
	log, _ := mustOpen(t, Dir(dir))
	mustAppend(t, log, "first, in a file that the snapshot replaces")
	mustAppend(t, log, "second")
	if err := log.Snapshot(2, []byte("first, in a file that the snapshot replaces\nsecond")); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, log, "third")
	group := []*pendingAppend{{payload: []byte(strings.Repeat("a longer record ", 20))}, {payload: []byte("\x00\xff not text")}}
	log.mu.Lock()
	err := log.writeGroup(group) // as runCommitter does with two queued appends
	log.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	mustAppend(t, log, "")
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against unintended changes of the file format: the same appends and the same snapshot
// produce the golden files byte for byte.
func TestGoldenBytes(t *testing.T) {
	dir := t.TempDir()
	writeGoldenStore(t, dir)
	got := goldenfile.ReadFolder(t, dir)
	if goldenfile.Updating() {
		if err := os.RemoveAll(goldenDir); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(goldenDir, os.DirFS(dir)); err != nil {
			t.Fatal(err)
		}
	}
	want := goldenfile.ReadFolder(t, goldenDir)
	for name := range want {
		if !bytes.Equal(got[name], want[name]) {
			t.Errorf("%s:\ngot  %x\nwant %x", name, got[name], want[name])
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d files were written, want %d", len(got), len(want))
	}
}

// Guards against a reader that no longer understands existing files: the golden store opens with
// all of its records, opening leaves its files unchanged, and appends continue after its last
// record.
func TestGoldenOpens(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(goldenDir)); err != nil {
		t.Fatal(err)
	}
	log, got, recovered, err := openLog(Dir(dir))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	want := []string{"first, in a file that the snapshot replaces", "second", "third", strings.Repeat("a longer record ", 20), "\x00\xff not text", ""}
	if !slices.Equal(got, want) {
		t.Errorf("got  %q\nwant %q", got, want)
	}
	if *recovered != (Recovered{SnapshotSeq: 2, ReplayedRecords: 4, LastSeq: 6}) {
		t.Errorf("recovered: %+v", *recovered)
	}
	for name, golden := range goldenfile.ReadFolder(t, goldenDir) {
		if !bytes.Equal(goldenfile.ReadFolder(t, dir)[name], golden) {
			t.Errorf("opening the log changed %s", name)
		}
	}
	mustAppend(t, log, "seventh")
	if log.DurableSeq() != 7 {
		t.Errorf("the next record has the sequence number %d, want 7", log.DurableSeq())
	}
}

// Guards against a difference between the format and its documentation: this test reads the golden
// files as docs/store-format.md describes them, without using any code of the package.
func TestGoldenIsAsDocumented(t *testing.T) {
	files := goldenfile.ReadFolder(t, goldenDir)
	castagnoli := crc32.MakeTable(crc32.Castagnoli)
	for name, magic := range map[string]string{"00000000000000000002.log": "kitelog\x01", "00000000000000000002.snap": "kitesnp\x01"} {
		rest := files[name]
		if len(rest) < 16 || string(rest[:8]) != magic || binary.BigEndian.Uint64(rest[8:]) != 2 {
			t.Fatalf("%s: file header is %x", name, rest[:min(16, len(rest))])
		}
		rest = rest[16:]
		var seqs, durable []uint64
		for len(rest) >= 24 {
			end := 24 + int(binary.BigEndian.Uint32(rest))
			if end > len(rest) {
				break
			}
			if sum := crc32.Checksum(append(slices.Clone(rest[:4]), rest[8:end]...), castagnoli); sum != binary.BigEndian.Uint32(rest[4:]) {
				t.Errorf("%s: record %d: checksum %x, want %x", name, len(seqs), rest[4:8], sum)
			}
			seqs = append(seqs, binary.BigEndian.Uint64(rest[8:]))
			durable = append(durable, binary.BigEndian.Uint64(rest[16:]))
			rest = rest[end:]
		}
		if len(rest) > 0 {
			t.Errorf("%s: %d bytes after the last record", name, len(rest))
		}
		wantSeqs, wantDurable := []uint64{3, 4, 5, 6}, []uint64{2, 3, 3, 5}
		if strings.HasSuffix(name, ".snap") {
			wantSeqs, wantDurable = []uint64{2}, []uint64{2}
		}
		if !slices.Equal(seqs, wantSeqs) || !slices.Equal(durable, wantDurable) {
			t.Errorf("%s: sequence numbers %v and durable sequence numbers %v, want %v and %v", name, seqs, durable, wantSeqs, wantDurable)
		}
	}
	if len(files) != 2 {
		t.Errorf("%d files, want one snapshot and one log", len(files))
	}
}
