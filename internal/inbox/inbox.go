// Package inbox reads connections. It knows when everything that has arrived on one has been read, and
// how long what has been read had waited for that.
package inbox

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"kitehub/internal/overload"
)

// ErrDrained is what beforeWait returns if the connection is to be closed. Unless something has arrived
// meanwhile, which is read then, the read closes the write side and fails with it.
var ErrDrained = errors.New("connection drained")

// An Inbox reads a connection. Only one goroutine may read.
type Inbox struct {
	conn       net.Conn
	raw        syscall.RawConn // nil: what has arrived is not known, so each read may wait
	beforeWait func() error
	lag        *overload.LagMonitor // nil: the process counts as on time

	emptyAt   time.Time     // when nothing unread was known to be there
	handshake time.Duration // for which the client may have sent before the connection was opened here
	hasWaited bool          // a read has found nothing, so emptyAt is not the opening of the connection
	arrivedAt time.Time     // when what was read last had arrived
}

// New returns an inbox. beforeWait is called when everything that has arrived has been read, before
// the inbox waits for more. If it returns an error, the read fails with it; see also ErrDrained.
func New(conn net.Conn, beforeWait func() error) *Inbox {
	now := time.Now()
	in := &Inbox{conn: conn, beforeWait: beforeWait, emptyAt: now, arrivedAt: now}
	if socket, ok := conn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			in.raw = raw
		}
	}
	if info := in.tcpInfo(); info != nil {
		in.emptyAt = now.Add(-milliseconds(info.Last_data_sent)) // since the opening if nothing was sent
		// The first round trip is long if the queue of connections to be accepted was full: the kernel
		// then drops the end of the handshake, and what the client sends after it.
		in.handshake = max(time.Duration(info.Rtt)*time.Microsecond, repeatedHandshake(info.Total_retrans))
	}
	return in
}

// repeatedHandshake returns how long a handshake took at most of which our part was sent again a number of
// times. The kernel does not measure such a round trip; it waits a second before the first time, and twice
// as long before each further one, and clients try more often.
func repeatedHandshake(times uint32) time.Duration {
	const firstWait, mostTimes = time.Second, 6
	if times == 0 {
		return 0
	}
	return firstWait * (3<<min(times, mostTimes) - 3) / 2
}

// SetLag lets the inbox know when the process is late. Of several messages that wait then, the kernel
// tells only when the last one came; all count from when the process was on time. It must be called before
// the first read.
func (in *Inbox) SetLag(lag *overload.LagMonitor) { in.lag = lag }

// OpenedAfter tells the inbox that the connection was opened after a time. It must be called before the
// first read.
func (in *Inbox) OpenedAfter(t time.Time) { in.emptyAt = later(in.emptyAt, t) }

// UnreadSince tells the inbox that what is not read has arrived after a time, as another process has read
// the connection until then. It must be called before the first read.
func (in *Inbox) UnreadSince(t time.Time) {
	in.emptyAt = t
	in.handshake = 0
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ArrivedAt returns when what was read last had arrived, as far as the system tells. What had arrived
// before the first read counts as old as the connection. Only the reading goroutine may call it.
func (in *Inbox) ArrivedAt() time.Time { return in.arrivedAt }

// tcpInfo returns what the kernel tells of the connection, or nil. Any goroutine may call it.
func (in *Inbox) tcpInfo() (info *unix.TCPInfo) {
	if in.raw == nil {
		return nil
	}
	in.raw.Control(func(fd uintptr) {
		var err error
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err != nil {
			info = nil
		}
	})
	return info
}

// milliseconds converts a time in the kernel's unit for it.
func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// PeerClosed reports whether the other side has closed the connection, also while what it has sent
// before is still unread. It returns false if the system does not tell. Any goroutine may call it.
func (in *Inbox) PeerClosed() bool { return PeerClosed(in.conn) }

// Read implements io.Reader.
func (in *Inbox) Read(b []byte) (int, error) {
	n, err := in.readArrived(b, false)
	if errors.Is(err, syscall.EAGAIN) {
		n, err = in.readNext(b)
	}
	if n > 0 {
		in.recordArrival()
	}
	return n, err
}

// readNext reads what comes after everything that had arrived has been read.
func (in *Inbox) readNext(b []byte) (int, error) {
	in.emptyAt = time.Now()
	in.hasWaited = true
	err := in.beforeWait()
	switch {
	case err == nil:
		return in.conn.Read(b)
	case !errors.Is(err, ErrDrained) || in.raw == nil:
		return 0, err
	}
	n, readErr := in.readArrived(b, true)
	if errors.Is(readErr, syscall.EAGAIN) {
		return 0, err
	}
	return n, readErr
}

// recordArrival records when what has just been read had arrived.
func (in *Inbox) recordArrival() {
	if !in.hasWaited {
		in.arrivedAt = in.emptyAt.Add(-in.handshake)
		return
	}
	now := time.Now()
	in.arrivedAt = now
	if info := in.tcpInfo(); info != nil {
		in.arrivedAt = now.Add(-milliseconds(info.Last_data_recv))
	}
	if in.lag != nil {
		in.arrivedAt = earlier(in.arrivedAt, in.lag.OnTimeUntil(now))
	}
	in.arrivedAt = later(in.arrivedAt, in.emptyAt)
}

// readArrived reads what has arrived. It returns an error that wraps EAGAIN if that is nothing, or
// is not known. If that is nothing, it may close the write side: no request can arrive in between and be
// lost, as long as the process is not stopped between two system calls.
func (in *Inbox) readArrived(b []byte, closeIfEmpty bool) (n int, err error) {
	if in.raw == nil {
		return 0, syscall.EAGAIN
	}
	controlErr := in.raw.Control(func(fd uintptr) {
		for {
			if n, err = syscall.Read(int(fd), b); !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		if closeIfEmpty && errors.Is(err, syscall.EAGAIN) {
			syscall.RawSyscall(syscall.SYS_SHUTDOWN, fd, syscall.SHUT_WR, 0) // raw: the goroutine is not rescheduled
		}
	})
	switch {
	case controlErr != nil:
		return 0, controlErr
	case err != nil:
		return 0, err
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}
