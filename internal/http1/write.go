package http1

import (
	"slices"
	"strconv"
	"strings"
)

// safeValue replaces what would end a header line early: a value that came from elsewhere cannot add lines.
func safeValue(value string) string {
	if !strings.ContainsAny(value, "\r\n\x00") {
		return value
	}
	return strings.Map(func(c rune) rune {
		if c == '\r' || c == '\n' || c == 0 {
			return ' '
		}
		return c
	}, value)
}

// usualHead is a size in bytes that most heads do not exceed.
const usualHead = 256

func appendHeader(b []byte, h Header) []byte {
	for _, f := range h {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, safeValue(f.Value)...)
		b = append(b, '\r', '\n')
	}
	return b
}

func appendLength(b []byte, length int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	return append(b, '\r', '\n')
}

// appendHeadEnd appends the end of a head.
func appendHeadEnd(b []byte, closes bool) []byte {
	if closes {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, '\r', '\n')
}

// AppendRequest appends the bytes of a request. The framing headers are added here, and must not be in its header.
func AppendRequest(b []byte, r *Request) []byte {
	b = slices.Grow(b, usualHead+len(r.Body))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendHeader(b, r.Header)
	if len(r.Body) > 0 || r.Method != "GET" && r.Method != "HEAD" {
		b = appendLength(b, len(r.Body))
	}
	b = appendHeadEnd(b, r.Close)
	return append(b, r.Body...)
}

// AppendResponse appends the bytes of an answer. The framing headers are added here, and must not be in its header.
// With head set, the answer is to a HEAD request: its body is left out, but not its length.
func AppendResponse(b []byte, r *Response, head bool) []byte {
	b = slices.Grow(b, usualHead+len(r.Body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, reasons[r.Status]...)
	b = append(b, '\r', '\n')
	b = appendHeader(b, r.Header)
	if r.Status != 204 && r.Status != 304 && r.Status >= 200 {
		b = appendLength(b, len(r.Body))
	}
	b = appendHeadEnd(b, r.Close)
	if !head {
		b = append(b, r.Body...)
	}
	return b
}

// AppendChunk appends one chunk of a chunked body; an empty one ends the body.
func AppendChunk(b, part []byte) []byte {
	b = strconv.AppendInt(b, int64(len(part)), 16)
	b = append(b, '\r', '\n')
	b = append(b, part...)
	return append(b, '\r', '\n')
}
