package hooklang

func (c *checker) block(b *block) (ends bool) {
	c.push()
	from := c.nextSlot
	for i, s := range b.stmts {
		if c.stmt(s) {
			if ends = true; i+1 < len(b.stmts) {
				c.problem(b.stmts[i+1].at(), "this is never reached")
				break
			}
		}
	}
	c.nextSlot = from
	c.scopeEnd = b.end
	c.pop()
	return ends
}

// stmt checks a statement and tells whether nothing behind it is reached.
func (c *checker) stmt(s stmt) bool {
	switch s := s.(type) {
	case *block:
		return c.block(s)
	case *letStmt:
		t := c.value(s.value)
		if s.declaredType != nil {
			if w := c.typ(s.declaredType); !sameType(w, t) {
				c.problem(s.value.at(), "%s is a %v, not a %v", s.name, w, t)
				t = w
			}
		}
		s.slot = c.declare(s.pos, s.name, t).ref.index
	case *setStmt:
		c.set(s)
	case *ifStmt:
		c.expect(s.cond, typeBool, "a condition")
		a := c.block(s.then)
		return s.otherwise != nil && c.stmt(s.otherwise) && a
	case *forStmt:
		c.loop(s)
	case *matchStmt:
		t := c.value(s.value)
		if !t.ordered() && t != typeBool {
			c.problem(s.value.at(), "match looks at bool, int, float, duration and string, not at %v", t)
		}
		from := c.nextSlot
		s.slot = c.nextSlot
		c.nextSlot++
		c.current.slots = max(c.current.slots, c.nextSlot)
		ends, seen := s.otherwise != nil, map[string]Pos{}
		for _, k := range s.cases {
			for _, v := range k.values {
				if w := c.value(v); !sameType(w, t) {
					c.problem(v.at(), "a case is a %v, not a %v", t, w)
				}
				if l, ok := v.(*literalExpr); ok && l.valueType != typeInvalid {
					key := text(l.valueType, l.value)
					if old, ok := seen[key]; ok {
						c.problem(v.at(), "the case %s stands in line %d already", key, old.Line)
					}
					seen[key] = v.at()
				}
			}
			ends = c.block(k.body) && ends
		}
		if s.otherwise != nil {
			ends = c.block(s.otherwise) && ends
		}
		c.nextSlot = from
		return ends
	case *returnStmt:
		switch {
		case s.value == nil && c.current.resultType != typeVoid:
			c.problem(s.pos, "a %v is to be returned", c.current.resultType)
		case s.value != nil && c.current.resultType == typeVoid:
			c.value(s.value)
			c.problem(s.value.at(), "nothing is to be returned here")
		case s.value != nil:
			c.expect(s.value, c.current.resultType, "the result")
		}
		return true
	case *branchStmt:
		if c.loopDepth == 0 {
			c.problem(s.pos, "%s outside a loop", s.keyword)
		}
		return true
	case *exprStmt:
		t := c.expr(s.value)
		if _, run := s.value.(*runExpr); t != typeVoid && t != typeInvalid && !run {
			c.problem(s.pos, "the %v is not used", t)
		}
		if k, ok := s.value.(*callExpr); ok && k.builtin != nil && k.name == "fail" {
			return true
		}
	}
	return false
}

func (c *checker) lookup(name string) (*Type, ref, bool) {
	for i := len(c.scopes) - 1; i >= 0; i-- {
		if v := c.scopes[i][name]; v != nil {
			v.used = true
			return v.valueType, v.ref, true
		}
	}
	if d := c.states[name]; d != nil && !c.inStateInit {
		return d.valueType, ref{true, d.index}, true
	}
	return typeInvalid, ref{}, false
}

func (c *checker) target(pos Pos, name string) (*Type, ref) {
	used := map[string]bool{}
	for _, s := range c.scopes {
		if v := s[name]; v != nil {
			used[name] = v.used
		}
	}
	t, r, ok := c.lookup(name)
	if !ok {
		c.problem(pos, "there is no variable %q", name)
	}
	for _, s := range c.scopes { // to be set is not to be used
		if v := s[name]; v != nil {
			v.used = used[name]
		}
	}
	if r.inState && c.current.writesStateAt == (Pos{}) {
		c.current.writesStateAt = pos
	}
	if r.inState && c.inTest {
		c.problem(pos, "a test changes no state: handlers that it runs do")
	}
	return t, r
}

func (c *checker) set(s *setStmt) {
	t, r := c.target(s.pos, s.name)
	s.target, s.targetType = r, t
	if s.index != nil {
		i := c.value(s.index)
		switch {
		case t == typeInvalid:
		case t.name == "list":
			if !sameType(i, typeInt) {
				c.problem(s.index.at(), "an index of a list is an int, not a %v", i)
			}
			t = t.elem
		case t.name == "map":
			if !sameType(i, t.key) {
				c.problem(s.index.at(), "a key of %s is a %v, not a %v", s.name, t.key, i)
			}
			t = t.elem
		default:
			c.problem(s.pos, "%s is a %v: only lists and maps have entries", s.name, t)
			t = typeInvalid
		}
	}
	v := c.value(s.value)
	if s.op != "" && !hasCompoundAssignment(t, s.op) {
		c.problem(s.pos, "a %v has no %s=", t, s.op)
		return
	}
	if !sameType(t, v) {
		c.problem(s.value.at(), "%s wants a %v, not a %v", s.name, t, v)
	}
}

// hasCompoundAssignment reports whether values of t take op with "=": lists and strings only "+=", numbers and durations
// any arithmetic operator.
func hasCompoundAssignment(t *Type, op string) bool {
	if t.isCollection() && t.name == "list" {
		return op == "+"
	}
	return t.ordered() && (op == "+" || t != typeString)
}

func (c *checker) loop(s *forStmt) {
	t := c.value(s.from)
	var key, elem *Type
	switch {
	case s.to != nil:
		elem = typeInt
		if !sameType(t, typeInt) {
			c.problem(s.from.at(), "a range runs over ints, not %v", t)
		}
		c.expect(s.to, typeInt, "the end of a range")
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
		c.problem(s.from.at(), "for runs over lists, maps and ranges, not over a %v", t)
		elem = typeInvalid
	}
	if s.key != "" && key == nil {
		if elem != typeInvalid {
			c.problem(s.pos, "only maps have keys to run over")
		}
		key = typeInvalid
	}
	from := c.nextSlot
	c.push()
	v := c.declare(s.pos, s.name, elem)
	s.slot, v.used = v.ref.index, true // to count is use enough
	c.nextSlot += 2                    // what is run over, and where it stands
	c.current.slots = max(c.current.slots, c.nextSlot)
	if s.key != "" {
		v := c.declare(s.pos, s.key, key)
		s.keySlot, v.used = v.ref.index, true
	}
	c.loopDepth++
	c.block(s.body)
	c.loopDepth--
	c.scopeEnd = s.body.end
	c.pop()
	c.nextSlot = from
}
