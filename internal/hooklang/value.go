package hooklang

import (
	"cmp"
	"math"
	"slices"
	"strings"
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
