package jsonrpc

import "time"

// A response is encoded only when it is written, as its content may depend on that moment.
type response struct {
	// render returns the encoded message, the write timeout (0: the configured one) and a function
	// to call after the write, whether it succeeded or not (nil: none).
	render func() (text []byte, timeout time.Duration, done func())
	calls  int // number of calls that the response answers
}

// textResponse returns a response whose encoding is known in advance.
func textResponse(text []byte) response {
	return response{render: func() ([]byte, time.Duration, func()) { return text, 0, nil }}
}

// respond queues a response for writing. It blocks while the queue is full because the client does
// not read, so that no further requests of the client are read either.
func (c *conn) respond(text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.responses) >= c.server.cfg.MaxCalls && !c.ended {
		c.changed.Wait()
	}
	c.queue(textResponse(text))
}

// queue queues a response for writing. It does not block: the calls in flight are bounded, and so
// are their responses. The caller holds mu.
func (c *conn) queue(r response) {
	c.responses = append(c.responses, r)
	c.changed.Broadcast()
}

// queueEvent queues an event for writing. If the queue is full, the event is dropped, and a
// notification with the number of dropped events precedes the next event that is queued. The caller
// holds mu.
func (c *conn) queueEvent(text []byte) {
	counts := &c.server.Counts
	if len(c.events) >= c.server.cfg.MaxEvents {
		c.lostEvents++
		counts.EventsDropped.Add(1)
		return
	}
	if c.lostEvents > 0 {
		c.events = append(c.events, encodeNotification("lost", map[string]int{"events": c.lostEvents}))
		c.lostEvents = 0
	}
	c.events = append(c.events, text)
	counts.Events.Add(1)
	c.changed.Broadcast()
}

// write writes queued messages until the connection ends. A client that does not read for the
// duration of the write timeout is disconnected.
func (c *conn) write() {
	defer c.socket.Close()
	for {
		r, ok := c.next()
		if !ok {
			return
		}
		if err := c.writeOne(r); err != nil {
			c.abort(r)
			return
		}
		c.mu.Lock()
		c.unwrittenCalls -= r.calls
		c.mu.Unlock()
	}
}

// next waits for a message to write; responses precede events. It returns false if no further
// message is to be written.
func (c *conn) next() (response, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.responses) == 0 && len(c.events) == 0 && !c.complete() {
		c.changed.Wait()
	}
	if len(c.responses) > 0 {
		r := c.responses[0]
		c.responses = c.responses[1:]
		c.changed.Broadcast()
		return r, true
	}
	if c.complete() {
		return response{}, false
	}
	text := c.events[0]
	c.events = c.events[1:]
	return textResponse(text), true
}

// complete reports whether no further response will be queued. The caller holds mu.
func (c *conn) complete() bool { return c.ended || c.draining && c.unwrittenCalls == 0 }

func (c *conn) writeOne(r response) error {
	// The time counts from before render, so that a stop of the process after it extends nothing.
	begin := time.Now()
	text, timeout, done := r.render()
	if timeout == 0 || timeout > c.server.cfg.WriteTimeout {
		timeout = c.server.cfg.WriteTimeout
	}
	c.socket.SetWriteDeadline(begin.Add(timeout))
	_, err := c.socket.Write(append(text, '\n'))
	if done != nil {
		done()
	}
	return err
}

// abort ends the connection after a failed write. The queued responses are still rendered, because
// migrations of aliases wait for their done functions.
func (c *conn) abort(failed response) {
	c.mu.Lock()
	c.unwrittenCalls -= failed.calls
	if !c.ended {
		c.server.Counts.WriteFailures.Add(1)
	}
	c.ended = true
	rest := c.responses
	c.responses = nil
	c.changed.Broadcast()
	c.mu.Unlock()
	for _, r := range rest {
		if _, _, done := r.render(); done != nil {
			done()
		}
	}
}
