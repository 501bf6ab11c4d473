package jsonrpc

import (
	"encoding/json"
	"errors"
)

// handleLine handles one line, which holds a request or a batch.
func (c *conn) handleLine(line []byte) {
	if e := checkLine(line); e != nil {
		c.rejectMessage(e)
		return
	}
	if line[0] != '[' {
		if !json.Valid(line) {
			c.rejectMessage(errorf(CodeParseError, "not JSON"))
			return
		}
		c.handle(line, nil, nil)
		return
	}
	var requests []json.RawMessage
	if err := json.Unmarshal(line, &requests); err != nil {
		c.rejectMessage(errorf(CodeParseError, "not JSON"))
		return
	}
	if n := len(requests); n == 0 || n > maxBatch {
		c.respond(encodeResponse(nil, nil, errorf(CodeInvalidRequest, "a batch has from 1 to %d messages, not %d", maxBatch, n)))
		return
	}
	b := &batch{conn: c, unanswered: len(requests)}
	ids := map[string]bool{}
	for _, raw := range requests {
		c.handle(raw, b, ids)
	}
}

// handle handles one request. For a request of a batch, ids holds the IDs that the batch has used
// so far.
func (c *conn) handle(raw []byte, b *batch, ids map[string]bool) {
	r, e := decodeRequest(raw)
	malformed := e != nil
	if !malformed && r.ID != nil && ids != nil {
		if ids[string(r.ID)] {
			e = errorf(CodeInvalidRequest, "the id stands twice in one batch")
		}
		ids[string(r.ID)] = true
	}
	if e != nil {
		c.server.Counts.Malformed.Add(1)
		c.respondTo(r, b, malformed, nil, e)
		return
	}
	if r.Method == "call" {
		if e := c.startCall(r, b); e != nil {
			c.respondTo(r, b, false, nil, e)
		}
		return // the response follows when the call has ended
	}
	result, e := c.handleImmediate(r)
	c.respondTo(r, b, false, result, e)
}

// respondTo sends the response to a request. A notification has no response, unless it is so
// malformed that it may have been meant as a request.
func (c *conn) respondTo(r request, b *batch, malformed bool, result any, e *Error) {
	if r.ID == nil && !malformed && (e == nil || e.Code != CodeInvalidRequest) {
		if b != nil {
			b.add(nil)
		}
		return
	}
	text := encodeResponse(r.ID, result, e)
	if b == nil {
		c.respond(text)
		return
	}
	single := textResponse(text)
	b.add(&single)
}

// handleImmediate handles a request whose response is known at once.
func (c *conn) handleImmediate(r request) (any, *Error) {
	switch r.Method {
	case "cancel":
		return c.handleCancel(r.Params)
	case "subscribe", "unsubscribe":
		return c.subscribe(r.Params, r.Method == "subscribe")
	}
	if !c.user.MayOperate {
		return nil, errorf(CodeDenied, "%s may not do this", c.user.Name)
	}
	result, err := c.server.cfg.Operator.Do(r.Method, c.user, func(into any) error {
		if e := decodeParams(r.Params, into); e != nil {
			return e
		}
		return nil
	})
	var chosen *Error
	switch {
	case err == nil:
		return result, nil
	case errors.As(err, &chosen):
		return nil, chosen
	case errors.Is(err, ErrUnknownMethod):
		return nil, errorf(CodeMethodNotFound, "no method %q", r.Method)
	case errors.Is(err, ErrUnknownObject):
		return nil, errorf(CodeNotFound, "%v", err)
	}
	return nil, errorf(CodeWrongState, "%v", err)
}

// topics lists the event topics that clients may subscribe to.
var topics = map[string]bool{
	"ended":        true,
	"joined":       true,
	"left":         true,
	"load_refused": true,
	"moved":        true,
	"level":        true,
}

// subscribe implements the methods "subscribe" and "unsubscribe". It returns how many topics the
// connection is now subscribed to.
func (c *conn) subscribe(raw json.RawMessage, on bool) (any, *Error) {
	var p struct {
		Topics []string `json:"topics"`
	}
	if e := decodeParams(raw, &p); e != nil {
		return nil, e
	}
	if !c.user.MayOperate {
		return nil, errorf(CodeDenied, "%s may not see events", c.user.Name)
	}
	for _, topic := range p.Topics {
		if !topics[topic] {
			return nil, errorf(CodeInvalidParams, "no topic %q", topic)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, topic := range p.Topics {
		c.topics[topic] = on
	}
	subscribed := 0
	for _, on := range c.topics {
		if on {
			subscribed++
		}
	}
	return map[string]int{"topics": subscribed}, nil
}
