// Package http1 reads and writes HTTP/1.1 messages (RFC 9110, RFC 9112), for servers and clients, on bufio.
//
// It never guesses. Where two recipients could frame a message differently (two lengths, a length beside
// chunked, a bare LF, white space before a colon, folded lines, odd chunk sizes), the message is refused and the
// connection closed: a gateway that guesses is how requests are smuggled past it. Everything read has a limit.
//
// One goroutine serves a connection. An idle one costs its read buffer (ReadBuffer bytes), a Conn, and the
// goroutine's stack; a message in hand adds its head and its body, at most Limits.Headers + Limits.Body.
package http1

import (
	"fmt"
	"strings"
	"time"
)

// ReadBuffer is the size of a connection's read buffer in bytes.
const ReadBuffer = 4096

// Limits bound what is read. A zero value of any field means that of DefaultLimits.
type Limits struct {
	Line      int           // bytes of the request or status line, and of each header line
	Headers   int           // bytes of all header lines together
	Fields    int           // header lines
	Body      int           // bytes of a body
	FirstByte time.Duration // from accept to the first byte
	Head      time.Duration // from the first byte to the end of the head
	BodyTime  time.Duration // from the end of the head to the end of the body
	Idle      time.Duration // between two messages of a connection
	Write     time.Duration // for an answer to be taken
}

// DefaultLimits suit signed webhooks.
var DefaultLimits = Limits{Line: 8 << 10, Headers: 32 << 10, Fields: 64, Body: 1 << 20, FirstByte: 10 * time.Second,
	Head: 5 * time.Second, BodyTime: 10 * time.Second, Idle: 30 * time.Second, Write: 10 * time.Second}

func pick[T int | time.Duration](v, otherwise T) T {
	if v == 0 {
		return otherwise
	}
	return v
}

// Filled returns the limits with DefaultLimits in place of zero values.
func (l Limits) Filled() Limits {
	d := DefaultLimits
	return Limits{pick(l.Line, d.Line), pick(l.Headers, d.Headers), pick(l.Fields, d.Fields), pick(l.Body, d.Body),
		pick(l.FirstByte, d.FirstByte), pick(l.Head, d.Head), pick(l.BodyTime, d.BodyTime), pick(l.Idle, d.Idle),
		pick(l.Write, d.Write)}
}

// An Error is a message that cannot be taken. Status is what a server answers before it closes.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("http1: %s (%d)", e.Reason, e.Status) }

func bad(reason string) error { return &Error{400, reason} }

// A Field is one header line.
type Field struct{ Name, Value string }

// A Header holds the header lines in the order in which they came. Names compare without case.
type Header []Field

// Get returns the first value of the name, or "".
func (h Header) Get(name string) string {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Count returns how many lines have the name.
func (h Header) Count(name string) (n int) {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			n++
		}
	}
	return n
}

// Add appends a line.
func (h *Header) Add(name, value string) { *h = append(*h, Field{name, value}) }

// Token tells whether a comma-separated list field holds the token, without case (RFC 9110 section 5.6.1).
func (h Header) Token(name, token string) bool {
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

// A Request is one request, whole.
type Request struct {
	Method, Target string
	Minor          int // of HTTP/1.x
	Header         Header
	Body           []byte
	Close          bool // the connection ends after this exchange
}

// Path returns the target without its query.
func (r *Request) Path() string {
	p, _, _ := strings.Cut(r.Target, "?")
	return p
}

// A Response is one answer, whole.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool // the connection ends after this exchange
	// Gate, where set, is asked by a server just before the first byte goes out: what to write instead (nil: this),
	// how long the writing may take (0: Limits.Write) and what to call when it has ended.
	Gate func() (instead *Response, within time.Duration, done func())
	// Pass gives the connection away with its request unanswered: see Server.Detach.
	Pass bool
}

var reasons = map[int]string{100: "Continue", 200: "OK", 202: "Accepted", 204: "No Content", 206: "Partial Content",
	304: "Not Modified", 400: "Bad Request", 401: "Unauthorized", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 411: "Length Required", 412: "Precondition Failed",
	413: "Content Too Large", 414: "URI Too Long", 417: "Expectation Failed", 421: "Misdirected Request",
	422: "Unprocessable Content", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout", 505: "HTTP Version Not Supported", 507: "Insufficient Storage"}

// tchar marks the bytes of a token (RFC 9110 section 5.6.2).
var tchar = func() (t [256]bool) {
	for c := range 256 {
		t[c] = c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' ||
			c < 128 && strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
	}
	return t
}()

func isToken(s []byte) bool {
	for _, c := range s {
		if !tchar[c] {
			return false
		}
	}
	return len(s) > 0
}
