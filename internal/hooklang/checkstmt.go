package hooklang

// block checks a block in a scope of its own, and reports whether the code after it is unreachable.
func (c *checker) block(b *block) (ends bool) {
	c.pushScope()
	from := c.nextSlot
	for i, s := range b.stmts {
		if c.stmt(s) {
			if ends = true; i+1 < len(b.stmts) {
				c.reportError(b.stmts[i+1].at(), "this is never reached")
				break
			}
		}
	}
	c.nextSlot = from
	c.scopeEnd = b.end
	c.popScope()
	return ends
}

// stmt checks a statement and reports whether the code after it is unreachable.
func (c *checker) stmt(s stmt) (ends bool) {
	switch s := s.(type) {
	case *block:
		return c.block(s)
	case *letStmt:
		c.let(s)
	case *assignStmt:
		c.assign(s)
	case *ifStmt:
		c.expectType(s.cond, typeBool, "a condition")
		ends := c.block(s.then)
		return s.otherwise != nil && c.stmt(s.otherwise) && ends
	case *forStmt:
		c.loop(s)
	case *matchStmt:
		return c.match(s)
	case *returnStmt:
		c.returnValue(s)
		return true
	case *branchStmt:
		if c.loopDepth == 0 {
			c.reportError(s.pos, "%s outside a loop", s.keyword)
		}
		return true
	case *exprStmt:
		t := c.expr(s.value)
		if _, run := s.value.(*runExpr); t != typeVoid && t != typeInvalid && !run {
			c.reportError(s.pos, "the value of type %v is not used", t)
		}
		call, ok := s.value.(*callExpr)
		return ok && call.builtin != nil && call.name == "fail"
	}
	return false
}

func (c *checker) let(s *letStmt) {
	t := c.value(s.value)
	if s.declaredType != nil {
		if declared := c.resolveType(s.declaredType); !sameType(declared, t) {
			c.reportError(s.value.at(), "%s is a %v, not a %v", s.name, declared, t)
			t = declared
		}
	}
	s.slot = c.declare(s.pos, s.name, t).ref.index
}

func (c *checker) returnValue(s *returnStmt) {
	switch {
	case s.value == nil && c.current.resultType != typeVoid:
		c.reportError(s.pos, "the function must return a %v", c.current.resultType)
	case s.value != nil && c.current.resultType == typeVoid:
		c.value(s.value)
		c.reportError(s.value.at(), "nothing is to be returned here")
	case s.value != nil:
		c.expectType(s.value, c.current.resultType, "the result")
	}
}

// match checks a match statement, whose value gets a slot of its own, and reports whether the code
// after it is unreachable.
func (c *checker) match(s *matchStmt) (ends bool) {
	t := c.value(s.value)
	if !t.ordered() && t != typeBool {
		c.reportError(s.value.at(), "match takes a bool, int, float, duration or string, not a %v", t)
	}
	outer := c.nextSlot
	s.slot = c.nextSlot
	c.nextSlot++
	c.current.slots = max(c.current.slots, c.nextSlot)
	ends = s.otherwise != nil
	seen := map[string]Pos{}
	for _, k := range s.cases {
		for _, value := range k.values {
			c.caseValue(value, t, seen)
		}
		ends = c.block(k.body) && ends
	}
	if s.otherwise != nil {
		ends = c.block(s.otherwise) && ends
	}
	c.nextSlot = outer
	return ends
}

// caseValue checks a value of a case. seen holds the literals of the preceding values, with their
// positions.
func (c *checker) caseValue(e expr, t *Type, seen map[string]Pos) {
	if found := c.value(e); !sameType(found, t) {
		c.reportError(e.at(), "a case is a %v, not a %v", t, found)
	}
	literal, ok := e.(*literalExpr)
	if !ok || literal.valueType == typeInvalid {
		return
	}
	key := formatValue(literal.valueType, literal.value)
	if previous, ok := seen[key]; ok {
		c.reportError(e.at(), "the case %s is listed in line %d already", key, previous.Line)
	}
	seen[key] = e.at()
}

// assign checks an assignment to a variable, or to an entry of a list or map.
func (c *checker) assign(s *assignStmt) {
	t, r := c.assignmentTarget(s.pos, s.name)
	s.target, s.targetType = r, t
	if s.index != nil {
		i := c.value(s.index)
		switch {
		case t == typeInvalid:
		case t.name == "list":
			if !sameType(i, typeInt) {
				c.reportError(s.index.at(), "an index of a list is an int, not a %v", i)
			}
			t = t.elem
		case t.name == "map":
			if !sameType(i, t.key) {
				c.reportError(s.index.at(), "a key of %s is a %v, not a %v", s.name, t.key, i)
			}
			t = t.elem
		default:
			c.reportError(s.pos, "%s is a %v: only lists and maps have entries", s.name, t)
			t = typeInvalid
		}
	}
	v := c.value(s.value)
	if s.op != "" && !hasCompoundAssignment(t, s.op) {
		c.reportError(s.pos, "a %v has no %s=", t, s.op)
		return
	}
	if !sameType(t, v) {
		c.reportError(s.value.at(), "%s wants a %v, not a %v", s.name, t, v)
	}
}

// hasCompoundAssignment reports whether type t has the compound assignment op=: numbers and
// durations have += and -=, lists and strings only +=.
func hasCompoundAssignment(t *Type, op string) bool {
	if t.isCollection() && t.name == "list" {
		return op == "+"
	}
	return t.ordered() && (op == "+" || t != typeString)
}

// loop checks a for statement over a list, a map or a range.
func (c *checker) loop(s *forStmt) {
	t := c.value(s.from)
	var key, elem *Type
	switch {
	case s.to != nil:
		elem = typeInt
		if !sameType(t, typeInt) {
			c.reportError(s.from.at(), "a range runs over ints, not %v", t)
		}
		c.expectType(s.to, typeInt, "the end of a range")
	case t == typeInvalid:
		key, elem = typeInvalid, typeInvalid
	case t.name == "list":
		elem = t.elem
	case t.name == "map":
		key, elem = t.key, t.elem
		if s.key == "" {
			elem = t.key
		}
	default:
		c.reportError(s.from.at(), "for runs over lists, maps and ranges, not over a %v", t)
		elem = typeInvalid
	}
	if s.key != "" && key == nil {
		if elem != typeInvalid {
			c.reportError(s.pos, "only maps have keys to run over")
		}
		key = typeInvalid
	}
	from := c.nextSlot
	c.pushScope()
	v := c.declare(s.pos, s.name, elem)
	s.slot, v.used = v.ref.index, true // the body of a loop need not use its variable
	c.nextSlot += 2                    // hidden slots: the collection or the end of the range, and the position
	c.current.slots = max(c.current.slots, c.nextSlot)
	if s.key != "" {
		v := c.declare(s.pos, s.key, key)
		s.keySlot, v.used = v.ref.index, true
	}
	c.loopDepth++
	c.block(s.body)
	c.loopDepth--
	c.scopeEnd = s.body.end
	c.popScope()
	c.nextSlot = from
}
