package msgpackrpc

import (
	"strconv"
	"time"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// handleRequest adds a request to the batch, or answers it with an error. It returns false if the
// connection is to be closed.
func (c *conn) handleRequest(m *message) bool {
	s := c.server
	c.mu.Lock()
	_, repeated := c.inFlight[m.id]
	open := len(c.inFlight)
	c.mu.Unlock()
	if repeated { // an error with this id would pass for the answer to the request in flight
		s.Counts.Invalid.Add(1)
		return false
	}
	if m.fault != "" {
		return c.answerInvalid(m.id, m.fault)
	}
	call, txn, err := s.parse(m)
	if err != nil {
		return c.answerInvalid(m.id, err.Error())
	}
	if open >= s.cfg.MaxInFlight {
		s.Counts.OverLimit.Add(1)
		c.refuse(m.id, txn, "too many open on this connection")
		return c.countFault()
	}
	if m.noRoom || !c.account.Reserve(requestBytes) {
		s.Counts.NoRoom.Add(1)
		c.refuse(m.id, txn, "no memory left for it")
		return true
	}
	m.reserved += requestBytes
	readAt := s.cfg.Clock.Now()
	arrivedAt := readAt - time.Since(c.in.ArrivedAt())
	c.awaitSlot()
	class := &s.cfg.Settings.Classes[call.Function.Class]
	earlier, result := s.history.begin(txn, class, readAt)
	switch result {
	case inFlight:
		return c.answerInvalid(m.id, "txn: it is open")
	case noHistory:
		s.Counts.NoRoom.Add(1)
		c.refuse(m.id, txn, "too many requests may have run")
		return true
	}
	if earlier != nil {
		s.Counts.SentAgain.Add(1)
		call.Earlier = earlier
	}
	call.ReceivedAt = arrivedAt
	call.ClientClosed = c.in.PeerClosed
	r := &inFlightRequest{msgid: m.id, txn: txn, class: class, call: call, reserved: m.reserved}
	m.reserved = 0
	call.Released = func() { c.account.Release(r.reserved) }
	if c.add(r) {
		return true
	}
	c.draining = true
	return true
}

// refuse answers a request that is not accepted.
func (c *conn) refuse(id uint32, txn uint64, reason string) {
	kind := errorRejected
	if c.server.history.knows(txn) { // it may have run, and a rejection would say that it has not
		kind = errorFailed
	}
	c.server.events.refused(c, txn, reason)
	c.out.Send(appendError(nil, id, kind, "why", reason))
}

// requestBytes is what a request takes beside its body, here and at the gateway.
const requestBytes = 4 << 10

// deliver sends the gateway's answer to a request, unless the request has already been answered or
// cancelled. It does not block, and may be called from any goroutine. If the connection is closed,
// the answer is dropped; the reading goroutine then ends.
func (c *conn) deliver(r *inFlightRequest, call *gateway.Call, a gateway.Answer) {
	c.server.history.end(r.txn, r.class, &a, call.ReceivedAt+call.TimeLeft+historySlack)
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.answered {
		return
	}
	r.answered = true
	c.unanswered--
	c.answered.Broadcast()
	if c.inFlight[r.msgid] != r {
		return
	}
	if a.Kind == gateway.ClientClosed && c.phase >= phaseEnding {
		a = cancelledAnswer(a, r.class)
	}
	// The request stays in flight until its answer is queued: see stopIfIdle.
	if a.Kind != gateway.ClientClosed {
		c.out.Send(c.encodeAnswer(r.msgid, a))
		c.recordActivity()
	}
	delete(c.inFlight, r.msgid)
}

// cancelledAnswer returns the answer to a request that the server has cancelled. It is only rejected
// if another try does no harm.
func cancelledAnswer(a gateway.Answer, class *scheduler.Class) gateway.Answer {
	a.Kind = gateway.Rejected
	if a.MayHaveRun && !class.HarmlessRetry() {
		a.Kind = gateway.Failed
	}
	return a
}

// encodeAnswer returns the response message with an answer.
func (c *conn) encodeAnswer(id uint32, a gateway.Answer) []byte {
	switch a.Kind {
	case gateway.Served:
		return appendServed(make([]byte, 0, len(a.Body)+maxServedOverhead), id, a.Body)
	case gateway.Rejected:
		if a.RetryAfter > 0 && c.server.cfg.Settings.Limits.RetryAfter {
			millis := strconv.FormatInt(max(1, a.RetryAfter.Milliseconds()), 10)
			return appendError(nil, id, errorRejected, "later", millis)
		}
		return appendError(nil, id, errorRejected, "", "")
	}
	return appendError(nil, id, errorFailed, "", "")
}

// withdraw cancels a request. A msgid that is not in flight is ignored: the answer to it has
// crossed the notification.
func (c *conn) withdraw(id uint32) {
	c.mu.Lock()
	r := c.inFlight[id]
	delete(c.inFlight, id)
	c.mu.Unlock()
	if r == nil {
		return
	}
	c.server.Counts.Withdrawn.Add(1)
	if c.removeFromBatch(r) {
		return
	}
	c.server.history.abandon(r.txn)
	c.server.cfg.Gateway.Cancel(r.id)
}
