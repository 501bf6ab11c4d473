package hooklang

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Type is a type of the language: bool, int, float, duration, string, list[T], map[K]V or a record
// of the host.
type Type struct {
	name   string
	elem   *Type   // of lists and maps
	key    *Type   // of maps: string or int
	record *Record // of records
}

var (
	typeInvalid  = &Type{name: "?"}
	typeVoid     = &Type{name: "nothing"}
	typeBool     = &Type{name: "bool"}
	typeInt      = &Type{name: "int"}
	typeFloat    = &Type{name: "float"}
	typeDuration = &Type{name: "duration"}
	typeString   = &Type{name: "string"}
	scalars      = map[string]*Type{
		"bool": typeBool, "int": typeInt, "float": typeFloat, "duration": typeDuration, "string": typeString,
	}
)

func listOf(t *Type) *Type   { return &Type{name: "list", elem: t} }
func mapOf(k, v *Type) *Type { return &Type{name: "map", key: k, elem: v} }

// String returns the type in the syntax of the language.
func (t *Type) String() string {
	switch {
	case t.name == "list":
		return "list[" + t.elem.String() + "]"
	case t.name == "map":
		return "map[" + t.key.String() + "]" + t.elem.String()
	}
	return t.name
}

// sameType reports whether two types are identical. The invalid type is identical to every type, so
// that an error is not reported again for each expression that contains it.
func sameType(a, b *Type) bool {
	if a == typeInvalid || b == typeInvalid {
		return true
	}
	if a.name != b.name || a.record != b.record {
		return false
	}
	return (a.elem == nil || sameType(a.elem, b.elem)) && (a.key == nil || sameType(a.key, b.key))
}

func (t *Type) isCollection() bool { return t.name == "list" || t.name == "map" }

// ordered reports whether values of the type can be compared by <. The invalid type passes, as in
// sameType.
func (t *Type) ordered() bool {
	return t == typeInt || t == typeFloat || t == typeDuration || t == typeString || t == typeInvalid
}

// Record is a type that the host defines: named fields, which a script can read but not change.
type Record struct {
	Name      string
	Fields    []Field
	valueType *Type
}

// Field is a field of a record.
type Field struct {
	Name string
	Type *Type
}

// Value is a value of the language. It carries no type: the checker determines types, and the
// compiled code relies on them.
type Value struct {
	bits   int64 // bool, int, duration, and the bits of a float
	object *object
}

// object is a string, list, map or record. Lists and maps have value semantics by copy-on-write:
// all places that store a list or map share one object, and a change copies the object first if
// another place stores it too. shares counts these places, up to 2. It is 3 for a frozen object,
// which is never changed because other goroutines may read it.
type object struct {
	text       string
	items      []Value // entries of a list, values of a map, or fields of a record
	keys       []Value // keys of a map, sorted
	collection bool
	shares     uint8
}

func floatValue(f float64) Value { return Value{bits: int64(math.Float64bits(f))} }
func (v Value) float() float64   { return math.Float64frombits(uint64(v.bits)) }
func strValue(s string) Value    { return Value{object: &object{text: s}} }
func boolValue(b bool) Value {
	if b {
		return Value{bits: 1}
	}
	return Value{}
}

func (v Value) str() string {
	if v.object == nil {
		return ""
	}
	return v.object.text
}

// share records that a value is stored in one more place; see object.
func (v Value) share() Value {
	if v.object != nil && v.object.collection && v.object.shares < 2 {
		v.object.shares++
	}
	return v
}

// freeze marks a value as immutable, so that any number of goroutines may read it.
func (v Value) freeze() {
	if v.object == nil || !v.object.collection || v.object.shares == 3 {
		return
	}
	v.object.shares = 3
	for _, e := range v.object.items {
		e.freeze()
	}
}

// zeroValue returns the value of a record field that a literal omits.
func zeroValue(t *Type) Value {
	switch {
	case t == typeString:
		return strValue("")
	case t.isCollection():
		return Value{object: &object{collection: true}}
	case t.record != nil:
		o := &object{}
		for _, f := range t.record.Fields {
			o.items = append(o.items, zeroValue(f.Type))
		}
		return Value{object: o}
	}
	return Value{}
}

// traversalCost returns an upper bound on the fuel for comparing or copying a value.
func traversalCost(v Value) int64 {
	if v.object == nil {
		return 0
	}
	n := int64(len(v.object.text)/16 + len(v.object.items) + len(v.object.keys))
	for _, e := range v.object.items {
		if e.object != nil {
			n += traversalCost(e)
		}
	}
	return n
}

// equal reports whether two values of type t are equal.
func equal(t *Type, a, b Value) bool {
	switch {
	case t == typeFloat:
		return a.float() == b.float()
	case t == typeString:
		return a.str() == b.str()
	case t.record != nil:
		for i, f := range t.record.Fields {
			if !equal(f.Type, a.object.items[i], b.object.items[i]) {
				return false
			}
		}
		return true
	case t.isCollection():
		if len(a.object.items) != len(b.object.items) {
			return false
		}
		for i := range a.object.items {
			if t.key != nil && !equal(t.key, a.object.keys[i], b.object.keys[i]) {
				return false
			}
			if !equal(t.elem, a.object.items[i], b.object.items[i]) {
				return false
			}
		}
		return true
	}
	return a.bits == b.bits
}

// compare compares two values of an ordered type, as cmp.Compare does.
func compare(t *Type, a, b Value) int {
	switch t {
	case typeFloat:
		return cmp.Compare(a.float(), b.float())
	case typeString:
		return strings.Compare(a.str(), b.str())
	}
	return cmp.Compare(a.bits, b.bits)
}

// find returns the index of key k in a map, or the index at which to insert it, and whether the map
// contains it.
func (o *object) find(k Value) (int, bool) {
	if k.object != nil {
		byText := func(v Value, s string) int { return strings.Compare(v.object.text, s) }
		return slices.BinarySearchFunc(o.keys, k.object.text, byText)
	}
	return slices.BinarySearchFunc(o.keys, k.bits, func(v Value, n int64) int { return cmp.Compare(v.bits, n) })
}

// formatValue returns a value in the syntax of the language.
func formatValue(t *Type, v Value) string {
	switch {
	case t == typeString:
		return quote(v.str())
	case t == typeBool:
		return strconv.FormatBool(v.bits != 0)
	case t == typeFloat:
		return floatText(v.float())
	case t == typeDuration:
		return durationText(time.Duration(v.bits))
	case t.record != nil:
		var b strings.Builder
		b.WriteString(t.name + "{")
		for i, f := range t.record.Fields {
			if i > 0 {
				b.WriteString(", ")
			}
			b.WriteString(f.Name + ": " + formatValue(f.Type, v.object.items[i]))
		}
		return b.String() + "}"
	case t.isCollection():
		var b strings.Builder
		open, end := "[", "]"
		if t.key != nil || len(v.object.items) == 0 {
			open, end = t.String()+"{", "}"
		}
		b.WriteString(open)
		for i := range v.object.items {
			if i > 0 {
				b.WriteString(", ")
			}
			if t.key != nil {
				b.WriteString(formatValue(t.key, v.object.keys[i]) + ": ")
			}
			b.WriteString(formatValue(t.elem, v.object.items[i]))
		}
		return b.String() + end
	case t == typeVoid:
		return ""
	}
	return strconv.FormatInt(v.bits, 10)
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
