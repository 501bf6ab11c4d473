package hooklang

import "fmt"

// Compile checks a text and makes a program of it. The error is of type [Problems], with all that is wrong and the
// warnings.
func Compile(file, text string) (*Program, error) {
	s, bad := check(file, text)
	if bad.HasErrors() {
		return nil, bad
	}
	p := &Program{File: file, Text: text, handlers: map[string]*handler{}, Warnings: bad}
	c := &compiler{program: p, funcs: map[*funcDecl]int{}, natives: map[*signature]int{}}
	c.declare(s)
	for _, d := range s.funcs {
		c.function(d, p.funcs[c.funcs[d]])
	}
	for _, d := range s.tests {
		c.function(d.function, p.funcs[c.funcs[d.function]])
	}
	if c.instructions > maxCode {
		return nil, problemAtStart(file, "%d instructions, over the %d that a script may have", c.instructions, maxCode)
	}
	p.costs = estimate(s)
	p.warnOfCosts()
	if err := p.computeInitialState(s); err != nil {
		return nil, problemAtStart(file, "%s", err.Error())
	}
	return p, nil
}

// declare gives functions, handlers, tests and state variables their places in the program, so that code can refer
// to them.
func (c *compiler) declare(s *script) {
	p := c.program
	for i, d := range s.funcs {
		c.funcs[d] = i
		name := d.name
		if d.point != nil {
			name = "on " + d.name
			p.handlers[d.name] = &handler{i, d.point, d.interval}
		}
		p.funcs = append(p.funcs, &function{name: name})
	}
	for _, d := range s.tests {
		c.funcs[d.function] = len(p.funcs)
		p.tests = append(p.tests, test{d.name, d.pos, len(p.funcs)})
		p.funcs = append(p.funcs, &function{name: d.function.name})
	}
	for _, d := range s.states {
		p.state = append(p.state, stateVar{d.name, d.valueType})
	}
}

// warnOfCosts warns of handlers that may take more than they have.
func (p *Program) warnOfCosts() {
	for _, cost := range p.costs {
		fuel := BackgroundLimits.Fuel
		if points[cost.Point].Inline {
			fuel = InlineLimits.Fuel
		}
		if cost.Fuel > float64(fuel) {
			text := fmt.Sprintf("on %s may take %.3g instructions, over the %d it has: %s",
				cost.Point, cost.Fuel, fuel, cost.Reason)
			p.Warnings = append(p.Warnings, &Problem{File: p.File, Pos: cost.Pos, Text: text, Warning: true})
		}
	}
}

// compiler writes the code of a script that has passed the checks.
type compiler struct {
	program      *Program
	current      *function
	funcs        map[*funcDecl]int
	natives      map[*signature]int
	depth        int // depth of the stack
	instructions int
	loops        []*loopJumps
}

// loopJumps are the jumps out of a loop and to its next turn, whose targets are not known yet.
type loopJumps struct{ breaks, continues []int }

// emit adds an instruction and returns its index. grow is by how much it changes the depth of the stack.
func (c *compiler) emit(pos Pos, op opcode, a, b int, grow int) int {
	c.current.code = append(c.current.code, instruction{op, int32(a), int32(b)})
	c.current.positions = append(c.current.positions, pos)
	c.depth += grow
	c.current.depth = max(c.current.depth, c.depth)
	c.instructions++
	return len(c.current.code) - 1
}

// here returns the index of the next instruction.
func (c *compiler) here() int { return len(c.current.code) }

// patch makes the next instruction the target of a jump.
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

// equal compares the two values on the stack.
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

// arith calculates with the two values on the stack.
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
