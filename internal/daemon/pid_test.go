package daemon

import (
	"os"
	"path/filepath"
	"testing"
)

const (
	predecessorPID = 101
	successorPID   = 102
)

// A predecessor that exits while its successor writes the PID file does not remove the successor's
// file.
func TestRemovePIDKeepsFileOfSuccessor(t *testing.T) {
	replace := func(name string) {
		if err := ReplacePID(name, successorPID); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name       string
		before     func(name string)
		afterCheck func(name string)
		want       string
	}{
		{"no successor", nil, nil, ""},
		{"successor writes before the check", replace, nil, "102\n"},
		{"successor writes after the check", nil, replace, "102\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			name := filepath.Join(dir, "pid")
			if err := ReplacePID(name, predecessorPID); err != nil {
				t.Fatal(err)
			}
			if c.before != nil {
				c.before(name)
			}
			removePID(name, predecessorPID, func() {
				if c.afterCheck != nil {
					c.afterCheck(name)
				}
			})
			if text, _ := os.ReadFile(name); string(text) != c.want {
				t.Errorf("the file contains %q, want %q", text, c.want)
			}
			entries, err := os.ReadDir(dir)
			if err != nil {
				t.Fatal(err)
			}
			if want := min(1, len(c.want)); len(entries) != want {
				t.Errorf("%d files are left, want %d", len(entries), want)
			}
		})
	}
}
