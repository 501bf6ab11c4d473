package msgpackrpc

import (
	"bufio"
	"errors"
	"fmt"
)

// Bounds of one message, but for its body, which Config.MaxBody bounds.
const (
	maxPairs    = 32      // of a map
	maxText     = 256     // bytes of a name or a value
	maxOverhead = 4 << 10 // bytes of a message that are not its body
	maxDepth    = 6       // arrays and maps within each other, in what is skipped
	maxNumber   = 1<<32 - 1
)

// Types of messages (MessagePack-RPC specification).
const (
	typeRequest = 0
	typeNotify  = 2
)

// A message is a request or a notification, as far as it is understood.
type message struct {
	kind   int
	id     uint32
	hasID  bool // id was read: an error can be answered under it
	method string
	fields fields
	body   []byte
	ids    []uint32 // of withdraw
	fault  string   // what is wrong with it, although its end was found; "": nothing
}

// fields are those of a request that are known; others are ignored. All are text, "" if missing.
type fields struct {
	txn    string // the client's id of the request
	limit  string // milliseconds that the client waits
	team   string // tenant
	unique string // idempotency key
	item   string // function
	attrs  string // of the function: see parseAttributes
	second string // not empty: the client has sent the request before
	cpu    string // expected run time, milliseconds
}

// errFrame is wrapped by errors that say that bytes are no message: where the next one begins cannot be told.
var errFrame = errors.New("not a MessagePack-RPC message")

// frameError returns an error that wraps errFrame.
func frameError(format string, a ...any) error {
	return fmt.Errorf("%w: %s", errFrame, fmt.Sprintf(format, a...))
}

// A decoder reads messages from a connection. Each length is compared with its bound before anything is allocated for
// it.
type decoder struct {
	r       *bufio.Reader
	maxBody int
	left    int           // bytes that this message may still take, but for its body
	text    [maxText]byte // the last string read
}

// next reads one message. After an error that wraps errFrame the end of the message cannot be found; m.hasID says
// whether it can be answered all the same.
func (d *decoder) next(m *message) error {
	*m = message{ids: m.ids[:0]}
	d.left = maxOverhead
	n, err := d.arrayLen("message")
	if err != nil {
		return err
	}
	if n != 3 && n != 4 {
		return frameError("an array of %d, want 3 or 4", n)
	}
	kind, err := d.number("type")
	if err != nil {
		return err
	}
	m.kind = int(kind)
	switch {
	case kind == typeRequest && n == 4:
		id, err := d.number("msgid")
		if err != nil {
			return err
		}
		m.id = uint32(id)
		m.hasID = true
	case kind == typeNotify && n == 3:
	default:
		return frameError("type %d in an array of %d", kind, n)
	}
	if m.method, err = d.str("method"); err != nil {
		return err
	}
	if n, err = d.arrayLen("params"); err != nil {
		return err
	}
	if m.kind == typeNotify {
		return d.msgids(m, n)
	}
	return d.params(m, n)
}

// msgids reads the params of a notification: the msgids that it is about.
func (d *decoder) msgids(m *message, n int) error {
	for range n {
		b, err := d.peek()
		if err != nil {
			return err
		}
		if !isNumber(b) {
			m.fault = "a msgid that is no number"
			if err := d.skip(maxDepth); err != nil {
				return err
			}
			continue
		}
		id, err := d.number("msgid")
		if err != nil {
			return err
		}
		m.ids = append(m.ids, uint32(id))
	}
	return nil
}

// params reads the params of a request: a map of fields, and perhaps a body.
func (d *decoder) params(m *message, n int) error {
	if n < 1 || n > 2 {
		m.fault = "params must be fields and a body"
	}
	for i := range n {
		b, err := d.peek()
		if err != nil {
			return err
		}
		switch {
		case i == 0 && isMap(b):
			err = d.readFields(m)
		case i == 1 && isBin(b):
			m.body, err = d.bin()
		default:
			if i < 2 {
				m.fault = [...]string{"fields must be a map", "the body must be bin"}[i]
			}
			err = d.skip(maxDepth)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// readFields reads a map of strings.
func (d *decoder) readFields(m *message) error {
	n, err := d.mapLen()
	if err != nil {
		return err
	}
	for range n {
		if err := d.readField(m); err != nil {
			return err
		}
	}
	return nil
}

// readField reads one pair of a map. What is no string is skipped, and noted as a fault.
func (d *decoder) readField(m *message) error {
	b, err := d.peek()
	if err != nil {
		return err
	}
	if !isStr(b) {
		m.fault = "a field whose name is no string"
		if err := d.skip(maxDepth); err != nil {
			return err
		}
		return d.skip(maxDepth)
	}
	name, err := d.strBytes("field name")
	if err != nil {
		return err
	}
	to := m.fields.named(string(name))
	if b, err = d.peek(); err != nil {
		return err
	}
	if !isStr(b) {
		m.fault = "a field that is no string"
		return d.skip(maxDepth)
	}
	value, err := d.strBytes("field")
	if err != nil || to == nil {
		return err
	}
	if *to != "" {
		m.fault = "a field given twice"
	}
	*to = string(value)
	return nil
}

// named returns where a field is stored; nil if it is not known.
func (f *fields) named(name string) *string {
	switch name {
	case "txn":
		return &f.txn
	case "limit":
		return &f.limit
	case "team":
		return &f.team
	case "unique":
		return &f.unique
	case "item":
		return &f.item
	case "attrs":
		return &f.attrs
	case "second":
		return &f.second
	case "cpu":
		return &f.cpu
	}
	return nil
}
