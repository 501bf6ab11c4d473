package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"

	"kitehub/internal/overload"
)

// A messageReader reads one message.
type messageReader struct {
	buf             *bufio.Reader
	limits          *Limits
	headerBytesLeft int               // bytes of header lines and chunk framing that may still be read
	account         *overload.Account // nil: the message may have any size within the limits
	reserved        int               // bytes of the account
}

// reserve reserves memory for a part of the message. It returns an *Error if there is none.
func (r *messageReader) reserve(bytes int) error {
	if r.account == nil {
		return nil
	}
	if !r.account.Reserve(bytes) {
		return &Error{503, "no memory left for the message"}
	}
	r.reserved += bytes
	return nil
}

func newMessageReader(buf *bufio.Reader, limits *Limits) messageReader {
	return messageReader{buf: buf, limits: limits, headerBytesLeft: limits.MaxHeaderBytes}
}

// readLine returns the next line without its CRLF; the slice is valid until the next read. status
// is the status of the error for a line over the limit, and what names the line in errors.
func (r *messageReader) readLine(limit, status int, what string) ([]byte, error) {
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
		return nil, malformed(what + " ends in a bare LF")
	}
	if bytes.IndexByte(text, '\r') >= 0 {
		return nil, malformed(what + " holds a bare CR")
	}
	return text, nil
}

// unexpectedEOF converts io.EOF within a message to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// headerLineOverhead is what a header line takes beside its text, in bytes.
const headerLineOverhead = 64

// readHeaders reads header or trailer lines up to and including the empty line.
func (r *messageReader) readHeaders() (Header, error) {
	h := make(Header, 0, 8)
	for {
		line, err := r.readLine(r.limits.MaxLineBytes, 431, "header line")
		if err != nil {
			return nil, err
		}
		if err := r.reserve(len(line) + headerLineOverhead); err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return h, nil
		}
		if r.headerBytesLeft -= len(line); r.headerBytesLeft < 0 {
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
		return Field{}, malformed("folded header line") // RFC 9112 section 5.2
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) { // nor may whitespace precede the colon: section 5.1
		return Field{}, malformed("header line without a valid name")
	}
	value = bytes.Trim(value, " \t")
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 127 {
			return Field{}, malformed("control character in a header value")
		}
	}
	// One allocation for both strings: most of a request's head consists of such lines.
	both := string(name) + string(value)
	return Field{both[:len(name)], both[len(name):]}, nil
}

// closesConnection reports whether the connection ends after a message with these headers (RFC 9112
// section 9.3).
func closesConnection(h Header, minor int) bool {
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
	return 0, malformed("version is malformed")
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
