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

// WritePID atomically writes the id of a process to a file. It returns an error if the file names
// another running process.
func WritePID(name string, pid int) error {
	if text, err := os.ReadFile(name); err == nil {
		old, err := strconv.Atoi(strings.TrimSpace(string(text)))
		if err == nil && old != pid && old > 0 && syscall.Kill(old, 0) != syscall.ESRCH {
			return fmt.Errorf("pid file %s: process %d is running", name, old)
		}
	} else if !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return ReplacePID(name, pid)
}

// CheckPIDFile checks that ReplacePID can write a file. A process that takes over calls it before
// its predecessor has given up anything.
func CheckPIDFile(name string, pid int) error {
	temporary := hiddenPIDFile(name, pid, "new")
	if err := os.WriteFile(temporary, nil, 0o644); err != nil {
		return err
	}
	return os.Remove(temporary)
}

// ReplacePID atomically writes the id of a process to a file, regardless of the process that the
// file names. A successor calls it after it has taken over.
func ReplacePID(name string, pid int) error {
	temporary := hiddenPIDFile(name, pid, "new")
	if err := os.WriteFile(temporary, []byte(strconv.Itoa(pid)+"\n"), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, name)
}

// RemovePID removes the file if it still names the process. The file of a successor is kept.
func RemovePID(name string, pid int) { removePID(name, pid, func() {}) }

// removePID implements RemovePID. A successor can replace the file at any time, so removePID
// renames the file, checks it again under the new name, and restores it if it is a successor's.
// Tests use afterCheck, which is called between the first check and the rename.
func removePID(name string, pid int, afterCheck func()) {
	if !namesProcess(name, pid) {
		return
	}
	afterCheck()
	renamed := hiddenPIDFile(name, pid, "old")
	if err := os.Rename(name, renamed); err != nil {
		return
	}
	if !namesProcess(renamed, pid) {
		os.Link(renamed, name) // fails if an even newer file exists
	}
	os.Remove(renamed)
}

// namesProcess reports whether a file contains the id of a process.
func namesProcess(name string, pid int) bool {
	text, err := os.ReadFile(name)
	return err == nil && strings.TrimSpace(string(text)) == strconv.Itoa(pid)
}

// hiddenPIDFile returns the path of a process's own hidden file in the folder of the PID file.
func hiddenPIDFile(name string, pid int, suffix string) string {
	return filepath.Join(filepath.Dir(name), fmt.Sprintf(".%s.%d.%s", filepath.Base(name), pid, suffix))
}
