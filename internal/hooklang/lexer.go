package hooklang

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
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

// A comment is kept for the formatter.
type comment struct {
	pos   Pos
	text  string
	alone bool // nothing stands before it on its line
}

var keywords = map[string]bool{"fn": true, "on": true, "every": true, "state": true, "let": true, "if": true, "else": true, "for": true, "in": true,
	"match": true, "case": true, "return": true, "break": true, "continue": true, "and": true, "or": true, "not": true, "true": true, "false": true,
	"test": true, "run": true, "list": true, "map": true}

var symbols = []string{"..", "==", "!=", "<=", ">=", "+=", "-=", "(", ")", "[", "]", "{", "}", ",", ":", ".", "=", "<", ">", "+", "-", "*", "/", "%"}

// lex cuts a text into tokens. A newline ends a statement where the line could end one and no round or square bracket is open.
func lex(file, text string) (toks []token, comments []comment, bad Problems) {
	line, start, depth := 1, 0, 0
	problem := func(p Pos, format string, args ...any) {
		if len(bad) < maxProblems {
			bad = append(bad, &Problem{File: file, Pos: p, Text: fmt.Sprintf(format, args...)})
		}
	}
	add := func(t token) { toks = append(toks, t) }
	for i := 0; i < len(text); {
		c, pos := text[i], Pos{line, i - start + 1}
		switch {
		case c == '\n':
			if n := len(toks); n > 0 && depth == 0 && endsStatement(toks[n-1]) {
				add(token{kind: tokenNewline, text: "end of line", pos: pos})
			}
			i++
			line, start = line+1, i
		case c == ' ' || c == '\t' || c == '\r':
			i++
		case c == '#':
			end := i
			for end < len(text) && text[end] != '\n' {
				end++
			}
			comments = append(comments, comment{pos, strings.TrimRight(text[i:end], " \t\r"), strings.TrimSpace(text[start:i]) == ""})
			i = end
		case c == '"':
			s, end, why := lexString(text, i)
			if why != "" {
				problem(pos, "%s", why)
				add(token{kind: tokenInvalid, pos: pos})
			} else {
				add(token{kind: tokenString, text: s, pos: pos})
			}
			i = end
		case c >= '0' && c <= '9':
			t, end, why := lexNumber(text, i)
			if t.pos = pos; why != "" {
				problem(pos, "%s", why)
				t.kind = tokenInt
			}
			add(t)
			i = end
		case c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z':
			end := i
			for end < len(text) && isName(text[end]) {
				end++
			}
			t := token{kind: tokenName, text: text[i:end], pos: pos}
			if keywords[t.text] {
				t.kind = tokenSymbol
			}
			add(t)
			i = end
		default:
			sign := ""
			for _, s := range symbols {
				if strings.HasPrefix(text[i:], s) {
					sign = s
					break
				}
			}
			if sign == "" {
				r, n := utf8.DecodeRuneInString(text[i:])
				problem(pos, "%q has no meaning here", r)
				i += n
				continue
			}
			switch sign {
			case "(", "[":
				depth++
			case ")", "]":
				depth = max(0, depth-1)
			case "{", "}": // a block begins anew what brackets left open: an error must not swallow the rest of the text
				if sign == "}" && depth > 0 && !inBrace(toks) {
					depth = 0
				}
			}
			add(token{kind: tokenSymbol, text: sign, pos: pos})
			i += len(sign)
		}
	}
	end := Pos{line, len(text) - start + 1}
	add(token{kind: tokenNewline, text: "end of line", pos: end})
	add(token{kind: tokenEOF, text: "end of text", pos: end})
	return toks, comments, bad
}

// inBrace tells whether the last bracket that is open is a brace: of a literal within brackets.
func inBrace(toks []token) bool {
	n := 0
	for i := len(toks) - 1; i >= 0 && i > len(toks)-2_000; i-- {
		switch toks[i].text {
		case ")", "]", "}":
			n++
		case "(", "[", "{":
			if n--; n < 0 {
				return toks[i].text == "{"
			}
		}
	}
	return false
}

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

func isName(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// lexString reads a string: escapes \n, \t, \", \\ and \u{hex}.
func lexString(text string, i int) (s string, end int, why string) {
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
				why = `\u wants one to six hex digits in braces`
				continue
			}
			r, err := strconv.ParseUint(rest[1:n], 16, 32)
			if err != nil || !utf8.ValidRune(rune(r)) {
				why = `\u{` + rest[1:n] + `} is no character`
			}
			b.WriteRune(rune(r))
			i += n + 1
		default:
			why = fmt.Sprintf(`\%c is no escape: \n, \t, \", \\ and \u{…} are`, text[i])
		}
	}
	if !utf8.ValidString(b.String()) {
		why = "the string is no UTF-8"
	}
	return b.String(), i + 1, why
}

var durationUnits = []struct {
	name string
	d    time.Duration
}{{"ms", time.Millisecond}, {"us", time.Microsecond}, {"h", time.Hour}, {"m", time.Minute}, {"s", time.Second}}

// lexNumber reads 12, 1_000, 1.5, 2e-3, or a duration as 1h30m, 250ms, 1.5s.
func lexNumber(text string, i int) (t token, end int, why string) {
	digits := func(i int) int {
		for i < len(text) && (text[i] >= '0' && text[i] <= '9' || text[i] == '_') {
			i++
		}
		return i
	}
	begin, total, parts := i, 0.0, 0
	var exact int64
	for {
		from := i
		i = digits(i)
		frac := false
		if i+1 < len(text) && text[i] == '.' && text[i+1] >= '0' && text[i+1] <= '9' {
			frac = true
			i = digits(i + 1)
		}
		plain := strings.ReplaceAll(text[from:i], "_", "")
		unit := -1
		for k, u := range durationUnits {
			if strings.HasPrefix(text[i:], u.name) && (i+len(u.name) == len(text) || !isName(text[i+len(u.name)]) || text[i+len(u.name)] >= '0' && text[i+len(u.name)] <= '9') {
				unit = k
				break
			}
		}
		if unit >= 0 {
			f, _ := strconv.ParseFloat(plain, 64)
			total += f * float64(durationUnits[unit].d)
			if n, err := strconv.ParseInt(plain, 10, 64); err == nil && !frac && n < math.MaxInt64/int64(durationUnits[unit].d) {
				exact += n * int64(durationUnits[unit].d)
			} else {
				exact += int64(math.Round(min(f*float64(durationUnits[unit].d), math.MaxInt64/4)))
			}
			i += len(durationUnits[unit].name)
			if parts++; i < len(text) && text[i] >= '0' && text[i] <= '9' && parts < 6 {
				continue
			}
			if total >= math.MaxInt64/4 {
				return token{kind: tokenDuration}, i, "the duration is too long"
			}
			t = token{kind: tokenDuration, number: exact}
			break
		}
		if parts > 0 {
			return token{kind: tokenDuration}, i, "a duration's last number has no unit: h, m, s, ms and us are"
		}
		if i < len(text) && (text[i] == 'e' || text[i] == 'E') {
			j := i + 1
			if j < len(text) && (text[j] == '-' || text[j] == '+') {
				j++
			}
			if k := digits(j); k > j {
				frac, i = true, k
			}
		}
		plain = strings.ReplaceAll(text[begin:i], "_", "")
		var err error
		if frac {
			t.kind = tokenFloat
			t.float, err = strconv.ParseFloat(plain, 64)
		} else {
			t.kind = tokenInt
			t.number, err = strconv.ParseInt(plain, 10, 64)
		}
		if err != nil {
			why = plain + " is out of range"
		}
		break
	}
	if i < len(text) && isName(text[i]) {
		j := i
		for j < len(text) && isName(text[j]) {
			j++
		}
		return t, j, fmt.Sprintf("%s is no number", text[begin:j])
	}
	t.text = text[begin:i]
	return t, i, why
}
