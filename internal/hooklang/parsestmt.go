package hooklang

// stmt parses a statement.
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
		s.declaredType = p.typeExpr()
	}
	p.expect("=")
	s.value = p.expr()
	return s
}

func (p *parser) ifStmt() *ifStmt {
	p.enterNesting()
	defer func() { p.depth-- }()
	s := &ifStmt{node: node{p.expect("if").pos}}
	s.cond = p.headerExpr()
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
	s.from = p.headerExpr()
	if p.accept("..") {
		s.to = p.headerExpr()
	}
	s.body = p.block()
	return s
}

func (p *parser) matchStmt(at node) stmt {
	s := &matchStmt{node: at, value: p.headerExpr()}
	p.expect("{")
	for p.skipNewlines(); !p.is("}") && !p.atEnd(); p.skipNewlines() {
		if p.accept("else") {
			s.otherwise = p.block()
			continue
		}
		if s.otherwise != nil {
			p.reportError(p.peek().pos, "else must be the last case")
		}
		p.expect("case")
		s.cases = append(s.cases, p.matchCase())
	}
	p.expect("}")
	return s
}

// matchCase parses the values and the block of a case, after the keyword.
func (p *parser) matchCase() (c matchCase) {
	for {
		c.values = append(c.values, p.headerExpr())
		if !p.accept(",") {
			break
		}
	}
	c.body = p.block()
	return c
}

// simpleStmt parses an assignment or a call.
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
			p.reportError(at.pos, "the value is not used")
		}
		return &exprStmt{at, target}
	}
	s := &assignStmt{node: at, op: op, value: p.expr()}
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
	p.reportError(at.pos, "only name = value, name += value, name -= value and name[key] = value are assignments")
	return s
}
