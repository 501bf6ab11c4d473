package jsonrpc

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// A process that stands still between the permission to write and the write must not write once the
// permission has ended: an answer of a version whose migration was acknowledged meanwhile went out.
func TestStopAfterRenderExtendsNothing(t *testing.T) {
	const permitted = 20 * time.Millisecond
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	go theirs.Read(make([]byte, 16))
	c := &conn{server: &Server{cfg: Config{WriteTimeout: time.Minute}}, socket: ours}
	done := false
	err := c.writeOne(response{render: func() ([]byte, time.Duration, func()) {
		time.Sleep(permitted) // as if the process were stopped after the check
		return []byte("answer"), permitted, func() { done = true }
	}})
	if !errors.Is(err, os.ErrDeadlineExceeded) || !done {
		t.Errorf("%v, done %v, want the deadline exceeded and the end reported", err, done)
	}
}
