package msgpackrpc

import (
	"errors"
	"io"
)

// First bytes of values, by the MessagePack specification. The fix formats hold a number or a length in their low
// bits; the others of a kind follow each other by the size of the number or length that comes next.
const (
	formatFixMap      = 0x80 // below: a number up to 127
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
	formatNegativeFix = 0xe0 // and above: a number from -32 to -1
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

// peek returns the first byte of the next value.
func (d *decoder) peek() (byte, error) {
	b, err := d.r.Peek(1)
	if err != nil {
		return 0, unexpectedEOF(err)
	}
	return b[0], nil
}

// unexpectedEOF returns the error of a connection that ended within a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func errOverhead() error { return frameError("over %d bytes beside the body", maxOverhead) }

// byte reads one byte that is not of a body.
func (d *decoder) byte() (byte, error) {
	if d.left--; d.left < 0 {
		return 0, errOverhead()
	}
	b, err := d.r.ReadByte()
	return b, unexpectedEOF(err)
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

// number reads a whole number from 0 to maxNumber. what names it in errors, here and below.
func (d *decoder) number(what string) (uint64, error) {
	b, err := d.byte()
	if err != nil {
		return 0, err
	}
	var v uint64
	switch {
	case b < formatFixMap:
		return uint64(b), nil
	case b >= formatUint8 && b <= formatUint64:
		v, err = d.uint(1 << (b - formatUint8))
	case b >= formatInt8 && b <= formatInt64:
		bytes := 1 << (b - formatInt8)
		if v, err = d.uint(bytes); v>>(8*bytes-1) != 0 {
			v = maxNumber + 1 // negative
		}
	default:
		return 0, frameError("%s: no number, but 0x%02x", what, b)
	}
	if err == nil && v > maxNumber {
		err = frameError("%s: out of range", what)
	}
	return v, err
}

// arrayLen reads the head of an array.
func (d *decoder) arrayLen(what string) (int, error) {
	b, err := d.byte()
	if err != nil {
		return 0, err
	}
	v := uint64(b & 0x0f)
	switch {
	case isFixArray(b):
	case isArray(b):
		if v, err = d.uint(2 << (b - formatArray16)); err != nil {
			return 0, err
		}
	default:
		return 0, frameError("%s: no array, but 0x%02x", what, b)
	}
	if v > uint64(d.left) { // each element takes a byte at least
		return 0, frameError("%s: an array of %d", what, v)
	}
	return int(v), nil
}

// mapLen reads the head of a map; that it is one, the caller has seen.
func (d *decoder) mapLen() (int, error) {
	b, err := d.byte()
	if err != nil {
		return 0, err
	}
	v := uint64(b & 0x0f)
	if b >= formatMap16 {
		if v, err = d.uint(2 << (b - formatMap16)); err != nil {
			return 0, err
		}
	}
	if v > maxPairs {
		return 0, frameError("a map of %d, at most %d", v, maxPairs)
	}
	return int(v), nil
}

func (d *decoder) str(what string) (string, error) {
	b, err := d.strBytes(what)
	return string(b), err
}

// strBytes reads a string. It is valid until the next one is read.
func (d *decoder) strBytes(what string) ([]byte, error) {
	b, err := d.byte()
	if err != nil {
		return nil, err
	}
	n := uint64(b & 0x1f)
	switch {
	case isFixStr(b):
	case isStr(b):
		if n, err = d.uint(1 << (b - formatStr8)); err != nil {
			return nil, err
		}
	default:
		return nil, frameError("%s: no string, but 0x%02x", what, b)
	}
	if n > maxText {
		return nil, frameError("%s: a string of %d bytes, at most %d", what, n, maxText)
	}
	if d.left -= int(n); d.left < 0 {
		return nil, errOverhead()
	}
	_, err = io.ReadFull(d.r, d.text[:n])
	return d.text[:n], unexpectedEOF(err)
}

// bin reads a body; that it is one, the caller has seen.
func (d *decoder) bin() ([]byte, error) {
	b, err := d.byte()
	if err != nil {
		return nil, err
	}
	n, err := d.uint(1 << (b - formatBin8))
	if err != nil {
		return nil, err
	}
	if n > uint64(d.maxBody) {
		return nil, frameError("a body of %d bytes, at most %d", n, d.maxBody)
	}
	body := make([]byte, n)
	_, err = io.ReadFull(d.r, body)
	return body, unexpectedEOF(err)
}

// skip skips any value, within the bounds of a message. Arrays and maps may lie within each other to this depth.
func (d *decoder) skip(depth int) error {
	b, err := d.peek()
	if err != nil {
		return err
	}
	if depth == 0 && (isArray(b) || isMap(b)) {
		return frameError("arrays and maps more than %d deep", maxDepth)
	}
	var n int
	switch {
	case isArray(b):
		n, err = d.arrayLen("value")
	case isMap(b):
		n, err = d.mapLen()
		n *= 2
	default:
		return d.skipScalar()
	}
	for ; err == nil && n > 0; n-- {
		err = d.skip(depth - 1)
	}
	return err
}

// skipScalar skips a value that holds no others.
func (d *decoder) skipScalar() error {
	b, err := d.byte()
	if err != nil {
		return err
	}
	n, err := d.scalarSize(b)
	if err != nil {
		return err
	}
	if n > uint64(max(d.left, 0)) {
		return errOverhead()
	}
	d.left -= int(n)
	_, err = d.r.Discard(int(n))
	return unexpectedEOF(err)
}

// scalarSize returns how many bytes of a value without others come after its first byte and its length, which it
// reads.
func (d *decoder) scalarSize(b byte) (n uint64, err error) {
	switch {
	case b < formatFixMap, b >= formatNegativeFix, b == formatNil, b == formatFalse, b == formatTrue:
		return 0, nil
	case isFixStr(b):
		return uint64(b & 0x1f), nil
	case isBin(b):
		return d.uint(1 << (b - formatBin8))
	case b >= formatExt8 && b <= formatExt32:
		n, err = d.uint(1 << (b - formatExt8))
		return n + 1, err // and its type
	case b == formatFloat32, b == formatFloat64:
		return 4 << (b - formatFloat32), nil
	case b >= formatUint8 && b <= formatUint64:
		return 1 << (b - formatUint8), nil
	case b >= formatInt8 && b <= formatInt64:
		return 1 << (b - formatInt8), nil
	case b >= formatFixExt1 && b <= formatFixExt16:
		return 1<<(b-formatFixExt1) + 1, nil // and its type
	case b >= formatStr8 && b <= formatStr32:
		return d.uint(1 << (b - formatStr8))
	}
	return 0, frameError("no value begins with 0x%02x", b)
}
