package hooklang

func (c *compiler) function(d *funcDecl, f *function) {
	c.current = f
	c.depth = 0
	f.params = len(d.paramTypes)
	f.slots = d.slots
	f.vars = d.vars
	c.block(d.body)
	c.emit(d.end, opReturnNothing, 0, 0, 0)
	f.depth += 2
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
		c.loop(s)
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
		l := c.loops[len(c.loops)-1]
		at := c.emit(s.pos, opJump, 0, 0, 0)
		if s.keyword == "break" {
			l.breaks = append(l.breaks, at)
		} else {
			l.continues = append(l.continues, at)
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
	no := c.emit(s.pos, opJumpFalse, 0, 0, -1)
	c.block(s.then)
	if s.otherwise == nil {
		c.patch(no)
		return
	}
	end := c.emit(s.pos, opJump, 0, 0, 0)
	c.patch(no)
	c.stmt(s.otherwise)
	c.patch(end)
}

// match compares the value, which it stores in a slot, with one case after the other.
func (c *compiler) match(s *matchStmt) {
	c.expr(s.value)
	c.emit(s.pos, opStore, s.slot, 0, -1)
	var ends []int
	for _, k := range s.cases {
		var hits []int
		for _, v := range k.values {
			c.emit(v.at(), opLoad, s.slot, 0, 1)
			c.expr(v)
			c.equal(v.at(), s.value.typ(), true)
			hits = append(hits, c.emit(v.at(), opJumpTrue, 0, 0, -1))
		}
		next := c.emit(s.pos, opJump, 0, 0, 0)
		for _, h := range hits {
			c.patch(h)
		}
		c.block(k.body)
		ends = append(ends, c.emit(s.pos, opJump, 0, 0, 0))
		c.patch(next)
	}
	if s.otherwise != nil {
		c.block(s.otherwise)
	}
	for _, end := range ends {
		c.patch(end)
	}
}

func (c *compiler) load(pos Pos, r ref) {
	if r.inState {
		c.emit(pos, opLoadState, r.index, 0, 1)
	} else {
		c.emit(pos, opLoad, r.index, 0, 1)
	}
}

func (c *compiler) store(pos Pos, r ref) {
	if r.inState {
		c.emit(pos, opStoreState, r.index, 0, -1)
	} else {
		c.emit(pos, opStore, r.index, 0, -1)
	}
}

func (r ref) flag() int {
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
		c.emit(s.pos, op, s.target.index, s.target.flag(), -2)
		return
	}
	if s.op == "" {
		c.expr(s.value)
		c.store(s.pos, s.target)
		return
	}
	c.load(s.pos, s.target)
	c.expr(s.value)
	c.arith(s.pos, s.op, s.targetType, s.targetType)
	c.store(s.pos, s.target)
}

func (c *compiler) loop(s *forStmt) {
	c.expr(s.from)
	l := &loopJumps{}
	c.loops = append(c.loops, l)
	var top, next int
	if s.to != nil {
		c.expr(s.to)
		c.emit(s.pos, opRange, s.slot, 0, -2)
		top = c.here()
		next = c.emit(s.pos, opNextRange, 0, s.slot, 0)
	} else {
		c.emit(s.pos, opIterate, s.slot, 0, -1)
		top = c.here()
		if s.from.typ().name == "map" {
			next = c.emit(s.pos, opNextMap, 0, s.slot, 0)
			k := -1
			if s.key != "" {
				k = s.keySlot
			}
			c.emit(s.pos, opNone, k, 0, 0) // the key's slot: skipped by opNextMap
		} else {
			next = c.emit(s.pos, opNextList, 0, s.slot, 0)
		}
	}
	c.block(s.body)
	for _, at := range l.continues {
		c.current.code[at].a = int32(top)
	}
	c.emit(s.pos, opJump, top, 0, 0)
	c.patch(next)
	for _, at := range l.breaks {
		c.patch(at)
	}
	c.loops = c.loops[:len(c.loops)-1]
}
