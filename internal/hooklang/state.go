package hooklang

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"
)

// A State is the values of a program's state variables. It does not change: a run that writes leads to another.
type State struct {
	program *Program
	values  []Value
}

// State returns the state that a program begins with.
func (p *Program) State() *State { return &State{p, p.initialState} }

// Take returns the program's state with what another, perhaps of another program, has of the same names and types.
func (p *Program) Take(old *State) *State {
	if old == nil {
		return p.State()
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

// Equal tells whether two states have the same names, types and values.
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

type saved struct {
	Name  string          `json:"name"`
	Type  string          `json:"type"`
	Value json.RawMessage `json:"value"`
}

// MarshalJSON writes the state: ints and durations as strings, as JSON's readers lose digits above 2^53 (RFC 8259, 6).
func (s *State) MarshalJSON() ([]byte, error) {
	l := []saved{}
	for i, v := range s.program.state {
		l = append(l, saved{v.name, v.valueType.String(), encode(nil, v.valueType, s.values[i])})
	}
	return json.Marshal(l)
}

// Restore reads what MarshalJSON wrote. Variables that the program does not have, or has with another type, are left out.
func (p *Program) Restore(text []byte) (*State, error) {
	var l []saved
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
	bad := func() (Value, error) { return Value{}, fmt.Errorf("%v is no %v", x, t) }
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
		l, ok := x.([]any)
		if !ok {
			return bad()
		}
		o := &object{collection: true}
		for _, e := range l {
			if t.key != nil {
				pair, ok := e.([]any)
				if !ok || len(pair) != 2 {
					return bad()
				}
				k, err := decode(t.key, pair[0])
				if err != nil {
					return k, err
				}
				if n := len(o.keys); n > 0 && compare(t.key, o.keys[n-1], k) >= 0 {
					return bad()
				}
				o.keys, e = append(o.keys, k), pair[1]
			}
			v, err := decode(t.elem, e)
			if err != nil {
				return v, err
			}
			o.items = append(o.items, v)
		}
		return Value{object: o}, nil
	default:
		if s, ok := x.(string); ok {
			if n, err := strconv.ParseInt(s, 10, 64); err == nil {
				return Value{bits: n}, nil
			}
		}
	}
	return bad()
}

// A TestResult is the end of one test of a script.
type TestResult struct {
	Name string
	Pos  Pos
	Err  error // a *Fault, or nil
	Fuel int64
}

// testEnv is the clock of tests: a day's begin.
var testEnv = Env{Now: int64(24 * time.Hour), Wall: 86400}

// FirstFailure runs the tests up to the first that fails.
func (p *Program) FirstFailure() error {
	for _, t := range p.tests {
		one := *p
		one.tests = []test{t}
		if r := one.Test(); r[0].Err != nil {
			return fmt.Errorf("test %q: %w", t.name, r[0].Err)
		}
	}
	return nil
}

// Test runs the tests of a program in the order of the text, each from the first state. Their clock stands at a day's begin.
func (p *Program) Test() (l []TestResult) {
	vm := NewVM()
	for _, t := range p.tests {
		vm.start(p, p.State(), testEnv, Aside)
		err := vm.guard(p, func() { vm.exec(p.funcs[t.function], nil) })
		l = append(l, TestResult{t.name, t.pos, err, Aside.Fuel - vm.fuel})
	}
	return l
}
