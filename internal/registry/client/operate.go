package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"kitehub/internal/http1"
	"kitehub/internal/registry/wire"
)

// waitMargin is added to the wait that a request asks for; the sum is the timeout of the request.
const waitMargin = 10 * time.Second

// Command sends a command under an idempotency key and waits for its migration for at most
// cmd.WaitMS milliseconds. After an error other than a *StatusError, the same command may be sent
// again with the same key: it is executed only once.
func (c *Client) Command(key string, cmd wire.Command) (*wire.Response, error) {
	body, err := json.Marshal(cmd)
	if err != nil {
		return nil, err
	}
	var header http1.Header
	switch {
	case cmd.Promote != nil:
		header.Add("If-Match", `"`+strconv.FormatUint(cmd.Promote.IfRevision, 10)+`"`)
	case cmd.Rollback != nil:
		header.Add("If-Match", `"`+strconv.FormatUint(cmd.Rollback.IfRevision, 10)+`"`)
	}
	return c.request(wire.CommandPath, key, header, body, cmd.WaitMS)
}

// Query sends a query, which changes nothing. Its errors are those of Do.
func (c *Client) Query(q wire.Query) (*wire.Response, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	return c.request(wire.QueryPath, NewID("query"), nil, body, q.WaitMS)
}

// request sends a request that may safely be sent twice. It sends the request again on a new
// connection if an idle connection failed, as the registry may have closed that connection in the
// meantime.
func (c *Client) request(path, id string, header http1.Header, body []byte, waitMS int64) (*wire.Response, error) {
	timeout := time.Duration(waitMS)*time.Millisecond + waitMargin
	text, newConnection, err := c.Do(path, id, header, body, timeout)
	var status *StatusError
	if err != nil && !newConnection && !errors.As(err, &status) {
		text, _, err = c.Do(path, id, header, body, timeout)
	}
	if err != nil {
		return nil, err
	}
	response := &wire.Response{}
	if err := json.Unmarshal(text, response); err != nil {
		return nil, fmt.Errorf("registry: decode response: %w", err)
	}
	return response, nil
}
