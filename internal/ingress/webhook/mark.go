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

// A MarkFile keeps the replay mark across restarts.
type MarkFile interface {
	Load() (time.Time, error) // the zero time if there is none
	Save(time.Time) error     // returns when the mark survives a crash
}

// File is a MarkFile in a folder that stands. A mark is written beside the old one, synced and renamed, and the
// folder synced: a crash at any point leaves one of the two whole.
type File string

const markHead = "kitehub replay mark 1 "

// Load reads the mark. A file that is there but not whole is an error: to start without it would open replays.
func (f File) Load() (time.Time, error) {
	text, err := os.ReadFile(string(f))
	if errors.Is(err, fs.ErrNotExist) {
		return time.Time{}, nil
	}
	if err != nil {
		return time.Time{}, err
	}
	n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimPrefix(string(text), markHead), "\n"), 10, 64)
	if err != nil || n < 0 || string(text) != markHead+strconv.FormatInt(n, 10)+"\n" {
		return time.Time{}, fmt.Errorf("%s: not a replay mark; restore it, or remove it once no message signed before now is within the tolerance", string(f))
	}
	return time.Unix(n, 0), nil
}

// Save writes the mark.
func (f File) Save(t time.Time) error {
	name, err := string(f), error(nil)
	tmp, err := os.OpenFile(name+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(tmp, "%s%d\n", markHead, t.Unix())
	if err == nil {
		err = tmp.Sync()
	}
	if cerr := tmp.Close(); err == nil {
		err = cerr
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
