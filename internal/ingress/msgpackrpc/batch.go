package msgpackrpc

import (
	"slices"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// Requests that have arrived together are submitted together, once everything that has arrived on
// their connection has been read. So a request whose cancellation, or the end of whose connection,
// has arrived with it never reaches the gateway, however long both have waited to be read.

// An inFlightRequest is a request that its client waits for.
type inFlightRequest struct {
	msgid    uint32
	txn      uint64
	class    *scheduler.Class
	call     *gateway.Call       // nil once it has been submitted or dropped; only the reading goroutine uses it
	reserved int                 // bytes of the account
	id       scheduler.RequestID // at the gateway; set once submitted
	answered bool                // by the gateway; guarded by conn.mu
}

// add adds a request to the batch. It returns false if the connection accepts no more requests; then
// the request has been answered.
func (c *conn) add(r *inFlightRequest) bool {
	c.mu.Lock()
	accepted := c.phase < phaseRefusing
	if accepted {
		c.inFlight[r.msgid] = r
	}
	c.mu.Unlock()
	if !accepted { // it was chosen to be closed before the request was read
		c.reject(r)
		return false
	}
	c.batch = append(c.batch, r)
	return true
}

// submitBatch submits the requests of the batch.
func (c *conn) submitBatch() {
	for _, r := range c.batch {
		c.submit(r)
	}
	c.clearBatch()
}

// removeFromBatch drops a request that its client has cancelled. It returns false if the request is
// not in the batch.
func (c *conn) removeFromBatch(r *inFlightRequest) bool {
	i := slices.Index(c.batch, r)
	if i < 0 {
		return false
	}
	c.drop(r)
	c.batch = slices.Delete(c.batch, i, i+1)
	return true
}

func (c *conn) clearBatch() {
	clear(c.batch)
	c.batch = c.batch[:0]
}

// submit submits a request to the gateway.
func (c *conn) submit(r *inFlightRequest) {
	s := c.server
	call := r.call
	r.call = nil
	c.mu.Lock()
	c.unanswered++
	c.mu.Unlock()
	call.Deliver = func(a gateway.Answer) { c.deliver(r, call, a) }
	s.Counts.Requests.Add(1)
	c.pace.submitted()
	id, accepted := s.cfg.Gateway.Submit(call)
	if !accepted {
		s.events.refused(c, r.txn, "the gateway is full or stopping")
		c.account.Release(r.reserved)
		c.deliver(r, call, notAccepted(call, r.class))
		return
	}
	c.mu.Lock()
	r.id = id
	c.mu.Unlock()
}

// drop forgets a request that has not been submitted.
func (c *conn) drop(r *inFlightRequest) {
	r.call = nil
	c.account.Release(r.reserved)
	c.server.history.drop(r.txn)
}

// reject answers a request that has not been submitted.
func (c *conn) reject(r *inFlightRequest) {
	message := c.encodeAnswer(r.msgid, notAccepted(r.call, r.class))
	c.server.events.refused(c, r.txn, "the connection is being closed")
	c.drop(r)
	c.out.Send(message)
}

// dropBatch drops the requests of the batch, as their client has left.
func (c *conn) dropBatch() {
	for _, r := range c.batch {
		c.drop(r)
	}
	c.clearBatch()
}

// rejectBatch answers the requests of the batch, as the connection is being closed.
func (c *conn) rejectBatch() {
	for _, r := range c.batch {
		c.mu.Lock()
		delete(c.inFlight, r.msgid)
		c.mu.Unlock()
		c.reject(r)
	}
	c.clearBatch()
}

// notAccepted returns the answer to a call that the gateway does not run. One that may have run
// before is only rejected if another retry does no harm.
func notAccepted(call *gateway.Call, class *scheduler.Class) gateway.Answer {
	if call.Earlier != nil && !class.HarmlessRetry() {
		return gateway.Answer{Kind: gateway.Failed, MayHaveRun: true, FirstRun: call.Earlier}
	}
	return gateway.Answer{Kind: gateway.Rejected, FirstRun: call.Earlier}
}
