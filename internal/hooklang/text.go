package hooklang

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// formatValue returns a value in the syntax of the language. The value must be bounded: see
// VM.chargeTree.
func formatValue(t *Type, v Value) string { return formatPrefix(t, v, math.MaxInt) }

// formatPrefix returns the text of a value, or, if that is longer than limit bytes, a prefix of the
// text with more than limit bytes. It stops there, as values that share entries may have texts of
// any length.
func formatPrefix(t *Type, v Value, limit int) string {
	f := valueFormatter{limit: limit}
	f.value(t, v)
	return f.text.String()
}

// A valueFormatter writes values in the syntax of the language until the text exceeds a limit.
type valueFormatter struct {
	text  strings.Builder
	limit int
}

// full reports whether the limit is exceeded, so that nothing more needs to be written.
func (f *valueFormatter) full() bool { return f.text.Len() > f.limit }

func (f *valueFormatter) value(t *Type, v Value) {
	switch {
	case f.full() || t == typeVoid:
	case t == typeString:
		f.text.WriteString(quote(v.str()))
	case t == typeBool:
		f.text.WriteString(strconv.FormatBool(v.bits != 0))
	case t == typeFloat:
		f.text.WriteString(floatText(v.float()))
	case t == typeDuration:
		f.text.WriteString(durationText(time.Duration(v.bits)))
	case t.record != nil:
		f.record(t, v.object)
	case t.isCollection():
		f.collection(t, v.object)
	default:
		f.text.WriteString(strconv.FormatInt(v.bits, 10))
	}
}

func (f *valueFormatter) record(t *Type, o *object) {
	f.text.WriteString(t.name + "{")
	for i, field := range t.record.Fields {
		if i > 0 {
			f.text.WriteString(", ")
		}
		f.text.WriteString(field.Name + ": ")
		f.value(field.Type, o.items[i])
	}
	f.text.WriteString("}")
}

func (f *valueFormatter) collection(t *Type, o *object) {
	open, end := "[", "]"
	if t.key != nil || len(o.items) == 0 {
		open, end = t.String()+"{", "}"
	}
	f.text.WriteString(open)
	for i := range o.items {
		if f.full() {
			return
		}
		if i > 0 {
			f.text.WriteString(", ")
		}
		if t.key != nil {
			f.value(t.key, o.keys[i])
			f.text.WriteString(": ")
		}
		f.value(t.elem, o.items[i])
	}
	f.text.WriteString(end)
}

// floatText returns a float as a literal, which always has a decimal point or an exponent.
func floatText(f float64) string {
	s := strconv.FormatFloat(f, 'g', -1, 64)
	if !strings.ContainsAny(s, ".e") {
		s += ".0"
	}
	return s
}

// durationText returns a duration as a literal that the lexer reads back unchanged.
func durationText(d time.Duration) string {
	if d == 0 {
		return "0s"
	}
	sign := ""
	if d < 0 {
		sign = "-"
	}
	u := uint64(max(d, -d))
	if d == math.MinInt64 {
		u = 1 << 63
	}
	var b strings.Builder
	for _, x := range []struct {
		name string
		n    uint64
	}{{"h", 3600e9}, {"m", 60e9}, {"s", 1e9}, {"ms", 1e6}} {
		if n := u / x.n; n > 0 {
			b.WriteString(strconv.FormatUint(n, 10) + x.name)
			u %= x.n
		}
	}
	if u > 0 {
		b.WriteString(strconv.FormatFloat(float64(u)/1e3, 'f', -1, 64) + "us")
	}
	return sign + b.String()
}

// quote returns a string as a literal.
func quote(s string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b.WriteByte('\\')
			b.WriteRune(r)
		case r == '\n':
			b.WriteString(`\n`)
		case r == '\t':
			b.WriteString(`\t`)
		case r < ' ' || r == 0x7f:
			b.WriteString(`\u{` + strconv.FormatInt(int64(r), 16) + "}")
		default:
			b.WriteRune(r)
		}
	}
	return b.String() + `"`
}
