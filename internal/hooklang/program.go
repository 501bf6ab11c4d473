package hooklang

import (
	"encoding/json"
	"time"
)

// function is a compiled function, handler or test.
type function struct {
	name        string
	code        []instruction
	positions   []Pos // source position of each instruction
	params      int
	slots       int // stack slots of parameters, variables and loops
	maxOperands int // bound on the operands on the stack above the slots
	vars        []varInfo
}

// varInfo describes a local variable to the tracer: its name, type, slot and scope.
type varInfo struct {
	name      string
	valueType *Type
	slot      int
	from, to  Pos // scope in the text
}

// handler is the compiled handler of a point.
type handler struct {
	function int // index in Program.funcs
	point    *Point
	interval time.Duration // of a timer
}

// stateVar is a state variable. Its value has the same index in State.values.
type stateVar struct {
	name      string
	valueType *Type
}

// Program is a compiled script. It is immutable and safe for concurrent use by any number of VMs.
type Program struct {
	File string // file name of the script, for positions in messages
	Text string
	// Warnings are problems that do not prevent compilation, for instance a variable that is never
	// used.
	Warnings Problems

	funcs        []*function
	consts       []Value
	types        []*Type
	natives      []func(vm *VM, args []Value) Value
	templates    []recordTemplate
	handlers     map[string]*handler // by the name of their point
	state        []stateVar
	initialState []Value
	tests        []compiledTest
	costs        []Cost
}

// recordTemplate is a record literal without the field values that it computes.
type recordTemplate struct {
	values []Value // zero values of all fields
	fields []int32 // indexes of the fields that the literal sets
}

// compiledTest is a test of a script.
type compiledTest struct {
	name     string
	pos      Pos
	function int // index in Program.funcs
}

// computeInitialState evaluates the initial values of the state variables.
func (p *Program) computeInitialState(s *script) error {
	fn := &function{name: "state"}
	c := &compiler{program: p, current: fn}
	for _, d := range s.states {
		c.expr(d.init)
	}
	c.emit(Pos{}, opReturnNothing, 0, 0, 0)
	fn.maxOperands += len(s.states) + 1
	vm := NewVM()
	vm.limits = BackgroundLimits
	return vm.guard(p, func() {
		vm.program = p
		vm.fuel = vm.limits.Fuel
		vm.memory = vm.limits.Memory
		initial := make([]Value, 0, len(s.states))
		vm.capture = &initial
		vm.exec(fn, nil)
		for _, v := range initial {
			v.freeze()
		}
		p.initialState = initial
		vm.capture = nil
	})
}

// Points returns the names of the points that the program has handlers for, in the order of
// [Points], and the interval of its timer, 0 without one.
func (p *Program) Points() (names []string, interval time.Duration) {
	for _, pt := range Points {
		if h := p.handlers[pt.Name]; h != nil {
			names = append(names, pt.Name)
			if h.interval > 0 {
				interval = h.interval
			}
		}
	}
	return names, interval
}

// HasHandler reports whether the program has a handler for a point.
func (p *Program) HasHandler(point string) bool { return p.handlers[point] != nil }

// MarshalJSON encodes a program as its file name, which is how operators identify it.
func (p *Program) MarshalJSON() ([]byte, error) { return json.Marshal(p.File) }
