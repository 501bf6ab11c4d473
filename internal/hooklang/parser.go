package hooklang

import (
	"fmt"
	"slices"
	"unicode/utf8"
)

// parser reads tokens by recursive descent.
type parser struct {
	file        string
	tokens      []token
	next        int
	problems    Problems
	depth       int
	inHeader    bool // in a header: a brace begins the block
	lastProblem int  // where the last problem was, in tokens
}

// syntaxError is the panic by which a function of the parser gives up; guard recovers it. The problem is noted
// already.
type syntaxError struct{}

// parse reads a text. It reports syntax errors, and resumes behind each.
func parse(file, text string) (*script, Problems) {
	if len(text) > MaxSourceBytes {
		return &script{}, problemAtStart(file, "%d bytes, over the %d that a script may have", len(text), MaxSourceBytes)
	}
	if !utf8.ValidString(text) {
		return &script{}, problemAtStart(file, "the text is no UTF-8")
	}
	toks, comments, bad := lex(file, text)
	p := &parser{file: file, tokens: toks, problems: bad, lastProblem: -1}
	s := &script{comments: comments}
	for !p.atEnd() {
		p.guard(func() { p.declaration(s) }, "fn", "on", "state", "test")
	}
	return s, p.problems
}

// problemAtStart is a problem with a text as a whole.
func problemAtStart(file, format string, args ...any) Problems {
	return Problems{{File: file, Pos: Pos{1, 1}, Text: fmt.Sprintf(format, args...)}}
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

// field reads a field's name, which may be a keyword.
func (p *parser) field() token {
	if t := p.peek(); t.kind == tokenSymbol && keywords[t.text] {
		p.next++
		return t
	}
	return p.name("a field")
}

// guard runs f. If f gives up at a syntax error, parsing resumes behind it: at the next declaration if words are
// given, which begin one, otherwise at the next statement of the block.
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
		p.depth = depth
		p.inHeader = false
		if p.next == begin {
			p.next++
		}
		if len(words) > 0 {
			p.skipToDeclaration(words)
		} else {
			p.skipStatement()
		}
	}()
	f()
}

// skipToDeclaration skips to a word at the begin of a line, which must not be within braces unless it is in the
// first column.
func (p *parser) skipToDeclaration(words []string) {
	braces := 0
	for ; p.tokens[p.next].kind != tokenEOF; p.next++ {
		t := p.peek()
		if t.kind == tokenSymbol && slices.Contains(words, t.text) &&
			(t.pos.Col == 1 || braces <= 0 && p.tokens[p.next-1].kind == tokenNewline) {
			return
		}
		switch {
		case p.is("{"):
			braces++
		case p.is("}"):
			braces--
		}
	}
}

// skipStatement skips to the next line, but not past a brace that closes more than was opened.
func (p *parser) skipStatement() {
	braces := 0
	for ; p.tokens[p.next].kind != tokenEOF; p.next++ {
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
	inHeader := p.inHeader
	p.inHeader = false
	b := &block{pos: p.expect("{").pos}
	for p.newlines(); !p.is("}") && !p.atEnd(); p.newlines() {
		p.guard(func() {
			b.stmts = append(b.stmts, p.stmt())
			p.endStatement()
		})
	}
	p.inHeader = inHeader
	b.end = p.expect("}").pos
	return b
}

func (p *parser) header() expr {
	inHeader := p.inHeader
	p.inHeader = true
	e := p.expr()
	p.inHeader = inHeader
	return e
}
