package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
)

// A ReadStage is a point in the reading of a request.
type ReadStage int

// Steps of ReadRequest.
const (
	HeadRead         ReadStage = iota // the head is read: the time for the body starts
	ContinueExpected                  // the client waits for 100 (Continue)
)

// ReadRequest reads a complete request. step, unless nil, is called at each Step; its error ends the reading. Errors
// are of type *Error if the message is at fault, io.EOF if the connection ended before a first byte and
// io.ErrUnexpectedEOF if it ended within the request.
func ReadRequest(buf *bufio.Reader, limits *Limits, step func(ReadStage) error) (*Request, error) {
	if step == nil {
		step = func(ReadStage) error { return nil }
	}
	r := newReader(buf, limits)
	req, body, err := r.requestHead()
	if err != nil {
		return nil, err
	}
	if err := step(HeadRead); err != nil {
		return nil, err
	}
	if expect := req.Header.Get("Expect"); expect != "" && req.Minor > 0 {
		if !strings.EqualFold(expect, "100-continue") {
			return nil, &Error{417, "unknown expectation"}
		}
		if body.chunked || body.length > 0 {
			if err := step(ContinueExpected); err != nil {
				return nil, err
			}
		}
	}
	switch {
	case body.chunked:
		req.Body, err = r.chunks()
	case body.length > 0:
		req.Body, err = r.exactly(body.length)
	}
	return req, err
}

// requestHead reads the request line and the header lines.
func (r *reader) requestHead() (*Request, framing, error) {
	line, err := r.firstLine()
	if err != nil {
		return nil, framing{}, err
	}
	req, err := parseRequestLine(line)
	if err != nil {
		return nil, framing{}, err
	}
	if req.Header, err = r.headers(); err != nil {
		return nil, framing{}, err
	}
	hosts := req.Header.Count("Host")
	if hosts > 1 || hosts == 0 && req.Minor > 0 {
		return nil, framing{}, bad("not exactly one Host") // RFC 9112 section 3.2
	}
	body, err := parseFraming(req.Header, req.Minor)
	if err != nil {
		return nil, framing{}, err
	}
	req.Close = closes(req.Header, req.Minor)
	if body.length > r.limits.MaxBodyBytes {
		return nil, framing{}, &Error{413, fmt.Sprintf("body over %d bytes", r.limits.MaxBodyBytes)}
	}
	return req, body, nil
}

// firstLine returns the request line, which at most one empty line may precede (RFC 9112 section 2.2).
func (r *reader) firstLine() ([]byte, error) {
	if _, err := r.buf.Peek(1); err != nil {
		return nil, err
	}
	line, err := r.line(r.limits.MaxLineBytes, 414, "request line")
	if err == nil && len(line) == 0 {
		line, err = r.line(r.limits.MaxLineBytes, 414, "request line")
	}
	return line, err
}

func parseRequestLine(line []byte) (*Request, error) {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, protocol, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || !isToken(method) || len(target) == 0 {
		return nil, bad("request line is not method, target, version")
	}
	for _, c := range target {
		if c <= ' ' || c >= 127 {
			return nil, bad("target holds a byte that no URI has")
		}
	}
	minor, err := parseVersion(protocol)
	if err != nil {
		return nil, err
	}
	if !isTarget(target, method) {
		return nil, bad("target is neither a path nor a URI")
	}
	return &Request{Method: string(method), Target: string(target), Minor: minor}, nil
}

// isTarget reports whether a target has the origin form, the absolute form, or is * for OPTIONS; a gateway does not
// tunnel.
func isTarget(target, method []byte) bool {
	return target[0] == '/' ||
		bytes.HasPrefix(target, []byte("http://")) ||
		bytes.HasPrefix(target, []byte("https://")) ||
		string(target) == "*" && string(method) == "OPTIONS"
}
