package hooklang

import (
	"slices"
)

// expectType checks an expression and reports an error if it is not of type t. what names the
// expression in the message.
func (c *checker) expectType(e expr, t *Type, what string) {
	if v := c.value(e); !sameType(v, t) {
		c.reportError(e.at(), "%s is a %v, not a %v", what, t, v)
	}
}

// value checks an expression that must have a value.
func (c *checker) value(e expr) *Type {
	t := c.expr(e)
	if t == typeVoid {
		c.reportError(e.at(), "the expression has no value")
		return typeInvalid
	}
	return t
}

// expr checks an expression and records its type in it, which is typeVoid for an expression without
// a value.
func (c *checker) expr(e expr) *Type {
	switch e := e.(type) {
	case *literalExpr:
		return e.valueType
	case *nameExpr:
		e.valueType, e.ref = c.name(e)
	case *unaryExpr:
		e.valueType = c.unary(e)
	case *binaryExpr:
		e.valueType = c.binary(e)
	case *listExpr:
		e.valueType = c.list(e)
	case *mapExpr:
		e.valueType = c.resolveType(e.literalType)
		for i := range e.keys {
			c.expectType(e.keys[i], e.valueType.key, "a key")
			c.expectType(e.values[i], e.valueType.elem, "an entry")
		}
	case *recordExpr:
		e.valueType = c.record(e)
	case *indexExpr:
		e.valueType = c.index(e)
	case *fieldExpr:
		e.valueType = c.field(e)
	case *callExpr:
		e.valueType = c.call(e)
	case *runExpr:
		e.valueType = c.run(e)
	}
	return e.typ()
}

// name resolves a variable.
func (c *checker) name(e *nameExpr) (*Type, ref) {
	t, variable, ok := c.lookup(e.name)
	switch {
	case ok:
	case c.funcs[e.name] != nil:
		c.reportError(e.pos, "%s is a function: call it", e.name)
	case c.inStateInit:
		c.reportError(e.pos, "the initial value of a state variable consists of literals")
	default:
		c.reportError(e.pos, "there is no variable %q", e.name)
	}
	return t, variable
}

func (c *checker) unary(e *unaryExpr) *Type {
	t := c.value(e.operand)
	valid := t.ordered() && t != typeString
	if e.op == "not" {
		valid = sameType(t, typeBool)
	}
	if !valid {
		c.reportError(e.pos, "a %v has no %q", t, e.op)
		return typeInvalid
	}
	return t
}

func (c *checker) list(e *listExpr) *Type {
	elem := typeInvalid
	if e.literalType != nil {
		t := c.resolveType(e.literalType)
		if t.name != "list" {
			c.reportError(e.pos, "list[T]{…} is wanted")
			t = listOf(typeInvalid)
		}
		elem = t.elem
	} else if len(e.items) == 0 {
		c.reportError(e.pos, "an empty list needs its type, as in list[int]{}")
	}
	for i, item := range e.items {
		t := c.value(item)
		if i == 0 && e.literalType == nil {
			elem = t
		}
		if !sameType(t, elem) {
			c.reportError(item.at(), "an entry is a %v, not a %v", elem, t)
		}
	}
	return listOf(elem)
}

func (c *checker) record(e *recordExpr) *Type {
	r := records[e.name]
	for i, name := range e.fields {
		n := slices.IndexFunc(r.Fields, func(f Field) bool { return f.Name == name })
		if n < 0 {
			c.reportError(e.positions[i], "%s has no field %q", e.name, name)
			c.value(e.values[i])
			continue
		}
		if slices.Contains(e.fields[:i], name) {
			c.reportError(e.positions[i], "field %q is set twice", name)
		}
		c.expectType(e.values[i], r.Fields[n].Type, name)
	}
	return r.valueType
}

func (c *checker) index(e *indexExpr) *Type {
	t := c.value(e.collection)
	index := c.value(e.index)
	switch {
	case t == typeInvalid:
		return typeInvalid
	case t.name == "list" && sameType(index, typeInt):
		return t.elem
	case t.name == "map" && sameType(index, t.key):
		return t.elem
	}
	c.reportError(e.pos, "a %v has no entry at a %v", t, index)
	return typeInvalid
}

func (c *checker) field(e *fieldExpr) *Type {
	t := c.value(e.record)
	if t == typeInvalid {
		return typeInvalid
	}
	if t.record == nil {
		c.reportError(e.pos, "a %v has no fields", t)
		return typeInvalid
	}
	for i, f := range t.record.Fields {
		if f.Name == e.name {
			e.index = i
			return f.Type
		}
	}
	c.reportError(e.pos, "%v has no field %q", t, e.name)
	return typeInvalid
}

// run checks the run of a handler in a test, whose result is the list of advice that the handler
// gives.
func (c *checker) run(e *runExpr) *Type {
	if !c.inTest {
		c.reportError(e.pos, "run is allowed in tests only")
	}
	t := c.value(e.arg)
	handler := c.points[e.point]
	if handler == nil {
		c.reportError(e.pos, "there is no handler of %q", e.point)
	} else {
		e.handler = handler
		if want := handler.paramTypes[0]; !sameType(t, want) {
			c.reportError(e.arg.at(), "%s gets a %v, not a %v", e.point, want, t)
		}
	}
	return listOf(recordAdvice.valueType)
}

// binary checks a binary operation. If an operand is invalid, that is reported already, and binary
// adds no error.
func (c *checker) binary(e *binaryExpr) *Type {
	left, right := c.value(e.left), c.value(e.right)
	invalid := typeInvalid
	switch e.op {
	case "and", "or", "==", "!=", "<", "<=", ">", ">=", "in":
		invalid = typeBool
	}
	if left == typeInvalid || right == typeInvalid {
		return invalid
	}
	result := operatorType(e.op, left, right)
	if result == nil {
		c.reportError(e.pos, "%v %s %v has no meaning", left, e.op, right)
		return invalid
	}
	return result
}

// operatorType returns the result type of an operator on operands of these types, or nil if it is
// not defined on them.
func operatorType(op string, left, right *Type) *Type {
	same := sameType(left, right)
	number := same && (left == typeInt || left == typeFloat)
	switch op {
	case "and", "or":
		return typeIf(left == typeBool && right == typeBool, typeBool)
	case "==", "!=":
		return typeIf(same, typeBool)
	case "<", "<=", ">", ">=":
		return typeIf(same && left.ordered(), typeBool)
	case "in":
		return typeIf(canContain(right, left), typeBool)
	case "+":
		return typeIf(same && (left.ordered() || left.name == "list"), left)
	case "-":
		return typeIf(same && left.ordered() && left != typeString, left)
	case "*":
		if left == typeDuration && right == typeInt || left == typeInt && right == typeDuration {
			return typeDuration
		}
		return typeIf(number, left)
	case "/":
		if left == typeDuration && right == typeDuration {
			return typeFloat
		}
		if left == typeDuration && right == typeInt {
			return typeDuration
		}
		return typeIf(number, left)
	case "%":
		return typeIf(same && (left == typeInt || left == typeDuration), left)
	}
	return nil
}

// typeIf returns t if an operation is valid, and nil otherwise.
func typeIf(valid bool, t *Type) *Type {
	if valid {
		return t
	}
	return nil
}

// canContain reports whether "in" can test a container for a value of type t: a substring, an entry
// of a list, or a key of a map.
func canContain(container, t *Type) bool {
	return container == typeString && t == typeString ||
		container.name == "list" && sameType(t, container.elem) ||
		container.name == "map" && sameType(t, container.key)
}
