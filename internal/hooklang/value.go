package hooklang

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// A Type is bool, int, float, duration, string, list[T], map[K]V or a record of the host.
type Type struct {
	name string
	elem *Type
	key  *Type // of maps: string or int
	rec  *Record
}

var (
	tyBad   = &Type{name: "?"}
	tyVoid  = &Type{name: "nothing"}
	tyBool  = &Type{name: "bool"}
	tyInt   = &Type{name: "int"}
	tyFloat = &Type{name: "float"}
	tyDur   = &Type{name: "duration"}
	tyStr   = &Type{name: "string"}
	scalars = map[string]*Type{"bool": tyBool, "int": tyInt, "float": tyFloat, "duration": tyDur, "string": tyStr}
)

func listOf(t *Type) *Type   { return &Type{name: "list", elem: t} }
func mapOf(k, v *Type) *Type { return &Type{name: "map", key: k, elem: v} }

func (t *Type) String() string {
	switch {
	case t.name == "list":
		return "list[" + t.elem.String() + "]"
	case t.name == "map":
		return "map[" + t.key.String() + "]" + t.elem.String()
	}
	return t.name
}

func same(a, b *Type) bool {
	if a == tyBad || b == tyBad {
		return true
	}
	if a.name != b.name || a.rec != b.rec {
		return false
	}
	return (a.elem == nil || same(a.elem, b.elem)) && (a.key == nil || same(a.key, b.key))
}

func (t *Type) box() bool { return t.name == "list" || t.name == "map" }
func (t *Type) ordered() bool {
	return t == tyInt || t == tyFloat || t == tyDur || t == tyStr || t == tyBad
}

// A Record is a type of the host's: fields by name, not to be changed.
type Record struct {
	Name   string
	Fields []Field
	t      *Type
}

// A Field of a record.
type Field struct {
	Name string
	Type *Type
}

// A Value is of the type that the checks have found: it does not know it itself.
type Value struct {
	n int64 // bool, int, duration, and the bits of a float
	o *object
}

// An object is a string, list, map or record. Lists and maps are values: whoever stores one that is stored elsewhere makes
// both stores share it, and a change copies it first. stored counts stores, up to 2, and is 3 where nothing may be
// written any more, as others read it at the same time.
type object struct {
	s      string
	l      []Value // list, values of a map, fields
	keys   []Value // of a map, sorted
	box    bool
	stored uint8
}

func floatValue(f float64) Value { return Value{n: int64(math.Float64bits(f))} }
func (v Value) float() float64   { return math.Float64frombits(uint64(v.n)) }
func strValue(s string) Value    { return Value{o: &object{s: s}} }
func boolValue(b bool) Value {
	if b {
		return Value{n: 1}
	}
	return Value{}
}

func (v Value) str() string {
	if v.o == nil {
		return ""
	}
	return v.o.s
}

func (v Value) share() Value {
	if v.o != nil && v.o.box && v.o.stored < 2 {
		v.o.stored++
	}
	return v
}

// freeze makes a value safe to be read by many.
func (v Value) freeze() {
	if v.o == nil || !v.o.box || v.o.stored == 3 {
		return
	}
	v.o.stored = 3
	for _, e := range v.o.l {
		e.freeze()
	}
}

// zero is what a field of a record has that a literal leaves out.
func zero(t *Type) Value {
	switch {
	case t == tyStr:
		return strValue("")
	case t.box():
		return Value{o: &object{box: true}}
	case t.rec != nil:
		o := &object{}
		for _, f := range t.rec.Fields {
			o.l = append(o.l, zero(f.Type))
		}
		return Value{o: o}
	}
	return Value{}
}

// steps is what comparing or copying a value costs, at most.
func steps(v Value) int64 {
	if v.o == nil {
		return 0
	}
	n := int64(len(v.o.s)/16 + len(v.o.l) + len(v.o.keys))
	for _, e := range v.o.l {
		if e.o != nil {
			n += steps(e)
		}
	}
	return n
}

func equal(t *Type, a, b Value) bool {
	switch {
	case t == tyFloat:
		return a.float() == b.float()
	case t == tyStr:
		return a.str() == b.str()
	case t.rec != nil:
		for i, f := range t.rec.Fields {
			if !equal(f.Type, a.o.l[i], b.o.l[i]) {
				return false
			}
		}
		return true
	case t.box():
		if len(a.o.l) != len(b.o.l) {
			return false
		}
		for i := range a.o.l {
			if t.key != nil && !equal(t.key, a.o.keys[i], b.o.keys[i]) || !equal(t.elem, a.o.l[i], b.o.l[i]) {
				return false
			}
		}
		return true
	}
	return a.n == b.n
}

func compare(t *Type, a, b Value) int {
	switch t {
	case tyFloat:
		return cmp.Compare(a.float(), b.float())
	case tyStr:
		return strings.Compare(a.str(), b.str())
	}
	return cmp.Compare(a.n, b.n)
}

// find returns where a key of a map stands, or would.
func (o *object) find(k Value) (int, bool) {
	if k.o != nil {
		return slices.BinarySearchFunc(o.keys, k.o.s, func(v Value, s string) int { return strings.Compare(v.o.s, s) })
	}
	return slices.BinarySearchFunc(o.keys, k.n, func(v Value, n int64) int { return cmp.Compare(v.n, n) })
}

// text writes a value as the language writes it.
func text(t *Type, v Value) string {
	switch {
	case t == tyStr:
		return quote(v.str())
	case t == tyBool:
		return strconv.FormatBool(v.n != 0)
	case t == tyFloat:
		return floatText(v.float())
	case t == tyDur:
		return durText(time.Duration(v.n))
	case t.rec != nil:
		var b strings.Builder
		b.WriteString(t.name + "{")
		for i, f := range t.rec.Fields {
			if i > 0 {
				b.WriteString(", ")
			}
			b.WriteString(f.Name + ": " + text(f.Type, v.o.l[i]))
		}
		return b.String() + "}"
	case t.box():
		var b strings.Builder
		open, end := "[", "]"
		if t.key != nil || len(v.o.l) == 0 {
			open, end = t.String()+"{", "}"
		}
		b.WriteString(open)
		for i := range v.o.l {
			if i > 0 {
				b.WriteString(", ")
			}
			if t.key != nil {
				b.WriteString(text(t.key, v.o.keys[i]) + ": ")
			}
			b.WriteString(text(t.elem, v.o.l[i]))
		}
		return b.String() + end
	case t == tyVoid:
		return ""
	}
	return strconv.FormatInt(v.n, 10)
}

func floatText(f float64) string {
	s := strconv.FormatFloat(f, 'g', -1, 64)
	if !strings.ContainsAny(s, ".e") {
		s += ".0"
	}
	return s
}

// durText writes a duration that the lexer reads back as the same.
func durText(d time.Duration) string {
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
