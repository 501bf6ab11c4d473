package daemon

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// WritePID writes a process's id to a file, atomically. A file that names another living process is an error.
func WritePID(name string, pid int) error {
	if text, err := os.ReadFile(name); err == nil {
		old, err := strconv.Atoi(strings.TrimSpace(string(text)))
		if err == nil && old != pid && old > 0 && syscall.Kill(old, 0) != syscall.ESRCH {
			return fmt.Errorf("pid file %s: process %d runs", name, old)
		}
	} else if !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return ReplacePID(name, pid)
}

// ReplacePID writes a process's id to a file, atomically, whichever process the file names: for a successor that has taken over.
func ReplacePID(name string, pid int) error {
	temporary := besidePID(name, pid, "new")
	if err := os.WriteFile(temporary, []byte(strconv.Itoa(pid)+"\n"), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, name)
}

// RemovePID removes the file if it still names the process: a successor's must stay.
func RemovePID(name string, pid int) { removePID(name, pid, func() {}) }

// removePID is RemovePID with a call after the first check, as a successor may replace the file at any time. So the file is taken
// aside before it is removed, checked once more, and put back if it is a successor's that came between.
func removePID(name string, pid int, afterCheck func()) {
	if !namesProcess(name, pid) {
		return
	}
	afterCheck()
	aside := besidePID(name, pid, "old")
	if err := os.Rename(name, aside); err != nil {
		return
	}
	if !namesProcess(aside, pid) {
		os.Link(aside, name) // fails if a still newer one is there
	}
	os.Remove(aside)
}

// namesProcess tells whether a file has the id of a process.
func namesProcess(name string, pid int) bool {
	text, err := os.ReadFile(name)
	return err == nil && strings.TrimSpace(string(text)) == strconv.Itoa(pid)
}

// besidePID names a hidden file in the folder of the PID file, of one process.
func besidePID(name string, pid int, kind string) string {
	return filepath.Join(filepath.Dir(name), fmt.Sprintf(".%s.%d.%s", filepath.Base(name), pid, kind))
}
