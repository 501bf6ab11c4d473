package hooklang

func (c *checker) block(b *block) (ends bool) {
	c.push()
	from := c.next
	for i, s := range b.stmts {
		if c.stmt(s) {
			if ends = true; i+1 < len(b.stmts) {
				c.problem(b.stmts[i+1].at(), "this is never reached")
				break
			}
		}
	}
	c.next = from
	c.end = b.end
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
		if s.typ != nil {
			if w := c.typ(s.typ); !same(w, t) {
				c.problem(s.value.at(), "%s is a %v, not a %v", s.name, w, t)
				t = w
			}
		}
		s.slot = c.declare(s.pos, s.name, t).ref.n
	case *setStmt:
		c.set(s)
	case *ifStmt:
		c.want(s.cond, tyBool, "a condition")
		a := c.block(s.then)
		return s.els != nil && c.stmt(s.els) && a
	case *forStmt:
		c.loop(s)
	case *matchStmt:
		t := c.value(s.value)
		if !t.ordered() && t != tyBool {
			c.problem(s.value.at(), "match looks at bool, int, float, duration and string, not at %v", t)
		}
		from := c.next
		s.slot = c.next
		c.next++
		c.fn.slots = max(c.fn.slots, c.next)
		ends, seen := s.els != nil, map[string]Pos{}
		for _, k := range s.cases {
			for _, v := range k.values {
				if w := c.value(v); !same(w, t) {
					c.problem(v.at(), "a case is a %v, not a %v", t, w)
				}
				if l, ok := v.(*litExpr); ok && l.t != tyBad {
					key := text(l.t, l.v)
					if old, ok := seen[key]; ok {
						c.problem(v.at(), "the case %s stands in line %d already", key, old.Line)
					}
					seen[key] = v.at()
				}
			}
			ends = c.block(k.body) && ends
		}
		if s.els != nil {
			ends = c.block(s.els) && ends
		}
		c.next = from
		return ends
	case *returnStmt:
		switch {
		case s.value == nil && c.fn.ret != tyVoid:
			c.problem(s.pos, "a %v is to be returned", c.fn.ret)
		case s.value != nil && c.fn.ret == tyVoid:
			c.value(s.value)
			c.problem(s.value.at(), "nothing is to be returned here")
		case s.value != nil:
			c.want(s.value, c.fn.ret, "the result")
		}
		return true
	case *leaveStmt:
		if c.loops == 0 {
			c.problem(s.pos, "%s outside a loop", s.word)
		}
		return true
	case *exprStmt:
		t := c.expr(s.value)
		if _, run := s.value.(*runExpr); t != tyVoid && t != tyBad && !run {
			c.problem(s.pos, "the %v is not used", t)
		}
		if k, ok := s.value.(*callExpr); ok && k.b != nil && k.name == "fail" {
			return true
		}
	}
	return false
}

func (c *checker) lookup(name string) (*Type, ref, bool) {
	for i := len(c.scopes) - 1; i >= 0; i-- {
		if v := c.scopes[i][name]; v != nil {
			v.used = true
			return v.t, v.ref, true
		}
	}
	if d := c.states[name]; d != nil && !c.consts {
		return d.t, ref{true, d.n}, true
	}
	return tyBad, ref{}, false
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
	if r.state && c.fn.writes == (Pos{}) {
		c.fn.writes = pos
	}
	if r.state && c.test {
		c.problem(pos, "a test changes no state: handlers that it runs do")
	}
	return t, r
}

func (c *checker) set(s *setStmt) {
	t, r := c.target(s.pos, s.name)
	s.ref, s.t = r, t
	if s.index != nil {
		i := c.value(s.index)
		switch {
		case t == tyBad:
		case t.name == "list":
			if !same(i, tyInt) {
				c.problem(s.index.at(), "an index of a list is an int, not a %v", i)
			}
			t = t.elem
		case t.name == "map":
			if !same(i, t.key) {
				c.problem(s.index.at(), "a key of %s is a %v, not a %v", s.name, t.key, i)
			}
			t = t.elem
		default:
			c.problem(s.pos, "%s is a %v: only lists and maps have entries", s.name, t)
			t = tyBad
		}
	}
	v := c.value(s.value)
	if s.op != "" && !hasCompoundAssignment(t, s.op) {
		c.problem(s.pos, "a %v has no %s=", t, s.op)
		return
	}
	if !same(t, v) {
		c.problem(s.value.at(), "%s wants a %v, not a %v", s.name, t, v)
	}
}

// hasCompoundAssignment reports whether values of t take op with "=": lists and strings only "+=", numbers and durations
// any arithmetic operator.
func hasCompoundAssignment(t *Type, op string) bool {
	if t.box() && t.name == "list" {
		return op == "+"
	}
	return t.ordered() && (op == "+" || t != tyStr)
}

func (c *checker) loop(s *forStmt) {
	t := c.value(s.from)
	var key, elem *Type
	switch {
	case s.to != nil:
		elem = tyInt
		if !same(t, tyInt) {
			c.problem(s.from.at(), "a range runs over ints, not %v", t)
		}
		c.want(s.to, tyInt, "the end of a range")
	case t == tyBad:
		key, elem = tyBad, tyBad
	case t.name == "list":
		elem = t.elem
	case t.name == "map":
		key, elem = t.key, t.elem
		if s.key == "" {
			elem = t.key
		}
	default:
		c.problem(s.from.at(), "for runs over lists, maps and ranges, not over a %v", t)
		elem = tyBad
	}
	if s.key != "" && key == nil {
		if elem != tyBad {
			c.problem(s.pos, "only maps have keys to run over")
		}
		key = tyBad
	}
	from := c.next
	c.push()
	v := c.declare(s.pos, s.name, elem)
	s.slot, v.used = v.ref.n, true // to count is use enough
	c.next += 2                    // what is run over, and where it stands
	c.fn.slots = max(c.fn.slots, c.next)
	if s.key != "" {
		v := c.declare(s.pos, s.key, key)
		s.keySlot, v.used = v.ref.n, true
	}
	c.loops++
	c.block(s.body)
	c.loops--
	c.end = s.body.end
	c.pop()
	c.next = from
}
