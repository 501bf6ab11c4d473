package hooklang

import (
	"encoding/json"
	"time"
)

// function is a compiled function, handler or test.
type function struct {
	name      string
	code      []instruction
	positions []Pos // of each instruction
	params    int
	slots     int
	depth     int // of the stack above the slots
	vars      []varInfo
}

// varInfo is a variable for the tracer: what it is called, from where to where.
type varInfo struct {
	name      string
	valueType *Type
	slot      int
	from, to  Pos
}

// handler is the function that runs at a point.
type handler struct {
	function int
	point    *Point
	interval time.Duration
}

// stateVar is a state variable, whose value has the same index in State.
type stateVar struct {
	name      string
	valueType *Type
}

// Program is a script that can be run. It does not change, and any number of VMs may use it at once.
type Program struct {
	File string // name of the script's file, for positions in messages
	Text string
	// Warnings are about what is valid but in doubt, for instance a variable that is never used.
	Warnings Problems

	funcs        []*function
	consts       []Value
	types        []*Type
	natives      []func(vm *VM, args []Value) Value
	templates    []template
	handlers     map[string]*handler // by point
	state        []stateVar
	initialState []Value
	tests        []test
	costs        []Cost
}

// template is a literal of a record: the values of fields left out, and the indexes of those given.
type template struct {
	values []Value
	fields []int32
}

// test is a test of a script.
type test struct {
	name     string
	pos      Pos
	function int
}

// computeInitialState computes the state's first values.
func (p *Program) computeInitialState(s *script) error {
	fn := &function{name: "state"}
	c := &compiler{program: p, current: fn}
	for _, d := range s.states {
		c.expr(d.init)
	}
	c.emit(Pos{}, opReturnNothing, 0, 0, 0)
	fn.depth += len(s.states) + 1
	vm := NewVM()
	vm.limits = BackgroundLimits
	return vm.guard(p, func() {
		vm.program = p
		vm.fuel = vm.limits.Fuel
		vm.memory = vm.limits.Memory
		keep := make([]Value, 0, len(s.states))
		vm.capture = &keep
		vm.exec(fn, nil)
		for _, v := range keep {
			v.freeze()
		}
		p.initialState = keep
		vm.capture = nil
	})
}

// Points returns the names of the points that the program has handlers for, in the order of the manual, and a
// timer's time.
func (p *Program) Points() (names []string, every time.Duration) {
	for _, pt := range Points {
		if h := p.handlers[pt.Name]; h != nil {
			names = append(names, pt.Name)
			if h.interval > 0 {
				every = h.interval
			}
		}
	}
	return names, every
}

// HasHandler reports whether there is a handler of a point.
func (p *Program) HasHandler(point string) bool { return p.handlers[point] != nil }

// MarshalJSON names the program: it is shown to operators.
func (p *Program) MarshalJSON() ([]byte, error) { return json.Marshal(p.File) }
