package webhook

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A mark is read back; one cut at any byte but none is an error, never a start without a mark; and a folder that cannot
// be written to fails the save and leaves the old mark.
func TestMarkFile(t *testing.T) {
	dir := t.TempDir()
	f := File(filepath.Join(dir, "mark"))
	if m, err := f.Load(); err != nil || !m.IsZero() {
		t.Fatal(m, err)
	}
	for _, at := range []int64{1700000000, 1700000009} {
		if err := f.Save(time.Unix(at, 0)); err != nil {
			t.Fatal(err)
		}
		if m, err := f.Load(); err != nil || m.Unix() != at {
			t.Errorf("%v %v, want %d", m, err, at)
		}
	}
	whole, err := os.ReadFile(string(f))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		os.WriteFile(string(f), whole[:cut], 0o600)
		if m, err := f.Load(); err == nil {
			t.Errorf("cut at byte %d: taken as %v", cut, m)
		}
	}
	os.WriteFile(string(f), whole, 0o600)
	if err := os.Mkdir(string(f)+".new", 0o700); err != nil { // the new mark cannot be written beside the old
		t.Fatal(err)
	}
	if err := f.Save(time.Unix(1800000000, 0)); err == nil {
		t.Error("saved though it could not be written")
	}
	if m, err := f.Load(); err != nil || m.Unix() != 1700000009 {
		t.Errorf("the old mark: %v %v", m, err)
	}
}
