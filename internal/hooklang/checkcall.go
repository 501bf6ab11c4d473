package hooklang

import "fmt"

// call checks a call of a function or builtin and returns the type of its result.
func (c *checker) call(e *callExpr) *Type {
	if c.inStateInit {
		c.reportError(e.pos, "the initial value of a state variable consists of literals")
		return typeInvalid
	}
	if d := c.funcs[e.name]; d != nil {
		return c.callFunction(e, d)
	}
	b := builtins[e.name]
	if b == nil {
		for _, arg := range e.args {
			c.value(arg)
		}
		c.reportError(e.pos, "there is no function %q", e.name)
		return typeInvalid
	}
	e.builtin = &builtin{name: e.name}
	if b.signatures[0].takesFunction {
		return c.callSortBy(e, b.signatures[0])
	}
	return c.callBuiltin(e, b)
}

// callFunction checks a call of a function that the script declares.
func (c *checker) callFunction(e *callExpr, d *funcDecl) *Type {
	e.function = d
	c.current.calls = append(c.current.calls, d)
	if len(e.args) != len(d.paramTypes) {
		c.reportError(e.pos, "%s takes %d arguments, not %d", e.name, len(d.paramTypes), len(e.args))
	}
	for i, arg := range e.args {
		if i < len(d.paramTypes) {
			c.expectType(arg, d.paramTypes[i], d.params[i].name)
		} else {
			c.value(arg)
		}
	}
	return d.resultType
}

// callBuiltin checks a call of a builtin, and records in it the first signature that matches.
func (c *checker) callBuiltin(e *callExpr, b *builtin) *Type {
	var args []*Type
	for i, arg := range e.args {
		variable, ok := arg.(*nameExpr)
		if ok && i == 0 && (e.name == "push" || e.name == "remove") {
			variable.valueType, variable.ref = c.assignmentTarget(variable.pos, variable.name)
			args = append(args, variable.valueType)
			continue
		}
		args = append(args, c.value(arg))
	}
	for _, s := range b.signatures {
		if vars, ok := s.match(args); ok {
			c.useSignature(e, s)
			return substitute(s.result, vars)
		}
	}
	expected := ""
	for i, s := range b.signatures {
		if i > 0 {
			expected += " or "
		}
		expected += fmt.Sprint(s.params)
	}
	c.reportError(e.pos, "%s takes %s, not %v", e.name, expected, args)
	return typeInvalid
}

// match reports whether arguments of these types match the signature, and which types its type
// variables are bound to.
func (s *signature) match(args []*Type) (vars map[*Type]*Type, ok bool) {
	if len(args) != len(s.params) {
		return nil, false
	}
	vars = map[*Type]*Type{}
	for i, p := range s.params {
		if !unify(p, args[i], vars) {
			return nil, false
		}
	}
	return vars, true
}

// useSignature records the signature that a call uses, and checks what the signature requires of
// the call.
func (c *checker) useSignature(e *callExpr, s *signature) {
	if s.testOnly && !c.inTest {
		c.reportError(e.pos, "%s is allowed in tests only", e.name)
	}
	if s.effect {
		if _, ok := c.current.effectsAt[e.name]; !ok {
			c.current.effectsAt[e.name] = e.pos
		}
	}
	if s.op != opNone {
		if _, ok := e.args[0].(*nameExpr); !ok {
			c.reportError(e.args[0].at(), "%s changes its first argument, which must be a variable", e.name)
		}
	}
	e.builtin.signatures = []*signature{s}
}

// callSortBy checks sort_by(list, less), where less is the name of a function of two entries.
func (c *checker) callSortBy(e *callExpr, s *signature) *Type {
	e.builtin.signatures = []*signature{s}
	if len(e.args) != 2 {
		c.reportError(e.pos, "sort_by takes a list and the name of a function")
		return typeInvalid
	}
	t := c.value(e.args[0])
	n, ok := e.args[1].(*nameExpr)
	if t != typeInvalid && t.name != "list" {
		c.reportError(e.args[0].at(), "sort_by takes a list, not a %v", t)
		return typeInvalid
	}
	if !ok || c.funcs[n.name] == nil {
		c.reportError(e.args[1].at(), "sort_by takes the name of a function that reports whether one entry comes before another")
		return t
	}
	d := c.funcs[n.name]
	comparesEntries := func() bool {
		return len(d.paramTypes) == 2 && sameType(d.paramTypes[0], t.elem) && sameType(d.paramTypes[1], t.elem) &&
			d.resultType == typeBool
	}
	if t != typeInvalid && !comparesEntries() {
		c.reportError(n.pos, "%s must be fn %s(a %v, b %v) bool", n.name, n.name, t.elem, t.elem)
	}
	e.function = d
	c.current.calls = append(c.current.calls, d)
	return t
}
