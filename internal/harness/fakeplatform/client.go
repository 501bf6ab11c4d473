package fakeplatform

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Pack writes any value as MessagePack. It is for scripts: what cannot be written is a fault of theirs.
func Pack(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Request writes a request.
func Request(id any, method string, params ...any) []byte {
	if params == nil {
		params = []any{}
	}
	return Pack([]any{0, id, method, params})
}

// CancelNotification writes the notification that takes requests back.
func CancelNotification(ids ...any) []byte { return Pack([]any{2, "withdraw", ids}) }

// Fields returns those of a good request, with pairs of them changed; "" takes one away.
func Fields(pairs ...string) map[string]string {
	m := map[string]string{"txn": "9b1f03aa5c7e2d41", "limit": "1500", "team": "acme", "unique": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
		"item": "7f3a9c21e0b4d655", "attrs": "memory_mb:512;lanes:2;load_ms:640"}
	for i := 0; i < len(pairs); i += 2 {
		if m[pairs[i]] = pairs[i+1]; pairs[i+1] == "" {
			delete(m, pairs[i])
		}
	}
	return m
}

// RequestID returns the id of a request by its number.
func RequestID(i int) string { return fmt.Sprintf("%016x", i) }

// A Client is one connection of a client.
type Client struct {
	net.Conn
	dec *msgpack.Decoder
}

// Dial connects. All that it reads and writes must be done within the time: a rig that waits in vain ends.
func Dial(addr string, within time.Duration) (*Client, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	if within > 0 {
		c.SetDeadline(time.Now().Add(within))
	}
	return &Client{c, msgpack.NewDecoder(c)}, nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Words by which Answer tells what is no answer.
const (
	Closed   = "closed"
	TimedOut = "neither an answer nor a close"
)

// Answer reads one answer and tells the request's number with "served BODY" or the error's word, or why there is none.
func (c *Client) Answer() (id int64, what string) {
	var v []any
	if err := c.dec.Decode(&v); err != nil {
		if isTimeout(err) {
			return -1, TimedOut
		}
		return -1, Closed
	}
	if len(v) != 4 {
		return -1, fmt.Sprintf("%v, which is no answer", v)
	}
	fmt.Sscan(fmt.Sprint(v[1]), &id)
	if e, ok := v[2].([]any); ok && len(e) == 2 {
		return id, fmt.Sprint(e[0])
	}
	if a, ok := v[3].([]any); ok && len(a) == 2 {
		if ready, ok := a[0].(bool); ok {
			return id, fmt.Sprintf("ready %v", ready)
		}
		return id, fmt.Sprintf("served %s", a[0])
	}
	return id, fmt.Sprintf("%v, which is no answer", v)
}
