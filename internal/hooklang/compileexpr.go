package hooklang

// comparisonOffset is the distance of a comparison's opcode from that of "<" for the same operand
// type.
var comparisonOffset = map[string]opcode{"<": 0, "<=": 1, ">": 2, ">=": 3}

// expr emits code that pushes the value of an expression on the stack.
func (c *compiler) expr(e expr) {
	switch e := e.(type) {
	case *literalExpr:
		c.literal(e)
	case *nameExpr:
		c.emitLoad(e.pos, e.ref)
	case *unaryExpr:
		c.unary(e)
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
		c.record(e)
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

func (c *compiler) literal(e *literalExpr) {
	if e.value.object == nil && e.value.bits >= -1<<31 && e.value.bits < 1<<31 {
		c.emit(e.pos, opInt, int(e.value.bits), 0, 1)
	} else {
		c.emit(e.pos, opConst, c.addConstant(e.value), 0, 1)
	}
}

func (c *compiler) unary(e *unaryExpr) {
	c.expr(e.operand)
	switch {
	case e.op == "not":
		c.emit(e.pos, opNot, 0, 0, 0)
	case e.valueType == typeFloat:
		c.emit(e.pos, opNegFloat, 0, 0, 0)
	default:
		c.emit(e.pos, opNegInt, 0, 0, 0)
	}
}

func (c *compiler) record(e *recordExpr) {
	r := e.valueType.record
	t := recordTemplate{values: zeroValue(r.valueType).object.items}
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
}

func (c *compiler) binary(e *binaryExpr) {
	if e.op == "and" || e.op == "or" {
		c.expr(e.left)
		op := opAndJump
		if e.op == "or" {
			op = opOrJump
		}
		jump := c.emit(e.pos, op, 0, 0, -1)
		c.expr(e.right)
		c.patchJump(jump)
		return
	}
	c.expr(e.left)
	x, y := e.left.typ(), e.right.typ()
	literal, ok := e.right.(*literalExpr)
	if ok && e.op == "+" && (x == typeInt || x == typeDuration) && literal.value.bits >= 0 && literal.value.bits < 1<<31 {
		c.emit(e.pos, opAddIntConst, int(literal.value.bits), 0, 0)
		return
	}
	c.expr(e.right)
	switch e.op {
	case "==", "!=":
		c.emitEquality(e.pos, x, e.op == "==")
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
			c.emit(e.pos, opInList, c.typeIndex(y.elem), 0, -1)
		default:
			c.emit(e.pos, opInMap, 0, 0, -1)
		}
	default:
		c.emitArithmetic(e.pos, e.op, x, y)
	}
}

func (c *compiler) call(e *callExpr) {
	if e.function != nil && e.builtin == nil {
		for _, a := range e.args {
			c.expr(a)
		}
		stackDelta := -len(e.args)
		if e.function.resultType != typeVoid {
			stackDelta++
		}
		c.emit(e.pos, opCall, c.funcs[e.function], len(e.args), stackDelta)
		return
	}
	s := e.builtin.signatures[0]
	switch {
	case s.takesFunction:
		c.expr(e.args[0])
		c.emit(e.pos, opSort, c.funcs[e.function], 0, 0)
	case s.op != 0:
		variable := e.args[0].(*nameExpr)
		c.expr(e.args[1])
		c.emit(e.pos, s.op, variable.ref.index, variable.ref.stateFlag(), -1)
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
		stackDelta, b := -len(e.args), len(e.args)
		if s.result != typeVoid {
			stackDelta++
			b |= 1 << 8 // the builtin has a result
		}
		c.emit(e.pos, opBuiltin, i, b, stackDelta)
	}
}
