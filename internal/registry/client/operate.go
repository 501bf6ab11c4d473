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

// waitMargin is how much longer than the wait that it asks for a request may take.
const waitMargin = 10 * time.Second

// Command sends a command under an idempotency key and waits for its migration for up to cmd.WaitMS milliseconds.
// After an error that is no *StatusError the same command may be sent again with the same key: it is executed once.
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

// Query sends a query, which changes nothing. Errors are those of Do.
func (c *Client) Query(q wire.Query) (*wire.Response, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	return c.request(wire.QueryPath, NewID("query"), nil, body, q.WaitMS)
}

// request sends a request that may be sent twice, and once more on a new connection where an idle one has failed: the
// registry may have closed it meanwhile.
func (c *Client) request(path, id string, header http1.Header, body []byte, waitMS int64) (*wire.Response, error) {
	within := time.Duration(waitMS)*time.Millisecond + waitMargin
	text, newConnection, err := c.Do(path, id, header, body, within)
	var status *StatusError
	if err != nil && !newConnection && !errors.As(err, &status) {
		text, _, err = c.Do(path, id, header, body, within)
	}
	if err != nil {
		return nil, err
	}
	answer := &wire.Response{}
	if err := json.Unmarshal(text, answer); err != nil {
		return nil, fmt.Errorf("registry: its answer: %w", err)
	}
	return answer, nil
}
