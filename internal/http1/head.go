package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
)

// A reader reads one message.
type reader struct {
	buf         *bufio.Reader
	limits      *Limits
	headersLeft int // bytes of header lines, and of chunk framing, still allowed
}

func newReader(buf *bufio.Reader, limits *Limits) reader {
	return reader{buf: buf, limits: limits, headersLeft: limits.MaxHeaderBytes}
}

// line returns the next line without its CRLF, which are valid until the next read. status is that of the error for a
// line over the limit, and what names the line in errors.
func (r *reader) line(limit, status int, what string) ([]byte, error) {
	line, err := r.buf.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		longLine := slices.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(longLine) <= limit {
			line, err = r.buf.ReadSlice('\n')
			longLine = append(longLine, line...)
		}
		line = longLine
	}
	if len(line) > limit+len("\r\n") {
		return nil, &Error{status, fmt.Sprintf("%s over %d bytes", what, limit)}
	}
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return nil, bad(what + " ends in a bare LF")
	}
	if bytes.IndexByte(text, '\r') >= 0 {
		return nil, bad(what + " holds a bare CR")
	}
	return text, nil
}

// unexpectedEOF returns the error of a connection that ended within a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// headers reads header or trailer lines up to the empty one.
func (r *reader) headers() (Header, error) {
	h := make(Header, 0, 8)
	for {
		line, err := r.line(r.limits.MaxLineBytes, 431, "header line")
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return h, nil
		}
		if r.headersLeft -= len(line); r.headersLeft < 0 {
			return nil, &Error{431, fmt.Sprintf("header lines over %d bytes", r.limits.MaxHeaderBytes)}
		}
		if len(h) >= r.limits.MaxHeaderLines {
			return nil, &Error{431, fmt.Sprintf("over %d header lines", r.limits.MaxHeaderLines)}
		}
		field, err := parseField(line)
		if err != nil {
			return nil, err
		}
		h = append(h, field)
	}
}

func parseField(line []byte) (Field, error) {
	if line[0] == ' ' || line[0] == '\t' {
		return Field{}, bad("folded header line") // RFC 9112 section 5.2
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) { // which white space before the colon is not, either: section 5.1
		return Field{}, bad("header line without a valid name")
	}
	value = bytes.Trim(value, " \t")
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 127 {
			return Field{}, bad("control character in a header value")
		}
	}
	// One allocation for the two: most of a request's head are such lines.
	both := string(name) + string(value)
	return Field{both[:len(name)], both[len(name):]}, nil
}

// closes reports whether the connection ends after a message (RFC 9112 section 9.3).
func closes(h Header, minor int) bool {
	return h.HasToken("Connection", "close") || minor == 0 && !h.HasToken("Connection", "keep-alive")
}

// parseVersion returns the minor version of HTTP/1.x.
func parseVersion(text []byte) (minor int, err error) {
	switch string(text) {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	if len(text) == len("HTTP/1.1") && bytes.HasPrefix(text, []byte("HTTP/")) &&
		isDigit(text[5]) && text[6] == '.' && isDigit(text[7]) {
		return 0, &Error{505, "version is not HTTP/1.0 or 1.1"}
	}
	return 0, bad("version is malformed")
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
