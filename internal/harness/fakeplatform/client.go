package fakeplatform

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Pack encodes any value as MessagePack. It panics if the value cannot be encoded, which is a fault
// of the test.
func Pack(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Request encodes a request.
func Request(id any, method string, params ...any) []byte {
	if params == nil {
		params = []any{}
	}
	return Pack([]any{0, id, method, params})
}

// CancelNotification encodes the notification that cancels requests.
func CancelNotification(ids ...any) []byte { return Pack([]any{2, "withdraw", ids}) }

// Fields returns the fields of a valid request, changed by pairs of a name and a value; the value
// "" removes the field.
func Fields(pairs ...string) map[string]string {
	fields := map[string]string{"txn": "9b1f03aa5c7e2d41", "limit": "1500", "team": "acme", "unique": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
		"item": "7f3a9c21e0b4d655", "attrs": "memory_mb:512;lanes:2;load_ms:640"}
	for i := 0; i < len(pairs); i += 2 {
		if fields[pairs[i]] = pairs[i+1]; pairs[i+1] == "" {
			delete(fields, pairs[i])
		}
	}
	return fields
}

// RequestID returns the id of the request with a number.
func RequestID(i int) string { return fmt.Sprintf("%016x", i) }

// A Client is a client with one connection.
type Client struct {
	net.Conn
	dec *msgpack.Decoder
}

// Dial connects to a server. All reads and writes of the connection fail after the timeout, so that
// a test does not hang; 0 is no timeout.
func Dial(addr string, timeout time.Duration) (*Client, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	if timeout > 0 {
		c.SetDeadline(time.Now().Add(timeout))
	}
	return &Client{c, msgpack.NewDecoder(c)}, nil
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// What Answer returns if the server sends no answer.
const (
	Closed   = "closed"
	TimedOut = "neither an answer nor a close"
)

// Answer reads one answer. It returns the request's number with "served BODY", "ready BOOL" or the
// name of the error, and -1 with the reason if there is no answer.
func (c *Client) Answer() (id int64, text string) {
	var message []any
	if err := c.dec.Decode(&message); err != nil {
		if isTimeout(err) {
			return -1, TimedOut
		}
		return -1, Closed
	}
	if len(message) != 4 {
		return -1, fmt.Sprintf("%v, which is not an answer", message)
	}
	fmt.Sscan(fmt.Sprint(message[1]), &id)
	if failure, ok := message[2].([]any); ok && len(failure) == 2 {
		return id, fmt.Sprint(failure[0])
	}
	if result, ok := message[3].([]any); ok && len(result) == 2 {
		if ready, ok := result[0].(bool); ok {
			return id, fmt.Sprintf("ready %v", ready)
		}
		return id, fmt.Sprintf("served %s", result[0])
	}
	return id, fmt.Sprintf("%v, which is not an answer", message)
}
