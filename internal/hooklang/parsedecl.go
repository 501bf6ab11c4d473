package hooklang

import "time"

// declaration parses a state variable, function, handler or test, and adds it to the script.
func (p *parser) declaration(s *script) {
	p.skipNewlines()
	t := p.peek()
	if t.kind == tokenEOF {
		return
	}
	switch {
	case p.accept("state"):
		d := p.stateDecl(t.pos)
		s.states = append(s.states, d)
		s.order = append(s.order, d)
	case p.accept("fn"):
		d := p.funcDecl(t.pos)
		s.funcs = append(s.funcs, d)
		s.order = append(s.order, d)
	case p.accept("on"):
		d := p.handlerDecl(t.pos)
		s.funcs = append(s.funcs, d)
		s.order = append(s.order, d)
	case p.accept("test"):
		d := p.testDecl(t.pos)
		s.tests = append(s.tests, d)
		s.order = append(s.order, d)
	default:
		p.fail("fn, on, state or test is wanted, not %s", describe(t))
	}
	p.endStatement()
}

func (p *parser) stateDecl(pos Pos) *stateDecl {
	d := &stateDecl{pos: pos, name: p.name("a name").text}
	d.declaredType = p.typeExpr()
	p.expect("=")
	d.init = p.expr()
	return d
}

func (p *parser) funcDecl(pos Pos) *funcDecl {
	d := &funcDecl{pos: pos, name: p.name("a name").text}
	p.expect("(")
	for !p.is(")") {
		name := p.name("a parameter")
		d.params = append(d.params, param{name.pos, name.text, p.typeExpr()})
		if !p.accept(",") {
			break
		}
	}
	p.expect(")")
	if !p.is("{") {
		d.declaredResult = p.typeExpr()
	}
	d.body = p.block()
	d.end = d.body.end
	return d
}

func (p *parser) handlerDecl(pos Pos) *funcDecl {
	name := p.name("a point")
	d := &funcDecl{pos: pos, name: name.text, point: points[name.text]}
	if d.point == nil {
		p.reportError(name.pos, "there is no point %q: the points are %s", name.text, pointNames())
		d.point = &Point{Name: name.text, Record: emptyRecord}
	}
	p.expect("(")
	event := p.name("the event's name")
	d.params = []param{{pos: event.pos, name: event.text}}
	p.expect(")")
	if p.accept("every") {
		d.interval = p.timerInterval(d.name)
	} else if d.name == "timer" {
		p.fail("a timer needs an interval: on timer(t) every 5s")
	}
	d.body = p.block()
	d.end = d.body.end
	return d
}

// timerInterval parses the duration after "every".
func (p *parser) timerInterval(point string) time.Duration {
	t := p.peek()
	if t.kind != tokenDuration {
		p.fail("a duration is wanted, not %s", describe(t))
	}
	p.next++
	interval := time.Duration(t.number)
	if point != "timer" {
		p.reportError(t.pos, "only a timer has an interval")
	} else if longest := maxTimerMinutes * time.Minute; interval < MinTimerInterval || interval > longest {
		p.reportError(t.pos, "a timer runs every %v at the shortest and %v at the longest", MinTimerInterval, longest)
	}
	return interval
}

func (p *parser) testDecl(pos Pos) *testDecl {
	name := p.peek()
	if name.kind != tokenString {
		p.fail("a test's name in quotes is wanted, not %s", describe(name))
	}
	p.next++
	return &testDecl{pos: pos, name: name.text, body: p.block()}
}
