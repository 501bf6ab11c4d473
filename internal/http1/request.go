package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
)

// A ReadStage is a point in the reading of a request at which ReadRequest calls back.
type ReadStage int

// Stages that ReadRequest reports.
const (
	HeadRead         ReadStage = iota // the head is complete, and reading of the body begins
	ContinueExpected                  // the client sends the body after 100 (Continue)
)

// ReadRequest reads a complete request. onStage, unless nil, is called at each ReadStage; if it
// returns an error, reading ends with that error. The error is an *Error if the message is invalid,
// io.EOF if the connection ended before the first byte, and io.ErrUnexpectedEOF if it ended within
// the request.
func ReadRequest(buf *bufio.Reader, limits *Limits, onStage func(ReadStage) error) (*Request, error) {
	if onStage == nil {
		onStage = func(ReadStage) error { return nil }
	}
	r := newMessageReader(buf, limits)
	return r.readRequest(onStage)
}

// readRequest is ReadRequest for a reader.
func (r *messageReader) readRequest(onStage func(ReadStage) error) (*Request, error) {
	req, body, err := r.readRequestHead()
	if err != nil {
		return nil, err
	}
	if err := onStage(HeadRead); err != nil {
		return nil, err
	}
	if expect := req.Header.Get("Expect"); expect != "" && req.Minor > 0 {
		if !strings.EqualFold(expect, "100-continue") {
			return nil, &Error{417, "unknown expectation"}
		}
		if body.chunked || body.length > 0 {
			if err := onStage(ContinueExpected); err != nil {
				return nil, err
			}
		}
	}
	switch {
	case body.chunked:
		req.Body, err = r.readChunkedBody()
	case body.length > 0:
		req.Body, err = r.readExactly(body.length)
	}
	return req, err
}

// readRequestHead reads the request line and the header lines, and parses the body's framing.
func (r *messageReader) readRequestHead() (*Request, framing, error) {
	line, err := r.readRequestLine()
	if err != nil {
		return nil, framing{}, err
	}
	req, err := parseRequestLine(line)
	if err != nil {
		return nil, framing{}, err
	}
	if req.Header, err = r.readHeaders(); err != nil {
		return nil, framing{}, err
	}
	hosts := req.Header.Count("Host")
	if hosts > 1 || hosts == 0 && req.Minor > 0 {
		return nil, framing{}, malformed("not exactly one Host") // RFC 9112 section 3.2
	}
	body, err := parseFraming(req.Header, req.Minor)
	if err != nil {
		return nil, framing{}, err
	}
	req.Close = closesConnection(req.Header, req.Minor)
	if body.length > r.limits.MaxBodyBytes {
		return nil, framing{}, &Error{413, fmt.Sprintf("body over %d bytes", r.limits.MaxBodyBytes)}
	}
	return req, body, nil
}

// readRequestLine returns the request line. One empty line before it is ignored (RFC 9112 section
// 2.2).
func (r *messageReader) readRequestLine() ([]byte, error) {
	if _, err := r.buf.Peek(1); err != nil {
		return nil, err
	}
	line, err := r.readLine(r.limits.MaxLineBytes, 414, "request line")
	if err == nil && len(line) == 0 {
		line, err = r.readLine(r.limits.MaxLineBytes, 414, "request line")
	}
	return line, err
}

func parseRequestLine(line []byte) (*Request, error) {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, protocol, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || !isToken(method) || len(target) == 0 {
		return nil, malformed("request line is not method, target, version")
	}
	for _, c := range target {
		if c <= ' ' || c >= 127 {
			return nil, malformed("target holds a byte that no URI has")
		}
	}
	minor, err := parseVersion(protocol)
	if err != nil {
		return nil, err
	}
	if !isValidTarget(target, method) {
		return nil, malformed("target is neither a path nor a URI")
	}
	return &Request{Method: string(method), Target: string(target), Minor: minor}, nil
}

// isValidTarget reports whether a target has the origin form, the absolute form, or is * for
// OPTIONS. CONNECT is not supported.
func isValidTarget(target, method []byte) bool {
	return target[0] == '/' ||
		bytes.HasPrefix(target, []byte("http://")) ||
		bytes.HasPrefix(target, []byte("https://")) ||
		string(target) == "*" && string(method) == "OPTIONS"
}
