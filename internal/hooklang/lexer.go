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
	tokenSymbol // operators, brackets and keywords, told apart by their text
	tokenInvalid
)

// token is a lexical element of a script.
type token struct {
	kind   tokenKind
	text   string // names, numbers and symbols as written; for strings, the value with escapes resolved
	pos    Pos
	number int64
	float  float64
}

// comment is a comment of the source. Only the formatter uses comments; the parser does not see
// them.
type comment struct {
	pos     Pos
	text    string
	ownLine bool // nothing precedes it on its line
}

var keywords = map[string]bool{
	"fn": true, "on": true, "every": true, "state": true, "test": true, "run": true,
	"let": true, "if": true, "else": true, "for": true, "in": true, "match": true, "case": true,
	"return": true, "break": true, "continue": true,
	"and": true, "or": true, "not": true, "true": true, "false": true,
	"list": true, "map": true,
}

// symbols lists the operators and brackets. Longer ones come first, because the first that matches
// is taken.
var symbols = []string{
	"..", "==", "!=", "<=", ">=", "+=", "-=",
	"(", ")", "[", "]", "{", "}", ",", ":", ".", "=", "<", ">", "+", "-", "*", "/", "%",
}

// lexer splits a script into tokens and comments. Offsets are in bytes; line and lineStart convert
// them to a Pos.
type lexer struct {
	file      string
	text      string
	offset    int // of the next byte
	line      int
	lineStart int // offset of the line's first byte
	brackets  int // number of open parentheses and square brackets
	tokens    []token
	comments  []comment
	problems  Problems
}

// lex splits a script into tokens and comments. A newline becomes a token, and so ends a statement,
// only if a statement can end with the preceding token and no parenthesis or square bracket is
// open.
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

// nextToken reads one token, comment, newline or blank.
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

// comment reads a comment, which extends to the end of its line.
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

// symbol reads an operator or a bracket.
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
		// The end of a block closes brackets that were left open, so that the parser can resume
		// after the block. Otherwise one missing bracket would suppress the newlines of the rest of
		// the script.
		if symbol == "}" && l.brackets > 0 && !insideBrace(l.tokens) {
			l.brackets = 0
		}
	}
	l.add(token{kind: tokenSymbol, text: symbol, pos: pos})
	l.offset += len(symbol)
}

// maxLookBackTokens bounds the search of insideBrace.
const maxLookBackTokens = 2_000

// insideBrace reports whether the innermost open bracket is a brace, which is then that of a
// literal within brackets. It looks back a bounded number of tokens, so that lexing a malicious
// script takes linear time.
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

// endsStatement reports whether a statement can end with token t.
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

// lexString reads a string literal whose opening quote is at offset i. Its escape sequences are \n,
// \t, \", \\ and \u{hex}. problem is empty if the literal is valid.
func lexString(text string, i int) (s string, end int, problem string) {
	var b strings.Builder
	for i++; ; i++ {
		if i >= len(text) || text[i] == '\n' {
			return "", i, "the string is not terminated on its line"
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
			return "", i, "the string is not terminated on its line"
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
				problem = `\u needs one to six hex digits in braces`
				continue
			}
			r, err := strconv.ParseUint(rest[1:n], 16, 32)
			if err != nil || !utf8.ValidRune(rune(r)) {
				problem = `\u{` + rest[1:n] + `} is not a valid character`
			}
			b.WriteRune(rune(r))
			i += n + 1
		default:
			problem = fmt.Sprintf(`\%c is not an escape sequence: use \n, \t, \", \\ or \u{…}`, text[i])
		}
	}
	if !utf8.ValidString(b.String()) {
		problem = "the string is not valid UTF-8"
	}
	return b.String(), i + 1, problem
}
