package msgpackrpc

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

// Bounds of one message. A body is bounded by Config.MostBody; these hold for what stands beside it.
const (
	mostFields = 32      // pairs of a map
	mostText   = 256     // bytes of a name or a value
	mostBeside = 4 << 10 // bytes of a message that are not its body
	mostNest   = 6       // arrays and maps within each other, in what is skipped
	mostNumber = 1<<32 - 1
)

// Types of messages (MessagePack-RPC specification).
const (
	typeRequest = 0
	typeNotify  = 2
)

// A message is a request or a notification, as far as it is of use.
type message struct {
	kind   int
	id     uint32
	hasID  bool // id was read: an error can be answered under it
	method string
	fields fields
	body   []byte
	ids    []uint32 // of withdraw
	fault  string   // what makes it unfit, though its end was found; "": nothing
}

// fields are those of a request that are known; others are passed over.
type fields struct{ txn, limit, team, unique, item, attrs, second, cpu string }

var errFrame = errors.New("not a MessagePack-RPC message")

// A decoder reads messages from a connection. What it allocates is bounded before it is allocated: by what the message
// may hold, never by the lengths that it claims.
type decoder struct {
	r        *bufio.Reader
	mostBody int
	left     int // bytes that this message may still take beside its body
	text     [mostText]byte
}

func framing(format string, a ...any) error {
	return fmt.Errorf("%w: %s", errFrame, fmt.Sprintf(format, a...))
}

// next reads one message. An error that wraps errFrame means that the end of the message cannot be found; m.hasID tells
// whether it can be answered all the same.
func (d *decoder) next(m *message) error {
	*m = message{ids: m.ids[:0]}
	d.left = mostBeside
	n, err := d.arrayLen("message")
	if err != nil {
		return err
	}
	if n != 3 && n != 4 {
		return framing("an array of %d, want 3 or 4", n)
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
		m.id, m.hasID = uint32(id), true
	case kind == typeNotify && n == 3:
	default:
		return framing("type %d in an array of %d", kind, n)
	}
	if m.method, err = d.str("method"); err != nil {
		return err
	}
	if n, err = d.arrayLen("params"); err != nil {
		return err
	}
	if m.kind == typeNotify {
		return d.numbers(m, n)
	}
	return d.params(m, n)
}

// numbers reads the params of a notification: the msgids that it is about.
func (d *decoder) numbers(m *message, n int) error {
	for range n {
		b, err := d.peek()
		if err != nil {
			return err
		}
		if !isNumber(b) {
			m.fault = "a msgid that is no number"
			if err := d.skip(mostNest); err != nil {
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

// params reads those of a request: a map, and perhaps a body.
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
			err = d.skip(mostNest)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) readFields(m *message) error {
	n, err := d.mapLen()
	if err != nil {
		return err
	}
	for range n {
		b, err := d.peek()
		if err != nil {
			return err
		}
		if !isStr(b) {
			m.fault = "a field whose name is no string"
			if err := d.skip(mostNest); err != nil {
				return err
			}
			if err := d.skip(mostNest); err != nil {
				return err
			}
			continue
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
			if err := d.skip(mostNest); err != nil {
				return err
			}
			continue
		}
		value, err := d.strBytes("field")
		if err != nil {
			return err
		}
		if to != nil {
			if *to != "" {
				m.fault = "a field given twice"
			}
			*to = string(value)
		}
	}
	return nil
}

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

// The heads of MessagePack's formats.

func isNumber(b byte) bool { return b < 0x80 || b >= 0xcc && b <= 0xd3 || b >= 0xe0 }
func isStr(b byte) bool    { return b >= 0xa0 && b < 0xc0 || b >= 0xd9 && b <= 0xdb }
func isBin(b byte) bool    { return b >= 0xc4 && b <= 0xc6 }
func isMap(b byte) bool    { return b >= 0x80 && b < 0x90 || b == 0xde || b == 0xdf }
func isArray(b byte) bool  { return b >= 0x90 && b < 0xa0 || b == 0xdc || b == 0xdd }

func (d *decoder) peek() (byte, error) {
	b, err := d.r.Peek(1)
	if err != nil {
		return 0, cut(err)
	}
	return b[0], nil
}

func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (d *decoder) byte() (byte, error) {
	if d.left--; d.left < 0 {
		return 0, framing("over %d bytes beside the body", mostBeside)
	}
	b, err := d.r.ReadByte()
	return b, cut(err)
}

// uint reads a big-endian number of so many bytes.
func (d *decoder) uint(bytes int) (v uint64, err error) {
	for range bytes {
		b, err := d.byte()
		if err != nil {
			return 0, err
		}
		v = v<<8 | uint64(b)
	}
	return v, nil
}

// number reads a whole number from 0 to mostNumber.
func (d *decoder) number(what string) (uint64, error) {
	b, err := d.byte()
	if err != nil {
		return 0, err
	}
	var v uint64
	switch {
	case b < 0x80:
		return uint64(b), nil
	case b >= 0xcc && b <= 0xcf:
		v, err = d.uint(1 << (b - 0xcc))
	case b >= 0xd0 && b <= 0xd3:
		bytes := 1 << (b - 0xd0)
		if v, err = d.uint(bytes); v>>(8*bytes-1) != 0 {
			v = mostNumber + 1 // negative
		}
	default:
		return 0, framing("%s: no number, but 0x%02x", what, b)
	}
	if err == nil && v > mostNumber {
		err = framing("%s: out of range", what)
	}
	return v, err
}

func (d *decoder) arrayLen(what string) (int, error) {
	b, err := d.byte()
	if err != nil {
		return 0, err
	}
	v := uint64(b & 0x0f)
	switch {
	case b >= 0x90 && b < 0xa0:
	case b == 0xdc || b == 0xdd:
		if v, err = d.uint(2 << (b - 0xdc)); err != nil {
			return 0, err
		}
	default:
		return 0, framing("%s: no array, but 0x%02x", what, b)
	}
	if v > uint64(d.left) { // each element takes a byte at least
		return 0, framing("%s: an array of %d", what, v)
	}
	return int(v), nil
}

func (d *decoder) mapLen() (int, error) {
	b, err := d.byte()
	if err != nil {
		return 0, err
	}
	v := uint64(b & 0x0f)
	if b >= 0xde {
		if v, err = d.uint(2 << (b - 0xde)); err != nil {
			return 0, err
		}
	}
	if v > mostFields {
		return 0, framing("a map of %d, at most %d", v, mostFields)
	}
	return int(v), nil
}

func (d *decoder) str(what string) (string, error) {
	b, err := d.strBytes(what)
	return string(b), err
}

// strBytes reads a string. It is good until the next one is read.
func (d *decoder) strBytes(what string) ([]byte, error) {
	b, err := d.byte()
	if err != nil {
		return nil, err
	}
	n := uint64(b & 0x1f)
	switch {
	case b >= 0xa0 && b < 0xc0:
	case b >= 0xd9 && b <= 0xdb:
		if n, err = d.uint(1 << (b - 0xd9)); err != nil {
			return nil, err
		}
	default:
		return nil, framing("%s: no string, but 0x%02x", what, b)
	}
	if n > mostText {
		return nil, framing("%s: a string of %d bytes, at most %d", what, n, mostText)
	}
	if d.left -= int(n); d.left < 0 {
		return nil, framing("over %d bytes beside the body", mostBeside)
	}
	_, err = io.ReadFull(d.r, d.text[:n])
	return d.text[:n], cut(err)
}

// bin reads a body.
func (d *decoder) bin() ([]byte, error) {
	b, err := d.byte()
	if err != nil {
		return nil, err
	}
	n, err := d.uint(1 << (b - 0xc4))
	if err != nil {
		return nil, err
	}
	if n > uint64(d.mostBody) {
		return nil, framing("a body of %d bytes, at most %d", n, d.mostBody)
	}
	body := make([]byte, n)
	_, err = io.ReadFull(d.r, body)
	return body, cut(err)
}

// skip passes over any value, within the bounds of a message.
func (d *decoder) skip(nest int) error {
	b, err := d.peek()
	if err != nil {
		return err
	}
	if nest == 0 && (isArray(b) || isMap(b)) {
		return framing("arrays and maps more than %d deep", mostNest)
	}
	var n int
	switch {
	case isArray(b):
		n, err = d.arrayLen("value")
	case isMap(b):
		n, err = d.mapLen()
		n *= 2
	default:
		return d.skipPlain()
	}
	for ; err == nil && n > 0; n-- {
		err = d.skip(nest - 1)
	}
	return err
}

// skipPlain passes over a value that holds no others.
func (d *decoder) skipPlain() error {
	b, err := d.byte()
	if err != nil {
		return err
	}
	var n uint64
	switch {
	case b < 0x80 || b >= 0xe0 || b == 0xc0 || b == 0xc2 || b == 0xc3:
	case b >= 0xa0 && b < 0xc0:
		n = uint64(b & 0x1f)
	case b >= 0xc4 && b <= 0xc6:
		n, err = d.uint(1 << (b - 0xc4))
	case b >= 0xc7 && b <= 0xc9: // ext
		n, err = d.uint(1 << (b - 0xc7))
		n++
	case b == 0xca || b == 0xcb: // float
		n = 4 << (b - 0xca)
	case b >= 0xcc && b <= 0xcf:
		n = 1 << (b - 0xcc)
	case b >= 0xd0 && b <= 0xd3:
		n = 1 << (b - 0xd0)
	case b >= 0xd4 && b <= 0xd8: // fixext
		n = 1<<(b-0xd4) + 1
	case b >= 0xd9 && b <= 0xdb:
		n, err = d.uint(1 << (b - 0xd9))
	default:
		return framing("no value begins with 0x%02x", b)
	}
	if err != nil {
		return err
	}
	if n > uint64(max(d.left, 0)) {
		return framing("over %d bytes beside the body", mostBeside)
	}
	d.left -= int(n)
	_, err = d.r.Discard(int(n))
	return cut(err)
}
