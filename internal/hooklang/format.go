package hooklang

import "strings"

// Format returns a text in the one form that all scripts have: tabs, one statement a line, one empty line between
// declarations at the most where the text has one. Comments stay. A text that cannot be read is returned with its
// problems.
func Format(file, text string) (string, error) {
	s, bad := parse(file, text)
	if len(bad) > 0 {
		return text, bad
	}
	f := &formatter{comments: s.comments}
	for i, d := range s.order {
		switch d := d.(type) {
		case *stateDecl:
			f.begin(d.pos, i > 0)
			f.write("state ", d.name, " ", d.declaredType.text(), " = ", f.expr(d.init, 0))
		case *funcDecl:
			f.begin(d.pos, i > 0)
			if d.point != nil {
				f.write("on ", d.name, "(", d.params[0].name, ")")
				if d.interval > 0 {
					f.write(" every ", durText(d.interval))
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
			f.begin(d.pos, i > 0)
			f.write("test ", quote(d.name), " ")
			f.block(d.body)
		}
	}
	f.begin(Pos{Line: 1 << 30}, true)
	return strings.TrimSpace(f.out.String()) + "\n", nil
}

func (n *typeNode) text() string {
	switch {
	case n.name == "list" && n.elem != nil:
		return "list[" + n.elem.text() + "]"
	case n.name == "map" && n.key != nil:
		return "map[" + n.key.text() + "]" + n.elem.text()
	}
	return n.name
}

// formatter writes a script. Comments are written before what they precede in the text.
type formatter struct {
	out        strings.Builder
	comments   []comment
	indent     int
	line       int // of the text, last written
	blockStart bool
}

func (f *formatter) write(l ...string) {
	for _, s := range l {
		f.out.WriteString(s)
	}
}

func (f *formatter) newline(gap bool) {
	if f.out.Len() == 0 {
		return
	}
	f.out.WriteByte('\n')
	if gap && !f.blockStart {
		f.out.WriteByte('\n')
	}
	f.blockStart = false
	f.write(strings.Repeat("\t", f.indent))
}

// begin writes the comments before a place, and begins its line.
func (f *formatter) begin(pos Pos, gap bool) {
	for len(f.comments) > 0 && f.comments[0].pos.before(pos) {
		c := f.comments[0]
		f.comments = f.comments[1:]
		if !c.alone && f.line > 0 {
			f.write(" ", c.text)
			f.line = c.pos.Line
			continue
		}
		f.newline(c.pos.Line > f.line+1)
		f.write(c.text)
		f.line = c.pos.Line
	}
	if pos.Line < 1<<30 {
		f.newline(gap && pos.Line > f.line+1)
		f.line = pos.Line
	}
}

func (f *formatter) block(b *block) {
	if len(b.stmts) == 0 && (len(f.comments) == 0 || f.comments[0].pos.Line > b.end.Line) {
		f.write("{}")
		f.line = b.end.Line
		return
	}
	f.write("{")
	f.line = b.pos.Line
	f.indent++
	f.blockStart = true
	for _, s := range b.stmts {
		f.begin(s.at(), true)
		f.stmt(s)
	}
	f.close(b.end)
}

// close writes the comments before a closing brace, and the brace.
func (f *formatter) close(end Pos) {
	for len(f.comments) > 0 && f.comments[0].pos.Line < end.Line {
		c := f.comments[0]
		f.comments = f.comments[1:]
		if c.alone {
			f.newline(c.pos.Line > f.line+1)
			f.write(c.text)
		} else {
			f.write(" ", c.text)
		}
		f.line = c.pos.Line
	}
	f.indent--
	f.blockStart = true
	f.newline(false)
	f.blockStart = false
	f.write("}")
	f.line = end.Line
}

func (f *formatter) stmt(s stmt) {
	switch s := s.(type) {
	case *letStmt:
		f.write("let ", s.name)
		if s.declaredType != nil {
			f.write(" ", s.declaredType.text())
		}
		f.write(" = ", f.expr(s.value, 0))
	case *setStmt:
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
	f.write("if ", f.header(s.cond), " ")
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
	f.write(s.name, " in ", f.header(s.from))
	if s.to != nil {
		f.write("..", f.header(s.to))
	}
	f.write(" ")
	f.block(s.body)
}

func (f *formatter) match(s *matchStmt) {
	f.write("match ", f.header(s.value), " {")
	f.line = s.pos.Line
	f.indent++
	f.blockStart = true
	for _, c := range s.cases {
		f.begin(c.values[0].at(), false)
		f.write("case ")
		for i, v := range c.values {
			if i > 0 {
				f.write(", ")
			}
			f.write(f.header(v))
		}
		f.write(" ")
		f.block(c.body)
	}
	end := f.line + 1
	if s.otherwise != nil {
		f.begin(s.otherwise.pos, false)
		f.write("else ")
		f.block(s.otherwise)
		end = f.line + 1
	}
	f.close(Pos{Line: end})
	f.line = end
}

// header writes an expression before a block's brace: a record's literal needs brackets there.
func (f *formatter) header(e expr) string {
	s := f.expr(e, 0)
	if bareRecord(e) {
		return "(" + s + ")"
	}
	return s
}

func bareRecord(e expr) bool {
	switch e := e.(type) {
	case *recordExpr:
		return true
	case *unaryExpr:
		return bareRecord(e.operand)
	case *binaryExpr:
		return bareRecord(e.left) || bareRecord(e.right)
	case *fieldExpr:
		return bareRecord(e.record)
	case *indexExpr:
		return bareRecord(e.collection)
	}
	return false
}

func strength(op string) int {
	for i, l := range precedence {
		for _, o := range l {
			if o == op {
				return i + 1
			}
		}
	}
	return 0
}

// expr writes an expression, in brackets if it binds weaker than least, a level of precedence counted from 1.
func (f *formatter) expr(e expr, least int) string {
	switch e := e.(type) {
	case *literalExpr:
		if e.valueType == typeString {
			return quote(e.value.str())
		}
		return e.text
	case *nameExpr:
		return e.name
	case *unaryExpr:
		return f.unary(e, least)
	case *binaryExpr:
		return f.binary(e, least)
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

func (f *formatter) unary(e *unaryExpr, least int) string {
	n, s := 6, "-"
	if e.op == "not" {
		n, s = 3, "not "
	}
	s += f.expr(e.operand, n)
	if n < least {
		return "(" + s + ")"
	}
	return s
}

func (f *formatter) binary(e *binaryExpr, least int) string {
	n := strength(e.op)
	left := n
	if n == 3 {
		left++ // comparisons do not chain
	}
	s := f.expr(e.left, left) + " " + e.op + " " + f.expr(e.right, n+1)
	if n < least {
		return "(" + s + ")"
	}
	return s
}

// list writes expressions with commas between them.
func (f *formatter) list(l []expr) string {
	var parts []string
	for _, e := range l {
		parts = append(parts, f.expr(e, 0))
	}
	return strings.Join(parts, ", ")
}
