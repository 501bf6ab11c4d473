package webhook

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// A WatermarkStore keeps the replay guard's watermark across restarts.
type WatermarkStore interface {
	// Load returns the watermark, or the zero time if there is none.
	Load() (time.Time, error)
	// Save returns once the watermark would survive a crash.
	Save(time.Time) error
}

// A WatermarkFile is a WatermarkStore given by the name of a file in an existing directory. Save
// writes a temporary file, syncs it, renames it and syncs the directory: a crash at any point
// leaves either the old or the new watermark, complete.
type WatermarkFile string

// watermarkFileHeader is the start of the file; the Unix time in seconds and a line feed follow.
const watermarkFileHeader = "kitehub replay mark 1 "

// Load reads the watermark. An incomplete or malformed file is an error, because starting without
// the watermark would allow replays.
func (f WatermarkFile) Load() (time.Time, error) {
	text, err := os.ReadFile(string(f))
	if errors.Is(err, fs.ErrNotExist) {
		return time.Time{}, nil
	}
	if err != nil {
		return time.Time{}, err
	}
	digits := strings.TrimSuffix(strings.TrimPrefix(string(text), watermarkFileHeader), "\n")
	seconds, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || seconds < 0 || string(text) != watermarkFileHeader+strconv.FormatInt(seconds, 10)+"\n" {
		return time.Time{}, fmt.Errorf("%s: not a valid replay watermark; restore it, "+
			"or remove it once no message signed before now is within the tolerance", string(f))
	}
	return time.Unix(seconds, 0), nil
}

// Save writes the watermark.
func (f WatermarkFile) Save(t time.Time) error {
	name := string(f)
	temp, err := os.OpenFile(name+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(temp, "%s%d\n", watermarkFileHeader, t.Unix())
	if err == nil {
		err = temp.Sync()
	}
	if closeErr := temp.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(name+".new", name)
	}
	if err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(name))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
