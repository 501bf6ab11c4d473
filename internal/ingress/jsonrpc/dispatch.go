package jsonrpc

import (
	"encoding/json"
	"errors"
)

// handleLine carries out one line: a request or a batch.
func (c *conn) handleLine(line []byte) {
	if e := precheck(line); e != nil {
		c.badMessage(e)
		return
	}
	if line[0] != '[' {
		if !json.Valid(line) {
			c.badMessage(problem(CodeParseError, "not JSON"))
			return
		}
		c.handle(line, nil, nil)
		return
	}
	var requests []json.RawMessage
	if err := json.Unmarshal(line, &requests); err != nil {
		c.badMessage(problem(CodeParseError, "not JSON"))
		return
	}
	if n := len(requests); n == 0 || n > maxBatch {
		c.respond(reply(nil, nil, problem(CodeInvalidRequest, "a batch has from 1 to %d messages, not %d", maxBatch, n)))
		return
	}
	b := &batch{conn: c, missing: len(requests)}
	ids := map[string]bool{}
	for _, raw := range requests {
		c.handle(raw, b, ids)
	}
}

// handle carries out one request. If it is part of a batch, ids holds the ids that the batch has used before.
func (c *conn) handle(raw []byte, b *batch, ids map[string]bool) {
	r, e := decode(raw)
	malformed := e != nil
	if !malformed && r.ID != nil && ids != nil {
		if ids[string(r.ID)] {
			e = problem(CodeInvalidRequest, "the id stands twice in one batch")
		}
		ids[string(r.ID)] = true
	}
	if e != nil {
		c.server.Counts.Malformed.Add(1)
		c.answer(r, b, malformed, nil, e)
		return
	}
	if r.Method == "call" {
		if e := c.call(r, b); e != nil {
			c.answer(r, b, false, nil, e)
		}
		return // it is answered when the call has ended
	}
	result, e := c.do(r)
	c.answer(r, b, false, result, e)
}

// answer responds to a request. Notifications have no response, unless it is not certain that they are meant as such.
func (c *conn) answer(r request, b *batch, malformed bool, result any, e *Error) {
	if r.ID == nil && !malformed && (e == nil || e.Code != CodeInvalidRequest) {
		if b != nil {
			b.add(nil)
		}
		return
	}
	text := reply(r.ID, result, e)
	if b == nil {
		c.respond(text)
		return
	}
	single := textResponse(text)
	b.add(&single)
}

// do carries out a request that is answered at once.
func (c *conn) do(r request) (any, *Error) {
	switch r.Method {
	case "cancel":
		return c.cancel(r.Params)
	case "subscribe", "unsubscribe":
		return c.subscribe(r.Params, r.Method == "subscribe")
	}
	if !c.user.MayOperate {
		return nil, problem(CodeDenied, "%s may not do this", c.user.Name)
	}
	result, err := c.server.cfg.Operator.Do(r.Method, c.user, func(into any) error {
		if e := params(r.Params, into); e != nil {
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
		return nil, problem(CodeMethodNotFound, "no method %q", r.Method)
	case errors.Is(err, ErrUnknownObject):
		return nil, problem(CodeNotFound, "%v", err)
	}
	return nil, problem(CodeWrongState, "%v", err)
}

// topics that may be subscribed to.
var topics = map[string]bool{
	"ended":        true,
	"joined":       true,
	"left":         true,
	"load_refused": true,
	"moved":        true,
	"level":        true,
}

// subscribe subscribes to topics, or unsubscribes from them, and returns how many are subscribed to.
func (c *conn) subscribe(raw json.RawMessage, on bool) (any, *Error) {
	var p struct {
		Topics []string `json:"topics"`
	}
	if e := params(raw, &p); e != nil {
		return nil, e
	}
	if !c.user.MayOperate {
		return nil, problem(CodeDenied, "%s may not see events", c.user.Name)
	}
	for _, topic := range p.Topics {
		if !topics[topic] {
			return nil, problem(CodeInvalidParams, "no topic %q", topic)
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
