package hooklang

import (
	"fmt"
	"math"
	"slices"
)

// Env is what a run sees of time.
type Env struct {
	Now  int64 // the step's clock, nanoseconds
	Wall int64 // time of day, seconds since 1970
}

// Result is the outcome of a run.
type Result struct {
	Advice []Advice
	State  *State // as the run leaves it
	Fuel   int64  // spent
	Memory int64
}

// objectBytes is what a string, list, map or record counts as memory, besides its content.
const objectBytes = 96

// VM runs programs, one run at a time: it is not safe for concurrent use. It keeps the memory of its stack from run
// to run.
type VM struct {
	// Trace, where set, is called before the first instruction of each line that is run.
	Trace      func(function string, pos Pos, locals []Value)
	lastTraced Pos

	program *Program
	limits  Limits
	env     Env

	fuel      int64 // instructions left
	memory    int64 // bytes left
	nextCheck int64 // fuel at which limits.Stop is called next

	// Each frame has its slots on the stack, and its operands above them.
	stack  []Value
	frames []frame

	state   []Value // of the program; the run has its own copy once written is set
	written []bool  // which state variables the run has changed; nil: none
	advice  []Advice
	capture *[]Value // where set, gets the slots of the functions that return without a value
}

// frame is a call that has not returned.
type frame struct {
	function *function
	pc       int // of the next instruction; up to date only where a fault or a call needs it
	base     int // index of its first slot on the stack
}

// NewVM returns a VM.
func NewVM() *VM { return &VM{stack: make([]Value, 0, 256)} }

// faultPanic is the panic by which a run ends with a fault; guard recovers it.
type faultPanic struct{ f *Fault }

func (vm *VM) fault(kind FaultKind, format string, args ...any) {
	panic(faultPanic{&Fault{Kind: kind, Text: fmt.Sprintf(format, args...)}})
}

// chargeFuel charges for what costs more than one instruction.
func (vm *VM) chargeFuel(n int64) {
	if vm.fuel -= n; vm.fuel < vm.nextCheck {
		vm.checkLimits()
	}
}

// stopInterval is how many instructions are run between two calls of Limits.Stop.
const stopInterval = 4096

// checkLimits ends a run that is out of fuel, or whose time is over.
func (vm *VM) checkLimits() {
	if vm.fuel < 0 {
		vm.fault(FaultFuel, "more than %d instructions", vm.limits.Fuel)
	}
	if vm.limits.Stop != nil && vm.limits.Stop() {
		vm.fault(FaultStopped, "its time is up")
	}
	vm.nextCheck = max(0, vm.fuel-stopInterval)
}

// chargeMemory charges for memory.
func (vm *VM) chargeMemory(n int64) {
	if vm.memory -= n; vm.memory < 0 {
		vm.fault(FaultMemory, "more than %d bytes", vm.limits.Memory)
	}
}

// checkSize checks the size of a string, list or map.
func (vm *VM) checkSize(n int) {
	if n > vm.limits.Size {
		vm.fault(FaultSize, "%d, over the %d that a string, list or map may have", n, vm.limits.Size)
	}
}

// newString makes a string, and charges for it.
func (vm *VM) newString(s string) Value {
	vm.checkSize(len(s))
	vm.chargeFuel(int64(len(s)) / 16)
	vm.chargeMemory(objectBytes + int64(len(s)))
	return strValue(s)
}

// chargeList charges for a list of n entries.
func (vm *VM) chargeList(n int64) {
	vm.checkSize(int(n))
	vm.chargeFuel(n / 4)
	vm.chargeMemory(objectBytes + 16*n)
}

// cloneCollection copies a list or map, and charges for it. Entries are shared.
func (vm *VM) cloneCollection(o *object) *object {
	vm.chargeList(int64(len(o.items) + len(o.keys)))
	c := &object{collection: true, items: slices.Clone(o.items), keys: slices.Clone(o.keys)}
	for _, e := range c.items {
		e.share()
	}
	return c
}

// sliceBounds checks the bounds of a slice of n entries or bytes, the arguments after the first.
func (vm *VM) sliceBounds(a []Value, n int) (from, to int) {
	if a[1].bits < 0 || a[2].bits < a[1].bits || a[2].bits > int64(n) {
		vm.fault(FaultIndex, "slice %d to %d of %d", a[1].bits, a[2].bits, n)
	}
	return int(a[1].bits), int(a[2].bits)
}

// guard runs f and returns the fault that ended it.
func (vm *VM) guard(p *Program, f func()) (err error) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		fault, ok := r.(faultPanic)
		if !ok { // a fault of ours must not end the gateway
			fault.f = &Fault{Kind: FaultInternal, Text: fmt.Sprint(r)}
		}
		fault.f.File = p.File
		for i := len(vm.frames) - 1; i >= 0; i-- {
			fr := vm.frames[i]
			if len(fault.f.Stack) == 0 && fr.pc > 0 && fr.pc <= len(fr.function.positions) {
				fault.f.Pos = fr.function.positions[fr.pc-1]
			}
			if len(fault.f.Stack) == 8 {
				fault.f.Stack = append(fault.f.Stack, "…")
				break
			}
			fault.f.Stack = append(fault.f.Stack, fr.function.name)
		}
		err = fault.f
	}()
	vm.frames, vm.stack = vm.frames[:0], vm.stack[:0]
	f()
	return nil
}

// Run runs the handler of an event's point. The error is a *Fault; then the Result has what was spent, and nothing
// else.
func (vm *VM) Run(p *Program, point string, e Event, st *State, env Env, lim Limits) (Result, error) {
	h := p.handlers[point]
	if h == nil {
		return Result{State: st}, nil
	}
	r, fields := e.values()
	if r != h.point.Record {
		panic(fmt.Sprintf("hook: %s gets a %s, not a %s", point, h.point.Record.Name, r.Name))
	}
	vm.start(p, st, env, lim)
	err := vm.guard(p, func() {
		vm.exec(p.funcs[h.function], []Value{{object: &object{items: fields}}})
		vm.freezeState()
	})
	res := Result{Fuel: lim.Fuel - vm.fuel, Memory: lim.Memory - vm.memory, State: st}
	if err != nil {
		return res, err
	}
	res.Advice = vm.advice
	res.State = vm.resultState(st)
	return res, nil
}

// start prepares the VM for a run.
func (vm *VM) start(p *Program, st *State, env Env, lim Limits) {
	vm.program = p
	vm.env = env
	vm.limits = lim
	vm.advice = nil
	vm.fuel = lim.Fuel
	vm.memory = lim.Memory
	vm.lastTraced = Pos{}
	vm.nextCheck = max(0, vm.fuel-stopInterval)
	vm.state = st.values
	vm.written = nil
}

// freezeState makes what the run stored safe to be read by others, and charges for it.
func (vm *VM) freezeState() {
	for i, w := range vm.written {
		if w {
			n := traversalCost(vm.state[i])
			vm.chargeFuel(n)
			vm.checkSize(int(n))
			vm.state[i].freeze()
		}
	}
}

// resultState returns the state as the run leaves it.
func (vm *VM) resultState(st *State) *State {
	if vm.written == nil {
		return st
	}
	return &State{vm.program, vm.state}
}

// setState changes a variable of the state: the run has its own from the first change on.
func (vm *VM) setState(i int32, v Value) {
	if vm.written == nil {
		vm.written = make([]bool, len(vm.state))
		vm.state = slices.Clone(vm.state)
	}
	vm.state[i], vm.written[i] = v, true
}

// ownedCollection returns the list or map of a variable for changing: a copy, where it is stored elsewhere too.
func (vm *VM) ownedCollection(base int, in instruction) *object {
	if in.b == 1 {
		v := vm.state[in.a]
		if v.object.shares < 2 && vm.written != nil && vm.written[in.a] {
			return v.object
		}
		o := vm.cloneCollection(v.object)
		o.shares = 1
		vm.setState(in.a, Value{object: o})
		return o
	}
	v := vm.stack[base+int(in.a)]
	if v.object.shares < 2 {
		return v.object
	}
	o := vm.cloneCollection(v.object)
	o.shares = 1
	vm.stack[base+int(in.a)] = Value{object: o}
	return o
}

// pushFrame begins a call whose arguments are on the stack, and returns the index of its first slot.
func (vm *VM) pushFrame(fn *function, args int) int {
	if len(vm.frames) >= vm.limits.Depth {
		vm.fault(FaultDepth, "more than %d calls within calls", vm.limits.Depth)
	}
	base := len(vm.stack) - args
	need := base + fn.slots + fn.depth
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

// finite returns a float, which must be finite.
func (vm *VM) finite(x float64) Value {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		vm.fault(FaultOverflow, "the result is no finite number")
	}
	return floatValue(x + 0) // no negative zero either: what is equal looks alike
}
