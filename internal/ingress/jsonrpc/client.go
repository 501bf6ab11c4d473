package jsonrpc

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// A Client sends requests over one connection, one at a time. It is not safe for concurrent use.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
	lastID int
	// OnNotification, if set, is called with each notification from the server, on the goroutine
	// that calls Do or Listen.
	OnNotification func(method string, params json.RawMessage)
}

const clientReadBuffer = 64 << 10 // bytes

// Dial connects to the Unix socket of a server.
func Dial(path string, timeout time.Duration) (*Client, error) {
	conn, err := net.DialTimeout("unix", path, timeout)
	if err != nil {
		return nil, err
	}
	return &Client{conn: conn, reader: bufio.NewReaderSize(conn, clientReadBuffer)}, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Do sends a request, waits for the response and decodes its result into result, unless that is
// nil. An error response is returned as an *Error.
func (c *Client) Do(method string, params, result any, timeout time.Duration) error {
	c.lastID++
	text, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": c.lastID, "method": method, "params": params})
	if err != nil {
		return err
	}
	c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := c.conn.Write(append(text, '\n')); err != nil {
		return err
	}
	for {
		line, err := c.reader.ReadBytes('\n')
		if err != nil {
			return err
		}
		var m struct {
			ID     *int            `json:"id"`
			Method string          `json:"method"`
			Params json.RawMessage `json:"params"`
			Result json.RawMessage `json:"result"`
			Error  *Error          `json:"error"`
		}
		if err := json.Unmarshal(line, &m); err != nil {
			return fmt.Errorf("jsonrpc: %w", err)
		}
		switch {
		case m.Method != "":
			if c.OnNotification != nil {
				c.OnNotification(m.Method, m.Params)
			}
		case m.Error != nil:
			return m.Error
		case m.ID != nil && *m.ID == c.lastID:
			if result == nil {
				return nil
			}
			return json.Unmarshal(m.Result, result)
		}
	}
}

// Listen reads notifications until the timeout, and then returns nil. A timeout of 0 means that it
// reads until the connection ends.
func (c *Client) Listen(timeout time.Duration) error {
	c.conn.SetDeadline(time.Time{})
	if timeout > 0 {
		c.conn.SetDeadline(time.Now().Add(timeout))
	}
	for {
		line, err := c.reader.ReadBytes('\n')
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		} else if err != nil {
			return err
		}
		var m struct {
			Method string          `json:"method"`
			Params json.RawMessage `json:"params"`
		}
		if err := json.Unmarshal(line, &m); err != nil {
			return fmt.Errorf("jsonrpc: %w", err)
		}
		if m.Method != "" && c.OnNotification != nil {
			c.OnNotification(m.Method, m.Params)
		}
	}
}
