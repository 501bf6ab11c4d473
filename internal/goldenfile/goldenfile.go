// Package goldenfile compares what the program writes with files that an earlier program wrote, for tests only. The files stand
// under testdata/golden of the package under test; "go test -update" writes them anew, which says that a format is to change.
package goldenfile

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

func path(name string) string { return filepath.Join("testdata", "golden", name) }

// Compare fails the test unless written has the very bytes of the golden file. With -update it writes the file instead.
func Compare(t testing.TB, name string, written []byte) {
	t.Helper()
	if *update {
		if err := os.MkdirAll(filepath.Dir(path(name)), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path(name), written, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if golden := Read(t, name); !bytes.Equal(golden, written) {
		t.Errorf("%s: the program writes another format than before\nbefore: %s\nnow:    %s", path(name), golden, written)
	}
}

// Read returns the bytes of a golden file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	golden, err := os.ReadFile(path(name))
	if err != nil {
		t.Fatal(err)
	}
	return golden
}
