package hooklang

import (
	"fmt"
	"slices"
	"unicode/utf8"
)

// parser is a recursive-descent parser.
type parser struct {
	file           string
	tokens         []token
	next           int // index of the next token
	problems       Problems
	depth          int
	inHeader       bool // in the header of a statement, where a brace begins the block
	lastErrorToken int  // index of the token at which an error was last reported
}

// syntaxError is the value of the panic by which the parser abandons a declaration or statement,
// after the error is reported; recoverSyntaxError recovers it.
type syntaxError struct{}

// parse parses a script. After a syntax error it resumes at the next statement or declaration, so
// that it can report several errors.
func parse(file, text string) (*script, Problems) {
	if len(text) > MaxSourceBytes {
		return &script{}, problemAtStart(file, "%d bytes, more than the %d that a script may have", len(text), MaxSourceBytes)
	}
	if !utf8.ValidString(text) {
		return &script{}, problemAtStart(file, "the text is not valid UTF-8")
	}
	tokens, comments, problems := lex(file, text)
	p := &parser{file: file, tokens: tokens, problems: problems, lastErrorToken: -1}
	s := &script{comments: comments}
	for !p.atEnd() {
		p.recoverSyntaxError(func() { p.declaration(s) }, "fn", "on", "state", "test")
	}
	return s, p.problems
}

// problemAtStart returns an error about a script as a whole, positioned at its start.
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

// accept consumes the next token if it is the symbol s, and reports whether it is.
func (p *parser) accept(s string) bool {
	if p.is(s) {
		p.next++
		return true
	}
	return false
}

// reportError adds an error, unless one was reported at the same token.
func (p *parser) reportError(pos Pos, format string, args ...any) {
	if p.next == p.lastErrorToken {
		return
	}
	p.lastErrorToken = p.next
	if len(p.problems) < maxProblems {
		p.problems = append(p.problems, &Problem{File: p.file, Pos: pos, Text: fmt.Sprintf(format, args...)})
	}
}

// fail reports an error at the next token and panics with syntaxError.
func (p *parser) fail(format string, args ...any) {
	p.reportError(p.peek().pos, format, args...)
	panic(syntaxError{})
}

// expect consumes the symbol s, and fails if the next token is another.
func (p *parser) expect(s string) token {
	t := p.peek()
	if !p.accept(s) {
		p.fail("%q is wanted, not %s", s, describe(t))
	}
	return t
}

// describe returns a token as error messages name it.
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

// name consumes a name. what describes the name in the error message.
func (p *parser) name(what string) token {
	t := p.peek()
	if t.kind != tokenName {
		p.fail("%s is wanted, not %s", what, describe(t))
	}
	p.next++
	return t
}

// fieldName consumes the name of a field, which may be a keyword.
func (p *parser) fieldName() token {
	if t := p.peek(); t.kind == tokenSymbol && keywords[t.text] {
		p.next++
		return t
	}
	return p.name("a field")
}

// recoverSyntaxError runs f. If f panics with syntaxError, parsing resumes at the next declaration
// if keywords that begin one are given, and otherwise at the next statement of the block.
func (p *parser) recoverSyntaxError(f func(), declarationKeywords ...string) {
	start, depth := p.next, p.depth
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
		if p.next == start {
			p.next++
		}
		if len(declarationKeywords) > 0 {
			p.skipToDeclaration(declarationKeywords)
		} else {
			p.skipStatement()
		}
	}()
	f()
}

// skipToDeclaration skips to a keyword at the start of a line. The keyword must not be within
// braces, unless it is in the first column: a declaration there is found even if the error left a
// brace open.
func (p *parser) skipToDeclaration(declarationKeywords []string) {
	braces := 0
	for ; p.tokens[p.next].kind != tokenEOF; p.next++ {
		t := p.peek()
		if t.kind == tokenSymbol && slices.Contains(declarationKeywords, t.text) &&
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

// skipStatement skips to the next line, but not past the brace that closes the enclosing block.
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

func (p *parser) skipNewlines() {
	for p.peek().kind == tokenNewline {
		p.next++
	}
}

// endStatement consumes the newlines that end a statement. A closing brace or the end of the script
// ends it as well.
func (p *parser) endStatement() {
	if p.is("}") || p.peek().kind == tokenEOF {
		return
	}
	if p.peek().kind != tokenNewline {
		p.fail("the end of the statement is wanted, not %s", describe(p.peek()))
	}
	p.skipNewlines()
}

// enterNesting increments the nesting depth and fails if it exceeds maxNestingDepth, which bounds
// the recursion of the parser. The caller decrements depth when it is done.
func (p *parser) enterNesting() {
	if p.depth++; p.depth > maxNestingDepth {
		p.fail("nested more than %d deep", maxNestingDepth)
	}
}

// typeExpr parses a type.
func (p *parser) typeExpr() *typeNode {
	p.enterNesting()
	defer func() { p.depth-- }()
	t := p.peek()
	n := &typeNode{pos: t.pos, name: t.text}
	switch {
	case p.accept("list"):
		p.expect("[")
		n.elem = p.typeExpr()
		p.expect("]")
	case p.accept("map"):
		p.expect("[")
		n.key = p.typeExpr()
		p.expect("]")
		n.elem = p.typeExpr()
	default:
		p.name("a type")
	}
	return n
}

// block parses statements in braces. A syntax error in a statement does not end the block.
func (p *parser) block() *block {
	p.enterNesting()
	defer func() { p.depth-- }()
	inHeader := p.inHeader
	p.inHeader = false
	b := &block{pos: p.expect("{").pos}
	for p.skipNewlines(); !p.is("}") && !p.atEnd(); p.skipNewlines() {
		p.recoverSyntaxError(func() {
			b.stmts = append(b.stmts, p.stmt())
			p.endStatement()
		})
	}
	p.inHeader = inHeader
	b.end = p.expect("}").pos
	return b
}

// headerExpr parses an expression that is followed by a block, so that a brace after a name begins
// the block and not a record literal.
func (p *parser) headerExpr() expr {
	inHeader := p.inHeader
	p.inHeader = true
	e := p.expr()
	p.inHeader = inHeader
	return e
}
