package webhook

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// savedFile returns a watermark file in a directory of its own, with a watermark saved.
func savedFile(t *testing.T, seconds int64) WatermarkFile {
	t.Helper()
	f := WatermarkFile(filepath.Join(t.TempDir(), "mark"))
	if err := f.Save(time.Unix(seconds, 0)); err != nil {
		t.Fatal(err)
	}
	return f
}

func expectWatermark(t *testing.T, f WatermarkFile, seconds int64) {
	t.Helper()
	if watermark, err := f.Load(); err != nil || watermark.Unix() != seconds {
		t.Errorf("watermark %v, error %v; want %d", watermark, err, seconds)
	}
}

func TestMissingFileIsNoWatermark(t *testing.T) {
	f := WatermarkFile(filepath.Join(t.TempDir(), "mark"))
	if watermark, err := f.Load(); err != nil || !watermark.IsZero() {
		t.Error(watermark, err)
	}
}

func TestSavedWatermarkIsLoaded(t *testing.T) {
	f := savedFile(t, 1700000000)
	expectWatermark(t, f, 1700000000)
	if err := f.Save(time.Unix(1700000009, 0)); err != nil {
		t.Fatal(err)
	}
	expectWatermark(t, f, 1700000009)
}

// Loading a truncated file fails; it is never taken for a missing one, which would allow replays.
func TestTruncatedFileIsRejected(t *testing.T) {
	f := savedFile(t, 1700000009)
	complete, err := os.ReadFile(string(f))
	if err != nil {
		t.Fatal(err)
	}
	for size := range complete {
		if err := os.WriteFile(string(f), complete[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		if watermark, err := f.Load(); err == nil {
			t.Errorf("truncated to %d bytes: loaded as %v", size, watermark)
		}
	}
}

func TestFailedSaveKeepsPreviousWatermark(t *testing.T) {
	f := savedFile(t, 1700000009)
	if err := os.Mkdir(string(f)+".new", 0o700); err != nil { // blocks the temporary file
		t.Fatal(err)
	}
	if err := f.Save(time.Unix(1800000000, 0)); err == nil {
		t.Error("Save succeeded without a temporary file")
	}
	expectWatermark(t, f, 1700000009)
}
