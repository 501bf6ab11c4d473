package jsonrpc

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// Listen listens on a Unix socket with the given file mode. It replaces a socket file that an
// earlier process left behind, and returns an error if a process still accepts connections on it.
func Listen(path string, mode os.FileMode) (*net.UnixListener, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("%s exists and is not a socket", path)
		}
		if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
			c.Close()
			return nil, fmt.Errorf("%s is in use", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	old := syscall.Umask(0o177) // no other user may connect before the mode is set
	ln, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, mode); err != nil {
		ln.Close()
		return nil, err
	}
	return ln.(*net.UnixListener), nil
}

// peerUser returns the configured user whose user ID the client's process had when it connected, as
// recorded by the kernel.
func (s *Server) peerUser(conn net.Conn) (User, error) {
	socket, ok := conn.(*net.UnixConn)
	if !ok {
		return User{}, errors.New("not a Unix socket")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return User{}, err
	}
	var cred *syscall.Ucred
	var credErr error
	if err := raw.Control(func(fd uintptr) {
		cred, credErr = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil {
		return User{}, err
	}
	if credErr != nil {
		return User{}, credErr
	}
	for _, u := range s.cfg.Users {
		if u.UID == cred.Uid {
			return u, nil
		}
	}
	return User{}, fmt.Errorf("user %d (process %d) is not among rpc.users", cred.Uid, cred.Pid)
}
