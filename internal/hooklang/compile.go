package hooklang

import (
	"encoding/json"
	"fmt"
	"time"
)

type opcode uint8

const (
	opNone  opcode = iota
	opConst        // a: constant
	opInt          // a: the value itself
	opLoad         // a: slot
	opStore
	opLoadState
	opStoreState
	opPop
	opJump // a: where to
	opJumpFalse
	opJumpTrue
	opAndJump // if false, keep it and jump; else drop it
	opOrJump
	opNot
	opNegInt
	opNegFloat
	opAddInt
	opSubInt
	opMulInt
	opDivInt
	opModInt
	opAddFloat
	opSubFloat
	opMulFloat
	opDivFloat
	opDivDur // of two durations
	opAddStr
	opAddList
	opEqInt // the six comparisons of each kind in this order
	opNeInt
	opLtInt
	opLeInt
	opGtInt
	opGeInt
	opLtFloat
	opLeFloat
	opGtFloat
	opGeFloat
	opLtStr
	opLeStr
	opGtStr
	opGeStr
	opEq // a: type
	opNe
	opInStr
	opInList // a: type of entries
	opInMap
	opList   // a: entries
	opMap    // a: entries
	opRecord // a: record of the template, b: fields given; their numbers are in template
	opIndexList
	opIndexMap
	opField
	opSetList // a: slot or state, b: 1 of the state
	opSetMap
	opPush
	opRemove
	opIterate // a: slot of the loop: what is run over is on the stack
	opNextList
	opNextMap // b: slot of the key, -1: the name is the key
	opRange
	opNextRange
	opCall    // a: function
	opBuiltin // a: number
	opSort    // a: function that compares
	opReturn
	opReturnNothing
	opRun // a: handler
	opAddIntConst
	opLtIntSlots // a, b: slots; followed by a conditional jump
	opCodes
)

type instruction struct {
	op   opcode
	a, b int32
}

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

type handler struct {
	function int
	point    *Point
	interval time.Duration
}

type stateVar struct {
	name      string
	valueType *Type
}

// A Program is a script that can be run. It does not change, and may be used by many VMs at once.
type Program struct {
	File         string
	Text         string
	funcs        []*function
	consts       []Value
	types        []*Type
	natives      []func(vm *VM, a []Value) Value
	templates    []template
	handlers     map[string]*handler
	state        []stateVar
	initialState []Value // of the state
	tests        []test
	Warnings     Problems
	costs        []Cost
}

type template struct {
	values []Value
	fields []int32
}

type test struct {
	name     string
	pos      Pos
	function int
}

// Compile checks a text and makes a program of it. A *Problems error tells all that is wrong.
func Compile(file, text string) (*Program, error) {
	s, bad := check(file, text)
	if bad.Wrong() {
		return nil, bad
	}
	p := &Program{File: file, Text: text, handlers: map[string]*handler{}, Warnings: bad}
	c := &compiler{program: p, funcs: map[*funcDecl]int{}, natives: map[*signature]int{}}
	for i, d := range s.funcs {
		c.funcs[d] = i
		p.funcs = append(p.funcs, &function{name: d.name})
		if d.point != nil {
			p.funcs[i].name = "on " + d.name
			p.handlers[d.name] = &handler{i, d.point, d.interval}
		}
	}
	for _, d := range s.tests {
		c.funcs[d.function] = len(p.funcs)
		p.tests = append(p.tests, test{d.name, d.pos, len(p.funcs)})
		p.funcs = append(p.funcs, &function{name: d.function.name})
	}
	for _, d := range s.states {
		p.state = append(p.state, stateVar{d.name, d.valueType})
	}
	for _, d := range s.funcs {
		c.function(d, p.funcs[c.funcs[d]])
	}
	for _, d := range s.tests {
		c.function(d.function, p.funcs[c.funcs[d.function]])
	}
	if c.instructions > maxCode {
		return nil, Problems{{File: file, Pos: Pos{1, 1}, Text: fmt.Sprintf("%d instructions, over the %d that a script may have", c.instructions, maxCode)}}
	}
	p.costs = estimate(s)
	for _, k := range p.costs {
		lim := Aside.Fuel
		if points[k.Point].Inline {
			lim = Inline.Fuel
		}
		if k.Fuel > float64(lim) {
			p.Warnings = append(p.Warnings, &Problem{File: file, Pos: k.Pos, Warning: true,
				Text: fmt.Sprintf("on %s may take %.3g instructions, over the %d it has: %s", k.Point, k.Fuel, lim, k.Why)})
		}
	}
	if err := p.computeInitialState(s); err != nil {
		return nil, Problems{{File: file, Pos: Pos{1, 1}, Text: err.Error()}}
	}
	return p, nil
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
	vm.limits = Aside
	n := len(s.states)
	return vm.guard(p, func() {
		vm.program = p
		vm.fuel, vm.memory = vm.limits.Fuel, vm.limits.Memory
		keep := make([]Value, 0, n)
		vm.capture = &keep
		vm.exec(fn, nil)
		for _, v := range keep {
			v.freeze()
		}
		p.initialState = keep
		vm.capture = nil
	})
}

// Points returns the names of the points that the program has handlers for, in the order of the manual, and a timer's time.
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

// Has tells whether there is a handler of a point.
func (p *Program) Has(point string) bool { return p.handlers[point] != nil }

// MarshalJSON names the program: it is shown to operators.
func (p *Program) MarshalJSON() ([]byte, error) { return json.Marshal(p.File) }

type compiler struct {
	program      *Program
	current      *function
	funcs        map[*funcDecl]int
	natives      map[*signature]int
	depth        int // depth of the stack
	instructions int
	loops        []*loopJumps
}

type loopJumps struct{ breaks, continues []int }

func (c *compiler) emit(pos Pos, op opcode, a, b int, grow int) int {
	c.current.code = append(c.current.code, instruction{op, int32(a), int32(b)})
	c.current.positions = append(c.current.positions, pos)
	c.depth += grow
	c.current.depth = max(c.current.depth, c.depth)
	c.instructions++
	return len(c.current.code) - 1
}

func (c *compiler) here() int    { return len(c.current.code) }
func (c *compiler) patch(at int) { c.current.code[at].a = int32(len(c.current.code)) }

func (c *compiler) constant(v Value) int {
	c.program.consts = append(c.program.consts, v)
	return len(c.program.consts) - 1
}

func (c *compiler) typ(t *Type) int {
	for i, o := range c.program.types {
		if sameType(o, t) {
			return i
		}
	}
	c.program.types = append(c.program.types, t)
	return len(c.program.types) - 1
}

func (c *compiler) equal(pos Pos, t *Type, yes bool) {
	switch t {
	case typeInt, typeDuration, typeBool:
		if yes {
			c.emit(pos, opEqInt, 0, 0, -1)
		} else {
			c.emit(pos, opNeInt, 0, 0, -1)
		}
		return
	}
	op := opEq
	if !yes {
		op = opNe
	}
	c.emit(pos, op, c.typ(t), 0, -1)
}

func (c *compiler) arith(pos Pos, op string, x, y *Type) {
	var k opcode
	switch {
	case x == typeString:
		k = opAddStr
	case x.name == "list":
		k = opAddList
	case x == typeFloat:
		k = map[string]opcode{"+": opAddFloat, "-": opSubFloat, "*": opMulFloat, "/": opDivFloat}[op]
	case op == "/" && x == typeDuration && y == typeDuration:
		k = opDivDur
	default:
		k = map[string]opcode{"+": opAddInt, "-": opSubInt, "*": opMulInt, "/": opDivInt, "%": opModInt}[op]
	}
	c.emit(pos, k, 0, 0, -1)
}

var comparisonOffset = map[string]opcode{"<": 0, "<=": 1, ">": 2, ">=": 3}

func (c *compiler) expr(e expr) {
	switch e := e.(type) {
	case *literalExpr:
		if e.value.object == nil && e.value.bits >= -1<<31 && e.value.bits < 1<<31 {
			c.emit(e.pos, opInt, int(e.value.bits), 0, 1)
		} else {
			c.emit(e.pos, opConst, c.constant(e.value), 0, 1)
		}
	case *nameExpr:
		c.load(e.pos, e.ref)
	case *unaryExpr:
		c.expr(e.operand)
		switch {
		case e.op == "not":
			c.emit(e.pos, opNot, 0, 0, 0)
		case e.valueType == typeFloat:
			c.emit(e.pos, opNegFloat, 0, 0, 0)
		default:
			c.emit(e.pos, opNegInt, 0, 0, 0)
		}
	case *binaryExpr:
		c.binary(e)
	case *listExpr:
		for _, x := range e.items {
			c.expr(x)
		}
		c.emit(e.pos, opList, len(e.items), 0, 1-len(e.items))
	case *mapExpr:
		for i := range e.keys {
			c.expr(e.keys[i])
			c.expr(e.values[i])
		}
		c.emit(e.pos, opMap, len(e.keys), 0, 1-2*len(e.keys))
	case *recordExpr:
		r := e.valueType.record
		t := template{values: zeroValue(r.valueType).object.items}
		for i, name := range e.fields {
			c.expr(e.values[i])
			for n, f := range r.Fields {
				if f.Name == name {
					t.fields = append(t.fields, int32(n))
				}
			}
		}
		c.program.templates = append(c.program.templates, t)
		c.emit(e.pos, opRecord, len(c.program.templates)-1, 0, 1-len(e.fields))
	case *indexExpr:
		c.expr(e.collection)
		c.expr(e.index)
		if e.collection.typ().name == "map" {
			c.emit(e.pos, opIndexMap, 0, 0, -1)
		} else {
			c.emit(e.pos, opIndexList, 0, 0, -1)
		}
	case *fieldExpr:
		c.expr(e.record)
		c.emit(e.pos, opField, e.index, 0, 0)
	case *callExpr:
		c.call(e)
	case *runExpr:
		c.expr(e.arg)
		c.emit(e.pos, opRun, c.funcs[e.handler], 0, 0)
	}
}

func (c *compiler) binary(e *binaryExpr) {
	if e.op == "and" || e.op == "or" {
		c.expr(e.left)
		op := opAndJump
		if e.op == "or" {
			op = opOrJump
		}
		at := c.emit(e.pos, op, 0, 0, -1)
		c.expr(e.right)
		c.patch(at)
		return
	}
	c.expr(e.left)
	x, y := e.left.typ(), e.right.typ()
	if l, ok := e.right.(*literalExpr); ok && e.op == "+" && (x == typeInt || x == typeDuration) && l.value.bits >= 0 && l.value.bits < 1<<31 {
		c.emit(e.pos, opAddIntConst, int(l.value.bits), 0, 0)
		return
	}
	c.expr(e.right)
	switch e.op {
	case "==", "!=":
		c.equal(e.pos, x, e.op == "==")
	case "<", "<=", ">", ">=":
		base := opLtInt
		switch x {
		case typeFloat:
			base = opLtFloat
		case typeString:
			base = opLtStr
		}
		c.emit(e.pos, base+comparisonOffset[e.op], 0, 0, -1)
	case "in":
		switch {
		case y == typeString:
			c.emit(e.pos, opInStr, 0, 0, -1)
		case y.name == "list":
			c.emit(e.pos, opInList, c.typ(y.elem), 0, -1)
		default:
			c.emit(e.pos, opInMap, 0, 0, -1)
		}
	default:
		c.arith(e.pos, e.op, x, y)
	}
}

func (c *compiler) call(e *callExpr) {
	if e.function != nil && e.builtin == nil {
		for _, a := range e.args {
			c.expr(a)
		}
		grow := -len(e.args)
		if e.function.resultType != typeVoid {
			grow++
		}
		c.emit(e.pos, opCall, c.funcs[e.function], len(e.args), grow)
		return
	}
	s := e.builtin.signatures[0]
	switch {
	case s.takesFunction:
		c.expr(e.args[0])
		c.emit(e.pos, opSort, c.funcs[e.function], 0, 0)
	case s.op != 0:
		n := e.args[0].(*nameExpr)
		c.expr(e.args[1])
		c.emit(e.pos, s.op, n.ref.index, n.ref.flag(), -1)
	default:
		for _, a := range e.args {
			c.expr(a)
		}
		i, ok := c.natives[s]
		if !ok {
			i = len(c.program.natives)
			c.program.natives = append(c.program.natives, s.run)
			c.natives[s] = i
		}
		grow, b := -len(e.args), len(e.args)
		if s.result != typeVoid {
			grow++
			b |= 1 << 8 // it leaves a value
		}
		c.emit(e.pos, opBuiltin, i, b, grow)
	}
}
