package http1

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
)

// framing describes where the body of a message ends.
type framing struct {
	chunked bool
	length  int // -1: no Content-Length
}

// parseFraming parses the framing headers and rejects any that two recipients could read
// differently.
func parseFraming(h Header, minor int) (framing, error) {
	f := framing{length: -1}
	if n := h.Count("Transfer-Encoding"); n > 0 {
		switch {
		case minor == 0:
			return f, malformed("transfer coding in HTTP/1.0")
		case h.Count("Content-Length") > 0:
			return f, malformed("both a length and a transfer coding")
		case n > 1 || !strings.EqualFold(h.Get("Transfer-Encoding"), "chunked"):
			return f, &Error{501, "transfer coding other than chunked"}
		}
		f.chunked = true
		return f, nil
	}
	switch h.Count("Content-Length") {
	case 0:
		return f, nil
	case 1:
	default:
		return f, malformed("more than one length")
	}
	length, err := parseContentLength(h.Get("Content-Length"))
	f.length = length
	return f, err
}

const maxContentLengthDigits = 15 // so that the value fits an int

func parseContentLength(text string) (int, error) {
	if text == "" || len(text) > maxContentLengthDigits {
		return 0, malformed("length is not a number")
	}
	length := 0
	for _, c := range []byte(text) {
		if !isDigit(c) {
			return 0, malformed("length is not a number")
		}
		length = length*10 + int(c-'0')
	}
	return length, nil
}

// readExactly reads n bytes. The buffer grows as data arrives: a large Content-Length alone
// allocates at most ReadBufferSize bytes.
func (r *messageReader) readExactly(n int) ([]byte, error) {
	if err := r.reserve(n); err != nil { // before reading any of it, so that a rejection costs little
		return nil, err
	}
	b := make([]byte, 0, min(n, ReadBufferSize))
	for len(b) < n {
		if len(b) == cap(b) {
			b = slices.Grow(b, min(len(b), n-len(b)))
		}
		end := min(cap(b), n)
		read, err := r.buf.Read(b[len(b):end])
		b = b[:len(b)+read]
		if err != nil && len(b) < n {
			return nil, unexpectedEOF(err)
		}
	}
	return b, nil
}

// readChunkedBody reads a chunked body. Its trailers are read and discarded.
func (r *messageReader) readChunkedBody() ([]byte, error) {
	var body []byte
	for {
		size, err := r.readChunkSize()
		if err != nil {
			return nil, err
		}
		if size == 0 {
			_, err := r.readHeaders()
			return body, err
		}
		if len(body)+size > r.limits.MaxBodyBytes {
			return nil, &Error{413, fmt.Sprintf("body over %d bytes", r.limits.MaxBodyBytes)}
		}
		chunk, err := r.readExactly(size)
		if err != nil {
			return nil, err
		}
		if body == nil {
			body = chunk
		} else {
			body = append(body, chunk...)
		}
		var end [2]byte
		if _, err := io.ReadFull(r.buf, end[:]); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
		if end != [2]byte{'\r', '\n'} {
			return nil, malformed("chunk is longer than its size")
		}
	}
}

const maxChunkSizeDigits = 8 // hexadecimal

// readChunkSize reads the line before a chunk. Chunk extensions are allowed and ignored, but count
// toward MaxHeaderBytes.
func (r *messageReader) readChunkSize() (int, error) {
	line, err := r.readLine(r.limits.MaxLineBytes, 400, "chunk size")
	if err != nil {
		return 0, err
	}
	digits, extension, _ := bytes.Cut(line, []byte(";"))
	if r.headerBytesLeft -= len(extension) + len("\r\n"); r.headerBytesLeft < 0 {
		return 0, &Error{431, "chunk framing over the limit of header bytes"}
	}
	if len(digits) == 0 || len(digits) > maxChunkSizeDigits {
		return 0, malformed("chunk size is malformed")
	}
	size := 0
	for _, c := range digits {
		digit, ok := hexDigit(c)
		if !ok {
			return 0, malformed("chunk size is malformed")
		}
		size = size<<4 + digit
	}
	return size, nil
}

func hexDigit(c byte) (value int, ok bool) {
	switch {
	case isDigit(c):
		return int(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10, true
	}
	return 0, false
}

// readToEOF reads a body that ends with the connection.
func (r *messageReader) readToEOF() ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r.buf, int64(r.limits.MaxBodyBytes)+1))
	if err == nil && len(b) > r.limits.MaxBodyBytes {
		err = &Error{502, fmt.Sprintf("body over %d bytes", r.limits.MaxBodyBytes)}
	}
	return b, err
}
