package hooklang

import (
	"fmt"
	"math"
	"slices"
)

// Env is the clock that a run sees. It stays the same for the whole run.
type Env struct {
	Now  int64 // clock of the step, in nanoseconds
	Wall int64 // wall-clock time, in seconds since 1970
}

// Result is the outcome of a run.
type Result struct {
	Advice []Advice
	State  *State // state after the run
	Fuel   int64  // fuel spent
	Memory int64  // bytes allocated
}

// objectBytes is the memory charged for a string, list, map or record in addition to its content.
const objectBytes = 96

// VM runs programs, one run at a time. It is not safe for concurrent use. It reuses the memory of
// its stack from run to run.
type VM struct {
	// Trace, if set, is called before the first instruction of each line.
	Trace      func(function string, pos Pos, locals []Value)
	lastTraced Pos

	program *Program
	limits  Limits
	env     Env

	fuel      int64 // fuel left
	memory    int64 // bytes left
	nextCheck int64 // checkLimits is called once fuel is below this value

	// stack holds the slots of each frame, followed by the frame's operands.
	stack  []Value
	frames []frame

	state   []Value // values of the state variables; a private copy once written is set
	written []bool  // which state variables the run has changed; nil if none
	advice  []Advice
	capture *[]Value // if set, receives the slots of each function that returns without a value
}

// frame is the activation record of a function call.
type frame struct {
	function *function
	pc       int // index of the next instruction; up to date only where a fault or a call needs it
	base     int // index of its first slot on the stack
}

// NewVM returns a VM that is ready to run programs.
func NewVM() *VM { return &VM{stack: make([]Value, 0, 256)} }

// faultPanic is the panic value that ends a run with a fault. guard recovers it.
type faultPanic struct{ fault *Fault }

// fault ends the run with a fault.
func (vm *VM) fault(kind FaultKind, format string, args ...any) {
	panic(faultPanic{&Fault{Kind: kind, Text: fmt.Sprintf(format, args...)}})
}

// chargeFuel charges the additional fuel of an operation that costs more than one instruction.
func (vm *VM) chargeFuel(n int64) {
	if vm.fuel -= n; vm.fuel < vm.nextCheck {
		vm.checkLimits()
	}
}

// stopInterval is the number of instructions between two calls of Limits.Stop.
const stopInterval = 4096

// checkLimits ends a run that is out of fuel or that Limits.Stop ends.
func (vm *VM) checkLimits() {
	if vm.fuel < 0 {
		vm.fault(FaultFuel, "the run exceeds %d instructions", vm.limits.Fuel)
	}
	if vm.limits.Stop != nil && vm.limits.Stop() {
		vm.fault(FaultStopped, "the host stopped the run")
	}
	vm.nextCheck = max(0, vm.fuel-stopInterval)
}

// chargeMemory charges for an allocation of n bytes.
func (vm *VM) chargeMemory(n int64) {
	if vm.memory -= n; vm.memory < 0 {
		vm.fault(FaultMemory, "the run allocates more than %d bytes", vm.limits.Memory)
	}
}

// checkSize checks the size of a string, list or map against the limit.
func (vm *VM) checkSize(n int) {
	if n > vm.limits.Size {
		vm.fault(FaultSize, "size %d exceeds the limit of %d for a string, list or map", n, vm.limits.Size)
	}
}

// newString returns a new string value and charges for it.
func (vm *VM) newString(s string) Value {
	vm.checkSize(len(s))
	vm.chargeFuel(int64(len(s)) / 16)
	vm.chargeMemory(objectBytes + int64(len(s)))
	return strValue(s)
}

// chargeList checks the size of a new list of n entries and charges for it.
func (vm *VM) chargeList(n int64) {
	vm.checkSize(int(n))
	vm.chargeFuel(n / 4)
	vm.chargeMemory(objectBytes + 16*n)
}

// cloneCollection returns a shallow copy of a list or map and charges for it. The entries are
// marked as shared.
func (vm *VM) cloneCollection(o *object) *object {
	vm.chargeList(int64(len(o.items) + len(o.keys)))
	c := &object{collection: true, items: slices.Clone(o.items), keys: slices.Clone(o.keys)}
	for _, e := range c.items {
		e.share()
	}
	return c
}

// sliceBounds returns the bounds of a slice, the second and third argument of a builtin, after
// checking them against the length n of the list or string.
func (vm *VM) sliceBounds(args []Value, n int) (from, to int) {
	if args[1].bits < 0 || args[2].bits < args[1].bits || args[2].bits > int64(n) {
		vm.fault(FaultIndex, "slice bounds %d to %d out of range with length %d", args[1].bits, args[2].bits, n)
	}
	return int(args[1].bits), int(args[2].bits)
}

// guard runs f on an empty stack and returns the fault that ended it, with file, position and call
// stack, or nil.
func (vm *VM) guard(p *Program, f func()) (err error) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		panicked, ok := r.(faultPanic)
		if !ok { // a bug in the VM must not crash the gateway
			panicked.fault = &Fault{Kind: FaultInternal, Text: fmt.Sprint(r)}
		}
		panicked.fault.File = p.File
		for i := len(vm.frames) - 1; i >= 0; i-- {
			frame := vm.frames[i]
			if len(panicked.fault.Stack) == 0 && frame.pc > 0 && frame.pc <= len(frame.function.positions) {
				panicked.fault.Pos = frame.function.positions[frame.pc-1]
			}
			if len(panicked.fault.Stack) == 8 {
				panicked.fault.Stack = append(panicked.fault.Stack, "…")
				break
			}
			panicked.fault.Stack = append(panicked.fault.Stack, frame.function.name)
		}
		err = panicked.fault
	}()
	vm.frames, vm.stack = vm.frames[:0], vm.stack[:0]
	f()
	return nil
}

// Run runs the handler of a point for an event. It panics if the event is not of the point's type.
// The error is a *Fault; the Result then has the fuel and memory spent and the unchanged state.
func (vm *VM) Run(
	p *Program, point string, e Event, state *State, env Env, limits Limits,
) (Result, error) {
	h := p.handlers[point]
	if h == nil {
		return Result{State: state}, nil
	}
	record, fields := e.values()
	if record != h.point.Record {
		panic(fmt.Sprintf("hooklang: the event of point %s is a %s, not a %s",
			point, h.point.Record.Name, record.Name))
	}
	vm.start(p, state, env, limits)
	err := vm.guard(p, func() {
		vm.exec(p.funcs[h.function], []Value{{object: &object{items: fields}}})
		vm.freezeState()
	})
	res := Result{Fuel: limits.Fuel - vm.fuel, Memory: limits.Memory - vm.memory, State: state}
	if err != nil {
		return res, err
	}
	res.Advice = vm.advice
	res.State = vm.resultState(state)
	return res, nil
}

// start prepares the VM for a run.
func (vm *VM) start(p *Program, state *State, env Env, limits Limits) {
	vm.program = p
	vm.env = env
	vm.limits = limits
	vm.advice = nil
	vm.fuel = limits.Fuel
	vm.memory = limits.Memory
	vm.lastTraced = Pos{}
	vm.nextCheck = max(0, vm.fuel-stopInterval)
	vm.state = state.values
	vm.written = nil
}

// freezeState makes the changed state variables immutable, so that other goroutines may read them,
// and charges for the traversal. It bounds them, so that a state can be saved, shown and compared.
func (vm *VM) freezeState() {
	for i, changed := range vm.written {
		if changed {
			vm.chargeTree(vm.state[i], 0)
			vm.state[i].freeze()
		}
	}
}

// resultState returns the state after a run that began with the state before.
func (vm *VM) resultState(before *State) *State {
	if vm.written == nil {
		return before
	}
	return &State{vm.program, vm.state}
}

// setState sets a state variable. The first change copies the state, which other runs may share.
func (vm *VM) setState(i int32, v Value) {
	if vm.written == nil {
		vm.written = make([]bool, len(vm.state))
		vm.state = slices.Clone(vm.state)
	}
	vm.state[i], vm.written[i] = v, true
}

// ownedCollection returns the list or map of a variable for modification. If the collection is
// shared, it first replaces the variable's value by a copy.
func (vm *VM) ownedCollection(base int, instr instruction) *object {
	if instr.b == 1 {
		v := vm.state[instr.a]
		if v.object.shares < 2 && vm.written != nil && vm.written[instr.a] {
			return v.object
		}
		o := vm.cloneCollection(v.object)
		o.shares = 1
		vm.setState(instr.a, Value{object: o})
		return o
	}
	v := vm.stack[base+int(instr.a)]
	if v.object.shares < 2 {
		return v.object
	}
	o := vm.cloneCollection(v.object)
	o.shares = 1
	vm.stack[base+int(instr.a)] = Value{object: o}
	return o
}

// pushFrame starts a call whose arguments are on the stack and returns the index of its first slot.
func (vm *VM) pushFrame(fn *function, args int) int {
	if len(vm.frames) >= vm.limits.Depth {
		vm.fault(FaultDepth, "the call depth exceeds %d", vm.limits.Depth)
	}
	base := len(vm.stack) - args
	need := base + fn.slots + fn.maxOperands
	if need > cap(vm.stack) {
		vm.stack = slices.Grow(vm.stack, need-len(vm.stack))
	}
	vm.stack = vm.stack[:base+fn.slots]
	clear(vm.stack[base+args:])
	for i := base; i < base+args; i++ {
		vm.stack[i].share()
	}
	vm.frames = append(vm.frames, frame{function: fn, base: base})
	return base
}

func (vm *VM) pop() Value {
	v := vm.stack[len(vm.stack)-1]
	vm.stack = vm.stack[:len(vm.stack)-1]
	return v
}

func (vm *VM) push(v Value) { vm.stack = append(vm.stack, v) }

// finite returns a float as a value, or ends the run if it is not finite.
func (vm *VM) finite(x float64) Value {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		vm.fault(FaultOverflow, "the result is not a finite number")
	}
	return floatValue(x + 0) // adding 0 turns -0 into 0, so that equal values have the same text
}
