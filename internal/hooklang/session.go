package hooklang

import (
	"strings"
)

// A Step is one line that was run.
type Step struct {
	Function string
	Pos      Pos
	Vars     []string // name = value, of those that are known where the line stands
}

// TraceTest runs one test of a program and tells each line before it is run.
func (p *Program) TraceTest(name string, tell func(Step)) (found bool, err error) {
	for _, t := range p.tests {
		if t.name != name {
			continue
		}
		vm := NewVM()
		vm.Trace = func(function string, pos Pos, locals []Value) {
			s := Step{Function: function, Pos: pos}
			for _, f := range p.funcs {
				if f.name != function {
					continue
				}
				for _, v := range f.vars {
					if v.from.Line < pos.Line && pos.Line <= v.to.Line && v.slot < len(locals) && !(locals[v.slot].object == nil && pointer(v.valueType)) {
						s.Vars = append(s.Vars, v.name+" = "+cut(text(v.valueType, locals[v.slot]), 60))
					}
				}
			}
			tell(s)
		}
		vm.start(p, p.State(), testEnv, Aside)
		return true, vm.guard(p, func() { vm.exec(p.funcs[t.function], nil) })
	}
	return false, nil
}

func pointer(t *Type) bool { return t == typeString || t.isCollection() || t.record != nil }

// A Session is what a REPL remembers: declarations, and statements, which are all run anew for each line. As the
// language depends on nothing else, that is the same as going on.
type Session struct {
	decls, stmts []string
}

// Do takes a line: a declaration or statement is kept, an expression's value is returned.
func (s *Session) Do(line string) (string, error) {
	line = strings.TrimSpace(line)
	if line == "" {
		return "", nil
	}
	word, _, _ := strings.Cut(line, " ")
	switch word {
	case "fn", "on", "state", "test":
		_, err := s.run(append(s.decls[:len(s.decls):len(s.decls)], line), s.stmts, "")
		if err == nil {
			s.decls = append(s.decls, line)
		}
		return "", err
	}
	out, err := s.run(s.decls, s.stmts, line)
	if _, fault := err.(*Fault); err == nil || fault {
		return out, err
	}
	_, err = s.run(s.decls, append(s.stmts[:len(s.stmts):len(s.stmts)], line), "")
	if err == nil {
		s.stmts = append(s.stmts, line)
	}
	return "", err
}

// run runs the statements in a test, and then an expression if there is one.
func (s *Session) run(decls, stmts []string, expr string) (string, error) {
	const name = "a line of the REPL"
	text1 := strings.Join(decls, "\n") + "\ntest \"" + name + "\" {\n" + strings.Join(stmts, "\n") + "\n"
	if expr != "" {
		text1 += "let result_ = " + expr + "\n"
	}
	sc, bad := check("line", text1+"}\n")
	if bad.Wrong() {
		var l Problems
		for _, p := range bad {
			if !p.Warning {
				l = append(l, p)
			}
		}
		return "", l
	}
	p, err := Compile("line", text1+"}\n")
	if err != nil {
		return "", err
	}
	vm := NewVM()
	vm.start(p, p.State(), testEnv, Aside)
	var keep []Value
	vm.capture = &keep
	fn := p.funcs[p.tests[len(p.tests)-1].function]
	if err := vm.guard(p, func() { vm.exec(fn, nil) }); err != nil || expr == "" {
		return "", err
	}
	body := sc.tests[len(sc.tests)-1].body.stmts
	last := body[len(body)-1].(*letStmt)
	return text(last.value.typ(), keep[len(keep)-fn.slots+last.slot]), nil
}
