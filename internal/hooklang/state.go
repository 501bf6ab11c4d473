package hooklang

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"unicode/utf8"
)

// State holds the values of a program's state variables. It is immutable: a run that changes state
// variables returns a new State.
type State struct {
	program *Program
	values  []Value
}

// InitialState returns the state before the first run of the program.
func (p *Program) InitialState() *State { return &State{p, p.initialState} }

// InheritState returns the program's initial state, with the values that old, possibly the state of
// another program, has for variables of the same name and type. old may be nil.
func (p *Program) InheritState(old *State) *State {
	if old == nil {
		return p.InitialState()
	}
	s := &State{p, slices.Clone(p.initialState)}
	for i, v := range p.state {
		for j, oldVar := range old.program.state {
			if oldVar.name == v.name && sameType(oldVar.valueType, v.valueType) {
				s.values[i] = old.values[j]
			}
		}
	}
	return s
}

// Equal reports whether two states have the same names, types and values.
func (s *State) Equal(o *State) bool {
	if len(s.values) != len(o.values) {
		return false
	}
	for i, v := range s.program.state {
		other := o.program.state[i]
		if v.name != other.name || !sameType(v.valueType, other.valueType) ||
			!bytes.Equal(encode(nil, v.valueType, s.values[i]), encode(nil, v.valueType, o.values[i])) {
			return false
		}
	}
	return true
}

// String returns the state as declarations of the language, one line for each variable.
func (s *State) String() string {
	var b bytes.Buffer
	for i, v := range s.program.state {
		fmt.Fprintf(&b, "state %s %v = %s\n", v.name, v.valueType, formatValue(v.valueType, s.values[i]))
	}
	return b.String()
}

// savedVariable is the stored form of a state variable.
type savedVariable struct {
	Name  string          `json:"name"`
	Type  string          `json:"type"`
	Value json.RawMessage `json:"value"`
}

// MarshalJSON encodes the state. Ints and durations are strings, because JSON readers may lose
// digits above 2^53 (RFC 8259, section 6).
func (s *State) MarshalJSON() ([]byte, error) {
	saved := []savedVariable{}
	for i, v := range s.program.state {
		saved = append(saved, savedVariable{v.name, v.valueType.String(), encode(nil, v.valueType, s.values[i])})
	}
	return json.Marshal(saved)
}

// RestoreState decodes the output of State.MarshalJSON. It ignores variables that the program does
// not have or has with another type.
func (p *Program) RestoreState(text []byte) (*State, error) {
	var saved []savedVariable
	if err := json.Unmarshal(text, &saved); err != nil {
		return nil, fmt.Errorf("hook state: %w", err)
	}
	s := &State{p, slices.Clone(p.initialState)}
	for _, stored := range saved {
		for i, v := range p.state {
			if v.name != stored.Name || v.valueType.String() != stored.Type {
				continue
			}
			decoder := json.NewDecoder(bytes.NewReader(stored.Value))
			decoder.UseNumber()
			var x any
			if err := decoder.Decode(&x); err != nil {
				return nil, fmt.Errorf("hook state: %s: %w", stored.Name, err)
			}
			val, err := decode(v.valueType, x)
			if err != nil {
				return nil, fmt.Errorf("hook state: %s: %w", stored.Name, err)
			}
			val.freeze()
			s.values[i] = val
		}
	}
	return s, nil
}

// encode appends the JSON form of a value of type t.
func encode(b []byte, t *Type, v Value) []byte {
	switch {
	case t == typeBool:
		return strconv.AppendBool(b, v.bits != 0)
	case t == typeFloat:
		return strconv.AppendFloat(b, v.float(), 'g', -1, 64)
	case t == typeString:
		q, _ := json.Marshal(v.str())
		return append(b, q...)
	case t.name == "list":
		b = append(b, '[')
		for i, e := range v.object.items {
			if i > 0 {
				b = append(b, ',')
			}
			b = encode(b, t.elem, e)
		}
		return append(b, ']')
	case t.name == "map": // a list of pairs, because the keys of JSON objects cannot be ints
		b = append(b, '[')
		for i, e := range v.object.items {
			if i > 0 {
				b = append(b, ',')
			}
			b = append(encode(append(b, '['), t.key, v.object.keys[i]), ',')
			b = append(encode(b, t.elem, e), ']')
		}
		return append(b, ']')
	}
	return append(strconv.AppendInt(append(b, '"'), v.bits, 10), '"')
}

// decode converts the decoded JSON form of a value of type t.
func decode(t *Type, x any) (Value, error) {
	switch {
	case t == typeBool:
		if b, ok := x.(bool); ok {
			return boolValue(b), nil
		}
	case t == typeFloat:
		if n, ok := x.(json.Number); ok {
			if f, err := n.Float64(); err == nil {
				return floatValue(f), nil
			}
		}
	case t == typeString:
		if s, ok := x.(string); ok && utf8.ValidString(s) {
			return strValue(s), nil
		}
	case t.isCollection():
		return decodeCollection(t, x)
	default:
		if s, ok := x.(string); ok {
			if n, err := strconv.ParseInt(s, 10, 64); err == nil {
				return Value{bits: n}, nil
			}
		}
	}
	return Value{}, fmt.Errorf("%v is not a value of type %v", x, t)
}

// decodeCollection decodes a list, or the pairs of a map. The keys of a map must be in ascending
// order.
func decodeCollection(t *Type, x any) (Value, error) {
	invalid := func() error { return fmt.Errorf("%v is not a value of type %v", x, t) }
	items, ok := x.([]any)
	if !ok {
		return Value{}, invalid()
	}
	o := &object{collection: true}
	for _, item := range items {
		if t.key != nil {
			pair, ok := item.([]any)
			if !ok || len(pair) != 2 {
				return Value{}, invalid()
			}
			key, err := decode(t.key, pair[0])
			if err != nil {
				return key, err
			}
			if n := len(o.keys); n > 0 && compare(t.key, o.keys[n-1], key) >= 0 {
				return Value{}, invalid()
			}
			o.keys = append(o.keys, key)
			item = pair[1]
		}
		value, err := decode(t.elem, item)
		if err != nil {
			return value, err
		}
		o.items = append(o.items, value)
	}
	return Value{object: o}, nil
}
