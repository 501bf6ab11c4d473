package inbox

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// NoneWaits reports whether no connection waits to be accepted. It returns false if the system does not
// tell.
func NoneWaits(listener net.Listener) bool {
	occurred, known := pollNow(listener, unix.POLLIN)
	return known && occurred == 0
}

// PeerClosed reports whether the other side of a connection has closed it or its write side, also while
// what it has sent before is still unread. It returns false if the system does not tell.
func PeerClosed(conn net.Conn) bool {
	occurred, known := pollNow(conn, unix.POLLRDHUP)
	return known && occurred != 0
}

// pollNow returns which of some events have occurred on a socket, without waiting, and whether the system
// tells.
func pollNow(socket any, events int16) (occurred int16, known bool) {
	descriptor, ok := socket.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return 0, false
	}
	raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: events}}
		_, err := unix.Poll(poll, 0)
		occurred = poll[0].Revents
		known = err == nil
	})
	return occurred, known
}
