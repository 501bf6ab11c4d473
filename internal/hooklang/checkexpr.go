package hooklang

import (
	"fmt"
	"slices"
)

func (c *checker) want(e expr, t *Type, what string) {
	if v := c.value(e); !same(v, t) {
		c.problem(e.at(), "%s is a %v, not a %v", what, t, v)
	}
}

// value checks an expression that must have a value.
func (c *checker) value(e expr) *Type {
	t := c.expr(e)
	if t == tyVoid {
		c.problem(e.at(), "this has no value")
		return tyBad
	}
	return t
}

func (c *checker) expr(e expr) *Type {
	switch e := e.(type) {
	case *litExpr:
		return e.t
	case *nameExpr:
		t, r, ok := c.lookup(e.name)
		if !ok {
			if c.funcs[e.name] != nil {
				c.problem(e.pos, "%s is a function: call it", e.name)
			} else if c.consts {
				c.problem(e.pos, "a state's first value is made of literals")
			} else {
				c.problem(e.pos, "there is no variable %q", e.name)
			}
		}
		e.t, e.ref = t, r
	case *unaryExpr:
		e.t = c.value(e.x)
		if e.op == "not" && !same(e.t, tyBool) || e.op == "-" && (!e.t.ordered() || e.t == tyStr) {
			c.problem(e.pos, "a %v has no %q", e.t, e.op)
			e.t = tyBad
		}
	case *binExpr:
		e.t = c.binary(e)
	case *listExpr:
		elem := tyBad
		if e.node != nil {
			t := c.typ(e.node)
			if t.name != "list" {
				c.problem(e.pos, "list[T]{…} is wanted")
				t = listOf(tyBad)
			}
			elem = t.elem
		} else if len(e.items) == 0 {
			c.problem(e.pos, "an empty list names its type: list[int]{}")
		}
		for i, x := range e.items {
			t := c.value(x)
			if i == 0 && e.node == nil {
				elem = t
			}
			if !same(t, elem) {
				c.problem(x.at(), "an entry is a %v, not a %v", elem, t)
			}
		}
		e.t = listOf(elem)
	case *mapExpr:
		e.t = c.typ(e.node)
		for i := range e.keys {
			c.want(e.keys[i], e.t.key, "a key")
			c.want(e.values[i], e.t.elem, "an entry")
		}
	case *recExpr:
		r := records[e.name]
		e.t = r.t
		for i, name := range e.fields {
			n := slices.IndexFunc(r.Fields, func(f Field) bool { return f.Name == name })
			if n < 0 {
				c.problem(e.places[i], "%s has no field %q", e.name, name)
				c.value(e.values[i])
				continue
			}
			if slices.Contains(e.fields[:i], name) {
				c.problem(e.places[i], "%s stands twice", name)
			}
			c.want(e.values[i], r.Fields[n].Type, name)
		}
	case *indexExpr:
		t, i := c.value(e.x), c.value(e.i)
		switch {
		case t == tyBad:
			e.t = tyBad
		case t.name == "list" && same(i, tyInt):
			e.t = t.elem
		case t.name == "map" && same(i, t.key):
			e.t = t.elem
		default:
			c.problem(e.pos, "a %v has no entry at a %v", t, i)
			e.t = tyBad
		}
	case *fieldExpr:
		t := c.value(e.x)
		e.t = tyBad
		if t == tyBad {
			break
		}
		if t.rec == nil {
			c.problem(e.pos, "a %v has no fields", t)
			break
		}
		for i, f := range t.rec.Fields {
			if f.Name == e.name {
				e.t, e.n = f.Type, i
			}
		}
		if e.t == tyBad {
			c.problem(e.pos, "%v has no field %q", t, e.name)
		}
	case *callExpr:
		e.t = c.call(e)
	case *runExpr:
		e.t = listOf(recAdvice.t)
		if !c.test {
			c.problem(e.pos, "run is for tests")
		}
		d := c.points[e.point]
		t := c.value(e.arg)
		if d == nil {
			c.problem(e.pos, "there is no handler of %q", e.point)
			break
		}
		e.fn = d
		if !same(t, d.types[0]) {
			c.problem(e.arg.at(), "%s gets a %v, not a %v", e.point, d.types[0], t)
		}
	}
	return e.typ()
}

func (c *checker) binary(e *binExpr) *Type {
	x, y := c.value(e.x), c.value(e.y)
	if x == tyBad || y == tyBad {
		switch e.op {
		case "and", "or", "==", "!=", "<", "<=", ">", ">=", "in":
			return tyBool
		}
		return tyBad
	}
	alike := same(x, y)
	switch e.op {
	case "and", "or":
		if x == tyBool && y == tyBool {
			return tyBool
		}
	case "==", "!=":
		if alike {
			return tyBool
		}
	case "<", "<=", ">", ">=":
		if alike && x.ordered() {
			return tyBool
		}
	case "in":
		if y == tyStr && x == tyStr || y.name == "list" && same(x, y.elem) || y.name == "map" && same(x, y.key) {
			return tyBool
		}
	case "+":
		if alike && (x.ordered() || x.name == "list") {
			return x
		}
	case "-":
		if alike && x.ordered() && x != tyStr {
			return x
		}
	case "*":
		switch {
		case alike && (x == tyInt || x == tyFloat):
			return x
		case x == tyDur && y == tyInt, x == tyInt && y == tyDur:
			return tyDur
		}
	case "/":
		switch {
		case alike && (x == tyInt || x == tyFloat):
			return x
		case x == tyDur && y == tyInt:
			return tyDur
		case x == tyDur && y == tyDur:
			return tyFloat
		}
	case "%":
		if alike && (x == tyInt || x == tyDur) {
			return x
		}
	}
	c.problem(e.pos, "%v %s %v has no meaning", x, e.op, y)
	switch e.op {
	case "and", "or", "==", "!=", "<", "<=", ">", ">=", "in":
		return tyBool
	}
	return tyBad
}

func (c *checker) call(e *callExpr) *Type {
	if c.consts {
		c.problem(e.pos, "a state's first value is made of literals")
		return tyBad
	}
	if d := c.funcs[e.name]; d != nil {
		e.fn = d
		c.fn.calls = append(c.fn.calls, d)
		if len(e.args) != len(d.types) {
			c.problem(e.pos, "%s takes %d arguments, not %d", e.name, len(d.types), len(e.args))
		}
		for i, a := range e.args {
			if i < len(d.types) {
				c.want(a, d.types[i], d.params[i].name)
			} else {
				c.value(a)
			}
		}
		return d.ret
	}
	b := builtins[e.name]
	if b == nil {
		for _, a := range e.args {
			c.value(a)
		}
		c.problem(e.pos, "there is no function %q", e.name)
		return tyBad
	}
	e.b = &builtin{name: e.name}
	if b.sigs[0].by {
		return c.sortBy(e, b.sigs[0])
	}
	var args []*Type
	for i, a := range e.args {
		if n, ok := a.(*nameExpr); ok && i == 0 && (e.name == "push" || e.name == "remove") {
			t, r := c.target(n.pos, n.name)
			n.t, n.ref = t, r
			args = append(args, t)
			continue
		}
		args = append(args, c.value(a))
	}
	for _, s := range b.sigs {
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
		if s.test && !c.test {
			c.problem(e.pos, "%s is for tests", e.name)
		}
		if s.effect {
			if _, ok := c.fn.uses[e.name]; !ok {
				c.fn.uses[e.name] = e.pos
			}
		}
		if s.op != 0 {
			if _, ok := e.args[0].(*nameExpr); !ok {
				c.problem(e.args[0].at(), "%s changes a variable", e.name)
			}
		}
		e.b.sigs = []*signature{s}
		return substitute(s.result, vars)
	}
	want := ""
	for i, s := range b.sigs {
		if i > 0 {
			want += " or "
		}
		want += fmt.Sprint(s.params)
	}
	c.problem(e.pos, "%s takes %s, not %v", e.name, want, args)
	return tyBad
}

// sortBy checks sort_by(list, less), where less is the name of a function of two entries.
func (c *checker) sortBy(e *callExpr, s *signature) *Type {
	e.b.sigs = []*signature{s}
	if len(e.args) != 2 {
		c.problem(e.pos, "sort_by takes a list and the name of a function")
		return tyBad
	}
	t := c.value(e.args[0])
	n, ok := e.args[1].(*nameExpr)
	if t != tyBad && t.name != "list" {
		c.problem(e.args[0].at(), "sort_by takes a list, not a %v", t)
		return tyBad
	}
	if !ok || c.funcs[n.name] == nil {
		c.problem(e.args[1].at(), "sort_by takes the name of a function that tells whether one comes before another")
		return t
	}
	d := c.funcs[n.name]
	if t != tyBad && (len(d.types) != 2 || !same(d.types[0], t.elem) || !same(d.types[1], t.elem) || d.ret != tyBool) {
		c.problem(n.pos, "%s must be fn %s(a %v, b %v) bool", n.name, n.name, t.elem, t.elem)
	}
	e.fn = d
	c.fn.calls = append(c.fn.calls, d)
	return t
}
