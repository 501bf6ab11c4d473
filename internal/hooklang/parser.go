package hooklang

import (
	"fmt"
	"time"
	"unicode/utf8"
)

type parser struct {
	file        string
	tokens      []token
	next        int
	problems    Problems
	depth       int
	inHeader    bool // in a header: a brace begins the block
	lastProblem int  // where the last problem was, in tokens
}

type syntaxError struct{}

// parse reads a text. What it cannot read it reports, and goes on behind.
func parse(file, text string) (*script, Problems) {
	if len(text) > MaxSource {
		return &script{}, Problems{{File: file, Pos: Pos{1, 1}, Text: fmt.Sprintf("%d bytes, over the %d that a script may have", len(text), MaxSource)}}
	}
	if !utf8.ValidString(text) {
		return &script{}, Problems{{File: file, Pos: Pos{1, 1}, Text: "the text is no UTF-8"}}
	}
	toks, comments, bad := lex(file, text)
	p := &parser{file: file, tokens: toks, problems: bad, lastProblem: -1}
	s := &script{comments: comments}
	for !p.atEnd() {
		p.guard(func() { p.decl(s) }, "fn", "on", "state", "test")
	}
	return s, p.problems
}

func (p *parser) atEnd() bool {
	return p.tokens[p.next].kind == tokenEOF || len(p.problems) >= maxProblems
}
func (p *parser) peek() token { return p.tokens[p.next] }
func (p *parser) is(s string) bool {
	t := p.tokens[p.next]
	return t.kind == tokenSymbol && t.text == s
}

func (p *parser) accept(s string) bool {
	if p.is(s) {
		p.next++
		return true
	}
	return false
}

func (p *parser) problem(pos Pos, format string, args ...any) {
	if p.next == p.lastProblem { // one for each place where reading went wrong
		return
	}
	p.lastProblem = p.next
	if len(p.problems) < maxProblems {
		p.problems = append(p.problems, &Problem{File: p.file, Pos: pos, Text: fmt.Sprintf(format, args...)})
	}
}

func (p *parser) fail(format string, args ...any) {
	p.problem(p.peek().pos, format, args...)
	panic(syntaxError{})
}

func (p *parser) expect(s string) token {
	t := p.peek()
	if !p.accept(s) {
		p.fail("%q is wanted, not %s", s, describe(t))
	}
	return t
}

func describe(t token) string {
	switch t.kind {
	case tokenString:
		return fmt.Sprintf("the string %q", t.text)
	case tokenNewline, tokenEOF:
		return "the " + t.text
	case tokenInvalid:
		return "this"
	}
	return fmt.Sprintf("%q", t.text)
}

func (p *parser) name(what string) token {
	t := p.peek()
	if t.kind != tokenName {
		p.fail("%s is wanted, not %s", what, describe(t))
	}
	p.next++
	return t
}

// field reads a field's name, which may be a word of the language.
func (p *parser) field() token {
	if t := p.peek(); t.kind == tokenSymbol && keywords[t.text] {
		p.next++
		return t
	}
	return p.name("a field")
}

// guard runs f. If f gives up, it skips to the next line that begins with one of the words, or with anything if there are
// none, but not past a brace that closes more than was opened.
func (p *parser) guard(f func(), words ...string) {
	begin, depth := p.next, p.depth
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		if _, ok := r.(syntaxError); !ok {
			panic(r)
		}
		p.depth, p.inHeader = depth, false
		if p.next == begin {
			p.next++
		}
		braces := 0
		for ; p.tokens[p.next].kind != tokenEOF; p.next++ {
			if len(words) > 0 {
				t := p.peek()
				for _, w := range words {
					if t.kind == tokenSymbol && t.text == w && (t.pos.Col == 1 || braces <= 0 && p.tokens[p.next-1].kind == tokenNewline) {
						return
					}
				}
				switch {
				case p.is("{"):
					braces++
				case p.is("}"):
					braces--
				}
				continue
			}
			switch {
			case p.is("{"):
				braces++
			case p.is("}"):
				if braces == 0 {
					return
				}
				braces--
			case p.peek().kind == tokenNewline && braces == 0:
				p.next++
				return
			}
		}
	}()
	f()
}

func (p *parser) newlines() {
	for p.peek().kind == tokenNewline {
		p.next++
	}
}

func (p *parser) endStatement() {
	if p.is("}") || p.peek().kind == tokenEOF {
		return
	}
	if p.peek().kind != tokenNewline {
		p.fail("the end of the statement is wanted, not %s", describe(p.peek()))
	}
	p.newlines()
}

func (p *parser) decl(s *script) {
	p.newlines()
	t := p.peek()
	if t.kind == tokenEOF {
		return
	}
	switch {
	case p.accept("state"):
		d := &stateDecl{pos: t.pos, name: p.name("a name").text}
		d.declaredType = p.typeName()
		p.expect("=")
		d.init = p.expr()
		s.states, s.order = append(s.states, d), append(s.order, d)
	case p.accept("fn"):
		d := &funcDecl{pos: t.pos, name: p.name("a name").text}
		p.expect("(")
		for !p.is(")") {
			n := p.name("a parameter")
			d.params = append(d.params, param{n.pos, n.text, p.typeName()})
			if !p.accept(",") {
				break
			}
		}
		p.expect(")")
		if !p.is("{") {
			d.declaredResult = p.typeName()
		}
		d.body = p.block()
		d.end = d.body.end
		s.funcs, s.order = append(s.funcs, d), append(s.order, d)
	case p.accept("on"):
		n := p.name("a point")
		d := &funcDecl{pos: t.pos, name: n.text}
		if d.point = points[n.text]; d.point == nil {
			p.problem(n.pos, "there is no point %q: %s are", n.text, pointNames())
			d.point = &Point{Name: n.text, Record: noRecord}
		}
		p.expect("(")
		q := p.name("the event's name")
		d.params = []param{{pos: q.pos, name: q.text}}
		p.expect(")")
		if p.accept("every") {
			e := p.peek()
			if e.kind != tokenDuration {
				p.fail("a duration is wanted, not %s", describe(e))
			}
			p.next++
			d.interval = time.Duration(e.number)
			if n.text != "timer" {
				p.problem(e.pos, "only a timer has a time")
			} else if d.interval < Least || d.interval > maxMinutes*time.Minute {
				p.problem(e.pos, "a timer runs every %v at the shortest and %v at the longest", Least, maxMinutes*time.Minute)
			}
		} else if n.text == "timer" {
			p.fail("a timer wants its time: on timer(t) every 5s")
		}
		d.body = p.block()
		d.end = d.body.end
		s.funcs, s.order = append(s.funcs, d), append(s.order, d)
	case p.accept("test"):
		n := p.peek()
		if n.kind != tokenString {
			p.fail("a test's name in quotes is wanted, not %s", describe(n))
		}
		p.next++
		d := &testDecl{pos: t.pos, name: n.text, body: p.block()}
		s.tests, s.order = append(s.tests, d), append(s.order, d)
	default:
		p.fail("fn, on, state or test is wanted, not %s", describe(t))
	}
	p.endStatement()
}

func (p *parser) nest() {
	if p.depth++; p.depth > maxNesting {
		p.fail("nested more than %d deep", maxNesting)
	}
}

func (p *parser) typeName() *typeNode {
	p.nest()
	defer func() { p.depth-- }()
	t := p.peek()
	n := &typeNode{pos: t.pos, name: t.text}
	switch {
	case p.accept("list"):
		p.expect("[")
		n.elem = p.typeName()
		p.expect("]")
	case p.accept("map"):
		p.expect("[")
		n.key = p.typeName()
		p.expect("]")
		n.elem = p.typeName()
	default:
		p.name("a type")
	}
	return n
}

func (p *parser) block() *block {
	p.nest()
	defer func() { p.depth-- }()
	bare := p.inHeader
	p.inHeader = false
	b := &block{pos: p.expect("{").pos}
	for p.newlines(); !p.is("}") && !p.atEnd(); p.newlines() {
		p.guard(func() {
			b.stmts = append(b.stmts, p.stmt())
			p.endStatement()
		})
	}
	p.inHeader = bare
	b.end = p.expect("}").pos
	return b
}

func (p *parser) header() expr {
	bare := p.inHeader
	p.inHeader = true
	e := p.expr()
	p.inHeader = bare
	return e
}

func (p *parser) stmt() stmt {
	t := p.peek()
	at := node{t.pos}
	switch {
	case p.accept("let"):
		s := &letStmt{node: at, name: p.name("a name").text}
		if !p.is("=") {
			s.declaredType = p.typeName()
		}
		p.expect("=")
		s.value = p.expr()
		return s
	case p.is("if"):
		return p.ifStmt()
	case p.accept("for"):
		s := &forStmt{node: at, name: p.name("a name").text}
		if p.accept(",") {
			s.key, s.name = s.name, p.name("a name").text
		}
		p.expect("in")
		s.from = p.header()
		if p.accept("..") {
			s.to = p.header()
		}
		s.body = p.block()
		return s
	case p.accept("match"):
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
			c := matchCase{}
			for {
				c.values = append(c.values, p.header())
				if !p.accept(",") {
					break
				}
			}
			c.body = p.block()
			s.cases = append(s.cases, c)
		}
		p.expect("}")
		return s
	case p.accept("return"):
		s := &returnStmt{node: at}
		if k := p.peek(); k.kind != tokenNewline && !p.is("}") {
			s.value = p.expr()
		}
		return s
	case p.accept("break"), p.accept("continue"):
		return &branchStmt{at, t.text}
	}
	e := p.expr()
	op := ""
	switch {
	case p.accept("="):
	case p.accept("+="):
		op = "+"
	case p.accept("-="):
		op = "-"
	default:
		switch e.(type) {
		case *callExpr, *runExpr:
			return &exprStmt{at, e}
		}
		p.problem(t.pos, "a value that nothing is done with")
		return &exprStmt{at, e}
	}
	s := &setStmt{node: at, op: op, value: p.expr()}
	switch x := e.(type) {
	case *nameExpr:
		s.name = x.name
		return s
	case *indexExpr:
		if n, ok := x.collection.(*nameExpr); ok && op == "" {
			s.name, s.index = n.name, x.index
			return s
		}
	}
	p.problem(t.pos, "only name = value, name += value, name -= value and name[key] = value are assignments")
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
