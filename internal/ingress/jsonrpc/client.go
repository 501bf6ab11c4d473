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

// A Client asks one thing after the other over one connection. It is not safe for concurrent use.
type Client struct {
	nc   net.Conn
	br   *bufio.Reader
	last int
	// Notice, where set, is given what the server sends unasked.
	Notice func(method string, params json.RawMessage)
}

// Dial connects to a socket.
func Dial(path string, within time.Duration) (*Client, error) {
	nc, err := net.DialTimeout("unix", path, within)
	if err != nil {
		return nil, err
	}
	return &Client{nc: nc, br: bufio.NewReaderSize(nc, 64<<10)}, nil
}

// Close ends the connection.
func (c *Client) Close() error { return c.nc.Close() }

// Do asks and decodes the result. An error of the server is an *Error.
func (c *Client) Do(method string, params, result any, within time.Duration) error {
	c.last++
	text, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": c.last, "method": method, "params": params})
	if err != nil {
		return err
	}
	c.nc.SetDeadline(time.Now().Add(within))
	if _, err := c.nc.Write(append(text, '\n')); err != nil {
		return err
	}
	for {
		line, err := c.br.ReadBytes('\n')
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
			if c.Notice != nil {
				c.Notice(m.Method, m.Params)
			}
		case m.Error != nil:
			return m.Error
		case m.ID != nil && *m.ID == c.last:
			if result == nil {
				return nil
			}
			return json.Unmarshal(m.Result, result)
		}
	}
}

// Listen hands on what the server sends unasked, until the time is up (0: until the connection ends).
func (c *Client) Listen(within time.Duration) error {
	c.nc.SetDeadline(time.Time{})
	if within > 0 {
		c.nc.SetDeadline(time.Now().Add(within))
	}
	for {
		line, err := c.br.ReadBytes('\n')
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
		if m.Method != "" && c.Notice != nil {
			c.Notice(m.Method, m.Params)
		}
	}
}
