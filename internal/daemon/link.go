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

// MaxPacketBody is the maximum length of a packet's body, in bytes.
const MaxPacketBody = 64 << 10

const (
	// maxFDs is the maximum number of file descriptors in one packet.
	maxFDs = 8
	// fdBytes is the size of one file descriptor in a control message.
	fdBytes = 4
	// sendTimeout is how long a send waits for the peer to read. After it the peer counts as gone.
	sendTimeout = time.Second
)

// A Link carries the packets of a handover between two processes, over a Unix socket that preserves
// packet boundaries (SOCK_SEQPACKET). File descriptors travel with the packets (SCM_RIGHTS,
// unix(7)). Sends are safe for concurrent use; only one goroutine may receive.
type Link struct {
	conn *net.UnixConn
	mu   sync.Mutex // serialises writes and their deadlines

	receiveBuf, receiveOOB []byte // used by Receive alone
}

// NewLink returns a link over a connection.
func NewLink(c *net.UnixConn) *Link {
	c.SetWriteBuffer(4 * MaxPacketBody)
	return &Link{
		conn:       c,
		receiveBuf: make([]byte, MaxPacketBody+1),
		receiveOOB: make([]byte, syscall.CmsgSpace(fdBytes*maxFDs)),
	}
}

// DialLink connects to the predecessor, which listens at path.
func DialLink(path string) (*Link, error) {
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	return NewLink(c), nil
}

// ListenLinks opens the socket to which successors connect. Only processes of the same user can
// connect. An existing socket is replaced, even if another process listens on it: this process
// holds the lock of the state folder by then, so the socket belongs to it. ListenLinks changes the
// umask of the process briefly.
func ListenLinks(path string) (*net.UnixListener, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("%s exists and is not a socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	previousMask := syscall.Umask(0o177)
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	syscall.Umask(previousMask)
	if err == nil {
		ln.SetUnlinkOnClose(false) // by then a successor may have created a new socket at the path
	}
	return ln, err
}

// Send sends a packet with duplicates of the file descriptors of sockets. The sockets remain the
// caller's to close.
func (l *Link) Send(kind PacketKind, body []byte, sockets ...syscall.Conn) error {
	if len(body) > MaxPacketBody || len(sockets) > maxFDs {
		return fmt.Errorf("daemon: packet %c with %d bytes and %d sockets exceeds the limit of %d bytes or %d sockets",
			kind, len(body), len(sockets), MaxPacketBody, maxFDs)
	}
	return withFDs(sockets, nil, func(fds []int) error { return l.write(kind, body, fds) })
}

// withFDs calls f with the file descriptors of sockets. Each level of the recursion keeps one
// descriptor open until f returns.
func withFDs(sockets []syscall.Conn, fds []int, f func(fds []int) error) error {
	if len(sockets) == 0 {
		return f(fds)
	}
	raw, err := sockets[0].SyscallConn()
	if err != nil {
		return err
	}
	var errInner error
	err = raw.Control(func(fd uintptr) {
		errInner = withFDs(sockets[1:], append(fds, int(fd)), f)
	})
	if err != nil {
		return err
	}
	return errInner
}

func (l *Link) write(kind PacketKind, body []byte, fds []int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	var oob []byte
	if len(fds) > 0 {
		oob = syscall.UnixRights(fds...)
	}
	_, _, err := l.conn.WriteMsgUnix(append([]byte{byte(kind)}, body...), oob, nil)
	return err
}

// SendState sends the state in one or more StatePart packets. An empty state is sent as one part.
func (l *Link) SendState(state []byte) error {
	for {
		n := min(len(state), MaxPacketBody)
		if err := l.Send(StatePart, state[:n]); err != nil {
			return err
		}
		if state = state[n:]; len(state) == 0 {
			return nil
		}
	}
}

// ErrTimeout is returned by Receive if no packet arrives in time. The link is still open.
var ErrTimeout = errors.New("daemon: timeout while waiting for a packet of the peer process")

// Receive returns the next packet. It waits for at most timeout, or without a limit if timeout is
// 0. The caller must close the files. On a timeout it returns ErrTimeout; any other error means
// that the link has ended.
func (l *Link) Receive(timeout time.Duration) (kind PacketKind, body []byte, files []*os.File, err error) {
	l.conn.SetReadDeadline(time.Time{})
	if timeout > 0 {
		l.conn.SetReadDeadline(time.Now().Add(timeout))
	}
	n, oobLen, _, _, err := l.conn.ReadMsgUnix(l.receiveBuf, l.receiveOOB)
	if errors.Is(err, syscall.ECONNRESET) {
		// The peer closed the link with a packet of this process unread. The kernel reports that
		// once, before the peer's packets that are still in the queue.
		n, oobLen, _, _, err = l.conn.ReadMsgUnix(l.receiveBuf, l.receiveOOB)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, nil, nil, ErrTimeout
	}
	if err != nil {
		return 0, nil, nil, err
	}
	if files, err = receivedFiles(l.receiveOOB[:oobLen]); err != nil {
		return 0, nil, nil, err
	}
	if n == 0 {
		return 0, nil, files, io.EOF
	}
	return PacketKind(l.receiveBuf[0]), append([]byte(nil), l.receiveBuf[1:n]...), files, nil
}

// receivedFiles returns the file descriptors in control messages. They are set to close on exec, so
// that no child process inherits them.
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

// Close closes the link.
func (l *Link) Close() error { return l.conn.Close() }
