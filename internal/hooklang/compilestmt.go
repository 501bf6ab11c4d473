package hooklang

func (c *compiler) compileFunction(d *funcDecl, f *function) {
	c.current = f
	c.stackDepth = 0
	f.params = len(d.paramTypes)
	f.slots = d.slots
	f.vars = d.vars
	c.block(d.body)
	c.emit(d.end, opReturnNothing, 0, 0, 0)
	f.maxOperands += 2
}

func (c *compiler) block(b *block) {
	for _, s := range b.stmts {
		c.stmt(s)
	}
}

func (c *compiler) stmt(s stmt) {
	switch s := s.(type) {
	case *block:
		c.block(s)
	case *letStmt:
		c.expr(s.value)
		c.emit(s.pos, opStore, s.slot, 0, -1)
	case *assignStmt:
		c.set(s)
	case *ifStmt:
		c.ifElse(s)
	case *forStmt:
		c.forLoop(s)
	case *matchStmt:
		c.match(s)
	case *returnStmt:
		if s.value == nil {
			c.emit(s.pos, opReturnNothing, 0, 0, 0)
			return
		}
		c.expr(s.value)
		c.emit(s.pos, opReturn, 0, 0, -1)
	case *branchStmt:
		loop := c.loops[len(c.loops)-1]
		jump := c.emit(s.pos, opJump, 0, 0, 0)
		if s.keyword == "break" {
			loop.breaks = append(loop.breaks, jump)
		} else {
			loop.continues = append(loop.continues, jump)
		}
	case *exprStmt:
		c.expr(s.value)
		if s.value.typ() != typeVoid {
			c.emit(s.pos, opPop, 0, 0, -1)
		}
	}
}

func (c *compiler) ifElse(s *ifStmt) {
	c.expr(s.cond)
	toElse := c.emit(s.pos, opJumpFalse, 0, 0, -1)
	c.block(s.then)
	if s.otherwise == nil {
		c.patchJump(toElse)
		return
	}
	toEnd := c.emit(s.pos, opJump, 0, 0, 0)
	c.patchJump(toElse)
	c.stmt(s.otherwise)
	c.patchJump(toEnd)
}

// match emits code that stores the value in a slot and compares it with the values of each case in
// order.
func (c *compiler) match(s *matchStmt) {
	c.expr(s.value)
	c.emit(s.pos, opStore, s.slot, 0, -1)
	var jumpsToEnd []int
	for _, branch := range s.cases {
		var jumpsToBody []int
		for _, v := range branch.values {
			c.emit(v.at(), opLoad, s.slot, 0, 1)
			c.expr(v)
			c.emitEquality(v.at(), s.value.typ(), true)
			jumpsToBody = append(jumpsToBody, c.emit(v.at(), opJumpTrue, 0, 0, -1))
		}
		toNextCase := c.emit(s.pos, opJump, 0, 0, 0)
		for _, jump := range jumpsToBody {
			c.patchJump(jump)
		}
		c.block(branch.body)
		jumpsToEnd = append(jumpsToEnd, c.emit(s.pos, opJump, 0, 0, 0))
		c.patchJump(toNextCase)
	}
	if s.otherwise != nil {
		c.block(s.otherwise)
	}
	for _, jump := range jumpsToEnd {
		c.patchJump(jump)
	}
}

func (c *compiler) emitLoad(pos Pos, r ref) {
	if r.inState {
		c.emit(pos, opLoadState, r.index, 0, 1)
	} else {
		c.emit(pos, opLoad, r.index, 0, 1)
	}
}

func (c *compiler) emitStore(pos Pos, r ref) {
	if r.inState {
		c.emit(pos, opStoreState, r.index, 0, -1)
	} else {
		c.emit(pos, opStore, r.index, 0, -1)
	}
}

// stateFlag returns 1 for a state variable and 0 for a slot: operand b of instructions that change
// a list or map.
func (r ref) stateFlag() int {
	if r.inState {
		return 1
	}
	return 0
}

func (c *compiler) set(s *assignStmt) {
	if s.index != nil {
		c.expr(s.index)
		c.expr(s.value)
		op := opSetList
		if s.targetType.name == "map" {
			op = opSetMap
		}
		c.emit(s.pos, op, s.target.index, s.target.stateFlag(), -2)
		return
	}
	if s.op == "" {
		c.expr(s.value)
		c.emitStore(s.pos, s.target)
		return
	}
	c.emitLoad(s.pos, s.target)
	c.expr(s.value)
	c.emitArithmetic(s.pos, s.op, s.targetType, s.targetType)
	c.emitStore(s.pos, s.target)
}

func (c *compiler) forLoop(s *forStmt) {
	c.expr(s.from)
	jumps := &loopJumps{}
	c.loops = append(c.loops, jumps)
	var loopStart, advance int
	if s.to != nil {
		c.expr(s.to)
		c.emit(s.pos, opRange, s.slot, 0, -2)
		loopStart = c.nextIndex()
		advance = c.emit(s.pos, opNextRange, 0, s.slot, 0)
	} else {
		c.emit(s.pos, opIterate, s.slot, 0, -1)
		loopStart = c.nextIndex()
		if s.from.typ().name == "map" {
			advance = c.emit(s.pos, opNextMap, 0, s.slot, 0)
			keySlot := -1
			if s.key != "" {
				keySlot = s.keySlot
			}
			c.emit(s.pos, opNone, keySlot, 0, 0) // an extra operand of opNextMap, which skips it
		} else {
			advance = c.emit(s.pos, opNextList, 0, s.slot, 0)
		}
	}
	c.block(s.body)
	for _, jump := range jumps.continues {
		c.current.code[jump].a = int32(loopStart)
	}
	c.emit(s.pos, opJump, loopStart, 0, 0)
	c.patchJump(advance)
	for _, jump := range jumps.breaks {
		c.patchJump(jump)
	}
	c.loops = c.loops[:len(c.loops)-1]
}
