package msgpackrpc

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// Bounds of numbers, far above those of any machine. They only keep sums finite.
const (
	maxMemoryMB = 1 << 30
	maxLanes    = 1 << 20
	maxMillis   = 1 << 31
)

// maxLimitFactor bounds a client's time limit to a multiple of its class's deadline.
const maxLimitFactor = 2

const maxKeyBytes = 64 // of an idempotency key

// FunctionName returns the name of a function on the wire, which is its ID as 16 hex digits. So no
// table of names is needed.
func FunctionName(id scheduler.FunctionID) string { return fmt.Sprintf("%016x", uint64(id)) }

// parseHex16 parses 16 lower-case hex digits. Other spellings are invalid, as they would not be
// forwarded unchanged.
func parseHex16(s string) (v uint64, ok bool) {
	if len(s) != 16 {
		return 0, false
	}
	for i := range 16 {
		c := s[i]
		switch {
		case c >= '0' && c <= '9':
			c -= '0'
		case c >= 'a' && c <= 'f':
			c -= 'a' - 10
		default:
			return 0, false
		}
		v = v<<4 | uint64(c)
	}
	return v, true
}

// validKey reports whether an idempotency key can be a field of a frame to a worker. It may consist
// of letters, digits, dashes and underscores.
func validKey(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return s != "" && len(s) <= maxKeyBytes
}

// parse checks a request against the settings, and returns the call and its txn. The error tells
// the client what is wrong with the request.
func (s *Server) parse(m *message) (call *gateway.Call, txn uint64, err error) {
	classIndex, ok := s.classes[m.method]
	if !ok {
		return nil, 0, errors.New("no such class")
	}
	class := &s.cfg.Settings.Classes[classIndex]
	if txn, ok = parseHex16(m.fields.txn); !ok {
		return nil, 0, errors.New("txn: want 16 hex digits")
	}
	item, ok := parseHex16(m.fields.item)
	if !ok {
		return nil, 0, errors.New("item: want 16 hex digits")
	}
	tenant, ok := s.tenants[m.fields.team]
	if !ok && (m.fields.team != "" || len(s.tenants) > 0) {
		return nil, 0, errors.New("team: no such tenant")
	}
	maxLimit := maxLimitFactor * class.Deadline
	limit, err := parseMillis(m.fields.limit)
	if err != nil || limit <= 0 || limit > maxLimit {
		return nil, 0, fmt.Errorf("limit: want milliseconds, above 0 and up to %d", maxLimit.Milliseconds())
	}
	call = &gateway.Call{
		ID:       m.fields.txn,
		Function: &gateway.Function{Name: m.fields.item, ID: scheduler.FunctionID(item), Class: classIndex},
		Tenant:   tenant,
		Body:     m.body,
		TimeLeft: limit,
		Retry:    m.fields.second != "",
	}
	if class.Idempotency == scheduler.IdempotentWithKey {
		if !validKey(m.fields.unique) {
			return nil, 0, errors.New("unique: want a key of up to 64 letters and digits")
		}
		call.IdempotencyKey = m.fields.unique
	}
	if m.fields.cpu != "" {
		if call.RunTimeHint, err = parseMillis(m.fields.cpu); err != nil || call.RunTimeHint < 0 {
			return nil, 0, errors.New("cpu: want milliseconds")
		}
	}
	return call, txn, parseAttributes(m.fields.attrs, call.Function)
}

// parseAttributes parses attributes of a function such as "memory_mb:512;lanes:2;load_ms:640".
// Unknown names are ignored.
func parseAttributes(text string, function *gateway.Function) error {
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ";")
		name, number, ok := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil || !(value >= 0) || math.IsInf(value, 0) {
			return fmt.Errorf("attrs: %.32q is no name with a number", pair)
		}
		limit := math.MaxFloat64
		switch name {
		case "memory_mb":
			function.MemoryMB = value
			limit = maxMemoryMB
		case "lanes":
			function.Lanes = value
			limit = maxLanes
		case "load_ms":
			function.LoadTime = time.Duration(min(value, maxMillis) * float64(time.Millisecond))
			limit = maxMillis
		}
		if value > limit {
			return fmt.Errorf("attrs: %.32q is out of range", pair)
		}
	}
	return nil
}

// parseMillis parses a number of milliseconds, which may have a fraction.
func parseMillis(text string) (time.Duration, error) {
	millis, err := strconv.ParseFloat(text, 64)
	if err != nil || !(math.Abs(millis) <= maxMillis) { // also false for NaN
		return 0, fmt.Errorf("%.32q is no number of milliseconds", text)
	}
	return time.Duration(millis * float64(time.Millisecond)), nil
}
