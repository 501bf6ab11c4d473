package jsonrpc

import (
	"sync"
	"time"
)

// A batch is a message with several requests. Their responses are sent as one message, once all
// requests have been handled.
type batch struct {
	conn *conn

	mu         sync.Mutex
	unanswered int // requests that have not been handled yet
	responses  []response
	calls      int // number of calls that the responses answer
}

// add adds the response to one request, or nil for a notification, which has none. After the last
// one it queues the batch for writing.
func (b *batch) add(r *response) {
	b.mu.Lock()
	if r != nil {
		b.responses = append(b.responses, *r)
		b.calls += r.calls
	}
	b.unanswered--
	ready := b.unanswered == 0
	b.mu.Unlock()
	if !ready || len(b.responses) == 0 { // nothing is sent if all requests were notifications
		return
	}
	b.conn.mu.Lock()
	defer b.conn.mu.Unlock()
	b.conn.queue(response{calls: b.calls, render: b.render})
}

// render encodes the responses as an array. Its timeout is the shortest one of all responses.
func (b *batch) render() (text []byte, timeout time.Duration, done func()) {
	text = []byte{'['}
	var dones []func()
	for i, r := range b.responses {
		part, partTimeout, partDone := r.render()
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, part...)
		if partTimeout > 0 && (timeout == 0 || partTimeout < timeout) {
			timeout = partTimeout
		}
		if partDone != nil {
			dones = append(dones, partDone)
		}
	}
	return append(text, ']'), timeout, func() {
		for _, partDone := range dones {
			partDone()
		}
	}
}
