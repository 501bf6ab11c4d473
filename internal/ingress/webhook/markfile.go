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
	// Load returns the watermark, the zero time if there is none.
	Load() (time.Time, error)
	// Save returns when the watermark would survive a crash.
	Save(time.Time) error
}

// WatermarkFile is a MarkFile, by its name in a folder that exists. A watermark is written to a second file, synced and
// renamed, and the folder synced: a crash at any point leaves the old or the new one, complete.
type WatermarkFile string

// markHead begins the file; the Unix seconds and a line feed follow.
const markHead = "kitehub replay mark 1 "

// Load reads the watermark. A file that is not complete is an error: a start without a watermark would allow replays.
func (f WatermarkFile) Load() (time.Time, error) {
	text, err := os.ReadFile(string(f))
	if errors.Is(err, fs.ErrNotExist) {
		return time.Time{}, nil
	}
	if err != nil {
		return time.Time{}, err
	}
	digits := strings.TrimSuffix(strings.TrimPrefix(string(text), markHead), "\n")
	seconds, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || seconds < 0 || string(text) != markHead+strconv.FormatInt(seconds, 10)+"\n" {
		return time.Time{}, fmt.Errorf("%s: not a replay mark; restore it, "+
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
	_, err = fmt.Fprintf(temp, "%s%d\n", markHead, t.Unix())
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
