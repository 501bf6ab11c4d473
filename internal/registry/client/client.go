// Package client sends signed requests to a registry over HTTP/1.1, on behalf of operators and
// controllers. It accepts only responses that are signed for their request, so an impostor of the
// registry can withhold responses but not forge them.
package client

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"kitehub/internal/http1"
	"kitehub/internal/signing"
)

// A Client has one connection, which it opens on demand. Its fields must be set before the first
// request. It is safe for concurrent use; requests are sent one at a time.
type Client struct {
	Server string       // host:port
	Name   string       // sent in the User-Agent, for the server's log
	Key    *signing.Key // signs requests and verifies responses
	// Dial opens connections. If it is nil, net.Dialer does.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	Wall func() time.Time // wall clock for the timestamps of requests

	requestMu sync.Mutex    // held for the duration of a request
	reader    *bufio.Reader // of conn; guarded by requestMu

	connMu sync.Mutex // guards the fields below, so that Close can interrupt a request
	conn   net.Conn   // nil if no connection is open; replaced only while requestMu is also held
	closed bool
}

// A StatusError is a signed response with a status other than 200 and 202, or a response with
// status 401, signed or not.
type StatusError struct {
	Status int    // HTTP status
	Type   string // of the problem, "urn:kitehub:registry:..."
	Detail string // of the problem
}

// Error returns the status and the detail of the problem.
func (e *StatusError) Error() string { return fmt.Sprintf("registry: %d: %s", e.Status, e.Detail) }

// ErrUnsigned is returned for a response that is not signed for its request. Such a response says
// nothing about the registry.
var ErrUnsigned = errors.New("registry: the response is not signed for the request")

// NewID returns a random ID for a message. The ID begins with kind.
func NewID(kind string) string { return kind + "_" + rand.Text() }

var limits = http1.Limits{MaxBodyBytes: 64 << 20, MaxHeaderBytes: 16 << 10}.WithDefaults()

// Do sends a request under an ID and returns the body of its response. newConnection reports
// whether a connection was opened for the request.
//
// A *StatusError is a response of the registry. After any other error, such as ErrUnsigned or that
// of a connection, it is unknown whether the registry received the request; the connection is
// closed in that case.
func (c *Client) Do(path, id string, header http1.Header, body []byte, timeout time.Duration) (
	response []byte, newConnection bool, err error) {
	c.requestMu.Lock()
	defer c.requestMu.Unlock()
	req, err := c.newRequest(path, id, header, body)
	if err != nil {
		return nil, false, err
	}
	deadline := time.Now().Add(timeout)
	newConnection, err = c.open(deadline)
	if err != nil {
		return nil, newConnection, err
	}
	resp, err := c.exchange(req, deadline)
	if err != nil {
		c.closeConn()
		return nil, newConnection, err
	}
	if resp.Close {
		c.closeConn()
	}
	if err := c.verify(resp, id); err != nil {
		c.closeConn()
		return nil, newConnection, err
	}
	if resp.Status != 200 && resp.Status != 202 {
		return nil, newConnection, statusError(resp)
	}
	return resp.Body, newConnection, nil
}

// newRequest returns a signed request.
func (c *Client) newRequest(path, id string, header http1.Header, body []byte) (*http1.Request, error) {
	m := signing.Message{ID: id, Timestamp: strconv.FormatInt(c.Wall().Unix(), 10), Body: body}
	signature, err := c.Key.Sign(m)
	if err != nil {
		return nil, err
	}
	all := http1.Header{
		{Name: "Host", Value: c.Server},
		{Name: "User-Agent", Value: "kitehub/" + c.Name},
		{Name: "Content-Type", Value: "application/json"},
		{Name: "webhook-id", Value: id},
		{Name: "webhook-timestamp", Value: m.Timestamp},
		{Name: "webhook-signature", Value: signature},
	}
	return &http1.Request{Method: "POST", Target: path, Body: body, Header: append(all, header...)}, nil
}

// exchange sends a request on the open connection and reads the response.
func (c *Client) exchange(req *http1.Request, deadline time.Time) (*http1.Response, error) {
	c.conn.SetDeadline(deadline) // after an error the write fails at once
	if _, err := c.conn.Write(http1.AppendRequest(nil, req)); err != nil {
		return nil, err
	}
	return http1.ReadResponse(c.reader, &limits, "POST")
}

// verify checks that a response is signed for the request with an ID.
func (c *Client) verify(resp *http1.Response, id string) error {
	m := signing.Message{
		ID:        resp.Header.Get("webhook-id"),
		Timestamp: resp.Header.Get("webhook-timestamp"),
		Body:      resp.Body,
	}
	signedForRequest := m.ID == signing.AnswerID(strconv.Itoa(resp.Status), id)
	if signedForRequest && c.Key.Verify(m, resp.Header.Get("webhook-signature")) {
		return nil
	}
	if resp.Status == 401 { // the registry did not know with which key to sign
		return &StatusError{Status: 401, Type: "forged", Detail: "the registry rejected the signature: the key is wrong or the clocks differ too much"}
	}
	return ErrUnsigned
}

// statusError returns the error for a signed response whose body is a problem.
func statusError(resp *http1.Response) error {
	var p struct{ Type, Detail string }
	json.Unmarshal(resp.Body, &p) // a body of another form leaves Type and Detail empty
	return &StatusError{Status: resp.Status, Type: p.Type, Detail: p.Detail}
}

// open opens a connection if none is open. The caller holds requestMu.
func (c *Client) open(deadline time.Time) (opened bool, err error) {
	if c.conn != nil {
		return false, nil
	}
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	conn, err := dial(ctx, "tcp", c.Server)
	if err != nil {
		return true, err
	}
	c.connMu.Lock()
	defer c.connMu.Unlock()
	if c.closed {
		conn.Close()
		return true, net.ErrClosed
	}
	c.conn = conn
	c.reader = bufio.NewReaderSize(conn, http1.ReadBufferSize)
	return true, nil
}

// closeConn closes the connection; the next request opens a new one. The caller holds requestMu.
func (c *Client) closeConn() {
	c.connMu.Lock()
	defer c.connMu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Close closes the connection, which interrupts a request in progress. No other connection is
// opened afterwards.
func (c *Client) Close() {
	c.connMu.Lock()
	defer c.connMu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.Close()
	}
}
