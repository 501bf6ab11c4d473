package hooklang

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"unicode/utf8"
)

// State is the values of a program's state variables. It does not change: a run that writes leads to another.
type State struct {
	program *Program
	values  []Value
}

// InitialState returns the state that a program begins with.
func (p *Program) InitialState() *State { return &State{p, p.initialState} }

// InheritState returns the program's state with what another, perhaps of another program, has of the same names and types.
func (p *Program) InheritState(old *State) *State {
	if old == nil {
		return p.InitialState()
	}
	s := &State{p, slices.Clone(p.initialState)}
	for i, v := range p.state {
		for k, o := range old.program.state {
			if o.name == v.name && sameType(o.valueType, v.valueType) {
				s.values[i] = old.values[k]
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
		w := o.program.state[i]
		if v.name != w.name || !sameType(v.valueType, w.valueType) || !equal(v.valueType, s.values[i], o.values[i]) {
			return false
		}
	}
	return true
}

// String writes the state as the language does, a line for each variable.
func (s *State) String() string {
	var b bytes.Buffer
	for i, v := range s.program.state {
		fmt.Fprintf(&b, "state %s %v = %s\n", v.name, v.valueType, text(v.valueType, s.values[i]))
	}
	return b.String()
}

// savedVariable is a state variable as it is stored.
type savedVariable struct {
	Name  string          `json:"name"`
	Type  string          `json:"type"`
	Value json.RawMessage `json:"value"`
}

// MarshalJSON writes the state: ints and durations as strings, as JSON's readers lose digits above 2^53 (RFC 8259, 6).
func (s *State) MarshalJSON() ([]byte, error) {
	l := []savedVariable{}
	for i, v := range s.program.state {
		l = append(l, savedVariable{v.name, v.valueType.String(), encode(nil, v.valueType, s.values[i])})
	}
	return json.Marshal(l)
}

// RestoreState reads what MarshalJSON wrote. Variables that the program does not have, or has with another type, are
// left out.
func (p *Program) RestoreState(text []byte) (*State, error) {
	var l []savedVariable
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, fmt.Errorf("hook state: %w", err)
	}
	s := &State{p, slices.Clone(p.initialState)}
	for _, w := range l {
		for i, v := range p.state {
			if v.name != w.Name || v.valueType.String() != w.Type {
				continue
			}
			d := json.NewDecoder(bytes.NewReader(w.Value))
			d.UseNumber()
			var x any
			if err := d.Decode(&x); err != nil {
				return nil, fmt.Errorf("hook state: %s: %w", w.Name, err)
			}
			val, err := decode(v.valueType, x)
			if err != nil {
				return nil, fmt.Errorf("hook state: %s: %w", w.Name, err)
			}
			val.freeze()
			s.values[i] = val
		}
	}
	return s, nil
}

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
	case t.name == "map": // a list of pairs: keys may be ints
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
	return Value{}, fmt.Errorf("%v is no %v", x, t)
}

// decodeCollection reads a list, or the pairs of a map, whose keys must be in order.
func decodeCollection(t *Type, x any) (Value, error) {
	invalid := func() error { return fmt.Errorf("%v is no %v", x, t) }
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
