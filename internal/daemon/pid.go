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
	tmp := filepath.Join(filepath.Dir(name), "."+filepath.Base(name)+"."+strconv.Itoa(pid))
	if err := os.WriteFile(tmp, []byte(strconv.Itoa(pid)+"\n"), 0o644); err != nil {
		return err
	}
	return os.Rename(tmp, name)
}

// RemovePID removes the file if it still names the process: a successor's must stay.
func RemovePID(name string, pid int) {
	if text, err := os.ReadFile(name); err == nil && strings.TrimSpace(string(text)) == strconv.Itoa(pid) {
		os.Remove(name)
	}
}
