package msgpackrpc

import (
	"errors"
	"io"
)

// First bytes of values, by the MessagePack specification. The fix formats hold a number or a
// length in their low bits. The other formats of a type have consecutive first bytes, ordered by
// the size of the number or length that follows.
const (
	formatFixMap      = 0x80 // lower bytes are the numbers 0 to 127
	formatFixArray    = 0x90
	formatFixStr      = 0xa0
	formatNil         = 0xc0
	formatFalse       = 0xc2
	formatTrue        = 0xc3
	formatBin8        = 0xc4
	formatBin16       = 0xc5
	formatBin32       = 0xc6
	formatExt8        = 0xc7
	formatExt32       = 0xc9
	formatFloat32     = 0xca
	formatFloat64     = 0xcb
	formatUint8       = 0xcc
	formatUint16      = 0xcd
	formatUint32      = 0xce
	formatUint64      = 0xcf
	formatInt8        = 0xd0
	formatInt64       = 0xd3
	formatFixExt1     = 0xd4
	formatFixExt16    = 0xd8
	formatStr8        = 0xd9
	formatStr32       = 0xdb
	formatArray16     = 0xdc
	formatArray32     = 0xdd
	formatMap16       = 0xde
	formatMap32       = 0xdf
	formatNegativeFix = 0xe0 // this and higher bytes are the numbers -32 to -1
)

func isFixArray(b byte) bool { return b >= formatFixArray && b < formatFixStr }

func isFixStr(b byte) bool { return b >= formatFixStr && b < formatNil }

func isNumber(b byte) bool {
	return b < formatFixMap || b >= formatUint8 && b <= formatInt64 || b >= formatNegativeFix
}

func isStr(b byte) bool { return isFixStr(b) || b >= formatStr8 && b <= formatStr32 }

func isBin(b byte) bool { return b >= formatBin8 && b <= formatBin32 }

func isMap(b byte) bool {
	return b >= formatFixMap && b < formatFixArray || b == formatMap16 || b == formatMap32
}

func isArray(b byte) bool { return isFixArray(b) || b == formatArray16 || b == formatArray32 }

// peekByte returns the first byte of the next value without reading it.
func (d *decoder) peekByte() (byte, error) {
	b, err := d.r.Peek(1)
	if err != nil {
		return 0, unexpectedEOF(err)
	}
	return b[0], nil
}

// unexpectedEOF replaces io.EOF with io.ErrUnexpectedEOF, as the connection has ended within a
// message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func overheadError() error { return malformedError("over %d bytes beside the body", maxOverhead) }

// readByte reads one byte that is not part of a body.
func (d *decoder) readByte() (byte, error) {
	if d.remaining--; d.remaining < 0 {
		return 0, overheadError()
	}
	b, err := d.r.ReadByte()
	return b, unexpectedEOF(err)
}

// readUint reads a big-endian number of the given size in bytes.
func (d *decoder) readUint(bytes int) (v uint64, err error) {
	for range bytes {
		b, err := d.readByte()
		if err != nil {
			return 0, err
		}
		v = v<<8 | uint64(b)
	}
	return v, nil
}

// readNumber reads an integer from 0 to maxNumber. Here and below, what names the value in errors.
func (d *decoder) readNumber(what string) (uint64, error) {
	b, err := d.readByte()
	if err != nil {
		return 0, err
	}
	var v uint64
	switch {
	case b < formatFixMap:
		return uint64(b), nil
	case b >= formatUint8 && b <= formatUint64:
		v, err = d.readUint(1 << (b - formatUint8))
	case b >= formatInt8 && b <= formatInt64:
		bytes := 1 << (b - formatInt8)
		if v, err = d.readUint(bytes); v>>(8*bytes-1) != 0 {
			v = maxNumber + 1 // negative
		}
	default:
		return 0, malformedError("%s: no number, but 0x%02x", what, b)
	}
	if err == nil && v > maxNumber {
		err = malformedError("%s: out of range", what)
	}
	return v, err
}

// readArrayLen reads the header of an array, and returns the number of elements.
func (d *decoder) readArrayLen(what string) (int, error) {
	b, err := d.readByte()
	if err != nil {
		return 0, err
	}
	v := uint64(b & 0x0f)
	switch {
	case isFixArray(b):
	case isArray(b):
		if v, err = d.readUint(2 << (b - formatArray16)); err != nil {
			return 0, err
		}
	default:
		return 0, malformedError("%s: no array, but 0x%02x", what, b)
	}
	if v > uint64(d.remaining) { // each element has at least one byte
		return 0, malformedError("%s: an array of %d", what, v)
	}
	return int(v), nil
}

// readMapLen reads the header of a map, and returns the number of pairs. The caller has checked
// that the value is a map.
func (d *decoder) readMapLen() (int, error) {
	b, err := d.readByte()
	if err != nil {
		return 0, err
	}
	v := uint64(b & 0x0f)
	if b >= formatMap16 {
		if v, err = d.readUint(2 << (b - formatMap16)); err != nil {
			return 0, err
		}
	}
	if v > maxPairs {
		return 0, malformedError("a map of %d, at most %d", v, maxPairs)
	}
	return int(v), nil
}

func (d *decoder) readStr(what string) (string, error) {
	b, err := d.readStrBytes(what)
	return string(b), err
}

// readStrBytes reads a string into the decoder's buffer. The result is valid until the next string
// is read.
func (d *decoder) readStrBytes(what string) ([]byte, error) {
	b, err := d.readByte()
	if err != nil {
		return nil, err
	}
	n := uint64(b & 0x1f)
	switch {
	case isFixStr(b):
	case isStr(b):
		if n, err = d.readUint(1 << (b - formatStr8)); err != nil {
			return nil, err
		}
	default:
		return nil, malformedError("%s: no string, but 0x%02x", what, b)
	}
	if n > maxText {
		return nil, malformedError("%s: a string of %d bytes, at most %d", what, n, maxText)
	}
	if d.remaining -= int(n); d.remaining < 0 {
		return nil, overheadError()
	}
	_, err = io.ReadFull(d.r, d.text[:n])
	return d.text[:n], unexpectedEOF(err)
}

// readBody reads a body, or skips it if the account has no room for it. The caller has checked that
// the value is binary.
func (d *decoder) readBody(m *message) error {
	b, err := d.readByte()
	if err != nil {
		return err
	}
	n, err := d.readUint(1 << (b - formatBin8))
	if err != nil {
		return err
	}
	if n > uint64(d.maxBody) {
		return malformedError("a body of %d bytes, at most %d", n, d.maxBody)
	}
	if d.account != nil {
		if !d.account.Reserve(int(n)) {
			m.noRoom = true
			_, err = d.r.Discard(int(n))
			return unexpectedEOF(err)
		}
		m.reserved = int(n)
	}
	m.body = make([]byte, n)
	_, err = io.ReadFull(d.r, m.body)
	return unexpectedEOF(err)
}

// skip skips any value, within the bounds of a message. depth is how deep arrays and maps may still
// be nested.
func (d *decoder) skip(depth int) error {
	b, err := d.peekByte()
	if err != nil {
		return err
	}
	if depth == 0 && (isArray(b) || isMap(b)) {
		return malformedError("arrays and maps more than %d deep", maxDepth)
	}
	var n int
	switch {
	case isArray(b):
		n, err = d.readArrayLen("value")
	case isMap(b):
		n, err = d.readMapLen()
		n *= 2
	default:
		return d.skipScalar()
	}
	for ; err == nil && n > 0; n-- {
		err = d.skip(depth - 1)
	}
	return err
}

// skipScalar skips a value that is neither an array nor a map.
func (d *decoder) skipScalar() error {
	b, err := d.readByte()
	if err != nil {
		return err
	}
	n, err := d.scalarSize(b)
	if err != nil {
		return err
	}
	if n > uint64(max(d.remaining, 0)) {
		return overheadError()
	}
	d.remaining -= int(n)
	_, err = d.r.Discard(int(n))
	return unexpectedEOF(err)
}

// scalarSize returns how many bytes of a value remain after its first byte b and, if it has one,
// its length, which is read here.
func (d *decoder) scalarSize(b byte) (n uint64, err error) {
	switch {
	case b < formatFixMap, b >= formatNegativeFix, b == formatNil, b == formatFalse, b == formatTrue:
		return 0, nil
	case isFixStr(b):
		return uint64(b & 0x1f), nil
	case isBin(b):
		return d.readUint(1 << (b - formatBin8))
	case b >= formatExt8 && b <= formatExt32:
		n, err = d.readUint(1 << (b - formatExt8))
		return n + 1, err // the extension type is one byte
	case b == formatFloat32, b == formatFloat64:
		return 4 << (b - formatFloat32), nil
	case b >= formatUint8 && b <= formatUint64:
		return 1 << (b - formatUint8), nil
	case b >= formatInt8 && b <= formatInt64:
		return 1 << (b - formatInt8), nil
	case b >= formatFixExt1 && b <= formatFixExt16:
		return 1<<(b-formatFixExt1) + 1, nil // the extension type is one byte
	case b >= formatStr8 && b <= formatStr32:
		return d.readUint(1 << (b - formatStr8))
	}
	return 0, malformedError("no value begins with 0x%02x", b)
}
