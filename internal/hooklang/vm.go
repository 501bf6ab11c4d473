package hooklang

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// FaultKind says why a run was ended.
type FaultKind string

// The kinds of faults.
const (
	FaultFuel     FaultKind = "fuel"
	FaultMemory   FaultKind = "memory"
	FaultDepth    FaultKind = "depth"
	FaultSize     FaultKind = "size"
	FaultEffects  FaultKind = "effects"
	FaultStopped  FaultKind = "stopped" // by Limits.Stop
	FaultOverflow FaultKind = "overflow"
	FaultDivision FaultKind = "division"
	FaultIndex    FaultKind = "index"
	FaultKey      FaultKind = "key"
	FaultRange    FaultKind = "range"
	FaultRaised   FaultKind = "raised" // by fail
	FaultExpect   FaultKind = "expect"
	FaultInternal FaultKind = "internal"
)

// A Fault ended a run. What the run had advised or stored is dropped.
type Fault struct {
	Kind  FaultKind
	Text  string
	File  string
	Pos   Pos
	Stack []string // names of the functions, the innermost first
}

func (f *Fault) Error() string {
	return fmt.Sprintf("%s:%v: %s: %s (in %s)", f.File, f.Pos, f.Kind, f.Text, strings.Join(f.Stack, ", "))
}

// Exhausted tells whether the run took more than it may, rather than going wrong.
func (f *Fault) Exhausted() bool {
	switch f.Kind {
	case FaultFuel, FaultMemory, FaultDepth, FaultSize, FaultEffects, FaultStopped:
		return true
	}
	return false
}

// Env is what a run sees of time.
type Env struct {
	Now  int64 // the step's clock, nanoseconds
	Wall int64 // time of day, seconds since 1970
}

// A Result is what a run led to.
type Result struct {
	Advice []Advice
	State  *State // as the run leaves it
	Fuel   int64  // spent
	Memory int64
}

const objectBytes = 96

// A VM runs programs, one at a time. It keeps its stack from run to run.
type VM struct {
	program   *Program
	limits    Limits
	env       Env
	fuel      int64 // left
	memory    int64
	nextCheck int64 // fuel at which Stop is asked next
	stack     []Value
	frames    []frame
	state     []Value
	written   []bool
	advice    []Advice
	capture   *[]Value
	// Trace, where set, is called before the first instruction of each line that is run.
	Trace      func(function string, pos Pos, locals []Value)
	lastTraced Pos
}

type frame struct {
	function *function
	pc       int
	base     int
}

// NewVM returns a VM.
func NewVM() *VM { return &VM{stack: make([]Value, 0, 256)} }

type faulted struct{ f *Fault }

func (vm *VM) fault(kind FaultKind, format string, args ...any) {
	panic(faulted{&Fault{Kind: kind, Text: fmt.Sprintf(format, args...)}})
}

// spend charges for what costs more than one instruction.
func (vm *VM) spend(n int64) {
	if vm.fuel -= n; vm.fuel < vm.nextCheck {
		vm.check()
	}
}

const stopInterval = 4096

func (vm *VM) check() {
	if vm.fuel < 0 {
		vm.fault(FaultFuel, "more than %d instructions", vm.limits.Fuel)
	}
	if vm.limits.Stop != nil && vm.limits.Stop() {
		vm.fault(FaultStopped, "its time is up")
	}
	vm.nextCheck = max(0, vm.fuel-stopInterval)
}

func (vm *VM) alloc(n int64) {
	if vm.memory -= n; vm.memory < 0 {
		vm.fault(FaultMemory, "more than %d bytes", vm.limits.Memory)
	}
}

func (vm *VM) size(n int) {
	if n > vm.limits.Size {
		vm.fault(FaultSize, "%d, over the %d that a string, list or map may have", n, vm.limits.Size)
	}
}

func (vm *VM) str(s string) Value {
	vm.size(len(s))
	vm.spend(int64(len(s)) / 16)
	vm.alloc(objectBytes + int64(len(s)))
	return strValue(s)
}

// list charges for a list of n entries.
func (vm *VM) list(n int64) {
	vm.size(int(n))
	vm.spend(n / 4)
	vm.alloc(objectBytes + 16*n)
}

func (vm *VM) clone(o *object) *object {
	vm.list(int64(len(o.items) + len(o.keys)))
	c := &object{collection: true, items: slices.Clone(o.items), keys: slices.Clone(o.keys)}
	for _, e := range c.items {
		e.share()
	}
	return c
}

func (vm *VM) span(a []Value, n int) (from, to int) {
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
		fault, ok := r.(faulted)
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

// Run runs the handler of an event's point. The error is a *Fault; then the Result has what was spent, and nothing else.
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

func (vm *VM) start(p *Program, st *State, env Env, lim Limits) {
	vm.program, vm.env, vm.limits, vm.advice = p, env, lim, nil
	vm.fuel, vm.memory, vm.lastTraced = lim.Fuel, lim.Memory, Pos{}
	vm.nextCheck = max(0, vm.fuel-stopInterval)
	vm.state = st.values
	vm.written = nil
}

// freezeState makes what the run stored safe to be read by others, and charges for it.
func (vm *VM) freezeState() {
	for i, w := range vm.written {
		if w {
			n := traversalCost(vm.state[i])
			vm.spend(n)
			vm.size(int(n))
			vm.state[i].freeze()
		}
	}
}

func (vm *VM) resultState(st *State) *State {
	if vm.written == nil {
		return st
	}
	return &State{vm.program, vm.state}
}

// set changes a variable of the state: the run has its own from the first change on.
func (vm *VM) set(i int32, v Value) {
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
		o := vm.clone(v.object)
		o.shares = 1
		vm.set(in.a, Value{object: o})
		return o
	}
	v := vm.stack[base+int(in.a)]
	if v.object.shares < 2 {
		return v.object
	}
	o := vm.clone(v.object)
	o.shares = 1
	vm.stack[base+int(in.a)] = Value{object: o}
	return o
}

func (vm *VM) enter(fn *function, args int) int {
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

// exec runs a function to its end and returns its result.
func (vm *VM) exec(fn *function, args []Value) Value {
	vm.stack = append(vm.stack, args...)
	floor := len(vm.frames)
	base := vm.enter(fn, len(args))
	code, pc := fn.code, 0
	st := vm.stack
	for {
		in := code[pc]
		pc++
		if vm.fuel--; vm.fuel < vm.nextCheck {
			vm.frames[len(vm.frames)-1].pc = pc
			vm.check()
		}
		if vm.Trace != nil {
			if pos := vm.frames[len(vm.frames)-1].function.positions[pc-1]; pos.Line != vm.lastTraced.Line {
				vm.lastTraced = pos
				f := vm.frames[len(vm.frames)-1].function
				vm.Trace(f.name, pos, st[base:base+f.slots])
			}
		}
		n := len(st) - 1
		switch in.op {
		case opConst:
			st = append(st, vm.program.consts[in.a])
		case opInt:
			st = append(st, Value{bits: int64(in.a)})
		case opLoad:
			st = append(st, st[base+int(in.a)])
		case opStore:
			st[base+int(in.a)] = st[n].share()
			st = st[:n]
		case opLoadState:
			st = append(st, vm.state[in.a])
		case opStoreState:
			vm.set(in.a, st[n].share())
			st = st[:n]
		case opPop:
			st = st[:n]
		case opJump:
			pc = int(in.a)
		case opJumpFalse:
			if st[n].bits == 0 {
				pc = int(in.a)
			}
			st = st[:n]
		case opJumpTrue:
			if st[n].bits != 0 {
				pc = int(in.a)
			}
			st = st[:n]
		case opAndJump:
			if st[n].bits == 0 {
				pc = int(in.a)
			} else {
				st = st[:n]
			}
		case opOrJump:
			if st[n].bits != 0 {
				pc = int(in.a)
			} else {
				st = st[:n]
			}
		case opNot:
			st[n].bits ^= 1
		case opAddIntConst:
			x := st[n].bits
			if x > math.MaxInt64-int64(in.a) {
				vm.at(pc)
				vm.fault(FaultOverflow, "%d + %d", x, in.a)
			}
			st[n].bits = x + int64(in.a)
		case opAddInt:
			x, y := st[n-1].bits, st[n].bits
			z := x + y
			if (x^z)&(y^z) < 0 {
				vm.at(pc)
				vm.fault(FaultOverflow, "%d + %d", x, y)
			}
			st = st[:n]
			st[n-1].bits = z
		case opSubInt:
			x, y := st[n-1].bits, st[n].bits
			z := x - y
			if (x^y)&(x^z) < 0 {
				vm.at(pc)
				vm.fault(FaultOverflow, "%d - %d", x, y)
			}
			st = st[:n]
			st[n-1].bits = z
		case opEqInt:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].bits == st[:n+1][n].bits)
		case opNeInt:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].bits != st[:n+1][n].bits)
		case opLtInt:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].bits < st[:n+1][n].bits)
		case opLeInt:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].bits <= st[:n+1][n].bits)
		case opGtInt:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].bits > st[:n+1][n].bits)
		case opGeInt:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].bits >= st[:n+1][n].bits)
		case opLtFloat:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].float() < st[:n+1][n].float())
		case opLeFloat:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].float() <= st[:n+1][n].float())
		case opGtFloat:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].float() > st[:n+1][n].float())
		case opGeFloat:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].float() >= st[:n+1][n].float())
		case opField:
			st[n] = st[n].object.items[in.a]
		case opIndexList:
			l, i := st[n-1].object.items, st[n].bits
			if i < 0 || i >= int64(len(l)) {
				vm.at(pc)
				vm.fault(FaultIndex, "entry %d of %d", i, len(l))
			}
			st = st[:n]
			st[n-1] = l[i]
		case opNextRange:
			cur := &st[base+int(in.b)+1]
			if cur.bits >= st[base+int(in.b)+2].bits {
				pc = int(in.a)
				break
			}
			st[base+int(in.b)] = Value{bits: cur.bits}
			cur.bits++
		case opNextList:
			o, cur := st[base+int(in.b)+1].object, &st[base+int(in.b)+2]
			if cur.bits >= int64(len(o.items)) {
				pc = int(in.a)
				break
			}
			st[base+int(in.b)] = o.items[cur.bits].share()
			cur.bits++
		case opCall:
			fn := vm.program.funcs[in.a]
			vm.at(pc)
			vm.stack = st
			base = vm.enter(fn, int(in.b))
			st = vm.stack
			code, pc = fn.code, 0
		case opReturn, opReturnNothing:
			var v Value
			if in.op == opReturn {
				v = st[n]
			} else if vm.capture != nil {
				*vm.capture = append(*vm.capture, st[base:]...)
			}
			st = st[:base]
			vm.frames = vm.frames[:len(vm.frames)-1]
			if len(vm.frames) == floor {
				vm.stack = st
				return v
			}
			if in.op == opReturn {
				st = append(st, v)
			}
			f := &vm.frames[len(vm.frames)-1]
			base, code, pc = f.base, f.function.code, f.pc
		default:
			vm.at(pc)
			vm.stack = st
			pc = vm.execSlow(in, base, pc, code)
			st = vm.stack
		}
	}
}

// at notes where the innermost frame stands, for a fault.
func (vm *VM) at(pc int) { vm.frames[len(vm.frames)-1].pc = pc }

func (vm *VM) pop() Value {
	v := vm.stack[len(vm.stack)-1]
	vm.stack = vm.stack[:len(vm.stack)-1]
	return v
}

func (vm *VM) push(v Value) { vm.stack = append(vm.stack, v) }

func (vm *VM) finite(x float64) Value {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		vm.fault(FaultOverflow, "the result is no finite number")
	}
	return floatValue(x + 0) // no negative zero either: what is equal looks alike
}
