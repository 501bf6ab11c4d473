package hooklang

import "sort"

// lookup finds a local or state variable by name, and marks a local variable as used.
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

// assignmentTarget finds a variable that is to be changed. An assignment does not count as a use of
// the variable.
func (c *checker) assignmentTarget(pos Pos, name string) (*Type, ref) {
	used := map[string]bool{}
	for _, s := range c.scopes {
		if v := s[name]; v != nil {
			used[name] = v.used
		}
	}
	t, r, ok := c.lookup(name)
	if !ok {
		c.reportError(pos, "there is no variable %q", name)
	}
	for _, s := range c.scopes { // lookup has marked the variable as used: restore the marks
		if v := s[name]; v != nil {
			v.used = used[name]
		}
	}
	if r.inState && c.current.writesStateAt == (Pos{}) {
		c.current.writesStateAt = pos
	}
	if r.inState && c.inTest {
		c.reportError(pos, "a test cannot change state itself: run a handler that does")
	}
	return t, r
}

// declare adds a variable to the innermost scope and gives it a slot. A variable must not shadow
// one of an outer scope.
func (c *checker) declare(pos Pos, name string, t *Type) *variable {
	v := &variable{name: name, pos: pos, valueType: t, ref: ref{index: c.nextSlot}, used: name == "_"}
	c.nextSlot++
	c.current.slots = max(c.current.slots, c.nextSlot)
	if c.nextSlot == maxSlots {
		c.reportError(pos, "more than %d variables in one function", maxSlots)
	}
	if name == "_" {
		return v
	}
	if !c.checkNameAvailable(pos, name) {
		return v
	}
	for _, s := range c.scopes {
		if old := s[name]; old != nil {
			c.reportError(pos, "%s is the variable of line %d: choose another name", name, old.pos.Line)
			return v
		}
	}
	c.scopes[len(c.scopes)-1][name] = v
	return v
}

func (c *checker) pushScope() { c.scopes = append(c.scopes, map[string]*variable{}) }

// popScope closes the innermost scope: it records its variables for the tracer, and warns of those
// that are not used.
func (c *checker) popScope() {
	top := c.scopes[len(c.scopes)-1]
	var l []*variable
	for _, v := range top {
		l = append(l, v)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].ref.index < l[j].ref.index })
	for _, v := range l {
		c.current.vars = append(c.current.vars, varInfo{v.name, v.valueType, v.ref.index, v.pos, c.scopeEnd})
		if !v.used {
			c.reportWarning(v.pos, "%s is never used", v.name)
		}
	}
	c.scopes = c.scopes[:len(c.scopes)-1]
}
