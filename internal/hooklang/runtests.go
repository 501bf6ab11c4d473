package hooklang

import (
	"fmt"
	"time"
)

// TestResult is the result of one test of a script.
type TestResult struct {
	Name string
	Pos  Pos
	Err  error // a *Fault, or nil if the test passed
	Fuel int64 // fuel spent
}

// testEnv is the fixed clock that tests run with: both clocks show 24 hours after zero.
var testEnv = Env{Now: int64(24 * time.Hour), Wall: 86400}

// FirstFailure runs the tests in order and returns the error of the first that fails, nil if all
// pass.
func (p *Program) FirstFailure() error {
	for _, t := range p.tests {
		single := *p
		single.tests = []compiledTest{t}
		if r := single.RunTests(); r[0].Err != nil {
			return fmt.Errorf("test %q: %w", t.name, r[0].Err)
		}
	}
	return nil
}

// RunTests runs the tests of a program in the order of the text, each from the initial state and
// with the same fixed clock.
func (p *Program) RunTests() (results []TestResult) {
	vm := NewVM()
	for _, t := range p.tests {
		vm.start(p, p.InitialState(), testEnv, BackgroundLimits)
		err := vm.guard(p, func() { vm.exec(p.funcs[t.function], nil) })
		results = append(results, TestResult{t.name, t.pos, err, BackgroundLimits.Fuel - vm.fuel})
	}
	return results
}

// runInTest executes a run expression of a test and returns the list of the advice that the handler
// gave. The handler runs within its own limits and starts from the state that the previous run
// left. The fuel that it spends is charged to the test as well.
func (vm *VM) runInTest(instr instruction, event Value) Value {
	var h *handler
	for _, pt := range Points {
		if candidate := vm.program.handlers[pt.Name]; candidate != nil && candidate.function == int(instr.a) {
			h = candidate
		}
	}
	limits := BackgroundLimits
	if h.point.Inline {
		limits = InlineLimits
	}
	nested := NewVM()
	nested.Trace = vm.Trace
	res, err := nested.runHandler(vm.program, h, event, &State{vm.program, vm.state}, vm.env, limits)
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

// runHandler runs a handler of a program for an event.
func (vm *VM) runHandler(
	p *Program, h *handler, event Value, state *State, env Env, limits Limits,
) (Result, error) {
	vm.start(p, state, env, limits)
	err := vm.guard(p, func() {
		vm.exec(p.funcs[h.function], []Value{event})
		vm.freezeState()
	})
	return Result{Advice: vm.advice, State: vm.resultState(state), Fuel: limits.Fuel - vm.fuel}, err
}
