package jsonrpc

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"kitehub/scheduler"
)

// A conn is one connection: a goroutine that reads and carries out, and one that writes.
type conn struct {
	s    *Server
	nc   net.Conn
	user User

	mu     sync.Mutex
	more   *sync.Cond
	out    []item
	events [][]byte
	lost   int
	hand   map[string]*inHand // calls by id
	calls  int                // in hand, or answered and not written
	topics map[string]bool
	ended  bool // nothing more is read
	last   bool // nothing more is to come: write what there is, and close
}

// An item is rendered as it is written: what it says may depend on that moment.
type item struct {
	render func() (b []byte, within time.Duration, done func())
	calls  int // that it answers
}

type inHand struct {
	request  scheduler.RequestID
	started  bool
	left     bool
	answered bool
	hangUp   func() // of a keyed call: leaves it, and hangs up if none waits
	gone     func() // answers it as given up
}

func (c *conn) serve() {
	defer c.s.wg.Done()
	written := make(chan struct{})
	go func() { c.write(); close(written) }()
	c.read()
	c.mu.Lock()
	c.ended = true
	// A client that has gone is no longer waited for. One that only shut down its writing side still reads: it cannot be told
	// from the other here, and gets what is ready.
	hand := c.hand
	c.hand = map[string]*inHand{}
	c.more.Broadcast()
	c.mu.Unlock()
	for _, h := range hand {
		c.s.leave(c, h)
	}
	<-written
	c.nc.Close()
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
}

// finish lets what is in hand be written, and reads no more.
func (c *conn) finish() {
	c.mu.Lock()
	c.last = true
	c.more.Broadcast()
	c.mu.Unlock()
}

var errLong = errors.New("line too long")

// line reads one message. An empty line is skipped.
func (c *conn) line(br *bufio.Reader) ([]byte, error) {
	for {
		c.nc.SetReadDeadline(time.Time{})
		if _, err := br.Peek(1); err != nil {
			return nil, err
		}
		c.nc.SetReadDeadline(time.Now().Add(c.s.cfg.Half))
		var b []byte
		for {
			part, err := br.ReadSlice('\n')
			if len(b)+len(part) > c.s.cfg.MaxLine {
				return nil, errLong
			}
			b = append(b, part...)
			if err == nil {
				break
			}
			if err != bufio.ErrBufferFull {
				if err == io.EOF {
					err = io.ErrUnexpectedEOF
				}
				return nil, err
			}
		}
		if b = bytes.TrimSpace(b); len(b) > 0 {
			return b, nil
		}
	}
}

func (c *conn) read() {
	br := bufio.NewReaderSize(c.nc, 16<<10)
	for {
		b, err := c.line(br)
		if err != nil {
			if err == errLong {
				c.s.Counts.Bad.Add(1)
				c.say(reply(nil, nil, problem(CodeRequest, "a message of more than %d bytes: the connection ends", c.s.cfg.MaxLine)))
			} else if errors.Is(err, os.ErrDeadlineExceeded) {
				c.s.Counts.Bad.Add(1)
				c.say(reply(nil, nil, problem(CodeParse, "half a message for %v: the connection ends", c.s.cfg.Half)))
			}
			return
		}
		c.s.Counts.Messages.Add(1)
		c.message(b)
		if c.over() {
			return
		}
	}
}

func (c *conn) over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// say has a reply written. It waits while the client does not read: so what it sends is not read either.
func (c *conn) say(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.out) >= c.s.cfg.MaxCalls && !c.ended {
		c.more.Wait()
	}
	c.put(item{render: func() ([]byte, time.Duration, func()) { return b, 0, nil }})
}

// put has an item written; mu is held. It does not wait: calls in hand are bounded, and so are their items.
func (c *conn) put(i item) {
	c.out = append(c.out, i)
	c.more.Broadcast()
}

// event queues an event; mu is held. Where too many wait it is dropped, and the next one that is not says how many were.
func (c *conn) event(b []byte) {
	if len(c.events) >= c.s.cfg.Events {
		c.lost++
		c.s.Counts.EventsLost.Add(1)
		return
	}
	if c.lost > 0 {
		c.events = append(c.events, notification("lost", map[string]int{"events": c.lost}))
		c.lost = 0
	}
	c.events = append(c.events, b)
	c.s.Counts.Events.Add(1)
	c.more.Broadcast()
}

// write writes what is queued: answers before events. A client that takes nothing for too long is cut.
func (c *conn) write() {
	defer c.nc.Close()
	for {
		c.mu.Lock()
		for len(c.out) == 0 && len(c.events) == 0 && !c.ended && !(c.last && c.calls == 0) {
			c.more.Wait()
		}
		if len(c.out) == 0 && (c.ended || c.last && c.calls == 0) {
			c.mu.Unlock()
			return
		}
		var i item
		if len(c.out) > 0 {
			i, c.out = c.out[0], c.out[1:]
			c.more.Broadcast()
		} else {
			b := c.events[0]
			c.events = c.events[1:]
			i.render = func() ([]byte, time.Duration, func()) { return b, 0, nil }
		}
		c.mu.Unlock()
		b, within, done := i.render()
		if within == 0 || within > c.s.cfg.Write {
			within = c.s.cfg.Write
		}
		c.nc.SetWriteDeadline(time.Now().Add(within))
		_, err := c.nc.Write(append(b, '\n'))
		if done != nil {
			done()
		}
		c.mu.Lock()
		c.calls -= i.calls
		if err != nil {
			if !c.ended {
				c.s.Counts.Cut.Add(1)
			}
			c.ended = true
			rest := c.out
			c.out = nil
			c.more.Broadcast()
			c.mu.Unlock()
			for _, i := range rest { // what waits for their being written must not wait for ever
				if _, _, done := i.render(); done != nil {
					done()
				}
			}
			return
		}
		c.mu.Unlock()
	}
}

// message carries out one line.
func (c *conn) message(b []byte) {
	if e := vet(b); e != nil {
		c.s.Counts.Bad.Add(1)
		c.say(reply(nil, nil, e))
		return
	}
	if b[0] != '[' {
		if !json.Valid(b) {
			c.s.Counts.Bad.Add(1)
			c.say(reply(nil, nil, problem(CodeParse, "not JSON")))
			return
		}
		c.one(b, nil, nil)
		return
	}
	var l []json.RawMessage
	if err := json.Unmarshal(b, &l); err != nil {
		c.s.Counts.Bad.Add(1)
		c.say(reply(nil, nil, problem(CodeParse, "not JSON")))
		return
	}
	if len(l) == 0 || len(l) > maxBatch {
		c.say(reply(nil, nil, problem(CodeRequest, "a batch has from 1 to %d messages, not %d", maxBatch, len(l))))
		return
	}
	t := &batch{c: c, left: len(l)}
	seen := map[string]bool{}
	for _, raw := range l {
		c.one(raw, t, seen)
	}
}

// A batch is answered in one line when all of it has an answer.
type batch struct {
	c     *conn
	mu    sync.Mutex
	left  int
	items []item
	calls int
}

func (t *batch) add(i *item) {
	t.mu.Lock()
	if i != nil {
		t.items = append(t.items, *i)
		t.calls += i.calls
	}
	t.left--
	ready := t.left == 0
	t.mu.Unlock()
	if !ready {
		return
	}
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	if len(t.items) == 0 { // notifications only
		return
	}
	t.c.put(item{calls: t.calls, render: func() ([]byte, time.Duration, func()) {
		out, least := []byte{'['}, time.Duration(0)
		var ends []func()
		for k, i := range t.items {
			b, within, done := i.render()
			if k > 0 {
				out = append(out, ',')
			}
			out = append(out, b...)
			if within > 0 && (least == 0 || within < least) {
				least = within
			}
			if done != nil {
				ends = append(ends, done)
			}
		}
		return append(out, ']'), least, func() {
			for _, f := range ends {
				f()
			}
		}
	}})
}

// one carries out one request, of a batch or alone.
func (c *conn) one(raw []byte, t *batch, seen map[string]bool) {
	r, e := decode(raw)
	wrong := e != nil
	answer := func(result any, e *Error) {
		if r.ID == nil && !wrong && (e == nil || e.Code != CodeRequest) { // notifications have no answer
			if t != nil {
				t.add(nil)
			}
			return
		}
		b := reply(r.ID, result, e)
		if t != nil {
			t.add(&item{render: func() ([]byte, time.Duration, func()) { return b, 0, nil }})
		} else {
			c.say(b)
		}
	}
	if e == nil && r.ID != nil && seen != nil {
		if seen[string(r.ID)] {
			e = problem(CodeRequest, "the id stands twice in one batch")
		}
		seen[string(r.ID)] = true
	}
	if e != nil {
		c.s.Counts.Bad.Add(1)
		answer(nil, e)
		return
	}
	switch r.Method {
	case "call":
		if e := c.call(r, t); e != nil {
			answer(nil, e)
		}
	case "cancel":
		answer(c.cancel(r.Params))
	case "subscribe", "unsubscribe":
		answer(c.subscribe(r.Params, r.Method == "subscribe"))
	default:
		if !c.user.Operate {
			answer(nil, problem(CodeDenied, "%s may not do this", c.user.Name))
			return
		}
		res, err := c.s.cfg.Operator.Do(r.Method, c.user, func(into any) error {
			if e := params(r.Params, into); e != nil {
				return e
			}
			return nil
		})
		var own *Error
		switch {
		case errors.As(err, &own):
			answer(nil, own)
		case errors.Is(err, ErrMethod):
			answer(nil, problem(CodeMethod, "no method %q", r.Method))
		case errors.Is(err, ErrUnknown):
			answer(nil, problem(CodeUnknown, "%v", err))
		case err != nil:
			answer(nil, problem(CodeState, "%v", err))
		default:
			answer(res, nil)
		}
	}
}

// topics that may be subscribed to.
var topics = map[string]bool{"ended": true, "joined": true, "left": true, "load_refused": true, "moved": true, "level": true}

func (c *conn) subscribe(raw json.RawMessage, on bool) (any, *Error) {
	var p struct {
		Topics []string `json:"topics"`
	}
	if e := params(raw, &p); e != nil {
		return nil, e
	}
	if !c.user.Operate {
		return nil, problem(CodeDenied, "%s may not see events", c.user.Name)
	}
	for _, t := range p.Topics {
		if !topics[t] {
			return nil, problem(CodeParams, "no topic %q", t)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range p.Topics {
		c.topics[t] = on
	}
	l := []string{}
	for t, on := range c.topics {
		if on {
			l = append(l, t)
		}
	}
	return map[string]int{"topics": len(l)}, nil
}
