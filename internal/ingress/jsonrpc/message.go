package jsonrpc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// Error codes: those of the JSON-RPC specification, followed by kitehub's own.
const (
	CodeParseError       = -32700
	CodeInvalidRequest   = -32600
	CodeMethodNotFound   = -32601
	CodeInvalidParams    = -32602
	CodeInternalError    = -32603
	CodeDenied           = -32001 // the user lacks the permission
	CodeNotFound         = -32002 // no such function, script or call
	CodeBusy             = -32003 // a limit on connections, calls or keys is reached
	CodeRejected         = -32010 // the call had no effect and may safely be retried
	CodeFailed           = -32011 // the call may have run
	CodeDeadlineExceeded = -32012 // the deadline passed, and the call may have run
	CodeCancelled        = -32013
	CodeKeyReused        = -32014 // the idempotency key was used for another call
	CodeWrongState       = -32020 // not possible in the current state
)

// An Error is the error object of a JSON-RPC response.
type Error struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
	Data    any    `json:"data,omitempty"`
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Message, e.Code) }

// errorf returns an error without data.
func errorf(code int, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Bounds of a message.
const (
	maxDepth       = 64 // of nested arrays and objects
	maxIDBytes     = 128
	maxMethodBytes = 64
	maxSafeInteger = 1 << 53 // JSON readers that use float64 round greater integers
	maxBatch       = 64      // requests of a batch
)

// A request is one JSON-RPC request or notification.
type request struct {
	ID     json.RawMessage // nil for a notification
	Method string
	Params json.RawMessage
}

// checkLine checks a line before it is decoded. The line must be UTF-8, and its nesting is bounded
// so that decoding it does not exhaust the stack.
func checkLine(line []byte) *Error {
	if !utf8.Valid(line) {
		return errorf(CodeParseError, "not UTF-8")
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
				return errorf(CodeParseError, "nested more than %d deep", maxDepth)
			}
		case c == ']' || c == '}':
			depth--
		}
	}
	return nil
}

// decodeRequest decodes one request. If it fails, the returned request still has its ID, if that
// could be read.
func decodeRequest(raw json.RawMessage) (r request, e *Error) {
	var m struct {
		Version *string         `json:"jsonrpc"`
		ID      json.RawMessage `json:"id"`
		Method  *string         `json:"method"`
		Params  json.RawMessage `json:"params"`
	}
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || raw[0] != '{' {
		return r, errorf(CodeInvalidRequest, "not an object")
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return r, errorf(CodeInvalidRequest, "%v", err)
	}
	if m.ID != nil {
		if r.ID, e = checkID(m.ID); e != nil {
			return r, e
		}
	}
	switch {
	case m.Version == nil || *m.Version != "2.0":
		return r, errorf(CodeInvalidRequest, `jsonrpc is not "2.0"`)
	case m.Method == nil || *m.Method == "" || len(*m.Method) > maxMethodBytes:
		return r, errorf(CodeInvalidRequest, "no method")
	case m.Params != nil && m.Params[0] != '{':
		return r, errorf(CodeInvalidParams, "params are given by name, as an object")
	}
	r.Method = *m.Method
	r.Params = m.Params
	return r, nil
}

// checkID checks that an ID is a string, or an integer that every JSON reader represents exactly.
// Null is not accepted: the specification discourages it.
func checkID(raw json.RawMessage) (json.RawMessage, *Error) {
	if len(raw) > maxIDBytes {
		return nil, errorf(CodeInvalidRequest, "an id of more than %d bytes", maxIDBytes)
	}
	if raw[0] == '"' {
		return raw, nil
	}
	n, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil {
		return nil, errorf(CodeInvalidRequest, "an id is a string or an integer")
	}
	if n > maxSafeInteger || n < -maxSafeInteger {
		return nil, errorf(CodeInvalidRequest, "an id beyond 2^53 is not kept by all readers: use a string")
	}
	return raw, nil
}

// decodeParams decodes params strictly. An unknown member is an error, as the client may rely on
// its effect.
func decodeParams(raw json.RawMessage, into any) *Error {
	if raw == nil {
		raw = json.RawMessage("{}")
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &mismatch) {
			return errorf(CodeInvalidParams, "%s: a %s is no %s", mismatch.Field, mismatch.Value, mismatch.Type)
		}
		return errorf(CodeInvalidParams, "%v", err)
	}
	return nil
}

// encodeResponse encodes the response to a request, with a result or an error. The ID is nil if it
// could not be read.
func encodeResponse(id json.RawMessage, result any, e *Error) []byte {
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
	if err != nil { // the result has no JSON encoding
		e = errorf(CodeInternalError, "%v", err)
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

// encodeNotification encodes a notification. It returns nil if the params have no JSON encoding.
func encodeNotification(method string, params any) []byte {
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
