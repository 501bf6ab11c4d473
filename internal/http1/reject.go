package http1

import (
	"net"
	"syscall"
	"time"
)

// reject answers 503 to a connection that there is no room for, and closes it. It does not block: it runs where
// connections are accepted.
func reject(socket net.Conn) {
	resp := &Response{Status: 503, Header: Header{{"Retry-After", "1"}}, Close: true}
	writeAtOnce(socket, AppendResponse(nil, resp, false))
	socket.Close()
}

const rejectTimeout = 5 * time.Millisecond // for a write to what is no socket

// writeAtOnce writes as much as the kernel takes without blocking; for a new connection that is a short answer. It
// sets no deadline, which on a busy machine may be over before the write begins, so that nothing is written at all.
func writeAtOnce(socket net.Conn, b []byte) {
	withDescriptor, ok := socket.(syscall.Conn)
	if !ok {
		socket.SetWriteDeadline(time.Now().Add(rejectTimeout))
		socket.Write(b)
		return
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return
	}
	raw.Write(func(fd uintptr) bool {
		syscall.Write(int(fd), b)
		return true // one attempt
	})
}
