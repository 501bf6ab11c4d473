package msgpackrpc

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// Bounds of figures, far over what any machine has: they keep sums finite, no more.
const (
	mostMemoryMB = 1 << 30
	mostLanes    = 1 << 20
	mostMillis   = 1 << 31
	patience     = 2 // a client's limit may be so many times its class's deadline
)

// parsed is a request that is fit for the gateway.
type parsed struct {
	call *gateway.Call
	txn  uint64
}

// FunctionID is the number that an item writes in 16 hex digits; Item writes it back. So no table of names is kept.
func FunctionID(item string) (scheduler.FunctionID, bool) {
	v, ok := hex16(item)
	return scheduler.FunctionID(v), ok
}

// Item is the name of a function on the wire.
func Item(id scheduler.FunctionID) string { return fmt.Sprintf("%016x", uint64(id)) }

// hex16 reads 16 lower-case hex digits: other spellings would not pass on unchanged.
func hex16(s string) (v uint64, ok bool) {
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

// isKey tells whether a key can stand in a field of a frame: letters, digits, dashes and underscores.
func isKey(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return s != "" && len(s) <= 64
}

// parse checks a request against the settings. The error says what is wrong with it, for the client.
func (f *Front) parse(m *message) (p parsed, err error) {
	class, ok := f.classes[m.method]
	if !ok {
		return p, fmt.Errorf("no such class")
	}
	c := &f.cfg.Settings.Classes[class]
	x := &m.fields
	if p.txn, ok = hex16(x.txn); !ok {
		return p, fmt.Errorf("txn: want 16 hex digits")
	}
	item, ok := hex16(x.item)
	if !ok {
		return p, fmt.Errorf("item: want 16 hex digits")
	}
	tenant, ok := f.tenants[x.team]
	if !ok && (x.team != "" || len(f.tenants) > 0) {
		return p, fmt.Errorf("team: no such tenant")
	}
	left, err := millis(x.limit)
	if err != nil || left <= 0 || left > patience*c.Deadline {
		return p, fmt.Errorf("limit: want milliseconds, above 0 and up to %d", patience*c.Deadline.Milliseconds())
	}
	fn := &gateway.Function{Name: x.item, ID: scheduler.FunctionID(item), Class: class}
	p.call = &gateway.Call{ID: x.txn, Function: fn, Tenant: tenant, Body: m.body, TimeLeft: left, Retry: x.second != ""}
	if c.Idempotency == scheduler.IdempotentWithKey {
		if !isKey(x.unique) {
			return p, fmt.Errorf("unique: want a key of up to 64 letters and digits")
		}
		p.call.Key = x.unique
	}
	if x.cpu != "" {
		if p.call.RunTimeHint, err = millis(x.cpu); err != nil || p.call.RunTimeHint < 0 {
			return p, fmt.Errorf("cpu: want milliseconds")
		}
	}
	return p, attrs(x.attrs, fn)
}

// attrs reads figures like "memory_mb:512;lanes:2;load_ms:640". Names that are not known are passed over.
func attrs(s string, fn *gateway.Function) error {
	for s != "" {
		var pair string
		pair, s, _ = strings.Cut(s, ";")
		name, text, ok := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || !(v >= 0) || math.IsInf(v, 0) {
			return fmt.Errorf("attrs: %.32q is no name with a number", pair)
		}
		most := float64(math.MaxFloat64)
		switch name {
		case "memory_mb":
			fn.MemoryMB, most = v, mostMemoryMB
		case "lanes":
			fn.Lanes, most = v, mostLanes
		case "load_ms":
			fn.LoadTime, most = time.Duration(min(v, mostMillis)*float64(time.Millisecond)), mostMillis
		}
		if v > most {
			return fmt.Errorf("attrs: %.32q is out of range", pair)
		}
	}
	return nil
}

// millis reads milliseconds, whole or not.
func millis(s string) (time.Duration, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(math.Abs(v) <= mostMillis) {
		return 0, fmt.Errorf("%.32q is no number of milliseconds", s)
	}
	return time.Duration(v * float64(time.Millisecond)), nil
}
