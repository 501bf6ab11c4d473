package daemon

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// notifyTimeout is how long a supervisor that does not read may delay the process.
const notifyTimeout = 100 * time.Millisecond

// A Supervisor is notified of the state of the process by the protocol of sd_notify(3): datagrams to the socket that
// NOTIFY_SOCKET names. A nil Supervisor, or one without a socket, is notified of nothing. It is safe for concurrent
// use.
type Supervisor struct {
	addr             *net.UnixAddr // nil: there is none
	watchdogInterval time.Duration // 0: no watchdog
}

// SupervisorFromEnv returns the supervisor that the environment names. pid is the id of this process. A socket or an interval
// that cannot be read is an error.
func SupervisorFromEnv(get func(string) string, pid int) (*Supervisor, error) {
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
		s.watchdogInterval = time.Duration(n) * time.Microsecond / 2 // as sd_watchdog_enabled(3) advises
	}
	return s, nil
}

// WatchdogInterval returns how often a healthy process is to call Alive; 0: never.
func (s *Supervisor) WatchdogInterval() time.Duration {
	if s == nil {
		return 0
	}
	return s.watchdogInterval
}

// Send sends one message of variables, each "NAME=value". It waits at most 100 ms for a supervisor that does not read.
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
	c.SetWriteDeadline(time.Now().Add(notifyTimeout))
	_, err = c.Write([]byte(strings.Join(vars, "\n")))
	return err
}

// Ready says that the process serves, with a status for people to read.
func (s *Supervisor) Ready(status string) error { return s.Send("READY=1", "STATUS="+status) }

// Reloading says that the process reloads its configuration; Ready must follow. now is CLOCK_MONOTONIC, in
// microseconds.
func (s *Supervisor) Reloading(now int64) error {
	return s.Send("RELOADING=1", "MONOTONIC_USEC="+strconv.FormatInt(now, 10))
}

// Stopping says that the process shuts down.
func (s *Supervisor) Stopping() error { return s.Send("STOPPING=1") }

// Alive says to the watchdog that the process is healthy.
func (s *Supervisor) Alive() error { return s.Send("WATCHDOG=1") }

// MainPID says that another process is the service now, and serves.
func (s *Supervisor) MainPID(pid int) error {
	return s.Send("MAINPID="+strconv.Itoa(pid), "READY=1")
}
