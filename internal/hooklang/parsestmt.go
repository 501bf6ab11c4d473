package hooklang

func (p *parser) stmt() stmt {
	t := p.peek()
	at := node{t.pos}
	switch {
	case p.accept("let"):
		return p.letStmt(at)
	case p.is("if"):
		return p.ifStmt()
	case p.accept("for"):
		return p.forStmt(at)
	case p.accept("match"):
		return p.matchStmt(at)
	case p.accept("return"):
		s := &returnStmt{node: at}
		if p.peek().kind != tokenNewline && !p.is("}") {
			s.value = p.expr()
		}
		return s
	case p.accept("break"), p.accept("continue"):
		return &branchStmt{at, t.text}
	}
	return p.simpleStmt(at)
}

func (p *parser) letStmt(at node) stmt {
	s := &letStmt{node: at, name: p.name("a name").text}
	if !p.is("=") {
		s.declaredType = p.typeName()
	}
	p.expect("=")
	s.value = p.expr()
	return s
}

func (p *parser) ifStmt() *ifStmt {
	p.nest()
	defer func() { p.depth-- }()
	s := &ifStmt{node: node{p.expect("if").pos}}
	s.cond = p.header()
	s.then = p.block()
	if p.accept("else") {
		if p.is("if") {
			s.otherwise = p.ifStmt()
		} else {
			s.otherwise = p.block()
		}
	}
	return s
}

func (p *parser) forStmt(at node) stmt {
	s := &forStmt{node: at, name: p.name("a name").text}
	if p.accept(",") {
		s.key = s.name
		s.name = p.name("a name").text
	}
	p.expect("in")
	s.from = p.header()
	if p.accept("..") {
		s.to = p.header()
	}
	s.body = p.block()
	return s
}

func (p *parser) matchStmt(at node) stmt {
	s := &matchStmt{node: at, value: p.header()}
	p.expect("{")
	for p.newlines(); !p.is("}") && !p.atEnd(); p.newlines() {
		if p.accept("else") {
			s.otherwise = p.block()
			continue
		}
		if s.otherwise != nil {
			p.problem(p.peek().pos, "else is the last case")
		}
		p.expect("case")
		s.cases = append(s.cases, p.matchCase())
	}
	p.expect("}")
	return s
}

func (p *parser) matchCase() (c matchCase) {
	for {
		c.values = append(c.values, p.header())
		if !p.accept(",") {
			break
		}
	}
	c.body = p.block()
	return c
}

// simpleStmt reads an assignment or a call.
func (p *parser) simpleStmt(at node) stmt {
	target := p.expr()
	op := ""
	switch {
	case p.accept("="):
	case p.accept("+="):
		op = "+"
	case p.accept("-="):
		op = "-"
	default:
		switch target.(type) {
		case *callExpr, *runExpr:
		default:
			p.problem(at.pos, "a value that nothing is done with")
		}
		return &exprStmt{at, target}
	}
	s := &setStmt{node: at, op: op, value: p.expr()}
	switch target := target.(type) {
	case *nameExpr:
		s.name = target.name
		return s
	case *indexExpr:
		if variable, ok := target.collection.(*nameExpr); ok && op == "" {
			s.name = variable.name
			s.index = target.index
			return s
		}
	}
	p.problem(at.pos, "only name = value, name += value, name -= value and name[key] = value are assignments")
	return s
}
