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

// MaxPacketBody is the length in bytes of the longest body of a packet.
const MaxPacketBody = 64 << 10

const (
	// maxFDs is the most file descriptors of one packet, fdBytes the space of one.
	maxFDs  = 8
	fdBytes = 4
	// sendTimeout is how long the other process may take to read before it counts as gone.
	sendTimeout = time.Second
)

// A Link carries the packets of a handover between two processes, over a Unix socket that keeps their bounds
// (SOCK_SEQPACKET), with file descriptors beside them (SCM_RIGHTS, unix(7)). Sends are safe for concurrent use; only
// one goroutine may receive.
type Link struct {
	conn *net.UnixConn
	mu   sync.Mutex // serialises writes and their deadlines

	buf, oob []byte // the receiver's
}

// NewLink returns a link over a connection.
func NewLink(c *net.UnixConn) *Link {
	c.SetWriteBuffer(4 * MaxPacketBody)
	return &Link{conn: c, buf: make([]byte, MaxPacketBody+1), oob: make([]byte, syscall.CmsgSpace(fdBytes*maxFDs))}
}

// DialLink connects to the old process.
func DialLink(path string) (*Link, error) {
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	return NewLink(c), nil
}

// ListenLinks opens the socket on which successors connect; only the same user may. A socket that is there already is
// replaced, also one that another process serves: the lock of the state folder has decided by then that it is this
// process's. It changes the umask of the process for a moment.
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

// Send sends a packet, with the descriptors of sockets. Those stay the caller's.
func (l *Link) Send(k PacketKind, b []byte, socks ...syscall.Conn) error {
	if len(b) > MaxPacketBody || len(socks) > maxFDs {
		return fmt.Errorf("daemon: a packet of %d bytes and %d sockets", len(b), len(socks))
	}
	return withFDs(socks, nil, func(fds []int) error { return l.write(k, b, fds) })
}

// withFDs calls f with the descriptors of sockets, which stay open until f returns: each call holds one and makes the
// next.
func withFDs(socks []syscall.Conn, fds []int, f func(fds []int) error) error {
	if len(socks) == 0 {
		return f(fds)
	}
	raw, err := socks[0].SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	err = raw.Control(func(fd uintptr) {
		inner = withFDs(socks[1:], append(fds, int(fd)), f)
	})
	if err != nil {
		return err
	}
	return inner
}

func (l *Link) write(k PacketKind, b []byte, fds []int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	var oob []byte
	if len(fds) > 0 {
		oob = syscall.UnixRights(fds...)
	}
	_, _, err := l.conn.WriteMsgUnix(append([]byte{byte(k)}, b...), oob, nil)
	return err
}

// SendState sends a state in parts, at least one.
func (l *Link) SendState(b []byte) error {
	for {
		n := min(len(b), MaxPacketBody)
		if err := l.Send(StatePart, b[:n]); err != nil {
			return err
		}
		if b = b[n:]; len(b) == 0 {
			return nil
		}
	}
}

// ErrTimeout is that no packet came in time. The other process is there, but silent.
var ErrTimeout = errors.New("daemon: the other process is silent")

// Receive returns the next packet; within 0 waits for ever. The files are the caller's to close. Its error is
// ErrTimeout, or that the link has ended.
func (l *Link) Receive(within time.Duration) (k PacketKind, b []byte, files []*os.File, err error) {
	l.conn.SetReadDeadline(time.Time{})
	if within > 0 {
		l.conn.SetReadDeadline(time.Now().Add(within))
	}
	n, oobLen, _, _, err := l.conn.ReadMsgUnix(l.buf, l.oob)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, nil, nil, ErrTimeout
	}
	if err != nil {
		return 0, nil, nil, err
	}
	if files, err = receivedFiles(l.oob[:oobLen]); err != nil {
		return 0, nil, nil, err
	}
	if n == 0 {
		return 0, nil, files, io.EOF
	}
	return PacketKind(l.buf[0]), append([]byte(nil), l.buf[1:n]...), files, nil
}

// receivedFiles returns the file descriptors of control messages. No child process inherits them.
func receivedFiles(oob []byte) (files []*os.File, err error) {
	if len(oob) == 0 {
		return nil, nil
	}
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, err
	}
	for _, m := range messages {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			return nil, err
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}

// Close ends the link.
func (l *Link) Close() error { return l.conn.Close() }
