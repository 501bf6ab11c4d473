package msgpackrpc

import "encoding/binary"

// Errors in answers. The platform defines Rejected and treats any other error as a failure; Failed
// and Invalid are defined by kitehub.
const (
	errorRejected = "Rejected"
	errorFailed   = "Failed"
	errorInvalid  = "Invalid"
)

// maxServedOverhead is the size in bytes of the answer to a served request, without its body.
const maxServedOverhead = 24

const typeResponse = 1

// appendServed appends the response [1, id, nil, [body, {}]].
func appendServed(b []byte, id uint32, body []byte) []byte {
	b = appendResponseHead(b, id)
	b = append(b, formatNil, formatFixArray|2)
	b = appendBin(b, body)
	return append(b, formatFixMap)
}

// appendError appends the response [1, id, [text, {name: value}], nil]. The map is empty if name
// is.
func appendError(b []byte, id uint32, text, name, value string) []byte {
	b = appendResponseHead(b, id)
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

// appendStatus appends the response [1, id, nil, [ready, {}]].
func appendStatus(b []byte, id uint32, ready bool) []byte {
	b = appendResponseHead(b, id)
	b = append(b, formatNil, formatFixArray|2)
	if ready {
		b = append(b, formatTrue)
	} else {
		b = append(b, formatFalse)
	}
	return append(b, formatFixMap)
}

// appendResponseHead appends the start of a response, which is an array of four elements: the array
// header, the message type and the msgid.
func appendResponseHead(b []byte, id uint32) []byte {
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

// appendStr appends a string. A string longer than 255 bytes is truncated.
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
