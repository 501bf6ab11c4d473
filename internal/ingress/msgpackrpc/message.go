package msgpackrpc

import (
	"bufio"
	"errors"
	"fmt"

	"kitehub/internal/overload"
)

// Bounds of one message. Its body is bounded by Config.MaxBody instead.
const (
	maxPairs    = 32      // key-value pairs of a map
	maxText     = 256     // bytes of a string
	maxOverhead = 4 << 10 // bytes of a message without its body
	maxDepth    = 6       // nested arrays and maps in a skipped value
	maxNumber   = 1<<32 - 1
)

// Message types of the MessagePack-RPC specification.
const (
	typeRequest = 0
	typeNotify  = 2
)

// A message is a decoded request or notification.
type message struct {
	kind   int
	id     uint32
	hasID  bool // id was read, so an error response can be sent
	method string
	fields fields
	body   []byte
	ids    []uint32 // msgids of withdraw
	fault  string   // why a completely read message is invalid; "": it is valid

	reserved int  // bytes of the account that the body takes
	noRoom   bool // the body was skipped, as the account has no room for it
}

// fields are the known fields of a request; others are ignored. All are strings, "" if missing.
type fields struct {
	txn    string // the client's ID of the request
	limit  string // milliseconds for which the client waits
	team   string // tenant
	unique string // idempotency key
	item   string // function
	attrs  string // attributes of the function; see parseAttributes
	second string // not empty if the client has sent the request before
	cpu    string // expected run time in milliseconds
}

// errMalformed is wrapped by errors for bytes that are not a message. The start of the next message
// is unknown after such an error.
var errMalformed = errors.New("not a MessagePack-RPC message")

// malformedError returns an error that wraps errMalformed.
func malformedError(format string, a ...any) error {
	return fmt.Errorf("%w: %s", errMalformed, fmt.Sprintf(format, a...))
}

// A decoder reads messages from a connection. It checks each length against its bound before it
// allocates memory.
type decoder struct {
	r         *bufio.Reader
	maxBody   int
	account   *overload.Account // of the client; nil: any body fits
	remaining int               // bytes that this message may still have, without its body
	text      [maxText]byte     // buffer for strings
}

// next reads one message. After an error that wraps errMalformed, the end of the message is
// unknown; m.hasID still says whether an error response can be sent.
func (d *decoder) next(m *message) error {
	*m = message{ids: m.ids[:0]}
	d.remaining = maxOverhead
	n, err := d.readArrayLen("message")
	if err != nil {
		return err
	}
	if n != 3 && n != 4 {
		return malformedError("an array of %d, want 3 or 4", n)
	}
	kind, err := d.readNumber("type")
	if err != nil {
		return err
	}
	m.kind = int(kind)
	switch {
	case kind == typeRequest && n == 4:
		id, err := d.readNumber("msgid")
		if err != nil {
			return err
		}
		m.id = uint32(id)
		m.hasID = true
	case kind == typeNotify && n == 3:
	default:
		return malformedError("type %d in an array of %d", kind, n)
	}
	if m.method, err = d.readStr("method"); err != nil {
		return err
	}
	if n, err = d.readArrayLen("params"); err != nil {
		return err
	}
	if m.kind == typeNotify {
		return d.readMsgids(m, n)
	}
	return d.readParams(m, n)
}

// readMsgids reads the params of a notification, which are msgids.
func (d *decoder) readMsgids(m *message, n int) error {
	for range n {
		b, err := d.peekByte()
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
		id, err := d.readNumber("msgid")
		if err != nil {
			return err
		}
		m.ids = append(m.ids, uint32(id))
	}
	return nil
}

// readParams reads the params of a request: a map of fields and an optional body.
func (d *decoder) readParams(m *message, n int) error {
	if n < 1 || n > 2 {
		m.fault = "params must be fields and a body"
	}
	for i := range n {
		b, err := d.peekByte()
		if err != nil {
			return err
		}
		switch {
		case i == 0 && isMap(b):
			err = d.readFields(m)
		case i == 1 && isBin(b):
			err = d.readBody(m)
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
	n, err := d.readMapLen()
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

// readField reads one pair of a map. A name or value that is not a string is skipped, and makes the
// message invalid.
func (d *decoder) readField(m *message) error {
	b, err := d.peekByte()
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
	name, err := d.readStrBytes("field name")
	if err != nil {
		return err
	}
	field := m.fields.byName(string(name))
	if b, err = d.peekByte(); err != nil {
		return err
	}
	if !isStr(b) {
		m.fault = "a field that is no string"
		return d.skip(maxDepth)
	}
	value, err := d.readStrBytes("field")
	if err != nil || field == nil {
		return err
	}
	if *field != "" {
		m.fault = "a field given twice"
	}
	*field = string(value)
	return nil
}

// byName returns a pointer to the field with the given name, or nil if the name is unknown.
func (f *fields) byName(name string) *string {
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
