package hooklang

var levels = [][]string{{"or"}, {"and"}, {"==", "!=", "<", "<=", ">", ">=", "in"}, {"+", "-"}, {"*", "/", "%"}}

func (p *parser) expr() expr { return p.binary(0) }

func (p *parser) binary(level int) expr {
	if level == len(levels) {
		return p.unary()
	}
	if level == 2 && p.is("not") { // binds weaker than comparisons, as and and or do
		p.enter()
		defer func() { p.depth-- }()
		t := p.want("not")
		return &unaryExpr{typed{node{t.pos}, nil}, "not", p.binary(2)}
	}
	x := p.binary(level + 1)
	for n := 0; ; n++ {
		t := p.tok()
		found := false
		for _, op := range levels[level] {
			found = found || t.kind == tSign && t.text == op
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
		p.i++
		y := p.binary(level + 1)
		x = &binExpr{typed{node{t.pos}, nil}, t.text, x, y}
	}
}

func (p *parser) unary() expr {
	if t := p.tok(); p.take("-") {
		p.enter()
		defer func() { p.depth-- }()
		return &unaryExpr{typed{node{t.pos}, nil}, "-", p.unary()}
	}
	x := p.primary()
	for {
		t := p.tok()
		at := typed{node{t.pos}, nil}
		switch {
		case p.take("["):
			bare := p.bare
			p.bare = false
			x = &indexExpr{at, x, p.expr()}
			p.bare = bare
			p.want("]")
		case p.take("."):
			x = &fieldExpr{typed: at, x: x, name: p.field().text}
		default:
			return x
		}
	}
}

// items reads what stands between brackets, up to the closing one.
func (p *parser) items(end string, one func()) {
	bare := p.bare
	p.bare = false
	for p.newlines(); !p.is(end); p.newlines() {
		one()
		p.newlines()
		if !p.take(",") {
			break
		}
	}
	p.newlines()
	p.bare = bare
	p.want(end)
}

func (p *parser) primary() expr {
	p.enter()
	defer func() { p.depth-- }()
	t := p.tok()
	at := typed{node{t.pos}, nil}
	lit := func(ty *Type, v Value) expr {
		p.i++
		at.t = ty
		return &litExpr{at, v, t.text}
	}
	switch t.kind {
	case tInt:
		return lit(tyInt, Value{n: t.n})
	case tFloat:
		return lit(tyFloat, floatValue(t.f))
	case tDur:
		return lit(tyDur, Value{n: t.n})
	case tStr:
		return lit(tyStr, strValue(t.text))
	case tName:
		p.i++
		if p.take("(") {
			c := &callExpr{typed: at, name: t.text}
			p.items(")", func() { c.args = append(c.args, p.expr()) })
			return c
		}
		if p.is("{") && !p.bare && records[t.text] != nil {
			p.i++
			r := &recExpr{typed: at, name: t.text}
			p.items("}", func() {
				n := p.field()
				p.want(":")
				r.fields, r.places, r.values = append(r.fields, n.text), append(r.places, n.pos), append(r.values, p.expr())
			})
			return r
		}
		return &nameExpr{typed: at, name: t.text}
	}
	switch {
	case p.is("true"):
		return lit(tyBool, Value{n: 1})
	case p.is("false"):
		return lit(tyBool, Value{})
	case p.take("("):
		bare := p.bare
		p.bare = false
		e := p.expr()
		p.bare = bare
		p.want(")")
		return e
	case p.take("["):
		l := &listExpr{typed: at}
		p.items("]", func() { l.items = append(l.items, p.expr()) })
		return l
	case p.is("list"):
		l := &listExpr{typed: at, node: p.typeName()}
		p.want("{")
		p.items("}", func() { l.items = append(l.items, p.expr()) })
		return l
	case p.is("map"):
		m := &mapExpr{typed: at, node: p.typeName()}
		p.want("{")
		p.items("}", func() {
			k := p.expr()
			p.want(":")
			m.keys, m.values = append(m.keys, k), append(m.values, p.expr())
		})
		return m
	case p.take("run"):
		n := p.name("a point")
		r := &runExpr{typed: at, point: n.text}
		bare := p.bare
		p.bare = false
		p.want("(")
		r.arg = p.expr()
		p.want(")")
		p.bare = bare
		return r
	}
	p.fail("a value is wanted, not %s", show(t))
	return nil
}
