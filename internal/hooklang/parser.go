package hooklang

import (
	"fmt"
	"time"
	"unicode/utf8"
)

type parser struct {
	file  string
	toks  []token
	i     int
	bad   Problems
	depth int
	bare  bool // in a header: a brace begins the block
	last  int  // where the last problem was, in tokens
}

type bail struct{}

// parse reads a text. What it cannot read it reports, and goes on behind.
func parse(file, text string) (*script, Problems) {
	if len(text) > MaxSource {
		return &script{}, Problems{{File: file, Pos: Pos{1, 1}, Text: fmt.Sprintf("%d bytes, over the %d that a script may have", len(text), MaxSource)}}
	}
	if !utf8.ValidString(text) {
		return &script{}, Problems{{File: file, Pos: Pos{1, 1}, Text: "the text is no UTF-8"}}
	}
	toks, comments, bad := lex(file, text)
	p := &parser{file: file, toks: toks, bad: bad, last: -1}
	s := &script{comments: comments}
	for !p.over() {
		p.guard(func() { p.decl(s) }, "fn", "on", "state", "test")
	}
	return s, p.bad
}

func (p *parser) over() bool { return p.toks[p.i].kind == tEOF || len(p.bad) >= maxProblems }
func (p *parser) tok() token { return p.toks[p.i] }
func (p *parser) is(s string) bool {
	t := p.toks[p.i]
	return t.kind == tSign && t.text == s
}

func (p *parser) take(s string) bool {
	if p.is(s) {
		p.i++
		return true
	}
	return false
}

func (p *parser) problem(pos Pos, format string, args ...any) {
	if p.i == p.last { // one for each place where reading went wrong
		return
	}
	p.last = p.i
	if len(p.bad) < maxProblems {
		p.bad = append(p.bad, &Problem{File: p.file, Pos: pos, Text: fmt.Sprintf(format, args...)})
	}
}

func (p *parser) fail(format string, args ...any) {
	p.problem(p.tok().pos, format, args...)
	panic(bail{})
}

func (p *parser) want(s string) token {
	t := p.tok()
	if !p.take(s) {
		p.fail("%q is wanted, not %s", s, show(t))
	}
	return t
}

func show(t token) string {
	switch t.kind {
	case tStr:
		return fmt.Sprintf("the string %q", t.text)
	case tNewline, tEOF:
		return "the " + t.text
	case tBad:
		return "this"
	}
	return fmt.Sprintf("%q", t.text)
}

func (p *parser) name(what string) token {
	t := p.tok()
	if t.kind != tName {
		p.fail("%s is wanted, not %s", what, show(t))
	}
	p.i++
	return t
}

// field reads a field's name, which may be a word of the language.
func (p *parser) field() token {
	if t := p.tok(); t.kind == tSign && keywords[t.text] {
		p.i++
		return t
	}
	return p.name("a field")
}

// guard runs f. If f gives up, it skips to the next line that begins with one of the words, or with anything if there are
// none, but not past a brace that closes more than was opened.
func (p *parser) guard(f func(), words ...string) {
	begin, depth := p.i, p.depth
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		if _, ok := r.(bail); !ok {
			panic(r)
		}
		p.depth, p.bare = depth, false
		if p.i == begin {
			p.i++
		}
		braces := 0
		for ; p.toks[p.i].kind != tEOF; p.i++ {
			if len(words) > 0 {
				t := p.tok()
				for _, w := range words {
					if t.kind == tSign && t.text == w && (t.pos.Col == 1 || braces <= 0 && p.toks[p.i-1].kind == tNewline) {
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
			case p.tok().kind == tNewline && braces == 0:
				p.i++
				return
			}
		}
	}()
	f()
}

func (p *parser) newlines() {
	for p.tok().kind == tNewline {
		p.i++
	}
}

func (p *parser) line() {
	if p.is("}") || p.tok().kind == tEOF {
		return
	}
	if p.tok().kind != tNewline {
		p.fail("the end of the statement is wanted, not %s", show(p.tok()))
	}
	p.newlines()
}

func (p *parser) decl(s *script) {
	p.newlines()
	t := p.tok()
	if t.kind == tEOF {
		return
	}
	switch {
	case p.take("state"):
		d := &stateDecl{pos: t.pos, name: p.name("a name").text}
		d.typ = p.typeName()
		p.want("=")
		d.init = p.expr()
		s.states, s.order = append(s.states, d), append(s.order, d)
	case p.take("fn"):
		d := &funcDecl{pos: t.pos, name: p.name("a name").text}
		p.want("(")
		for !p.is(")") {
			n := p.name("a parameter")
			d.params = append(d.params, param{n.pos, n.text, p.typeName()})
			if !p.take(",") {
				break
			}
		}
		p.want(")")
		if !p.is("{") {
			d.result = p.typeName()
		}
		d.body = p.block()
		d.end = d.body.end
		s.funcs, s.order = append(s.funcs, d), append(s.order, d)
	case p.take("on"):
		n := p.name("a point")
		d := &funcDecl{pos: t.pos, name: n.text}
		if d.on = points[n.text]; d.on == nil {
			p.problem(n.pos, "there is no point %q: %s are", n.text, pointNames())
			d.on = &Point{Name: n.text, Record: noRecord}
		}
		p.want("(")
		q := p.name("the event's name")
		d.params = []param{{pos: q.pos, name: q.text}}
		p.want(")")
		if p.take("every") {
			e := p.tok()
			if e.kind != tDur {
				p.fail("a duration is wanted, not %s", show(e))
			}
			p.i++
			d.every = time.Duration(e.n)
			if n.text != "timer" {
				p.problem(e.pos, "only a timer has a time")
			} else if d.every < Least || d.every > maxMinutes*time.Minute {
				p.problem(e.pos, "a timer runs every %v at the shortest and %v at the longest", Least, maxMinutes*time.Minute)
			}
		} else if n.text == "timer" {
			p.fail("a timer wants its time: on timer(t) every 5s")
		}
		d.body = p.block()
		d.end = d.body.end
		s.funcs, s.order = append(s.funcs, d), append(s.order, d)
	case p.take("test"):
		n := p.tok()
		if n.kind != tStr {
			p.fail("a test's name in quotes is wanted, not %s", show(n))
		}
		p.i++
		d := &testDecl{pos: t.pos, name: n.text, body: p.block()}
		s.tests, s.order = append(s.tests, d), append(s.order, d)
	default:
		p.fail("fn, on, state or test is wanted, not %s", show(t))
	}
	p.line()
}

func (p *parser) enter() {
	if p.depth++; p.depth > maxNesting {
		p.fail("nested more than %d deep", maxNesting)
	}
}

func (p *parser) typeName() *typeNode {
	p.enter()
	defer func() { p.depth-- }()
	t := p.tok()
	n := &typeNode{pos: t.pos, name: t.text}
	switch {
	case p.take("list"):
		p.want("[")
		n.elem = p.typeName()
		p.want("]")
	case p.take("map"):
		p.want("[")
		n.key = p.typeName()
		p.want("]")
		n.elem = p.typeName()
	default:
		p.name("a type")
	}
	return n
}

func (p *parser) block() *block {
	p.enter()
	defer func() { p.depth-- }()
	bare := p.bare
	p.bare = false
	b := &block{pos: p.want("{").pos}
	for p.newlines(); !p.is("}") && !p.over(); p.newlines() {
		p.guard(func() {
			b.stmts = append(b.stmts, p.stmt())
			p.line()
		})
	}
	p.bare = bare
	b.end = p.want("}").pos
	return b
}

func (p *parser) header() expr {
	bare := p.bare
	p.bare = true
	e := p.expr()
	p.bare = bare
	return e
}

func (p *parser) stmt() stmt {
	t := p.tok()
	at := node{t.pos}
	switch {
	case p.take("let"):
		s := &letStmt{node: at, name: p.name("a name").text}
		if !p.is("=") {
			s.typ = p.typeName()
		}
		p.want("=")
		s.value = p.expr()
		return s
	case p.is("if"):
		return p.ifStmt()
	case p.take("for"):
		s := &forStmt{node: at, name: p.name("a name").text}
		if p.take(",") {
			s.key, s.name = s.name, p.name("a name").text
		}
		p.want("in")
		s.from = p.header()
		if p.take("..") {
			s.to = p.header()
		}
		s.body = p.block()
		return s
	case p.take("match"):
		s := &matchStmt{node: at, value: p.header()}
		p.want("{")
		for p.newlines(); !p.is("}") && !p.over(); p.newlines() {
			if p.take("else") {
				s.els = p.block()
				continue
			}
			if s.els != nil {
				p.problem(p.tok().pos, "else is the last case")
			}
			p.want("case")
			c := matchCase{}
			for {
				c.values = append(c.values, p.header())
				if !p.take(",") {
					break
				}
			}
			c.body = p.block()
			s.cases = append(s.cases, c)
		}
		p.want("}")
		return s
	case p.take("return"):
		s := &returnStmt{node: at}
		if k := p.tok(); k.kind != tNewline && !p.is("}") {
			s.value = p.expr()
		}
		return s
	case p.take("break"), p.take("continue"):
		return &leaveStmt{at, t.text}
	}
	e := p.expr()
	op := ""
	switch {
	case p.take("="):
	case p.take("+="):
		op = "+"
	case p.take("-="):
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
		if n, ok := x.x.(*nameExpr); ok && op == "" {
			s.name, s.index = n.name, x.i
			return s
		}
	}
	p.problem(t.pos, "only name = value, name += value, name -= value and name[key] = value are assignments")
	return s
}

func (p *parser) ifStmt() *ifStmt {
	p.enter()
	defer func() { p.depth-- }()
	s := &ifStmt{node: node{p.want("if").pos}}
	s.cond = p.header()
	s.then = p.block()
	if p.take("else") {
		if p.is("if") {
			s.els = p.ifStmt()
		} else {
			s.els = p.block()
		}
	}
	return s
}
