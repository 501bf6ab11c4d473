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
		if r := one.RunTests(); r[0].Err != nil {
			return fmt.Errorf("test %q: %w", t.name, r[0].Err)
		}
	}
	return nil
}

// RunTests runs the tests of a program in the order of the text, each from the first state. Their clock is that of a
// day's begin.
func (p *Program) RunTests() (l []TestResult) {
	vm := NewVM()
	for _, t := range p.tests {
		vm.start(p, p.InitialState(), testEnv, BackgroundLimits)
		err := vm.guard(p, func() { vm.exec(p.funcs[t.function], nil) })
		l = append(l, TestResult{t.name, t.pos, err, BackgroundLimits.Fuel - vm.fuel})
	}
	return l
}

// runInTest carries out "run" in a test: the handler has fuel of its own, its state is that of the run before, and
// its advice is returned.
func (vm *VM) runInTest(in instruction, event Value) Value {
	var h *handler
	for _, pt := range Points {
		if k := vm.program.handlers[pt.Name]; k != nil && k.function == int(in.a) {
			h = k
		}
	}
	lim := BackgroundLimits
	if h.point.Inline {
		lim = InlineLimits
	}
	in2 := NewVM()
	in2.Trace = vm.Trace
	res, err := in2.runHandler(vm.program, h, event, &State{vm.program, vm.state}, vm.env, lim)
	if err != nil {
		panic(faultPanic{err.(*Fault)})
	}
	vm.chargeFuel(res.Fuel)
	vm.state = res.State.values
	o := &object{collection: true}
	for _, a := range res.Advice {
		o.items = append(o.items, a.value())
	}
	vm.chargeList(int64(len(o.items)))
	return Value{object: o}
}

func (vm *VM) runHandler(p *Program, h *handler, event Value, st *State, env Env, lim Limits) (Result, error) {
	vm.start(p, st, env, lim)
	err := vm.guard(p, func() {
		vm.exec(p.funcs[h.function], []Value{event})
		vm.freezeState()
	})
	return Result{Advice: vm.advice, State: vm.resultState(st), Fuel: lim.Fuel - vm.fuel}, err
}
