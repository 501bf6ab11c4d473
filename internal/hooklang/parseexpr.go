package hooklang

var precedence = [][]string{{"or"}, {"and"}, {"==", "!=", "<", "<=", ">", ">=", "in"}, {"+", "-"}, {"*", "/", "%"}}

func (p *parser) expr() expr { return p.binary(0) }

func (p *parser) binary(level int) expr {
	if level == len(precedence) {
		return p.unary()
	}
	if level == 2 && p.is("not") { // binds weaker than comparisons, as and and or do
		p.nest()
		defer func() { p.depth-- }()
		t := p.expect("not")
		return &unaryExpr{typed{node{t.pos}, nil}, "not", p.binary(2)}
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
		if n > 0 && level == 2 {
			p.fail("comparisons do not chain: join them by and")
		}
		if n > 1_000 {
			p.fail("too many in one expression")
		}
		p.next++
		y := p.binary(level + 1)
		x = &binaryExpr{typed{node{t.pos}, nil}, t.text, x, y}
	}
}

func (p *parser) unary() expr {
	if t := p.peek(); p.accept("-") {
		p.nest()
		defer func() { p.depth-- }()
		return &unaryExpr{typed{node{t.pos}, nil}, "-", p.unary()}
	}
	x := p.primary()
	for {
		t := p.peek()
		at := typed{node{t.pos}, nil}
		switch {
		case p.accept("["):
			bare := p.inHeader
			p.inHeader = false
			x = &indexExpr{at, x, p.expr()}
			p.inHeader = bare
			p.expect("]")
		case p.accept("."):
			x = &fieldExpr{typed: at, record: x, name: p.field().text}
		default:
			return x
		}
	}
}

// items reads what stands between brackets, up to the closing one.
func (p *parser) items(end string, one func()) {
	bare := p.inHeader
	p.inHeader = false
	for p.newlines(); !p.is(end); p.newlines() {
		one()
		p.newlines()
		if !p.accept(",") {
			break
		}
	}
	p.newlines()
	p.inHeader = bare
	p.expect(end)
}

func (p *parser) primary() expr {
	p.nest()
	defer func() { p.depth-- }()
	t := p.peek()
	at := typed{node{t.pos}, nil}
	lit := func(ty *Type, v Value) expr {
		p.next++
		at.valueType = ty
		return &literalExpr{at, v, t.text}
	}
	switch t.kind {
	case tokenInt:
		return lit(typeInt, Value{bits: t.number})
	case tokenFloat:
		return lit(typeFloat, floatValue(t.float))
	case tokenDuration:
		return lit(typeDuration, Value{bits: t.number})
	case tokenString:
		return lit(typeString, strValue(t.text))
	case tokenName:
		p.next++
		if p.accept("(") {
			c := &callExpr{typed: at, name: t.text}
			p.items(")", func() { c.args = append(c.args, p.expr()) })
			return c
		}
		if p.is("{") && !p.inHeader && records[t.text] != nil {
			p.next++
			r := &recordExpr{typed: at, name: t.text}
			p.items("}", func() {
				n := p.field()
				p.expect(":")
				r.fields, r.positions, r.values = append(r.fields, n.text), append(r.positions, n.pos), append(r.values, p.expr())
			})
			return r
		}
		return &nameExpr{typed: at, name: t.text}
	}
	switch {
	case p.is("true"):
		return lit(typeBool, Value{bits: 1})
	case p.is("false"):
		return lit(typeBool, Value{})
	case p.accept("("):
		bare := p.inHeader
		p.inHeader = false
		e := p.expr()
		p.inHeader = bare
		p.expect(")")
		return e
	case p.accept("["):
		l := &listExpr{typed: at}
		p.items("]", func() { l.items = append(l.items, p.expr()) })
		return l
	case p.is("list"):
		l := &listExpr{typed: at, literalType: p.typeName()}
		p.expect("{")
		p.items("}", func() { l.items = append(l.items, p.expr()) })
		return l
	case p.is("map"):
		m := &mapExpr{typed: at, literalType: p.typeName()}
		p.expect("{")
		p.items("}", func() {
			k := p.expr()
			p.expect(":")
			m.keys, m.values = append(m.keys, k), append(m.values, p.expr())
		})
		return m
	case p.accept("run"):
		n := p.name("a point")
		r := &runExpr{typed: at, point: n.text}
		bare := p.inHeader
		p.inHeader = false
		p.expect("(")
		r.arg = p.expr()
		p.expect(")")
		p.inHeader = bare
		return r
	}
	p.fail("a value is wanted, not %s", describe(t))
	return nil
}
