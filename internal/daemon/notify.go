// Package daemon is what a long-lived process needs of the system around it: words to its supervisor, a file with its number,
// protection against a crash loop, and the handing over of sockets to a successor.
package daemon

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// A Supervisor is told how the process is, by the protocol of sd_notify(3): datagrams to the socket that NOTIFY_SOCKET names.
// A nil one, or one without a socket, is told nothing.
type Supervisor struct {
	addr  *net.UnixAddr
	every time.Duration
}

// FromEnv returns the supervisor that the environment names. pid is this process's number.
func FromEnv(get func(string) string, pid int) (*Supervisor, error) {
	name := get("NOTIFY_SOCKET")
	if name == "" {
		return &Supervisor{}, nil
	}
	if name[0] != '/' && name[0] != '@' {
		return nil, fmt.Errorf("NOTIFY_SOCKET: %q is neither a path nor an abstract socket", name)
	}
	if name[0] == '@' {
		name = "\x00" + name[1:]
	}
	s := &Supervisor{addr: &net.UnixAddr{Name: name, Net: "unixgram"}}
	if us := get("WATCHDOG_USEC"); us != "" && (get("WATCHDOG_PID") == "" || get("WATCHDOG_PID") == strconv.Itoa(pid)) {
		n, err := strconv.ParseInt(us, 10, 64)
		if err != nil || n <= 0 {
			return nil, fmt.Errorf("WATCHDOG_USEC: %q is no time", us)
		}
		s.every = time.Duration(n) * time.Microsecond / 2 // as sd_watchdog_enabled(3) advises
	}
	return s, nil
}

// WatchdogInterval returns how often the supervisor wants to hear of a healthy process; 0: never.
func (s *Supervisor) WatchdogInterval() time.Duration {
	if s == nil {
		return 0
	}
	return s.every
}

// Send sends one message of variables. A supervisor that does not listen must not hold the process up.
func (s *Supervisor) Send(vars ...string) error {
	if s == nil || s.addr == nil {
		return nil
	}
	for _, v := range vars {
		if strings.ContainsRune(v, '\n') {
			return fmt.Errorf("daemon: a line break in %q", v)
		}
	}
	c, err := net.DialUnix("unixgram", nil, s.addr)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	_, err = c.Write([]byte(strings.Join(vars, "\n")))
	return err
}

// Ready, Reloading, Stopping and Alive are the messages of the protocol.
func (s *Supervisor) Ready(status string) error { return s.Send("READY=1", "STATUS="+status) }

// Reloading is followed by Ready. now is CLOCK_MONOTONIC, in microseconds.
func (s *Supervisor) Reloading(now int64) error {
	return s.Send("RELOADING=1", "MONOTONIC_USEC="+strconv.FormatInt(now, 10))
}

// Stopping says that the process ends by itself.
func (s *Supervisor) Stopping() error { return s.Send("STOPPING=1") }

// Alive answers the watchdog.
func (s *Supervisor) Alive() error { return s.Send("WATCHDOG=1") }

// MainPID says that another process is the service now, and ready.
func (s *Supervisor) MainPID(pid int) error {
	return s.Send("MAINPID="+strconv.Itoa(pid), "READY=1")
}

// WritePID writes a process's number to a file, whole or not at all. One that names another living process is an error.
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

// RemovePID removes the file if it still names the process.
func RemovePID(name string, pid int) {
	if text, err := os.ReadFile(name); err == nil && strings.TrimSpace(string(text)) == strconv.Itoa(pid) {
		os.Remove(name)
	}
}
