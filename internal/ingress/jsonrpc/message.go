// Package jsonrpc is the second front: JSON-RPC 2.0 over Unix sockets, one message a line. Calls of functions come in by it, and
// the requests of operators; who may do what is told by the peer's user, as the kernel gives it (SO_PEERCRED). Calls go the way
// that those of the first front go: same gateway, same module, same rules. docs/jsonrpc.md is its reference.
package jsonrpc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// Codes of errors: those of the specification, and this front's own.
const (
	CodeParse    = -32700
	CodeRequest  = -32600
	CodeMethod   = -32601
	CodeParams   = -32602
	CodeInternal = -32603
	CodeDenied   = -32001 // the user may not do this
	CodeUnknown  = -32002 // no such function, script or call
	CodeBusy     = -32003 // too much in hand
	CodeRefused  = -32010 // trying again does no harm
	CodeFailed   = -32011 // promises nothing
	CodeLate     = -32012 // the time was up: promises nothing
	CodeGone     = -32013 // cancelled
	CodeReused   = -32014 // the key was used for another call
	CodeState    = -32020 // not as things stand
)

// An Error is one of the protocol.
type Error struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
	Data    any    `json:"data,omitempty"`
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Message, e.Code) }

func problem(code int, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

const (
	maxDepth = 64
	maxID    = 128 // bytes
	maxSafe  = 1 << 53
	maxBatch = 64
)

// request is one message of a client. ID nil: a notification.
type request struct {
	ID     json.RawMessage
	Method string
	Params json.RawMessage
}

// vet looks at a line before it is decoded: that it is UTF-8, and not nested deeper than a reader's stack allows.
func vet(line []byte) *Error {
	if !utf8.Valid(line) {
		return problem(CodeParse, "not UTF-8")
	}
	depth, quoted := 0, false
	for i := 0; i < len(line); i++ {
		switch c := line[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			if depth++; depth > maxDepth {
				return problem(CodeParse, "nested more than %d deep", maxDepth)
			}
		case c == ']' || c == '}':
			depth--
		}
	}
	return nil
}

// decode reads one request. Where it is wrong, the id is given if it could be read.
func decode(raw json.RawMessage) (r request, e *Error) {
	var m struct {
		Version *string         `json:"jsonrpc"`
		ID      json.RawMessage `json:"id"`
		Method  *string         `json:"method"`
		Params  json.RawMessage `json:"params"`
	}
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || raw[0] != '{' {
		return r, problem(CodeRequest, "not an object")
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return r, problem(CodeRequest, "%v", err)
	}
	if m.ID != nil {
		if r.ID, e = id(m.ID); e != nil {
			return r, e
		}
	}
	switch {
	case m.Version == nil || *m.Version != "2.0":
		return r, problem(CodeRequest, `jsonrpc is not "2.0"`)
	case m.Method == nil || *m.Method == "" || len(*m.Method) > 64:
		return r, problem(CodeRequest, "no method")
	case m.Params != nil && m.Params[0] != '{':
		return r, problem(CodeParams, "params are given by name, as an object")
	}
	r.Method, r.Params = *m.Method, m.Params
	return r, nil
}

// id checks an id: a string, or an integer that every reader keeps. null is taken for a missing one by the specification's own
// advice against it.
func id(raw json.RawMessage) (json.RawMessage, *Error) {
	if len(raw) > maxID {
		return nil, problem(CodeRequest, "an id of more than %d bytes", maxID)
	}
	if raw[0] == '"' {
		return raw, nil
	}
	n, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil {
		return nil, problem(CodeRequest, "an id is a string or an integer")
	}
	if n > maxSafe || n < -maxSafe {
		return nil, problem(CodeRequest, "an id beyond 2^53 is not kept by all readers: use a string")
	}
	return raw, nil
}

// params decodes params strictly: a member that is not known is an error, as it may have been meant to matter.
func params(raw json.RawMessage, into any) *Error {
	if raw == nil {
		raw = json.RawMessage("{}")
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		var t *json.UnmarshalTypeError
		if errors.As(err, &t) {
			return problem(CodeParams, "%s: a %s is no %s", t.Field, t.Value, t.Type)
		}
		return problem(CodeParams, "%v", err)
	}
	return nil
}

func reply(id json.RawMessage, result any, e *Error) []byte {
	if id == nil {
		id = json.RawMessage("null")
	}
	var b []byte
	var err error
	if e == nil {
		b, err = json.Marshal(struct {
			Version string          `json:"jsonrpc"`
			ID      json.RawMessage `json:"id"`
			Result  any             `json:"result"`
		}{"2.0", id, result})
	}
	if err != nil {
		e = problem(CodeInternal, "%v", err)
	}
	if e != nil {
		b, _ = json.Marshal(struct {
			Version string          `json:"jsonrpc"`
			ID      json.RawMessage `json:"id"`
			Error   *Error          `json:"error"`
		}{"2.0", id, e})
	}
	return b
}

func notification(method string, params any) []byte {
	b, err := json.Marshal(struct {
		Version string `json:"jsonrpc"`
		Method  string `json:"method"`
		Params  any    `json:"params"`
	}{"2.0", method, params})
	if err != nil {
		return nil
	}
	return b
}
