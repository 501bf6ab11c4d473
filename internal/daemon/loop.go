package daemon

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"
)

// A CrashLoop tells a crash loop. It is pure: starts go in, and whether to start with care comes out.
type CrashLoop struct {
	MaxStarts int           // starts after a bad end, within
	Window    time.Duration // this time, that are a loop
	Starts    []Start       // newest last
}

// A Start of the process.
type Start struct {
	At    time.Time `json:"at"`
	Clean bool      `json:"clean"` // it ended as it was told to
}

// Begin notes a start and tells whether the process should leave out what may bring it down: when so many in the time ended
// badly. Clocks that go back count as no time at all.
func (l *CrashLoop) Begin(now time.Time) (careful bool) {
	bad := 0
	kept := l.Starts[:0]
	for _, s := range l.Starts {
		if age := now.Sub(s.At); age > l.Window {
			continue
		}
		kept = append(kept, s)
		if !s.Clean {
			bad++
		}
	}
	l.Starts = append(kept, Start{At: now})
	if n := len(l.Starts) - 4*(l.MaxStarts+1); n > 0 {
		l.Starts = l.Starts[n:]
	}
	return l.MaxStarts > 0 && bad >= l.MaxStarts
}

// End notes that the start of a time ended well.
func (l *CrashLoop) End(at time.Time) {
	for i := range l.Starts {
		if l.Starts[i].At.Equal(at) {
			l.Starts[i].Clean = true
		}
	}
}

// Load reads the starts of a file; one that cannot be read says nothing, and must not keep the process from starting.
func (l *CrashLoop) Load(name string) {
	if text, err := os.ReadFile(name); err != nil || json.Unmarshal(text, &l.Starts) != nil {
		l.Starts = nil
	}
}

// Save writes them, whole or not at all.
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
