package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

var testLimits = Limits{MaxLineBytes: 200, MaxHeaderBytes: 400, MaxHeaderLines: 6, MaxBodyBytes: 64}.WithDefaults()

func parse(text string) (*Request, error) {
	return ReadRequest(bufio.NewReaderSize(strings.NewReader(text), 16+ReadBufferSize), &testLimits, nil)
}

// Requests that two recipients could read differently or that exceed a limit are rejected; all
// others are read.
func TestReadRequest(t *testing.T) {
	const host = "Host: a\r\n"
	const (
		get     = "GET / HTTP/1.1\r\n" + host
		post    = "POST / HTTP/1.1\r\n" + host
		chunked = post + "Transfer-Encoding: chunked\r\n\r\n"
	)
	longHeader := "X: " + strings.Repeat("x", 150) + "\r\n"
	longExtension := "1;" + strings.Repeat("e", 150) + "\r\nx\r\n"
	tests := []struct {
		name, text string
		status     int // status of the error; 0: the request is valid
		body       string
	}{
		{"length", "POST /x HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nabcd", 0, "abc"},
		{"no body", get + "\r\n", 0, ""},
		{"empty line first", "\r\nGET / HTTP/1.1\r\n" + host + "\r\n", 0, ""},
		{"chunked", chunked + "3\r\nabc\r\n1;x=y\r\nd\r\n0\r\nT: 1\r\n\r\n", 0, "abcd"},
		{"chunked in mixed case", post + "Transfer-Encoding: Chunked\r\n\r\nA\r\n0123456789\r\n0\r\n\r\n", 0, "0123456789"},
		{"two empty lines first", "\r\n\r\nGET / HTTP/1.1\r\n" + host + "\r\n", 400, ""},
		{"two lengths", post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400, ""},
		{"list of lengths", post + "Content-Length: 3, 3\r\n\r\nabc", 400, ""},
		{"length and chunked", post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
		{"signed length", post + "Content-Length: +3\r\n\r\nabc", 400, ""},
		{"other coding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501, ""},
		{"two codings", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 501, ""},
		{"coding in 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
		{"bare LF", "GET / HTTP/1.1\n" + host + "\r\n", 400, ""},
		{"bare LF in a header", "GET / HTTP/1.1\r\nHost: a\n\r\n", 400, ""},
		{"bare CR in a header", "GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n", 400, ""},
		{"space before the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400, ""},
		{"folding", get + "X: a\r\n b\r\n\r\n", 400, ""},
		{"nul in a header", get + "X: a\x00\r\n\r\n", 400, ""},
		{"no name", get + ": a\r\n\r\n", 400, ""},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400, ""},
		{"two hosts", get + host + "\r\n", 400, ""},
		{"two spaces", "GET  / HTTP/1.1\r\n" + host + "\r\n", 400, ""},
		{"no request line", "hello\r\n\r\n", 400, ""},
		{"control byte in target", "GET /\x7f HTTP/1.1\r\n" + host + "\r\n", 400, ""},
		{"relative target", "GET x HTTP/1.1\r\n" + host + "\r\n", 400, ""},
		{"CONNECT", "CONNECT a:1 HTTP/1.1\r\n" + host + "\r\n", 400, ""},
		{"version 2", "GET / HTTP/2.0\r\n" + host + "\r\n", 505, ""},
		{"version in lower case", "GET / http/1.1\r\n" + host + "\r\n", 400, ""},
		{"long line", "GET /" + strings.Repeat("x", 300) + " HTTP/1.1\r\n" + host + "\r\n", 414, ""},
		{"long header", get + "X: " + strings.Repeat("x", 300) + "\r\n\r\n", 431, ""},
		{"many headers", get + strings.Repeat("X: x\r\n", 6) + "\r\n", 431, ""},
		{"headers too long together", get + strings.Repeat(longHeader, 3) + "\r\n", 431, ""},
		{"long body", post + "Content-Length: 65\r\n\r\n" + strings.Repeat("x", 65), 413, ""},
		{"length that overflows", post + "Content-Length: 99999999999999999999\r\n\r\n", 400, ""},
		{"long chunks", chunked + "40\r\n" + strings.Repeat("x", 64) + "\r\n1\r\nx\r\n0\r\n\r\n", 413, ""},
		{"chunk size that overflows", chunked + "fffffffff\r\n", 400, ""},
		{"chunk size with a sign", chunked + "+1\r\nx\r\n0\r\n\r\n", 400, ""},
		{"chunk size with 0x", chunked + "0x1\r\nx\r\n0\r\n\r\n", 400, ""},
		{"chunk size with a space", chunked + "1 \r\nx\r\n0\r\n\r\n", 400, ""},
		{"chunk longer than its size", chunked + "1\r\nxy\r\n0\r\n\r\n", 400, ""},
		{"chunk line with a bare LF", chunked + "1\nx\r\n0\r\n\r\n", 400, ""},
		{"long chunk extensions", chunked + strings.Repeat(longExtension, 9) + "0\r\n\r\n", 431, ""},
		{"unknown expectation", post + "Expect: tea\r\n\r\n", 417, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req, err := parse(tt.text)
			var e *Error
			switch {
			case tt.status == 0 && err != nil:
				t.Fatal(err)
			case tt.status == 0:
				if string(req.Body) != tt.body {
					t.Errorf("body %q, want %q", req.Body, tt.body)
				}
			case !errors.As(err, &e):
				t.Fatalf("err %v, want status %d", err, tt.status)
			case e.Status != tt.status:
				t.Errorf("status %d (%s), want %d", e.Status, e.Reason, tt.status)
			}
		})
	}
}

func TestTruncatedRequestIsUnexpectedEOF(t *testing.T) {
	for _, truncated := range []string{
		"GET / HT",
		"GET / HTTP/1.1\r\nHost: a\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
	} {
		if _, err := parse(truncated); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: err %v, want io.ErrUnexpectedEOF", truncated, err)
		}
	}
	if _, err := parse(""); err != io.EOF {
		t.Errorf("no bytes: err %v, want EOF", err)
	}
}

func TestReadResponse(t *testing.T) {
	const (
		continues = "HTTP/1.1 100 Continue\r\n\r\n"
		interim   = continues + "HTTP/1.1 103 X\r\nA: b\r\n\r\n"
	)
	tests := []struct {
		name, method, text string
		body               string
		close              bool
		fails              bool
	}{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabX", "ab", false, false},
		{"chunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "ab", false, false},
		{"body to EOF", "GET", "HTTP/1.1 200 OK\r\n\r\nab", "ab", true, false},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "", false, false},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\nHTTP", "", false, false},
		{"interim responses first", "POST", interim + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "a", false, false},
		{"too many interim responses", "POST", strings.Repeat(continues, 9) + "HTTP/1.1 200 OK\r\n\r\n", "", false, true},
		{"protocol switch", "GET", "HTTP/1.1 101 X\r\n\r\n", "", false, true},
		{"garbage", "GET", "\x00\x01\x02\x03\r\n\r\n", "", false, true},
		{"status in words", "GET", "HTTP/1.1 two OK\r\n\r\n", "", false, true},
		{"too long", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n", "", false, true},
		{"body to EOF too long", "GET", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 65), "", false, true},
		{"two lengths", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "", false, true},
		{"short", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", "", false, true},
		{"Connection: close", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, err := ReadResponse(bufio.NewReader(strings.NewReader(tt.text)), &testLimits, tt.method)
			if (err != nil) != tt.fails {
				t.Fatalf("err %v", err)
			}
			if err == nil && (string(resp.Body) != tt.body || resp.Close != tt.close) {
				t.Errorf("body %q close %v, want %q %v", resp.Body, resp.Close, tt.body, tt.close)
			}
		})
	}
}

// A written message is read back unchanged, except for bytes that would inject header lines.
func TestWrittenMessageIsReadBack(t *testing.T) {
	in := &Request{
		Method: "POST",
		Target: "/a?b",
		Header: Header{{"Host", "h"}, {"X", "a\r\nEvil: yes"}},
		Body:   []byte("body"),
	}
	out, err := parse(string(AppendRequest(nil, in)))
	if err != nil {
		t.Fatal(err)
	}
	if out.Header.Get("Evil") != "" || out.Header.Get("X") != "a  Evil: yes" {
		t.Errorf("header %+v", out.Header)
	}
	if string(out.Body) != "body" || out.Target != in.Target {
		t.Errorf("got %+v", out)
	}
	body := AppendChunk(AppendChunk(nil, []byte("body")), nil)
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + string(body)
	if out, err = parse(chunked); err != nil || string(out.Body) != "body" {
		t.Errorf("chunked: %v %v", out, err)
	}
}

// FuzzReadRequest compares the parser with that of net/http on the same input. A request that both
// accept must be read alike. A request that only this parser accepts must be one of the differences
// that isAllowedDifference lists.
func FuzzReadRequest(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"GET / HTTP/1.0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\nHost: a\n\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	l := Limits{}.WithDefaults()
	f.Fuzz(func(t *testing.T, b []byte) {
		ours, err := ReadRequest(bufio.NewReader(bytes.NewReader(b)), &l, nil)
		if err != nil {
			return // being stricter than net/http is intended; TestReadRequest lists the cases
		}
		theirs, theirErr := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
		if theirErr != nil {
			if !isAllowedDifference(ours, theirErr) {
				t.Fatalf("net/http rejects (%v) what we accept: %q", theirErr, b)
			}
			return
		}
		body, bodyErr := io.ReadAll(theirs.Body)
		if bodyErr != nil {
			if !isAllowedDifference(ours, bodyErr) {
				t.Fatalf("net/http rejects the body (%v) that we accept: %q", bodyErr, b)
			}
			return
		}
		if theirs.Method != ours.Method || theirs.RequestURI != ours.Target ||
			theirs.ProtoMinor != ours.Minor || !bytes.Equal(body, ours.Body) {
			t.Fatalf("net/http reads this differently: %q", b)
		}
		if theirs.Close != ours.Close && ours.Minor == 1 {
			t.Fatalf("close %v, net/http %v: %q", ours.Close, theirs.Close, b)
		}
	})
}

// isAllowedDifference reports whether a request that net/http rejects may be accepted. Each case
// has its reason.
func isAllowedDifference(r *Request, err error) bool {
	s := err.Error()
	switch {
	// net/http parses the target as a URL; this package leaves the target to its callers, who
	// compare it with paths.
	case strings.Contains(s, "parse ") || strings.Contains(s, "invalid URI") || strings.Contains(s, "invalid URL"):
		return true
	// net/http checks that Host is a valid host name; here nothing is routed by Host.
	case strings.Contains(s, "malformed Host"):
		return true
	// net/http rejects some field names in trailers; here trailers are checked for syntax and
	// discarded.
	case strings.Contains(s, "trailer"):
		return true
	// net/http interprets the Trailer field; here trailers are discarded whether announced or not.
	case r.Header.Count("Trailer") > 0:
		return true
	// net/http bounds chunk framing relative to the data; here Limits.MaxHeaderBytes bounds it.
	case strings.Contains(s, "chunked encoding contains too much non-data"):
		return true
	}
	return false
}
