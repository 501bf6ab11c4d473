package daemon

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// notifyTimeout bounds how long a supervisor that does not read its socket delays the process.
const notifyTimeout = 100 * time.Millisecond

// A Supervisor is notified of the state of the process with the protocol of sd_notify(3): datagrams
// to the socket that NOTIFY_SOCKET names. A nil Supervisor, or one without a socket, sends nothing.
// A Supervisor is safe for concurrent use.
type Supervisor struct {
	addr             *net.UnixAddr // nil: no supervisor
	watchdogInterval time.Duration // 0: no watchdog
}

// SupervisorFromEnv returns the supervisor that the environment variables describe. pid is the id
// of this process. It returns an error if the socket's name or the watchdog interval is invalid.
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
			return nil, fmt.Errorf("WATCHDOG_USEC: %q is not a positive number of microseconds", us)
		}
		// sd_watchdog_enabled(3) recommends half of the timeout.
		s.watchdogInterval = time.Duration(n) * time.Microsecond / 2
	}
	return s, nil
}

// WatchdogInterval returns the interval at which a healthy process calls Alive; 0 without a
// watchdog.
func (s *Supervisor) WatchdogInterval() time.Duration {
	if s == nil {
		return 0
	}
	return s.watchdogInterval
}

// Send sends one message of variables, each as "NAME=value". It waits at most 100 ms if the
// supervisor does not read its socket.
func (s *Supervisor) Send(vars ...string) error {
	if s == nil || s.addr == nil {
		return nil
	}
	for _, v := range vars {
		if strings.ContainsRune(v, '\n') {
			return fmt.Errorf("daemon: notification variable %q contains a line break", v)
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

// Ready notifies the supervisor that the process serves. status is a text for operators.
func (s *Supervisor) Ready(status string) error { return s.Send("READY=1", "STATUS="+status) }

// Reloading notifies the supervisor that the process reloads its configuration. A call of Ready
// must follow. now is the time of CLOCK_MONOTONIC in microseconds.
func (s *Supervisor) Reloading(now int64) error {
	return s.Send("RELOADING=1", "MONOTONIC_USEC="+strconv.FormatInt(now, 10))
}

// Stopping notifies the supervisor that the process shuts down.
func (s *Supervisor) Stopping() error { return s.Send("STOPPING=1") }

// Alive resets the supervisor's watchdog.
func (s *Supervisor) Alive() error { return s.Send("WATCHDOG=1") }

// MainPID notifies the supervisor that the process pid is now the main process of the service, and
// serves.
func (s *Supervisor) MainPID(pid int) error {
	return s.Send("MAINPID="+strconv.Itoa(pid), "READY=1")
}
