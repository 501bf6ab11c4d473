package hooklang

import (
	"strings"
)

// maxShownBytes is the length at which a Step cuts the text of a value.
const maxShownBytes = 60

// maxEvalBytes is the length at which a Session cuts the text of a value.
const maxEvalBytes = 64 << 10

// Step is one step of a trace: a line that is about to be executed.
type Step struct {
	Function string
	Pos      Pos
	Vars     []string // "name = value" for each variable that is in scope and set
}

// TraceTest runs one test of a program and calls onStep before each line. found reports whether the
// program has the test; the error is the *Fault that ended it, if any.
func (p *Program) TraceTest(name string, onStep func(Step)) (found bool, err error) {
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
			onStep(s)
		}
		vm.start(p, p.InitialState(), testEnv, BackgroundLimits)
		return true, vm.guard(p, func() { vm.exec(p.funcs[t.function], nil) })
	}
	return false, nil
}

// variablesAt returns "name = value" for each variable that is in scope at a position and has a
// value.
func (f *function) variablesAt(pos Pos, locals []Value) (vars []string) {
	for _, v := range f.vars {
		inScope := v.from.Line < pos.Line && pos.Line <= v.to.Line && v.slot < len(locals)
		if !inScope || locals[v.slot].object == nil && isReference(v.valueType) {
			continue
		}
		vars = append(vars, v.name+" = "+truncate(formatPrefix(v.valueType, locals[v.slot], maxShownBytes), maxShownBytes))
	}
	return vars
}

// isReference reports whether values of a type are objects. The slot of such a variable holds no
// object until the variable is set.
func isReference(t *Type) bool { return t == typeString || t.isCollection() || t.record != nil }

// Session is the state of a REPL: the declarations and statements entered so far. Each line runs
// all statements again. Scripts are deterministic and have no other inputs, so the result is the
// same as if the run had continued. A Session is not safe for concurrent use.
type Session struct {
	decls, stmts []string
}

// Eval evaluates a line. It adds a declaration or statement to the session, and returns the value
// of an expression as text.
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
	if _, isFault := err.(*Fault); err == nil || isFault {
		return out, err
	}
	_, err = s.run(s.decls, append(s.stmts[:len(s.stmts):len(s.stmts)], line), "")
	if err == nil {
		s.stmts = append(s.stmts, line)
	}
	return "", err
}

// run runs the declarations and statements as a test, and then evaluates an expression if it is not
// empty.
func (s *Session) run(decls, stmts []string, expr string) (string, error) {
	const name = "REPL line"
	source := strings.Join(decls, "\n") + "\ntest \"" + name + "\" {\n" +
		strings.Join(stmts, "\n") + "\n"
	if expr != "" {
		source += "let result_ = " + expr + "\n"
	}
	parsed, problems := check("line", source+"}\n")
	if problems.HasErrors() {
		var errors Problems
		for _, p := range problems {
			if !p.Warning {
				errors = append(errors, p)
			}
		}
		return "", errors
	}
	p, err := Compile("line", source+"}\n")
	if err != nil {
		return "", err
	}
	vm := NewVM()
	vm.start(p, p.InitialState(), testEnv, BackgroundLimits)
	var captured []Value
	vm.capture = &captured
	fn := p.funcs[p.tests[len(p.tests)-1].function]
	if err := vm.guard(p, func() { vm.exec(fn, nil) }); err != nil || expr == "" {
		return "", err
	}
	body := parsed.tests[len(parsed.tests)-1].body.stmts
	last := body[len(body)-1].(*letStmt)
	value := captured[len(captured)-fn.slots+last.slot]
	return truncate(formatPrefix(last.value.typ(), value, maxEvalBytes), maxEvalBytes), nil
}
