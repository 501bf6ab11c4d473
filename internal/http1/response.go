package http1

import (
	"bufio"
	"fmt"
)

const maxInterimResponses = 7 // per final response

// ReadResponse reads the complete response to a request with the given method, and skips interim
// responses (1xx). The error is an *Error if the message is invalid, io.EOF if the connection ended
// before the first byte, and io.ErrUnexpectedEOF if it ended within the response.
func ReadResponse(buf *bufio.Reader, limits *Limits, method string) (*Response, error) {
	r := newMessageReader(buf, limits)
	for range maxInterimResponses + 1 {
		resp, minor, err := r.readResponseHead()
		if err != nil {
			return nil, err
		}
		if resp.Status == 101 {
			return nil, &Error{502, "unexpected protocol switch"}
		}
		if resp.Status < 200 {
			continue
		}
		if err := r.readResponseBody(resp, minor, method); err != nil {
			return nil, err
		}
		return resp, nil
	}
	return nil, &Error{502, "too many interim responses"}
}

// readResponseHead reads the status line and the header lines.
func (r *messageReader) readResponseHead() (resp *Response, minor int, err error) {
	if _, err := r.buf.Peek(1); err != nil {
		return nil, 0, err
	}
	line, err := r.readLine(r.limits.MaxLineBytes, 502, "status line")
	if err != nil {
		return nil, 0, err
	}
	resp, minor, err = parseStatusLine(line)
	if err != nil {
		return nil, 0, err
	}
	resp.Header, err = r.readHeaders()
	return resp, minor, err
}

// readResponseBody reads the body of a final response.
func (r *messageReader) readResponseBody(resp *Response, minor int, method string) error {
	resp.Close = closesConnection(resp.Header, minor)
	body, err := parseFraming(resp.Header, minor)
	if err != nil {
		return err
	}
	switch {
	case method == "HEAD" || resp.Status == 204 || resp.Status == 304:
	case body.chunked:
		resp.Body, err = r.readChunkedBody()
	case body.length > r.limits.MaxBodyBytes:
		err = &Error{502, fmt.Sprintf("body over %d bytes", r.limits.MaxBodyBytes)}
	case body.length >= 0:
		resp.Body, err = r.readExactly(body.length)
	default: // the body ends with the connection: RFC 9112 section 6.3, item 8
		resp.Close = true
		resp.Body, err = r.readToEOF()
	}
	return err
}

// parseStatusLine parses a line like "HTTP/1.1 200 OK". Some servers omit the space before an empty
// reason phrase, and such a line is accepted.
func parseStatusLine(line []byte) (resp *Response, minor int, err error) {
	const versionEnd, statusEnd = 8, 12
	withReason := len(line) > statusEnd && line[versionEnd] == ' ' && line[statusEnd] == ' '
	if !withReason && len(line) != statusEnd {
		return nil, 0, malformed("status line is malformed")
	}
	if minor, err = parseVersion(line[:versionEnd]); err != nil {
		return nil, 0, err
	}
	status := 0
	for _, c := range line[versionEnd+1 : statusEnd] {
		if !isDigit(c) {
			return nil, 0, malformed("status is not a number")
		}
		status = status*10 + int(c-'0')
	}
	if status < 100 || status > 599 {
		return nil, 0, malformed("status out of range")
	}
	return &Response{Status: status}, minor, nil
}
