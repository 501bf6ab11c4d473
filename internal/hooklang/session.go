package hooklang

import (
	"strings"
)

// maxShownValue is how many bytes of a value a Step shows.
const maxShownValue = 60

// Step is one line that is about to be run.
type Step struct {
	Function string
	Pos      Pos
	Vars     []string // name = value, of those that are known there and set
}

// TraceTest runs one test of a program and calls tell for each line before it is run. The error is the *Fault that
// ended it.
func (p *Program) TraceTest(name string, tell func(Step)) (found bool, err error) {
	for _, t := range p.tests {
		if t.name != name {
			continue
		}
		vm := NewVM()
		vm.Trace = func(function string, pos Pos, locals []Value) {
			s := Step{Function: function, Pos: pos}
			for _, f := range p.funcs {
				if f.name == function {
					s.Vars = append(s.Vars, f.variablesAt(pos, locals)...)
				}
			}
			tell(s)
		}
		vm.start(p, p.InitialState(), testEnv, BackgroundLimits)
		return true, vm.guard(p, func() { vm.exec(p.funcs[t.function], nil) })
	}
	return false, nil
}

// variablesAt returns the variables that are known at a place and have a value, as name = value.
func (f *function) variablesAt(pos Pos, locals []Value) (vars []string) {
	for _, v := range f.vars {
		known := v.from.Line < pos.Line && pos.Line <= v.to.Line && v.slot < len(locals)
		if !known || locals[v.slot].object == nil && isReference(v.valueType) {
			continue
		}
		vars = append(vars, v.name+" = "+cut(text(v.valueType, locals[v.slot]), maxShownValue))
	}
	return vars
}

// isReference reports whether a value of a type is an object, once it is set.
func isReference(t *Type) bool { return t == typeString || t.isCollection() || t.record != nil }

// Session is what a REPL remembers: declarations, and statements, which are all run anew for each line. As a script
// depends on nothing else, that is the same as going on. It is not safe for concurrent use.
type Session struct {
	decls, stmts []string
}

// Eval takes a line: a declaration or statement is remembered, an expression's value is returned.
func (s *Session) Eval(line string) (string, error) {
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
	if bad.HasErrors() {
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
	vm.start(p, p.InitialState(), testEnv, BackgroundLimits)
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
