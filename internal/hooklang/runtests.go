package hooklang

import (
	"fmt"
	"time"
)

// TestResult is the end of one test of a script.
type TestResult struct {
	Name string
	Pos  Pos
	Err  error // a *Fault, or nil
	Fuel int64
}

// testEnv is the clock of tests: a day's begin.
var testEnv = Env{Now: int64(24 * time.Hour), Wall: 86400}

// FirstFailure runs the tests up to the first that fails.
func (p *Program) FirstFailure() error {
	for _, t := range p.tests {
		one := *p
		one.tests = []test{t}
		if r := one.Test(); r[0].Err != nil {
			return fmt.Errorf("test %q: %w", t.name, r[0].Err)
		}
	}
	return nil
}

// Test runs the tests of a program in the order of the text, each from the first state. Their clock stands at a day's begin.
func (p *Program) Test() (l []TestResult) {
	vm := NewVM()
	for _, t := range p.tests {
		vm.start(p, p.State(), testEnv, Aside)
		err := vm.guard(p, func() { vm.exec(p.funcs[t.function], nil) })
		l = append(l, TestResult{t.name, t.pos, err, Aside.Fuel - vm.fuel})
	}
	return l
}
