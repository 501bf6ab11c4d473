package fakeplatform

import (
	"bytes"
	"fmt"
	"io"
	"time"
)

// A HostileClient is a kind of misbehaving client: what it sends, at full speed, on a connection
// that it does not close.
type HostileClient struct {
	Name           string
	Bytes          []byte
	Repeat         bool // Bytes is sent repeatedly
	CloseAfterSend bool // the connection is closed right after sending
}

// HostileClients returns the kinds of hostile clients that the platform's documentation lists.
func HostileClients() []HostileClient {
	repeat := func(n int, message func(i int) []byte) (b []byte) {
		for i := range n {
			b = append(b, message(i)...)
		}
		return b
	}
	invalid := func(pairs ...string) func(int) []byte {
		return func(i int) []byte { return Request(i, "lookup", Fields(pairs...), []byte("x")) }
	}
	valid := func(i int) []byte { return Request(i, "lookup", Fields("txn", RequestID(1<<20+i)), []byte("x")) }
	head := Request(1, "lookup", Fields(), []byte{})
	head = head[:len(head)-2] // without its empty body
	body := func(length ...byte) []byte { return append(append(bytes.Clone(head), 0xc6), length...) }
	return []HostileClient{
		{Name: "noise", Bytes: bytes.Repeat([]byte{0xc1, 0x00, 0xff, 0x93}, 1000)},
		{Name: "another protocol", Bytes: []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")},
		{Name: "a message without end", Bytes: append([]byte{0x94, 0, 1, 0xa4, 'c', 'a', 'l', 'l', 0x91, 0xdc, 0xff, 0xff}, bytes.Repeat([]byte{0x01}, 1<<20)...)},
		{Name: "a body of 60 MB", Bytes: append(body(3, 0x93, 0x87, 0), make([]byte, 60<<20)...)},
		{Name: "a body of 4 GB by its head", Bytes: body(0xff, 0xff, 0xff, 0xff)},
		{Name: "a body shorter than its head", Bytes: append(body(0, 0, 0x10, 0), "short"...)},
		{Name: "a negative number", Bytes: Request(-1, "lookup", Fields(), []byte("x"))},
		{Name: "unknown classes", Bytes: Request(1, "nonesuch", Fields(), []byte("x")), Repeat: true},
		{Name: "unknown tenants", Bytes: invalid("team", "nobody")(1), Repeat: true},
		{Name: "numbers out of range", Bytes: invalid("attrs", "memory_mb:1e300")(1), Repeat: true},
		{Name: "values that are not numbers", Bytes: invalid("limit", "soon")(1), Repeat: true},
		{Name: "no id", Bytes: invalid("txn", "")(1), Repeat: true},
		{Name: "two requests under one number", Bytes: append(valid(1), Request(1, "lookup", Fields("txn", RequestID(2)), []byte("y"))...), Repeat: true},
		{Name: "the id of an open request", Bytes: repeat(200, invalid()), Repeat: true},
		{Name: "cancelled at once", Bytes: append(repeat(300, func(i int) []byte { return append(valid(i), CancelNotification(i)...) }), 0xc1)},
		{Name: "hundreds at once", Bytes: append(repeat(300, valid), 0xc1)},
		{Name: "half a request", Bytes: head[:40]},
		{Name: "half a request and a close", Bytes: head[:40], CloseAfterSend: true},
		{Name: "nothing"},
	}
}

// Run connects once and sends. It returns when the connection is closed, and an error if the server
// does not close it within the timeout.
func (h HostileClient) Run(addr string, timeout time.Duration) error {
	c, err := Dial(addr, timeout)
	if err != nil {
		return nil // a rejected connection counts as closed
	}
	defer c.Close()
	go func() {
		for {
			if _, err := c.Write(h.Bytes); err != nil || !h.Repeat {
				return
			}
		}
	}()
	if h.CloseAfterSend {
		return nil
	}
	if _, err := io.Copy(io.Discard, c); isTimeout(err) {
		return fmt.Errorf("%s: %s", h.Name, TimedOut)
	}
	return nil
}
