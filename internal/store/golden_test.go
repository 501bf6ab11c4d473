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

const goldenFolder = "testdata/golden/folder"

// writeGoldenStore writes a folder with all that the format has: a snapshot, and a log behind it in which one
// record was committed alone, two in one group, and the last one is empty.
func writeGoldenStore(t *testing.T, folder string) {
	t.Helper()
	log, _ := mustOpen(t, Dir(folder))
	add(t, log, "first, in a file that the snapshot replaces")
	add(t, log, "second")
	if err := log.Snapshot(2, []byte("first, in a file that the snapshot replaces\nsecond")); err != nil {
		t.Fatal(err)
	}
	add(t, log, "third")
	group := []*pending{{payload: []byte(strings.Repeat("a longer record ", 20))}, {payload: []byte("\x00\xff not text")}}
	log.mu.Lock()
	err := log.write(group) // as commit does with two that waited together
	log.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	add(t, log, "")
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
}

// The same appends and the same snapshot write the same files, byte for byte.
func TestGoldenBytes(t *testing.T) {
	folder := t.TempDir()
	writeGoldenStore(t, folder)
	got := goldenfile.Files(t, folder)
	if goldenfile.Updating() {
		if err := os.RemoveAll(goldenFolder); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(goldenFolder, os.DirFS(folder)); err != nil {
			t.Fatal(err)
		}
	}
	want := goldenfile.Files(t, goldenFolder)
	for name := range want {
		if !bytes.Equal(got[name], want[name]) {
			t.Errorf("%s:\ngot  %x\nwant %x", name, got[name], want[name])
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d files were written, want %d", len(got), len(want))
	}
}

// A folder that was written before is read as it was, and goes on behind it.
func TestGoldenOpens(t *testing.T) {
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(goldenFolder)); err != nil {
		t.Fatal(err)
	}
	log, got, recovered, err := open(Dir(folder))
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
	for name, old := range goldenfile.Files(t, goldenFolder) {
		if !bytes.Equal(goldenfile.Files(t, folder)[name], old) {
			t.Errorf("%s was changed by opening it", name)
		}
	}
	add(t, log, "seventh")
	if log.DurableSeq() != 7 {
		t.Errorf("the next record has the number %d, want 7", log.DurableSeq())
	}
}

// The golden files are what docs/store-format.md says: read here from that page alone, with nothing of the program.
func TestGoldenIsAsDocumented(t *testing.T) {
	files := goldenfile.Files(t, goldenFolder)
	castagnoli := crc32.MakeTable(crc32.Castagnoli)
	for name, magic := range map[string]string{"00000000000000000002.log": "kitelog\x01", "00000000000000000002.snap": "kitesnp\x01"} {
		text := files[name]
		if len(text) < 16 || string(text[:8]) != magic || binary.BigEndian.Uint64(text[8:]) != 2 {
			t.Fatalf("%s: its head is %x", name, text[:min(16, len(text))])
		}
		text = text[16:]
		var numbers, durable []uint64
		for len(text) >= 24 {
			end := 24 + int(binary.BigEndian.Uint32(text))
			if end > len(text) {
				break
			}
			if sum := crc32.Checksum(append(slices.Clone(text[:4]), text[8:end]...), castagnoli); sum != binary.BigEndian.Uint32(text[4:]) {
				t.Errorf("%s: record %d: checksum %x, want %x", name, len(numbers), text[4:8], sum)
			}
			numbers = append(numbers, binary.BigEndian.Uint64(text[8:]))
			durable = append(durable, binary.BigEndian.Uint64(text[16:]))
			text = text[end:]
		}
		if len(text) > 0 {
			t.Errorf("%s: %d bytes behind the last record", name, len(text))
		}
		wantNumbers, wantDurable := []uint64{3, 4, 5, 6}, []uint64{2, 3, 3, 5}
		if strings.HasSuffix(name, ".snap") {
			wantNumbers, wantDurable = []uint64{2}, []uint64{2}
		}
		if !slices.Equal(numbers, wantNumbers) || !slices.Equal(durable, wantDurable) {
			t.Errorf("%s: numbers %v and durable ones %v, want %v and %v", name, numbers, durable, wantNumbers, wantDurable)
		}
	}
	if len(files) != 2 {
		t.Errorf("%d files, want a snapshot and a log", len(files))
	}
}
