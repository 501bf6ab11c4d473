package http1

import (
	"net"
	"syscall"
	"time"
)

// rejectConn answers 503 to a connection that is not to be served, and closes it. It must not
// block, because it runs on the accept loop.
func rejectConn(socket net.Conn) {
	resp := &Response{Status: 503, Header: Header{{"Retry-After", "1"}}, Close: true}
	writeNonblocking(socket, AppendResponse(nil, resp, false))
	socket.Close()
}

const rejectWriteTimeout = 5 * time.Millisecond // for connections that are not sockets

// writeNonblocking writes as much as the kernel accepts without blocking, which on a new connection
// is enough for a short response. It does not use a write deadline: on a busy machine the deadline
// can expire before the write begins, and then nothing is written.
func writeNonblocking(socket net.Conn, b []byte) {
	syscallConn, ok := socket.(syscall.Conn)
	if !ok {
		socket.SetWriteDeadline(time.Now().Add(rejectWriteTimeout))
		socket.Write(b)
		return
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return
	}
	raw.Write(func(fd uintptr) bool {
		syscall.Write(int(fd), b)
		return true // do not wait for writability
	})
}
