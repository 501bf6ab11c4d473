package daemon

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"
)

// A CrashLoop detects that the process crashes again and again. It is not safe for concurrent use.
type CrashLoop struct {
	MaxStarts int           // starts that ended badly within Window, from which on it is a loop; 0: never
	Window    time.Duration // how long a start counts
	Starts    []Start       // newest last
}

// A Start is one start of the process.
type Start struct {
	At    time.Time `json:"at"`
	Clean bool      `json:"clean"` // it ended by a graceful shutdown or a handover
}

// RecordStart records a start, and returns whether the process is in a crash loop: it should leave out then what may be the
// cause. A start in the future, by a clock that was set back, counts as one of now.
func (l *CrashLoop) RecordStart(now time.Time) (inLoop bool) {
	crashes := 0
	recent := l.Starts[:0]
	for _, s := range l.Starts {
		if age := now.Sub(s.At); age > l.Window {
			continue
		}
		recent = append(recent, s)
		if !s.Clean {
			crashes++
		}
	}
	l.Starts = append(recent, Start{At: now})
	if n := len(l.Starts) - 4*(l.MaxStarts+1); n > 0 { // more say nothing, and the file must not grow
		l.Starts = l.Starts[n:]
	}
	return l.MaxStarts > 0 && crashes >= l.MaxStarts
}

// RecordCleanExit records that the start of a time ended well.
func (l *CrashLoop) RecordCleanExit(at time.Time) {
	for i := range l.Starts {
		if l.Starts[i].At.Equal(at) {
			l.Starts[i].Clean = true
		}
	}
}

// Load reads the starts from a file. One that cannot be read counts as empty: it must not prevent the start.
func (l *CrashLoop) Load(name string) {
	if text, err := os.ReadFile(name); err != nil || json.Unmarshal(text, &l.Starts) != nil {
		l.Starts = nil
	}
}

// Save writes the starts to a file, atomically.
func (l *CrashLoop) Save(name string) error {
	text, err := json.Marshal(l.Starts)
	if err != nil {
		return err
	}
	tmp := filepath.Join(filepath.Dir(name), "."+filepath.Base(name)+".new")
	if err := os.WriteFile(tmp, text, 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, name)
}
