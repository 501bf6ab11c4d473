package jsonrpc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// Codes of errors: those of the specification, and kitehub's own.
const (
	CodeParseError       = -32700
	CodeInvalidRequest   = -32600
	CodeMethodNotFound   = -32601
	CodeInvalidParams    = -32602
	CodeInternalError    = -32603
	CodeDenied           = -32001 // the user may not do this
	CodeNotFound         = -32002 // no such function, script or call
	CodeBusy             = -32003 // too much is in flight
	CodeRejected         = -32010 // the call had no effect: a retry does no harm
	CodeFailed           = -32011 // the call may have run
	CodeDeadlineExceeded = -32012 // the time was up: the call may have run
	CodeCancelled        = -32013
	CodeKeyReused        = -32014 // the key was used for another call
	CodeWrongState       = -32020 // not possible in the present state
)

// An Error is an error response of the protocol.
type Error struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
	Data    any    `json:"data,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Message, e.Code) }

// problem returns an error without data.
func problem(code int, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Bounds of messages.
const (
	maxDepth  = 64      // of nesting
	maxID     = 128     // bytes
	maxMethod = 64      // bytes
	maxSafe   = 1 << 53 // the greatest integer that every JSON reader keeps exactly
	maxBatch  = 64      // requests
)

// A request is one message of a client.
type request struct {
	ID     json.RawMessage // nil: it is a notification
	Method string
	Params json.RawMessage
}

// precheck examines a line before it is decoded: it must be UTF-8, and not nested deeper than a reader's stack
// allows.
func precheck(line []byte) *Error {
	if !utf8.Valid(line) {
		return problem(CodeParseError, "not UTF-8")
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
				return problem(CodeParseError, "nested more than %d deep", maxDepth)
			}
		case c == ']' || c == '}':
			depth--
		}
	}
	return nil
}

// decode reads one request. With an error it returns the request's id, if that could be read.
func decode(raw json.RawMessage) (r request, e *Error) {
	var m struct {
		Version *string         `json:"jsonrpc"`
		ID      json.RawMessage `json:"id"`
		Method  *string         `json:"method"`
		Params  json.RawMessage `json:"params"`
	}
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || raw[0] != '{' {
		return r, problem(CodeInvalidRequest, "not an object")
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return r, problem(CodeInvalidRequest, "%v", err)
	}
	if m.ID != nil {
		if r.ID, e = checkID(m.ID); e != nil {
			return r, e
		}
	}
	switch {
	case m.Version == nil || *m.Version != "2.0":
		return r, problem(CodeInvalidRequest, `jsonrpc is not "2.0"`)
	case m.Method == nil || *m.Method == "" || len(*m.Method) > maxMethod:
		return r, problem(CodeInvalidRequest, "no method")
	case m.Params != nil && m.Params[0] != '{':
		return r, problem(CodeInvalidParams, "params are given by name, as an object")
	}
	r.Method = *m.Method
	r.Params = m.Params
	return r, nil
}

// checkID checks an id: a string, or an integer that every JSON reader keeps exactly. The specification advises
// against null.
func checkID(raw json.RawMessage) (json.RawMessage, *Error) {
	if len(raw) > maxID {
		return nil, problem(CodeInvalidRequest, "an id of more than %d bytes", maxID)
	}
	if raw[0] == '"' {
		return raw, nil
	}
	n, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil {
		return nil, problem(CodeInvalidRequest, "an id is a string or an integer")
	}
	if n > maxSafe || n < -maxSafe {
		return nil, problem(CodeInvalidRequest, "an id beyond 2^53 is not kept by all readers: use a string")
	}
	return raw, nil
}

// params decodes params strictly: an unknown member is an error, as the client may rely on it.
func params(raw json.RawMessage, into any) *Error {
	if raw == nil {
		raw = json.RawMessage("{}")
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &mismatch) {
			return problem(CodeInvalidParams, "%s: a %s is no %s", mismatch.Field, mismatch.Value, mismatch.Type)
		}
		return problem(CodeInvalidParams, "%v", err)
	}
	return nil
}

// reply returns the response to a request, a result or an error. The id is nil if it could not be read.
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
	if err != nil { // the result cannot be encoded
		e = problem(CodeInternalError, "%v", err)
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

// notification returns a message that has no response; nil if the params cannot be encoded.
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
