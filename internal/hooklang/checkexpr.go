package hooklang

import (
	"fmt"
	"slices"
)

func (c *checker) expect(e expr, t *Type, what string) {
	if v := c.value(e); !sameType(v, t) {
		c.problem(e.at(), "%s is a %v, not a %v", what, t, v)
	}
}

// value checks an expression that must have a value.
func (c *checker) value(e expr) *Type {
	t := c.expr(e)
	if t == typeVoid {
		c.problem(e.at(), "this has no value")
		return typeInvalid
	}
	return t
}

func (c *checker) expr(e expr) *Type {
	switch e := e.(type) {
	case *literalExpr:
		return e.valueType
	case *nameExpr:
		t, r, ok := c.lookup(e.name)
		if !ok {
			if c.funcs[e.name] != nil {
				c.problem(e.pos, "%s is a function: call it", e.name)
			} else if c.inStateInit {
				c.problem(e.pos, "a state's first value is made of literals")
			} else {
				c.problem(e.pos, "there is no variable %q", e.name)
			}
		}
		e.valueType, e.ref = t, r
	case *unaryExpr:
		e.valueType = c.value(e.operand)
		if e.op == "not" && !sameType(e.valueType, typeBool) || e.op == "-" && (!e.valueType.ordered() || e.valueType == typeString) {
			c.problem(e.pos, "a %v has no %q", e.valueType, e.op)
			e.valueType = typeInvalid
		}
	case *binaryExpr:
		e.valueType = c.binary(e)
	case *listExpr:
		elem := typeInvalid
		if e.literalType != nil {
			t := c.typ(e.literalType)
			if t.name != "list" {
				c.problem(e.pos, "list[T]{…} is wanted")
				t = listOf(typeInvalid)
			}
			elem = t.elem
		} else if len(e.items) == 0 {
			c.problem(e.pos, "an empty list names its type: list[int]{}")
		}
		for i, x := range e.items {
			t := c.value(x)
			if i == 0 && e.literalType == nil {
				elem = t
			}
			if !sameType(t, elem) {
				c.problem(x.at(), "an entry is a %v, not a %v", elem, t)
			}
		}
		e.valueType = listOf(elem)
	case *mapExpr:
		e.valueType = c.typ(e.literalType)
		for i := range e.keys {
			c.expect(e.keys[i], e.valueType.key, "a key")
			c.expect(e.values[i], e.valueType.elem, "an entry")
		}
	case *recordExpr:
		r := records[e.name]
		e.valueType = r.valueType
		for i, name := range e.fields {
			n := slices.IndexFunc(r.Fields, func(f Field) bool { return f.Name == name })
			if n < 0 {
				c.problem(e.positions[i], "%s has no field %q", e.name, name)
				c.value(e.values[i])
				continue
			}
			if slices.Contains(e.fields[:i], name) {
				c.problem(e.positions[i], "%s stands twice", name)
			}
			c.expect(e.values[i], r.Fields[n].Type, name)
		}
	case *indexExpr:
		t, i := c.value(e.collection), c.value(e.index)
		switch {
		case t == typeInvalid:
			e.valueType = typeInvalid
		case t.name == "list" && sameType(i, typeInt):
			e.valueType = t.elem
		case t.name == "map" && sameType(i, t.key):
			e.valueType = t.elem
		default:
			c.problem(e.pos, "a %v has no entry at a %v", t, i)
			e.valueType = typeInvalid
		}
	case *fieldExpr:
		t := c.value(e.record)
		e.valueType = typeInvalid
		if t == typeInvalid {
			break
		}
		if t.record == nil {
			c.problem(e.pos, "a %v has no fields", t)
			break
		}
		for i, f := range t.record.Fields {
			if f.Name == e.name {
				e.valueType, e.index = f.Type, i
			}
		}
		if e.valueType == typeInvalid {
			c.problem(e.pos, "%v has no field %q", t, e.name)
		}
	case *callExpr:
		e.valueType = c.call(e)
	case *runExpr:
		e.valueType = listOf(recordAdvice.valueType)
		if !c.inTest {
			c.problem(e.pos, "run is for tests")
		}
		d := c.points[e.point]
		t := c.value(e.arg)
		if d == nil {
			c.problem(e.pos, "there is no handler of %q", e.point)
			break
		}
		e.handler = d
		if !sameType(t, d.paramTypes[0]) {
			c.problem(e.arg.at(), "%s gets a %v, not a %v", e.point, d.paramTypes[0], t)
		}
	}
	return e.typ()
}

func (c *checker) binary(e *binaryExpr) *Type {
	x, y := c.value(e.left), c.value(e.right)
	if x == typeInvalid || y == typeInvalid {
		switch e.op {
		case "and", "or", "==", "!=", "<", "<=", ">", ">=", "in":
			return typeBool
		}
		return typeInvalid
	}
	alike := sameType(x, y)
	switch e.op {
	case "and", "or":
		if x == typeBool && y == typeBool {
			return typeBool
		}
	case "==", "!=":
		if alike {
			return typeBool
		}
	case "<", "<=", ">", ">=":
		if alike && x.ordered() {
			return typeBool
		}
	case "in":
		if y == typeString && x == typeString || y.name == "list" && sameType(x, y.elem) || y.name == "map" && sameType(x, y.key) {
			return typeBool
		}
	case "+":
		if alike && (x.ordered() || x.name == "list") {
			return x
		}
	case "-":
		if alike && x.ordered() && x != typeString {
			return x
		}
	case "*":
		switch {
		case alike && (x == typeInt || x == typeFloat):
			return x
		case x == typeDuration && y == typeInt, x == typeInt && y == typeDuration:
			return typeDuration
		}
	case "/":
		switch {
		case alike && (x == typeInt || x == typeFloat):
			return x
		case x == typeDuration && y == typeInt:
			return typeDuration
		case x == typeDuration && y == typeDuration:
			return typeFloat
		}
	case "%":
		if alike && (x == typeInt || x == typeDuration) {
			return x
		}
	}
	c.problem(e.pos, "%v %s %v has no meaning", x, e.op, y)
	switch e.op {
	case "and", "or", "==", "!=", "<", "<=", ">", ">=", "in":
		return typeBool
	}
	return typeInvalid
}

func (c *checker) call(e *callExpr) *Type {
	if c.inStateInit {
		c.problem(e.pos, "a state's first value is made of literals")
		return typeInvalid
	}
	if d := c.funcs[e.name]; d != nil {
		e.function = d
		c.current.calls = append(c.current.calls, d)
		if len(e.args) != len(d.paramTypes) {
			c.problem(e.pos, "%s takes %d arguments, not %d", e.name, len(d.paramTypes), len(e.args))
		}
		for i, a := range e.args {
			if i < len(d.paramTypes) {
				c.expect(a, d.paramTypes[i], d.params[i].name)
			} else {
				c.value(a)
			}
		}
		return d.resultType
	}
	b := builtins[e.name]
	if b == nil {
		for _, a := range e.args {
			c.value(a)
		}
		c.problem(e.pos, "there is no function %q", e.name)
		return typeInvalid
	}
	e.builtin = &builtin{name: e.name}
	if b.signatures[0].takesFunction {
		return c.sortBy(e, b.signatures[0])
	}
	var args []*Type
	for i, a := range e.args {
		if n, ok := a.(*nameExpr); ok && i == 0 && (e.name == "push" || e.name == "remove") {
			t, r := c.target(n.pos, n.name)
			n.valueType, n.ref = t, r
			args = append(args, t)
			continue
		}
		args = append(args, c.value(a))
	}
	for _, s := range b.signatures {
		vars := map[*Type]*Type{}
		if len(args) != len(s.params) {
			continue
		}
		fits := true
		for i, p := range s.params {
			fits = fits && unify(p, args[i], vars)
		}
		if !fits {
			continue
		}
		if s.testOnly && !c.inTest {
			c.problem(e.pos, "%s is for tests", e.name)
		}
		if s.effect {
			if _, ok := c.current.effectsAt[e.name]; !ok {
				c.current.effectsAt[e.name] = e.pos
			}
		}
		if s.op != 0 {
			if _, ok := e.args[0].(*nameExpr); !ok {
				c.problem(e.args[0].at(), "%s changes a variable", e.name)
			}
		}
		e.builtin.signatures = []*signature{s}
		return substitute(s.result, vars)
	}
	want := ""
	for i, s := range b.signatures {
		if i > 0 {
			want += " or "
		}
		want += fmt.Sprint(s.params)
	}
	c.problem(e.pos, "%s takes %s, not %v", e.name, want, args)
	return typeInvalid
}

// sortBy checks sort_by(list, less), where less is the name of a function of two entries.
func (c *checker) sortBy(e *callExpr, s *signature) *Type {
	e.builtin.signatures = []*signature{s}
	if len(e.args) != 2 {
		c.problem(e.pos, "sort_by takes a list and the name of a function")
		return typeInvalid
	}
	t := c.value(e.args[0])
	n, ok := e.args[1].(*nameExpr)
	if t != typeInvalid && t.name != "list" {
		c.problem(e.args[0].at(), "sort_by takes a list, not a %v", t)
		return typeInvalid
	}
	if !ok || c.funcs[n.name] == nil {
		c.problem(e.args[1].at(), "sort_by takes the name of a function that tells whether one comes before another")
		return t
	}
	d := c.funcs[n.name]
	if t != typeInvalid && (len(d.paramTypes) != 2 || !sameType(d.paramTypes[0], t.elem) || !sameType(d.paramTypes[1], t.elem) || d.resultType != typeBool) {
		c.problem(n.pos, "%s must be fn %s(a %v, b %v) bool", n.name, n.name, t.elem, t.elem)
	}
	e.function = d
	c.current.calls = append(c.current.calls, d)
	return t
}
