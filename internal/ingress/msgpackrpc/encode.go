package msgpackrpc

import "encoding/binary"

// Words of the answers' errors. Rejected is the platform's; the others are ours, as any other word means failed.
const (
	wordRejected = "Rejected"
	wordFailed   = "Failed"
	wordInvalid  = "Invalid"
)

func appendUint(b []byte, v uint32) []byte {
	switch {
	case v < 0x80:
		return append(b, byte(v))
	case v <= 0xff:
		return append(b, 0xcc, byte(v))
	case v <= 0xffff:
		return binary.BigEndian.AppendUint16(append(b, 0xcd), uint16(v))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xce), v)
}

// appendStr appends a string of at most 255 bytes; a longer one is cut.
func appendStr(b []byte, s string) []byte {
	s = s[:min(len(s), 0xff)]
	if len(s) < 32 {
		b = append(b, 0xa0|byte(len(s)))
	} else {
		b = append(b, 0xd9, byte(len(s)))
	}
	return append(b, s...)
}

func appendBin(b, body []byte) []byte {
	switch n := len(body); {
	case n <= 0xff:
		b = append(b, 0xc4, byte(n))
	case n <= 0xffff:
		b = binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(n))
	default:
		b = binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(n))
	}
	return append(b, body...)
}

// appendFields appends a map of none or one pair.
func appendFields(b []byte, name, value string) []byte {
	if name == "" {
		return append(b, 0x80)
	}
	return appendStr(appendStr(append(b, 0x81), name), value)
}

// appendServed appends the answer [1, id, nil, [body, {}]].
func appendServed(b []byte, id uint32, body []byte) []byte {
	b = appendUint(append(b, 0x94, 1), id)
	return appendFields(appendBin(append(b, 0xc0, 0x92), body), "", "")
}

// appendError appends the answer [1, id, [word, {name: value}], nil].
func appendError(b []byte, id uint32, word, name, value string) []byte {
	b = appendStr(append(appendUint(append(b, 0x94, 1), id), 0x92), word)
	return append(appendFields(b, name, value), 0xc0)
}

// appendStatus appends the answer [1, id, nil, [ready, {}]].
func appendStatus(b []byte, id uint32, ready bool) []byte {
	b = append(appendUint(append(b, 0x94, 1), id), 0xc0, 0x92, 0xc2)
	if ready {
		b[len(b)-1] = 0xc3
	}
	return append(b, 0x80)
}
