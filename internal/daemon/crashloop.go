package daemon

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"
)

// A CrashLoop detects that the process crashes repeatedly. It is not safe for concurrent use.
type CrashLoop struct {
	MaxStarts int           // number of crashes within Window that make a crash loop; 0: no detection
	Window    time.Duration // how long a start counts
	Starts    []Start       // newest last
}

// A Start is one start of the process.
type Start struct {
	At    time.Time `json:"at"`
	Clean bool      `json:"clean"` // the process ended with a graceful shutdown or a handover
}

// RecordStart records a start and returns whether the process is in a crash loop. In a crash loop
// the process should start without the components that may cause the crashes. An earlier start that
// lies in the future, because the clock was set back, counts as recent.
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
	// Older starts do not affect the result, and the file must not grow without bound.
	if n := len(l.Starts) - 4*(l.MaxStarts+1); n > 0 {
		l.Starts = l.Starts[n:]
	}
	return l.MaxStarts > 0 && crashes >= l.MaxStarts
}

// RecordCleanExit marks the start at the given time as ended without a crash.
func (l *CrashLoop) RecordCleanExit(at time.Time) {
	for i := range l.Starts {
		if l.Starts[i].At.Equal(at) {
			l.Starts[i].Clean = true
		}
	}
}

// Load reads the starts from a file. A file that cannot be read or parsed counts as empty, as it
// must not prevent the process from starting.
func (l *CrashLoop) Load(name string) {
	if text, err := os.ReadFile(name); err != nil || json.Unmarshal(text, &l.Starts) != nil {
		l.Starts = nil
	}
}

// Save atomically writes the starts to a file.
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
