package http1

import (
	"bufio"
	"fmt"
)

const maxInterim = 7 // answers with status 1xx before the final one

// ReadResponse reads the complete answer to a request with the given method. Interim answers are skipped. Errors are
// of type *Error if the message is at fault, io.EOF if the connection ended before a first byte and
// io.ErrUnexpectedEOF if it ended within the answer.
func ReadResponse(buf *bufio.Reader, limits *Limits, method string) (*Response, error) {
	r := newReader(buf, limits)
	for range maxInterim + 1 {
		resp, minor, err := r.responseHead()
		if err != nil {
			return nil, err
		}
		if resp.Status == 101 {
			return nil, &Error{502, "switch of protocols that nobody asked for"}
		}
		if resp.Status < 200 {
			continue
		}
		if err := r.responseBody(resp, minor, method); err != nil {
			return nil, err
		}
		return resp, nil
	}
	return nil, &Error{502, "too many interim answers"}
}

// responseHead reads the status line and the header lines.
func (r *reader) responseHead() (resp *Response, minor int, err error) {
	if _, err := r.buf.Peek(1); err != nil {
		return nil, 0, err
	}
	line, err := r.line(r.limits.MaxLineBytes, 502, "status line")
	if err != nil {
		return nil, 0, err
	}
	resp, minor, err = parseStatusLine(line)
	if err != nil {
		return nil, 0, err
	}
	resp.Header, err = r.headers()
	return resp, minor, err
}

// responseBody reads the body of a final answer.
func (r *reader) responseBody(resp *Response, minor int, method string) error {
	resp.Close = closes(resp.Header, minor)
	body, err := parseFraming(resp.Header, minor)
	if err != nil {
		return err
	}
	switch {
	case method == "HEAD" || resp.Status == 204 || resp.Status == 304:
	case body.chunked:
		resp.Body, err = r.chunks()
	case body.length > r.limits.MaxBodyBytes:
		err = &Error{502, fmt.Sprintf("body over %d bytes", r.limits.MaxBodyBytes)}
	case body.length >= 0:
		resp.Body, err = r.exactly(body.length)
	default: // to the end of the connection: RFC 9112 section 6.3, item 8
		resp.Close = true
		resp.Body, err = r.toEnd()
	}
	return err
}

// parseStatusLine reads a line like "HTTP/1.1 200 OK"; some leave out the space before an empty reason.
func parseStatusLine(line []byte) (resp *Response, minor int, err error) {
	const versionEnd, statusEnd = 8, 12
	withReason := len(line) > statusEnd && line[versionEnd] == ' ' && line[statusEnd] == ' '
	if !withReason && len(line) != statusEnd {
		return nil, 0, bad("status line is malformed")
	}
	if minor, err = parseVersion(line[:versionEnd]); err != nil {
		return nil, 0, err
	}
	status := 0
	for _, c := range line[versionEnd+1 : statusEnd] {
		if !isDigit(c) {
			return nil, 0, bad("status is not a number")
		}
		status = status*10 + int(c-'0')
	}
	if status < 100 || status > 599 {
		return nil, 0, bad("status out of range")
	}
	return &Response{Status: status}, minor, nil
}
