package msgpackrpc

import "encoding/binary"

// Errors of answers. The platform knows Rejected; any other counts as failed, and Failed and Invalid are kitehub's
// own.
const (
	errorRejected = "Rejected"
	errorFailed   = "Failed"
	errorInvalid  = "Invalid"
)

// maxServedOverhead is the size of an answer with a body, but for the body.
const maxServedOverhead = 24

const typeResponse = 1

// appendServed appends the answer [1, id, nil, [body, {}]].
func appendServed(b []byte, id uint32, body []byte) []byte {
	b = appendResponse(b, id)
	b = append(b, formatNil, formatFixArray|2)
	b = appendBin(b, body)
	return append(b, formatFixMap)
}

// appendError appends the answer [1, id, [text, {name: value}], nil]; the map is empty if the name is.
func appendError(b []byte, id uint32, text, name, value string) []byte {
	b = appendResponse(b, id)
	b = append(b, formatFixArray|2)
	b = appendStr(b, text)
	if name == "" {
		b = append(b, formatFixMap)
	} else {
		b = append(b, formatFixMap|1)
		b = appendStr(b, name)
		b = appendStr(b, value)
	}
	return append(b, formatNil)
}

// appendStatus appends the answer [1, id, nil, [ready, {}]].
func appendStatus(b []byte, id uint32, ready bool) []byte {
	b = appendResponse(b, id)
	b = append(b, formatNil, formatFixArray|2)
	if ready {
		b = append(b, formatTrue)
	} else {
		b = append(b, formatFalse)
	}
	return append(b, formatFixMap)
}

// appendResponse appends the begin of a response, an array of four: its type and its msgid.
func appendResponse(b []byte, id uint32) []byte {
	return appendUint(append(b, formatFixArray|4, typeResponse), id)
}

func appendUint(b []byte, v uint32) []byte {
	switch {
	case v < formatFixMap:
		return append(b, byte(v))
	case v <= 0xff:
		return append(b, formatUint8, byte(v))
	case v <= 0xffff:
		return binary.BigEndian.AppendUint16(append(b, formatUint16), uint16(v))
	}
	return binary.BigEndian.AppendUint32(append(b, formatUint32), v)
}

// appendStr appends a string of at most 255 bytes; a longer one is truncated.
func appendStr(b []byte, s string) []byte {
	s = s[:min(len(s), 0xff)]
	if len(s) < 32 {
		b = append(b, formatFixStr|byte(len(s)))
	} else {
		b = append(b, formatStr8, byte(len(s)))
	}
	return append(b, s...)
}

func appendBin(b, body []byte) []byte {
	switch n := len(body); {
	case n <= 0xff:
		b = append(b, formatBin8, byte(n))
	case n <= 0xffff:
		b = binary.BigEndian.AppendUint16(append(b, formatBin16), uint16(n))
	default:
		b = binary.BigEndian.AppendUint32(append(b, formatBin32), uint32(n))
	}
	return append(b, body...)
}
