package hooklang

import "strings"

// Format returns a script in the canonical format: tabs for indentation, one statement per line,
// and a blank line only where the source has at least one. Comments are kept. A script that cannot
// be parsed is returned unchanged, with its problems as the error.
func Format(file, text string) (string, error) {
	s, problems := parse(file, text)
	if len(problems) > 0 {
		return text, problems
	}
	f := &formatter{comments: s.comments}
	for i, d := range s.order {
		switch d := d.(type) {
		case *stateDecl:
			f.startLine(d.pos, i > 0)
			f.write("state ", d.name, " ", d.declaredType.text(), " = ", f.expr(d.init, 0))
		case *funcDecl:
			f.startLine(d.pos, i > 0)
			if d.point != nil {
				f.write("on ", d.name, "(", d.params[0].name, ")")
				if d.interval > 0 {
					f.write(" every ", durationText(d.interval))
				}
			} else {
				f.write("fn ", d.name, "(")
				for i, p := range d.params {
					if i > 0 {
						f.write(", ")
					}
					f.write(p.name, " ", p.declaredType.text())
				}
				f.write(")")
				if d.declaredResult != nil {
					f.write(" ", d.declaredResult.text())
				}
			}
			f.write(" ")
			f.block(d.body)
		case *testDecl:
			f.startLine(d.pos, i > 0)
			f.write("test ", quote(d.name), " ")
			f.block(d.body)
		}
	}
	f.startLine(Pos{Line: 1 << 30}, true)
	return strings.TrimSpace(f.out.String()) + "\n", nil
}

// text returns the type in the syntax of the language.
func (n *typeNode) text() string {
	switch {
	case n.name == "list" && n.elem != nil:
		return "list[" + n.elem.text() + "]"
	case n.name == "map" && n.key != nil:
		return "map[" + n.key.text() + "]" + n.elem.text()
	}
	return n.name
}

// formatter writes a script in the canonical format. Each comment is written before the code that
// follows it in the source.
type formatter struct {
	out        strings.Builder
	comments   []comment
	indent     int
	lastLine   int // the source line that was written last
	blockStart bool
}

func (f *formatter) write(parts ...string) {
	for _, s := range parts {
		f.out.WriteString(s)
	}
}

// newline begins an output line, after a blank line if blankLine is set and the line does not begin
// a block.
func (f *formatter) newline(blankLine bool) {
	if f.out.Len() == 0 {
		return
	}
	f.out.WriteByte('\n')
	if blankLine && !f.blockStart {
		f.out.WriteByte('\n')
	}
	f.blockStart = false
	f.write(strings.Repeat("\t", f.indent))
}

// startLine writes the comments that precede a position, and begins the output line for it.
func (f *formatter) startLine(pos Pos, blankLine bool) {
	for len(f.comments) > 0 && f.comments[0].pos.before(pos) {
		c := f.comments[0]
		f.comments = f.comments[1:]
		if !c.ownLine && f.lastLine > 0 {
			f.write(" ", c.text)
			f.lastLine = c.pos.Line
			continue
		}
		f.newline(c.pos.Line > f.lastLine+1)
		f.write(c.text)
		f.lastLine = c.pos.Line
	}
	if pos.Line < 1<<30 {
		f.newline(blankLine && pos.Line > f.lastLine+1)
		f.lastLine = pos.Line
	}
}

func (f *formatter) block(b *block) {
	if len(b.stmts) == 0 && (len(f.comments) == 0 || f.comments[0].pos.Line > b.end.Line) {
		f.write("{}")
		f.lastLine = b.end.Line
		return
	}
	f.write("{")
	f.lastLine = b.pos.Line
	f.indent++
	f.blockStart = true
	for _, s := range b.stmts {
		f.startLine(s.at(), true)
		f.stmt(s)
	}
	f.closeBlock(b.end)
}

// closeBlock writes the comments that precede a closing brace, and the brace.
func (f *formatter) closeBlock(end Pos) {
	for len(f.comments) > 0 && f.comments[0].pos.Line < end.Line {
		c := f.comments[0]
		f.comments = f.comments[1:]
		if c.ownLine {
			f.newline(c.pos.Line > f.lastLine+1)
			f.write(c.text)
		} else {
			f.write(" ", c.text)
		}
		f.lastLine = c.pos.Line
	}
	f.indent--
	f.blockStart = true
	f.newline(false)
	f.blockStart = false
	f.write("}")
	f.lastLine = end.Line
}

func (f *formatter) stmt(s stmt) {
	switch s := s.(type) {
	case *letStmt:
		f.write("let ", s.name)
		if s.declaredType != nil {
			f.write(" ", s.declaredType.text())
		}
		f.write(" = ", f.expr(s.value, 0))
	case *assignStmt:
		f.write(s.name)
		if s.index != nil {
			f.write("[", f.expr(s.index, 0), "]")
		}
		f.write(" ", s.op, "= ", f.expr(s.value, 0))
	case *ifStmt:
		f.ifElse(s)
	case *forStmt:
		f.loop(s)
	case *matchStmt:
		f.match(s)
	case *returnStmt:
		f.write("return")
		if s.value != nil {
			f.write(" ", f.expr(s.value, 0))
		}
	case *branchStmt:
		f.write(s.keyword)
	case *exprStmt:
		f.write(f.expr(s.value, 0))
	}
}

func (f *formatter) ifElse(s *ifStmt) {
	f.write("if ", f.headerExpr(s.cond), " ")
	f.block(s.then)
	if s.otherwise != nil {
		f.write(" else ")
		if b, ok := s.otherwise.(*block); ok {
			f.block(b)
		} else {
			f.stmt(s.otherwise)
		}
	}
}

func (f *formatter) loop(s *forStmt) {
	f.write("for ")
	if s.key != "" {
		f.write(s.key, ", ")
	}
	f.write(s.name, " in ", f.headerExpr(s.from))
	if s.to != nil {
		f.write("..", f.headerExpr(s.to))
	}
	f.write(" ")
	f.block(s.body)
}

func (f *formatter) match(s *matchStmt) {
	f.write("match ", f.headerExpr(s.value), " {")
	f.lastLine = s.pos.Line
	f.indent++
	f.blockStart = true
	for _, c := range s.cases {
		f.startLine(c.values[0].at(), false)
		f.write("case ")
		for i, v := range c.values {
			if i > 0 {
				f.write(", ")
			}
			f.write(f.headerExpr(v))
		}
		f.write(" ")
		f.block(c.body)
	}
	end := f.lastLine + 1
	if s.otherwise != nil {
		f.startLine(s.otherwise.pos, false)
		f.write("else ")
		f.block(s.otherwise)
		end = f.lastLine + 1
	}
	f.closeBlock(Pos{Line: end})
	f.lastLine = end
}

// headerExpr formats an expression that precedes the brace of a block. A record literal needs
// parentheses there, or its brace would begin the block.
func (f *formatter) headerExpr(e expr) string {
	text := f.expr(e, 0)
	if containsBareRecord(e) {
		return "(" + text + ")"
	}
	return text
}

// containsBareRecord reports whether an expression contains a record literal outside of all
// brackets.
func containsBareRecord(e expr) bool {
	switch e := e.(type) {
	case *recordExpr:
		return true
	case *unaryExpr:
		return containsBareRecord(e.operand)
	case *binaryExpr:
		return containsBareRecord(e.left) || containsBareRecord(e.right)
	case *fieldExpr:
		return containsBareRecord(e.record)
	case *indexExpr:
		return containsBareRecord(e.collection)
	}
	return false
}

// operatorPrecedence returns the precedence level of a binary operator, counted from 1 for the
// weakest.
func operatorPrecedence(op string) int {
	for i, l := range precedence {
		for _, o := range l {
			if o == op {
				return i + 1
			}
		}
	}
	return 0
}

// expr formats an expression, in parentheses if its precedence is below minPrecedence.
func (f *formatter) expr(e expr, minPrecedence int) string {
	switch e := e.(type) {
	case *literalExpr:
		if e.valueType == typeString {
			return quote(e.value.str())
		}
		return e.text
	case *nameExpr:
		return e.name
	case *unaryExpr:
		return f.unary(e, minPrecedence)
	case *binaryExpr:
		return f.binary(e, minPrecedence)
	case *listExpr:
		if e.literalType != nil {
			return e.literalType.text() + "{" + f.list(e.items) + "}"
		}
		return "[" + f.list(e.items) + "]"
	case *mapExpr:
		var parts []string
		for i := range e.keys {
			parts = append(parts, f.expr(e.keys[i], 0)+": "+f.expr(e.values[i], 0))
		}
		return e.literalType.text() + "{" + strings.Join(parts, ", ") + "}"
	case *recordExpr:
		var parts []string
		for i := range e.fields {
			parts = append(parts, e.fields[i]+": "+f.expr(e.values[i], 0))
		}
		return e.name + "{" + strings.Join(parts, ", ") + "}"
	case *indexExpr:
		return f.expr(e.collection, 7) + "[" + f.expr(e.index, 0) + "]"
	case *fieldExpr:
		return f.expr(e.record, 7) + "." + e.name
	case *callExpr:
		return e.name + "(" + f.list(e.args) + ")"
	case *runExpr:
		return "run " + e.point + "(" + f.expr(e.arg, 0) + ")"
	}
	return "?"
}

func (f *formatter) unary(e *unaryExpr, minPrecedence int) string {
	level, text := 6, "-"
	if e.op == "not" {
		level, text = 3, "not "
	}
	text += f.expr(e.operand, level)
	if level < minPrecedence {
		return "(" + text + ")"
	}
	return text
}

func (f *formatter) binary(e *binaryExpr, minPrecedence int) string {
	n := operatorPrecedence(e.op)
	leftPrecedence := n
	if n == 3 {
		leftPrecedence++ // comparisons cannot be chained
	}
	text := f.expr(e.left, leftPrecedence) + " " + e.op + " " + f.expr(e.right, n+1)
	if n < minPrecedence {
		return "(" + text + ")"
	}
	return text
}

// list formats expressions, separated by commas.
func (f *formatter) list(l []expr) string {
	var parts []string
	for _, e := range l {
		parts = append(parts, f.expr(e, 0))
	}
	return strings.Join(parts, ", ")
}
