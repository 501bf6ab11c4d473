package hooklang

// precedence lists the binary operators by precedence level, lowest first.
var precedence = [][]string{{"or"}, {"and"}, {"==", "!=", "<", "<=", ">", ">=", "in"}, {"+", "-"}, {"*", "/", "%"}}

const (
	comparisonLevel      = 2     // index of the comparisons in precedence
	maxOperatorsPerLevel = 1_000 // of one precedence level in an expression
)

// expr parses an expression.
func (p *parser) expr() expr { return p.binary(0) }

// binary parses an expression whose binary operators are of the given precedence level or higher.
func (p *parser) binary(level int) expr {
	if level == len(precedence) {
		return p.unary()
	}
	if level == comparisonLevel && p.is("not") { // not has a lower precedence than comparisons
		p.enterNesting()
		defer func() { p.depth-- }()
		t := p.expect("not")
		return &unaryExpr{typed{node{t.pos}, nil}, "not", p.binary(comparisonLevel)}
	}
	x := p.binary(level + 1)
	for n := 0; ; n++ {
		t := p.peek()
		found := false
		for _, op := range precedence[level] {
			found = found || t.kind == tokenSymbol && t.text == op
		}
		if !found {
			return x
		}
		if n > 0 && level == comparisonLevel {
			p.fail("comparisons cannot be chained: join them with and")
		}
		if n > maxOperatorsPerLevel {
			p.fail("too many operators in one expression")
		}
		p.next++
		y := p.binary(level + 1)
		x = &binaryExpr{typed{node{t.pos}, nil}, t.text, x, y}
	}
}

// unary parses a negation, or a primary expression with the indexes and fields that follow it.
func (p *parser) unary() expr {
	if t := p.peek(); p.accept("-") {
		p.enterNesting()
		defer func() { p.depth-- }()
		return &unaryExpr{typed{node{t.pos}, nil}, "-", p.unary()}
	}
	x := p.primary()
	for {
		t := p.peek()
		at := typed{node{t.pos}, nil}
		switch {
		case p.accept("["):
			x = &indexExpr{at, x, p.bracketed()}
			p.expect("]")
		case p.accept("."):
			x = &fieldExpr{typed: at, record: x, name: p.fieldName().text}
		default:
			return x
		}
	}
}

// items parses entries that are separated by commas, and the closing bracket. parseItem parses one
// entry.
func (p *parser) items(closing string, parseItem func()) {
	inHeader := p.inHeader
	p.inHeader = false
	for p.skipNewlines(); !p.is(closing); p.skipNewlines() {
		parseItem()
		p.skipNewlines()
		if !p.accept(",") {
			break
		}
	}
	p.skipNewlines()
	p.inHeader = inHeader
	p.expect(closing)
}

// primary parses a literal, a name, a call, or an expression in parentheses.
func (p *parser) primary() expr {
	p.enterNesting()
	defer func() { p.depth-- }()
	t := p.peek()
	at := typed{node{t.pos}, nil}
	switch t.kind {
	case tokenInt:
		return p.literal(typeInt, Value{bits: t.number})
	case tokenFloat:
		return p.literal(typeFloat, floatValue(t.float))
	case tokenDuration:
		return p.literal(typeDuration, Value{bits: t.number})
	case tokenString:
		return p.literal(typeString, strValue(t.text))
	case tokenName:
		return p.nameOrCall(at)
	}
	switch {
	case p.is("true"):
		return p.literal(typeBool, Value{bits: 1})
	case p.is("false"):
		return p.literal(typeBool, Value{})
	case p.accept("("):
		e := p.bracketed()
		p.expect(")")
		return e
	case p.accept("["):
		l := &listExpr{typed: at}
		p.items("]", func() { l.items = append(l.items, p.expr()) })
		return l
	case p.is("list"):
		l := &listExpr{typed: at, literalType: p.typeExpr()}
		p.expect("{")
		p.items("}", func() { l.items = append(l.items, p.expr()) })
		return l
	case p.is("map"):
		return p.mapLiteral(at)
	case p.accept("run"):
		return p.runExpr(at)
	}
	p.fail("a value is wanted, not %s", describe(t))
	return nil
}

func (p *parser) literal(t *Type, v Value) expr {
	token := p.peek()
	p.next++
	return &literalExpr{typed{node{token.pos}, t}, v, token.text}
}

// nameOrCall parses a variable, a call or a record literal.
func (p *parser) nameOrCall(at typed) expr {
	name := p.peek().text
	p.next++
	if p.accept("(") {
		c := &callExpr{typed: at, name: name}
		p.items(")", func() { c.args = append(c.args, p.expr()) })
		return c
	}
	if !p.is("{") || p.inHeader || records[name] == nil {
		return &nameExpr{typed: at, name: name}
	}
	p.next++
	r := &recordExpr{typed: at, name: name}
	p.items("}", func() {
		field := p.fieldName()
		p.expect(":")
		value := p.expr()
		r.fields = append(r.fields, field.text)
		r.positions = append(r.positions, field.pos)
		r.values = append(r.values, value)
	})
	return r
}

func (p *parser) mapLiteral(at typed) expr {
	m := &mapExpr{typed: at, literalType: p.typeExpr()}
	p.expect("{")
	p.items("}", func() {
		key := p.expr()
		p.expect(":")
		value := p.expr()
		m.keys = append(m.keys, key)
		m.values = append(m.values, value)
	})
	return m
}

func (p *parser) runExpr(at typed) expr {
	r := &runExpr{typed: at, point: p.name("a point").text}
	inHeader := p.inHeader
	p.inHeader = false
	p.expect("(")
	r.arg = p.expr()
	p.expect(")")
	p.inHeader = inHeader
	return r
}

// bracketed parses an expression within brackets, where a brace begins a literal even in a header.
func (p *parser) bracketed() expr {
	inHeader := p.inHeader
	p.inHeader = false
	e := p.expr()
	p.inHeader = inHeader
	return e
}
