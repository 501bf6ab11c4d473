package jsonrpc

import (
	"sync"
	"time"
)

// A batch is a line with several requests. It is answered in one line when all of them are.
type batch struct {
	conn *conn

	mu        sync.Mutex
	missing   int // requests not answered yet
	responses []response
	calls     int // that the responses answer
}

// add adds the response to one request; nil if it has none.
func (b *batch) add(r *response) {
	b.mu.Lock()
	if r != nil {
		b.responses = append(b.responses, *r)
		b.calls += r.calls
	}
	b.missing--
	ready := b.missing == 0
	b.mu.Unlock()
	if !ready || len(b.responses) == 0 { // all of them may be notifications
		return
	}
	b.conn.mu.Lock()
	defer b.conn.mu.Unlock()
	b.conn.queue(response{calls: b.calls, render: b.render})
}

// render renders all responses as an array. The write may take the shortest time that one of them allows.
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
