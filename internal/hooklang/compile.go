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

type instr struct {
	op   opcode
	a, b int32
}

type function struct {
	name   string
	code   []instr
	places []Pos // of each instruction
	params int
	slots  int
	depth  int // of the stack above the slots
	vars   []varInfo
}

// varInfo is a variable for the tracer: what it is called, from where to where.
type varInfo struct {
	name     string
	t        *Type
	slot     int
	from, to Pos
}

type handler struct {
	fn    int
	point *Point
	every time.Duration
}

type stateVar struct {
	name string
	t    *Type
}

// A Program is a script that can be run. It does not change, and may be used by many VMs at once.
type Program struct {
	File     string
	Text     string
	funcs    []*function
	consts   []Value
	types    []*Type
	natives  []func(vm *VM, a []Value) Value
	records  []template
	handlers map[string]*handler
	state    []stateVar
	first    []Value // of the state
	tests    []test
	Warnings Problems
	costs    []Cost
}

type template struct {
	values []Value
	fields []int32
}

type test struct {
	name string
	pos  Pos
	fn   int
}

// Compile checks a text and makes a program of it. A *Problems error tells all that is wrong.
func Compile(file, text string) (*Program, error) {
	s, bad := check(file, text)
	if bad.Wrong() {
		return nil, bad
	}
	p := &Program{File: file, Text: text, handlers: map[string]*handler{}, Warnings: bad}
	c := &compiler{p: p, funcs: map[*funcDecl]int{}, native: map[*signature]int{}}
	for i, d := range s.funcs {
		c.funcs[d] = i
		p.funcs = append(p.funcs, &function{name: d.name})
		if d.on != nil {
			p.funcs[i].name = "on " + d.name
			p.handlers[d.name] = &handler{i, d.on, d.every}
		}
	}
	for _, d := range s.tests {
		c.funcs[d.fn] = len(p.funcs)
		p.tests = append(p.tests, test{d.name, d.pos, len(p.funcs)})
		p.funcs = append(p.funcs, &function{name: d.fn.name})
	}
	for _, d := range s.states {
		p.state = append(p.state, stateVar{d.name, d.t})
	}
	for _, d := range s.funcs {
		c.function(d, p.funcs[c.funcs[d]])
	}
	for _, d := range s.tests {
		c.function(d.fn, p.funcs[c.funcs[d.fn]])
	}
	if c.total > maxCode {
		return nil, Problems{{File: file, Pos: Pos{1, 1}, Text: fmt.Sprintf("%d instructions, over the %d that a script may have", c.total, maxCode)}}
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
	if err := p.begin(s); err != nil {
		return nil, Problems{{File: file, Pos: Pos{1, 1}, Text: err.Error()}}
	}
	return p, nil
}

// begin computes the state's first values.
func (p *Program) begin(s *script) error {
	fn := &function{name: "state"}
	c := &compiler{p: p, fn: fn}
	for _, d := range s.states {
		c.expr(d.init)
	}
	c.emit(Pos{}, opReturnNothing, 0, 0, 0)
	fn.depth += len(s.states) + 1
	vm := NewVM()
	vm.lim = Aside
	n := len(s.states)
	return vm.guard(p, func() {
		vm.p = p
		vm.fuel, vm.memory = vm.lim.Fuel, vm.lim.Memory
		keep := make([]Value, 0, n)
		vm.keep = &keep
		vm.exec(fn, nil)
		for _, v := range keep {
			v.freeze()
		}
		p.first = keep
		vm.keep = nil
	})
}

// Points returns the names of the points that the program has handlers for, in the order of the manual, and a timer's time.
func (p *Program) Points() (names []string, every time.Duration) {
	for _, pt := range Points {
		if h := p.handlers[pt.Name]; h != nil {
			names = append(names, pt.Name)
			if h.every > 0 {
				every = h.every
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
	p      *Program
	fn     *function
	funcs  map[*funcDecl]int
	native map[*signature]int
	now    int // depth of the stack
	total  int
	breaks []*leave
}

type leave struct{ breaks, continues []int }

func (c *compiler) emit(pos Pos, op opcode, a, b int, grow int) int {
	c.fn.code = append(c.fn.code, instr{op, int32(a), int32(b)})
	c.fn.places = append(c.fn.places, pos)
	c.now += grow
	c.fn.depth = max(c.fn.depth, c.now)
	c.total++
	return len(c.fn.code) - 1
}

func (c *compiler) here() int    { return len(c.fn.code) }
func (c *compiler) patch(at int) { c.fn.code[at].a = int32(len(c.fn.code)) }

func (c *compiler) constant(v Value) int {
	c.p.consts = append(c.p.consts, v)
	return len(c.p.consts) - 1
}

func (c *compiler) typ(t *Type) int {
	for i, o := range c.p.types {
		if same(o, t) {
			return i
		}
	}
	c.p.types = append(c.p.types, t)
	return len(c.p.types) - 1
}

func (c *compiler) equal(pos Pos, t *Type, yes bool) {
	switch t {
	case tyInt, tyDur, tyBool:
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
	case x == tyStr:
		k = opAddStr
	case x.name == "list":
		k = opAddList
	case x == tyFloat:
		k = map[string]opcode{"+": opAddFloat, "-": opSubFloat, "*": opMulFloat, "/": opDivFloat}[op]
	case op == "/" && x == tyDur && y == tyDur:
		k = opDivDur
	default:
		k = map[string]opcode{"+": opAddInt, "-": opSubInt, "*": opMulInt, "/": opDivInt, "%": opModInt}[op]
	}
	c.emit(pos, k, 0, 0, -1)
}

var order = map[string]opcode{"<": 0, "<=": 1, ">": 2, ">=": 3}

func (c *compiler) expr(e expr) {
	switch e := e.(type) {
	case *litExpr:
		if e.v.o == nil && e.v.n >= -1<<31 && e.v.n < 1<<31 {
			c.emit(e.pos, opInt, int(e.v.n), 0, 1)
		} else {
			c.emit(e.pos, opConst, c.constant(e.v), 0, 1)
		}
	case *nameExpr:
		c.load(e.pos, e.ref)
	case *unaryExpr:
		c.expr(e.x)
		switch {
		case e.op == "not":
			c.emit(e.pos, opNot, 0, 0, 0)
		case e.t == tyFloat:
			c.emit(e.pos, opNegFloat, 0, 0, 0)
		default:
			c.emit(e.pos, opNegInt, 0, 0, 0)
		}
	case *binExpr:
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
	case *recExpr:
		r := e.t.rec
		t := template{values: zero(r.t).o.l}
		for i, name := range e.fields {
			c.expr(e.values[i])
			for n, f := range r.Fields {
				if f.Name == name {
					t.fields = append(t.fields, int32(n))
				}
			}
		}
		c.p.records = append(c.p.records, t)
		c.emit(e.pos, opRecord, len(c.p.records)-1, 0, 1-len(e.fields))
	case *indexExpr:
		c.expr(e.x)
		c.expr(e.i)
		if e.x.typ().name == "map" {
			c.emit(e.pos, opIndexMap, 0, 0, -1)
		} else {
			c.emit(e.pos, opIndexList, 0, 0, -1)
		}
	case *fieldExpr:
		c.expr(e.x)
		c.emit(e.pos, opField, e.n, 0, 0)
	case *callExpr:
		c.call(e)
	case *runExpr:
		c.expr(e.arg)
		c.emit(e.pos, opRun, c.funcs[e.fn], 0, 0)
	}
}

func (c *compiler) binary(e *binExpr) {
	if e.op == "and" || e.op == "or" {
		c.expr(e.x)
		op := opAndJump
		if e.op == "or" {
			op = opOrJump
		}
		at := c.emit(e.pos, op, 0, 0, -1)
		c.expr(e.y)
		c.patch(at)
		return
	}
	c.expr(e.x)
	x, y := e.x.typ(), e.y.typ()
	if l, ok := e.y.(*litExpr); ok && e.op == "+" && (x == tyInt || x == tyDur) && l.v.n >= 0 && l.v.n < 1<<31 {
		c.emit(e.pos, opAddIntConst, int(l.v.n), 0, 0)
		return
	}
	c.expr(e.y)
	switch e.op {
	case "==", "!=":
		c.equal(e.pos, x, e.op == "==")
	case "<", "<=", ">", ">=":
		base := opLtInt
		switch x {
		case tyFloat:
			base = opLtFloat
		case tyStr:
			base = opLtStr
		}
		c.emit(e.pos, base+order[e.op], 0, 0, -1)
	case "in":
		switch {
		case y == tyStr:
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
	if e.fn != nil && e.b == nil {
		for _, a := range e.args {
			c.expr(a)
		}
		grow := -len(e.args)
		if e.fn.ret != tyVoid {
			grow++
		}
		c.emit(e.pos, opCall, c.funcs[e.fn], len(e.args), grow)
		return
	}
	s := e.b.sigs[0]
	switch {
	case s.by:
		c.expr(e.args[0])
		c.emit(e.pos, opSort, c.funcs[e.fn], 0, 0)
	case s.op != 0:
		n := e.args[0].(*nameExpr)
		c.expr(e.args[1])
		c.emit(e.pos, s.op, n.ref.n, n.ref.flag(), -1)
	default:
		for _, a := range e.args {
			c.expr(a)
		}
		i, ok := c.native[s]
		if !ok {
			i = len(c.p.natives)
			c.p.natives = append(c.p.natives, s.run)
			c.native[s] = i
		}
		grow, b := -len(e.args), len(e.args)
		if s.result != tyVoid {
			grow++
			b |= 1 << 8 // it leaves a value
		}
		c.emit(e.pos, opBuiltin, i, b, grow)
	}
}
