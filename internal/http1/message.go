package http1

import (
	"fmt"
	"strings"
	"time"
)

// An Error describes why a message is rejected. Status is that of the response that a server sends
// before it closes the connection.
type Error struct {
	Status int
	Reason string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("http1: %s (%d)", e.Reason, e.Status) }

// malformed returns the error for a malformed message.
func malformed(reason string) error { return &Error{400, reason} }

// A Field is one header line.
type Field struct{ Name, Value string }

// A Header holds header lines in the order in which they were received. Names are case-insensitive.
type Header []Field

// Get returns the first value of the named field, or "" if there is none.
func (h Header) Get(name string) string {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Count returns the number of lines with the given name.
func (h Header) Count(name string) (n int) {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			n++
		}
	}
	return n
}

// Add appends a header line.
func (h *Header) Add(name, value string) { *h = append(*h, Field{name, value}) }

// HasToken reports whether the comma-separated list in a field contains the token, ignoring case
// (RFC 9110 section 5.6.1).
func (h Header) HasToken(name, token string) bool {
	for i := range h {
		if !strings.EqualFold(h[i].Name, name) {
			continue
		}
		for part := range strings.SplitSeq(h[i].Value, ",") {
			if strings.EqualFold(strings.Trim(part, " \t"), token) {
				return true
			}
		}
	}
	return false
}

// A Request is a complete request.
type Request struct {
	Method string
	Target string
	Minor  int // minor version of HTTP/1.x
	Header Header
	Body   []byte
	Close  bool // the connection ends after this exchange
}

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// A Response is a complete response.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool // the connection ends after this exchange
	// BeforeWrite, if set, is called by the server just before it writes the first byte. It returns
	// a response to write instead (nil: write this one), how long after the call the write must
	// have ended (0: only Limits.WriteTimeout applies), and a function to call when the write has ended (nil:
	// none).
	BeforeWrite func() (replacement *Response, timeout time.Duration, done func())
	// HandOver hands the connection over together with its unanswered request: see Server.Detach.
	HandOver bool
}

// reasonPhrases are the reason phrases of status lines.
var reasonPhrases = map[int]string{
	100: "Continue",
	200: "OK",
	202: "Accepted",
	204: "No Content",
	206: "Partial Content",
	304: "Not Modified",
	400: "Bad Request",
	401: "Unauthorized",
	404: "Not Found",
	405: "Method Not Allowed",
	408: "Request Timeout",
	409: "Conflict",
	411: "Length Required",
	412: "Precondition Failed",
	413: "Content Too Large",
	414: "URI Too Long",
	417: "Expectation Failed",
	421: "Misdirected Request",
	422: "Unprocessable Content",
	429: "Too Many Requests",
	431: "Request Header Fields Too Large",
	500: "Internal Server Error",
	501: "Not Implemented",
	502: "Bad Gateway",
	503: "Service Unavailable",
	504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
	507: "Insufficient Storage",
}

// tokenChars marks the bytes that a token may contain (RFC 9110 section 5.6.2).
var tokenChars = func() (t [256]bool) {
	for c := range 256 {
		t[c] = c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' ||
			c < 128 && strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
	}
	return t
}()

// isToken reports whether s is a token.
func isToken(s []byte) bool {
	for _, c := range s {
		if !tokenChars[c] {
			return false
		}
	}
	return len(s) > 0
}
