package msgpackrpc

import (
	"strconv"

	"kitehub/internal/gateway"
)

// handleRequest submits a request to the gateway, or answers it; false if the connection is to be closed.
func (c *conn) handleRequest(m *message) bool {
	f := c.front
	c.mu.Lock()
	_, repeated := c.inFlight[m.id]
	inFlight := len(c.inFlight)
	c.mu.Unlock()
	if repeated { // an error under this msgid would pass for the answer to the request in flight
		f.Counts.Invalid.Add(1)
		return false
	}
	if m.fault != "" {
		return c.answerInvalid(m.id, m.fault)
	}
	call, txn, err := f.parse(m)
	if err != nil {
		return c.answerInvalid(m.id, err.Error())
	}
	if inFlight >= f.cfg.MaxInFlight {
		f.Counts.OverLimit.Add(1)
		c.out.Send(appendError(nil, m.id, errorRejected, "why", "too many open on this connection"))
		return c.countFault()
	}
	if !f.beginTxn(txn) {
		return c.answerInvalid(m.id, "txn: it is open")
	}
	return c.submit(m.id, txn, call)
}

// submit hands a call to the gateway; false if the connection is being closed.
func (c *conn) submit(id uint32, txn uint64, call *gateway.Call) bool {
	f := c.front
	r := &inFlightRequest{txn: txn}
	c.mu.Lock()
	if c.leaving {
		c.mu.Unlock()
		f.endTxn(txn)
		return false
	}
	c.inFlight[id] = r
	c.mu.Unlock()
	call.Deliver = func(a gateway.Answer) { c.deliver(id, r, a) }
	f.Counts.Requests.Add(1)
	requestID, accepted := f.cfg.Gateway.Submit(call)
	if !accepted {
		c.deliver(id, r, gateway.Answer{Kind: gateway.Rejected})
		return true
	}
	c.mu.Lock()
	r.id = requestID
	c.mu.Unlock()
	return true
}

// claim removes a request in flight; false if another has answered or cancelled it.
func (c *conn) claim(id uint32, r *inFlightRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[id] != r {
		return false
	}
	delete(c.inFlight, id)
	return true
}

// deliver sends the one answer to a request. It does not block, and may be called from any goroutine. If the
// connection is closed, the answer is dropped: the reading goroutine ends then.
func (c *conn) deliver(id uint32, r *inFlightRequest, a gateway.Answer) {
	if !c.claim(id, r) {
		return
	}
	c.front.endTxn(r.txn)
	c.touch()
	if a.Kind != gateway.ClientClosed {
		c.out.Send(c.encode(id, a))
	}
}

// encode returns the message with an answer.
func (c *conn) encode(id uint32, a gateway.Answer) []byte {
	switch a.Kind {
	case gateway.Served:
		return appendServed(make([]byte, 0, len(a.Body)+maxServedOverhead), id, a.Body)
	case gateway.Rejected:
		if a.RetryAfter > 0 && c.front.cfg.Settings.Limits.RetryAfter {
			millis := strconv.FormatInt(max(1, a.RetryAfter.Milliseconds()), 10)
			return appendError(nil, id, errorRejected, "later", millis)
		}
		return appendError(nil, id, errorRejected, "", "")
	}
	return appendError(nil, id, errorFailed, "", "")
}

// withdraw cancels a request. An id that is not in flight is ignored: its answer has crossed the notification.
func (c *conn) withdraw(id uint32) {
	c.mu.Lock()
	r := c.inFlight[id]
	delete(c.inFlight, id)
	c.mu.Unlock()
	if r == nil {
		return
	}
	c.front.Counts.Withdrawn.Add(1)
	c.front.endTxn(r.txn)
	c.front.cfg.Gateway.Cancel(r.id)
}
