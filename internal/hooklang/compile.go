package hooklang

import "fmt"

// Compile checks and compiles the source text of a script. The error is a [Problems] with all
// errors and warnings that were found.
func Compile(file, text string) (*Program, error) {
	s, problems := check(file, text)
	if problems.HasErrors() {
		return nil, problems
	}
	p := &Program{File: file, Text: text, handlers: map[string]*handler{}, Warnings: problems}
	c := &compiler{program: p, funcs: map[*funcDecl]int{}, natives: map[*signature]int{}}
	c.declare(s)
	for _, d := range s.funcs {
		c.compileFunction(d, p.funcs[c.funcs[d]])
	}
	for _, d := range s.tests {
		c.compileFunction(d.function, p.funcs[c.funcs[d.function]])
	}
	if c.instructions > maxInstructions {
		return nil, problemAtStart(file,
			"the script compiles to %d instructions, more than the limit of %d", c.instructions, maxInstructions)
	}
	p.costs = estimateCosts(s)
	p.addCostWarnings()
	if err := p.computeInitialState(s); err != nil {
		return nil, problemAtStart(file, "%s", err.Error())
	}
	return p, nil
}

// declare assigns indexes to functions, handlers, tests and state variables before any code is
// generated, so that code can refer to declarations that follow it in the text.
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
		p.tests = append(p.tests, compiledTest{d.name, d.pos, len(p.funcs)})
		p.funcs = append(p.funcs, &function{name: d.function.name})
	}
	for _, d := range s.states {
		p.state = append(p.state, stateVar{d.name, d.valueType})
	}
}

// addCostWarnings adds a warning for each handler whose estimated cost exceeds its fuel limit.
func (p *Program) addCostWarnings() {
	for _, cost := range p.costs {
		fuel := BackgroundLimits.Fuel
		if points[cost.Point].Inline {
			fuel = InlineLimits.Fuel
		}
		if cost.Fuel > float64(fuel) {
			text := fmt.Sprintf("the handler of %s may take %.3g instructions, more than its limit of %d: %s",
				cost.Point, cost.Fuel, fuel, cost.Reason)
			p.Warnings = append(p.Warnings, &Problem{File: p.File, Pos: cost.Pos, Text: text, Warning: true})
		}
	}
}

// compiler generates the code of a script that has passed the checks.
type compiler struct {
	program      *Program
	current      *function
	funcs        map[*funcDecl]int
	natives      map[*signature]int
	stackDepth   int // operands on the stack at this point of the current function
	instructions int
	loops        []*loopJumps
}

// loopJumps holds the jumps of break and continue statements in a loop, whose targets are not known
// yet.
type loopJumps struct{ breaks, continues []int }

// emit appends an instruction to the current function and returns its index. stackDelta is the
// change in the number of operands on the stack.
func (c *compiler) emit(pos Pos, op opcode, a, b int, stackDelta int) int {
	c.current.code = append(c.current.code, instruction{op, int32(a), int32(b)})
	c.current.positions = append(c.current.positions, pos)
	c.stackDepth += stackDelta
	c.current.maxOperands = max(c.current.maxOperands, c.stackDepth)
	c.instructions++
	return len(c.current.code) - 1
}

// nextIndex returns the index that the next emitted instruction gets.
func (c *compiler) nextIndex() int { return len(c.current.code) }

// patchJump sets the target of an emitted jump to the next instruction.
func (c *compiler) patchJump(jump int) { c.current.code[jump].a = int32(len(c.current.code)) }

// addConstant adds a value to the constant pool and returns its index.
func (c *compiler) addConstant(v Value) int {
	c.program.consts = append(c.program.consts, v)
	return len(c.program.consts) - 1
}

// typeIndex returns the index of a type in the program's type table, and adds the type if it is
// new.
func (c *compiler) typeIndex(t *Type) int {
	for i, o := range c.program.types {
		if sameType(o, t) {
			return i
		}
	}
	c.program.types = append(c.program.types, t)
	return len(c.program.types) - 1
}

// emitEquality emits the comparison of the two topmost operands, which have type t: == if wantEqual
// is set, != otherwise.
func (c *compiler) emitEquality(pos Pos, t *Type, wantEqual bool) {
	switch t {
	case typeInt, typeDuration, typeBool:
		if wantEqual {
			c.emit(pos, opEqInt, 0, 0, -1)
		} else {
			c.emit(pos, opNeInt, 0, 0, -1)
		}
		return
	}
	op := opEq
	if !wantEqual {
		op = opNe
	}
	c.emit(pos, op, c.typeIndex(t), 0, -1)
}

// emitArithmetic emits a binary operator on the two topmost operands, which have the types x and y.
func (c *compiler) emitArithmetic(pos Pos, op string, x, y *Type) {
	var code opcode
	switch {
	case x == typeString:
		code = opAddStr
	case x.name == "list":
		code = opAddList
	case x == typeFloat:
		code = map[string]opcode{"+": opAddFloat, "-": opSubFloat, "*": opMulFloat, "/": opDivFloat}[op]
	case op == "/" && x == typeDuration && y == typeDuration:
		code = opDivDur
	default:
		code = map[string]opcode{"+": opAddInt, "-": opSubInt, "*": opMulInt, "/": opDivInt, "%": opModInt}[op]
	}
	c.emit(pos, code, 0, 0, -1)
}
