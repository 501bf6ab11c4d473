package http1

import (
	"slices"
	"strconv"
	"strings"
)

// sanitizeValue replaces CR, LF and NUL with spaces, so that a value from an untrusted source
// cannot inject header lines.
func sanitizeValue(value string) string {
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

// typicalHeadBytes is the initial capacity for a head; most heads are smaller.
const typicalHeadBytes = 256

func appendHeader(b []byte, h Header) []byte {
	for _, f := range h {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, sanitizeValue(f.Value)...)
		b = append(b, '\r', '\n')
	}
	return b
}

func appendLength(b []byte, length int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	return append(b, '\r', '\n')
}

// appendHeadEnd appends the empty line that ends a head, after Connection: close if closes is set.
func appendHeadEnd(b []byte, closes bool) []byte {
	if closes {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, '\r', '\n')
}

// AppendRequest appends the encoded request to b. It adds the framing headers, which r.Header must
// not contain.
func AppendRequest(b []byte, r *Request) []byte {
	b = slices.Grow(b, typicalHeadBytes+len(r.Body))
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

// AppendResponse appends the encoded response to b. It adds the framing headers, which r.Header
// must not contain. If head is set, the response answers a HEAD request: its body is omitted, but
// not its length.
func AppendResponse(b []byte, r *Response, head bool) []byte {
	b = slices.Grow(b, typicalHeadBytes+len(r.Body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[r.Status]...)
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

// AppendChunk appends one chunk of a chunked body; an empty chunk ends the body.
func AppendChunk(b, data []byte) []byte {
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, '\r', '\n')
	b = append(b, data...)
	return append(b, '\r', '\n')
}
