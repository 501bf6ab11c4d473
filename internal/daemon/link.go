package daemon

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// A Link carries the packets of a handover between two processes, over a Unix socket that keeps their bounds
// (SOCK_SEQPACKET), with file descriptors beside them (SCM_RIGHTS, unix(7)).
type Link struct {
	c  *net.UnixConn
	mu sync.Mutex // of writing
	// b and oob are the reader's.
	b, oob []byte
}

const (
	// PartSize is the most that one packet carries.
	PartSize = 64 << 10
	maxFDs   = 8
)

// NewLink returns a link over a connection.
func NewLink(c *net.UnixConn) *Link {
	c.SetWriteBuffer(4 * PartSize)
	return &Link{c: c, b: make([]byte, PartSize+1), oob: make([]byte, syscall.CmsgSpace(4*maxFDs))}
}

// DialLink connects to the old process.
func DialLink(path string) (*Link, error) {
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	return NewLink(c), nil
}

// ListenLinks opens the socket by which successors come; only the same user may. One that is left behind is replaced, as is
// one that is served: by then the folder's lock says that it is this process's.
func ListenLinks(path string) (*net.UnixListener, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("%s is there and is no socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	old := syscall.Umask(0o177)
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	syscall.Umask(old)
	if err == nil {
		ln.SetUnlinkOnClose(false) // it may be the successor's by then
	}
	return ln, err
}

// Send sends a packet, with the descriptors of sockets.
func (l *Link) Send(k Kind, b []byte, socks ...syscall.Conn) error {
	if len(b) > PartSize || len(socks) > maxFDs {
		return fmt.Errorf("daemon: a packet of %d bytes and %d sockets", len(b), len(socks))
	}
	var fds []int
	var with func(i int) error
	with = func(i int) error { // all descriptors stay open until the packet is out
		if i == len(socks) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.c.SetWriteDeadline(time.Now().Add(time.Second))
			var oob []byte
			if len(fds) > 0 {
				oob = syscall.UnixRights(fds...)
			}
			_, _, err := l.c.WriteMsgUnix(append([]byte{byte(k)}, b...), oob, nil)
			return err
		}
		raw, err := socks[i].SyscallConn()
		if err != nil {
			return err
		}
		var inner error
		if err := raw.Control(func(fd uintptr) { fds = append(fds, int(fd)); inner = with(i + 1) }); err != nil {
			return err
		}
		return inner
	}
	return with(0)
}

// SendAll sends a text in parts.
func (l *Link) SendAll(b []byte) error {
	for {
		n := min(len(b), PartSize)
		if err := l.Send(StatePart, b[:n]); err != nil {
			return err
		}
		if b = b[n:]; len(b) == 0 {
			return nil
		}
	}
}

// ErrTimeout is that nothing came in time.
var ErrTimeout = errors.New("daemon: the other process is silent")

// Receive returns the next packet; within 0 waits for ever. The files are the caller's to close.
func (l *Link) Receive(within time.Duration) (k Kind, b []byte, files []*os.File, err error) {
	l.c.SetReadDeadline(time.Time{})
	if within > 0 {
		l.c.SetReadDeadline(time.Now().Add(within))
	}
	n, on, _, _, err := l.c.ReadMsgUnix(l.b, l.oob)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, nil, nil, ErrTimeout
	}
	if err != nil {
		return 0, nil, nil, err
	}
	if on > 0 {
		msgs, err := syscall.ParseSocketControlMessage(l.oob[:on])
		if err != nil {
			return 0, nil, nil, err
		}
		for _, m := range msgs {
			fds, err := syscall.ParseUnixRights(&m)
			if err != nil {
				return 0, nil, nil, err
			}
			for _, fd := range fds {
				syscall.CloseOnExec(fd)
				files = append(files, os.NewFile(uintptr(fd), "handed over"))
			}
		}
	}
	if n == 0 {
		return 0, nil, files, io.EOF
	}
	return Kind(l.b[0]), append([]byte(nil), l.b[1:n]...), files, nil
}

// Close ends the link.
func (l *Link) Close() error { return l.c.Close() }
