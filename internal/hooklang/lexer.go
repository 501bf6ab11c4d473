package hooklang

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

type tokenKind uint8

const (
	tokenEOF tokenKind = iota
	tokenNewline
	tokenName
	tokenInt
	tokenFloat
	tokenDuration
	tokenString
	tokenSymbol // operators, brackets and keywords, by their text
	tokenInvalid
)

type token struct {
	kind   tokenKind
	text   string // names and signs as written; strings as they are meant
	pos    Pos
	number int64
	float  float64
}

// comment is for the formatter; the parser does not see it.
type comment struct {
	pos     Pos
	text    string
	ownLine bool // it has its line for itself
}

var keywords = map[string]bool{
	"fn": true, "on": true, "every": true, "state": true, "test": true, "run": true,
	"let": true, "if": true, "else": true, "for": true, "in": true, "match": true, "case": true,
	"return": true, "break": true, "continue": true,
	"and": true, "or": true, "not": true, "true": true, "false": true,
	"list": true, "map": true,
}

// symbols has the longer ones first, so that they are found.
var symbols = []string{
	"..", "==", "!=", "<=", ">=", "+=", "-=",
	"(", ")", "[", "]", "{", "}", ",", ":", ".", "=", "<", ">", "+", "-", "*", "/", "%",
}

// lexer cuts a text into tokens. Positions in bytes; line and lineStart give them as a Pos.
type lexer struct {
	file      string
	text      string
	offset    int // of the next byte
	line      int
	lineStart int // offset of the line's first byte
	brackets  int // round and square brackets that are open
	tokens    []token
	comments  []comment
	problems  Problems
}

// lex cuts a text into tokens. A newline ends a statement where the line could end one and no round or square
// bracket is open.
func lex(file, text string) ([]token, []comment, Problems) {
	l := &lexer{file: file, text: text, line: 1}
	for l.offset < len(text) {
		l.nextToken()
	}
	end := l.pos()
	l.add(token{kind: tokenNewline, text: "end of line", pos: end})
	l.add(token{kind: tokenEOF, text: "end of text", pos: end})
	return l.tokens, l.comments, l.problems
}

func (l *lexer) pos() Pos { return Pos{l.line, l.offset - l.lineStart + 1} }

func (l *lexer) add(t token) { l.tokens = append(l.tokens, t) }

func (l *lexer) reportError(pos Pos, format string, args ...any) {
	if len(l.problems) < maxProblems {
		l.problems = append(l.problems, &Problem{File: l.file, Pos: pos, Text: fmt.Sprintf(format, args...)})
	}
}

// next reads a token, a comment, a newline or a blank.
func (l *lexer) nextToken() {
	c, pos := l.text[l.offset], l.pos()
	switch {
	case c == '\n':
		if n := len(l.tokens); n > 0 && l.brackets == 0 && endsStatement(l.tokens[n-1]) {
			l.add(token{kind: tokenNewline, text: "end of line", pos: pos})
		}
		l.offset++
		l.line++
		l.lineStart = l.offset
	case c == ' ' || c == '\t' || c == '\r':
		l.offset++
	case c == '#':
		l.comment(pos)
	case c == '"':
		text, end, problem := lexString(l.text, l.offset)
		t := token{kind: tokenString, text: text, pos: pos}
		if problem != "" {
			l.reportError(pos, "%s", problem)
			t = token{kind: tokenInvalid, pos: pos}
		}
		l.add(t)
		l.offset = end
	case isDigit(c):
		t, end, problem := lexNumber(l.text, l.offset)
		t.pos = pos
		if problem != "" {
			l.reportError(pos, "%s", problem)
			t.kind = tokenInt
		}
		l.add(t)
		l.offset = end
	case isNameByte(c):
		end := skipName(l.text, l.offset)
		t := token{kind: tokenName, text: l.text[l.offset:end], pos: pos}
		if keywords[t.text] {
			t.kind = tokenSymbol
		}
		l.add(t)
		l.offset = end
	default:
		l.symbol(pos)
	}
}

func (l *lexer) comment(pos Pos) {
	end := l.offset
	for end < len(l.text) && l.text[end] != '\n' {
		end++
	}
	text := strings.TrimRight(l.text[l.offset:end], " \t\r")
	ownLine := strings.TrimSpace(l.text[l.lineStart:l.offset]) == ""
	l.comments = append(l.comments, comment{pos, text, ownLine})
	l.offset = end
}

func (l *lexer) symbol(pos Pos) {
	rest := l.text[l.offset:]
	i := slices.IndexFunc(symbols, func(s string) bool { return strings.HasPrefix(rest, s) })
	if i < 0 {
		r, size := utf8.DecodeRuneInString(rest)
		l.reportError(pos, "%q has no meaning here", r)
		l.offset += size
		return
	}
	symbol := symbols[i]
	switch symbol {
	case "(", "[":
		l.brackets++
	case ")", "]":
		l.brackets = max(0, l.brackets-1)
	case "{", "}":
		// The end of a block closes brackets that were left open: an error must not swallow the rest of the text.
		if symbol == "}" && l.brackets > 0 && !insideBrace(l.tokens) {
			l.brackets = 0
		}
	}
	l.add(token{kind: tokenSymbol, text: symbol, pos: pos})
	l.offset += len(symbol)
}

const maxLookBackTokens = 2_000

// inBrace reports whether the innermost open bracket is a brace: that of a literal within brackets. It looks back a
// bounded number of tokens, so that lexing a hostile text takes linear time.
func insideBrace(tokens []token) bool {
	n := 0
	for i := len(tokens) - 1; i >= 0 && i > len(tokens)-maxLookBackTokens; i-- {
		switch tokens[i].text {
		case ")", "]", "}":
			n++
		case "(", "[", "{":
			if n--; n < 0 {
				return tokens[i].text == "{"
			}
		}
	}
	return false
}

// endsStatement reports whether a statement can end with a token.
func endsStatement(t token) bool {
	switch t.kind {
	case tokenName, tokenInt, tokenFloat, tokenDuration, tokenString, tokenInvalid:
		return true
	case tokenSymbol:
		switch t.text {
		case ")", "]", "}", "return", "break", "continue", "true", "false":
			return true
		}
	}
	return false
}

// lexString reads a string: escapes \n, \t, \", \\ and \u{hex}.
func lexString(text string, i int) (s string, end int, problem string) {
	var b strings.Builder
	for i++; ; i++ {
		if i >= len(text) || text[i] == '\n' {
			return "", i, "the string is not closed on its line"
		}
		c := text[i]
		if c == '"' {
			break
		}
		if c != '\\' {
			b.WriteByte(c)
			continue
		}
		if i++; i >= len(text) {
			return "", i, "the string is not closed on its line"
		}
		switch text[i] {
		case 'n':
			b.WriteByte('\n')
		case 't':
			b.WriteByte('\t')
		case '"', '\\':
			b.WriteByte(text[i])
		case 'u':
			rest := text[i+1:]
			n := strings.IndexByte(rest, '}')
			if !strings.HasPrefix(rest, "{") || n < 2 || n > 7 {
				problem = `\u wants one to six hex digits in braces`
				continue
			}
			r, err := strconv.ParseUint(rest[1:n], 16, 32)
			if err != nil || !utf8.ValidRune(rune(r)) {
				problem = `\u{` + rest[1:n] + `} is no character`
			}
			b.WriteRune(rune(r))
			i += n + 1
		default:
			problem = fmt.Sprintf(`\%c is no escape: \n, \t, \", \\ and \u{…} are`, text[i])
		}
	}
	if !utf8.ValidString(b.String()) {
		problem = "the string is no UTF-8"
	}
	return b.String(), i + 1, problem
}
