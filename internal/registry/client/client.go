// Package client speaks to a registry over HTTP/1.1 with signed messages, and takes only answers that are signed for the
// question that was asked.
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
	"kitehub/internal/registry/wire"
	"kitehub/internal/signing"
)

// A Client has one connection, opened when it is needed. It is safe for concurrent use; questions wait for one another.
type Client struct {
	Server string // host:port
	Name   string // for the log of the server
	Key    *signing.Key
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	Wall   func() time.Time

	requestMu sync.Mutex
	connMu    sync.Mutex // guards conn for Close
	conn      net.Conn
	reader    *bufio.Reader
	closed    bool
}

// A StatusError is an answer other than 200 and 202.
type StatusError struct {
	Status int
	Type   string
	Detail string
}

func (e *StatusError) Error() string { return fmt.Sprintf("registry: %d: %s", e.Status, e.Detail) }

// ErrUnsigned is an answer that is not signed for the question. It says nothing.
var ErrUnsigned = errors.New("registry: the answer is not signed for the question")

// ID returns a new id for a message.
func ID(kind string) string { return kind + "_" + rand.Text() }

var limits = http1.Limits{Body: 64 << 20, Headers: 16 << 10}.Filled()

// Do asks and returns the answer's body. fresh tells whether the connection was opened for it. After an error of the
// connection it is not known whether the registry has heard.
func (c *Client) Do(path, id string, header http1.Header, body []byte, within time.Duration) (answer []byte, fresh bool, err error) {
	c.requestMu.Lock()
	defer c.requestMu.Unlock()
	m := signing.Message{ID: id, Stamp: strconv.FormatInt(c.Wall().Unix(), 10), Body: body}
	s, err := c.Key.Sign(m)
	if err != nil {
		return nil, false, err
	}
	end := time.Now().Add(within)
	if fresh, err = c.open(end); err != nil {
		return nil, fresh, err
	}
	c.conn.SetDeadline(end)
	req := &http1.Request{Method: "POST", Target: path, Body: body, Header: append(http1.Header{{Name: "Host", Value: c.Server},
		{Name: "User-Agent", Value: "kitehub/" + c.Name}, {Name: "Content-Type", Value: "application/json"}, {Name: "webhook-id", Value: id},
		{Name: "webhook-timestamp", Value: m.Stamp}, {Name: "webhook-signature", Value: s}}, header...)}
	if _, err = c.conn.Write(http1.AppendRequest(nil, req)); err != nil {
		c.drop()
		return nil, fresh, err
	}
	resp, err := http1.ReadResponse(c.reader, &limits, "POST")
	if err != nil {
		c.drop()
		return nil, fresh, err
	}
	if resp.Close {
		c.drop()
	}
	a := signing.Message{ID: resp.Header.Get("webhook-id"), Stamp: resp.Header.Get("webhook-timestamp"), Body: resp.Body}
	if a.ID != signing.AnswerID(strconv.Itoa(resp.Status), id) || !c.Key.Verify(a, resp.Header.Get("webhook-signature")) {
		c.drop()
		if resp.Status == 401 { // it could not tell by which key to sign
			return nil, fresh, &StatusError{Status: 401, Type: "forged", Detail: "the registry does not take the signature: wrong key, or a clock that is off"}
		}
		return nil, fresh, ErrUnsigned
	}
	if resp.Status != 200 && resp.Status != 202 {
		var p struct{ Type, Detail string }
		json.Unmarshal(resp.Body, &p)
		return nil, fresh, &StatusError{resp.Status, p.Type, p.Detail}
	}
	return resp.Body, fresh, nil
}

func (c *Client) open(end time.Time) (fresh bool, err error) {
	if c.conn != nil {
		return false, nil
	}
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
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
	c.conn, c.reader = conn, bufio.NewReaderSize(conn, http1.ReadBuffer)
	return true, nil
}

func (c *Client) drop() {
	c.connMu.Lock()
	defer c.connMu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Close ends the connection, and with it a question that is out.
func (c *Client) Close() {
	c.connMu.Lock()
	defer c.connMu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.Close()
	}
}

// Command gives a command under a key and waits for its move. With the same key it may be given again, whatever came of
// it: a connection that ends is asked again once.
func (c *Client) Command(key string, cmd wire.Command) (*wire.Answer, error) {
	body, err := json.Marshal(cmd)
	if err != nil {
		return nil, err
	}
	var h http1.Header
	switch {
	case cmd.Promote != nil:
		h.Add("If-Match", `"`+strconv.FormatUint(cmd.Promote.IfRevision, 10)+`"`)
	case cmd.Rollback != nil:
		h.Add("If-Match", `"`+strconv.FormatUint(cmd.Rollback.IfRevision, 10)+`"`)
	}
	return c.request(wire.CommandPath, key, h, body, time.Duration(cmd.WaitMS)*time.Millisecond)
}

// Query asks without changing anything.
func (c *Client) Query(q wire.Query) (*wire.Answer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	return c.request(wire.QueryPath, ID("query"), nil, body, time.Duration(q.WaitMS)*time.Millisecond)
}

// waitMargin is how much longer than its wait a question may take.
const waitMargin = 10 * time.Second

func (c *Client) request(path, id string, h http1.Header, body []byte, wait time.Duration) (*wire.Answer, error) {
	text, fresh, err := c.Do(path, id, h, body, wait+waitMargin)
	var status *StatusError
	if err != nil && !fresh && !errors.As(err, &status) { // an idle connection may have ended meanwhile
		text, _, err = c.Do(path, id, h, body, wait+waitMargin)
	}
	if err != nil {
		return nil, err
	}
	a := &wire.Answer{}
	if err := json.Unmarshal(text, a); err != nil {
		return nil, fmt.Errorf("registry: its answer: %w", err)
	}
	return a, nil
}
